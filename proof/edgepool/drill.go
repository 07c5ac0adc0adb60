package edgepool

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
)

// DrillDeployment is the name of a pool whose store comes back from copies of itself.
const DrillDeployment = "drills"

// drillGrace is the time after which requests are first sent, and that after the last event.
const drillGrace = 2 * time.Second

// SoakDrills runs a pool whose store goes away and comes back from a copy, while the
// configuration, the upstreams and the edges change, and returns its record.
func SoakDrills(ctx context.Context, binary string, seed uint64, length time.Duration, progress io.Writer) (schedule.SoakResult, error) {
	dir, err := schedule.NewDir(DrillDeployment)
	if err != nil {
		return schedule.SoakResult{}, err
	}
	fmt.Fprintf(progress, "soak: %s for %s, seed %d\n", DrillDeployment, length, seed)
	p, err := Start(ctx, Options{Binary: binary, Seed: seed, Dir: dir})
	if err != nil {
		return schedule.SoakResult{}, err
	}
	defer p.Close()
	s := schedule.SoakResult{Deployment: DrillDeployment, Checkers: proof.DrillCheckers(), Log: p.logAround}
	s.Steps, err = p.Drill(ctx, seed, length, progress)
	s.Record = p.Record()
	showStatuses(s.Record, progress)
	for _, v := range proof.LostDeparturesApplied(s.Record) {
		fmt.Fprintf(progress, "lost by the store: %s\n", v)
	}
	s.CleanUp(dir, progress)
	return s, err
}

// showStatuses prints how often each HTTP status was returned, and to attempts at edges in
// touch.
func showStatuses(r proof.Record, progress io.Writer) {
	all, inTouch := make(map[int]int), make(map[int]int)
	for _, a := range r.Attempts {
		all[a.Status]++
		if r.InTouch(a) {
			inTouch[a.Status]++
		}
	}
	for _, status := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(progress, "status %d: %d, of which %d in touch\n", status, all[status], inTouch[status])
	}
}

// Drill plays the events that the seed determines, with requests at all edges. It returns the
// number of events.
func (p *Pool) Drill(ctx context.Context, seed uint64, length time.Duration, progress io.Writer) (int, error) {
	events := planDrills(rand.New(rand.NewPCG(seed, 0)), length, len(p.Edges), len(p.upstreams)/len(services))
	store := newDrillStore(p, seed)
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { store.run(ctx) })
	defer background.Wait()
	defer cancel()
	if err := schedule.Sleep(ctx, drillGrace); err != nil {
		return 0, err
	}
	load := p.startDrillLoad(store, seed)
	defer load.stop()
	begin := p.Now()
	plays, playing := errgroup.WithContext(ctx)
	for _, e := range events {
		plays.Go(func() error {
			if err := schedule.Sleep(playing, begin+e.at-p.Now()); err != nil {
				return err
			}
			fmt.Fprintf(progress, "%8.3fs %s\n", p.Now().Seconds(), p.describe(e))
			return p.play(playing, store, e)
		})
	}
	if err := plays.Wait(); err != nil {
		return len(events), err
	}
	return len(events), schedule.Sleep(ctx, max(begin+length-p.Now(), drillGrace))
}

func (p *Pool) describe(e drillEvent) string {
	switch e.act {
	case actDrill:
		return fmt.Sprintf("drill of %v, copy of %v, configuration written again after %v", e.length, e.copyAge, e.rewriteDelay)
	case actVersion, actReset, actForget:
		return string(e.act)
	case actDrain, actRemove:
		id, _ := p.upstreams[e.target].current()
		return fmt.Sprintf("%s %s, which serves for %v", e.act, id, e.length)
	}
	return fmt.Sprintf("%s %s for %v", e.act, p.Edges[e.target].Name, e.length)
}

func (p *Pool) play(ctx context.Context, s *drillStore, e drillEvent) error {
	switch e.act {
	case actDrill:
		return s.drill(ctx, e)
	case actVersion:
		s.changeConfig()
		return nil
	case actDrain, actRemove:
		u := p.upstreams[e.target]
		id, _ := u.current()
		s.depart(id, e.act == actDrain)
		if err := schedule.Sleep(ctx, e.length); err != nil {
			return err
		}
		return s.replace(u, id)
	case actForget:
		p.Store.Compact()
		return nil
	case actReset:
		return p.disturb(ctx, "reset", p.edgeNames(), 0, func() error {
			for _, from := range p.edgeNames() {
				p.Network.Reset(from, faultproxy.Any)
				p.Network.Reset(faultproxy.Any, from)
			}
			return nil
		}, nil)
	}
	return p.disturbEdge(ctx, p.Edges[e.target], e)
}

// disturbEdge plays an event at an edge once the one before has ended.
func (p *Pool) disturbEdge(ctx context.Context, edge *Edge, e drillEvent) error {
	edge.disturbance.Lock()
	defer edge.disturbance.Unlock()
	var begin, end func() error
	switch e.act {
	case actKill:
		begin, end = edge.Kill, func() error { return edge.Start(ctx) }
	case actStop:
		begin, end = func() error { return edge.stop(ctx) }, func() error { return edge.Start(ctx) }
	case actPause:
		begin = func() error { return edge.Signal(syscall.SIGSTOP) }
		end = func() error { return edge.Signal(syscall.SIGCONT) }
	case actHangup:
		begin = func() error { return edge.Signal(syscall.SIGHUP) }
	case actCut:
		store := []string{endpointStore}
		begin = func() error { p.Network.Partition([]string{edge.Name}, store); return nil }
		end = func() error { p.Network.Heal([]string{edge.Name}, store); return nil }
	}
	return p.disturb(ctx, string(e.act)+" "+edge.Name, []string{edge.Name}, e.length, begin, end)
}

// disturb records a disturbance of edges from before its begin until after its end, which may
// be nil.
func (p *Pool) disturb(ctx context.Context, name string, edges []string, length time.Duration, begin, end func() error) error {
	from := p.Now()
	p.UpdateRecord(func(r *proof.Record) { r.Faults = append(r.Faults, proof.Fault{Name: name, From: from, Nodes: edges}) })
	if err := begin(); err != nil {
		return err
	}
	if end != nil {
		if err := schedule.Sleep(ctx, length); err != nil {
			return err
		}
		if err := end(); err != nil {
			return err
		}
	}
	until := p.Now()
	p.UpdateRecord(func(r *proof.Record) {
		for i := range r.Faults {
			if f := &r.Faults[i]; f.From == from && f.Name == name {
				f.Until = until
			}
		}
	})
	return nil
}

const (
	// logBefore and logAfter bound the log lines shown around a violation. Of those on single
	// requests, maxRequestLines are shown.
	logBefore       = 4 * time.Second
	logAfter        = 2 * time.Second
	maxRequestLines = 5
)

// logAround returns the lines that an edge logged around a time.
func (p *Pool) logAround(edge string, at time.Duration) []string {
	var lines []string
	wall := time.Now().Add(at - p.Now())
	requestLines := 0
	for _, e := range p.Edges {
		if e.Name != edge {
			continue
		}
		file, err := os.Open(e.settingsFile + ".log")
		if err != nil {
			return nil
		}
		defer file.Close()
		for scan := bufio.NewScanner(file); scan.Scan(); {
			var line struct {
				Time    time.Time `json:"time"`
				Request string    `json:"request"`
			}
			if json.Unmarshal(scan.Bytes(), &line) != nil || line.Time.Before(wall.Add(-logBefore)) || line.Time.After(wall.Add(logAfter)) {
				continue
			}
			if line.Request != "" {
				if requestLines++; requestLines > maxRequestLines {
					continue
				}
			}
			lines = append(lines, scan.Text())
		}
	}
	return lines
}

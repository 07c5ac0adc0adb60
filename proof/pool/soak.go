package pool

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
)

const (
	soakCallers       = 12
	soakModelsPerZone = 1
	// overloadLead is the time until the callers have filled the queues, overloadHold the
	// time in which the groups warm up again.
	overloadLead = 2 * time.Second
	overloadHold = 4 * time.Second
)

// SoakOptions configures a soak.
type SoakOptions struct {
	Binary     string
	Deployment string
	Seed       uint64
	Length     time.Duration
	// Overload adds callers that ask for more than the capacity, groups that are re-formed
	// meanwhile and clients that nobody controls.
	Overload bool
	Progress io.Writer
}

// Soak runs an example deployment under random faults and operations, two at a
// time, and returns its record.
func Soak(ctx context.Context, o SoakOptions) (schedule.SoakResult, error) {
	dir, err := schedule.NewDir(o.Deployment)
	if err != nil {
		return schedule.SoakResult{}, err
	}
	fmt.Fprintf(o.Progress, "soak: %s for %s, seed %d\n", o.Deployment, o.Length, o.Seed)
	p, err := Start(ctx, Options{Binary: o.Binary, Dir: dir, Deployment: o.Deployment, ModelsPerZone: soakModelsPerZone, Seed: o.Seed, Overload: o.Overload})
	if err != nil {
		return schedule.SoakResult{}, err
	}
	defer p.Close()
	load := p.StartLoad(soakCallers, o.Seed)
	s, kinds := schedule.SoakResult{Deployment: o.Deployment, Checkers: proof.Checkers()}, Kinds
	random := rand.New(rand.NewPCG(o.Seed, 0))
	stop := load.Stop
	if o.Overload {
		s.Checkers, kinds = append(s.Checkers, proof.OverloadCheckers()...), slices.Concat(Kinds, OverloadKinds)
		competition := p.StartCompetition(o.Seed)
		stop = func() { load.Stop(); competition.Stop() }
		s.Steps, err = p.applyOverload(ctx, random, o.Progress)
	}
	if err == nil {
		var drawn int
		drawn, err = schedule.Run(ctx, p, kinds, random, o.Length, o.Progress)
		s.Steps += drawn
	}
	stop()
	s.Record = p.Record()
	s.CleanUp(dir, o.Progress)
	return s, err
}

// applyOverload applies all of OverloadKinds at the same time, so that each run has them. It
// returns the number of steps.
func (p *Pool) applyOverload(ctx context.Context, random *rand.Rand, progress io.Writer) (int, error) {
	if err := schedule.Sleep(ctx, overloadLead); err != nil {
		return 0, err
	}
	var names []string
	for _, k := range OverloadKinds {
		names = append(names, k.Name)
	}
	steps, err := schedule.Draw(p, OverloadKinds, random, names...)
	if err != nil {
		return 0, err
	}
	fmt.Fprintf(progress, "%8.3fs %s\n", p.Now().Seconds(), strings.Join(names, " and "))
	return len(steps), schedule.Apply(ctx, p, steps, func(ctx context.Context) error { return schedule.Sleep(ctx, overloadHold) })
}

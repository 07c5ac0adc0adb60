package balance_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rankview"
)

// report tells each edge the load of each group. A leader reads it ten times a second, and an
// edge asks for it every 120 ms.
func (f *groupFleet) report(step int) {
	for i := range f.groups {
		if f.silent != nil && f.silent(f.now(), i) {
			continue
		}
		if step%100 == 0 {
			f.readings[i] = f.read(i)
			f.readAt[i] = f.now()
		}
		if step%100 == 0 && i == 0 {
			f.countBeyond()
		}
		for n, e := range f.edges {
			if (step+20*n+7*i)%120 != 0 || f.now() < f.startLate && n%2 == 1 {
				continue
			}
			l := f.readings[i]
			l.ReadAt = f.readAt[i] + e.clock.Now() - f.now()
			_ = e.loads.Post(context.Background(), l)
		}
	}
}

// countBeyond counts the requests at formed groups beyond their slots.
func (f *groupFleet) countBeyond() {
	f.mu.Lock()
	defer f.mu.Unlock()
	beyond := 0
	for _, g := range f.groups {
		if !g.broken {
			beyond -= groupRanks * engineSlots
			for _, e := range g.ranks {
				beyond += e.load()
			}
		}
	}
	f.out.beyond = max(f.out.beyond, beyond)
}

// read reads the load of a group. The first rank of a broken group does not respond.
func (f *groupFleet) read(i int) api.GroupLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.groups[i]
	l := api.GroupLoad{Group: fmt.Sprint("g", i), Formed: !g.broken}
	if f.alike {
		l.Group = "g"
	}
	running := 0
	for rank, e := range g.ranks {
		running += e.running
		if rank > 0 || !g.broken {
			l.Ranks = append(l.Ranks, api.RankLoad{AddressHash: addressHash(i*groupRanks + rank), Requests: e.load(), Pace: 1})
		}
	}
	if !g.broken {
		l.PassTime = g.meter.Observe(f.now(), rankview.Snapshot{Reports: []api.RankReport{{Step: g.step, Running: running}}})
	}
	return l
}

// list tells the edges which ranks are leaving.
func (f *groupFleet) list() {
	var leaving [groupCount]bool
	for i := range f.groups {
		leaving[i] = f.leaving != nil && f.leaving(f.now(), i)
	}
	if leaving == f.wasLeaving {
		return
	}
	f.wasLeaving = leaving
	for _, e := range f.edges {
		v := *e.view
		v.Instances = maps.Clone(e.view.Instances)
		for i := range f.groups {
			id := fmt.Sprint("r", i*groupRanks)
			in := v.Instances[id]
			in.Leaving = leaving[i]
			v.Instances[id] = in
		}
		_ = e.views.Post(context.Background(), &v)
	}
}

// arrive starts the requests of a step of 1 ms. A quarter of the customers send half of them.
func (f *groupFleet) arrive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for kind, k := range groupKinds {
		rate := k.rate * f.load
		if f.factor != nil {
			rate *= f.factor(f.now(), kind)
		}
		if f.random.Float64() >= rate/1000 {
			continue
		}
		member := f.random.IntN(groupCustomers)
		if f.random.IntN(3) == 0 {
			member = f.random.IntN(groupCustomers / 4)
		}
		counted := f.now() > warmup
		f.requests++
		s := &stream{kind: kind, member: member, turn: time.Duration(1 + f.requests%maxTurns)}
		edges := [2]int{f.random.IntN(groupEdges), f.random.IntN(groupEdges)}
		f.callers.Go(func() { f.request(s, edges, counted) })
	}
}

func (s scenario) play(t *testing.T, seed uint64) groupOutcome {
	t.Helper()
	f := &groupFleet{scenario: s, random: rand.New(rand.NewPCG(seed, 1))}
	if f.length == 0 {
		f.length = 12 * time.Second
	}
	synctest.Test(t, func(t *testing.T) {
		f.start = time.Now()
		table := &api.RouteTable{
			Services: map[string]api.ServiceProfile{"s": {Name: "s", Engine: &groupProfile}},
			Routes:   []api.Route{{Splits: []api.Split{{Service: "s", Weight: 1}}, MaxPause: acceptedPause}},
		}
		for i := range groupEdges {
			f.edges = append(f.edges, startEdgeWith(t, i, groupEdges, groupCount*groupRanks, engineSlots, table))
		}
		for range groupCount {
			g := &passGroup{fresh: make([]int, groupRanks), current: &pass{next: &pass{ended: make(chan struct{})}}}
			for range groupRanks {
				g.ranks = append(g.ranks, &engine{})
			}
			f.groups = append(f.groups, g)
		}
		for i := range f.groups {
			f.callers.Go(func() { f.advance(i) })
		}
		for step := 0; f.now() < f.length; step++ {
			if step%100 == 0 {
				f.list()
			}
			f.report(step)
			f.arrive()
			time.Sleep(time.Millisecond)
		}
		f.callers.Wait()
	})
	return f.out
}

// add adds the counts of another play.
func (o *groupOutcome) add(p groupOutcome) {
	for kind := range groupKinds {
		o.asked[kind] += p.asked[kind]
		o.inTime[kind] += p.inTime[kind]
		o.late[kind] += p.late[kind]
		o.lost[kind] += p.lost[kind]
	}
	for i := range groupCustomers {
		o.askedBy[i] += p.askedBy[i]
		o.servedBy[i] += p.servedBy[i]
	}
	o.passes, o.longPasses = o.passes+p.passes, o.longPasses+p.longPasses
	o.beyond = max(o.beyond, p.beyond)
	o.failed, o.delayed = o.failed+p.failed, o.delayed+p.delayed
}

package mapswitch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/mapswitch"
	"github.com/mulberryfork/mulberryfork/decide/rankpacing"
	"github.com/mulberryfork/mulberryfork/decide/rankview"
)

const (
	// changeTarget bounds a change of the map of up to 64 ranks, beyond the time of
	// copying experts: demand shifts every few seconds. Larger groups read their ranks
	// less often.
	changeTarget      = time.Second
	largeChangeTarget = 2500 * time.Millisecond
	simulatedTick     = 20 * time.Millisecond
	simulatedLatency  = 3 * time.Millisecond
	copyTime          = 250 * time.Millisecond
	// callBytes is the size of a small call, mapCellBytes that of one copied expert in a
	// prepare order.
	callBytes    = 300
	mapCellBytes = 7
)

// group simulates ranks behind the link of their leader. Calls queue on the link.
type group struct {
	pacing   rankpacing.Group
	now      time.Duration
	linkFree time.Duration
	step     uint64
	ranks    []api.RankReport
	// preparedAt is when a rank has copied its experts.
	preparedAt []time.Duration
	pending    []event
	state      *mapswitch.State
	view       *rankview.State
	// fails reports whether a call to a rank fails, and slow is the extra latency of a
	// rank's process.
	fails func(rank, call int) bool
	slow  map[int]time.Duration
	calls int
}

type event struct {
	at  time.Duration
	run func()
}

func newGroup(ranks int, linkMbps float64) *group {
	g := &group{
		pacing: rankpacing.Group{Ranks: ranks, Layers: 12, Experts: 4 * ranks, LinkMbps: linkMbps, CPUShare: 0.24},
		state:  mapswitch.New(0), view: rankview.New(), fails: func(int, int) bool { return false }, slow: map[int]time.Duration{},
		preparedAt: make([]time.Duration, ranks), step: 100,
	}
	for rank := range ranks {
		g.ranks = append(g.ranks, api.RankReport{
			Address: fmt.Sprint(rank), Group: "g", Epoch: 1, Rank: rank, Size: ranks, Formed: true, Step: g.step,
		})
	}
	return g
}

// call transfers bytes on the link and runs f when the response has arrived, or after
// timeout with ok false if the call fails.
func (g *group) call(rank int, bytes float64, timeout time.Duration, f func(ok bool)) {
	g.calls++
	g.linkFree = max(g.linkFree, g.now) + time.Duration(8*bytes/(g.pacing.LinkMbps*1e6)*float64(time.Second))
	done, ok := g.linkFree+simulatedLatency+g.slow[rank], !g.fails(rank, g.calls)
	if !ok || done > g.now+timeout {
		done, ok = g.now+timeout, false
	}
	g.pending = append(g.pending, event{at: done, run: func() { f(ok) }})
}

func (g *group) send(orders []mapswitch.OutgoingOrder) {
	prepareBytes := float64(callBytes + g.pacing.Ranks*6*mapCellBytes)
	var prepares []mapswitch.OutgoingOrder
	for _, o := range orders {
		if o.Order.Op == api.RankPrepare && o.Rank != 0 {
			prepares = append(prepares, o)
			continue
		}
		g.call(o.Rank, callBytes, g.pacing.CallTimeout(len(orders), 0), func(ok bool) { g.result(o, ok) })
	}
	if len(prepares) == 0 {
		return
	}
	// A relaying process sends the order to the other ranks of its part on its own link.
	fanout := g.pacing.Fanout(len(prepares), prepareBytes)
	part := (len(prepares) + fanout - 1) / fanout
	timeout := g.pacing.CallTimeout(fanout, prepareBytes) + g.pacing.CallTimeout(part, prepareBytes)
	for start := 0; start < len(prepares); start += part {
		batch := prepares[start:min(start+part, len(prepares))]
		relay := time.Duration(float64(len(batch)-1)*8*prepareBytes/(g.pacing.LinkMbps*1e6)*float64(time.Second)) + simulatedLatency
		g.call(batch[0].Rank, prepareBytes, timeout, func(ok bool) {
			g.pending = append(g.pending, event{at: g.now + relay, run: func() {
				for _, o := range batch {
					g.result(o, ok && !g.fails(o.Rank, g.calls))
				}
			}})
		})
	}
}

// result executes an order at its rank and passes the result to the leader.
func (g *group) result(o mapswitch.OutgoingOrder, ok bool) {
	result := api.RankNoResult
	if ok {
		result = g.execute(o)
	}
	g.send(g.state.HandleResult(g.now, 1, o, result))
}

func (g *group) execute(o mapswitch.OutgoingOrder) api.RankResult {
	r := &g.ranks[o.Rank]
	switch o.Order.Op {
	case api.RankPrepare:
		if g.preparedAt[o.Rank] == 0 {
			g.preparedAt[o.Rank] = g.now + copyTime
		}
	case api.RankHold:
		if o.Order.Step <= g.step {
			return api.RankRefused
		}
		r.HeldStep = &o.Order.Step
	case api.RankRelease:
		r.HeldStep = nil
	case api.RankArm:
		if o.Order.Step <= g.step {
			return api.RankRefused
		}
		r.ArmedMapVersion = &o.Order.MapVersion
	}
	return api.RankDone
}

// beginPass begins a pass unless a rank holds it.
func (g *group) beginPass() {
	for _, r := range g.ranks {
		if r.HeldStep != nil && *r.HeldStep == g.step+1 {
			return
		}
	}
	g.step++
	for i := range g.ranks {
		r := &g.ranks[i]
		r.Step = g.step
		if r.ArmedMapVersion != nil {
			r.MapVersion, r.ArmedMapVersion = *r.ArmedMapVersion, nil
		}
	}
}

// read reads all ranks. Responses are recorded as they arrive.
func (g *group) read() {
	for rank := range g.ranks {
		startedAt := g.now
		g.call(rank, callBytes, g.pacing.ReadTimeout(false), func(ok bool) {
			if !ok {
				return
			}
			r := g.ranks[rank]
			if at := g.preparedAt[rank]; at > 0 && g.now >= at {
				version := g.state.Version()
				r.PreparedMapVersion = &version
			}
			if rank == 0 {
				g.view.RecordLocal(startedAt, api.RankState{Report: r})
			} else {
				g.view.Record(startedAt, api.RankState{Report: r})
			}
		})
	}
}

// change runs one change of the map and returns how long it took.
func (g *group) change(t *testing.T) time.Duration {
	t.Helper()
	const limit = 30 * time.Second
	g.state.SetOrderTime(g.pacing.ArmTime())
	begun, lastRead, lastPass := time.Duration(-1), -time.Second, time.Duration(0)
	for ; g.now < limit; g.now += time.Millisecond {
		pending := g.pending
		g.pending = nil
		for _, e := range pending {
			if e.at > g.now {
				g.pending = append(g.pending, e)
				continue
			}
			e.run()
		}
		if g.now-lastPass >= 100*time.Millisecond {
			lastPass = g.now
			g.beginPass()
		}
		from, wanted := g.state.SnapshotDue(copyTime)
		if g.now >= g.pacing.NextRead(rankpacing.Reads{LastAt: lastRead, WantedFrom: from, Wanted: wanted, Ordering: g.state.AwaitsResults()}) {
			lastRead = g.now
			g.read()
		}
		if g.now%simulatedTick != 0 {
			continue
		}
		snapshot := g.view.Snapshot(g.now, max(300*time.Millisecond, 4*g.pacing.ReadInterval()))
		if len(snapshot.Reports) > 0 {
			g.send(g.state.Observe(g.now, snapshot.StartedAt, 1, snapshot.Reports))
		}
		g.send(g.state.Tick(g.now, 1))
		switch {
		case begun < 0 && g.state.Ready():
			begun = g.now
			g.send(g.state.Begin(g.now, 1, nil))
		case begun >= 0 && g.ranks[0].MapVersion == g.state.Version():
			return g.now - begun
		}
	}
	t.Fatalf("no change within %v, phase %v", limit, g.state.Phase())
	return 0
}

// Guards against a change that takes longer than demand stays the same, or never ends,
// because the leader's link is saturated by orders and reads, or because it waits for a
// round of reads in which none fails.
func TestChangeTimeIsBounded(t *testing.T) {
	for _, size := range []struct {
		ranks    int
		linkMbps float64
		target   time.Duration
	}{{12, 20, changeTarget}, {24, 8, changeTarget}, {64, 6, changeTarget}, {256, 6, largeChangeTarget}} {
		for _, c := range []struct {
			name  string
			setUp func(g *group)
			extra time.Duration
		}{
			{"undisturbed", func(*group) {}, 0},
			{"one in ten reads lost", func(g *group) { g.fails = func(rank, call int) bool { return rank != 1 && call%10 == 3 } }, time.Second},
			{"a slow peer", func(g *group) { g.slow[size.ranks/2] = 100 * time.Millisecond }, time.Second},
		} {
			t.Run(fmt.Sprintf("%d ranks, %s", size.ranks, c.name), func(t *testing.T) {
				g := newGroup(size.ranks, size.linkMbps)
				c.setUp(g)
				took := g.change(t)
				t.Logf("%v", took)
				if bound := copyTime + size.target + c.extra; took > bound {
					t.Errorf("the change took %v, want at most %v", took, bound)
				}
			})
		}
	}
}

// Guards against a change that is made although a rank is silent: it could run a pass
// with the old map.
func TestNoChangeWhileRankIsSilent(t *testing.T) {
	g := newGroup(64, 6)
	g.fails = func(rank, _ int) bool { return rank == 40 && g.now > 0 }
	for ; g.now < 5*time.Second; g.now += simulatedTick {
		if g.now%(100*time.Millisecond) == 0 {
			g.read()
		}
		for _, e := range g.pending {
			e.run()
		}
		g.pending = nil
		snapshot := g.view.Snapshot(g.now, 400*time.Millisecond)
		if len(snapshot.Reports) > 0 {
			g.send(g.state.Observe(g.now, snapshot.StartedAt, 1, snapshot.Reports))
		}
		if g.now > time.Second && g.state.Ready() && snapshot.Complete {
			t.Fatalf("ready at %v without rank 40", g.now)
		}
	}
}

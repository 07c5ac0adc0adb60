package balance_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// engine is a rank with ten slots. Requests beyond them wait, by priority.
type engine struct {
	running int
	waiting [3][]chan struct{}
}

func (e *engine) load() int {
	return e.running + len(e.waiting[0]) + len(e.waiting[1]) + len(e.waiting[2])
}

func (e *engine) begin(kind int) <-chan struct{} {
	begun := make(chan struct{}, 1)
	if e.load() < engineSlots {
		e.running++
		begun <- struct{}{}
	} else {
		e.waiting[kind] = append(e.waiting[kind], begun)
	}
	return begun
}

func (e *engine) end() {
	for kind, list := range e.waiting {
		if len(list) > 0 {
			list[0] <- struct{}{}
			e.waiting[kind] = list[1:]
			return
		}
	}
	e.running--
}

const (
	edgeCount, engineCount, engineSlots = 22, 72, 10
	meanDuration                        = 1900 * time.Millisecond
	firstEvent                          = 60 * time.Millisecond
)

// loadKind is a kind of request. worth is that of a response in time, late the part of it that
// a late one is worth.
type loadKind struct {
	priority    int32
	rate        float64
	target      time.Duration
	worth, late float64
}

// loadKinds are the kinds of deployment A of the work plan, the most urgent one first.
var loadKinds = [3]loadKind{
	{5, 123, 400 * time.Millisecond, 2.9, 0.28},
	{4, 94, 400 * time.Millisecond, 1.5, 0.39},
	{3, 54, 800 * time.Millisecond, 0.76, 0.29},
}

// fleet is edges in front of engines, with callers that retry once.
type fleet struct {
	mayWait bool
	edges   []*edge
	callers sync.WaitGroup

	mu      sync.Mutex
	random  *rand.Rand
	engines []*engine
	worth   float64
	offered float64
	asked   [3]int
	inTime  [3]int
}

func (f *fleet) locked(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

func (f *fleet) request(kind int) {
	var e *edge
	var length time.Duration
	for attempt := range 2 {
		f.locked(func() {
			e, length = f.edges[f.random.IntN(edgeCount)], time.Duration((0.5+f.random.Float64())*float64(meanDuration))
		})
		arrived := e.clock.Now()
		choice, failure := e.Route(context.Background(), api.RouteQuery{
			Service: "s", Member: fmt.Sprint(int(length) % 24), Priority: loadKinds[kind].priority, MayWait: f.mayWait,
			FirstEventBy: arrived + loadKinds[kind].target, QuietSince: arrived, Deadline: arrived + 8*time.Second,
		})
		if failure == nil {
			f.run(e, choice.Upstream, kind, arrived, length)
			return
		}
		if attempt == 0 {
			time.Sleep(failure.RetryAfter)
		}
	}
}

func (f *fleet) run(e *edge, upstream string, kind int, arrived, length time.Duration) {
	sent, k := e.clock.Now(), loadKinds[kind]
	var rank int
	_, _ = fmt.Sscanf(upstream, "r%d", &rank)
	var begun <-chan struct{}
	f.locked(func() { begun = f.engines[rank].begin(kind) })
	<-begun
	time.Sleep(firstEvent)
	first := e.clock.Now()
	f.locked(func() {
		if first-arrived <= k.target {
			f.inTime[kind]++
			f.worth += k.worth
		} else {
			f.worth += k.worth * k.late
		}
	})
	time.Sleep(length)
	f.locked(f.engines[rank].end)
	e.Done(api.RouteResult{Upstream: upstream, FirstChunk: first - sent, Total: e.clock.Now() - sent})
}

// report tells all edges the loads of the engines, one after the other 60 to 165 ms later.
func (f *fleet) report() {
	l := api.GroupLoad{Group: "g", Formed: true, ReadAt: f.edges[0].clock.Now()}
	f.locked(func() {
		for i, e := range f.engines {
			l.Ranks = append(l.Ranks, api.RankLoad{AddressHash: addressHash(i), Requests: e.load()})
		}
	})
	for i, e := range f.edges {
		f.callers.Go(func() {
			time.Sleep(time.Duration(60+5*i) * time.Millisecond)
			_ = e.loads.Post(context.Background(), l)
		})
	}
}

// playOverload plays 10 s with twice the requests of deployment A.
func playOverload(t *testing.T, mayWait bool) *fleet {
	t.Helper()
	f := &fleet{mayWait: mayWait, random: rand.New(rand.NewPCG(1, 1))}
	synctest.Test(t, func(t *testing.T) {
		for i := range edgeCount {
			f.edges = append(f.edges, startEdgeOf(t, i, edgeCount, engineCount, engineSlots))
		}
		for range engineCount {
			f.engines = append(f.engines, &engine{})
		}
		for step := range 10_000 {
			if step%120 == 0 {
				f.report()
			}
			for kind, k := range loadKinds {
				f.locked(func() {
					if f.random.Float64() < 2*k.rate/1000 {
						f.asked[kind]++
						f.offered += k.worth
						f.callers.Go(func() { f.request(kind) })
					}
				})
			}
			time.Sleep(time.Millisecond)
		}
		f.callers.Wait()
	})
	return f
}

// Guards against edges whose urgent requests wait where they delay others: at engines, or
// behind less urgent ones. Compares requests that may wait at the edge with those that are
// refused at once.
func TestUrgentRequestsGoFirstThroughManyEdges(t *testing.T) {
	before, after := playOverload(t, false), playOverload(t, true)
	part := func(f *fleet) float64 { return f.worth / f.offered }
	inTime := float64(after.inTime[0]) / float64(after.asked[0])
	t.Logf("worth %.3f before, %.3f after; in time %v of %v before, %v of %v after", part(before), part(after), before.inTime, before.asked, after.inTime, after.asked)
	if part(after) < 1.15*part(before) || inTime < 0.75 {
		t.Errorf("worth %.3f instead of %.3f, %.2f of the most urgent kind in time; want 1.15 times the worth and 0.75", part(after), part(before), inTime)
	}
}

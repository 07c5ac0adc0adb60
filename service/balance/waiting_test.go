package balance_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/balance"
)

const (
	ranks = 4
	slots = 6
	// fullRank is the number of requests at which a rank has no place for one that can wait
	// at the edge.
	fullRank = slots
)

// fakes are the services that routing looks up.
type fakes struct {
	mu     sync.Mutex
	counts map[string]int64
	loads  *kernel.Mailbox[api.GroupLoad]
	views  *kernel.Mailbox[*api.View]
	onLoad func(time.Duration, api.GroupLoad)
	onView func(time.Duration, *api.View)
}

func (f *fakes) Provision(c *kernel.Context) error {
	f.counts = make(map[string]int64)
	f.loads = kernel.NewMailbox(c.Loop(), "test.loads", 1, kernel.Wait, func(now time.Duration, l api.GroupLoad) { f.onLoad(now, l) })
	f.views = kernel.NewMailbox(c.Loop(), "test.views", 1, kernel.Wait, func(now time.Duration, v *api.View) { f.onView(now, v) })
	return nil
}

type fakeDiscovery struct {
	api.Discovery
	*fakes
}

func (d fakeDiscovery) Subscribe(f func(time.Duration, *api.View)) { d.onView = f }
func (fakeDiscovery) AsOf() time.Duration                          { return 0 }

type fakeGroups struct{ *fakes }

func (g fakeGroups) Subscribe(f func(time.Duration, api.GroupLoad)) { g.onLoad = f }

type fakeFleet struct {
	api.Fleet
	names []string
}

func (f fakeFleet) Subscribe(set func(time.Duration, *api.FleetView)) {
	set(0, &api.FleetView{Self: f.names[0], Names: f.names, LimitDivisor: len(f.names)})
}
func (fakeFleet) ExchangeSuspicions(api.SuspicionRecords) {}
func (fakeFleet) ReportSuspicions([]api.Suspicion)        {}

type fakeLog struct{}

func (fakeLog) Change(string, api.Fields)                     {}
func (fakeLog) Decision(string, api.DecisionKind, api.Fields) {}

type fakeMetrics struct {
	api.Metrics
	*fakes
}

type fakeCounter struct {
	*fakes
	key string
}

func (fakeMetrics) Publish(string, func() any) {}

func (m fakeMetrics) Counter(name, label string) api.Counter {
	return fakeCounter{m.fakes, name + "/" + label}
}

func (c fakeCounter) Add(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[c.key] += n
}

func (f *fakes) count(key string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[key]
}

// edge is a process with one service "s" of one group.
type edge struct {
	*fakes
	api.Routing
	host  *kernel.Host
	clock kernel.Clock
	view  *api.View
}

// startEdge starts the only edge.
func startEdge(t testing.TB, slots int) *edge {
	t.Helper()
	return startEdgeOf(t, 0, 1, ranks, slots)
}

// startEdgeOf starts an edge of several in front of ranks in three zones.
func startEdgeOf(t testing.TB, i, edges, ranks, slots int) *edge {
	t.Helper()
	return startEdgeWith(t, i, edges, ranks, slots, &api.RouteTable{Services: map[string]api.ServiceProfile{"s": {Name: "s"}}})
}

// startEdgeWith starts an edge with a table that has service "s".
func startEdgeWith(t testing.TB, i, edges, ranks, slots int, table *api.RouteTable) *edge {
	t.Helper()
	var names []string
	for n := range edges {
		names = append(names, fmt.Sprint("e", n))
	}
	f, clock := &fakes{}, kernel.NewRuntimeClock()
	r := kernel.NewRegistry()
	for name, service := range map[string]any{
		"test.fakes":          f,
		api.ServiceDiscovery:  fakeDiscovery{fakes: f},
		api.ServiceGroupLoads: fakeGroups{f},
		api.ServiceFleet:      fakeFleet{names: names},
		api.ServiceLog:        fakeLog{},
		api.ServiceMetrics:    fakeMetrics{fakes: f},
	} {
		if err := r.Register(name, func() any { return service }); err != nil {
			t.Fatal(err)
		}
	}
	if err := balance.Register(r); err != nil {
		t.Fatal(err)
	}
	services := []string{"test.fakes", api.ServiceDiscovery, api.ServiceGroupLoads, api.ServiceFleet, api.ServiceLog, api.ServiceMetrics, api.ServiceRouting}
	host := kernel.NewHost(r, services, kernel.Options{Clock: clock, Values: []any{&api.Settings{Zone: zoneOf(i), Node: names[i], Edge: api.EdgeSettings{ColdOvershoot: 1}}}})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = host.Stop(context.Background()) })
	routing, err := kernel.Find[api.Routing](host, api.ServiceRouting)
	if err != nil {
		t.Fatal(err)
	}
	e := &edge{fakes: f, Routing: routing, host: host, clock: clock}
	v := &api.View{
		Table: table, Instances: make(map[string]api.Instance), ZonesOut: make(map[string]bool),
	}
	for i := range ranks {
		id := fmt.Sprint("r", i)
		v.Instances[id] = api.Instance{ID: id, Service: "s", Zone: zoneOf(i), Slots: slots, Address: addressOf(i)}
	}
	e.view = v
	_ = f.views.Post(t.Context(), v)
	return e
}

func zoneOf(i int) string { return fmt.Sprint("z", i%3) }

func addressOf(rank int) string { return fmt.Sprintf("10.0.0.%d:80", rank) }

func addressHash(rank int) uint64 { return xxhash.Sum64String(addressOf(rank)) }

// report reports the same number of requests on each rank.
func (e *edge) report(requests int, formed bool) {
	l := api.GroupLoad{Group: "g", Formed: formed, ReadAt: e.clock.Now()}
	for i := range ranks {
		l.Ranks = append(l.Ranks, api.RankLoad{AddressHash: addressHash(i), Requests: requests})
	}
	_ = e.loads.Post(context.Background(), l)
}

// ask routes a request on another goroutine.
func (e *edge) ask(ctx context.Context, priority int32, mayWait bool) <-chan *api.Failure {
	synctest.Wait()
	reply, now := make(chan *api.Failure, 1), e.clock.Now()
	go func() {
		_, failure := e.Route(ctx, api.RouteQuery{
			Service: "s", Priority: priority, MayWait: mayWait,
			FirstEventBy: now + 400*time.Millisecond, QuietSince: now, Deadline: now + 8*time.Second,
		})
		reply <- failure
	}()
	synctest.Wait()
	return reply
}

// answered returns the reply of a call if there is one.
func answered(reply <-chan *api.Failure) (failure *api.Failure, ok bool) {
	synctest.Wait()
	select {
	case f := <-reply:
		return f, true
	default:
		return nil, false
	}
}

// Guards against a refusal of a request that has only to wait for a place, and against one
// that gets the place of a more urgent request that came later.
func TestPlaceGoesToMostUrgentWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEdge(t, slots)
		e.report(fullRank, true)
		usual, urgent := e.ask(t.Context(), 0, true), e.ask(t.Context(), 5, true)
		if _, ok := answered(urgent); ok {
			t.Fatal("answered without room")
		}
		// The reading shows the first place, the end of a request the second.
		l := api.GroupLoad{Group: "g", Formed: true, ReadAt: e.clock.Now()}
		for i := range ranks {
			l.Ranks = append(l.Ranks, api.RankLoad{AddressHash: addressHash(i), Requests: fullRank - (ranks-i)/ranks})
		}
		_ = e.loads.Post(t.Context(), l)
		if f, ok := answered(urgent); !ok || f != nil {
			t.Errorf("urgent request: %v, %v, want a choice", f, ok)
		}
		if f, ok := answered(usual); ok {
			t.Errorf("usual request: %v, want none yet", f)
		}
		e.report(fullRank-1, true)
		if f, ok := answered(usual); !ok || f != nil {
			t.Errorf("usual request: %v, %v, want a choice", f, ok)
		}
	})
}

// Guards against requests that wait for longer than serves their callers, and against a wait
// that nothing ends when no load is reported anymore.
func TestWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEdge(t, slots)
		e.report(fullRank, true)
		reply := e.ask(t.Context(), 0, true)
		for range 18 {
			time.Sleep(100 * time.Millisecond)
			e.report(fullRank, true)
		}
		if f, ok := answered(reply); ok {
			t.Fatalf("%v while waiting can serve the caller", f)
		}
		// The refusal reaches the caller before it gives up after 2 s.
		time.Sleep(101 * time.Millisecond)
		if f, ok := answered(reply); !ok || f == nil || f.Run != api.NotRun || f.RetryAfter <= 0 {
			t.Errorf("%v, %v, want a refusal", f, ok)
		}
		e.report(fullRank, true)
		reply = e.ask(t.Context(), 0, true)
		time.Sleep(1100 * time.Millisecond)
		if f, ok := answered(reply); !ok || f != nil {
			t.Errorf("%v, %v after the loads got too old, want a choice by expected load", f, ok)
		}
	})
}

// Guards against callers that are refused, and come back together, while the only group is
// being formed, and against calls that nobody answers if it is not formed in time.
func TestRequestsWaitWhileGroupIsFormed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEdge(t, slots)
		e.report(0, false)
		waiting := e.ask(t.Context(), 5, true)
		time.Sleep(600 * time.Millisecond)
		if f, ok := answered(waiting); ok {
			t.Fatalf("%v while the group is being formed", f)
		}
		e.report(0, true)
		if f, ok := answered(waiting); !ok || f != nil {
			t.Errorf("formed group: %v, %v, want a choice", f, ok)
		}
		e.report(0, false)
		late := e.ask(t.Context(), 5, true)
		for range 21 {
			time.Sleep(100 * time.Millisecond)
			e.report(0, false)
		}
		if f, ok := answered(late); !ok || f == nil || f.Run != api.NotRun || f.RetryAfter <= 0 {
			t.Errorf("group that stays broken: %v, %v, want a refusal", f, ok)
		}
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			e.report(0, false)
		}
		if f, ok := answered(e.ask(t.Context(), 5, true)); !ok || f == nil || f.Code != api.CodeNoUpstream {
			t.Errorf("group that has been broken for long: %v, %v, want a refusal at once", f, ok)
		}
	})
}

// Guards against places that go to callers that are gone, and against calls that nobody
// answers when the process stops or the group stays broken.
func TestWaitEndsWithCallerGroupAndProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEdge(t, slots)
		e.report(fullRank, true)
		ctx, cancel := context.WithCancel(t.Context())
		gone := e.ask(ctx, 5, true)
		cancel()
		if f, ok := answered(gone); !ok || f == nil || f.Run != api.NotRun {
			t.Errorf("canceled request: %v, %v", f, ok)
		}
		if n := e.count("wait_ends/canceled"); n != 1 {
			t.Errorf("%d waits canceled, want 1", n)
		}
		broken := e.ask(t.Context(), 5, true)
		for range 21 {
			e.report(0, false)
			time.Sleep(100 * time.Millisecond)
		}
		if f, ok := answered(broken); !ok || f == nil || f.Run != api.NotRun {
			t.Errorf("broken group: %v, %v, want a refusal", f, ok)
		}
		e.report(fullRank, true)
		left := e.ask(t.Context(), 5, true)
		_ = e.host.Stop(t.Context())
		if f, ok := answered(left); !ok || f == nil || f.Run != api.NotRun || f.Code != api.CodeShuttingDown {
			t.Errorf("stopped process: %v, %v, want a refusal", f, ok)
		}
	})
}

// Guards against room that is lost because a choice crossed the end of its call.
func TestChoiceOfCanceledCallIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEdge(t, slots)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		e.report(fullRank-1, true)
		// A call that gets its choice at the time at which it ends keeps it.
		kept := 0
		for range 10 * ranks {
			if f := <-e.ask(ended, 0, true); f == nil {
				kept++
			}
		}
		e.report(fullRank-1, true)
		for i := range ranks - kept {
			if f, ok := answered(e.ask(t.Context(), 0, true)); !ok || f != nil {
				t.Fatalf("request %d: %v, %v, want a choice", i, f, ok)
			}
		}
	})
}

// Guards against a request that is sent after it was found to crash upstreams while it waited.
func TestSuspectIsRefusedAfterItsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEdge(t, slots)
		e.report(fullRank, true)
		reply := make(chan *api.Failure, 1)
		go func() {
			_, failure := e.Route(t.Context(), api.RouteQuery{Service: "s", Fingerprint: 7, MayWait: true, Deadline: time.Hour})
			reply <- failure
		}()
		synctest.Wait()
		for i := range ranks {
			f := api.NewFailure(api.CodeUpstreamFailed, api.RunUnknown, "crash")
			f.Crash = api.CrashBeforeResponse
			e.Done(api.RouteResult{Upstream: fmt.Sprint("r", i), Incarnation: api.Incarnation(i + 1), Fingerprint: 7, Failure: f})
		}
		synctest.Wait()
		e.report(0, true)
		if f, ok := answered(reply); !ok || f == nil || f.Code != api.CodeSuspect {
			t.Errorf("%v, %v, want a refusal of a suspect", f, ok)
		}
	})
}

// BenchmarkRouteWithRoom measures a request that finds room at once. It took 11 allocations
// before requests could wait, and may take one more.
func BenchmarkRouteWithRoom(b *testing.B) {
	e := startEdge(b, 1<<30)
	q := api.RouteQuery{Service: "s", Member: "m", Priority: 5, MayWait: true, Deadline: time.Hour}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			e.report(0, true)
		}
		c, failure := e.Route(b.Context(), q)
		if failure != nil {
			b.Fatal(failure)
		}
		e.Done(api.RouteResult{Upstream: c.Upstream, Total: time.Second})
	}
}

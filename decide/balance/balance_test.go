package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/balance"
)

// newView returns a view of instances of service "s", with 12 slots each.
func newView(instances ...api.Instance) *api.View {
	v := &api.View{
		Table:     &api.RouteTable{Services: map[string]api.ServiceProfile{"s": {Name: "s", ColdRate: 36}}},
		Instances: make(map[string]api.Instance),
		ZonesOut:  make(map[string]bool),
	}
	for _, in := range instances {
		in.Service, in.Slots = "s", 12
		v.Instances[in.ID] = in
	}
	return v
}

// newFleetView returns the fleet view of one of n processes.
func newFleetView(self, n int) *api.FleetView {
	v := &api.FleetView{LimitDivisor: n}
	for i := range n {
		v.Names = append(v.Names, fmt.Sprintf("edge-%03d", i))
	}
	v.Self = v.Names[self]
	return v
}

func newState(v *api.View) *balance.State {
	s := balance.New(balance.Options{Zone: "z", Seed: 1, ColdOvershoot: 1.5, ColdTolerance: 5})
	s.SetFleet(newFleetView(0, 24))
	s.Configure(0, v)
	return s
}

// countChoices makes n choices without ending the requests and counts them by
// upstream.
func countChoices(t *testing.T, s *balance.State, now time.Duration, n int) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for range n {
		c, failure := s.Choose(now, "s", nil)
		if failure != nil {
			t.Fatal(failure)
		}
		counts[c.Upstream]++
	}
	return counts
}

// Guards against requests to upstreams that are leaving, are in a zone that is
// out of service or were already tried.
func TestChooseSkipsIneligibleUpstreams(t *testing.T) {
	v := newView(api.Instance{ID: "a", Zone: "z"}, api.Instance{ID: "b", Zone: "z", Leaving: true}, api.Instance{ID: "c", Zone: "out"})
	v.ZonesOut["out"] = true
	s := newState(v)
	if counts := countChoices(t, s, time.Second, 5); counts["a"] != 5 {
		t.Errorf("%v", counts)
	}
	_, failure := s.Choose(time.Second, "s", []string{"a"})
	if failure == nil || failure.Run != api.NotRun || failure.RetryAfter <= 0 {
		t.Errorf("%v", failure)
	}
}

// Guards against an unreachable upstream that attracts requests: a paused VM
// looks idle because its requests don't return.
func TestUnreachableUpstreamIsAvoided(t *testing.T) {
	s := newState(newView(api.Instance{ID: "a", Zone: "z"}, api.Instance{ID: "b", Zone: "z"}))
	s.Done(time.Second, "a", api.NewFailure(api.CodeUpstreamUnreached, api.NotRun, ""))
	if counts := countChoices(t, s, 1500*time.Millisecond, 8); counts["a"] != 0 {
		t.Errorf("chosen while avoided: %v", counts)
	}
	if counts := countChoices(t, s, 4*time.Second, 8); counts["a"] == 0 {
		t.Errorf("not chosen after the backoff: %v", counts)
	}
	s.Done(5*time.Second, "a", api.NewFailure(api.CodeUpstreamUnreached, api.NotRun, ""))
	s.Done(5*time.Second, "b", api.NewFailure(api.CodeUpstreamUnreached, api.NotRun, ""))
	if _, failure := s.Choose(5*time.Second, "s", nil); failure != nil {
		t.Errorf("refused although unreachable upstreams are the last resort: %v", failure)
	}
}

// Guards against processes that together send more requests to a cold upstream than it can
// take, also while they don't know each other, and against a small fleet that leaves most of
// the rate unused.
func TestColdUpstreamStaysWithinQuota(t *testing.T) {
	const divisor = 24
	for _, c := range []struct {
		rate             float64
		processes, known int
		least            float64
	}{
		{36, 24, 24, 0.8}, {36, 24, 1, 0.7}, {36, 6, 6, 0.2}, {26, 24, 24, 0.8}, {26, 24, 8, 0.6}, {26, 6, 6, 0.17},
	} {
		view := newView(api.Instance{ID: "a", Zone: "z", ColdUntil: time.Minute})
		view.Table.Services["s"] = api.ServiceProfile{Name: "s", ColdRate: c.rate}
		sent := 0
		for i := range c.processes {
			s := newState(view)
			fleet := newFleetView(i, c.processes)
			if c.known < c.processes {
				fleet.Names = newFleetView(0, c.known).Names
				fleet.Names[0] = fleet.Self
			}
			fleet.LimitDivisor = max(len(fleet.Names), divisor)
			s.SetFleet(fleet)
			for ms := range 1000 {
				if u, failure := s.Choose(time.Second+time.Duration(ms)*time.Millisecond, "s", nil); failure == nil {
					s.Done(0, u.Upstream, nil)
					sent++
				}
			}
		}
		bound := c.rate*1.5 + 5
		if float64(sent) > bound || float64(sent) < c.least*bound {
			t.Errorf("%+v: %d requests in a second, bound %.1f", c, sent, bound)
		}
	}
}

// Guards against the crash of a cold upstream when the number of processes
// exceeds its rate in requests per second and each of them sends one.
func TestManyProcessesStayWithinColdRate(t *testing.T) {
	const processes, bound = 300, 36*1.5 + 5
	v := newView(api.Instance{ID: "a", Zone: "z", ColdUntil: time.Minute}, api.Instance{ID: "b", Zone: "z", ColdUntil: time.Minute})
	counts := make(map[string]int)
	for i := range processes {
		s := newState(v)
		s.SetFleet(newFleetView(i, processes))
		for {
			c, failure := s.Choose(time.Second, "s", nil)
			if failure != nil {
				break
			}
			counts[c.Upstream]++
		}
	}
	for _, id := range []string{"a", "b"} {
		if n := counts[id]; float64(n) > bound || float64(n) < bound/2 {
			t.Errorf("%d requests in a second to %s, bound %v", n, id, bound)
		}
	}
}

// Guards against a process that sends requests to a cold upstream right after its
// start, before it knows how many processes share the upstream's rate.
func TestNoColdRequestsWithUnknownProcessCount(t *testing.T) {
	s := balance.New(balance.Options{Zone: "z", Seed: 1, ColdOvershoot: 1.5, ColdTolerance: 5})
	s.Configure(0, newView(api.Instance{ID: "a", Zone: "z", ColdUntil: time.Minute}))
	c, failure := s.Choose(time.Second, "s", nil)
	if failure == nil || failure.Code != api.CodeColdUpstream || failure.Run != api.NotRun {
		t.Errorf("unknown number of processes: chose %+v, %v", c, failure)
	}
	s.SetFleet(newFleetView(0, 24))
	if _, failure = s.Choose(time.Second, "s", nil); failure != nil {
		t.Errorf("refused with a known number of processes: %v", failure)
	}
}

// Guards against a choice that ignores the load from other processes.
func TestReportedLoadShiftsRequests(t *testing.T) {
	s := newState(newView(api.Instance{ID: "a", Zone: "z"}, api.Instance{ID: "b", Zone: "z"}))
	s.ObserveLoad(time.Second, api.UpstreamLoad{Upstream: "a", Running: 9, Slots: 12})
	if counts := countChoices(t, s, time.Second, 6); counts["a"] != 0 {
		t.Errorf("%v", counts)
	}
}

package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/balance"
)

func view(instances ...api.Instance) *api.View {
	v := &api.View{
		Table:     &api.RouteTable{Services: map[string]api.ServiceProfile{"s": {Name: "s", ColdPerSecond: 36}}},
		Instances: make(map[string]api.Instance),
		ZonesOut:  make(map[string]bool),
	}
	for _, in := range instances {
		in.Service, in.Slots = "s", 12
		v.Instances[in.ID] = in
	}
	return v
}

// fleet is what one of n processes knows of all.
func fleet(self, n int) *api.FleetView {
	v := &api.FleetView{Sharers: n}
	for i := range n {
		v.Names = append(v.Names, fmt.Sprintf("edge-%03d", i))
	}
	v.Self = v.Names[self]
	return v
}

func state(v *api.View) *balance.State {
	s := balance.New(balance.Options{Zone: "z", Seed: 1, ColdOvershoot: 1.5, ColdTolerance: 5})
	s.SetFleet(fleet(0, 24))
	s.Configure(v)
	return s
}

// chosen counts the choices of n requests that stay open.
func chosen(t *testing.T, s *balance.State, now time.Duration, n int) map[string]int {
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

// Guards against requests to upstreams that leave, are in a zone taken out or
// were tried already.
func TestOnlyUpstreamsThatTakeWorkAreChosen(t *testing.T) {
	v := view(api.Instance{ID: "a", Zone: "z"}, api.Instance{ID: "b", Zone: "z", Leaving: true}, api.Instance{ID: "c", Zone: "out"})
	v.ZonesOut["out"] = true
	s := state(v)
	if counts := chosen(t, s, time.Second, 5); counts["a"] != 5 {
		t.Errorf("%v", counts)
	}
	_, failure := s.Choose(time.Second, "s", []string{"a"})
	if failure == nil || failure.Run != api.NotRun || failure.RetryAfter <= 0 {
		t.Errorf("%v", failure)
	}
}

// Guards against an upstream that draws requests because none of them returns:
// a VM that stands still looks idle.
func TestAnUpstreamThatCannotBeReachedIsAvoided(t *testing.T) {
	s := state(view(api.Instance{ID: "a", Zone: "z"}, api.Instance{ID: "b", Zone: "z"}))
	s.Done(time.Second, "a", api.Fail(api.CodeUpstreamUnreached, api.NotRun, ""))
	if counts := chosen(t, s, 1500*time.Millisecond, 8); counts["a"] != 0 {
		t.Errorf("chosen while avoided: %v", counts)
	}
	if counts := chosen(t, s, 4*time.Second, 8); counts["a"] == 0 {
		t.Errorf("not chosen again: %v", counts)
	}
	s.Done(5*time.Second, "a", api.Fail(api.CodeUpstreamUnreached, api.NotRun, ""))
	s.Done(5*time.Second, "b", api.Fail(api.CodeUpstreamUnreached, api.NotRun, ""))
	if _, failure := s.Choose(5*time.Second, "s", nil); failure != nil {
		t.Errorf("the pool is empty: %v", failure)
	}
}

// Guards against a cold upstream that gets more than its part of the rate that
// all processes share.
func TestColdUpstreamsGetAPartOfTheirRate(t *testing.T) {
	s := state(view(api.Instance{ID: "a", Zone: "z", ColdUntil: time.Minute}))
	got := 0
	for i := range 1000 {
		if c, failure := s.Choose(time.Second+time.Duration(i)*time.Millisecond, "s", nil); failure == nil {
			s.Done(0, c.Upstream, nil)
			got++
		}
	}
	const bound = (36*1.5 + 5) / 24
	if float64(got) > bound || got == 0 {
		t.Errorf("%d requests in a second, bound %.1f", got, bound)
	}
}

// Guards against a cold upstream that looks idle to more processes than it
// bears requests a second, each of which sends its one: it crashes.
func TestManyProcessesKeepToTheRateOfAColdUpstream(t *testing.T) {
	const processes, bound = 300, 36*1.5 + 5
	v := view(api.Instance{ID: "a", Zone: "z", ColdUntil: time.Minute}, api.Instance{ID: "b", Zone: "z", ColdUntil: time.Minute})
	counts := make(map[string]int)
	for i := range processes {
		s := state(v)
		s.SetFleet(fleet(i, processes))
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

// Guards against a process that just started and takes a part of a rate without
// knowing how many share it.
func TestAProcessThatCountedNobodyLeavesColdUpstreamsAlone(t *testing.T) {
	s := balance.New(balance.Options{Zone: "z", Seed: 1, ColdOvershoot: 1.5, ColdTolerance: 5})
	s.Configure(view(api.Instance{ID: "a", Zone: "z", ColdUntil: time.Minute}))
	c, failure := s.Choose(time.Second, "s", nil)
	if failure == nil || failure.Code != api.CodeColdUpstream || failure.Run != api.NotRun {
		t.Errorf("chose %+v, %v", c, failure)
	}
	s.SetFleet(fleet(0, 24))
	if _, failure = s.Choose(time.Second, "s", nil); failure != nil {
		t.Errorf("refused in a counted fleet: %v", failure)
	}
}

// Guards against a load that other processes caused and that is not counted.
func TestStatedLoadsMoveRequestsElsewhere(t *testing.T) {
	s := state(view(api.Instance{ID: "a", Zone: "z"}, api.Instance{ID: "b", Zone: "z"}))
	s.Observe(time.Second, api.UpstreamLoad{Upstream: "a", Running: 9, Slots: 12})
	if counts := chosen(t, s, time.Second, 6); counts["a"] != 0 {
		t.Errorf("%v", counts)
	}
}

package discovery_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/discovery"
)

// Guards against upstreams that run and are dropped because their grace period passed while
// the store was away again and could not be written to.
func TestGracePeriodWaitsForStore(t *testing.T) {
	const second = time.Second
	all := []api.DiscoveryItem{configItem(1, 1), upstreamItem("a", 2), upstreamItem("b", 3)}
	failed := api.DiscoveryUpdate{Err: errors.New("refused")}
	for _, c := range []struct {
		name   string
		events []timedUpdate
		tickAt time.Duration
		listed bool
	}{
		{"store present", calm(1, 11*second, 12*second), 12500 * time.Millisecond, false},
		{"away again", []timedUpdate{{11 * second, failed}}, 15 * second, true},
		{"back again", []timedUpdate{{11 * second, failed}, {15 * second, list(1, 15*second, all[:2]...)}}, 17 * second, true},
		{"missing after the second return", append([]timedUpdate{{11 * second, failed}, {15 * second, list(1, 15*second, all[:2]...)}}, calm(1, 16*second, 17*second)...), 17500 * time.Millisecond, false},
		{"back after a moment", []timedUpdate{{11 * second, failed}, {12 * second, list(1, 12*second, all[:2]...)}}, 13 * second, true},
		{"registered again", []timedUpdate{{11 * second, failed}, {15 * second, list(1, 15*second, all[:2]...)}, {16 * second, changes(1, 16*second, upstreamItem("b", 9))}}, 19 * second, true},
		{"in the next era", []timedUpdate{{11 * second, failed}, {15 * second, list(2, 15*second, all...)}}, 19 * second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := discovery.New(discovery.Bounds{})
			s.Apply(second, list(1, second, all...))
			s.Apply(4*second, failed)
			view := s.Apply(10*second, list(1, 10*second, all[:2]...)).View
			if view == nil {
				view = &api.View{Instances: map[string]api.Instance{"b": {}}}
			}
			see := func(change discovery.Change) {
				if change.View != nil {
					view = change.View
				}
			}
			for _, e := range c.events {
				see(s.Tick(e.at))
				see(s.Apply(e.at, e.update))
			}
			see(s.Tick(c.tickAt))
			if _, listed := view.Instances["b"]; listed != c.listed {
				t.Errorf("listed %t, want %t", listed, c.listed)
			}
		})
	}
}

// Guards against a control loop that spins on an upstream whose removal is overdue while the
// store is away.
func TestOverdueRemovalAsksForNoTickWhileStoreIsAway(t *testing.T) {
	const second = time.Second
	s := discovery.New(discovery.Bounds{})
	s.Apply(second, list(1, second, configItem(1, 1), upstreamItem("a", 2)))
	s.Apply(10*second, list(1, 10*second, configItem(1, 1)))
	s.Apply(11*second, api.DiscoveryUpdate{Err: errors.New("refused")})
	if c := s.Tick(13 * second); c.View != nil || c.NextTick != 0 {
		t.Errorf("%+v", c)
	}
}

// Guards against an upstream that runs and gets no requests for some seconds: its lease expired
// near a return of the store, and it registered again before the first list of the next era.
func TestUpstreamThatRegisteredAgainBeforeFirstListOfEraIsListed(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name     string
		revision uint64
		listed   bool
	}{
		{"written after the removal", 12, true},
		{"the entry from before", 3, false},
		{"written before the removal, not read", 9, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := discovery.New(discovery.Bounds{})
			s.Apply(second, list(1, second, configItem(1, 2), startedItem("a", 3, 10, false)))
			missing := list(1, 10*second, configItem(1, 2))
			missing.Revision = 11
			s.Apply(10*second, missing)
			if view := s.Tick(13 * second).View; view == nil || len(view.Instances) > 0 {
				t.Fatalf("not dropped: %+v", view)
			}
			view := s.Apply(14*second, list(2, 14*second, configItem(1, 2), startedItem("a", c.revision, 10, false))).View
			if _, listed := view.Instances["a"]; listed != c.listed {
				t.Errorf("listed %t, want %t", listed, c.listed)
			}
		})
	}
}

// Guards against requests to an upstream that is gone for as long as a list of many pages takes,
// because the grace period after an outage began with the last page: the store was back before
// the first. An upstream that registered after its page was read must not be dropped either.
func TestGracePeriodBeginsWithFirstAnswer(t *testing.T) {
	const second = time.Second
	for _, c := range []struct{ first, dropAt time.Duration }{
		{12 * second, 12*second + discovery.ReregistrationGrace},
		{11 * second, 11*second + discovery.ReregistrationGrace},
		{8 * second, 12*second + 200*time.Millisecond},
	} {
		s := discovery.New(discovery.Bounds{})
		s.Apply(second, list(0, second, configItem(1, 2), startedItem("a", 3, 10, false), startedItem("b", 4, 10, false)))
		u := list(0, c.first, configItem(1, 2), startedItem("a", 3, 10, false))
		u.FirstAnswerAt = c.first
		s.Apply(2*second, changes(0, 2*second))
		u.Err = context.DeadlineExceeded
		s.Apply(3*second, u)
		u.Err = nil
		change := s.Apply(12*second, u)
		if len(change.Dropped) > 0 || change.NextTick != c.dropAt {
			t.Errorf("first answer at %v: %v dropped, the next tick is at %v, want %v", c.first, change.Dropped, change.NextTick, c.dropAt)
		}
		if change = s.Tick(c.dropAt); len(change.Dropped) != 1 {
			t.Errorf("first answer at %v: %v dropped at %v", c.first, change.Dropped, c.dropAt)
		}
	}
}

// Guards against requests to an upstream whose removal the store has stated, because failures to
// read it, or a copy that still holds the upstream, put the end of its deferral off.
func TestStatedRemovalIsNotPutOffFurther(t *testing.T) {
	const second, tenth = time.Second, 100 * time.Millisecond
	all := []api.DiscoveryItem{configItem(1, 1), startedItem("a", 2, 10, false), startedItem("b", 3, 10, false)}
	failed := api.DiscoveryUpdate{Err: errors.New("refused")}
	for _, c := range []struct {
		name   string
		events []timedUpdate
	}{
		{"a short failure", []timedUpdate{{48 * tenth, failed}, {49 * tenth, list(1, 49*tenth, all[:2]...)}}},
		{"the store stays away", []timedUpdate{{48 * tenth, failed}}},
		{"failures recur", []timedUpdate{{45 * tenth, failed}, {46 * tenth, list(1, 46*tenth, all[:2]...)}, {52 * tenth, failed}, {53 * tenth, list(1, 53*tenth, all[:2]...)}}},
		{"a copy that holds it", []timedUpdate{{45 * tenth, list(2, 45*tenth, all...)}}},
		{"a copy that lacks it", []timedUpdate{{45 * tenth, list(2, 45*tenth, all[:2]...)}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := discovery.New(discovery.Bounds{})
			view := s.Apply(second, list(1, second, all...)).View
			see := func(change discovery.Change) {
				if change.View != nil {
					view = change.View
				}
			}
			see(s.Apply(30*tenth, failed))
			see(s.Apply(31*tenth, list(1, 31*tenth, all...)))
			see(s.Apply(40*tenth, changes(1, 40*tenth, deletedItem("b", 9))))
			if _, listed := view.Instances["b"]; !listed {
				t.Fatal("the removal after a failure was not deferred")
			}
			for _, e := range c.events {
				see(s.Apply(e.at, e.update))
			}
			see(s.Tick(60*tenth - tenth/2))
			if _, listed := view.Instances["b"]; listed {
				t.Error("still listed 1.95 s after the removal was read")
			}
		})
	}
}

// Guards against an upstream that runs and stays out of use: its lease expired, it registered
// again before the first list of a new era, and the removal was still deferred.
func TestUpstreamThatRegisteredAgainWhileRemovalIsDeferredIsListed(t *testing.T) {
	const second = time.Second
	s := discovery.New(discovery.Bounds{})
	s.Apply(second, list(1, second, configItem(1, 2), startedItem("a", 3, 10, false)))
	s.Apply(2*second, api.DiscoveryUpdate{Err: errors.New("refused")})
	s.Apply(3*second, list(1, 3*second, configItem(1, 2), startedItem("a", 3, 10, false)))
	view := s.Apply(3500*time.Millisecond, changes(1, 3500*time.Millisecond, deletedItem("a", 9))).View
	if view != nil {
		t.Fatalf("not deferred: %+v", view)
	}
	again := list(2, 4*second, configItem(1, 2), startedItem("a", 10, 10, false))
	again.Revision = 10
	view = s.Apply(4*second, again).View
	if _, listed := view.Instances["a"]; !listed {
		t.Error("not listed")
	}
}

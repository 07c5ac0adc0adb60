package discovery_test

import (
	"errors"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/discovery"
)

// Guards against an upstream that stays out of use, and a zone out of service, for good after the
// store came back from a copy: at a process that polls less often than an outage lasts, and where
// reads fail again and again.
func TestHoldOverCopyEnds(t *testing.T) {
	const second = time.Second
	copied := []api.DiscoveryItem{configItem(7, 2), startedItem("a", 3, 10, false)}
	for _, c := range []struct {
		name     string
		bounds   discovery.Bounds
		interval time.Duration
		fails    bool
	}{
		{"polls", discovery.Bounds{PollInterval: 3 * second}, 3 * second, false},
		{"polls seldom", discovery.Bounds{PollInterval: 10 * second}, 10 * second, false},
		{"failures recur", discovery.Bounds{}, second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := discovery.New(c.bounds)
			s.Apply(second, list(1, second, copied...))
			s.Apply(2*second, changes(1, 2*second, deletedItem("a", 9), zoneItem("z", 10)))
			view := s.Apply(5*second, list(2, 5*second, copied...)).View
			for i := range 30 {
				at := 5*second + time.Duration(i+1)*c.interval
				if c.fails && i%4 == 3 {
					s.Apply(at-100*time.Millisecond, api.DiscoveryUpdate{Err: errors.New("refused")})
				}
				if change := s.Apply(at, list(2, at, copied...)); change.View != nil {
					view = change.View
				}
			}
			if _, listed := view.Instances["a"]; !listed || view.ZonesOut["z"] {
				t.Errorf("upstreams %+v, zones out of service %v", view.Instances, view.ZonesOut)
			}
		})
	}
}

// Guards against an upstream that was removed in the second of three eras and gets requests
// again, since its entry in a copy of the first has a higher revision than the removal; and
// against a removal that is remembered for longer than the copies are old.
func TestRemovalIsKnownOverOlderCopy(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name   string
		at     time.Duration
		listed bool
	}{
		{"soon", 20 * second, false},
		{"after an hour", time.Hour, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := discovery.New(discovery.Bounds{})
			s.Apply(second, list(1, second, configItem(1, 2), startedItem("a", 80, 10, false)))
			s.Apply(2*second, list(2, 2*second, configItem(1, 2), startedItem("a", 30, 10, false)))
			for _, e := range calm(2, 3*second, 10*second) {
				s.Apply(e.at, e.update)
			}
			if view := s.Apply(11*second, changes(2, 11*second, deletedItem("a", 40))).View; view == nil || len(view.Instances) > 0 {
				t.Fatalf("not removed: %+v", view)
			}
			change := s.Apply(c.at, list(3, c.at, configItem(1, 2), startedItem("a", 80, 10, false)))
			if listed := change.View != nil && len(change.View.Instances) > 0; listed != c.listed {
				t.Errorf("listed %t, want %t", listed, c.listed)
			}
		})
	}
}

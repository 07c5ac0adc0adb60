package discovery_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/discovery"
)

func startedItem(id string, revision uint64, startedAtMs int64, leaving bool) api.DiscoveryItem {
	item := upstreamItem(id, revision)
	item.Instance.StartedAtMs, item.Instance.Leaving = startedAtMs, leaving
	return item
}

func zoneItem(zone string, revision uint64) api.DiscoveryItem {
	return api.DiscoveryItem{Key: "op/evacuate/" + zone, Revision: revision, OutOfServiceZone: zone}
}

// list is a read of all entries in an era.
func list(era uint64, asOf time.Duration, items ...api.DiscoveryItem) api.DiscoveryUpdate {
	return api.DiscoveryUpdate{Full: true, Era: era, AsOf: asOf, Items: items}
}

// changes are the events of a watch in an era.
func changes(era uint64, asOf time.Duration, items ...api.DiscoveryItem) api.DiscoveryUpdate {
	return api.DiscoveryUpdate{Era: era, AsOf: asOf, Items: items}
}

// calm are watches in an era that are answered without changes, once a second.
func calm(era uint64, from, until time.Duration) []timedUpdate {
	var answers []timedUpdate
	for at := from; at <= until; at += time.Second {
		answers = append(answers, timedUpdate{at, changes(era, at)})
	}
	return answers
}

// Guards against a store that comes back from an older copy of itself and makes a process
// drop the writes that follow, whose revisions are lower than before, or take for true what
// only the copy says: an upstream that was removed or was leaving gets requests again, a zone
// that was out of service as well, and a configuration of before comes back.
func TestCopyOfStore(t *testing.T) {
	const second = time.Second
	// before is the state at the end of era 1: a leaves, b was removed, z is out of service.
	before := []timedUpdate{
		{second, list(1, second, configItem(7, 2), startedItem("a", 3, 10, false), startedItem("b", 4, 10, false), startedItem("c", 5, 10, false))},
		{2 * second, changes(1, 2*second, startedItem("a", 20, 10, true), deletedItem("b", 21), zoneItem("z", 22), configItem(9, 23))},
	}
	// copied is what the copy holds.
	copied := []api.DiscoveryItem{configItem(7, 2), startedItem("a", 3, 10, false), startedItem("b", 4, 10, false), startedItem("c", 5, 10, false)}
	afterCopy := func(events ...timedUpdate) []timedUpdate {
		return append(append(slices.Clone(before), timedUpdate{3 * second, list(2, 3*second, copied...)}), events...)
	}
	for _, c := range []struct {
		name   string
		events []timedUpdate
		// usable are the upstreams that may get requests, all is what is listed.
		usable, all []string
		version     uint64
		zoneOut     bool
	}{
		{"at the end of era 1", before, []string{"c"}, []string{"a", "c"}, 9, true},
		{"from the copy", afterCopy(), []string{"c"}, []string{"a", "c"}, 9, true},
		{
			"lower revisions are new writes",
			afterCopy(timedUpdate{4 * second, changes(2, 4*second, configItem(11, 6), deletedItem("c", 7))}),
			[]string{"c"}, []string{"a", "c"}, 11, true,
		},
		{
			"a removal in the new era ends with the grace period",
			afterCopy(timedUpdate{4 * second, changes(2, 4*second, deletedItem("c", 7))}, timedUpdate{6 * second, changes(2, 6*second)}),
			nil, []string{"a"}, 9, true,
		},
		{
			"written again",
			afterCopy(append([]timedUpdate{{4 * second, changes(2, 4*second, startedItem("a", 6, 10, true), zoneItem("z", 8), configItem(9, 9))}}, calm(2, 5*second, 20*second)...)...),
			[]string{"b", "c"}, []string{"a", "b", "c"}, 9, true,
		},
		{
			"versions that were lost are written again in turn, and late",
			afterCopy(append(calm(2, 4*second, 9*second), timedUpdate{10 * second, changes(2, 10*second, configItem(8, 9))}, timedUpdate{11 * second, changes(2, 11*second)})...),
			[]string{"a", "b", "c"}, []string{"a", "b", "c"}, 9, false,
		},
		{
			"what a leaving upstream wrote before it left is written again",
			afterCopy(timedUpdate{4 * second, changes(2, 4*second, startedItem("a", 6, 10, false))}, timedUpdate{5 * second, changes(2, 5*second)}),
			[]string{"c"}, []string{"a", "c"}, 9, true,
		},
		{
			"the copy lacks a leaving upstream, and what it wrote before it left is written again",
			append(slices.Clone(before), timedUpdate{3 * second, list(2, 3*second, configItem(7, 2), startedItem("c", 3, 10, false))},
				timedUpdate{4 * second, changes(2, 4*second, startedItem("a", 6, 10, false))}, timedUpdate{5 * second, changes(2, 5*second)}),
			[]string{"c"}, []string{"c"}, 9, true,
		},
		{
			"a leaving upstream can't be decoded in the copy, and what it wrote before it left is written again",
			append(slices.Clone(before), timedUpdate{3 * second, list(2, 3*second, configItem(7, 2), api.DiscoveryItem{Key: "servers/a", Revision: 3, Malformed: errors.New("bytes")}, startedItem("c", 3, 10, false))},
				timedUpdate{4 * second, changes(2, 4*second, startedItem("a", 6, 10, false))}, timedUpdate{5 * second, changes(2, 5*second)}),
			[]string{"c"}, []string{"c"}, 9, true,
		},
		{
			"a leaving upstream that the copy lacks starts again",
			append(slices.Clone(before), timedUpdate{3 * second, list(2, 3*second, configItem(7, 2), startedItem("c", 3, 10, false))},
				timedUpdate{4 * second, changes(2, 4*second, startedItem("a", 6, 20, false))}),
			[]string{"a", "c"}, []string{"a", "c"}, 9, true,
		},
		{
			"what an upstream wrote before its last start is written again",
			afterCopy(timedUpdate{4 * second, changes(2, 4*second, startedItem("a", 6, 5, false))}, timedUpdate{5 * second, changes(2, 5*second)}),
			[]string{"c"}, []string{"a", "c"}, 9, true,
		},
		{
			"all that a leaving upstream wrote is written again",
			afterCopy(append([]timedUpdate{{4 * second, changes(2, 4*second, startedItem("a", 6, 10, false))}, {5 * second, changes(2, 5*second, startedItem("a", 7, 10, true))}},
				calm(2, 6*second, 9*second)...)...),
			[]string{"b", "c"}, []string{"a", "b", "c"}, 9, false,
		},
		{
			"an upstream starts again and another registers again",
			afterCopy(timedUpdate{4 * second, changes(2, 4*second, startedItem("a", 6, 30, false), startedItem("b", 7, 10, false))}),
			[]string{"a", "b", "c"}, []string{"a", "b", "c"}, 9, true,
		},
		{
			"the zone is written and taken back",
			afterCopy(timedUpdate{4 * second, changes(2, 4*second, zoneItem("z", 6))}, timedUpdate{5 * second, changes(2, 5*second, api.DiscoveryItem{Key: "op/evacuate/z", Revision: 7, Deleted: true})}),
			[]string{"c"}, []string{"a", "c"}, 9, false,
		},
		{
			"nobody writes again: what the store says wins after the leases in the copy",
			afterCopy(calm(2, 4*second, 9*second)...),
			[]string{"a", "b", "c"}, []string{"a", "b", "c"}, 9, false,
		},
		{
			"a second read of the copy does not end the earlier knowledge",
			afterCopy(timedUpdate{4 * second, list(2, 4*second, copied...)}),
			[]string{"c"}, []string{"a", "c"}, 9, true,
		},
		{
			"the lease in the copy of an upstream that is gone expires",
			afterCopy(append(calm(2, 4*second, 6*second), timedUpdate{7 * second, changes(2, 7*second, deletedItem("b", 6))}, timedUpdate{9 * second, changes(2, 9*second)})...),
			[]string{"a", "c"}, []string{"a", "c"}, 9, false,
		},
		{
			"a third era within seconds",
			afterCopy(timedUpdate{4 * second, list(3, 4*second, copied...)}, timedUpdate{8 * second, changes(3, 8*second)}),
			[]string{"c"}, []string{"a", "c"}, 9, true,
		},
		{
			"an answer to a call from before the end of the leases in the copy",
			afterCopy(timedUpdate{9 * second, changes(2, 6*second)}),
			[]string{"c"}, []string{"a", "c"}, 9, true,
		},
		{
			"a third era after a long absence of the store",
			afterCopy(timedUpdate{20 * second, list(3, 20*second, copied...)}, timedUpdate{21 * second, changes(3, 21*second)}),
			[]string{"c"}, []string{"a", "c"}, 9, true,
		},
		{
			"late answers of era 1 change nothing",
			afterCopy(timedUpdate{4 * second, changes(1, 4*second, deletedItem("c", 90), configItem(13, 91))}, timedUpdate{5 * second, list(1, 5*second)}),
			[]string{"c"}, []string{"a", "c"}, 9, true,
		},
		{
			"a watch of era 2 before a list of it changes nothing",
			append(slices.Clone(before), timedUpdate{3 * second, changes(2, 3*second, deletedItem("c", 90))}),
			[]string{"c"}, []string{"a", "c"}, 9, true,
		},
		{
			"upstreams that the copy lacks register again in time",
			append(slices.Clone(before), timedUpdate{3 * second, list(2, 3*second, configItem(7, 2))}, timedUpdate{5 * second, changes(2, 5*second, startedItem("c", 3, 10, false))}, timedUpdate{6 * second, changes(2, 6*second)}),
			[]string{"c"}, []string{"c"}, 9, true,
		},
		{
			"upstreams that the copy lacks and that don't register are gone",
			append(slices.Clone(before), timedUpdate{3 * second, list(2, 3*second, configItem(7, 2))}, timedUpdate{6 * second, changes(2, 6*second)}),
			nil, nil, 9, true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := discovery.New(discovery.Bounds{})
			var view *api.View
			for _, e := range c.events {
				if change := s.Apply(e.at, e.update); change.View != nil {
					view = change.View
				}
			}
			var usable, all []string
			for id, in := range view.Instances {
				all = append(all, id)
				if !in.Leaving {
					usable = append(usable, id)
				}
			}
			slices.Sort(all)
			slices.Sort(usable)
			if !slices.Equal(usable, c.usable) {
				t.Errorf("usable upstreams %v, want %v", usable, c.usable)
			}
			if c.all != nil && !slices.Equal(all, c.all) {
				t.Errorf("upstreams %v, want %v", all, c.all)
			}
			if view.Table.Version != c.version {
				t.Errorf("version %d, want %d", view.Table.Version, c.version)
			}
			if view.ZonesOut["z"] != c.zoneOut {
				t.Errorf("zone out of service: %t, want %t", view.ZonesOut["z"], c.zoneOut)
			}
		})
	}
}

// Guards against requests to an upstream that left, or to a zone out of service, because the
// time for which that is known over a copy of the store ended while the store was away.
func TestKnowledgeOverCopyOutlastsAbsenceOfStore(t *testing.T) {
	const second = time.Second
	s := discovery.New(discovery.Bounds{})
	s.Apply(second, list(1, second, configItem(1, 2), startedItem("a", 3, 10, true), zoneItem("z", 4)))
	s.Apply(2*second, list(2, 2*second, configItem(1, 2), startedItem("a", 3, 10, false)))
	s.Apply(4*second, api.DiscoveryUpdate{Err: context.DeadlineExceeded})
	if c := s.Tick(20 * second); c.View != nil || c.NextTick != 0 {
		t.Errorf("without an answer of the store: view %+v, next tick at %v", c.View, c.NextTick)
	}
	// Leases in the copy may end only after the absence.
	if c := s.Apply(21*second, changes(2, 21*second)); c.View != nil {
		t.Errorf("with the first answer after the absence: view %+v", c.View)
	}
	var view *api.View
	for _, e := range calm(2, 22*second, 26*second) {
		if change := s.Apply(e.at, e.update); change.View != nil {
			view = change.View
		}
	}
	if view == nil || view.Instances["a"].Leaving || view.ZonesOut["z"] {
		t.Errorf("after the leases in the copy: view %+v", view)
	}
}

// Guards against a cold upstream that gets its full load because the copy of the store was
// made before its cold start was known.
func TestColdStartOutlastsCopyOfStore(t *testing.T) {
	cold := upstreamItem("a", 9)
	cold.Instance.ColdUntil = 8 * time.Second
	s := discovery.New(discovery.Bounds{})
	s.Apply(time.Second, list(1, time.Second, configItem(1, 2), cold))
	view := s.Apply(2*time.Second, list(2, 2*time.Second, configItem(1, 2), upstreamItem("a", 3))).View
	if until := view.Instances["a"].ColdUntil; until != 8*time.Second {
		t.Errorf("cold until %v", until)
	}
}

// Guards against requests to an address that another upstream has, after each return of the
// store from a copy.
func TestReassignedAddressStaysExcludedInNewEra(t *testing.T) {
	s := discovery.New(discovery.Bounds{})
	s.Apply(time.Second, list(1, time.Second, configItem(1, 2), startedItem("a", 9, 10, false)))
	s.MarkAddressReassigned(2*time.Second, "a")
	view := s.Apply(2*time.Second, list(2, 2*time.Second, configItem(1, 2), startedItem("a", 3, 10, false))).View
	if _, listed := view.Instances["a"]; listed {
		t.Error("listed again")
	}
}

// Guards against an upstream that was removed or leaves, and a zone out of service, that get
// requests again by a copy of the store, because the time in which they could be written
// again passed while the store was away or the process didn't run.
func TestKnowledgeOutlastsCopyWhileStoreIsAway(t *testing.T) {
	const second = time.Second
	copied := []api.DiscoveryItem{configItem(7, 2), startedItem("a", 3, 10, false), startedItem("b", 4, 10, false), startedItem("c", 5, 10, false)}
	failed := api.DiscoveryUpdate{Err: errors.New("refused")}
	for _, c := range []struct {
		name   string
		events []timedUpdate
		// tickAt is the time of the last tick.
		tickAt time.Duration
	}{
		{"while the store is away", []timedUpdate{{4 * second, failed}}, 9 * second},
		{"while the process was paused", nil, 20 * second},
		{"after the return", []timedUpdate{{4 * second, failed}, {10 * second, list(2, 10*second, copied...)}, {11 * second, changes(2, 11*second)}}, 12 * second},
		{"after a silence", []timedUpdate{{10 * second, changes(2, 10*second)}, {11 * second, changes(2, 11*second)}}, 12 * second},
		{"after a short absence", []timedUpdate{{7 * second, failed}, {7100 * time.Millisecond, list(2, 7100*time.Millisecond, copied...)}, {8 * second, changes(2, 8*second)}}, 9 * second},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := discovery.New(discovery.Bounds{})
			s.Apply(second, list(1, second, copied...))
			s.Apply(2*second, changes(1, 2*second, startedItem("a", 20, 10, true), deletedItem("b", 21), zoneItem("z", 22)))
			view := s.Apply(3*second, list(2, 3*second, copied...)).View
			for _, e := range c.events {
				if change := s.Apply(e.at, e.update); change.View != nil {
					view = change.View
				}
			}
			if change := s.Tick(c.tickAt); change.View != nil {
				view = change.View
			}
			if _, listed := view.Instances["b"]; listed || !view.Instances["a"].Leaving || !view.ZonesOut["z"] {
				t.Errorf("upstreams %+v, zones out of service %v", view.Instances, view.ZonesOut)
			}
		})
	}
}

// Guards against an upstream that gets requests again after it had said that it leaves: its
// entry could not be decoded for a moment, and the store came back from a copy older than both.
func TestLeavingIsKnownAfterMalformedEntryAndCopy(t *testing.T) {
	const second = time.Second
	malformed := api.DiscoveryItem{Key: "servers/a", Revision: 5, Malformed: errors.New("bytes")}
	for _, c := range []struct {
		name    string
		leaving bool
		copied  int64
		listed  bool
	}{
		{"leaving", true, 10, false},
		{"leaving, started again", true, 20, true},
		{"available", false, 10, true},
		{"available, earlier start", false, 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := discovery.New(discovery.Bounds{})
			s.Apply(second, list(1, second, configItem(1, 2), startedItem("a", 3, 10, false)))
			s.Apply(2*second, changes(1, 2*second, startedItem("a", 4, 10, c.leaving), malformed))
			view := s.Apply(3*second, list(2, 3*second, configItem(1, 2), startedItem("a", 3, c.copied, false))).View
			if _, listed := view.Instances["a"]; listed != c.listed {
				t.Errorf("listed %t, want %t", listed, c.listed)
			}
		})
	}
}

package discovery_test

import (
	"errors"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/discovery"
)

func upstreamItem(id string, revision uint64) api.DiscoveryItem {
	return api.DiscoveryItem{Key: "servers/" + id, Revision: revision, Instance: &api.Instance{ID: id, Service: "s", Zone: "z"}}
}

func deletedItem(id string, revision uint64) api.DiscoveryItem {
	return api.DiscoveryItem{Key: "servers/" + id, Revision: revision, Deleted: true}
}

func configItem(version, revision uint64) api.DiscoveryItem {
	return api.DiscoveryItem{Key: "op/config", Revision: revision, Table: &api.RouteTable{Version: version}}
}

// timedUpdate is an update and its time of arrival.
type timedUpdate struct {
	at     time.Duration
	update api.DiscoveryUpdate
}

// Guards against views that revert, keep a removed upstream, or drop one whose
// lease expired during an outage of the store.
func TestApplyUpdatesView(t *testing.T) {
	const wait = 1200 * time.Millisecond
	full := api.DiscoveryUpdate{Full: true, AsOf: time.Second, Items: []api.DiscoveryItem{configItem(4, 1), upstreamItem("a", 2), upstreamItem("b", 3)}}
	cases := []struct {
		name    string
		events  []timedUpdate
		want    []string
		version uint64
	}{
		{
			// A watch that ends without changes reports the state as of its send,
			// one wait ago. That is not an outage.
			name: "removed between two watches without changes",
			events: []timedUpdate{
				{time.Second, full},
				{time.Second + wait, api.DiscoveryUpdate{AsOf: time.Second + time.Millisecond}},
				{time.Second + 2*wait - time.Millisecond, api.DiscoveryUpdate{AsOf: time.Second + wait, Items: []api.DiscoveryItem{deletedItem("a", 9)}}},
			},
			want: []string{"b"}, version: 4,
		},
		{
			// A watch that returns changes was current at its start only, but its answer
			// shows that the store works.
			name: "removed after a watch with a late change and a quiet moment",
			events: []timedUpdate{
				{time.Second, full},
				{time.Second + wait, api.DiscoveryUpdate{AsOf: time.Second, Items: []api.DiscoveryItem{configItem(4, 5)}}},
				{time.Second + 5*wait/2, api.DiscoveryUpdate{AsOf: time.Second + 5*wait/2}},
				{time.Second + 11*wait/4, api.DiscoveryUpdate{AsOf: time.Second + 5*wait/2, Items: []api.DiscoveryItem{deletedItem("a", 9)}}},
			},
			want: []string{"b"}, version: 4,
		},
		{
			name: "unread entries stay",
			events: []timedUpdate{
				{time.Second, full},
				{2 * time.Second, api.DiscoveryUpdate{Full: true, SkippedPrefix: "servers/", AsOf: 2 * time.Second, Items: []api.DiscoveryItem{configItem(7, 9)}}},
				{3 * time.Second, api.DiscoveryUpdate{Full: true, SkippedPrefix: "op/", AsOf: 3 * time.Second, Items: []api.DiscoveryItem{upstreamItem("b", 3)}}},
			},
			want: []string{"b"}, version: 7,
		},
		{
			name: "lease expired during an outage of the store",
			events: []timedUpdate{
				{time.Second, full},
				{3 * time.Second, api.DiscoveryUpdate{Err: errors.New("down")}},
				{6 * time.Second, api.DiscoveryUpdate{Full: true, AsOf: 6 * time.Second, Items: []api.DiscoveryItem{configItem(4, 1), upstreamItem("b", 3)}}},
			},
			want: []string{"a", "b"}, version: 4,
		},
		{
			name: "still missing after the grace period",
			events: []timedUpdate{
				{time.Second, full},
				{6 * time.Second, api.DiscoveryUpdate{Full: true, AsOf: 6 * time.Second, Items: []api.DiscoveryItem{configItem(4, 1), upstreamItem("b", 3)}}},
				{6*time.Second + discovery.ReregistrationGrace, api.DiscoveryUpdate{AsOf: 6*time.Second + wait}},
			},
			want: []string{"b"}, version: 4,
		},
		{
			name: "registered again within the grace period",
			events: []timedUpdate{
				{time.Second, full},
				{6 * time.Second, api.DiscoveryUpdate{Full: true, AsOf: 6 * time.Second, Items: []api.DiscoveryItem{configItem(4, 1), upstreamItem("b", 3)}}},
				{7 * time.Second, api.DiscoveryUpdate{AsOf: 7 * time.Second, Items: []api.DiscoveryItem{upstreamItem("a", 12)}}},
				{9 * time.Second, api.DiscoveryUpdate{AsOf: 9 * time.Second}},
			},
			want: []string{"a", "b"}, version: 4,
		},
		{
			name: "older configuration arrives late",
			events: []timedUpdate{
				{time.Second, full},
				{2 * time.Second, api.DiscoveryUpdate{AsOf: 2 * time.Second, Items: []api.DiscoveryItem{configItem(7, 20), deletedItem("b", 21)}}},
				{3 * time.Second, api.DiscoveryUpdate{AsOf: 2 * time.Second, Items: []api.DiscoveryItem{configItem(4, 1)}}},
			},
			want: []string{"a"}, version: 7,
		},
		{
			name: "newer revision with an older version",
			events: []timedUpdate{
				{time.Second, full},
				{2 * time.Second, api.DiscoveryUpdate{AsOf: 2 * time.Second, Items: []api.DiscoveryItem{configItem(3, 30)}}},
			},
			want: []string{"a", "b"}, version: 4,
		},
		{
			name: "malformed upstream is dropped, malformed configuration ignored",
			events: []timedUpdate{
				{time.Second, full},
				{2 * time.Second, api.DiscoveryUpdate{AsOf: 2 * time.Second, Items: []api.DiscoveryItem{
					{Key: "servers/a", Revision: 30, Malformed: errors.New("bytes")},
					{Key: "op/config", Revision: 31, Malformed: errors.New("bytes")},
				}}},
			},
			want: []string{"b"}, version: 4,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := discovery.New(discovery.Bounds{})
			var view *api.View
			for _, e := range c.events {
				if change := s.Apply(e.at, e.update); change.View != nil {
					view = change.View
				}
			}
			if len(view.Instances) != len(c.want) {
				t.Errorf("upstreams %v, want %v", view.Instances, c.want)
			}
			for _, id := range c.want {
				if _, ok := view.Instances[id]; !ok {
					t.Errorf("no upstream %s", id)
				}
			}
			if view.Table.Version != c.version {
				t.Errorf("version %d, want %d", view.Table.Version, c.version)
			}
		})
	}
}

// Guards against requests to an address that was reassigned to another
// upstream, and against an upstream that stays excluded after it registered
// again.
func TestUpstreamWithReassignedAddressIsExcludedUntilItsEntryChanges(t *testing.T) {
	s := discovery.New(discovery.Bounds{})
	s.Apply(time.Second, api.DiscoveryUpdate{Full: true, AsOf: time.Second, Items: []api.DiscoveryItem{configItem(4, 1), upstreamItem("a", 2)}})
	if view := s.MarkAddressReassigned(2*time.Second, "a").View; view == nil || len(view.Instances) != 0 {
		t.Fatalf("still listed: %v", view)
	}
	change := s.Apply(2*time.Second, api.DiscoveryUpdate{AsOf: 2 * time.Second, Items: []api.DiscoveryItem{upstreamItem("a", 5)}})
	if change.View == nil || len(change.View.Instances) != 1 {
		t.Errorf("not listed after it registered again: %v", change.View)
	}
}

// Guards against requests to a crashed upstream that stays listed until its
// lease expires, although its successor is registered at the same address:
// each edge would send to it once before it finds out. An entry with an
// unknown service, from another writer, must not take over an address.
func TestLatestStartOwnsAddress(t *testing.T) {
	entry := func(id, service, address string, startedAtMs int64, revision uint64) api.DiscoveryItem {
		item := upstreamItem(id, revision)
		item.Instance.Service, item.Instance.Address, item.Instance.StartedAtMs = service, address, startedAtMs
		return item
	}
	table := configItem(4, 1)
	table.Table.Services = map[string]api.ServiceProfile{"s": {Name: "s"}}
	s := discovery.New(discovery.Bounds{})
	s.Apply(time.Second, api.DiscoveryUpdate{Full: true, AsOf: time.Second, Items: []api.DiscoveryItem{
		table, entry("old", "s", "10.0.0.1:80", 100, 2), entry("other", "s", "10.0.0.2:80", 100, 3),
		entry("unknown", "s", "10.0.0.1:80", 0, 4),
	}})
	view := s.Apply(2*time.Second, api.DiscoveryUpdate{AsOf: 2 * time.Second, Items: []api.DiscoveryItem{
		entry("new", "s", "10.0.0.1:80", 200, 5), entry("forged", "none", "10.0.0.2:80", 300, 6),
	}}).View
	for id, want := range map[string]bool{"old": false, "new": true, "other": true, "unknown": true} {
		if _, listed := view.Instances[id]; listed != want {
			t.Errorf("%s: listed %t", id, listed)
		}
	}
}

// Guards against accepting keys that may have been revoked. Watches may miss
// changes for a second, so the state may be that much older than its time.
func TestKeysAreTrustedForLessThanTheRevocationDeadline(t *testing.T) {
	const deadline = 5 * time.Second
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{{0, true}, {3500 * time.Millisecond, true}, {4 * time.Second, false}, {deadline, false}} {
		if got := discovery.KeysTrusted(time.Minute+c.age, time.Minute, deadline); got != c.want {
			t.Errorf("age %v: trusted %v", c.age, got)
		}
	}
	if discovery.KeysTrusted(time.Second, 0, deadline) {
		t.Error("trusted before the store was read")
	}
}

package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func nodeList(zones, perZone int) []Node {
	var all []Node
	for z := range zones {
		for i := range perZone {
			all = append(all, Node{Name: fmt.Sprintf("z%d-%d", z, i), Zone: fmt.Sprintf("z%d", z)})
		}
	}
	return all
}

// Guards against a disconnected exchange graph, which would leave processes on an
// old revision, and against too many watchers for the configuration service or too
// many neighbours for a node.
func TestTopologyIsConnectedAndBounded(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{1, 1}, {1, 2}, {3, 1}, {3, 6}, {6, 168}} {
		all := nodeList(size.zones, size.perZone)
		watchers, links := map[string]int{}, map[string][]string{}
		for _, n := range all {
			topo := Derive(n, all)
			if topo.Watcher {
				watchers[n.Zone]++
			}
			if bound := ZoneNeighbours + 1 + size.zones; len(topo.Neighbours) > bound {
				t.Errorf("%v: %s has %d neighbours", size, n.Name, len(topo.Neighbours))
			}
			for _, p := range topo.Neighbours {
				links[n.Name] = append(links[n.Name], p)
				links[p] = append(links[p], n.Name)
			}
		}
		for z, w := range watchers {
			if w != min(WatchersPerZone, size.perZone) {
				t.Errorf("%v: %d watchers in %s", size, w, z)
			}
		}
		if got := countReachable(links, all[0].Name); got != len(all) {
			t.Errorf("%v: %d of %d nodes connected", size, got, len(all))
		}
	}
}

func countReachable(links map[string][]string, from string) int {
	seen, queue := map[string]bool{from: true}, []string{from}
	for len(queue) > 0 {
		for _, n := range links[queue[0]] {
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
		queue = queue[1:]
	}
	return len(seen)
}

// Guards against leaving nodes that are chosen as watchers or neighbours and
// stop soon after.
func TestLeavingNodesHaveNoRole(t *testing.T) {
	all := nodeList(1, 4)
	for i := range all {
		all[i].Leaving = i > 0
	}
	if topo := Derive(all[0], all); !topo.Watcher || len(topo.Neighbours) != 0 {
		t.Errorf("got %+v", topo)
	}
}

func newReadyState(t *testing.T, v Version) *State {
	t.Helper()
	s := New(Node{Name: "a", Zone: "z"}, nil)
	s.Start(0)
	s.SetMembers(0, nil)
	s.Delivered(0, v)
	s.Validated(0, v, true)
	s.Tick(CatchUpRoundTimeout)
	if !s.Ready() {
		t.Fatal("a process without peers but with a configuration is not ready")
	}
	return s
}

// Guards against an order that runs under an older revision, possibly in a zone
// that is out of service, and against an order that is refused at once because its
// revision has not reached the agent yet.
func TestCheckOrder(t *testing.T) {
	now := CatchUpRoundTimeout
	cases := []struct {
		name       string
		revision   uint64
		waited     time.Duration
		idempotent bool
		want       OrderDecision
	}{
		{"older", 4, 0, true, OrderRefuse},
		{"same", 5, 0, false, OrderRun},
		{"newer", 6, 0, true, OrderHold},
		{"newer, held for too long", 6, OrderHoldTimeout, true, OrderRefuse},
		{"rejected here, idempotent", 7, 0, true, OrderRun},
		{"rejected here, not idempotent", 7, 0, false, OrderRefuse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newReadyState(t, Version{5, 1})
			s.Delivered(now, Version{7, 1})
			s.Validated(now, Version{7, 1}, false)
			got, actions := s.CheckOrder(now, now-c.waited, "router", c.revision, c.idempotent)
			if got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
			exchanges := slices.Contains(actions, Action(Exchange{Peer: "router"}))
			if exchanges != (c.want == OrderHold) {
				t.Errorf("actions: %v", actions)
			}
		})
	}
}

// Guards against configuration changes that cause failures because a router
// gives up on a refused request, or resends it at once under the same
// revision.
func TestCheckResend(t *testing.T) {
	cases := []struct {
		name        string
		sent, agent uint64
		waited      time.Duration
		want        ResendDecision
	}{
		{"agent ahead", 5, 6, 0, ResendHold},
		{"agent ahead for too long", 5, 6, ResendHoldTimeout, ResendGiveUp},
		{"caught up since", 4, 5, 0, ResendNow},
		{"agent behind", 5, 4, 0, ResendElsewhere},
		{"agent was behind", 5, 5, 0, ResendElsewhere},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newReadyState(t, Version{5, 1})
			got, _ := s.CheckResend(CatchUpRoundTimeout, CatchUpRoundTimeout-c.waited, "agent", c.sent, c.agent)
			if got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a process that receives no digest until its next exchange
// beyond the neighbours, because the rest of its zone is dead but still listed.
func TestFailedNeighbourIsReplacedFromAnotherZone(t *testing.T) {
	s := newReadyState(t, Version{5, 1})
	s.SetMembers(CatchUpRoundTimeout, []Node{{Name: "b", Zone: "z"}, {Name: "c", Zone: "y"}})
	if got := s.ExchangeFailed(CatchUpRoundTimeout, "b"); !slices.Contains(got, Action(Exchange{Peer: "c"})) {
		t.Errorf("actions: %v", got)
	}
}

// Guards against a process that continues with an outdated revision after a
// pause without asking its peers.
func TestPauseWithdrawsReadiness(t *testing.T) {
	s := newReadyState(t, Version{5, 1})
	s.SetMembers(CatchUpRoundTimeout, nodeList(1, 4))
	if got, _ := s.CheckOrder(time.Minute, time.Minute, "router", 5, true); got != OrderHold {
		t.Fatalf("decision on an order right after a pause: %v", got)
	}
	s.PeerVersionReceived(time.Minute, "z0-1", Version{6, 1})
	var fetches int
	for _, a := range s.Tick(time.Minute + CatchUpRoundTimeout) {
		if _, ok := a.(Fetch); ok {
			fetches++
		}
	}
	if s.Ready() || fetches > 0 {
		t.Errorf("ready %v before the claimed revision arrived, %d more fetches", s.Ready(), fetches)
	}
}

// Guards against activating content that does not match its digest, and against
// a wrong delta that excludes a healthy peer.
func TestDigestMismatchFetchesFullThenFromAnotherPeer(t *testing.T) {
	s := newReadyState(t, Version{5, 1})
	s.SetMembers(CatchUpRoundTimeout, nodeList(1, 4))
	want := Version{6, 9}
	first := s.PeerVersionReceived(CatchUpRoundTimeout, "z0-1", want)
	s.PeerVersionReceived(CatchUpRoundTimeout, "z0-2", want)
	if !slices.Contains(first, Action(Fetch{"z0-1", want, Version{5, 1}})) {
		t.Fatalf("no fetch with a base: %v", first)
	}
	second, ok := findFetch(s.Fetched(CatchUpRoundTimeout, "z0-1", want, 8))
	if !ok || !second.Base.IsZero() {
		t.Fatalf("no fetch of the full content: %v", second)
	}
	third, ok := findFetch(s.Fetched(CatchUpRoundTimeout, second.Peer, want, 8))
	if !ok || third.Peer == second.Peer || !third.Base.IsZero() {
		t.Fatalf("no fetch from another peer: %v", third)
	}
	if s.Accepted() != (Version{5, 1}) {
		t.Errorf("%v is active", s.Accepted())
	}
}

func findFetch(actions []Action) (Fetch, bool) {
	for _, a := range actions {
		if f, ok := a.(Fetch); ok {
			return f, true
		}
	}
	return Fetch{}, false
}

// Guards against a delta that does not reproduce the new content, for example
// because it keeps a removed file.
func TestDeltaReproducesContent(t *testing.T) {
	base := Files{"a.toml": []byte("1"), "b.toml": []byte("2"), "c.toml": []byte("3")}
	next := Files{"a.toml": []byte("1"), "b.toml": []byte("9"), "d.toml": []byte("4")}
	d := Diff(base, next)
	if len(d.Changed) != 2 || !slices.Equal(d.Removed, []string{"c.toml"}) {
		t.Errorf("delta: %v", d)
	}
	if d.Apply(base).Digest() != next.Digest() || base.Digest() == next.Digest() {
		t.Error("applying the delta to base does not give next")
	}
}

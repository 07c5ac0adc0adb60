package fleet_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/fleet"
)

// call makes an edge call a seed once.
func call(now time.Duration, edge, seed *fleet.State, edgeName, seedName string) {
	seed.RecordCall(now, fleet.Edge{Name: edgeName, Address: "at-" + edgeName})
	edges, digest := seed.Listing(now)
	if edge.KnownDigest(seedName) == digest {
		edges = nil
	}
	edge.RecordListing(now, seedName, edges, digest)
}

// Guards against edges that count too few edges and so exceed their share of a
// limit, when seeds restart and each edge reaches only one of three seeds per
// round.
func TestEveryEdgeIsCounted(t *testing.T) {
	const edges, seeds, interval = 75, 3, 2 * time.Second
	random := rand.New(rand.NewPCG(1, 1))
	states := make([]*fleet.State, edges)
	name := func(i int) string { return fmt.Sprintf("edge-%d", i) }
	for i := range states {
		states[i] = fleet.New(name(i), seeds-1)
	}
	now := time.Duration(0)
	for round := range 60 {
		now += interval
		if round%20 == 19 {
			states[round/20] = fleet.New(name(round/20), seeds-1)
		}
		for i, e := range states {
			seed := random.IntN(seeds)
			if seed != i {
				call(now, e, states[seed], name(i), name(seed))
			}
		}
		if round < 10 {
			continue
		}
		for i, e := range states {
			if v := e.View(now); v.LimitDivisor != 0 && v.LimitDivisor < edges*9/10 && i >= seeds {
				t.Fatalf("round %d: edge %d counts %d of %d", round, i, v.LimitDivisor, edges)
			}
		}
	}
}

// Guards against an edge that takes a share before it knows the number of
// edges. An edge that just started has no share until a seed responds. An edge
// without other seeds assumes the size of the largest deployment.
func TestSharersAreUnknownUntilASeedResponds(t *testing.T) {
	e, seed := fleet.New("a", 1), fleet.New("s", 1)
	if v := e.View(0); v.LimitDivisor != 0 || !slices.Equal(v.Names, []string{"a"}) {
		t.Errorf("before any response: %+v", v)
	}
	call(time.Second, e, seed, "a", "s")
	if v := e.View(time.Second); v.LimitDivisor != 24 {
		t.Errorf("after a response: %+v", v)
	}
	if v := seed.View(time.Second); v.LimitDivisor != 24 || !slices.Equal(v.Names, []string{"a", "s"}) {
		t.Errorf("a seed that was called: %+v", v)
	}
	if v := fleet.New("a", 0).View(0); v.LimitDivisor != 24 {
		t.Errorf("no other seeds: %+v", v)
	}
}

// Guards against an edge that loses its count of edges because its seeds are
// permanently gone or because it is partitioned.
func TestLastCountIsKeptWithoutSeeds(t *testing.T) {
	seed, states := fleet.New("s", 1), make([]*fleet.State, 40)
	for i := range states {
		states[i] = fleet.New(fmt.Sprint(i), 1)
	}
	for range 2 {
		for i, e := range states {
			call(time.Second, e, seed, fmt.Sprint(i), "s")
		}
	}
	for name, s := range map[string]*fleet.State{"an edge": states[3], "the seed": seed} {
		if v := s.View(time.Hour); v.LimitDivisor != 41 {
			t.Errorf("%s counts %d of 41", name, v.LimitDivisor)
		}
	}
}

// Guards against names that never expire, and against a listing that expires
// while the seed still confirms it by its digest.
func TestNamesExpireAfterTheLastCall(t *testing.T) {
	a, b, seed := fleet.New("a", 1), fleet.New("b", 1), fleet.New("s", 1)
	call(0, b, seed, "b", "s")
	now := time.Duration(0)
	for ; now <= 50*time.Second; now += 2 * time.Second {
		call(now, a, seed, "a", "s")
	}
	if v := a.View(now); !slices.Contains(v.Names, "b") {
		t.Errorf("b expired after %v: %v", now, v.Names)
	}
	for ; now <= 3*time.Minute; now += 2 * time.Second {
		call(now, a, seed, "a", "s")
	}
	if v := a.View(now); slices.Contains(v.Names, "b") || !slices.Contains(v.Names, "a") {
		t.Errorf("after %v: %v", now, v.Names)
	}
}

// Guards against edges that don't learn each other's addresses, and against an address
// that stays after an edge has moved.
func TestAddressesFollowCalls(t *testing.T) {
	a, b, seed := fleet.New("a", 1), fleet.New("b", 1), fleet.New("s", 1)
	seed.SetAddress("at-s")
	call(0, b, seed, "b", "s")
	call(0, a, seed, "a", "s")
	if v := a.View(0); !maps.Equal(v.Addresses, map[string]string{"b": "at-b", "s": "at-s"}) {
		t.Errorf("a knows %v", v.Addresses)
	}
	if v := seed.View(0); !maps.Equal(v.Addresses, map[string]string{"a": "at-a", "b": "at-b"}) {
		t.Errorf("the seed knows %v", v.Addresses)
	}
	seed.RecordCall(time.Second, fleet.Edge{Name: "b", Address: "moved"})
	edges, digest := seed.Listing(time.Second)
	a.RecordListing(time.Second, "s", edges, digest)
	if v := a.View(time.Second); v.Addresses["b"] != "moved" {
		t.Errorf("a knows %v", v.Addresses)
	}
}

// Guards against an edge that forgets the edges of a seed for good: the listing it knew
// expires while the seed answers that it has not changed, so that the answer has no edges.
func TestExpiredListingIsReadAgain(t *testing.T) {
	e, seed, other := fleet.New("a", 2), fleet.New("s", 2), fleet.New("o", 2)
	for i := range 40 {
		seed.RecordCall(0, fleet.Edge{Name: fmt.Sprint(i)})
	}
	call(0, e, seed, "a", "s")
	const late = time.Minute - time.Millisecond
	call(late, e, other, "a", "o")
	known := e.KnownDigest("s")
	for i := range 40 {
		seed.RecordCall(late, fleet.Edge{Name: fmt.Sprint(i)})
	}
	seed.RecordCall(late, fleet.Edge{Name: "a", Address: "at-a"})
	edges, digest := seed.Listing(late)
	if known == digest {
		edges = nil
	}
	now := time.Minute + time.Millisecond
	e.View(now)
	e.RecordListing(now, "s", edges, digest)
	call(now+2*time.Second, e, seed, "a", "s")
	if v := e.View(now + 2*time.Second); v.LimitDivisor != 43 {
		t.Errorf("%d edges share the limits, want 43", v.LimitDivisor)
	}
}

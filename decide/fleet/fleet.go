// Package fleet tracks the running edges without a central list.
//
// Each edge calls the seeds, a few edges whose addresses are in its settings.
// A seed responds with the names of the edges that called it recently. A
// listing contains only direct callers, so edges can't keep a stale name alive
// by passing it on. Each edge merges the listings of all seeds.
//
// Names are kept for a long time. An edge that no longer exists but is counted
// makes the shares slightly smaller; a running edge that is not counted makes
// the fleet exceed its limits.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/hash"
)

const (
	// minSharers is the minimum number of edges that a limit is divided by. An edge
	// whose seeds were partitioned from a part of the fleet counts too few edges.
	// The largest current deployment has 24.
	minSharers = 24
	// entryTTL is how long a seed lists an edge after its last call, and how long
	// an edge uses a listing. A VM that restarts or is partitioned recovers
	// sooner.
	entryTTL = time.Minute
	// maxNames limits the callers that a seed remembers. It is more than twice
	// the number of edges in the largest planned fleet.
	maxNames = 1024
)

// Edge is the name of an edge and the address at which it takes calls. The address is
// empty if it is unknown.
type Edge struct{ Name, Address string }

// State holds the other edges that an edge knows of. It is owned by the
// control loop.
type State struct {
	self       Edge
	otherSeeds int
	// callers holds the last call of each edge to this one.
	callers map[string]caller
	// listings holds the last listing of each seed.
	listings map[string]listing
}

type caller struct {
	address  string
	calledAt time.Duration
}

type listing struct {
	digest     uint64
	edges      []Edge
	receivedAt time.Duration
}

// New returns the state of an edge. otherSeeds is the number of seeds besides
// the edge itself.
func New(self string, otherSeeds int) *State {
	return &State{
		self:       Edge{Name: self},
		otherSeeds: otherSeeds,
		callers:    make(map[string]caller),
		listings:   make(map[string]listing),
	}
}

// SetAddress sets the address at which this edge takes calls.
func (s *State) SetAddress(address string) { s.self.Address = address }

// RecordCall records a call from another edge.
func (s *State) RecordCall(now time.Duration, e Edge) {
	if _, known := s.callers[e.Name]; known || len(s.callers) < maxNames {
		s.callers[e.Name] = caller{address: e.Address, calledAt: now}
	}
}

// Listing returns this edge and its recent callers, sorted by name, and their digest.
func (s *State) Listing(now time.Duration) (edges []Edge, digest uint64) {
	s.expire(now)
	edges = append(edges, s.self)
	for name, c := range s.callers {
		edges = append(edges, Edge{Name: name, Address: c.address})
	}
	slices.SortFunc(edges, func(a, b Edge) int { return strings.Compare(a.Name, b.Name) })
	for _, e := range edges {
		digest = hash.Mix(digest, xxhash.Sum64String(e.Name))
		digest = hash.Mix(digest, xxhash.Sum64String(e.Address))
	}
	return edges, digest
}

// KnownDigest returns the digest of the last listing received from a seed, 0 if
// there is none.
func (s *State) KnownDigest(seed string) uint64 { return s.listings[seed].digest }

// RecordListing records the listing received from a seed. A listing with an
// unchanged digest carries no edges and renews those known. It is ignored if they are
// no longer known, so that the next call asks for all edges.
func (s *State) RecordListing(now time.Duration, seed string, edges []Edge, digest uint64) {
	known, ok := s.listings[seed]
	switch {
	case ok && known.digest == digest:
		edges = known.edges
	case len(edges) == 0:
		delete(s.listings, seed)
		return
	}
	s.listings[seed] = listing{digest: digest, edges: edges, receivedAt: now}
}

// View returns the known edges, which share the limits of the fleet. Its
// LimitDivisor is 0, for unknown, until this edge has received a listing or a call,
// unless there are no other seeds.
func (s *State) View(now time.Duration) *api.FleetView {
	s.expire(now)
	addresses := map[string]string{s.self.Name: s.self.Address}
	for _, l := range s.listings {
		for _, e := range l.edges {
			addresses[e.Name] = cmp.Or(e.Address, addresses[e.Name])
		}
	}
	for name, c := range s.callers {
		addresses[name] = cmp.Or(c.address, addresses[name])
	}
	v := &api.FleetView{Self: s.self.Name, Names: slices.Sorted(maps.Keys(addresses)), Addresses: addresses}
	maps.DeleteFunc(v.Addresses, func(name, address string) bool { return name == s.self.Name || address == "" })
	if s.otherSeeds == 0 || len(s.listings) > 0 || len(s.callers) > 0 {
		v.LimitDivisor = max(len(v.Names), minSharers)
	}
	return v
}

// expire drops stale entries, unless all are stale: a partitioned edge keeps
// its last state.
func (s *State) expire(now time.Duration) {
	expire(now, s.callers, func(c caller) time.Duration { return c.calledAt })
	expire(now, s.listings, func(l listing) time.Duration { return l.receivedAt })
}

func expire[V any](now time.Duration, known map[string]V, receivedAt func(V) time.Duration) {
	stale := func(_ string, v V) bool { return now-receivedAt(v) > entryTTL }
	for name, v := range known {
		if !stale(name, v) {
			maps.DeleteFunc(known, stale)
			return
		}
	}
}

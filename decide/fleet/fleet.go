// Package fleet decides which edges an edge believes to exist.
//
// Nothing lists them. Each edge calls the few whose addresses are in its
// settings, the seeds, and a seed answers with the names of those that called it
// lately. A listing holds only direct callers, so a name that is gone never
// comes back by hearsay. An edge adds up the listings of all seeds.
//
// A name is kept long: to count an edge that is gone makes shares a little
// smaller, to miss one breaks a bound over all edges.
package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/hash"
)

const (
	// fewestSharers is the number of edges that shares are made for at least. An
	// edge whose seeds were cut off from a part of the fleet counts too few; the
	// largest deployment of today has 24.
	fewestSharers = 24
	// keptFor is how long a seed lists an edge after its last call, and how long
	// an edge believes a listing. A VM that restarts or is cut off is back before.
	keptFor = time.Minute
	// maxNames bounds the callers that a seed remembers, above twice the edges
	// of the largest fleet that is planned for.
	maxNames = 1024
)

// State is what an edge knows of others. It belongs to the control loop.
type State struct {
	self   string
	others int
	// direct holds when each edge last called this one.
	direct   map[string]time.Duration
	listings map[string]listing
}

type listing struct {
	digest uint64
	names  []string
	at     time.Duration
}

// New returns the state of an edge with a number of seeds beside itself.
func New(self string, otherSeeds int) *State {
	return &State{
		self:     self,
		others:   otherSeeds,
		direct:   make(map[string]time.Duration),
		listings: make(map[string]listing),
	}
}

// Called notes a call of another edge.
func (s *State) Called(now time.Duration, name string) {
	if _, known := s.direct[name]; known || len(s.direct) < maxNames {
		s.direct[name] = now
	}
}

// Listing returns this edge and those that called lately, and a digest of them.
func (s *State) Listing(now time.Duration) (names []string, digest uint64) {
	s.expire(now)
	names = append(slices.Collect(maps.Keys(s.direct)), s.self)
	slices.Sort(names)
	for _, name := range names {
		digest = hash.Mix(digest, xxhash.Sum64String(name))
	}
	return names, digest
}

// Known is the digest of the last listing of a seed.
func (s *State) Known(seed string) uint64 { return s.listings[seed].digest }

// Listed takes the answer of a seed. An answer with the digest that was known
// states the same names again.
func (s *State) Listed(now time.Duration, seed string, names []string, digest uint64) {
	if known, ok := s.listings[seed]; ok && known.digest == digest {
		names = known.names
	}
	s.listings[seed] = listing{digest: digest, names: names, at: now}
}

// View returns the edges that share what is bounded over all of them.
func (s *State) View(now time.Duration) *api.FleetView {
	s.expire(now)
	names := map[string]bool{s.self: true}
	for name := range s.direct {
		names[name] = true
	}
	for _, l := range s.listings {
		for _, name := range l.names {
			names[name] = true
		}
	}
	v := &api.FleetView{Self: s.self, Names: slices.Sorted(maps.Keys(names))}
	if s.others == 0 || len(s.listings) > 0 || len(s.direct) > 0 {
		v.Sharers = max(len(v.Names), fewestSharers)
	}
	return v
}

// expire drops what was not stated again, unless nothing was: an edge that is cut
// off goes on with what it knew last.
func (s *State) expire(now time.Duration) {
	expire(now, s.direct, func(at time.Duration) time.Duration { return at })
	expire(now, s.listings, func(l listing) time.Duration { return l.at })
}

func expire[V any](now time.Duration, known map[string]V, statedAt func(V) time.Duration) {
	stale := func(_ string, v V) bool { return now-statedAt(v) > keptFor }
	for name, v := range known {
		if !stale(name, v) {
			maps.DeleteFunc(known, stale)
			return
		}
	}
}

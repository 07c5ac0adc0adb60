package spread

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

const (
	// FetchTimeout is the timeout of a fetch from one peer.
	FetchTimeout = time.Second
	// FetchRetryInterval is the wait after fetches from all peers have failed.
	FetchRetryInterval = time.Second
)

// fetching is the fetch in flight, if peer is set, and the peers that failed.
type fetching struct {
	peer     string
	want     Version
	deadline time.Duration
	tried    []string
	// fullOnly is set after a delta produced content with a wrong digest.
	fullOnly bool
	// resumeAt is when the next fetch may start, after fetches from all peers
	// failed.
	resumeAt time.Duration
}

// fetchNext fetches the highest version that a peer claims, if it is wanted
// and no fetch is in flight.
func (s *State) fetchNext(now time.Duration) []Action {
	if !s.behind || s.fetch.peer != "" || now < s.fetch.resumeAt {
		return nil
	}
	want := s.highestClaim()
	s.behind = !want.IsZero()
	if !s.behind || slices.Contains(s.validating, want) {
		return nil
	}
	if want != s.fetch.want {
		s.fetch = fetching{want: want}
	}
	peer, ok := s.pickHolder(want)
	if !ok {
		s.fetch.tried = nil
		s.fetch.resumeAt = now + FetchRetryInterval
		return nil
	}
	s.fetch.peer, s.fetch.deadline = peer, now+FetchTimeout
	base := s.accepted
	if s.fetch.fullOnly {
		base = Version{}
	}
	return []Action{Fetch{Peer: peer, Want: want, Base: base}}
}

// highestClaim returns the highest version claimed by a peer that could
// become active here. A claim without a digest comes from RevisionSeen and cannot
// be fetched.
func (s *State) highestClaim() Version {
	var best Version
	for _, v := range s.claims {
		if v.Digest != 0 && v.Above(best) && s.wanted(v) {
			best = v
		}
	}
	return best
}

// pickHolder selects an untried peer that claims the version, preferably in
// this process's zone. The hash distributes the load of a popular version.
func (s *State) pickHolder(want Version) (string, bool) {
	var near, far []string
	for _, p := range slices.Sorted(maps.Keys(s.claims)) {
		switch {
		case s.claims[p] != want || slices.Contains(s.fetch.tried, p):
		case slices.Contains(s.topo.zones[s.self.Zone], p):
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return "", false
	}
	return rendezvous.KeyOf("fetch", s.self.Name).Top(1, near)[0], true
}

// Fetched handles content received from a peer. claimed is the version that the
// peer sent with it, which may be higher than the requested one. computed is the
// digest of the received content.
func (s *State) Fetched(now time.Duration, peer string, claimed Version, computed uint64) []Action {
	out := s.detectPause(now)
	if claimed.Digest != computed {
		s.counters.Mismatches++
		full := s.fetch.fullOnly
		if peer == s.fetch.peer && !full {
			// The base of the delta may be wrong: fetch the full content from
			// the same peer.
			s.fetch.fullOnly, s.fetch.peer = true, ""
			return append(out, s.fetchNext(now)...)
		}
		return append(out, s.fetchFailed(now, peer)...)
	}
	if peer == s.fetch.peer {
		s.fetch = fetching{}
	}
	if claimed.Above(s.claims[peer]) {
		s.claims[peer], s.behind = claimed, true
	}
	out = append(out, s.validateIfWanted(claimed)...)
	out = append(out, s.fetchNext(now)...)
	return append(out, s.finishCatchUp(now)...)
}

// FetchFailed handles the failure of a fetch.
func (s *State) FetchFailed(now time.Duration, peer string) []Action {
	out := s.detectPause(now)
	return append(out, s.fetchFailed(now, peer)...)
}

func (s *State) fetchFailed(now time.Duration, peer string) []Action {
	s.counters.FetchFailures++
	if peer != s.fetch.peer {
		return nil
	}
	s.fetch.tried = append(s.fetch.tried, peer)
	s.fetch.peer = ""
	return append(s.fetchNext(now), s.finishCatchUp(now)...)
}

// fetchTick fails a fetch that timed out, or starts the next one.
func (s *State) fetchTick(now time.Duration) []Action {
	if s.fetch.peer != "" && now >= s.fetch.deadline {
		return s.fetchFailed(now, s.fetch.peer)
	}
	return s.fetchNext(now)
}

// startOffset returns the delay of a process's first regular exchange. It
// distributes processes that start together over one interval.
func startOffset(name string) time.Duration {
	fraction := rendezvous.KeyOf("offset").Fraction(name)
	return time.Duration(fraction * float64(ExchangeInterval))
}

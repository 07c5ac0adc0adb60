package spread

import (
	"slices"
	"time"
)

const (
	// TickInterval is the interval between calls of Tick.
	TickInterval = 500 * time.Millisecond
	// PauseThreshold is the shortest gap between two events that counts as a
	// suspension of the process. Tick alone is an event every TickInterval.
	PauseThreshold = 2 * time.Second
	// ExchangeInterval is the interval between regular exchanges of a process. With
	// the traffic of two neighbours they cost about 250 bytes per second.
	ExchangeInterval = 2 * time.Second
	// FarExchangeEvery is the number of regular exchanges after which a process also
	// exchanges digests with random nodes. This reaches processes that derived other
	// neighbours from a different membership list.
	FarExchangeEvery = 8
	// MaxRejected limits the rejected versions that are remembered.
	MaxRejected = 64
)

// State is the configuration state of one process. It includes the versions that
// its peers reported.
type State struct {
	self     Node
	topo     Topology
	accepted Version
	// rejected holds the invalid versions above the accepted one, in ascending
	// order.
	rejected   []Version
	validating []Version
	// claims is the last active version reported by each peer.
	claims  map[string]Version
	fetch   fetching
	catchUp catchUp
	// retryPush lists the peers that the push of the active version did not reach.
	retryPush []string

	lastEvent    time.Duration
	nextExchange time.Duration
	round        uint64
	// listed is set once a membership list was received. watching is set while this
	// process watches the configuration service.
	listed   bool
	watching bool
	// behind is set while a peer may claim a version that must be fetched.
	behind   bool
	ready    bool
	counters Counters
}

// New returns the state of a process that has just started. peers comes from
// its settings and is used until the membership list arrives.
func New(self Node, peers []Node) *State {
	return &State{self: self, topo: Derive(self, peers), claims: map[string]Version{}}
}

// Start begins the search for the highest accepted version. It must be called
// first.
func (s *State) Start(now time.Duration) []Action {
	s.lastEvent = now
	// Processes that start together must not send their exchanges simultaneously.
	s.nextExchange = now + startOffset(s.self.Name)
	s.catchUp = catchUp{active: true, startedAt: now}
	return s.startRound(now)
}

// Accepted returns the active version, zero if there is none yet.
func (s *State) Accepted() Version { return s.accepted }

// Ready reports whether the process may take work.
func (s *State) Ready() bool { return s.ready }

// Counters returns the totals.
func (s *State) Counters() Counters { return s.counters }

// Topology returns the current watch role and neighbours.
func (s *State) Topology() Topology { return s.topo }

// SetMembers applies a new membership list.
func (s *State) SetMembers(now time.Duration, members []Node) []Action {
	out := s.detectPause(now)
	first := !s.listed
	s.listed = true
	s.topo = Derive(s.self, members)
	for peer := range s.claims {
		if _, ok := slices.BinarySearch(s.topo.names, peer); !ok {
			delete(s.claims, peer)
		}
	}
	out = append(out, s.watch(s.topo.Watcher)...)
	if first && s.catchUp.active && len(s.catchUp.pending) == 0 {
		out = append(out, s.startRound(now)...)
	}
	return append(out, s.finishCatchUp(now)...)
}

func (s *State) watch(on bool) []Action {
	if s.watching == on {
		return nil
	}
	s.watching = on
	return []Action{Watch{On: on}}
}

// Delivered handles a version read from the platform's configuration service.
func (s *State) Delivered(now time.Duration, v Version) []Action {
	out := s.detectPause(now)
	if s.accepted.Above(v) {
		s.counters.Stale++
	}
	return append(out, s.validateIfWanted(v)...)
}

// validateIfWanted requests the validation of content that could become active.
func (s *State) validateIfWanted(v Version) []Action {
	if v.Revision == s.accepted.Revision && v.Digest != s.accepted.Digest {
		s.counters.Conflicts++
	}
	if !s.wanted(v) || slices.Contains(s.validating, v) {
		return nil
	}
	s.validating = append(s.validating, v)
	return []Action{Validate{Version: v}}
}

// wanted reports whether a version could become active.
func (s *State) wanted(v Version) bool {
	return v.Above(s.accepted) && !s.isRejected(v)
}

func (s *State) isRejected(v Version) bool {
	_, found := slices.BinarySearchFunc(s.rejected, v, Version.Compare)
	return found
}

// Validated handles the result of a validation.
func (s *State) Validated(now time.Duration, v Version, valid bool) []Action {
	out := s.detectPause(now)
	s.validating = slices.DeleteFunc(s.validating, func(w Version) bool { return w == v })
	if !s.wanted(v) {
		return append(out, s.finishCatchUp(now)...)
	}
	if !valid {
		return append(out, s.reject(now, v)...)
	}
	s.accepted = v
	s.counters.Adopted++
	s.rejected = slices.DeleteFunc(s.rejected, v.Above)
	out = append(out, Adopt{Version: v})
	out = append(out, s.push()...)
	out = append(out, s.fetchNext(now)...)
	return append(out, s.finishCatchUp(now)...)
}

// reject records an invalid version by its digest, so that it is not fetched
// again.
func (s *State) reject(now time.Duration, v Version) []Action {
	s.counters.Rejected++
	i, _ := slices.BinarySearchFunc(s.rejected, v, Version.Compare)
	s.rejected = slices.Insert(s.rejected, i, v)
	if len(s.rejected) > MaxRejected {
		// The lowest one is the first that a newly accepted version makes obsolete.
		s.rejected = slices.Delete(s.rejected, 0, 1)
	}
	out := append([]Action{Reject{Version: v}}, s.fetchNext(now)...)
	return append(out, s.finishCatchUp(now)...)
}

// push sends the digest of the active version to the neighbours that lack it.
func (s *State) push() []Action {
	var out []Action
	s.retryPush = s.retryPush[:0]
	for _, n := range s.topo.Neighbours {
		if s.accepted.Above(s.claims[n]) {
			out = append(out, s.exchange(n))
		}
	}
	return out
}

func (s *State) exchange(peer string) Action {
	s.counters.Exchanges++
	return Exchange{Peer: peer}
}

// PeerVersionReceived handles the active version of a peer, reported in its digest or
// in its reply to this process's digest.
func (s *State) PeerVersionReceived(now time.Duration, peer string, v Version) []Action {
	out := s.detectPause(now)
	s.claims[peer] = v
	if v.Revision == s.accepted.Revision && v.Digest != s.accepted.Digest {
		s.counters.Conflicts++
	}
	s.catchUp.recordReply(peer)
	if s.wanted(v) {
		s.behind = true
		out = append(out, s.fetchNext(now)...)
	}
	return append(out, s.finishCatchUp(now)...)
}

// ExchangeFailed handles the failure of an exchange.
func (s *State) ExchangeFailed(now time.Duration, peer string) []Action {
	out := s.detectPause(now)
	delete(s.claims, peer)
	s.catchUp.recordFailure(peer)
	if slices.Contains(s.topo.Neighbours, peer) {
		if !slices.Contains(s.retryPush, peer) {
			s.retryPush = append(s.retryPush, peer)
		}
		// All other processes of this zone may be down, so try another zone.
		if far, ok := s.topo.sampleOtherZone(s.self, s.round); ok {
			out = append(out, s.exchange(far))
		}
	}
	return append(out, s.finishCatchUp(now)...)
}

// RevisionSeen handles the revision carried by a request or response of a
// peer. It identifies no content, so a higher revision triggers an exchange.
func (s *State) RevisionSeen(now time.Duration, peer string, revision uint64) []Action {
	out := s.detectPause(now)
	if revision <= max(s.accepted.Revision, s.claims[peer].Revision) {
		return out
	}
	// With the claim, further messages with this revision trigger no exchange.
	s.claims[peer] = Version{Revision: revision}
	return append(out, s.exchange(peer))
}

// Tick handles timeouts and regular exchanges.
func (s *State) Tick(now time.Duration) []Action {
	out := s.detectPause(now)
	out = append(out, s.fetchTick(now)...)
	if now >= s.nextExchange {
		s.nextExchange = now + ExchangeInterval
		out = append(out, s.regularExchanges()...)
	}
	return append(out, s.finishCatchUp(now)...)
}

// regularExchanges exchanges digests with the next neighbour, with the peers
// that a push did not reach and, every FarExchangeEvery rounds, with random
// nodes.
func (s *State) regularExchanges() []Action {
	s.round++
	peers := slices.Clone(s.retryPush)
	s.retryPush = s.retryPush[:0]
	if n := len(s.topo.Neighbours); n > 0 {
		peers = append(peers, s.topo.Neighbours[s.round%uint64(n)])
	}
	if s.round%FarExchangeEvery == 0 {
		peers = append(peers, s.topo.sample(s.self, s.round, 2)...)
	}
	slices.Sort(peers)
	var out []Action
	for _, p := range slices.Compact(peers) {
		out = append(out, s.exchange(p))
	}
	return out
}

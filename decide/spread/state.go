package spread

import (
	"slices"
	"time"
)

const (
	// TickInterval is how often the owner calls Tick.
	TickInterval = 500 * time.Millisecond
	// PauseThreshold between two events means that the process was suspended: Tick
	// alone makes an event every TickInterval.
	PauseThreshold = 2 * time.Second
	// ExchangeInterval separates regular exchanges. At two neighbours' worth
	// of traffic it costs about a quarter of a kilobyte each second.
	ExchangeInterval = 2 * time.Second
	// FarExchangeEvery is the number of regular exchanges per exchange with a process
	// outside the neighbours, which heals a list that differs between processes.
	FarExchangeEvery = 8
	// MaxRejected bounds the refused versions that are remembered.
	MaxRejected = 64
)

// State is what one process knows about the spread of the configuration.
type State struct {
	self     Node
	topo     Topology
	accepted Version
	// rejected holds versions above the accepted one that do not validate, in
	// ascending order.
	rejected   []Version
	validating []Version
	// claims is the version that each peer last said is in force there.
	claims  map[string]Version
	fetch   fetching
	catchUp catchUp
	// retryPush lists peers to which the push of the present version failed.
	retryPush []string

	lastEvent    time.Duration
	nextExchange time.Duration
	round        uint64
	// listed is set once the membership list was seen, watching while the
	// service is watched.
	listed   bool
	watching bool
	// behind is set while a claim may name content to fetch.
	behind   bool
	ready    bool
	counters Counters
}

// New returns the state of a process that has just started. Peers come from
// its settings and serve until the membership list arrives.
func New(self Node, peers []Node) *State {
	return &State{self: self, topo: Derive(self, peers), claims: map[string]Version{}}
}

// Start begins to learn the highest accepted version. Nothing else may be
// called before.
func (s *State) Start(now time.Duration) []Action {
	s.lastEvent = now
	// The first regular exchanges of processes started together are spread
	// over one interval.
	s.nextExchange = now + startOffset(s.self.Name)
	s.catchUp = catchUp{active: true, startedAt: now}
	return s.startRound(now)
}

// Accepted returns the version in force, zero before the first.
func (s *State) Accepted() Version { return s.accepted }

// Ready says whether the process may take work.
func (s *State) Ready() bool { return s.ready }

// Counters returns the totals.
func (s *State) Counters() Counters { return s.counters }

// Topology returns the present watch role and neighbours.
func (s *State) Topology() Topology { return s.topo }

// Members takes a new membership list.
func (s *State) Members(now time.Duration, members []Node) []Action {
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

// Delivered takes a version read from the platform's service.
func (s *State) Delivered(now time.Duration, v Version) []Action {
	out := s.detectPause(now)
	if s.accepted.Above(v) {
		s.counters.Stale++
	}
	return append(out, s.validateIfWanted(v)...)
}

// validateIfWanted asks for the verdict on content that could come into force.
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

// wanted says whether a version could come into force.
func (s *State) wanted(v Version) bool {
	return v.Above(s.accepted) && !s.isRejected(v)
}

func (s *State) isRejected(v Version) bool {
	_, found := slices.BinarySearchFunc(s.rejected, v, Version.Compare)
	return found
}

// Validated takes the verdict on content.
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

// reject remembers a version by its digest, so that it is not fetched again.
func (s *State) reject(now time.Duration, v Version) []Action {
	s.counters.Rejected++
	at, _ := slices.BinarySearchFunc(s.rejected, v, Version.Compare)
	s.rejected = slices.Insert(s.rejected, at, v)
	if len(s.rejected) > MaxRejected {
		// The lowest is the first to be overtaken by an accepted version.
		s.rejected = slices.Delete(s.rejected, 0, 1)
	}
	out := append([]Action{Refuse{Version: v}}, s.fetchNext(now)...)
	return append(out, s.finishCatchUp(now)...)
}

// push offers the version in force to the neighbours that lack it.
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

// Heard takes the version that a peer says is in force there, from its digest
// or its reply to the own one.
func (s *State) Heard(now time.Duration, peer string, v Version) []Action {
	out := s.detectPause(now)
	s.claims[peer] = v
	if v.Revision == s.accepted.Revision && v.Digest != s.accepted.Digest {
		s.counters.Conflicts++
	}
	s.catchUp.answer(peer)
	if s.wanted(v) {
		s.behind = true
		out = append(out, s.fetchNext(now)...)
	}
	return append(out, s.finishCatchUp(now)...)
}

// ExchangeFailed takes the failure of an exchange.
func (s *State) ExchangeFailed(now time.Duration, peer string) []Action {
	out := s.detectPause(now)
	delete(s.claims, peer)
	s.catchUp.fail(peer)
	if slices.Contains(s.topo.Neighbours, peer) {
		if !slices.Contains(s.retryPush, peer) {
			s.retryPush = append(s.retryPush, peer)
		}
		// The whole zone may be gone but for this process.
		if far, ok := s.topo.sampleOtherZone(s.self, s.round); ok {
			out = append(out, s.exchange(far))
		}
	}
	return append(out, s.finishCatchUp(now)...)
}

// SeenOnTraffic takes the revision carried by a message of a peer. It names
// no content, so a higher one leads to an exchange.
func (s *State) SeenOnTraffic(now time.Duration, peer string, revision uint64) []Action {
	out := s.detectPause(now)
	if revision <= max(s.accepted.Revision, s.claims[peer].Revision) {
		return out
	}
	// The claim keeps further messages from causing further exchanges.
	s.claims[peer] = Version{Revision: revision}
	return append(out, s.exchange(peer))
}

// Tick drives what depends on time alone.
func (s *State) Tick(now time.Duration) []Action {
	out := s.detectPause(now)
	out = append(out, s.fetchTick(now)...)
	if now >= s.nextExchange {
		s.nextExchange = now + ExchangeInterval
		out = append(out, s.regularExchanges()...)
	}
	return append(out, s.finishCatchUp(now)...)
}

// regularExchanges exchanges with the next neighbour, with those whose push failed and
// sometimes with a process outside the neighbours.
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

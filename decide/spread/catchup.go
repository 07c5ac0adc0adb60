package spread

import (
	"slices"
	"time"
)

const (
	// CatchUpPeers is the number of peers asked for their version per round.
	CatchUpPeers = 5
	// CatchUpRoundTimeout is the timeout of one round.
	CatchUpRoundTimeout = time.Second
	// CatchUpRounds is the number of rounds without any reply after which a
	// process continues with its last version, if it has one. Either it is
	// partitioned, or the fleet is new and has no other processes yet.
	CatchUpRounds = 3
	// CatchUpTimeout is the time after which a process with a version stops waiting
	// for a higher version that a peer claims to have.
	CatchUpTimeout = 4 * time.Second
	// SourceReadRounds is the number of rounds between direct reads of the
	// configuration service by a process that is not a watcher and has no version.
	SourceReadRounds = 4
)

// catchUp is the search for the highest accepted version after a start or a
// pause. The process takes no work while it is active.
type catchUp struct {
	active    bool
	startedAt time.Duration
	deadline  time.Duration
	rounds    uint64
	sampled   []string
	pending   []string
	replies   int
}

func (c *catchUp) recordReply(peer string) {
	if i := slices.Index(c.pending, peer); i >= 0 {
		c.pending = slices.Delete(c.pending, i, i+1)
		c.replies++
	}
}

func (c *catchUp) recordFailure(peer string) {
	c.pending = slices.DeleteFunc(c.pending, func(p string) bool { return p == peer })
}

// detectPause detects a suspension of the process by the time since the last
// event, and starts a catch-up before any other decision.
func (s *State) detectPause(now time.Duration) []Action {
	gap := now - s.lastEvent
	s.lastEvent = now
	if gap < PauseThreshold {
		return nil
	}
	s.counters.Pauses++
	var out []Action
	if s.ready {
		s.ready = false
		out = append(out, Readiness{Ready: false})
	}
	// Claims from before the pause may be outdated and do not count as replies.
	clear(s.claims)
	s.fetch = fetching{}
	s.catchUp = catchUp{active: true, startedAt: now}
	return append(out, s.startRound(now)...)
}

// startRound starts a round of exchanges with sampled peers.
func (s *State) startRound(now time.Duration) []Action {
	s.catchUp.deadline = now + CatchUpRoundTimeout
	s.catchUp.rounds++
	s.catchUp.sampled = s.topo.sample(s.self, s.round+s.catchUp.rounds, CatchUpPeers)
	s.catchUp.pending = slices.Clone(s.catchUp.sampled)
	var out []Action
	for _, p := range s.catchUp.sampled {
		out = append(out, s.exchange(p))
	}
	if !s.listed && s.catchUp.rounds > CatchUpRounds {
		// Without a membership list the watchers are unknown.
		out = append(out, s.watch(true)...)
	}
	if !s.watching && s.accepted.IsZero() && s.catchUp.rounds%SourceReadRounds == 0 {
		out = append(out, ReadSource{})
	}
	return out
}

// finishCatchUp ends the catch-up if the highest known version is active and
// enough peers replied, or starts another round.
func (s *State) finishCatchUp(now time.Duration) []Action {
	c := &s.catchUp
	if !c.active {
		return nil
	}
	waiting := len(c.pending) > 0 && now < c.deadline
	if waiting {
		return nil
	}
	enoughReplies := c.replies > 0 || c.rounds >= CatchUpRounds || s.listed && len(s.topo.names) == 0
	current := s.highestClaim().IsZero() && len(s.validating) == 0
	timedOut := now-c.startedAt >= CatchUpTimeout
	if !s.accepted.IsZero() && enoughReplies && (current || timedOut) {
		*c = catchUp{}
		s.ready = true
		return []Action{Readiness{Ready: true}}
	}
	if now < c.deadline {
		return nil
	}
	return s.startRound(now)
}

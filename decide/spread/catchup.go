package spread

import (
	"slices"
	"time"
)

const (
	// CatchUpPeers processes are asked for the highest accepted version at once.
	CatchUpPeers = 5
	// AskWait bounds the wait for the answers of one round.
	AskWait = time.Second
	// CatchUpRounds bounds the rounds in which nobody answers. After them a
	// process goes on with the last version it holds, if any: it is cut off,
	// or the fleet is fresh and nobody else is there.
	CatchUpRounds = 3
	// CatchUpTimeout bounds the wait for content that a peer claims to have.
	CatchUpTimeout = 4 * time.Second
	// SourceReadRounds separates direct reads of the service by a process that
	// is no watcher and that found no peer with a version.
	SourceReadRounds = 4
)

// catchUp is the search for the highest accepted version, after a start or a
// pause. No work is taken while it is active.
type catchUp struct {
	active    bool
	startedAt time.Duration
	deadline  time.Duration
	rounds    uint64
	asked     []string
	pending   []string
	answers   int
}

func (c *catchUp) answer(peer string) {
	if at := slices.Index(c.pending, peer); at >= 0 {
		c.pending = slices.Delete(c.pending, at, at+1)
		c.answers++
	}
}

func (c *catchUp) fail(peer string) {
	c.pending = slices.DeleteFunc(c.pending, func(p string) bool { return p == peer })
}

// detectPause notices a suspension by the time between two events and starts a new
// search before anything else is decided.
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
	// Claims from before the pause do not count as answers.
	clear(s.claims)
	s.fetch = fetching{}
	s.catchUp = catchUp{active: true, startedAt: now}
	return append(out, s.startRound(now)...)
}

// startRound starts a round of questions.
func (s *State) startRound(now time.Duration) []Action {
	s.catchUp.deadline = now + AskWait
	s.catchUp.rounds++
	s.catchUp.asked = s.topo.sample(s.self, s.round+s.catchUp.rounds, CatchUpPeers)
	s.catchUp.pending = slices.Clone(s.catchUp.asked)
	var out []Action
	for _, p := range s.catchUp.asked {
		out = append(out, s.exchange(p))
	}
	if !s.listed && s.catchUp.rounds > CatchUpRounds {
		// Without a list there is no rule that says who watches.
		out = append(out, s.watch(true)...)
	}
	if !s.watching && s.accepted.Zero() && s.catchUp.rounds%SourceReadRounds == 0 {
		out = append(out, ReadSource{})
	}
	return out
}

// finishCatchUp ends the search when the highest known version is in force and enough
// peers were heard, or starts another round.
func (s *State) finishCatchUp(now time.Duration) []Action {
	c := &s.catchUp
	if !c.active {
		return nil
	}
	waiting := len(c.pending) > 0 && now < c.deadline
	if waiting {
		return nil
	}
	heard := c.answers > 0 || c.rounds >= CatchUpRounds || s.listed && len(s.topo.names) == 0
	current := s.highestClaim().Zero() && len(s.validating) == 0
	late := now-c.startedAt >= CatchUpTimeout
	if !s.accepted.Zero() && heard && (current || late) {
		*c = catchUp{}
		s.ready = true
		return []Action{Readiness{Ready: true}}
	}
	if now < c.deadline {
		return nil
	}
	return s.startRound(now)
}

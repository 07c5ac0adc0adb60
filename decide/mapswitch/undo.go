package mapswitch

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

func missingRanks(ranks []api.RankReport) []int {
	var missing []int
	for rank, r := range ranks {
		if !present(r) {
			missing = append(missing, rank)
		}
	}
	return missing
}

// observePart takes a reading that lacks ranks. It only serves to undo the
// change of a leader whose own rank is the one that is missing.
func (s *State) observePart(now time.Duration, clock uint64, ranks []api.RankReport, missing []int) []Send {
	switch s.phase {
	case Idle:
		s.ranks = ranks
		if s.undoneWithout(missing) {
			return s.undo(now, clock)
		}
	case Verifying:
		s.ranks = ranks
		if s.undoneWithout(missing) {
			return s.verified(now)
		}
		s.enter(now, Idle)
	}
	return s.due(now)
}

// undoneWithout says whether the change that is under way can be undone without
// the missing ranks: it is the change of the one that is missing, no other is
// under way, and a rank that its leader arms earlier is not armed.
func (s *State) undoneWithout(missing []int) bool {
	if len(missing) != 1 || s.allAlike() {
		return false
	}
	holds := 0
	for _, r := range s.ranks {
		if r.Held != nil {
			holds++
		}
	}
	return holds == 1 && s.ranks[s.holder(missing[0])].Held != nil
}

// foreign says whether a rank is held or armed by a change that was left.
func (s *State) foreign() bool {
	for _, r := range s.ranks {
		if r.Held != nil || r.Armed != nil {
			return true
		}
	}
	return false
}

// undo begins to clear what a change left. All ranks are fenced first, so that
// no other leader releases the pass, arms or disarms a rank meanwhile.
func (s *State) undo(now time.Duration, clock uint64) []Send {
	s.newToken(clock)
	s.disarmed = false
	s.enter(now, Fencing)
	for rank := range s.ranks {
		// No pass has number 0, so this releases nothing.
		s.expect(rank, api.RankOrder{Op: api.RankRelease})
	}
	return s.due(now)
}

// verified decides, on a reading made after the fence, how to clear up.
func (s *State) verified(now time.Duration) []Send {
	held, armed := false, false
	for _, r := range s.ranks {
		held, armed = held || r.Held != nil, armed || r.Armed != nil
	}
	switch {
	case s.allAlike():
		return s.free(now)
	case !held:
		// Without a hold the ranks may switch at any moment, so that they must
		// be left alone: the leader that released has armed them all, and this
		// reading was taken while they switched.
		s.enter(now, Idle)
		return nil
	case s.disarmed && !armed:
		return s.free(now)
	}
	return s.disarm(now)
}

// disarm asks every rank, also those that were not armed when they were read:
// an order to arm may have been on its way.
func (s *State) disarm(now time.Duration) []Send {
	s.enter(now, Disarming)
	for rank, r := range s.ranks {
		version := s.version
		switch {
		case r.Armed != nil:
			version = *r.Armed
		case r.Prepared != nil:
			version = *r.Prepared
		}
		s.expect(rank, api.RankOrder{Op: api.RankDisarm, Version: version})
	}
	return s.due(now)
}

// allAlike says whether every rank is armed with one version, or uses it.
func (s *State) allAlike() bool {
	var version *uint64
	for _, r := range s.ranks {
		if r.Armed != nil {
			version = r.Armed
		}
	}
	if version == nil {
		return false
	}
	for _, r := range s.ranks {
		if present(r) && r.Map != *version && (r.Armed == nil || *r.Armed != *version) {
			return false
		}
	}
	return true
}

// free releases every hold.
func (s *State) free(now time.Duration) []Send {
	s.enter(now, Freeing)
	for rank, r := range s.ranks {
		if r.Held != nil {
			s.expect(rank, api.RankOrder{Op: api.RankRelease, Step: *r.Held})
		}
	}
	if len(s.waiting) == 0 {
		s.enter(now, Idle)
	}
	return s.due(now)
}

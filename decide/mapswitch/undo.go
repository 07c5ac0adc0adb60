package mapswitch

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

func missingRanks(ranks []api.RankReport) []int {
	var missing []int
	for rank, r := range ranks {
		if !reported(r) {
			missing = append(missing, rank)
		}
	}
	return missing
}

// observePartial handles a snapshot with missing ranks. Such a snapshot serves only
// to undo the change of a leader whose own rank is missing.
func (s *State) observePartial(now time.Duration, unixMillis uint64, ranks []api.RankReport, missing []int) []OutgoingOrder {
	switch s.phase {
	case Idle:
		s.ranks = ranks
		if s.canUndoWithout(missing) {
			return s.beginUndo(now, unixMillis)
		}
	case Verifying:
		s.ranks = ranks
		if s.canUndoWithout(missing) {
			return s.continueUndo(now)
		}
		s.enterPhase(now, Idle)
	}
	return s.dueOrders(now)
}

// canUndoWithout reports whether a change can be undone without the missing
// ranks: only one rank is missing, the leader at that rank made the change, no
// other change is in progress, and at least one of the other ranks is not armed.
func (s *State) canUndoWithout(missing []int) bool {
	if len(missing) != 1 || s.allSameVersion() {
		return false
	}
	holds := 0
	for _, r := range s.ranks {
		if r.HeldStep != nil {
			holds++
		}
	}
	return holds == 1 && s.ranks[s.holderRank(missing[0])].HeldStep != nil
}

// hasAbandonedChange reports whether a rank is armed or holds a pass. In the phases
// Idle and Preparing, this can only come from an abandoned change.
func (s *State) hasAbandonedChange() bool {
	for _, r := range s.ranks {
		if r.HeldStep != nil || r.ArmedMapVersion != nil {
			return true
		}
	}
	return false
}

// beginUndo starts to undo a change. It fences all ranks first, so that no other
// leader can release the pass, or arm or disarm a rank, in the meantime.
func (s *State) beginUndo(now time.Duration, unixMillis uint64) []OutgoingOrder {
	s.newToken(unixMillis)
	s.allDisarmed = false
	s.enterPhase(now, Fencing)
	for rank := range s.ranks {
		// No pass has the number 0, so this release only raises the rank's highest
		// token.
		s.addPending(rank, api.RankOrder{Op: api.RankRelease})
	}
	return s.dueOrders(now)
}

// continueUndo chooses the next step of an undo from a snapshot taken after the
// fence.
func (s *State) continueUndo(now time.Duration) []OutgoingOrder {
	held, armed := false, false
	for _, r := range s.ranks {
		held, armed = held || r.HeldStep != nil, armed || r.ArmedMapVersion != nil
	}
	switch {
	case s.allSameVersion():
		return s.releaseHolds(now)
	case !held:
		// Without a hold, the ranks can switch at any time and must not be
		// disarmed. The leader that released the hold had armed all of them, and
		// this snapshot was taken while they switched.
		s.enterPhase(now, Idle)
		return nil
	case s.allDisarmed && !armed:
		return s.releaseHolds(now)
	}
	return s.disarm(now)
}

// disarm sends a disarm order to every rank, also to those that the snapshot
// shows as not armed: an arm order may have been in flight.
func (s *State) disarm(now time.Duration) []OutgoingOrder {
	s.enterPhase(now, Disarming)
	for rank, r := range s.ranks {
		version := s.version
		switch {
		case r.ArmedMapVersion != nil:
			version = *r.ArmedMapVersion
		case r.PreparedMapVersion != nil:
			version = *r.PreparedMapVersion
		}
		s.addPending(rank, api.RankOrder{Op: api.RankDisarm, MapVersion: version})
	}
	return s.dueOrders(now)
}

// allSameVersion reports whether every reported rank is armed with, or already
// uses, the same version.
func (s *State) allSameVersion() bool {
	var version *uint64
	for _, r := range s.ranks {
		if r.ArmedMapVersion != nil {
			version = r.ArmedMapVersion
		}
	}
	if version == nil {
		return false
	}
	for _, r := range s.ranks {
		if reported(r) && r.MapVersion != *version && (r.ArmedMapVersion == nil || *r.ArmedMapVersion != *version) {
			return false
		}
	}
	return true
}

// releaseHolds releases every hold.
func (s *State) releaseHolds(now time.Duration) []OutgoingOrder {
	s.enterPhase(now, Freeing)
	for rank, r := range s.ranks {
		if r.HeldStep != nil {
			s.addPending(rank, api.RankOrder{Op: api.RankRelease, Step: *r.HeldStep})
		}
	}
	if len(s.pending) == 0 {
		s.enterPhase(now, Idle)
	}
	return s.dueOrders(now)
}

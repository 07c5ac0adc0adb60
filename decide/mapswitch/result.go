package mapswitch

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// HandleResult handles the result of an order and returns the orders to send next.
// The result of an order that is no longer pending has no effect. unixMillis is as
// for Begin.
func (s *State) HandleResult(now time.Duration, unixMillis uint64, sent OutgoingOrder, result api.RankResult) []OutgoingOrder {
	p := s.pending[sent.Rank]
	if p == nil || p.order.Op != sent.Order.Op || p.order.Token != sent.Order.Token || p.order.Step != sent.Order.Step {
		return nil
	}
	switch result {
	case api.RankNoResult:
		p.awaited = false
		return s.dueOrders(now)
	case api.RankFenced:
		return s.handleFenced(now)
	case api.RankRefused:
		return s.handleRefused(now, unixMillis, sent.Rank)
	}
	delete(s.pending, sent.Rank)
	if len(s.pending) > 0 {
		return nil
	}
	return s.advance(now)
}

// handleFenced abandons the change after a rank rejected the leader's token. The
// leader with the higher token undoes it.
func (s *State) handleFenced(now time.Duration) []OutgoingOrder {
	s.deposed = true
	s.enterPhase(now, Idle)
	return nil
}

// handleRefused handles an order that a rank refused because of its state.
func (s *State) handleRefused(now time.Duration, unixMillis uint64, rank int) []OutgoingOrder {
	switch s.phase {
	case Preparing:
		s.enterPhase(now, Idle)
		return nil
	case Holding:
		// The pass has begun. The next one begins a full pass time later, so the
		// leader tries to hold that one. If this fails for several passes, it waits in the
		// phase Preparing for a newer snapshot and then holds a later pass.
		if s.holdAttempts < maxHoldAttempts {
			s.heldStep++
			s.holdAttempts++
			return s.sendHold(now)
		}
		s.enterPhase(now, Preparing)
		return nil
	case Arming, ArmingHolder, ArmingLeader:
		return s.beginUndo(now, unixMillis)
	}
	// A disarm order is refused if the version is in use, a release order if the
	// pass has begun. Nothing is left to do at this rank.
	delete(s.pending, rank)
	if len(s.pending) > 0 {
		return nil
	}
	return s.advance(now)
}

// advance enters the next phase and returns the orders to send. The caller ensures
// that no order of the current phase is pending.
func (s *State) advance(now time.Duration) []OutgoingOrder {
	switch s.phase {
	case Preparing:
		s.preparedAt = now
	case Holding:
		return s.sendToAll(now, Arming, api.RankOrder{Op: api.RankArm, MapVersion: s.version, Step: s.heldStep})
	case Arming:
		s.enterPhase(now, ArmingHolder)
		s.addPending(s.holderRank(s.leaderRank), api.RankOrder{Op: api.RankArm, MapVersion: s.version, Step: s.heldStep})
		return s.dueOrders(now)
	case ArmingHolder:
		s.enterPhase(now, ArmingLeader)
		s.addPending(s.leaderRank, api.RankOrder{Op: api.RankArm, MapVersion: s.version, Step: s.heldStep})
		return s.dueOrders(now)
	case ArmingLeader:
		s.enterPhase(now, Releasing)
		s.addPending(s.holderRank(s.leaderRank), api.RankOrder{Op: api.RankRelease, Step: s.heldStep})
		return s.dueOrders(now)
	case Releasing:
		s.observeSwitch(now)
		s.heldStep = 0
		s.enterPhase(now, Settling)
	case Fencing:
		s.enterPhase(now, Verifying)
	case Disarming:
		// A rank may have been armed with another version since the last snapshot,
		// so the next snapshot is checked before the release.
		s.allDisarmed = true
		s.enterPhase(now, Verifying)
	case Freeing:
		s.heldStep = 0
		s.enterPhase(now, Idle)
	}
	return nil
}

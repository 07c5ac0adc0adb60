package mapswitch

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// HandleAnswer handles the answer to an order and returns the orders to send next.
// It ignores answers to orders that are no longer pending.
func (s *State) HandleAnswer(now time.Duration, clock uint64, sent OutgoingOrder, answer api.RankResult) []OutgoingOrder {
	p := s.pending[sent.Rank]
	if p == nil || p.order.Op != sent.Order.Op || p.order.Token != sent.Order.Token || p.order.Step != sent.Order.Step {
		return nil
	}
	switch answer {
	case api.RankNoResult:
		return s.dueOrders(now)
	case api.RankFenced:
		return s.handleFenced(now)
	case api.RankRefused:
		return s.handleRefused(now, clock, sent.Rank)
	}
	delete(s.pending, sent.Rank)
	if len(s.pending) > 0 {
		return nil
	}
	return s.advance(now)
}

// handleFenced aborts the change in favor of the leader with the higher token,
// which undoes it.
func (s *State) handleFenced(now time.Duration) []OutgoingOrder {
	s.deposed = true
	s.enterPhase(now, Idle)
	return nil
}

// handleRefused handles an order that a rank refused because of its state.
func (s *State) handleRefused(now time.Duration, clock uint64, rank int) []OutgoingOrder {
	switch s.phase {
	case Preparing:
		s.enterPhase(now, Idle)
		return nil
	case Holding:
		// The pass has begun, so the next one starts a whole pass later. If it
		// cannot be held either, the next snapshot shows a later one.
		if !s.retriedHold {
			s.step, s.retriedHold = s.step+1, true
			return s.sendHold(now)
		}
		s.enterPhase(now, Preparing)
		return nil
	case Arming, ArmingHolder, ArmingLeader:
		return s.beginUndo(now, clock)
	}
	// The version to disarm is in use, or the pass to release has begun.
	delete(s.pending, rank)
	if len(s.pending) > 0 {
		return nil
	}
	return s.advance(now)
}

// advance enters the next phase once every order of the phase is answered.
func (s *State) advance(now time.Duration) []OutgoingOrder {
	switch s.phase {
	case Holding:
		return s.sendToAll(now, Arming, api.RankOrder{Op: api.RankArm, MapVersion: s.version, Step: s.step})
	case Arming:
		s.enterPhase(now, ArmingHolder)
		s.addPending(s.holderRank(s.leaderRank), api.RankOrder{Op: api.RankArm, MapVersion: s.version, Step: s.step})
		return s.dueOrders(now)
	case ArmingHolder:
		s.enterPhase(now, ArmingLeader)
		s.addPending(s.leaderRank, api.RankOrder{Op: api.RankArm, MapVersion: s.version, Step: s.step})
		return s.dueOrders(now)
	case ArmingLeader:
		s.enterPhase(now, Releasing)
		s.addPending(s.holderRank(s.leaderRank), api.RankOrder{Op: api.RankRelease, Step: s.step})
		return s.dueOrders(now)
	case Releasing:
		s.step = 0
		s.enterPhase(now, Settling)
	case Fencing:
		s.enterPhase(now, Verifying)
	case Disarming:
		// A rank may have been armed with another version since the snapshot.
		s.allDisarmed = true
		s.enterPhase(now, Verifying)
	case Freeing:
		s.step = 0
		s.enterPhase(now, Idle)
	}
	return nil
}

package mapswitch

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

func (s *State) lastStep() uint64 {
	step := uint64(0)
	for _, r := range s.ranks {
		step = max(step, r.Step)
	}
	return step
}

// passesAhead returns the distance from the last known pass to the one to hold. Arming
// takes the time of orders to all ranks, and as long as in the last changes. If prepare orders
// had to be resent, arm orders are expected to need as many attempts. If passes are shorter than that, the leader
// holds a later pass, so that the passes before it run with the old map instead of
// waiting. It holds a later one too if only the wait would make the pause between two events
// too long: that makes every running response of the group late.
func (s *State) passesAhead() uint64 {
	if s.passes.passTime <= 0 {
		return minPassesAhead
	}
	armTime := max(s.orderTime+time.Duration(max(0, s.peakAttempts-1))*resendInterval, s.switchTime)
	ahead := minPassesAhead + uint64(armTime/s.passes.passTime)
	if s.passes.passTime <= s.acceptedPause && s.passes.passTime+armTime%s.passes.passTime > s.acceptedPause {
		ahead++
	}
	return min(ahead, maxPassesAhead)
}

func (s *State) beginHold(now time.Duration) []OutgoingOrder {
	s.enterPhase(now, Holding)
	s.holdAt = now
	s.heldStep, s.holdAttempts = s.lastStep()+s.passesAhead(), 1
	return s.sendHold(now)
}

// observeSwitch records how long the change took from the order to hold to the release.
func (s *State) observeSwitch(now time.Duration) {
	took := now - s.holdAt
	s.switchTime = max(took, s.switchTime+time.Duration(switchTimeWeight*float64(took-s.switchTime)))
}

func (s *State) sendHold(now time.Duration) []OutgoingOrder {
	s.addPending(s.holderRank(s.leaderRank), api.RankOrder{Op: api.RankHold, Step: s.heldStep})
	return s.dueOrders(now)
}

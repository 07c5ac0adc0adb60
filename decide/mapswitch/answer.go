package mapswitch

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Answered takes the answer to an order.
func (s *State) Answered(now time.Duration, clock uint64, sent Send, a api.RankAnswer) []Send {
	p := s.waiting[sent.Rank]
	if p == nil || p.order.Op != sent.Order.Op || p.order.Token != sent.Order.Token || p.order.Step != sent.Order.Step {
		return nil
	}
	switch a {
	case api.RankNoAnswer:
		return s.due(now)
	case api.RankFenced:
		return s.fenced(now)
	case api.RankRefused:
		return s.refused(now, clock, sent.Rank)
	}
	delete(s.waiting, sent.Rank)
	if len(s.waiting) > 0 {
		return nil
	}
	return s.next(now)
}

// fenced gives way to a leader with a higher token, who clears up.
func (s *State) fenced(now time.Duration) []Send {
	s.deposed = true
	s.enter(now, Idle)
	return nil
}

// refused takes a refusal because of the rank's state.
func (s *State) refused(now time.Duration, clock uint64, rank int) []Send {
	switch s.phase {
	case Preparing:
		s.enter(now, Idle)
		return nil
	case Holding:
		// The pass has begun, so the next one begins a whole pass later. If that
		// can't be held either, the next reading shows which one can.
		if !s.stepped {
			s.step, s.stepped = s.step+1, true
			return s.holdStep(now)
		}
		s.enter(now, Preparing)
		return nil
	case Arming, ArmingHolder, ArmingOwn:
		return s.undo(now, clock)
	}
	// What is to be disarmed is in use, or what is to be released has begun.
	delete(s.waiting, rank)
	if len(s.waiting) > 0 {
		return nil
	}
	return s.next(now)
}

// next goes on once every order of the phase is answered.
func (s *State) next(now time.Duration) []Send {
	switch s.phase {
	case Holding:
		return s.toAll(now, Arming, api.RankOrder{Op: api.RankArm, Version: s.version, Step: s.step})
	case Arming:
		s.enter(now, ArmingHolder)
		s.expect(s.holder(s.own), api.RankOrder{Op: api.RankArm, Version: s.version, Step: s.step})
		return s.due(now)
	case ArmingHolder:
		s.enter(now, ArmingOwn)
		s.expect(s.own, api.RankOrder{Op: api.RankArm, Version: s.version, Step: s.step})
		return s.due(now)
	case ArmingOwn:
		s.enter(now, Releasing)
		s.expect(s.holder(s.own), api.RankOrder{Op: api.RankRelease, Step: s.step})
		return s.due(now)
	case Releasing:
		s.step = 0
		s.enter(now, Settling)
	case Fencing:
		s.enter(now, Verifying)
	case Disarming:
		// A rank may have been armed with another version since it was read.
		s.disarmed = true
		s.enter(now, Verifying)
	case Freeing:
		s.step = 0
		s.enter(now, Idle)
	}
	return nil
}

// Package batchlimit limits the requests that a rank runs at the same time, so that the
// passes of its group stay within the pause that callers accept between two events.
//
// It answers two loads. One is a group whose passes take longer than its engine profile
// says: its expert map does not fit the demand, or a rank is slow. With full batches every
// pause is then too long and nearly all responses are late. With smaller ones, fewer
// requests run, but those are in time. If even a small batch is too slow, the limit does not
// apply: responses are late in any case, and full batches complete the most before their
// deadlines.
//
// The other is a group whose demand for experts shifts every few seconds. The requests that
// run at a shift can't be taken back, and one long pause makes a whole stream late, so the
// batches leave room for the passes right after the next shift.
package batchlimit

import (
	"math"
	"time"
)

const (
	// passTimeFraction is the fraction of the longest accepted pause that a pass may
	// take. The rest covers the relay of events and passes that read long prompts.
	passTimeFraction = 0.9
	// minLimit is the smallest limit. Below it, a batch serves less worth in time than a
	// full batch serves late.
	minLimit = 2
	// copySlowdown is how much longer passes take while ranks copy experts, as they do right
	// after a shift.
	copySlowdown = 1.15
	// minCapacity is the least part of the capacity of full batches that batches sized for
	// the next shift may have. A late response is worth about half of one in time.
	minCapacity = 0.5
	// longPassOdds is the number of passes of which one may become too long because prompts
	// are read together. A stream has some tens of passes.
	longPassOdds = 100
	// maxReads bounds the prompts that are read together in the computation.
	maxReads = 64
)

// Model describes how the time of a pass grows with the requests on a rank.
type Model struct {
	// StepTime is the time of a step, RequestTime that which each running request adds
	// to it.
	StepTime, RequestTime time.Duration
	// StepsPerPass is the number of steps of a pass.
	StepsPerPass int
	// ExpertShare is the part of RequestTime and ReadTime that the experts take.
	ExpertShare float64
	// ReadTime is the time of reading the prompt of a request, and AnswerTokens the number
	// of steps in which its answer is written; 0 if they are unknown.
	ReadTime     time.Duration
	AnswerTokens int
}

// Group is what is known of a group at present.
type Group struct {
	// PassTime is the measured time of a pass while the fullest rank runs Fullest requests,
	// 0 if it is unknown.
	PassTime time.Duration
	Fullest  int
	// ShiftImbalance is the load of the fullest rank, as a multiple of the mean, that is
	// expected right after the next shift of demand, 0 if none is expected.
	ShiftImbalance float64
}

// PassTime returns the time of a pass with n requests on the fullest rank, on a group
// without slow ranks and with an even load on its experts.
func (m Model) PassTime(n int) time.Duration {
	return time.Duration(m.StepsPerPass) * (m.StepTime + time.Duration(n)*m.RequestTime)
}

// imbalancedPassTime returns the time of a pass with n requests on each rank, at an
// imbalance of the load on the experts. It includes the prompts that are read beside them.
func (m Model) imbalancedPassTime(n int, imbalance float64) time.Duration {
	perRequest := float64(m.RequestTime)
	if m.AnswerTokens > 0 {
		perRequest += float64(m.ReadTime) / float64(m.AnswerTokens)
	}
	perRequest *= 1 - m.ExpertShare + m.ExpertShare*imbalance
	return time.Duration(float64(m.StepsPerPass) * (float64(m.StepTime) + float64(n)*perRequest))
}

// Limit returns how many requests a rank with the given slots may run. maxPause is the
// longest pause between events that callers accept, 0 if it is unknown.
func (m Model) Limit(slots int, g Group, maxPause time.Duration) int {
	longest := time.Duration(passTimeFraction * float64(maxPause))
	if longest <= 0 || m.PassTime(1) <= 0 {
		return slots
	}
	present := m.presentLimit(slots, g, longest)
	if present < minLimit {
		return slots
	}
	return min(present, m.shiftLimit(slots, g.ShiftImbalance, longest))
}

// presentLimit returns the limit for the measured time of a pass, less than minLimit if even
// small batches are too slow.
func (m Model) presentLimit(slots int, g Group, longest time.Duration) int {
	if g.PassTime <= 0 {
		return slots
	}
	slowdown := float64(g.PassTime) / float64(m.PassTime(max(1, min(g.Fullest, slots))))
	n := slots
	for n >= minLimit && slowdown*float64(m.PassTime(n)) > float64(longest) {
		n--
	}
	return n
}

// shiftLimit returns the limit with which passes right after the next shift stay within
// longest. It returns slots if that costs too much capacity until then.
func (m Model) shiftLimit(slots int, imbalance float64, longest time.Duration) int {
	if imbalance <= 1 {
		return slots
	}
	n := slots
	for n > 0 && time.Duration(copySlowdown*float64(m.imbalancedPassTime(n, imbalance))) > longest {
		n--
	}
	if m.capacity(n) < minCapacity*m.capacity(slots) {
		return slots
	}
	return n
}

// capacity returns the requests that a rank completes in a unit of time with batches of n
// requests and an even load, up to a constant factor.
func (m Model) capacity(n int) float64 {
	return float64(n) / m.imbalancedPassTime(n, 1).Seconds()
}

// AtPace returns how many requests a rank of a pace may run, so that its part of a pass
// takes no longer than that of n requests on a rank that is not slow.
func (m Model) AtPace(n int, pace float64) int {
	if pace <= 1 || m.RequestTime <= 0 {
		return n
	}
	part := time.Duration(float64(m.StepTime+time.Duration(n)*m.RequestTime) / pace)
	return min(n, max(0, int((part-m.StepTime)/m.RequestTime)))
}

// Slowdown returns the ratio of the measured time of a pass to that without slow ranks and
// imbalance, 0 if it is unknown.
func (m Model) Slowdown(g Group) float64 {
	usual := m.PassTime(max(1, g.Fullest))
	if g.PassTime <= 0 || usual <= 0 {
		return 0
	}
	return float64(g.PassTime) / float64(usual)
}

// Reads returns the mean number of prompts that each of the given ranks may begin to read in
// the same pass if processes choose ranks independently. The fullest rank then makes a pass
// longer than the accepted pause in one of longPassOdds passes. It is without bound if the
// time of a pass or of reading is unknown.
func (m Model) Reads(passTime time.Duration, ranks int, maxPause time.Duration) float64 {
	if maxPause <= 0 || m.ReadTime <= 0 || passTime <= 0 {
		return math.Inf(1)
	}
	fit := float64((time.Duration(passTimeFraction*float64(maxPause)) - passTime) / m.ReadTime)
	fit = min(max(fit, 1), maxReads)
	// The odds that a rank gets more than fit are mean^(fit+1)/(fit+1)! for a small mean.
	return math.Pow(math.Gamma(fit+2)/float64(longPassOdds*max(ranks, 1)), 1/(fit+1))
}

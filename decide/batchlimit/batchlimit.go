// Package batchlimit limits the requests that a rank runs at the same time, so that the
// passes of its group stay within the pause that callers accept between two events.
//
// It answers for a group whose passes take longer than its engine profile says: its
// expert map does not fit the demand, or a rank is slow. With full batches every pause is
// then too long and nearly all responses are late. With smaller ones, fewer requests run,
// but those are in time. If even a small batch is too slow, the limit does not apply:
// responses are late in any case, and full batches complete the most before their
// deadlines.
package batchlimit

import "time"

const (
	// passTimeFraction is the fraction of the longest accepted pause that a pass may
	// take. The rest covers the relay of events and passes that read long prompts.
	passTimeFraction = 0.9
	// minLimit is the smallest limit. Below it, a batch serves less worth in time than a
	// full batch serves late.
	minLimit = 2
)

// Model describes how the time of a pass grows with the requests on a rank.
type Model struct {
	// StepTime is the time of a step, RequestTime that which each running request adds
	// to it.
	StepTime, RequestTime time.Duration
	// StepsPerPass is the number of steps of a pass.
	StepsPerPass int
}

// passTime returns the time of a pass with n requests on the fullest rank, on a group
// without slow ranks and with an even load on its experts.
func (m Model) passTime(n int) time.Duration {
	return time.Duration(m.StepsPerPass) * (m.StepTime + time.Duration(n)*m.RequestTime)
}

// Limit returns how many requests a rank with the given slots may run. observed is the
// present time of a pass while the fullest rank runs the given number of requests; 0
// means that it is unknown. maxPause is the longest pause between events that callers
// accept, 0 if it is unknown.
func (m Model) Limit(slots int, observed time.Duration, running int, maxPause time.Duration) int {
	expected := m.passTime(max(1, min(running, slots)))
	if observed <= 0 || maxPause <= 0 || expected <= 0 {
		return slots
	}
	slowdown := float64(observed) / float64(expected)
	longest := passTimeFraction * float64(maxPause)
	for n := slots; n >= minLimit; n-- {
		if slowdown*float64(m.passTime(n)) <= longest {
			return n
		}
	}
	return slots
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

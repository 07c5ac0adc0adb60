package rankview

import "time"

const (
	// stallPasses is the number of passes that fit into the time without a new pass after
	// which a group with a lost rank counts as stalled, and minStallTime the least such time.
	stallPasses  = 2
	minStallTime = 150 * time.Millisecond
	// completeStallTime is the time without a new pass after which a group counts as stalled
	// although each rank responds to the leader. It exceeds the longest hold of a change of the
	// map and the passes of a rank that is ten times slower than usual.
	completeStallTime = 1500 * time.Millisecond
)

// StallMeter detects that a group makes no passes because a rank is lost. The engines of the
// other ranks notice that only after a timeout of seconds and keep accepting requests until
// then, which all end unanswered.
type StallMeter struct {
	step uint64
	// advancedAt is when a new pass was last seen, or the group was last idle.
	advancedAt time.Duration
	// passTime is the time of a pass when the last one was seen. It is measured over a window
	// that the stall would lengthen.
	passTime time.Duration
}

// Observe adds a snapshot and reports whether the group has stalled. passTime is the time of a
// pass, 0 if it is unknown.
func (m *StallMeter) Observe(now time.Duration, s Snapshot, passTime time.Duration) bool {
	step, running, waiting := s.progress()
	if running+waiting == 0 || step > m.step || m.advancedAt == 0 {
		m.step, m.advancedAt, m.passTime = step, now, passTime
		return false
	}
	limit := max(minStallTime, stallPasses*m.passTime)
	if s.Complete {
		limit = max(limit, completeStallTime)
	}
	return now-m.advancedAt > limit
}

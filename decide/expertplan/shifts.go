package expertplan

import "time"

const (
	// unknownPersistence is how long demand is expected to persist before two shifts
	// have been seen. Demand of the users' groups shifts every three to four seconds.
	unknownPersistence = 3 * time.Second
	// A demand that has persisted for longer than usual is expected to persist for
	// persistedPart of that time.
	persistedPart = 0.25
	// Where shifts are frequent, demand is taken to be constant for constantIntervals of
	// their usual intervals after each.
	constantIntervals = 2
	// shiftIntervalWeight is the weight of a shift in the mean interval.
	shiftIntervalWeight = 0.3
	// recentShifts is the number of shifts whose imbalance counts for the next one.
	recentShifts = 4
	// shiftExpiry is the number of usual intervals without a shift after which none is
	// expected.
	shiftExpiry = 4
)

// shifts records the shifts of demand.
type shifts struct {
	// lastAt is the time of the last confirmed shift. startedAt is that of the first one, or
	// of the first sample before that.
	lastAt, startedAt time.Duration
	seen              int
	// interval is the mean time between shifts, 0 before the second one.
	interval time.Duration
	// imbalances are those of the map that was in use at the last recentShifts shifts,
	// under the demand after the shift.
	imbalances []float64
}

// record adds a shift. imbalance is that of the map that was in use, 0 if it is
// unknown.
func (s *shifts) record(now time.Duration, imbalance float64) {
	switch since := now - s.lastAt; s.seen {
	case 0:
		s.startedAt = now
	case 1:
		s.interval = since
	default:
		s.interval += time.Duration(shiftIntervalWeight * float64(since-s.interval))
	}
	s.lastAt = now
	s.seen++
	if imbalance > 0 {
		s.imbalances = append(s.imbalances, imbalance)
	}
	if len(s.imbalances) > recentShifts {
		s.imbalances = s.imbalances[1:]
	}
}

// usualInterval returns the mean time between shifts, unknownPersistence if it is
// unknown.
func (s *shifts) usualInterval() time.Duration {
	if s.interval == 0 {
		return unknownPersistence
	}
	return s.interval
}

// persistence returns how long the present demand is expected to persist.
func (s *shifts) persistence(now time.Duration) time.Duration {
	if s.interval == 0 {
		return max(unknownPersistence, time.Duration(persistedPart*float64(now-s.startedAt)))
	}
	since := now - s.lastAt
	return max(s.interval-since, time.Duration(persistedPart*float64(since)))
}

// constant reports whether demand is expected to be constant since the last shift: shifts
// are frequent, and the next one is not overdue.
func (s *shifts) constant(now time.Duration) bool {
	return s.interval > 0 && now-s.lastAt <= constantIntervals*s.interval
}

// expectedImbalance returns the mean imbalance at the last shifts, 0 if no shift is
// expected. The mean suffices, since readers leave a margin of a tenth, and the
// imbalances of successive shifts differ by about as much.
func (s *shifts) expectedImbalance(now time.Duration) float64 {
	if len(s.imbalances) == 0 || now-s.lastAt > shiftExpiry*s.usualInterval() {
		return 0
	}
	sum := 0.0
	for _, x := range s.imbalances {
		sum += x
	}
	return sum / float64(len(s.imbalances))
}

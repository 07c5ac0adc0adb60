package urgency

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal. A caller that comes
	// back sooner meets the same loads, and after 3 s most of a shift of demand or a burst has
	// passed.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// unknownRetryAfter takes the place of maxRetryAfter until it is known how long requests
	// take.
	unknownRetryAfter = 1500 * time.Millisecond
)

// RetryAfter returns the Retry-After of a refused request. Callers come back one after the
// other, at the rate at which the places that end exceed the arrivals of at least their
// priority. Without such places they come back late.
func (s *State) RetryAfter(now time.Duration, priority int32) time.Duration {
	return s.returnIn(now, s.levelOf(priority), 0, s.endRate-s.arrivalRate(now, priority))
}

// RetryAfterForming is like RetryAfter while the groups are broken. They take at least the
// given time to form, and all their places are free then.
func (s *State) RetryAfterForming(now time.Duration, priority int32, forming time.Duration) time.Duration {
	return s.returnIn(now, s.levelOf(priority), max(forming, s.FormingLeft(now)), s.endRate)
}

// returnIn returns the time until the caller of a refused request of a level may come back, at
// least earliest. Callers of one level come back at a rate.
func (s *State) returnIn(now time.Duration, l *level, earliest time.Duration, rate float64) time.Duration {
	first, last := now+earliest+minRetryAfter, now+earliest+maxRetryAfter
	random := s.random.Float64()
	if s.endRate == 0 {
		return earliest + minRetryAfter + time.Duration(random*float64(unknownRetryAfter-minRetryAfter))
	}
	late := func() time.Duration { return last - time.Duration(random*float64(last-first)/2) - now }
	if rate*(last-first).Seconds() < 1 {
		return late()
	}
	gap := time.Duration(float64(time.Second) / rate)
	next := max(l.returnAt, first) + gap
	if next > last {
		return late()
	}
	l.returnAt = next
	return next - time.Duration(random*float64(gap)) - now
}

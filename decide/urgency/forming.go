package urgency

import "time"

const (
	// maxFormingWait is the time since the groups broke up to which requests wait for them
	// without knowing when they are formed. An upstream that crashed is back within a few
	// seconds; one that is not may stay away.
	maxFormingWait = 3 * Patience
	// formingTolerance is the fraction by which an outage may be shorter than the last one.
	formingTolerance = 0.25
)

// outage is a time in which all groups of a service are broken.
type outage struct {
	active bool
	since  time.Duration
	// last is the length of the last one that has ended, 0 if there was none.
	last time.Duration
}

// ObserveForming records whether all groups of the service are broken.
func (s *State) ObserveForming(now time.Duration, forming bool) {
	o := &s.outage
	switch {
	case forming && !o.active:
		o.since = now
	case !forming && o.active:
		o.last = now - o.since
	}
	o.active = forming
}

// Forming reports whether all groups of the service are broken.
func (s *State) Forming() bool { return s.outage.active }

// FormingLeft returns the time until the groups are expected to be formed, 0 if it is unknown.
func (s *State) FormingLeft(now time.Duration) time.Duration {
	if !s.outage.active {
		return 0
	}
	return max(s.outage.since+s.outage.last-now, 0)
}

// MayAwaitForming reports whether a request can be served if it waits until the groups are
// formed: they may be formed before its caller gives up, by the length of the last outage, or
// nobody knows when.
func (s *State) MayAwaitForming(now time.Duration, r Request) bool {
	if !s.outage.active {
		return false
	}
	earliest := s.outage.since + time.Duration((1-formingTolerance)*float64(s.outage.last))
	if now < earliest {
		return s.leaveAt(r) > earliest
	}
	return now-s.outage.since < max(maxFormingWait, 2*s.outage.last)
}

// leaveAt returns the time until which waiting can serve the caller of a request.
func (s *State) leaveAt(r Request) time.Duration {
	return min(r.QuietSince+Patience-max(s.firstEvent, replyTime), r.Deadline)
}

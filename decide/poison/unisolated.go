package poison

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// firstBlockTime is how long a request is blocked after the first crash of which it
	// is the likely cause. A caller that resends it does so within its deadline, of some
	// seconds; a sound request that was there by chance is admitted again soon.
	firstBlockTime = time.Minute
	// crashesToBlockWaiting is the number of crashes that block a request which the
	// upstreams had not begun to respond to. Many sound ones wait at the time of a crash.
	crashesToBlockWaiting = 3
)

// Unisolated blocks requests that crash upstreams where no agent can run a suspect by
// itself. A crash of one upstream can stop all others of its group, so the first request
// that is the likely cause is not tried again at once.
type Unisolated struct{ *State }

// NewUnisolated returns an empty state for up to maxRecords requests, or
// DefaultMaxRecords if maxRecords is not positive.
func NewUnisolated(maxRecords int) *Unisolated { return &Unisolated{State: New(maxRecords)} }

// Victim is a request that was in flight at an upstream when that crashed.
type Victim struct {
	Fingerprint uint64
	// Responding is true if the upstream had begun to respond. Then the request is the
	// likely cause of the crash.
	Responding bool
}

// Admit returns nil if a request may be sent to an upstream, and a failure if it is
// blocked. It must be asked before each attempt.
func (u *Unisolated) Admit(now time.Duration, fp uint64) *api.Failure {
	if left := u.blockedFor(now, fp); left > 0 {
		return suspectFailure("the request crashed upstreams", left)
	}
	return nil
}

// RecordCrash records that an upstream crashed under a request, and returns the reports
// for other processes. The id must be the same for all requests in flight at that crash
// and unique among all crashes of the fleet.
func (u *Unisolated) RecordCrash(now time.Duration, upstream string, id uint64, v Victim) []api.Suspicion {
	u.counters.Crashes++
	if !u.merge(now, v.Fingerprint, []crash{{id: id, upstream: upstream, at: now, alone: v.Responding}}) {
		return nil
	}
	return u.Report(now, v.Fingerprint)
}

// RecordCompletion records that a request completed, and returns the report for other
// processes. It clears the crashes recorded so far.
func (u *Unisolated) RecordCompletion(now time.Duration, fp uint64) []api.Suspicion {
	if likely, all, _ := u.countCrashes(now, fp); likely+all == 0 {
		return nil
	}
	return u.State.RecordCompletion(now, fp)
}

// blockedFor returns the time for which a request is blocked, 0 if it is not.
func (u *Unisolated) blockedFor(now time.Duration, fp uint64) time.Duration {
	likely, all, last := u.countCrashes(now, fp)
	duration := time.Duration(0)
	switch {
	case likely >= crashesToBlock:
		duration = minBlockTime << (likely - crashesToBlock)
	case likely > 0:
		duration = firstBlockTime
	}
	if all >= crashesToBlockWaiting {
		duration = max(duration, minBlockTime<<(all-crashesToBlockWaiting))
	}
	return max(last+min(duration, maxBlockTime)-now, 0)
}

// countCrashes returns the number of crashes of which a request is the likely cause, the
// number of all its crashes, and the time of the last one.
func (u *Unisolated) countCrashes(now time.Duration, fp uint64) (likely, all int, last time.Duration) {
	r := u.records[fp]
	if r == nil {
		return 0, 0, 0
	}
	for _, c := range r.crashes {
		if !c.active(now) {
			continue
		}
		all++
		if c.alone {
			likely++
		}
		last = max(last, c.at)
	}
	return likely, all, last
}

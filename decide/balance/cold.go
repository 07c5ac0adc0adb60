package balance

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

const (
	// coldWindow is the sliding window over which requests to a cold upstream are
	// counted.
	coldWindow = time.Second
	// selectedFraction is the number of processes that get a quota of one when there
	// are more processes than requests to share, as a fraction of the requests. The
	// rest is a margin: processes may have different views of the fleet, so slightly
	// more of them than intended select themselves.
	selectedFraction = 0.8
)

// withinColdQuota reports whether an upstream may get another request now. A
// cold one with a cold rate gets at most this process's quota per coldWindow; all
// others are not limited.
func (s *State) withinColdQuota(now time.Duration, u *upstream) bool {
	if now >= u.instance.ColdUntil || s.coldRate(u) <= 0 {
		return true
	}
	u.coldAttempts = slices.DeleteFunc(u.coldAttempts, func(at time.Duration) bool { return now-at > coldWindow })
	return len(u.coldAttempts) < u.coldQuota
}

// coldRate returns the rate that an upstream can take while it is cold, in
// requests per second. 0 means no limit.
func (s *State) coldRate(u *upstream) float64 {
	if s.view.Table == nil {
		return 0
	}
	return s.view.Table.Services[u.instance.Service].ColdRate
}

// updateColdQuotas computes this process's quota for each upstream.
func (s *State) updateColdQuotas() {
	for id, u := range s.upstreams {
		total := int(s.coldRate(u)*s.options.ColdOvershoot + s.options.ColdTolerance)
		u.coldQuota = s.quota(total, id)
	}
}

// quota returns how many of total requests per coldWindow this process may send to
// the upstream. All processes get the same quota, unless there are more processes
// than requests: then rendezvous hashing selects those that get a quota of one. The
// quota is 0 while the number of processes is unknown.
func (s *State) quota(total int, upstream string) int {
	switch {
	case s.fleet.LimitDivisor == 0:
		return 0
	case s.fleet.LimitDivisor <= total:
		return total / s.fleet.LimitDivisor
	}
	selected := rendezvous.KeyOf(upstream).Top(int(selectedFraction*float64(total)), s.fleet.Names)
	if slices.Contains(selected, s.fleet.Self) {
		return 1
	}
	return 0
}

func (s *State) recordColdAttempt(now time.Duration, u *upstream) {
	if now < u.instance.ColdUntil {
		u.coldAttempts = append(u.coldAttempts, now)
	}
}

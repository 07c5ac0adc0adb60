package balance

import (
	"slices"
	"strconv"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

const (
	// coldWindow is the sliding window over which requests to a cold upstream are
	// counted.
	coldWindow = time.Second
	// selectedFraction is the number of processes that get one request more than the others
	// of those that can't be shared equally, as a fraction of these. The rest is a margin:
	// processes may have different views of the fleet, so slightly more of them than
	// intended select themselves.
	selectedFraction = 0.8
	// partlyKnownFraction takes its place where not all processes are known: each then selects
	// itself with that probability, and the number of those that do varies.
	partlyKnownFraction = 0.5
	// unknownProcess begins the name that stands for a process that is not known.
	unknownProcess = "\x00"
	// unknownQuota marks a quota that is not computed yet. Few upstreams are cold.
	unknownQuota = -1
)

// withinColdQuota reports whether an upstream may get another request now. A
// cold one with a cold rate gets at most this process's quota per coldWindow; all
// others are not limited.
func (s *State) withinColdQuota(now time.Duration, u *upstream) bool {
	if now >= u.instance.ColdUntil || s.coldRate(u) <= 0 {
		return true
	}
	if u.coldQuota == unknownQuota {
		u.coldQuota = s.quota(int(s.coldRate(u)*s.options.ColdOvershoot+s.options.ColdTolerance), u.instance.ID)
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

// resetColdQuotas discards the quotas, which depend on the processes and the cold rate.
func (s *State) resetColdQuotas() {
	for _, u := range s.upstreams {
		u.coldQuota = unknownQuota
	}
}

// quota returns how many of total requests per coldWindow this process may send to the
// upstream. All processes get the same quota, and rendezvous hashing selects those that get
// one of the rest in addition. The quota is 0 while the number of processes is unknown.
func (s *State) quota(total int, upstream string) int {
	processes := s.fleet.LimitDivisor
	if processes == 0 {
		return 0
	}
	quota, rest, fraction := total/processes, total%processes, selectedFraction
	names := slices.Clone(s.fleet.Names)
	if len(names) < processes {
		fraction = partlyKnownFraction
	}
	for n := len(names); n < processes; n++ {
		names = append(names, unknownProcess+strconv.Itoa(n))
	}
	if slices.Contains(rendezvous.KeyOf(upstream).Top(int(fraction*float64(rest)), names), s.fleet.Self) {
		quota++
	}
	return quota
}

func (s *State) recordColdAttempt(now time.Duration, u *upstream) {
	if now < u.instance.ColdUntil {
		u.coldAttempts = append(u.coldAttempts, now)
	}
}

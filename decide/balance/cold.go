package balance

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

const (
	// coldWindow is the span over which requests to a cold upstream are counted.
	coldWindow = time.Second
	// pickedPart is the part of a rate that is handed out where processes are
	// picked for it. They may know the fleet in different states, so that a few
	// more than that pick themselves.
	pickedPart = 0.8
)

// bears says whether an upstream may get another request now. One that is cold
// gets no more than the part of this process.
func (s *State) bears(now time.Duration, u *upstream) bool {
	if now >= u.instance.ColdUntil || s.coldRate(u) <= 0 {
		return true
	}
	u.sent = slices.DeleteFunc(u.sent, func(at time.Duration) bool { return now-at > coldWindow })
	return len(u.sent) < u.coldShare
}

// coldRate is what an upstream bears while it is cold, in requests a second, 0
// if any rate.
func (s *State) coldRate(u *upstream) float64 {
	if s.view.Table == nil {
		return 0
	}
	return s.view.Table.Services[u.instance.Service].ColdPerSecond
}

// shareCold works out the part of this process in the rate of each upstream.
func (s *State) shareCold() {
	for id, u := range s.upstreams {
		total := int(s.coldRate(u)*s.options.ColdOvershoot + s.options.ColdTolerance)
		u.coldShare = s.partOf(total, id)
	}
}

// partOf divides a number of requests evenly among all processes. If there are
// more processes than requests, one each goes to those that all processes pick
// for the upstream.
func (s *State) partOf(total int, upstream string) int {
	switch {
	case s.fleet.Sharers == 0:
		return 0
	case s.fleet.Sharers <= total:
		return total / s.fleet.Sharers
	}
	picked := rendezvous.KeyOf(upstream).Top(int(pickedPart*float64(total)), s.fleet.Names)
	if slices.Contains(picked, s.fleet.Self) {
		return 1
	}
	return 0
}

func (s *State) noteCold(now time.Duration, u *upstream) {
	if now < u.instance.ColdUntil {
		u.sent = append(u.sent, now)
	}
}

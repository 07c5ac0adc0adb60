package zone

import (
	"math"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/route"
)

// peers sums up the steady upstreams of a pool, as this router sees them.
type peers struct {
	n        float64
	own      float64
	reported float64
}

func (s *State) peers(of *upstream) peers {
	var p peers
	wanted := pool(&of.conf)
	for _, u := range s.ordered {
		if u.phase != steady || !u.reported || pool(&u.conf) != wanted {
			continue
		}
		p.n++
		p.own += float64(u.own)
		p.reported += float64(u.load.Running) + float64(u.load.Queued)
	}
	return p
}

// part estimates the part of the pool's work that comes from this router.
func (p *peers) part() float64 {
	if p.own == 0 || p.reported == 0 {
		return 1
	}
	return min(p.own/p.reported, 1)
}

// Allows says whether an upstream may take a request now.
//
// A leaving one keeps the prefixes that it holds until the budget of moves lets
// them go one by one, and takes nothing else.
//
// For a returned one it bounds the router's own requests in flight by its part
// of what the upstream has shown to bear and by what steady upstreams have, and
// prompts that another upstream holds by the budget of moves. All follow
// measurements, so the ramp needs no duration.
func (s *State) Allows(now time.Duration, name string, p route.Prompt) bool {
	u := s.upstreams[name]
	if u == nil || u.phase == steady || u.phase == out {
		return true
	}
	allowed := false
	if u.phase == leaving {
		allowed = p.Cached > 0 && !s.leave.open(now, LeavePart*s.rate.perSecond(now))
	} else {
		allowed = s.takes(now, u, p)
	}
	if !allowed {
		u.heldAt = now
		s.counters.Held++
	}
	return allowed
}

// takes says whether a returned upstream may take a request.
func (s *State) takes(now time.Duration, u *upstream, p route.Prompt) bool {
	others := s.peers(u)
	if others.n == 0 {
		// Nothing else bears the work; the upstream's own limits hold.
		return true
	}
	if float64(u.own) >= s.inFlightBound(u, others) {
		return false
	}
	return p.Lost == 0 || s.back.open(now, ReturnPart*s.rate.perSecond(now))
}

func (s *State) inFlightBound(u *upstream, p peers) float64 {
	bound := math.Ceil(u.limit() * p.part())
	if mean := Surplus * p.own / p.n; mean > 0 {
		bound = min(bound, math.Ceil(mean))
	}
	return max(bound, 1)
}

// Returned says whether an upstream is in a ramp.
func (s *State) Returned(name string) bool {
	u := s.upstreams[name]
	return u != nil && u.phase == ramping
}

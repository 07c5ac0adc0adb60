package zone

import (
	"math"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/route"
)

// peerLoad sums up the steady upstreams of a pool, as this router sees them.
type peerLoad struct {
	upstreams    float64
	ownInFlight  float64
	reportedWork float64
}

func (s *State) sumPeers(of *upstream) peerLoad {
	var p peerLoad
	wanted := poolName(&of.config)
	for _, u := range s.sortedUpstreams {
		if u.phase != steady || !u.reported || poolName(&u.config) != wanted {
			continue
		}
		p.upstreams++
		p.ownInFlight += float64(u.inFlight)
		p.reportedWork += float64(u.load.Running) + float64(u.load.Queued)
	}
	return p
}

// ownFraction estimates the part of the pool's work that comes from this router.
func (p *peerLoad) ownFraction() float64 {
	if p.ownInFlight == 0 || p.reportedWork == 0 {
		return 1
	}
	return min(p.ownInFlight/p.reportedWork, 1)
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
		allowed = p.Cached > 0 && !s.leaveBudget.refill(now, LeaveRecomputeFraction*s.rate.perSecond(now))
	} else {
		allowed = s.rampAllows(now, u, p)
	}
	if !allowed {
		u.lastHeldAt = now
		s.counters.Held++
	}
	return allowed
}

// rampAllows says whether a returned upstream may take a request.
func (s *State) rampAllows(now time.Duration, u *upstream, p route.Prompt) bool {
	others := s.sumPeers(u)
	if others.upstreams == 0 {
		// Nothing else bears the work; the upstream's own limits hold.
		return true
	}
	if float64(u.inFlight) >= s.inFlightBound(u, others) {
		return false
	}
	return p.Lost == 0 || s.returnBudget.refill(now, ReturnRecomputeFraction*s.rate.perSecond(now))
}

func (s *State) inFlightBound(u *upstream, p peerLoad) float64 {
	bound := math.Ceil(u.limit() * p.ownFraction())
	if mean := RampSurplusFactor * p.ownInFlight / p.upstreams; mean > 0 {
		bound = min(bound, math.Ceil(mean))
	}
	return max(bound, 1)
}

// Ramping says whether an upstream is in a ramp.
func (s *State) Ramping(name string) bool {
	u := s.upstreams[name]
	return u != nil && u.phase == ramping
}

package zone

import (
	"math"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/route"
)

// poolLoad is the total load of the steady upstreams of a pool, as known to this
// router. upstreams is their number, ownInFlight counts the router's own requests,
// reportedWork the running and queued requests of all routers.
type poolLoad struct {
	upstreams    float64
	ownInFlight  float64
	reportedWork float64
}

// steadyPoolLoad returns the load of the steady upstreams in the pool of an upstream.
func (s *State) steadyPoolLoad(target *upstream) poolLoad {
	var p poolLoad
	pool := poolName(&target.config)
	for _, u := range s.sortedUpstreams {
		if u.phase != steady || !u.reported || poolName(&u.config) != pool {
			continue
		}
		p.upstreams++
		p.ownInFlight += float64(u.inFlight)
		p.reportedWork += float64(u.load.Running) + float64(u.load.Queued)
	}
	return p
}

// ownFraction estimates the fraction of the pool's work that this router sends. It
// is 1 if there is no work to estimate it from.
func (p *poolLoad) ownFraction() float64 {
	if p.ownInFlight == 0 || p.reportedWork == 0 {
		return 1
	}
	return min(p.ownInFlight/p.reportedWork, 1)
}

// Allows reports whether an upstream may get a request now. If not, it records that
// a request was held back, which delays the end of a ramp.
//
// A leaving upstream gets only prompts whose prefix it has cached. These prefixes
// move to other upstreams one by one, as the recompute budget allows.
//
// The router's requests in flight on a returning upstream are limited in two ways:
// to the router's fraction of the limit that the upstream reports, and to
// RampSurplusFactor times the router's average on a steady upstream. The recompute
// budget limits how many prompts go there that another upstream has cached. All
// limits follow measurements, so the ramp needs no configured duration.
func (s *State) Allows(now time.Duration, name string, p route.CacheEstimate) bool {
	u := s.upstreams[name]
	if u == nil || u.phase == steady || u.phase == out {
		return true
	}
	allowed := false
	if u.phase == leaving {
		allowed = p.Cached > 0 && !s.leaveBudget.refillAndCheck(now, LeaveRecomputeFraction*s.uncachedTokenRate.perSecond(now))
	} else {
		allowed = s.rampAllows(now, u, p)
	}
	if !allowed {
		u.lastHeldAt = now
		s.counters.Held++
	}
	return allowed
}

// rampAllows reports whether a returning upstream may get a request.
func (s *State) rampAllows(now time.Duration, u *upstream, p route.CacheEstimate) bool {
	pool := s.steadyPoolLoad(u)
	if pool.upstreams == 0 {
		// No other upstream can do the work, so only the upstream's own limits apply.
		return true
	}
	if float64(u.inFlight) >= s.inFlightBound(u, pool) {
		return false
	}
	return p.CachedElsewhere == 0 || s.returnBudget.refillAndCheck(now, ReturnRecomputeFraction*s.uncachedTokenRate.perSecond(now))
}

// inFlightBound returns how many of this router's requests a returning upstream may
// have in flight, at least one.
func (s *State) inFlightBound(u *upstream, p poolLoad) float64 {
	bound := math.Ceil(u.limit() * p.ownFraction())
	if mean := RampSurplusFactor * p.ownInFlight / p.upstreams; mean > 0 {
		bound = min(bound, math.Ceil(mean))
	}
	return max(bound, 1)
}

// Ramping reports whether an upstream is returning to service.
func (s *State) Ramping(name string) bool {
	u := s.upstreams[name]
	return u != nil && u.phase == ramping
}

package zoneshare

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// updateInterval is the least time between two updates of a share.
	updateInterval = 50 * time.Millisecond
	// loadHalfLife is the half-life of the weight of a load in its mean. A load fluctuates
	// from one report to the next by the square root of the requests, also without a change
	// of demand.
	loadHalfLife = 500 * time.Millisecond
	// shareHalfLife is the time in which a share covers half of the distance to its target.
	// It exceeds the usual age of a report (120 to 300 ms): a faster share would follow
	// loads that don't contain its last change yet, and oscillate.
	shareHalfLife = 400 * time.Millisecond
	// startFactor is the multiple of the cost of leaving that the wait at home must reach
	// before a share begins. It ends once the wait is below the cost.
	startFactor = 1.25
	// minCost is the least cost of leaving, as a fraction of the duration of a request. A
	// shorter wait is none.
	minCost = 0.01
	// maxShare bounds the sum of the shares. The rest keeps the load of the own zone known.
	maxShare = 0.9
	// minShare is the share below which a share that ends is 0.
	minShare = 0.01
	// othersWeight is the weight of the waits of another zone's callers. At 1, too few
	// requests leave while the peaks of zones alternate: the load of the other zone is known
	// later than that of the own one, and its peak is over by then.
	othersWeight = 0.4
	// fillSteps is the least number of parts in which work is distributed between zones. In
	// zones of more than steadySlots, the wait rises so steeply that one of 40 parts decides
	// between waiting and not waiting, and shares swing: the parts are then smaller than a
	// request, and shares move as much more slowly as the zone is larger.
	fillSteps       = 40
	steadySlots     = 18
	stepsASlot      = 13
	slowdownPerSize = 4
	// assumedLoad is the load of a zone without a recent report, as a fraction of its slots.
	assumedLoad = 0.5
	// A response is late after keepFactor times the mean duration of a request, and missing
	// after missingFactor times it, but not before MaxReportAge.
	keepFactor    = 2
	missingFactor = 4
)

type service struct {
	updatedAt time.Duration
	zones     map[string]*zoneState
}

type zoneState struct {
	Zone
	share Share
	// movedAt is the time at which the share last moved towards a target.
	movedAt time.Duration
	// meanLoad and meanShare are the moving averages of Load and of the share, with the
	// same delay.
	meanLoad, meanShare float64
}

// Due reports whether the shares of a service are to be updated.
func (s *State) Due(now time.Duration, name string) bool {
	v := s.services[name]
	return v == nil || now-v.updatedAt >= updateInterval
}

// Update updates the shares of a service. zones holds the zones with upstreams that are in
// service.
func (s *State) Update(now time.Duration, name string, w Work, zones map[string]Zone) {
	v := s.services[name]
	if v == nil {
		v = &service{zones: make(map[string]*zoneState), updatedAt: now}
		s.services[name] = v
	}
	elapsed := now - v.updatedAt
	v.updatedAt = now
	maps.DeleteFunc(v.zones, func(to string, _ *zoneState) bool {
		_, ok := zones[to]
		return !ok
	})
	for to, known := range zones {
		if !known.Reported || now-known.ReportedAt > MaxReportAge {
			known.Load = max(known.Load, assumedLoad*known.Slots)
		}
		z := v.zones[to]
		if z == nil {
			z = &zoneState{meanLoad: known.Load, movedAt: now}
			v.zones[to] = z
		}
		z.Zone = known
		z.meanLoad += (known.Load - z.meanLoad) * covered(elapsed, loadHalfLife)
		z.meanShare += (z.share.limited() - z.meanShare) * covered(elapsed, loadHalfLife)
	}
	s.updateShares(now, v, w)
}

// covered returns the part of a distance that is covered in a time.
func covered(elapsed, halfLife time.Duration) float64 {
	return 1 - math.Exp2(-elapsed.Seconds()/halfLife.Seconds())
}

// updateShares decides on each other zone. Rules come before computed shares.
func (s *State) updateShares(now time.Duration, v *service, w Work) {
	home := v.zones[s.options.Zone]
	var computed []string
	for _, to := range slices.Sorted(maps.Keys(v.zones)) {
		z := v.zones[to]
		if z == home {
			continue
		}
		z.share.Preference, z.share.upstreams = s.preference(to, w), z.Upstreams
		switch {
		case w.Lockstep:
			z.share.GroupPreference = s.groupPreference(to, w, z.Slots/float64(max(z.Upstreams, 1)))
			z.open(ReasonGroup)
			continue
		case home == nil || home.Slots <= 0:
			z.open(ReasonNoHome)
			continue
		case w.Duration <= 0:
			z.open(ReasonUnmeasured)
			continue
		case z.Slots <= 0:
			z.share = Share{Preference: z.share.Preference, Reason: ReasonUnusable, full: true}
			continue
		}
		z.share.meanLoad = z.meanLoad / float64(max(z.Upstreams, 1))
		z.share.full = z.meanLoad >= z.Slots
		z.share.room = loadOfWait(lossThere(z.meanLoad, z.Slots)+s.cost(to, w), home.Slots/float64(max(home.Upstreams, 1)))
		switch {
		case expectedWait(home.meanLoad, home.Slots) <= z.startFactor()*s.cost(to, w):
			z.approach(now, 0, shareHalfLife, ReasonRoom)
		case z.unansweredFor(now) > max(MaxReportAge, missingFactor*w.Duration):
			z.open(ReasonNoReport)
		case z.unansweredFor(now) > keepFactor*w.Duration && !z.share.Unlimited():
			z.share.Reason, z.movedAt = ReasonKept, now
		default:
			computed = append(computed, to)
		}
	}
	if len(computed) > 0 {
		s.computeShares(now, v, home, computed, w)
	}
}

// cost returns the cost of leaving for another zone, in durations of a request.
func (s *State) cost(to string, w Work) float64 {
	return max(minCost, float64(s.crossingCost(to, w))/float64(w.Duration))
}

// open lets requests leave by load and preference alone.
func (z *zoneState) open(r Reason) { z.share.Fraction, z.share.Reason = 1, r }

// unansweredFor returns for how long a request has brought no report. Without traffic to a
// zone there is no report either, and that is no failure.
func (z *zoneState) unansweredFor(now time.Duration) time.Duration {
	if !z.Asked {
		return 0
	}
	return now - z.AskedAt
}

// startFactor returns the factor of the cost of leaving: startFactor until a share begins.
func (z *zoneState) startFactor() float64 {
	if z.share.limited() == 0 {
		return startFactor
	}
	return 1
}

// computeShares distributes the work of the own zone. It gives it away in small parts, each
// to the zone where it costs the least, as long as a caller gains more by leaving than the
// delay, the bytes and the callers of the other zone lose.
func (s *State) computeShares(now time.Duration, v *service, home *zoneState, to []string, w Work) {
	sent := 0.0
	for _, z := range v.zones {
		sent += z.meanShare
	}
	// The other processes of the zone see about the same loads, and have about the same
	// shares. An error affects the pace only: at the equilibrium, nothing moves.
	demand := home.meanLoad / (1 - min(sent, maxShare))
	staying := demand
	flows, others := make([]float64, len(to)), make([]float64, len(to))
	for i, name := range to {
		z := v.zones[name]
		others[i] = max(z.meanLoad-z.meanShare*demand, 0)
	}
	for name, z := range v.zones {
		if z != home && !slices.Contains(to, name) {
			staying -= z.share.limited() * demand
		}
	}
	part, halfLife := demand/fillSteps, shareHalfLife
	if home.Slots > steadySlots {
		part = demand / (stepsASlot * home.Slots)
		halfLife = time.Duration(slowdownPerSize * home.Slots / steadySlots * float64(shareHalfLife))
	}
	for staying > (1-maxShare)*demand+part/2 {
		best, least := -1, expectedWait(staying, home.Slots)
		for i, name := range to {
			z := v.zones[name]
			if c := lossThere(others[i]+flows[i], z.Slots) + z.startFactor()*s.cost(name, w); c < least {
				best, least = i, c
			}
		}
		if best < 0 {
			break
		}
		flows[best] += part
		staying -= part
	}
	for i, name := range to {
		reason := ReasonWait
		if flows[i] == 0 {
			reason = ReasonCost
		}
		v.zones[name].approach(now, flows[i]/demand, halfLife, reason)
	}
}

// approach moves the share towards a target with a half-life. It starts from 0 if the share was not limited.
func (z *zoneState) approach(now time.Duration, target float64, halfLife time.Duration, r Reason) {
	fraction := z.share.limited()
	fraction += (target - fraction) * covered(now-z.movedAt, halfLife)
	if target < minShare && fraction < minShare {
		fraction = 0
	}
	z.share.Fraction, z.share.Reason, z.movedAt = fraction, r, now
}

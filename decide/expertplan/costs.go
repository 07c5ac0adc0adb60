package expertplan

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/placement"
)

const (
	// copySlowdown is the relative increase in pass time while experts are copied,
	// as the platform documents it. holdTime is how long a change holds the group.
	copySlowdown = 0.15
	holdTime     = 40 * time.Millisecond
	// paybackTime is the time in which a change must save its cost, at most the time for
	// which demand is expected to persist. It is short because part of an expected gain
	// is noise.
	paybackTime = 550 * time.Millisecond
	// maxCopyTime limits how long a rank copies experts for one change. The old map
	// stays in use during that time, and demand shifts within seconds.
	maxCopyTime = 250 * time.Millisecond
	// maxFirstCopies is the number of copies per rank of the first change after a shift.
	// With recorded demand, one copy lowers an imbalance of 2.9 to 1.62, two to 1.43, and
	// four to 1.24. More take time during which the old map is in use, for a demand that
	// is not known well yet.
	maxFirstCopies = 2
	// sufficientSaving is the part of the largest saving that a change with fewer copies
	// must reach to be preferred. Each copy moves the weights of an expert.
	sufficientSaving = 0.9
	// defaultPrepareTime and defaultSwitchTime apply until SetTimes is called.
	defaultPrepareTime = 100 * time.Millisecond
	defaultSwitchTime  = 150 * time.Millisecond
)

// changeCosts determines what a change of the map costs and what it saves.
type changeCosts struct {
	copyTime time.Duration
	limits   placement.Limits
	// prepareTime is the time from a proposal to the hold of a pass, beyond that of
	// copying, and switchTime the time from there to the first pass with the new map.
	prepareTime, switchTime time.Duration
}

func newChangeCosts(ranks int, p api.EngineProfile) changeCosts {
	n := 1
	if p.CopyTime > 0 {
		n = max(1, int(maxCopyTime/p.CopyTime))
	}
	return changeCosts{
		copyTime:    p.CopyTime,
		limits:      placement.Limits{Total: n * ranks, PerRank: n, PerRankLayer: max(1, p.StagedPerRank)},
		prepareTime: defaultPrepareTime, switchTime: defaultSwitchTime,
	}
}

// SetTimes sets how long it takes from a proposal to the hold of a pass, beyond the time
// of copying, and from there to the first pass with the new map.
func (s *State) SetTimes(prepare, change time.Duration) {
	s.costs.prepareTime, s.costs.switchTime = prepare, change
}

// stages returns the limits of the changes to choose from, in ascending order. first is true for the first change after a shift.
func (c *changeCosts) stages(first bool) []placement.Limits {
	most := c.limits.PerRank
	if first {
		most = min(most, maxFirstCopies)
	}
	ranks := c.limits.Total / c.limits.PerRank
	var stages []placement.Limits
	for n := 1; ; n = min(most, n+max(1, n/2)) {
		stages = append(stages, placement.Limits{Total: n * ranks, PerRank: n, PerRankLayer: c.limits.PerRankLayer})
		if n == most {
			return stages
		}
	}
}

// candidate is a possible change: the copies of the rank with most of them, and the
// imbalance after it.
type candidate struct {
	copiesPerRank int
	after         float64
}

// copying returns the time in which a rank copies experts.
func (c *changeCosts) copying(copies int) time.Duration { return time.Duration(copies) * c.copyTime }

// firstHorizon returns the time after which a refinement takes effect that follows a first
// change.
func (c *changeCosts) firstHorizon() time.Duration {
	return 2*(c.prepareTime+c.switchTime) + c.copying(maxFirstCopies+c.limits.PerRank)
}

// saving returns the expert time that a change saves within horizon, in seconds at an
// imbalance of 1. The old map is in use until the change takes effect.
func (c *changeCosts) saving(before float64, x candidate, horizon time.Duration) float64 {
	copying := c.copying(x.copiesPerRank)
	inUse := horizon - c.prepareTime - copying - c.switchTime
	return (before-x.after)*inUse.Seconds() - before*(copySlowdown*copying.Seconds()+holdTime.Seconds())
}

// choose returns the index of the change to make. It returns false if none is worth its
// cost within horizon.
func (c *changeCosts) choose(before float64, candidates []candidate, horizon time.Duration) (index int, worthwhile bool) {
	best := 0.0
	for _, x := range candidates {
		best = max(best, c.saving(before, x, horizon))
	}
	payback := min(paybackTime, horizon)
	minGain := (copySlowdown*c.copying(c.limits.PerRank).Seconds() + holdTime.Seconds()) / max(payback.Seconds(), 0.001)
	for i, x := range candidates {
		if best > 0 && c.saving(before, x, horizon) >= sufficientSaving*best && before-x.after >= minGain*before {
			return i, true
		}
	}
	return 0, false
}

// Change is a change that the ranks prepare.
type Change struct {
	Plan Plan
	// BegunAt is when the change was proposed.
	BegunAt time.Duration
}

// Replaces reports whether a new plan for the current map should replace a change that the
// ranks still prepare. Both ways end with a map like that of the plan: at once, or by a
// further change after this one. The change goes on if less is lost by waiting for it than
// by using the current map until the new plan takes effect.
func (s *State) Replaces(now time.Duration, p Plan, preparing Change) bool {
	next := s.Imbalance(preparing.Plan.Map)
	if next <= 0 || next >= p.Before {
		return true
	}
	c := &s.costs
	// A change that is overdue is expected to take as long again.
	remaining := (c.prepareTime + c.copying(preparing.Plan.CopiesPerRank) - (now - preparing.BegunAt)).Abs()
	lostByWaiting := (remaining + c.switchTime).Seconds() * (p.Before - p.After)
	newTime := c.prepareTime + c.copying(p.CopiesPerRank) + c.switchTime
	return lostByWaiting > newTime.Seconds()*(p.Before-next)
}

package expertplan

import (
	"math"
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
	// tolerableImbalance is the imbalance up to which the map in use is kept while passes are
	// short. The first change after a shift usually gets below it, with a fifth of the copies
	// of a refinement.
	tolerableImbalance = 1.5
	// maxShortPassFraction is the part of the accepted pause below which passes are short
	// where no shift is expected to more than double them. A shift raises the imbalance to
	// 1.5 in groups of 12 ranks, but to 3.8 and more in those of 256.
	maxShortPassFraction = 0.5
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
	// noise is the moving average of the difference between the imbalance of the map in use
	// under a sample and under the estimate before it. Random differences between samples
	// raise the load of the most loaded rank.
	noise float64
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

func (c *changeCosts) observeNoise(x float64) { c.noise += noiseWeight * (max(x, 0) - c.noise) }

// expectedNoise returns the part of an expected gain that is noise if the last sample has
// a weight in the estimate. Noise raises the imbalance of the map in use, and lowers that
// of a map that fits the noise.
func (c *changeCosts) expectedNoise(weight float64) float64 { return 2 * c.noise * math.Sqrt(weight) }

// saving returns the expert time that a change saves within horizon, in seconds at an
// imbalance of 1, if noise is part of the expected gain. The old map is in use until the change takes effect.
func (c *changeCosts) saving(before float64, x candidate, horizon time.Duration, noise float64) float64 {
	copying := c.copying(x.copiesPerRank)
	inUse := horizon - c.prepareTime - copying - c.switchTime
	return (before-x.after-noise)*inUse.Seconds() - before*(copySlowdown*copying.Seconds()+holdTime.Seconds())
}

// minGain returns the relative gain with which a change pays off in time.
func (c *changeCosts) minGain(copies int, horizon time.Duration) float64 {
	payback := max(min(paybackTime, horizon), time.Millisecond)
	return (copySlowdown*c.copying(copies).Seconds() + holdTime.Seconds()) / payback.Seconds()
}

// choose returns the index of the change to make. It returns false if none is worth its
// cost within horizon. weight is that of the last sample in the estimate.
func (c *changeCosts) choose(before float64, candidates []candidate, horizon time.Duration, weight float64) (index int, worthwhile bool) {
	best, noise := 0.0, c.expectedNoise(weight)
	for _, x := range candidates {
		best = max(best, c.saving(before, x, horizon, noise))
	}
	for i, x := range candidates {
		enough := best > 0 && c.saving(before, x, horizon, noise) >= sufficientSaving*best
		if enough && before-x.after-noise >= c.minGain(x.copiesPerRank, horizon)*before {
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

// CopyTime returns how long the ranks copy experts for a plan.
func (s *State) CopyTime(p Plan) time.Duration { return s.costs.copying(p.CopiesPerRank) }

// Replacement returns a plan for the current map that should replace a change which the
// ranks still prepare, if there is one. The plan must lose less than the change, both if the
// change is the last one and if it is followed by a change like the plan.
func (s *State) Replacement(now time.Duration, current [][][]int, preparing Change) (Plan, bool) {
	before, next := s.Imbalance(current), s.Imbalance(preparing.Plan.Map)
	if next <= 0 || next >= before {
		return s.Plan(current)
	}
	c, horizon := &s.costs, s.horizon().Seconds()
	// A change that is overdue is expected to take as long again.
	remaining := (c.prepareTime + s.CopyTime(preparing.Plan) - (now - preparing.BegunAt)).Abs()
	changeTime := (remaining + c.switchTime).Seconds()
	replaces := func(after float64, copies int) bool {
		planTime := (c.prepareTime + c.copying(copies) + c.switchTime).Seconds()
		// Losses are differences to the imbalance after the plan.
		planLoss := planTime * (before - after)
		last := changeTime*(before-after) + (horizon-changeTime)*(next-after)
		followed := changeTime*(before-after) + planTime*(next-after)
		return planLoss < min(last, followed)
	}
	// Planning takes milliseconds, during which no order is sent. No map is better than an
	// even one with a single copy.
	if !replaces(1, 1) {
		return Plan{}, false
	}
	p, ok := s.Plan(current)
	return p, ok && replaces(p.After+c.expectedNoise(s.demand.weight), p.CopiesPerRank)
}

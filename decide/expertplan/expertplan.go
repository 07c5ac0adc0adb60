// Package expertplan decides to which map a group should change, from the
// choices of experts that its ranks count.
package expertplan

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/placement"
)

const (
	// copySlowdown is how much longer passes take while experts are copied, as the
	// platform states it, and holdTime how long a change holds the group.
	copySlowdown = 0.15
	holdTime     = 40 * time.Millisecond
	// payback is the time in which a change must save what it costs. Demand shifts
	// every few seconds, and a part of an expected gain is chance.
	payback = 550 * time.Millisecond
	// copyLimit bounds the time in which a rank copies experts for one change:
	// the old map is in use meanwhile, and demand shifts within seconds.
	copyLimit = 250 * time.Millisecond
)

// tolerances are the distances to the placement bound that are left alone, in
// rounds: the few copies of a change go to the layers with the largest excess.
var tolerances = []float64{1.2, 0.8, 0.55, 0.4, 0.28, 0.18, 0.1, 0.05}

// State estimates the demand of one group. It belongs to the control loop.
type State struct {
	shape  placement.Shape
	limits placement.Limits
	// minGain is the smallest part of the expert time of a pass worth a change.
	minGain float64
	demand  demand
	// planned is the last result of Plan. Ranks are read several times as often
	// as their counts, and a plan takes milliseconds of a part of a core.
	planned *planned
}

// planned is the result for a map under the present demand.
type planned struct {
	present [][][]int
	plan    Plan
	ok      bool
}

// New returns a state for groups of a profile.
func New(ranks int, p api.EngineProfile) *State {
	return &State{
		shape: placement.Shape{
			Ranks:      ranks,
			Experts:    p.Experts,
			Layers:     p.Layers,
			Slots:      p.SlotsPerRank,
			RanksPerVM: 1,
		},
		limits:  limits(ranks, p),
		minGain: minGain(p),
		demand:  demand{noise: firstNoise},
	}
}

// perRank is the number of experts that a rank copies for one change, one at
// least.
func perRank(p api.EngineProfile) int {
	if p.CopyTime <= 0 {
		return 1
	}
	return max(1, int(copyLimit/p.CopyTime))
}

// minGain is what a change costs as a part of the time in which it must pay.
func minGain(p api.EngineProfile) float64 {
	copying := time.Duration(perRank(p)) * p.CopyTime
	return (copySlowdown*copying.Seconds() + holdTime.Seconds()) / payback.Seconds()
}

// limits bounds what the ranks copy for one change.
func limits(ranks int, p api.EngineProfile) placement.Limits {
	n := perRank(p)
	return placement.Limits{Weights: n * ranks, PerRank: n, PerRankLayer: max(1, p.StagedPerRank)}
}

// Shape returns the size of the group.
func (s *State) Shape() placement.Shape { return s.shape }

// Plan is a change of map and what it is expected to bring.
type Plan struct {
	// Map is by layer and rank.
	Map [][][]int
	// Before and After are the expert time of a pass as a multiple of that of an
	// even spread.
	Before, After float64
	// Copies is the number of experts that ranks copy.
	Copies int
}

// Plan returns a better map than the present one; false if none is worth the
// change.
func (s *State) Plan(present [][][]int) (Plan, bool) {
	if s.planned == nil || !same(s.planned.present, present) {
		p, ok := s.improve(present)
		s.planned = &planned{present: present, plan: p, ok: ok}
	}
	return s.planned.plan, s.planned.ok
}

// same says whether two maps, by layer and rank, hold the same experts.
func same(a, b [][][]int) bool {
	return slices.EqualFunc(a, b, func(a, b [][]int) bool { return slices.EqualFunc(a, b, slices.Equal) })
}

func (s *State) improve(present [][][]int) (Plan, bool) {
	loads := s.demand.shares
	if loads == nil || s.demand.shifting() {
		return Plan{}, false
	}
	before, ok := s.pack(present)
	if !ok {
		return Plan{}, false
	}
	after, err := placement.UpdateEvenly(before, loads, tolerances, s.limits)
	if err != nil {
		return Plan{}, false
	}
	even := s.evenCost(loads)
	if even <= 0 {
		return Plan{}, false
	}
	p := Plan{Map: s.unpack(after), Before: before.Cost(loads) / even, After: after.Cost(loads) / even, Copies: after.Moved(before)}
	return p, p.Before-p.After >= s.minGain*p.Before
}

// Imbalance is the expert time of a pass with a map, as a multiple of that of an
// even spread, under the present demand.
func (s *State) Imbalance(lists [][][]int) float64 {
	m, ok := s.pack(lists)
	if !ok || s.demand.shares == nil {
		return 0
	}
	return m.Cost(s.demand.shares) / s.evenCost(s.demand.shares)
}

// evenCost is the expert time of a pass if each rank had the same load.
func (s *State) evenCost(loads placement.Loads) float64 {
	total := 0.0
	for _, layer := range loads {
		for _, x := range layer {
			total += x
		}
	}
	return total / float64(s.shape.Ranks)
}

// pack fills the slots of a map. Each free slot repeats another expert that the
// rank holds alone, which changes no load and can be replaced: the planner does
// not touch an expert that a rank holds more than twice.
func (s *State) pack(lists [][][]int) (placement.Map, bool) {
	m := placement.Map{Shape: s.shape, Slots: make([]int16, s.shape.Layers*s.shape.Ranks*s.shape.Slots)}
	if len(lists) != s.shape.Layers {
		return m, false
	}
	for l, ranks := range lists {
		if len(ranks) != s.shape.Ranks {
			return m, false
		}
		holders := make(map[int]int)
		for _, experts := range ranks {
			for _, e := range experts {
				holders[e]++
			}
		}
		if len(holders) != s.shape.Experts {
			return m, false
		}
		slots := m.Layer(l)
		for r, experts := range ranks {
			if len(experts) == 0 || len(experts) > s.shape.Slots {
				return m, false
			}
			fillers := slices.DeleteFunc(slices.Clone(experts), func(e int) bool { return holders[e] > 1 })
			if len(fillers) == 0 {
				fillers = experts
			}
			for k := range s.shape.Slots {
				e := fillers[k%len(fillers)]
				if k < len(experts) {
					e = experts[k]
				}
				slots[r*s.shape.Slots+k] = int16(e)
			}
		}
	}
	return m, true
}

func (s *State) unpack(m placement.Map) [][][]int {
	out := make([][][]int, s.shape.Layers)
	for l := range out {
		out[l] = make([][]int, s.shape.Ranks)
		for r := range out[l] {
			for _, e := range m.Layer(l)[r*s.shape.Slots : (r+1)*s.shape.Slots] {
				if !slices.Contains(out[l][r], int(e)) {
					out[l][r] = append(out[l][r], int(e))
				}
			}
		}
	}
	return out
}

// First is map 0, which deals the experts out in turn.
func First(s placement.Shape) [][][]int {
	out := make([][][]int, s.Layers)
	for l := range out {
		out[l] = make([][]int, s.Ranks)
		for e := range s.Experts {
			out[l][e%s.Ranks] = append(out[l][e%s.Ranks], e)
		}
	}
	return out
}

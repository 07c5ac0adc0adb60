// Package expertplan plans the next expert map of a group from the expert
// choices that its ranks count.
//
// It answers demand that shifts every few seconds: the fullest rank then has about three
// times the mean load until a map for the new demand is in use. The first sample that shows
// a shift leads to a small change, a later one to a refinement whose copies pay off until
// the next shift is expected. It also tells the imbalance to expect right after that.
package expertplan

import (
	"math"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/placement"
)

const (
	// slowPace is the pace above which a rank counts as slow.
	slowPace = 1.15
	// paceChange is the relative change of a pace that makes a new plan necessary.
	paceChange = 0.2
)

// excessTolerances are the accepted relative distances from the lower bound of the
// placement cost, one per planning round. They decrease, so that the few copies of
// a change go to the layers with the largest excess.
var excessTolerances = []float64{1.2, 0.8, 0.55, 0.4, 0.28, 0.18, 0.1, 0.05}

// State estimates the demand of one group and plans its maps. Only the control
// loop uses it.
type State struct {
	shape  placement.Shape
	engine api.EngineProfile
	costs  changeCosts
	demand demand
	shifts shifts
	// inUse is the map in use by layer and rank, nil if it is unknown. atShift is the one
	// in use when the last shift was seen.
	inUse, atShift [][][]int
	// paces is nil if no rank is slow.
	paces placement.Paces
	// spare is set while passes are so short that callers gain nothing from shorter ones.
	spare bool
	// cached is the last result of Plan, or nil if demand has changed since. Plan is
	// called several times per sample, and planning takes milliseconds of CPU time.
	cached *cachedPlan
}

// cachedPlan is the result of Plan for a map under the current demand.
type cachedPlan struct {
	currentMap [][][]int
	plan       Plan
	worthwhile bool
}

// New returns the state of a group with the given engine profile.
func New(ranks int, p api.EngineProfile) *State {
	return &State{
		shape: placement.Shape{
			Ranks:      ranks,
			Experts:    p.Experts,
			Layers:     p.Layers,
			Slots:      p.SlotsPerRank,
			RanksPerVM: 1,
		},
		engine: p,
		costs:  newChangeCosts(ranks, p),
		demand: demand{noise: initialNoise},
	}
}

// SetMap sets the map in use, by layer and rank, nil if it is unknown.
func (s *State) SetMap(expertMap [][][]int) { s.inUse = expertMap }

// Shift tells whether a sample showed a shift of demand.
type Shift uint8

const (
	// NoShift means that demand did not shift.
	NoShift Shift = iota
	// ShiftSeen means that demand shifted during the sample or right before it.
	ShiftSeen
	// ShiftConfirmed means that the sample after ShiftSeen showed the new demand as well.
	ShiftConfirmed
)

// Observe updates the estimate of demand from a sample. counts holds the choices that
// each rank has counted in total, by layer and expert; running is the number of running
// requests on these ranks. It leaves out ranks without counts and ranks that restarted.
func (s *State) Observe(now time.Duration, epoch uint64, counts [][]uint64, running int) Shift {
	if s.demand.shares == nil {
		s.shifts.startedAt = now
	}
	expected := s.Imbalance(s.inUse)
	event := s.demand.observe(s.shape, now, epoch, counts, running, s.shifts.constant(now))
	if event != noChoices {
		s.cached = nil
	}
	switch event {
	case demandKnown:
		if expected > 0 {
			s.costs.observeNoise(s.imbalance(s.inUse, s.demand.sample, s.paces) - expected)
		}
	case shiftSeen:
		s.atShift = s.inUse
		return ShiftSeen
	case shiftConfirmed:
		s.shifts.record(now, s.imbalance(s.atShift, s.demand.shares, nil))
		return ShiftConfirmed
	}
	return NoShift
}

// ShiftImbalance returns the imbalance that is expected right after the next shift of
// demand, 0 if none is expected.
func (s *State) ShiftImbalance(now time.Duration) float64 { return s.shifts.expectedImbalance(now) }

// SetPaces sets the paces of the ranks, 1 for a rank that is not slow. It returns true if
// they differ from the last ones by more than paceChange.
func (s *State) SetPaces(paces []float64) (changed bool) {
	slow := false
	for r, pace := range paces {
		slow = slow || pace > slowPace
		last := 1.0
		if s.paces != nil {
			last = s.paces[r]
		}
		changed = changed || math.Abs(pace-last) > paceChange*last
	}
	if !changed || len(paces) != s.shape.Ranks {
		return false
	}
	s.paces, s.cached = nil, nil
	if slow {
		s.paces = paces
	}
	return true
}

// SetSpare tells whether passes are so short that callers gain nothing from shorter ones.
func (s *State) SetSpare(spare bool) {
	if spare != s.spare {
		s.spare, s.cached = spare, nil
	}
}

// ShortPass returns the longest pass time at which callers gain nothing from shorter passes,
// if they accept a pause between events: the passes right after the next shift take no longer
// than the pause. The present load is taken as even, which overestimates how much they grow.
func (s *State) ShortPass(now, pause time.Duration) time.Duration {
	short := time.Duration(maxShortPassFraction * float64(pause))
	growth := 1 + s.engine.ExpertShare*max(s.ShiftImbalance(now)-1, 0)
	// The steps themselves take as long as before.
	fixed := min(time.Duration(s.engine.StepsPerPass)*s.engine.StepTime, pause)
	return min(short, fixed+time.Duration(float64(pause-fixed)/growth))
}

// Shape returns the numbers of ranks, experts, layers and slots of the group.
func (s *State) Shape() placement.Shape { return s.shape }

// Plan is a new map and its expected effect.
type Plan struct {
	// Map is by layer and rank.
	Map [][][]int
	// Before and After are the imbalance of the current and the new map: the
	// expert time of a pass as a multiple of that with equal load on all ranks.
	Before, After float64
	// Copies is the number of experts that ranks copy for the change, CopiesPerRank the
	// largest number on one rank.
	Copies, CopiesPerRank int
}

// Plan returns a better map than the current one. It returns false if no change is
// worth its cost, if demand is unknown, or if the current map does not fit the group.
func (s *State) Plan(current [][][]int) (Plan, bool) {
	if s.cached == nil || !equalMaps(s.cached.currentMap, current) {
		p, ok := s.improve(current)
		s.cached = &cachedPlan{currentMap: current, plan: p, worthwhile: ok}
	}
	return s.cached.plan, s.cached.worthwhile
}

// equalMaps reports whether two maps, by layer and rank, hold the same experts.
func equalMaps(a, b [][][]int) bool {
	return slices.EqualFunc(a, b, func(a, b [][]int) bool { return slices.EqualFunc(a, b, slices.Equal) })
}

func (s *State) improve(current [][][]int) (Plan, bool) {
	loads := s.demand.shares
	if loads == nil {
		return Plan{}, false
	}
	before, ok := s.pack(current)
	even := s.evenCost(loads)
	if !ok || even <= 0 {
		return Plan{}, false
	}
	imbalance := before.CostAt(loads, s.paces) / even
	if s.spare && imbalance <= tolerableImbalance {
		return Plan{}, false
	}
	// Planning takes milliseconds, so a map that is good enough is not planned for.
	ideal := []candidate{{copiesPerRank: 1, after: placement.LowerBound(s.shape, loads) / even}}
	if _, ok := s.costs.choose(imbalance, ideal, s.horizon(), s.demand.weight); !ok {
		return Plan{}, false
	}
	stages := s.costs.stages(s.demand.justShifted())
	maps, err := placement.UpdateInStages(before, loads, s.paces, excessTolerances, stages)
	if err != nil {
		return Plan{}, false
	}
	candidates := make([]candidate, len(maps))
	for i, m := range maps {
		candidates[i] = candidate{copiesPerRank: stages[i].PerRank, after: m.CostAt(loads, s.paces) / even}
	}
	chosen, ok := s.costs.choose(imbalance, candidates, s.horizon(), s.demand.weight)
	after := maps[chosen]
	return Plan{
		Map: s.unpack(after), Before: imbalance, After: candidates[chosen].after,
		Copies: after.WeightsToLoad(before), CopiesPerRank: candidates[chosen].copiesPerRank,
	}, ok
}

// horizon returns the time in which a change that begins now has to pay off. The first
// change after a shift is soon followed by a refinement.
func (s *State) horizon() time.Duration {
	if s.demand.justShifted() {
		return min(s.shifts.usualInterval(), s.costs.firstHorizon())
	}
	return s.shifts.persistence(s.demand.lastAt)
}

// Imbalance returns the expert time of a pass with a map under the current demand,
// as a multiple of that with equal load on all ranks. It returns 0 if the map does
// not fit the group or demand is unknown.
func (s *State) Imbalance(expertMap [][][]int) float64 {
	return s.imbalance(expertMap, s.demand.shares, s.paces)
}

func (s *State) imbalance(expertMap [][][]int, loads placement.Loads, paces placement.Paces) float64 {
	if loads == nil {
		return 0
	}
	m, ok := s.pack(expertMap)
	if !ok {
		return 0
	}
	return m.CostAt(loads, paces) / s.evenCost(loads)
}

// evenCost returns the expert time of a pass with equal load on all ranks.
func (s *State) evenCost(loads placement.Loads) float64 {
	total := 0.0
	for _, layer := range loads {
		for _, x := range layer {
			total += x
		}
	}
	return total / float64(s.shape.Ranks)
}

// pack converts a map, by layer and rank, to slots. It returns false if the map
// does not fit the group. It fills the free slots of a rank with further copies of
// the experts that only this rank holds, in turn. This changes no load, and the
// planner can replace such a copy, whereas it does not touch an expert that a rank
// holds more than twice.
func (s *State) pack(expertMap [][][]int) (placement.Map, bool) {
	m := placement.Map{Shape: s.shape, Slots: make([]int16, s.shape.Layers*s.shape.Ranks*s.shape.Slots)}
	if len(expertMap) != s.shape.Layers {
		return m, false
	}
	for l, ranks := range expertMap {
		if len(ranks) != s.shape.Ranks {
			return m, false
		}
		holders := make(map[int]int)
		for _, experts := range ranks {
			for _, e := range experts {
				if e < 0 || e >= s.shape.Experts {
					return m, false
				}
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

// unpack converts slots to a map by layer and rank, without repeated experts.
func (s *State) unpack(m placement.Map) [][][]int {
	expertMap := make([][][]int, s.shape.Layers)
	for l := range expertMap {
		expertMap[l] = make([][]int, s.shape.Ranks)
		for r := range expertMap[l] {
			for _, e := range m.Layer(l)[r*s.shape.Slots : (r+1)*s.shape.Slots] {
				if !slices.Contains(expertMap[l][r], int(e)) {
					expertMap[l][r] = append(expertMap[l][r], int(e))
				}
			}
		}
	}
	return expertMap
}

// InitialMap returns map 0, which assigns the experts round robin to the ranks.
func InitialMap(s placement.Shape) [][][]int {
	expertMap := make([][][]int, s.Layers)
	for l := range expertMap {
		expertMap[l] = make([][]int, s.Ranks)
		for e := range s.Experts {
			expertMap[l][e%s.Ranks] = append(expertMap[l][e%s.Ranks], e)
		}
	}
	return expertMap
}

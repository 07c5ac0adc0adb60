package expertplan_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/expertplan"
)

var profile = api.EngineProfile{Layers: 3, Experts: 96, SlotsPerRank: 11, StagedPerRank: 4}

const (
	ranks = 12
	// runningRequests is five per rank.
	runningRequests = 60
)

// skewedCounts returns the choices of one rank. The share of the k-th most popular
// expert decreases with k as a power law, as measured on engines.
func skewedCounts(engine api.EngineProfile, mostPopular int) []uint64 {
	counts := make([]uint64, engine.Layers*engine.Experts)
	for l := range engine.Layers {
		for k := range engine.Experts {
			e := (mostPopular + 37*k) % engine.Experts
			counts[l*engine.Experts+e] = uint64(1e6 / math.Pow(float64(k+1), 1.3))
		}
	}
	return counts
}

// stateAfter returns a state that has observed the demand of skewedCounts on all
// ranks.
func stateAfter(ranks int, engine api.EngineProfile, mostPopular int) *expertplan.State {
	s := expertplan.New(ranks, engine)
	zero := make([][]uint64, ranks)
	counts := make([][]uint64, ranks)
	for r := range ranks {
		zero[r] = make([]uint64, engine.Layers*engine.Experts)
		counts[r] = skewedCounts(engine, mostPopular)
	}
	s.Observe(0, 1, zero, runningRequests)
	s.Observe(time.Second, 1, counts, runningRequests)
	return s
}

// Guards against a first change that leaves most free slots of map 0 unused, so
// that a group needs many changes to become balanced.
func TestFirstChangeUsesAllRanks(t *testing.T) {
	s := stateAfter(ranks, profile, 5)
	p, ok := s.Plan(expertplan.InitialMap(s.Shape()))
	if !ok {
		t.Fatal("no plan for map 0")
	}
	if p.Copies < ranks-2 {
		t.Errorf("%d copies on %d ranks, want nearly one per rank", p.Copies, ranks)
	}
	if p.After > 0.75*p.Before {
		t.Errorf("imbalance %.2f after the change, %.2f before", p.After, p.Before)
	}
}

// Guards against maps that the engines refuse: an expert without a rank, too many
// experts on a rank, or more new ones than a rank can stage. Engines that copy
// fast accept more experts per change, but not more per layer.
func TestMapsFitEngineLimits(t *testing.T) {
	cases := []struct {
		name   string
		ranks  int
		engine api.EngineProfile
	}{
		{"slow copies", ranks, profile},
		{"fast copies", 24, api.EngineProfile{Layers: 4, Experts: 96, SlotsPerRank: 5, StagedPerRank: 1, CopyTime: 20 * time.Millisecond}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := stateAfter(c.ranks, c.engine, 5)
			current := expertplan.InitialMap(s.Shape())
			for range 6 {
				p, ok := s.Plan(current)
				if !ok {
					break
				}
				checkMap(t, c.engine, current, p.Map)
				current = p.Map
			}
		})
	}
}

func checkMap(t *testing.T, engine api.EngineProfile, before, after [][][]int) {
	t.Helper()
	for l := range after {
		held := make(map[int]bool)
		for r, experts := range after[l] {
			added := 0
			for _, e := range experts {
				held[e] = true
				if !slices.Contains(before[l][r], e) {
					added++
				}
			}
			if len(experts) > engine.SlotsPerRank || added > engine.StagedPerRank {
				t.Errorf("layer %d rank %d: %d experts, %d new", l, r, len(experts), added)
			}
		}
		if len(held) != engine.Experts {
			t.Errorf("layer %d holds %d experts", l, len(held))
		}
	}
}

// Guards against a plan that rejects a change although its copies take little time,
// or accepts a change whose copies cost more than it saves.
func TestMinGainGrowsWithCopyTime(t *testing.T) {
	quick := api.EngineProfile{Layers: 3, Experts: 96, SlotsPerRank: 11, StagedPerRank: 4, CopyTime: 76 * time.Millisecond}
	slow := quick
	slow.CopyTime = 400 * time.Millisecond
	changes := func(engine api.EngineProfile) int {
		s, current := stateAfter(ranks, engine, 5), expertplan.InitialMap(stateAfter(ranks, engine, 5).Shape())
		for n := 0; ; n++ {
			p, ok := s.Plan(current)
			if !ok {
				return n
			}
			if gain := 1 - p.After/p.Before; gain < 0.13 || engine.CopyTime == slow.CopyTime && gain < 0.18 {
				t.Errorf("change %d with copies of %v saves only %.2f", n, engine.CopyTime, gain)
			}
			current = p.Map
		}
	}
	if n := changes(quick); n < 1 {
		t.Errorf("%d changes with quick copies", n)
	}
	if n := changes(slow); n < 1 {
		t.Errorf("%d changes with slow copies", n)
	}
}

// Guards against a change of a map that is already balanced, which costs time and
// gains nothing.
func TestEvenDemandNeedsNoChange(t *testing.T) {
	s := expertplan.New(ranks, profile)
	counts := func(n uint64) [][]uint64 {
		all := make([][]uint64, ranks)
		for r := range all {
			all[r] = slices.Repeat([]uint64{n}, profile.Layers*profile.Experts)
		}
		return all
	}
	s.Observe(0, 1, counts(0), runningRequests)
	s.Observe(time.Second, 1, counts(1000), runningRequests)
	if p, ok := s.Plan(expertplan.InitialMap(s.Shape())); ok {
		t.Errorf("change from imbalance %.2f to %.2f, want none", p.Before, p.After)
	}
}

// Guards against Plan returning a cached plan that was made for an earlier demand
// or for another map.
func TestPlanFollowsDemandAndMap(t *testing.T) {
	s := stateAfter(ranks, profile, 5)
	first := expertplan.InitialMap(s.Shape())
	before, _ := s.Plan(first)
	if repeated, ok := s.Plan(first); !ok || !slices.EqualFunc(repeated.Map, before.Map, equalLayers) {
		t.Error("different plan for the same demand and map")
	}
	if next, _ := s.Plan(before.Map); next.Before >= before.Before {
		t.Errorf("imbalance of the planned map %.2f, of the first map %.2f", next.Before, before.Before)
	}
	counts := make([][]uint64, ranks)
	for r := range counts {
		counts[r] = skewedCounts(profile, 5)
		for i, n := range skewedCounts(profile, 50) {
			counts[r][i] += 9 * n
		}
	}
	if _, ok := s.Plan(first); !ok {
		t.Error("no plan for the first map")
	}
	s.Observe(2*time.Second, 1, counts, runningRequests)
	if after, _ := s.Plan(first); slices.EqualFunc(after.Map, before.Map, equalLayers) {
		t.Error("same plan after a shift of demand")
	}
	s.Observe(3*time.Second, 1, withChoices(counts, 50, 9), runningRequests)
	if after, ok := s.Plan(first); !ok || slices.EqualFunc(after.Map, before.Map, equalLayers) {
		t.Errorf("no plan (%t), or the same one, for the new demand", ok)
	}
}

// withChoices returns counts to which each rank has added the choices of
// skewedCounts, several times.
func withChoices(counts [][]uint64, mostPopular int, times uint64) [][]uint64 {
	next := make([][]uint64, len(counts))
	for r := range counts {
		next[r] = slices.Clone(counts[r])
		for i, n := range skewedCounts(profile, mostPopular) {
			next[r][i] += times * n
		}
	}
	return next
}

// Guards against an estimate that takes half a second to follow a shift of demand.
// Changes planned in that time fit a mixture of the old and the new demand, so each
// is followed by another change.
func TestShiftIsFollowedWithinTwoSamples(t *testing.T) {
	const interval = 40 * time.Millisecond
	s := expertplan.New(ranks, profile)
	counts := make([][]uint64, ranks)
	for r := range counts {
		counts[r] = make([]uint64, profile.Layers*profile.Experts)
	}
	now := time.Duration(0)
	observe := func(mostPopular int) expertplan.Shift {
		counts = withChoices(counts, mostPopular, 1)
		now += interval
		return s.Observe(now, 1, counts, runningRequests)
	}
	for range 20 {
		observe(5)
	}
	map5, _ := stateAfter(ranks, profile, 5).Plan(expertplan.InitialMap(s.Shape()))
	want := stateAfter(ranks, profile, 50).Imbalance(map5.Map)
	if before := s.Imbalance(map5.Map); before > 0.8*want {
		t.Fatalf("imbalance %.2f before the shift, %.2f after it", before, want)
	}
	// Demand shifts between two samples.
	counts = withChoices(counts, 5, 1)
	if observe(50) != expertplan.ShiftSeen {
		t.Error("shift not detected")
	}
	// A sample of an idle group is ignored and is not a second shift.
	now += interval
	if s.Observe(now, 1, counts, runningRequests) != expertplan.NoShift {
		t.Error("shift detected in a sample without choices")
	}
	// A plan for a mixture of two demands must be small, and fit the new demand better.
	first, ok := s.Plan(map5.Map)
	if !ok || first.CopiesPerRank > 2 || first.Copies > 2*ranks {
		t.Errorf("first change after the shift: %t, %d copies, up to %d on a rank", ok, first.Copies, first.CopiesPerRank)
	}
	if got := stateAfter(ranks, profile, 50).Imbalance(first.Map); got > 0.95*want {
		t.Errorf("imbalance %.2f after the first change, %.2f without it", got, want)
	}
	if observe(50) != expertplan.ShiftConfirmed {
		t.Error("shift not confirmed")
	}
	if got := s.Imbalance(map5.Map); math.Abs(got-want) > 0.02*want {
		t.Errorf("imbalance %.2f after two samples, want %.2f", got, want)
	}
	if _, ok := s.Plan(map5.Map); !ok {
		t.Error("no plan for the current demand")
	}
}

// Guards against random differences between samples being detected as a shift of
// demand, which discards the estimate.
func TestNoiseIsNotAShift(t *testing.T) {
	s := expertplan.New(ranks, profile)
	random := rand.New(rand.NewPCG(1, 1))
	counts := make([][]uint64, ranks)
	for r := range counts {
		counts[r] = make([]uint64, profile.Layers*profile.Experts)
	}
	for i := range 500 {
		counts = withChoices(counts, 5, 1)
		// Each of a few dozen requests also prefers some experts at random.
		for r := range counts {
			for l := range profile.Layers {
				for range 3 {
					counts[r][l*profile.Experts+random.IntN(profile.Experts)] += uint64(random.IntN(400_000))
				}
			}
		}
		if s.Observe(time.Duration(i)*40*time.Millisecond, 1, counts, runningRequests) != expertplan.NoShift {
			t.Fatalf("shift detected in sample %d, want only noise", i)
		}
	}
}

func equalLayers(a, b [][]int) bool { return slices.EqualFunc(a, b, slices.Equal) }

// Guards against an expert that the engine profile does not have, in a map that was read
// from the ranks: the planner indexes its tables with it.
func TestPlanRejectsUnknownExperts(t *testing.T) {
	for _, expert := range []int{-1, profile.Experts, 1 << 20} {
		s := stateAfter(ranks, profile, 5)
		m := expertplan.InitialMap(s.Shape())
		m[1][2][0] = expert
		if p, ok := s.Plan(m); ok {
			t.Errorf("expert %d: plan %+v", expert, p.Before)
		}
		if got := s.Imbalance(m); got != 0 {
			t.Errorf("expert %d: imbalance %.2f, want 0", expert, got)
		}
	}
}

// Guards against experts that are copied, and groups that are held, for shorter passes from
// which no caller gains, and against a map that stays in use although it doesn't fit at all.
func TestTolerableMapIsKeptWhilePassesAreShort(t *testing.T) {
	engine := profile
	engine.CopyTime = 16 * time.Millisecond
	s := stateAfter(ranks, engine, 5)
	current := expertplan.InitialMap(s.Shape())
	s.SetSpare(true)
	for s.Imbalance(current) > 1.5 {
		p, ok := s.Plan(current)
		if !ok {
			t.Fatalf("no plan at an imbalance of %.2f", s.Imbalance(current))
		}
		current = p.Map
	}
	if p, ok := s.Plan(current); ok {
		t.Errorf("plan from %.2f to %.2f while passes are short", p.Before, p.After)
	}
	s.SetSpare(false)
	if _, ok := s.Plan(current); !ok && s.Imbalance(current) > 1.3 {
		t.Errorf("no plan at an imbalance of %.2f while passes are long", s.Imbalance(current))
	}
}

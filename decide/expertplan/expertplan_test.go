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
	// running requests are five a rank.
	running = 60
)

// skewed counts choices so that the expert of rank k in popularity gets a part
// that falls with k, as measured on engines.
func skewed(engine api.EngineProfile, first int) []uint64 {
	counts := make([]uint64, engine.Layers*engine.Experts)
	for l := range engine.Layers {
		for k := range engine.Experts {
			e := (first + 37*k) % engine.Experts
			counts[l*engine.Experts+e] = uint64(1e6 / math.Pow(float64(k+1), 1.3))
		}
	}
	return counts
}

// observed returns a state that has seen a demand.
func observed(ranks int, engine api.EngineProfile, first int) *expertplan.State {
	s := expertplan.New(ranks, engine)
	zero := make([][]uint64, ranks)
	counts := make([][]uint64, ranks)
	for r := range ranks {
		zero[r] = make([]uint64, engine.Layers*engine.Experts)
		counts[r] = skewed(engine, first)
	}
	s.Observe(0, 1, zero, running)
	s.Observe(time.Second, 1, counts, running)
	return s
}

// Guards against a first change that leaves most of the free slots of map 0
// unused, so that a group takes many changes to get even.
func TestFirstChangeUsesEveryRank(t *testing.T) {
	s := observed(ranks, profile, 5)
	p, ok := s.Plan(expertplan.First(s.Shape()))
	if !ok {
		t.Fatal("no change of map 0")
	}
	if p.Copies < ranks-2 {
		t.Errorf("%d copies on %d ranks", p.Copies, ranks)
	}
	if p.After > 0.75*p.Before {
		t.Errorf("imbalance %.2f after %.2f", p.After, p.Before)
	}
}

// Guards against maps that the engines refuse: an expert without a rank, too
// many on one, or more new ones than a rank can stage. Engines that copy fast
// take many experts in one change, but no more of them in one layer.
func TestMapsFitTheEngines(t *testing.T) {
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
			s := observed(c.ranks, c.engine, 5)
			present := expertplan.First(s.Shape())
			for range 6 {
				p, ok := s.Plan(present)
				if !ok {
					break
				}
				check(t, c.engine, present, p.Map)
				present = p.Map
			}
		})
	}
}

func check(t *testing.T, engine api.EngineProfile, before, after [][][]int) {
	t.Helper()
	for l := range after {
		held := make(map[int]bool)
		for r, experts := range after[l] {
			fresh := 0
			for _, e := range experts {
				held[e] = true
				if !slices.Contains(before[l][r], e) {
					fresh++
				}
			}
			if len(experts) > engine.SlotsPerRank || fresh > engine.StagedPerRank {
				t.Errorf("layer %d rank %d: %d experts, %d new", l, r, len(experts), fresh)
			}
		}
		if len(held) != engine.Experts {
			t.Errorf("layer %d holds %d experts", l, len(held))
		}
	}
}

// Guards against a change that is left out though its copies take little time, and
// one whose copies cost more than it brings.
func TestChangesThatCostMoreMustBringMore(t *testing.T) {
	quick := api.EngineProfile{Layers: 3, Experts: 96, SlotsPerRank: 11, StagedPerRank: 4, CopyTime: 76 * time.Millisecond}
	slow := quick
	slow.CopyTime = 400 * time.Millisecond
	changes := func(engine api.EngineProfile) int {
		s, present := observed(ranks, engine, 5), expertplan.First(observed(ranks, engine, 5).Shape())
		for n := 0; ; n++ {
			p, ok := s.Plan(present)
			if !ok {
				return n
			}
			if gain := 1 - p.After/p.Before; gain < 0.13 || engine.CopyTime == slow.CopyTime && gain < 0.18 {
				t.Errorf("change %d with copies of %v brings %.2f", n, engine.CopyTime, gain)
			}
			present = p.Map
		}
	}
	if n := changes(quick); n < 1 {
		t.Errorf("%d changes with quick copies", n)
	}
	if n := changes(slow); n < 1 {
		t.Errorf("%d changes with slow copies", n)
	}
}

// Guards against a change of which nothing is gained.
func TestEvenDemandNeedsNoChange(t *testing.T) {
	s := expertplan.New(ranks, profile)
	counts := func(n uint64) [][]uint64 {
		all := make([][]uint64, ranks)
		for r := range all {
			all[r] = slices.Repeat([]uint64{n}, profile.Layers*profile.Experts)
		}
		return all
	}
	s.Observe(0, 1, counts(0), running)
	s.Observe(time.Second, 1, counts(1000), running)
	if p, ok := s.Plan(expertplan.First(s.Shape())); ok {
		t.Errorf("imbalance %.2f to %.2f", p.Before, p.After)
	}
}

// Guards against a plan for an earlier demand or another map.
func TestPlansFollowDemandAndMap(t *testing.T) {
	s := observed(ranks, profile, 5)
	first := expertplan.First(s.Shape())
	before, _ := s.Plan(first)
	if again, ok := s.Plan(first); !ok || !slices.EqualFunc(again.Map, before.Map, sameLayer) {
		t.Error("the same demand and map give another plan")
	}
	if next, _ := s.Plan(before.Map); next.Before >= before.Before {
		t.Errorf("from the better map: imbalance %.2f, from the first %.2f", next.Before, before.Before)
	}
	counts := make([][]uint64, ranks)
	for r := range counts {
		counts[r] = skewed(profile, 5)
		for i, n := range skewed(profile, 50) {
			counts[r][i] += 9 * n
		}
	}
	if _, ok := s.Plan(first); !ok {
		t.Error("no plan for the first map")
	}
	s.Observe(2*time.Second, 1, counts, running)
	if after, _ := s.Plan(first); slices.EqualFunc(after.Map, before.Map, sameLayer) {
		t.Error("the plan stays after demand has shifted")
	}
	s.Observe(3*time.Second, 1, further(counts, 50, 9), running)
	if after, ok := s.Plan(first); !ok || slices.EqualFunc(after.Map, before.Map, sameLayer) {
		t.Errorf("no other plan (%t) for the demand that has shifted", ok)
	}
}

// further returns counts to which each rank added choices.
func further(counts [][]uint64, first int, times uint64) [][]uint64 {
	next := make([][]uint64, len(counts))
	for r := range counts {
		next[r] = slices.Clone(counts[r])
		for i, n := range skewed(profile, first) {
			next[r][i] += times * n
		}
	}
	return next
}

// Guards against an estimate that takes half a second to follow a shift, in
// which changes of map are planned for a mixture of the former and the present
// demand: each had to be followed by another one.
func TestAShiftIsFollowedWithinTwoReadings(t *testing.T) {
	const interval = 40 * time.Millisecond
	s := expertplan.New(ranks, profile)
	counts := make([][]uint64, ranks)
	for r := range counts {
		counts[r] = make([]uint64, profile.Layers*profile.Experts)
	}
	now := time.Duration(0)
	read := func(first int) bool {
		counts = further(counts, first, 1)
		now += interval
		return s.Observe(now, 1, counts, running)
	}
	for range 20 {
		read(5)
	}
	map5, _ := observed(ranks, profile, 5).Plan(expertplan.First(s.Shape()))
	want := observed(ranks, profile, 50).Imbalance(map5.Map)
	if before := s.Imbalance(map5.Map); before > 0.8*want {
		t.Fatalf("imbalance %.2f before the shift, %.2f after it", before, want)
	}
	// The shift falls within a reading.
	counts = further(counts, 5, 1)
	if !read(50) {
		t.Error("the shift is not noticed")
	}
	// A group that goes idle then tells nothing more, and no second shift.
	now += interval
	if s.Observe(now, 1, counts, running) {
		t.Error("a reading without choices tells a shift")
	}
	if _, ok := s.Plan(map5.Map); ok {
		t.Error("a plan for a mixture of two demands")
	}
	read(50)
	if got := s.Imbalance(map5.Map); math.Abs(got-want) > 0.02*want {
		t.Errorf("imbalance %.2f after two readings, want %.2f", got, want)
	}
	if _, ok := s.Plan(map5.Map); !ok {
		t.Error("no plan for the present demand")
	}
}

// Guards against readings that differ by chance and are taken for a shift, which
// throws away what is known.
func TestChanceIsNoShift(t *testing.T) {
	s := expertplan.New(ranks, profile)
	random := rand.New(rand.NewPCG(1, 1))
	counts := make([][]uint64, ranks)
	for r := range counts {
		counts[r] = make([]uint64, profile.Layers*profile.Experts)
	}
	for i := range 500 {
		counts = further(counts, 5, 1)
		// A few dozen requests prefer experts of their own.
		for r := range counts {
			for l := range profile.Layers {
				for range 3 {
					counts[r][l*profile.Experts+random.IntN(profile.Experts)] += uint64(random.IntN(400_000))
				}
			}
		}
		if s.Observe(time.Duration(i)*40*time.Millisecond, 1, counts, running) {
			t.Fatalf("reading %d is taken for a shift", i)
		}
	}
}

func sameLayer(a, b [][]int) bool { return slices.EqualFunc(a, b, slices.Equal) }

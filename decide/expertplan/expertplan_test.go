package expertplan_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/expertplan"
)

var profile = api.EngineProfile{Layers: 3, Experts: 96, SlotsPerRank: 11, StagedPerRank: 4}

const ranks = 12

// skewed counts choices so that the expert of rank k in popularity gets a part
// that falls with k, as measured on engines.
func skewed(first int) []uint64 {
	counts := make([]uint64, profile.Layers*profile.Experts)
	for l := range profile.Layers {
		for k := range profile.Experts {
			e := (first + 37*k) % profile.Experts
			counts[l*profile.Experts+e] = uint64(1e6 / math.Pow(float64(k+1), 1.3))
		}
	}
	return counts
}

// observed returns a state that has seen a demand.
func observed(first int) *expertplan.State {
	s := expertplan.New(ranks, profile)
	zero := make([][]uint64, ranks)
	counts := make([][]uint64, ranks)
	for r := range ranks {
		zero[r] = make([]uint64, profile.Layers*profile.Experts)
		counts[r] = skewed(first)
	}
	s.Observe(0, 1, zero)
	s.Observe(time.Second, 1, counts)
	return s
}

// Guards against a first change that leaves most of the free slots of map 0
// unused, so that a group takes many changes to get even.
func TestFirstChangeUsesEveryRank(t *testing.T) {
	s := observed(5)
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
// many on one, or more new ones than a rank can stage.
func TestMapsFitTheEngines(t *testing.T) {
	s := observed(5)
	present := expertplan.First(s.Shape())
	for range 6 {
		p, ok := s.Plan(present)
		if !ok {
			break
		}
		check(t, present, p.Map)
		present = p.Map
	}
}

func check(t *testing.T, before, after [][][]int) {
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
			if len(experts) > profile.SlotsPerRank || fresh > profile.StagedPerRank {
				t.Errorf("layer %d rank %d: %d experts, %d new", l, r, len(experts), fresh)
			}
		}
		if len(held) != profile.Experts {
			t.Errorf("layer %d holds %d experts", l, len(held))
		}
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
	s.Observe(0, 1, counts(0))
	s.Observe(time.Second, 1, counts(1000))
	if p, ok := s.Plan(expertplan.First(s.Shape())); ok {
		t.Errorf("imbalance %.2f to %.2f", p.Before, p.After)
	}
}

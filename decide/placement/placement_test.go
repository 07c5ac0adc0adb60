package placement

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Settings{Seed: 1, Checks: 200})
}

func drawLoads(t *rapid.T, s Shape) Loads {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "loads"), 0))
	loads := make(Loads, s.Layers)
	for l := range loads {
		for range s.Experts {
			loads[l] = append(loads[l], math.Exp(rng.NormFloat64()))
		}
	}
	return loads
}

func drawShape(t *rapid.T) Shape {
	s := Shape{
		Ranks: rapid.IntRange(1, 12).Draw(t, "ranks"), Slots: rapid.IntRange(1, 4).Draw(t, "slots"),
		Layers: rapid.IntRange(1, 3).Draw(t, "layers"), RanksPerVM: rapid.IntRange(1, 4).Draw(t, "perVM"),
	}
	s.Experts = rapid.IntRange(1, s.Ranks*s.Slots).Draw(t, "experts")
	return s
}

// check fails if an expert has no replica, in which case no rank can process its
// tokens, or if the cost is below the lower bound, in which case the search computed
// wrong loads.
func check(t *rapid.T, m Map, loads Loads) {
	for l := range m.Shape.Layers {
		replicas := make([]int, m.Shape.Experts)
		for _, e := range m.Layer(l) {
			replicas[e]++
		}
		for e, n := range replicas {
			if n == 0 {
				t.Fatalf("layer %d: expert %d has no replica", l, e)
			}
		}
	}
	if c, b := m.Cost(loads), LowerBound(m.Shape, loads); c < b*(1-1e-9) {
		t.Fatalf("cost %g is below the lower bound %g", c, b)
	}
}

// TestPlanAndUpdate guards against maps without a replica of an expert, against a
// local search or an update that raises the cost, and against an update that loads
// more weights than its limit.
func TestPlanAndUpdate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawShape(t)
		loads := drawLoads(t, s)
		baseline, err := PlanLargestFirst(s, loads)
		if err != nil {
			t.Fatal(err)
		}
		m, _ := Plan(s, loads)
		check(t, baseline, loads)
		check(t, m, loads)
		if m.Cost(loads) > baseline.Cost(loads)*(1+1e-9) {
			t.Fatalf("cost %g with local search, %g without", m.Cost(loads), baseline.Cost(loads))
		}
		newLoads := drawLoads(t, s)
		limit := rapid.IntRange(0, 8).Draw(t, "weights")
		updated, _ := Update(m, newLoads, 0.02, Limits{Total: limit, PerRank: 2, PerRankLayer: 2})
		check(t, updated, newLoads)
		if updated.Cost(newLoads) > m.Cost(newLoads)*(1+1e-9) {
			t.Fatalf("update increased the cost to %g from %g", updated.Cost(newLoads), m.Cost(newLoads))
		}
		if moved := updated.WeightsToLoad(m); moved > limit {
			t.Fatalf("update loads %d weights, limit %d", moved, limit)
		}
	})
}

// TestReplicasAreSpreadOverVMs guards against replicas concentrated on one VM,
// which fail and become overloaded together.
func TestReplicasAreSpreadOverVMs(t *testing.T) {
	s := Shape{Ranks: 16, Experts: 16, Layers: 1, Slots: 2, RanksPerVM: 4}
	expertLoad := make([]float64, s.Experts)
	for e := range expertLoad {
		expertLoad[e] = 1
	}
	expertLoad[0] = 8
	m, err := Plan(s, Loads{expertLoad})
	if err != nil {
		t.Fatal(err)
	}
	perVM := make([]int, s.vmCount())
	total := 0
	for slot, e := range m.Layer(0) {
		if e == 0 {
			perVM[slot/(s.Slots*s.RanksPerVM)]++
			total++
		}
	}
	for vm, n := range perVM {
		if n > s.maxReplicasPerVM(total) {
			t.Errorf("VM %d holds %d of %d replicas", vm, n, total)
		}
	}
}

// TestInvalidInput guards against a panic or an incomplete map instead of an error if
// the shape has too few slots or the loads do not match it.
func TestInvalidInput(t *testing.T) {
	var shape *ShapeError
	if _, err := Plan(Shape{Ranks: 2, Experts: 5, Layers: 1, Slots: 2, RanksPerVM: 1}, nil); !errors.As(err, &shape) {
		t.Errorf("too few slots: %v", err)
	}
	var loads *LoadsError
	if _, err := Plan(Shape{Ranks: 2, Experts: 2, Layers: 1, Slots: 1, RanksPerVM: 1}, nil); !errors.As(err, &loads) {
		t.Errorf("no loads: %v", err)
	}
}

package bench

import (
	"context"
	"math"
	"math/rand/v2"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mulberryfork/mulberryfork/decide/placement"
)

func init() {
	register(Experiment{
		Name:     "placement",
		Question: "How close to the lower bound are expert placements, and how long does planning take?",
		Run:      runPlacement,
	})
}

// placementLoadDeviation is the standard deviation of the logarithm of expert
// loads. The most popular of 128 experts gets about twelve times the median load.
const placementLoadDeviation = 1.0

// smallInstanceCount is the number of instances compared with the optimum.
const smallInstanceCount = 20

// fullShape is a group of the size expected within two years. Its two slots per
// rank and layer give each expert four replicas on average.
var fullShape = placement.Shape{Ranks: 256, Experts: 128, Layers: 60, Slots: 2, RanksPerVM: 8}

func runPlacement(_ context.Context, p Params) (Result, error) {
	rng := rand.New(rand.NewPCG(p.Seed, 1))
	loads := drawLoads(rng, fullShape, placementLoadDeviation)
	start := time.Now()
	var plan placement.Map
	planTime, err := threadCPUTime(func() (err error) {
		plan, err = placement.Plan(fullShape, loads)
		return err
	})
	if err != nil {
		return Result{}, err
	}
	elapsed := time.Since(start)
	greedy, err := placement.PlanLargestFirst(fullShape, loads)
	if err != nil {
		return Result{}, err
	}
	bound := placement.LowerBound(fullShape, loads)
	figures := []Figure{
		Bounded("imbalance_ratio_to_bound", plan.Cost(loads)/bound, "", AtMost, 1.05),
		Bounded("plan_ms", milliseconds(planTime), "ms", AtMost, 1000),
		Plain("plan_elapsed_ms", milliseconds(elapsed), "ms"),
		Plain("largest_first_ratio_to_bound", greedy.Cost(loads)/bound, ""),
		Plain("consecutive_ratio_to_bound", consecutiveMap(fullShape).Cost(loads)/bound, ""),
		Plain("max_replicas_on_a_vm_over_even", vmExcess(plan), ""),
	}
	updateFigures, err := measureUpdates(plan, loads, rng)
	if err != nil {
		return Result{}, err
	}
	smallFigures, err := compareWithOptimum(rng)
	return Result{Figures: append(append(figures, updateFigures...), smallFigures...)}, err
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// threadCPUTime runs f and returns the CPU time of its thread, which does not depend
// on the load of other processes.
func threadCPUTime(f func() error) (time.Duration, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, after unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &before); err != nil {
		return 0, err
	}
	if err := f(); err != nil {
		return 0, err
	}
	err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &after)
	return time.Duration(after.Nano() - before.Nano()), err
}

// drawLoads draws log-normal expert loads with median 1. deviation is the standard
// deviation of their logarithm.
func drawLoads(rng *rand.Rand, s placement.Shape, deviation float64) placement.Loads {
	loads := make(placement.Loads, s.Layers)
	for l := range loads {
		loads[l] = make([]float64, s.Experts)
		for e := range loads[l] {
			loads[l][e] = math.Exp(deviation * rng.NormFloat64())
		}
	}
	return loads
}

// consecutiveMap assigns experts to slots in numeric order, regardless of load.
func consecutiveMap(s placement.Shape) placement.Map {
	m := placement.Map{Shape: s, Slots: make([]int16, s.Layers*s.Ranks*s.Slots)}
	for at := range m.Slots {
		m.Slots[at] = int16(at % (s.Ranks * s.Slots) % s.Experts)
	}
	return m
}

// vmExcess returns the largest excess of replicas of one expert on one VM over an
// even distribution of the replicas across VMs.
func vmExcess(m placement.Map) float64 {
	s, worst := m.Shape, 0
	vms := s.Ranks / s.RanksPerVM
	for l := range s.Layers {
		count := make([]int, s.Experts)
		onVM := make([]int, s.Experts*vms)
		for at, e := range m.Layer(l) {
			count[e]++
			onVM[int(e)*vms+at/(s.Slots*s.RanksPerVM)]++
		}
		for i, n := range onVM {
			worst = max(worst, n-(count[i/vms]+vms-1)/vms)
		}
	}
	return float64(worst)
}

// measureUpdates measures incremental updates with unchanged loads and with loads
// changed by about a tenth, and compares the latter with a new plan.
func measureUpdates(plan placement.Map, loads placement.Loads, rng *rand.Rand) ([]Figure, error) {
	const tolerance = 0.05
	start := time.Now()
	unchanged, err := placement.Update(plan, loads, tolerance, placement.NoLimits())
	if err != nil {
		return nil, err
	}
	unchangedTime := time.Since(start)
	changed := make(placement.Loads, len(loads))
	for l := range loads {
		for _, x := range loads[l] {
			changed[l] = append(changed[l], x*math.Exp(0.1*rng.NormFloat64()))
		}
	}
	start = time.Now()
	updated, err := placement.Update(plan, changed, tolerance, placement.NoLimits())
	if err != nil {
		return nil, err
	}
	updateTime := time.Since(start)
	replanned, err := placement.Plan(plan.Shape, changed)
	if err != nil {
		return nil, err
	}
	bound := placement.LowerBound(plan.Shape, changed)
	return []Figure{
		Plain("unchanged_update_ms", milliseconds(unchangedTime), "ms"),
		Plain("unchanged_update_weights", float64(unchanged.WeightsToLoad(plan)), "experts"),
		Plain("moved_present_ratio_to_bound", plan.Cost(changed)/bound, ""),
		Plain("moved_update_ratio_to_bound", updated.Cost(changed)/bound, ""),
		Plain("moved_update_weights", float64(updated.WeightsToLoad(plan)), "experts"),
		Plain("moved_update_ms", milliseconds(updateTime), "ms"),
		Plain("moved_new_plan_weights", float64(replanned.WeightsToLoad(plan)), "experts"),
	}, nil
}

// compareWithOptimum compares plans for small instances with the optimal cost.
func compareWithOptimum(rng *rand.Rand) ([]Figure, error) {
	s := placement.Shape{Ranks: 4, Experts: 5, Layers: 1, Slots: 2, RanksPerVM: 1}
	var worst, sum, greedySum float64
	for range smallInstanceCount {
		loads := drawLoads(rng, s, placementLoadDeviation)
		m, err := placement.Plan(s, loads)
		if err != nil {
			return nil, err
		}
		g, err := placement.PlanLargestFirst(s, loads)
		if err != nil {
			return nil, err
		}
		best := optimalCost(s, loads)
		worst = max(worst, m.Cost(loads)/best)
		sum += m.Cost(loads) / best
		greedySum += g.Cost(loads) / best
	}
	return []Figure{
		Plain("small_ratio_to_optimum_mean", sum/smallInstanceCount, ""),
		Plain("small_ratio_to_optimum_worst", worst, ""),
		Plain("small_largest_first_ratio_to_optimum_mean", greedySum/smallInstanceCount, ""),
	}, nil
}

// optimalCost returns the lowest cost over all assignments of experts to slots.
func optimalCost(s placement.Shape, loads placement.Loads) float64 {
	m := placement.Map{Shape: s, Slots: make([]int16, s.Ranks*s.Slots)}
	best := math.Inf(1)
	var assign func(at int)
	assign = func(at int) {
		if at == len(m.Slots) {
			if hasAllExperts(m) {
				best = min(best, m.Cost(loads))
			}
			return
		}
		// Slots of a rank are interchangeable.
		first := int16(0)
		if at%s.Slots > 0 {
			first = m.Slots[at-1]
		}
		for e := first; int(e) < s.Experts; e++ {
			m.Slots[at] = e
			assign(at + 1)
		}
	}
	assign(0)
	return best
}

func hasAllExperts(m placement.Map) bool {
	var seen uint64
	for _, e := range m.Slots {
		seen |= 1 << e
	}
	return seen == 1<<m.Shape.Experts-1
}

package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

const (
	// maxSearchSlots limits how many slots the local search of one layer examines,
	// so that a plan for 256 ranks and 60 layers takes less than a second.
	maxSearchSlots = 1 << 19
	// planTolerance is the relative distance from the lower bound at which Plan
	// stops improving a layer. Further improvement is not worth the search time.
	planTolerance = 0.02
)

// Plan computes a new map, independent of the current one. It returns a ShapeError or
// a LoadsError if the input is invalid, like all functions that compute maps.
func Plan(s Shape, loads Loads) (Map, error) {
	if err := s.validateLoads(loads); err != nil {
		return Map{}, err
	}
	m := Map{Shape: s, Slots: make([]int16, s.Layers*s.slotsPerLayer())}
	earlierLoad := make([]float64, s.Ranks)
	for l, expertLoad := range loads {
		w := pack(s, expertLoad, m.Layer(l), earlierLoad)
		w.improve(layerLowerBound(s, expertLoad, nil)*(1+planTolerance), s.maxSearchSteps())
		for r, x := range w.rankLoad {
			earlierLoad[r] += x
		}
	}
	return m, nil
}

// PlanLargestFirst computes a new map by packing the replicas in order of
// decreasing load, without a local search. It is the baseline of the placement
// experiment.
func PlanLargestFirst(s Shape, loads Loads) (Map, error) {
	if err := s.validateLoads(loads); err != nil {
		return Map{}, err
	}
	m := Map{Shape: s, Slots: make([]int16, s.Layers*s.slotsPerLayer())}
	earlierLoad := make([]float64, s.Ranks)
	for l, expertLoad := range loads {
		pack(s, expertLoad, m.Layer(l), earlierLoad)
	}
	return m, nil
}

const noLimit = int(^uint(0) >> 1)

// Limits limits the expert weights that one update loads.
type Limits struct {
	// Total is the limit for the whole group, counted in experts of one layer.
	Total int
	// PerRank is the limit for the weights that one rank stages beside its
	// active ones, over all layers.
	PerRank int
	// PerRankLayer is the limit for the weights that one rank stages per layer.
	PerRankLayer int
}

// NoLimits returns limits that allow an update to change the whole map.
func NoLimits() Limits {
	return Limits{Total: noLimit, PerRank: noLimit, PerRankLayer: noLimit}
}

// Update improves the current map, within limits, until the largest rank load of
// each layer is within the relative tolerance of its lower bound, no change lowers
// it, or the limits or search steps are used up. The layers with the largest excess
// are improved first.
func Update(current Map, loads Loads, tolerance float64, limits Limits) (Map, error) {
	return UpdateInRounds(current, loads, []float64{tolerance}, limits)
}

// UpdateInRounds is like Update but improves all layers once per tolerance. With
// decreasing tolerances, tight limits are not used up by a small excess in one
// layer while another layer still has a large excess.
func UpdateInRounds(current Map, loads Loads, tolerances []float64, limits Limits) (Map, error) {
	return UpdateForPaces(current, loads, nil, tolerances, limits)
}

// UpdateForPaces is like UpdateInRounds for a group in which some ranks are slow. paces
// holds the time that each rank takes for a load, relative to a rank that is not slow;
// nil means that none is.
func UpdateForPaces(current Map, loads Loads, paces Paces, tolerances []float64, limits Limits) (Map, error) {
	maps, err := UpdateInStages(current, loads, paces, tolerances, []Limits{limits})
	if err != nil {
		return Map{}, err
	}
	return maps[0], nil
}

// UpdateInStages is like UpdateForPaces for several limits in ascending order. It
// returns one map for each. Each map improves the one before, so that all of them take
// little more time than the last.
func UpdateInStages(current Map, loads Loads, paces Paces, tolerances []float64, stages []Limits) ([]Map, error) {
	s := current.Shape
	if err := s.validateLoads(loads); err != nil {
		return nil, err
	}
	m := Map{Shape: s, Slots: slices.Clone(current.Slots)}
	layers := make([]*layer, s.Layers)
	order := make([]int, s.Layers)
	excess := make([]float64, s.Layers)
	for l, expertLoad := range loads {
		layers[l], order[l] = newLayer(s, expertLoad, m.Layer(l), paces), l
		excess[l] = layers[l].rankLoad[layers[l].mostLoadedRank()] - layerLowerBound(s, expertLoad, paces)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(excess[b], excess[a]) })
	staged := make([]int, s.Ranks)
	used := 0
	maps := make([]Map, len(stages))
	for i, limits := range stages {
		for _, tolerance := range tolerances {
			for _, l := range order {
				target := layerLowerBound(s, loads[l], paces) * (1 + tolerance)
				layers[l].staged, layers[l].limits = staged, limits
				layers[l].limits.Total = limits.Total - used
				used += layers[l].improve(target, s.maxSearchSteps())
			}
		}
		maps[i] = Map{Shape: s, Slots: slices.Clone(m.Slots)}
	}
	return maps, nil
}

// maxSearchSteps returns the number of search steps that examine maxSearchSlots
// slots. A step compares each slot of one rank with all slots, once for swaps
// and once for additional replicas.
func (s Shape) maxSearchSteps() int {
	return max(maxSearchSlots/(2*s.Slots*s.slotsPerLayer()), 1)
}

func layerLowerBound(s Shape, expertLoad []float64, paces Paces) float64 {
	return max(LowerBound(s, Loads{expertLoad}), paces.evenTime(expertLoad))
}

// replicaCounts returns the number of replicas of each expert. Each expert gets
// one, and each further slot goes to the expert with the highest load per
// replica.
func replicaCounts(s Shape, expertLoad []float64) []int {
	h := replicaLoadHeap{expertLoad: expertLoad, replicas: make([]int, len(expertLoad))}
	for e := range expertLoad {
		h.replicas[e] = 1
		h.experts = append(h.experts, e)
	}
	heap.Init(&h)
	for range s.slotsPerLayer() - s.Experts {
		e := h.experts[0]
		if h.replicas[e] >= s.Ranks {
			// Every rank holds e: the remaining slots go to other experts.
			heap.Pop(&h)
			if h.Len() == 0 {
				break
			}
			e = h.experts[0]
		}
		h.replicas[e]++
		heap.Fix(&h, 0)
	}
	return h.replicas
}

type replicaLoadHeap struct {
	expertLoad []float64
	replicas   []int
	experts    []int
}

func (h *replicaLoadHeap) Len() int { return len(h.experts) }
func (h *replicaLoadHeap) Less(i, j int) bool {
	a, b := h.experts[i], h.experts[j]
	x, y := h.expertLoad[a]/float64(h.replicas[a]), h.expertLoad[b]/float64(h.replicas[b])
	return x > y || x == y && a < b
}
func (h *replicaLoadHeap) Swap(i, j int) { h.experts[i], h.experts[j] = h.experts[j], h.experts[i] }
func (h *replicaLoadHeap) Push(x any)    { h.experts = append(h.experts, x.(int)) }
func (h *replicaLoadHeap) Pop() any {
	last := h.experts[len(h.experts)-1]
	h.experts = h.experts[:len(h.experts)-1]
	return last
}

// pack places the replicas of a layer in order of decreasing load, each on the
// least loaded rank that may hold it. Among ranks of equal load, the one with
// the smallest load in earlier layers is chosen.
func pack(s Shape, expertLoad []float64, slots []int16, earlierLoad []float64) *layer {
	replicas := replicaCounts(s, expertLoad)
	order := make([]int, s.Experts)
	for e := range order {
		order[e] = e
	}
	loadPerReplica := func(e int) float64 { return expertLoad[e] / float64(replicas[e]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(loadPerReplica(b), loadPerReplica(a)) })
	for i := range slots {
		slots[i] = emptySlot
	}
	p := packer{shape: s, slots: slots, rankLoad: make([]float64, s.Ranks), usedSlots: make([]int, s.Ranks), earlierLoad: earlierLoad}
	for _, e := range order {
		p.placeReplicas(int16(e), replicas[e], loadPerReplica(e))
	}
	p.fillEmptySlots(expertLoad)
	return newLayer(s, expertLoad, slots, nil)
}

package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

const (
	// searchSlots bounds the slots examined by the local search of one layer,
	// so that a plan of 256 ranks and 60 layers takes less than a second.
	searchSlots = 1 << 19
	// planTolerance is the distance to the bound at which the search of a
	// layer ends. Closer, the search takes longer than the gain is worth.
	planTolerance = 0.02
)

// Plan places all experts anew.
func Plan(s Shape, loads Loads) (Map, error) {
	if err := s.check(loads); err != nil {
		return Map{}, err
	}
	m := Map{Shape: s, Slots: make([]int16, s.Layers*s.width())}
	total := make([]float64, s.Ranks)
	for l, expert := range loads {
		w := pack(s, expert, m.Layer(l), total)
		w.improve(layerBound(s, expert)*(1+planTolerance), s.searchSteps())
		for r, x := range w.load {
			total[r] += x
		}
	}
	return m, nil
}

// PlanLargestFirst places replicas with the largest first and without a local
// search. It is the baseline of the experiment.
func PlanLargestFirst(s Shape, loads Loads) (Map, error) {
	if err := s.check(loads); err != nil {
		return Map{}, err
	}
	m := Map{Shape: s, Slots: make([]int16, s.Layers*s.width())}
	total := make([]float64, s.Ranks)
	for l, expert := range loads {
		pack(s, expert, m.Layer(l), total)
	}
	return m, nil
}

const unlimited = int(^uint(0) >> 1)

// Limits bound the weights that one update loads.
type Limits struct {
	// Weights counts experts of one layer over the whole group.
	Weights int
	// PerRank bounds the weights that one rank stages beside its present ones.
	PerRank int
	// PerRankLayer bounds those of one layer.
	PerRankLayer int
}

// NoLimits lets an update change the whole map.
func NoLimits() Limits {
	return Limits{Weights: unlimited, PerRank: unlimited, PerRankLayer: unlimited}
}

// Update improves the present map until each layer is within tolerance of its
// bound, within limits. The layers with the largest excess come first.
func Update(present Map, loads Loads, tolerance float64, limits Limits) (Map, error) {
	return UpdateEvenly(present, loads, []float64{tolerance}, limits)
}

// UpdateEvenly is Update in rounds of falling tolerances, so that tight limits
// are not used up by the small excess of one layer while another has a large one.
func UpdateEvenly(present Map, loads Loads, tolerances []float64, limits Limits) (Map, error) {
	s := present.Shape
	if err := s.check(loads); err != nil {
		return Map{}, err
	}
	m := Map{Shape: s, Slots: slices.Clone(present.Slots)}
	work := make([]*layer, s.Layers)
	order := make([]int, s.Layers)
	excess := make([]float64, s.Layers)
	for l, expert := range loads {
		work[l], order[l] = newLayer(s, expert, m.Layer(l)), l
		excess[l] = work[l].load[work[l].hottest()] - layerBound(s, expert)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(excess[b], excess[a]) })
	staged := make([]int, s.Ranks)
	for _, tolerance := range tolerances {
		for _, l := range order {
			target := layerBound(s, loads[l]) * (1 + tolerance)
			work[l].staged, work[l].limits = staged, limits
			limits.Weights -= work[l].improve(target, s.searchSteps())
		}
	}
	return m, nil
}

// searchSteps is the number of steps that examine searchSlots slots. A step
// compares each slot of one rank with all slots, once for each kind of change.
func (s Shape) searchSteps() int {
	return max(searchSlots/(2*s.Slots*s.width()), 1)
}

func layerBound(s Shape, expert []float64) float64 {
	return Bound(s, Loads{expert})
}

// replicas gives each expert one replica and every further slot to the expert
// with the highest load per replica.
func replicas(s Shape, expert []float64) []int {
	h := shareHeap{expert: expert, count: make([]int, len(expert))}
	for e := range expert {
		h.count[e] = 1
		h.order = append(h.order, e)
	}
	heap.Init(&h)
	for range s.width() - s.Experts {
		e := h.order[0]
		if h.count[e] >= s.Ranks {
			// Every rank has it: the remaining slots go to the others.
			heap.Pop(&h)
			if h.Len() == 0 {
				break
			}
			e = h.order[0]
		}
		h.count[e]++
		heap.Fix(&h, 0)
	}
	return h.count
}

type shareHeap struct {
	expert []float64
	count  []int
	order  []int
}

func (h *shareHeap) Len() int { return len(h.order) }
func (h *shareHeap) Less(i, j int) bool {
	a, b := h.order[i], h.order[j]
	x, y := h.expert[a]/float64(h.count[a]), h.expert[b]/float64(h.count[b])
	return x > y || x == y && a < b
}
func (h *shareHeap) Swap(i, j int) { h.order[i], h.order[j] = h.order[j], h.order[i] }
func (h *shareHeap) Push(x any)    { h.order = append(h.order, x.(int)) }
func (h *shareHeap) Pop() any {
	last := h.order[len(h.order)-1]
	h.order = h.order[:len(h.order)-1]
	return last
}

// pack puts the replicas with the largest share first, each onto the least
// loaded rank that may take it. Among equals the rank with the smallest load
// in earlier layers comes first.
func pack(s Shape, expert []float64, slots []int16, total []float64) *layer {
	count := replicas(s, expert)
	order := make([]int, s.Experts)
	for e := range order {
		order[e] = e
	}
	share := func(e int) float64 { return expert[e] / float64(count[e]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(share(b), share(a)) })
	for i := range slots {
		slots[i] = vacant
	}
	p := packer{shape: s, slots: slots, load: make([]float64, s.Ranks), used: make([]int, s.Ranks), total: total}
	for _, e := range order {
		p.spread(int16(e), count[e], share(e))
	}
	p.fillVacant(expert)
	return newLayer(s, expert, slots)
}

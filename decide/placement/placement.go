// Package placement assigns the experts of each layer to the ranks of a group.
//
// In each layer, a step takes as long as its slowest rank, so a plan minimizes the
// sum over all layers of the largest rank load. The experts with the highest load
// per replica get additional replicas, the replicas are packed in order of
// decreasing load, and a local search then lowers the largest rank load of each
// layer. The replicas of an expert share its load evenly. An incremental update
// runs only the local search, on the current map, and limits the weights loaded.
package placement

import "fmt"

// Shape holds the dimensions of a group.
type Shape struct {
	Ranks, Experts, Layers int
	// Slots is the number of experts per layer that fit into a rank's memory.
	Slots int
	// RanksPerVM is the number of consecutive ranks on one VM.
	RanksPerVM int
}

// ShapeError reports a shape with too few slots for its experts, or with a
// dimension that is not positive.
type ShapeError struct{ Shape Shape }

func (e *ShapeError) Error() string {
	return fmt.Sprintf("%d ranks with %d slots cannot hold %d experts",
		e.Shape.Ranks, e.Shape.Slots, e.Shape.Experts)
}

// LoadsError reports loads whose dimensions do not match the shape.
type LoadsError struct{ Layers, Want int }

func (e *LoadsError) Error() string {
	return fmt.Sprintf("loads have %d layers, want %d, or a layer has the wrong number of experts", e.Layers, e.Want)
}

// Validate returns a ShapeError if the slots cannot hold every expert or if a
// dimension is not positive.
func (s Shape) Validate() error {
	if s.Ranks <= 0 || s.Experts <= 0 || s.Layers <= 0 || s.Slots <= 0 || s.RanksPerVM <= 0 ||
		s.Ranks*s.Slots < s.Experts {
		return &ShapeError{Shape: s}
	}
	return nil
}

func (s Shape) slotsPerLayer() int { return s.Ranks * s.Slots }

func (s Shape) vmCount() int { return (s.Ranks + s.RanksPerVM - 1) / s.RanksPerVM }

// maxReplicasPerVM returns how many of an expert's replicas may be on one VM, so
// that they are spread evenly.
func (s Shape) maxReplicasPerVM(replicas int) int {
	return (replicas + s.vmCount() - 1) / s.vmCount()
}

// Loads holds the load of each expert, by layer, in any unit.
type Loads [][]float64

func (s Shape) validateLoads(loads Loads) error {
	if err := s.Validate(); err != nil {
		return err
	}
	mismatch := len(loads) != s.Layers
	for _, l := range loads {
		mismatch = mismatch || len(l) != s.Experts
	}
	if mismatch {
		return &LoadsError{Layers: len(loads), Want: s.Layers}
	}
	return nil
}

// Map assigns an expert to each slot.
type Map struct {
	Shape Shape
	// Slots holds the expert of each slot, ordered by layer and then by rank.
	Slots []int16
}

// Layer returns the slots of a layer, ordered by rank.
func (m Map) Layer(layer int) []int16 {
	w := m.Shape.slotsPerLayer()
	return m.Slots[layer*w : (layer+1)*w]
}

// WeightsToLoad returns the number of expert weights that the ranks have to load to
// switch from another map to m. Reordering the slots of a rank loads none.
func (m Map) WeightsToLoad(from Map) int {
	count := 0
	k := m.Shape.Slots
	for start := 0; start < len(m.Slots); start += k {
		count += newExperts(m.Slots[start:start+k], from.Slots[start:start+k])
	}
	return count
}

func newExperts(after, before []int16) int {
	n := 0
	for i, e := range after {
		found := false
		for _, b := range before {
			found = found || b == e
		}
		for _, other := range after[:i] {
			found = found || other == e
		}
		if !found {
			n++
		}
	}
	return n
}

// Cost returns the largest rank load of each layer, summed over all layers.
func (m Map) Cost(loads Loads) float64 { return m.CostAt(loads, nil) }

// CostAt is like Cost for a group in which some ranks are slow: it returns the largest
// time of a rank in each layer, summed over all layers.
func (m Map) CostAt(loads Loads, paces Paces) float64 {
	total := 0.0
	for l := range m.Shape.Layers {
		w := newLayer(m.Shape, loads[l], m.Layer(l), paces)
		total += w.rankLoad[w.mostLoadedRank()]
	}
	return total
}

// LowerBound returns a lower bound of the cost of any map. For a layer it is the
// mean rank load, or, if larger, the load per replica of the most loaded expert
// with the maximum number of replicas.
func LowerBound(s Shape, loads Loads) float64 {
	total := 0.0
	for _, layer := range loads {
		sum, largest := 0.0, 0.0
		for _, x := range layer {
			sum += x
			largest = max(largest, x)
		}
		maxReplicas := min(s.Ranks, s.slotsPerLayer()-s.Experts+1)
		total += max(sum/float64(s.Ranks), largest/float64(maxReplicas))
	}
	return total
}

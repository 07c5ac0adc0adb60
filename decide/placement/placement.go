// Package placement maps the experts of each layer to the ranks of a group.
//
// The time of a step is the sum over layers of the time of the slowest rank,
// so a plan minimises the sum over layers of the largest rank load. Experts
// with the highest load per replica get more replicas, the replicas are packed
// with the largest first, and a local search lowers the largest rank load of
// each layer. Replicas of one expert share its load evenly. The incremental
// variant runs the local search from the present map under a bound on the
// weights that may be loaded.
package placement

import "fmt"

// Shape is the size of a group.
type Shape struct {
	Ranks, Experts, Layers int
	// Slots is the number of experts of one layer that a rank's memory holds.
	Slots int
	// RanksPerVM is the number of consecutive ranks on one VM.
	RanksPerVM int
}

// ShapeError reports a shape in which not every expert has a slot.
type ShapeError struct{ Shape Shape }

func (e *ShapeError) Error() string {
	return fmt.Sprintf("%d ranks with %d slots cannot hold %d experts",
		e.Shape.Ranks, e.Shape.Slots, e.Shape.Experts)
}

// LoadsError reports loads that do not fit the shape.
type LoadsError struct{ Layers, Want int }

func (e *LoadsError) Error() string {
	return fmt.Sprintf("loads of %d layers, want %d, or a layer of another size", e.Layers, e.Want)
}

// Validate checks that every expert can be placed.
func (s Shape) Validate() error {
	if s.Ranks <= 0 || s.Experts <= 0 || s.Layers <= 0 || s.Slots <= 0 || s.RanksPerVM <= 0 ||
		s.Ranks*s.Slots < s.Experts {
		return &ShapeError{Shape: s}
	}
	return nil
}

func (s Shape) width() int { return s.Ranks * s.Slots }

func (s Shape) vms() int { return (s.Ranks + s.RanksPerVM - 1) / s.RanksPerVM }

// perVM is the number of replicas of one expert that a VM takes at most.
func (s Shape) perVM(replicas int) int {
	return (replicas + s.vms() - 1) / s.vms()
}

// Loads are the loads of each expert, by layer.
type Loads [][]float64

func (s Shape) check(loads Loads) error {
	if err := s.Validate(); err != nil {
		return err
	}
	bad := len(loads) != s.Layers
	for _, l := range loads {
		bad = bad || len(l) != s.Experts
	}
	if bad {
		return &LoadsError{Layers: len(loads), Want: s.Layers}
	}
	return nil
}

// Map assigns an expert to each slot.
type Map struct {
	Shape Shape
	// Slots holds layer after layer, in each rank after rank.
	Slots []int16
}

// Layer returns the slots of a layer, rank after rank.
func (m Map) Layer(layer int) []int16 {
	w := m.Shape.width()
	return m.Slots[layer*w : (layer+1)*w]
}

// Moved counts the slots that hold another expert than in the other map,
// without those that a rank only reorders.
func (m Map) Moved(other Map) int {
	moved := 0
	k := m.Shape.Slots
	for at := 0; at < len(m.Slots); at += k {
		moved += missing(m.Slots[at:at+k], other.Slots[at:at+k])
	}
	return moved
}

func missing(have, before []int16) int {
	n := 0
	for i, e := range have {
		found := false
		for _, b := range before {
			found = found || b == e
		}
		for _, same := range have[:i] {
			found = found || same == e
		}
		if !found {
			n++
		}
	}
	return n
}

// Cost returns the sum over layers of the largest rank load.
func (m Map) Cost(loads Loads) float64 {
	total := 0.0
	for l := range m.Shape.Layers {
		w := newLayer(m.Shape, loads[l], m.Layer(l))
		total += w.load[w.hottest()]
	}
	return total
}

// Bound returns a lower bound of the cost: in each layer the mean load of a
// rank, or the largest load of an expert that has a replica on every rank.
func Bound(s Shape, loads Loads) float64 {
	total := 0.0
	for _, layer := range loads {
		sum, largest := 0.0, 0.0
		for _, x := range layer {
			sum += x
			largest = max(largest, x)
		}
		allowed := min(s.Ranks, s.width()-s.Experts+1)
		total += max(sum/float64(s.Ranks), largest/float64(allowed))
	}
	return total
}

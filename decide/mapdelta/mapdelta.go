// Package mapdelta computes the difference between two expert maps of a group. A
// difference takes a fraction of the bytes of a map, so that a change reaches many
// ranks over a slow link in time.
//
// Maps list the experts by layer and rank. The order of the experts on a rank has no
// meaning; Sort makes it unique, so that all processes give their ranks equal maps.
package mapdelta

import (
	"fmt"
	"slices"

	"github.com/mulberryfork/mulberryfork/api"
)

// MismatchError reports a cell that does not fit the map to which it is applied.
type MismatchError struct{ Layer, Rank int }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("the change in layer %d on rank %d does not fit the map", e.Layer, e.Rank)
}

// Sort returns a copy of a map in which the experts of each rank are in ascending
// order.
func Sort(m [][][]int) [][][]int {
	sorted := make([][][]int, len(m))
	for l, ranks := range m {
		sorted[l] = make([][]int, len(ranks))
		for r, experts := range ranks {
			sorted[l][r] = slices.Sorted(slices.Values(experts))
		}
	}
	return sorted
}

// Diff returns the cells that turn base into next. It returns false if the maps
// differ in their numbers of layers or ranks.
func Diff(base, next [][][]int) ([]api.MapCell, bool) {
	if len(base) != len(next) {
		return nil, false
	}
	var cells []api.MapCell
	for l := range next {
		if len(base[l]) != len(next[l]) {
			return nil, false
		}
		for r := range next[l] {
			removed, added := missingFrom(next[l][r], base[l][r]), missingFrom(base[l][r], next[l][r])
			if len(removed)+len(added) > 0 {
				cells = append(cells, api.MapCell{Layer: l, Rank: r, Removed: removed, Added: added})
			}
		}
	}
	return cells, true
}

// missingFrom returns the experts of list that set does not contain.
func missingFrom(set, list []int) []int {
	var missing []int
	for _, e := range list {
		if !slices.Contains(set, e) {
			missing = append(missing, e)
		}
	}
	return missing
}

// Apply returns the map that results from changing cells of base, in the order of
// Sort. It returns a *MismatchError if a cell does not fit base.
func Apply(base [][][]int, cells []api.MapCell) ([][][]int, error) {
	m := Sort(base)
	for _, c := range cells {
		if c.Layer < 0 || c.Layer >= len(m) || c.Rank < 0 || c.Rank >= len(m[c.Layer]) {
			return nil, &MismatchError{Layer: c.Layer, Rank: c.Rank}
		}
		experts := m[c.Layer][c.Rank]
		for _, e := range c.Removed {
			i := slices.Index(experts, e)
			if i < 0 {
				return nil, &MismatchError{Layer: c.Layer, Rank: c.Rank}
			}
			experts = slices.Delete(experts, i, i+1)
		}
		for _, e := range c.Added {
			if slices.Contains(experts, e) {
				return nil, &MismatchError{Layer: c.Layer, Rank: c.Rank}
			}
			experts = append(experts, e)
		}
		slices.Sort(experts)
		m[c.Layer][c.Rank] = experts
	}
	return m, nil
}

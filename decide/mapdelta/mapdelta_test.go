package mapdelta_test

import (
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/mapdelta"
)

func drawMap(t *rapid.T, label string, layers, ranks int) [][][]int {
	m := make([][][]int, layers)
	for l := range m {
		for range ranks {
			m[l] = append(m[l], rapid.SliceOfNDistinct(rapid.IntRange(0, 20), 1, 5, rapid.ID[int]).Draw(t, label))
		}
	}
	return m
}

// Guards against ranks that get different maps of one version: a map rebuilt from a
// difference must equal the leader's, whatever the order of its lists.
func TestApplyRestoresNextMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers, ranks := rapid.IntRange(1, 4).Draw(t, "layers"), rapid.IntRange(1, 6).Draw(t, "ranks")
		base, next := drawMap(t, "base", layers, ranks), drawMap(t, "next", layers, ranks)
		cells, ok := mapdelta.Diff(base, next)
		if !ok {
			t.Fatal("maps of one shape have no difference")
		}
		got, err := mapdelta.Apply(base, cells)
		if err != nil || !reflect.DeepEqual(got, mapdelta.Sort(next)) {
			t.Fatalf("got %v, error %v, want %v", got, err, mapdelta.Sort(next))
		}
	})
}

// Guards against a difference that is applied to a map other than its base.
func TestApplyRejectsWrongBase(t *testing.T) {
	for _, c := range []struct {
		name string
		cell api.MapCell
	}{
		{"removed expert is not held", api.MapCell{Removed: []int{7}}},
		{"added expert is held", api.MapCell{Added: []int{1}}},
		{"layer out of range", api.MapCell{Layer: 1, Added: []int{7}}},
		{"rank out of range", api.MapCell{Rank: -1, Added: []int{7}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var mismatch *mapdelta.MismatchError
			if m, err := mapdelta.Apply([][][]int{{{0, 1}}}, []api.MapCell{c.cell}); !errors.As(err, &mismatch) {
				t.Errorf("got map %v, error %v", m, err)
			}
		})
	}
}

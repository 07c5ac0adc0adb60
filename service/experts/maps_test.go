package experts

import (
	"reflect"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/expertplan"
	"github.com/mulberryfork/mulberryfork/decide/mapdelta"
	"github.com/mulberryfork/mulberryfork/decide/placement"
)

// Guards against ranks that prepare different maps under one version: a process must
// refuse a change to a map that it does not have, in particular one of another epoch or
// of an abandoned order with the same version.
func TestProcessRebuildsMapOnlyFromItsBase(t *testing.T) {
	shape := placement.Shape{Ranks: 4, Layers: 2, Experts: 8, Slots: 3}
	initial := knownMap{experts: mapdelta.Sort(expertplan.InitialMap(shape))}
	first := knownMap{version: 4, token: 40, fromLeader: true, experts: mapdelta.Sort(initial.experts)}
	first.experts[0][1] = append(first.experts[0][1], 0)
	first.experts = mapdelta.Sort(first.experts)
	second := knownMap{version: 8, token: 80, fromLeader: true, experts: mapdelta.Sort(first.experts)}
	second.experts[1][2] = []int{1, 2, 6}

	var cache mapCache
	resolve := func(from, to knownMap, epoch uint64) ([][][]int, bool) {
		request := newMapDelta(from, to, shape).request(api.RankOrder{Op: api.RankPrepare, Epoch: epoch, MapVersion: to.version, Token: to.token, Map: to.experts})
		if !request.IsDelta {
			t.Fatalf("the order for version %d holds the complete map", to.version)
		}
		o, ok := cache.resolve(request)
		return o.Map, ok
	}
	if m, ok := resolve(initial, first, 1); !ok || !reflect.DeepEqual(m, first.experts) {
		t.Errorf("first change: %v, %t", m, ok)
	}
	if _, ok := resolve(first, second, 2); ok {
		t.Error("a map of another epoch was used as base")
	}
	abandoned := first
	abandoned.token = 41
	if _, ok := resolve(abandoned, second, 1); ok {
		t.Error("the map of another order with the same version was used as base")
	}
	if m, ok := resolve(first, second, 1); !ok || !reflect.DeepEqual(m, second.experts) {
		t.Errorf("second change: %v, %t", m, ok)
	}
	// A new leader reads the map from the ranks and cannot tell which order set it.
	read := knownMap{version: 8, experts: second.experts}
	if request := newMapDelta(read, first, shape).request(api.RankOrder{Map: first.experts}); request.IsDelta {
		t.Error("a map that was read from the ranks was used as base")
	}
}

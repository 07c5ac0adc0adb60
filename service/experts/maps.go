package experts

import (
	"reflect"
	"sync"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/expertplan"
	"github.com/mulberryfork/mulberryfork/decide/mapdelta"
	"github.com/mulberryfork/mulberryfork/decide/placement"
	"github.com/mulberryfork/mulberryfork/wire"
)

const (
	// maxCachedMaps is the number of maps that a process keeps: the one in use, the one
	// that is prepared, and those of abandoned changes.
	maxCachedMaps = 4
	// maxGroupCells bounds the product of layers and experts, and of layers and ranks,
	// in an order of another process, which determine the size of a derived map.
	maxGroupCells = 1 << 20
)

// knownMap is a map of the group with its version.
type knownMap struct {
	version uint64
	// token is the fencing token of the order for this map, if fromLeader is set: the
	// map is then known from this process's own change, not from the ranks.
	token      uint64
	fromLeader bool
	// experts is by layer and rank, in the order of mapdelta.Sort.
	experts [][][]int
}

// mapDelta is a change to a map as other processes receive it.
type mapDelta struct {
	base    knownMap
	shape   placement.Shape
	isDelta bool
	cells   []api.MapCell
	// bytes is the size of the order.
	bytes float64
}

// newMapDelta returns the change from current to next. It holds the complete map if
// other processes may not have the current one.
func newMapDelta(current, next knownMap, shape placement.Shape) mapDelta {
	d := mapDelta{base: current, shape: shape}
	known := current.fromLeader || current.version == 0 && reflect.DeepEqual(current.experts, mapdelta.Sort(expertplan.InitialMap(shape)))
	if known {
		d.cells, d.isDelta = mapdelta.Diff(current.experts, next.experts)
	}
	request := d.request(api.RankOrder{Op: api.RankPrepare, Map: next.experts})
	if data, err := wire.RankEncoding.Marshal(&request); err == nil {
		d.bytes = float64(len(data))
	}
	return d
}

// request returns the request for a prepare order, with the change instead of the
// complete map if possible.
func (d mapDelta) request(o api.RankOrder) wire.RankOrderRequest {
	r := wire.RankOrderRequest{Order: o, Layers: d.shape.Layers, Ranks: d.shape.Ranks, Experts: d.shape.Experts}
	if d.isDelta {
		r.Order.Map = nil
		r.IsDelta, r.BaseVersion, r.BaseToken, r.Cells = true, d.base.version, d.base.token, d.cells
	}
	return r
}

// mapCache keeps the last maps that passed through the process.
type mapCache struct {
	mu   sync.Mutex
	maps []cachedMap
}

type cachedMap struct {
	epoch, version, token uint64
	experts               [][][]int
}

// resolve returns the order of a request with its complete map, and keeps that map. It
// returns false if the base of the map is not known.
func (c *mapCache) resolve(r wire.RankOrderRequest) (api.RankOrder, bool) {
	o := r.Order
	if o.Op != api.RankPrepare {
		return o, true
	}
	if r.IsDelta {
		base, ok := c.base(r)
		if !ok {
			return o, false
		}
		experts, err := mapdelta.Apply(base, r.Cells)
		if err != nil {
			return o, false
		}
		o.Map = experts
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maps = append(c.maps, cachedMap{epoch: o.Epoch, version: o.MapVersion, token: o.Token, experts: o.Map})
	if len(c.maps) > maxCachedMaps {
		c.maps = append(c.maps[:0:0], c.maps[1:]...)
	}
	return o, true
}

func (c *mapCache) base(r wire.RankOrderRequest) ([][][]int, bool) {
	if r.BaseVersion == 0 {
		if r.Layers <= 0 || r.Ranks <= 0 || r.Experts <= 0 || r.Layers > maxGroupCells/r.Ranks || r.Layers > maxGroupCells/r.Experts {
			return nil, false
		}
		return expertplan.InitialMap(placement.Shape{Layers: r.Layers, Ranks: r.Ranks, Experts: r.Experts}), true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.maps {
		if m.epoch == r.Order.Epoch && m.version == r.BaseVersion && m.token == r.BaseToken {
			return m.experts, true
		}
	}
	return nil, false
}

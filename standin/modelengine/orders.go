package modelengine

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"time"
)

// Token is a fencing token. Tokens are ordered field by field.
type Token struct {
	Revision    uint64 `json:"revision"`
	Incarnation uint64 `json:"incarnation"`
	Counter     uint64 `json:"counter"`
}

// Compare orders two tokens.
func (t Token) Compare(o Token) int {
	return cmp.Or(
		cmp.Compare(t.Revision, o.Revision),
		cmp.Compare(t.Incarnation, o.Incarnation),
		cmp.Compare(t.Counter, o.Counter),
	)
}

// Order asks the engine to load or unload a model or adapter, to take a role,
// or to use an expert map from the next step on.
type Order struct {
	Token Token  `json:"token"`
	Kind  string `json:"kind"`
	// Name is the model, adapter or role.
	Name string `json:"name,omitempty"`
	// Version is the version of the model or of the map.
	Version string `json:"version,omitempty"`
	// Map gives the rank of each expert.
	Map []int `json:"map,omitempty"`
}

// Kinds of orders.
const (
	OrderLoadModel     = "load_model"
	OrderUnloadModel   = "unload_model"
	OrderLoadAdapter   = "load_adapter"
	OrderUnloadAdapter = "unload_adapter"
	OrderRole          = "role"
	OrderExpertMap     = "expert_map"
)

// OrderState is what the engine tells of its orders.
type OrderState struct {
	Incarnation uint64 `json:"incarnation"`
	// Token is absent if the engine ignores fencing tokens.
	Token      *Token            `json:"token,omitempty"`
	Models     map[string]string `json:"models"`
	Adapters   map[string]string `json:"adapters"`
	Role       string            `json:"role"`
	MapVersion string            `json:"map_version"`
	Map        []int             `json:"map"`
	Steps      uint64            `json:"steps"`
}

type loaded struct {
	version string
	from    time.Duration
}

type orders struct {
	last             *Order
	models, adapters map[string]loaded
	role             string
	mapVersion       string
	expertMap        []int
	nextMap          *Order
	experts, ranks   int
}

func newOrders(o Options) orders {
	s := orders{
		models: map[string]loaded{}, adapters: map[string]loaded{},
		role: "both", experts: o.Experts, ranks: o.Ranks,
		expertMap: make([]int, o.Experts),
	}
	for _, m := range o.Models {
		s.models[m] = loaded{version: "1"}
	}
	for i := range s.expertMap {
		s.expertMap[i] = i % o.Ranks
	}
	return s
}

// orderResult is what became of an order.
type orderResult int

const (
	orderDone orderResult = iota
	orderInvalid
	orderStale
)

func (s *orders) handle(o Order, checks bool, from time.Duration) orderResult {
	if checks && s.last != nil {
		switch c := o.Token.Compare(s.last.Token); {
		case c < 0 || c == 0 && !reflect.DeepEqual(o, *s.last):
			return orderStale
		case c == 0:
			// A repeated order was carried out already.
			return orderDone
		}
	}
	if !s.apply(o, loaded{version: o.Version, from: from}) {
		return orderInvalid
	}
	s.last = &o
	return orderDone
}

func (s *orders) apply(o Order, l loaded) bool {
	switch o.Kind {
	case OrderLoadModel:
		s.models[o.Name] = l
	case OrderUnloadModel:
		delete(s.models, o.Name)
	case OrderLoadAdapter:
		s.adapters[o.Name] = l
	case OrderUnloadAdapter:
		delete(s.adapters, o.Name)
	case OrderRole:
		s.role = o.Name
	case OrderExpertMap:
		outside := func(rank int) bool { return rank < 0 || rank >= s.ranks }
		if len(o.Map) != s.experts || slices.ContainsFunc(o.Map, outside) {
			return false
		}
		s.nextMap = &o
	default:
		return false
	}
	return true
}

// applyMap puts an ordered map in force between two steps.
func (s *orders) applyMap() {
	if s.nextMap != nil {
		s.expertMap, s.mapVersion = s.nextMap.Map, s.nextMap.Version
		s.nextMap = nil
	}
}

func (s *orders) rankOf(expert int) int { return s.expertMap[expert] }

// serves returns whether a model or adapter is loaded.
func (s *orders) serves(name string, now time.Duration) bool {
	for _, table := range []map[string]loaded{s.models, s.adapters} {
		if l, ok := table[name]; ok && now >= l.from {
			return true
		}
	}
	return false
}

// names lists the models and adapters that are loaded, in order.
func (s *orders) names(now time.Duration) []string {
	all := slices.Collect(maps.Keys(s.models))
	all = slices.AppendSeq(all, maps.Keys(s.adapters))
	all = slices.DeleteFunc(all, func(n string) bool { return !s.serves(n, now) })
	slices.Sort(all)
	return all
}

func (s *orders) state(checks bool) OrderState {
	state := OrderState{
		Models: versions(s.models), Adapters: versions(s.adapters),
		Role: s.role, MapVersion: s.mapVersion, Map: s.expertMap,
	}
	if checks && s.last != nil {
		state.Token = &s.last.Token
	}
	return state
}

func versions(table map[string]loaded) map[string]string {
	found := map[string]string{}
	for name, l := range table {
		found[name] = l.version
	}
	return found
}

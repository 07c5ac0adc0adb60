package modelengine

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"time"
)

// Token is a fencing token. Tokens compare by Revision, Incarnation, Counter, in
// this order.
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

// Order instructs the engine to load or unload a model or adapter, to change its
// role, or to use another expert map from the next step.
type Order struct {
	Token Token  `json:"token"`
	Kind  string `json:"kind"`
	// Name is the model, adapter or role.
	Name string `json:"name,omitempty"`
	// Version is the version of the model or of the map.
	Version string `json:"version,omitempty"`
	// Map holds the rank of each expert.
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

// OrderState is the state that orders have set, as the engine reports it.
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

type loadedModel struct {
	version     string
	availableAt time.Duration
}

// managedState is the state that orders set.
type managedState struct {
	last             *Order
	models, adapters map[string]loadedModel
	role             string
	mapVersion       string
	expertMap        []int
	nextMap          *Order
	experts, ranks   int
}

func newManagedState(o Options) managedState {
	s := managedState{
		models: map[string]loadedModel{}, adapters: map[string]loadedModel{},
		role: "both", experts: o.Experts, ranks: o.Ranks,
		expertMap: make([]int, o.Experts),
	}
	for _, m := range o.Models {
		s.models[m] = loadedModel{version: "1"}
	}
	for i := range s.expertMap {
		s.expertMap[i] = i % o.Ranks
	}
	return s
}

// orderResult is the outcome of an order.
type orderResult int

const (
	orderDone orderResult = iota
	orderInvalid
	orderStale
)

// handle executes an order. With checksFencing, it rejects orders with a lower token
// than the last one, or with the same token but another content.
func (s *managedState) handle(o Order, checksFencing bool, availableAt time.Duration) orderResult {
	if checksFencing && s.last != nil {
		switch c := o.Token.Compare(s.last.Token); {
		case c < 0 || c == 0 && !reflect.DeepEqual(o, *s.last):
			return orderStale
		case c == 0:
			// The order was resent and has already been executed.
			return orderDone
		}
	}
	if !s.apply(o, loadedModel{version: o.Version, availableAt: availableAt}) {
		return orderInvalid
	}
	s.last = &o
	return orderDone
}

// apply returns false if the order is invalid.
func (s *managedState) apply(o Order, l loadedModel) bool {
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
		outOfRange := func(rank int) bool { return rank < 0 || rank >= s.ranks }
		if len(o.Map) != s.experts || slices.ContainsFunc(o.Map, outOfRange) {
			return false
		}
		s.nextMap = &o
	default:
		return false
	}
	return true
}

// applyMap switches to the ordered map, if any. It is called between two steps.
func (s *managedState) applyMap() {
	if s.nextMap != nil {
		s.expertMap, s.mapVersion = s.nextMap.Map, s.nextMap.Version
		s.nextMap = nil
	}
}

func (s *managedState) rankOf(expert int) int { return s.expertMap[expert] }

// isLoaded reports whether a model or adapter is loaded.
func (s *managedState) isLoaded(name string, now time.Duration) bool {
	for _, table := range []map[string]loadedModel{s.models, s.adapters} {
		if l, ok := table[name]; ok && now >= l.availableAt {
			return true
		}
	}
	return false
}

// loadedNames returns the names of the loaded models and adapters, sorted.
func (s *managedState) loadedNames(now time.Duration) []string {
	names := slices.Collect(maps.Keys(s.models))
	names = slices.AppendSeq(names, maps.Keys(s.adapters))
	names = slices.DeleteFunc(names, func(n string) bool { return !s.isLoaded(n, now) })
	slices.Sort(names)
	return names
}

func (s *managedState) state(checksFencing bool) OrderState {
	state := OrderState{
		Models: versions(s.models), Adapters: versions(s.adapters),
		Role: s.role, MapVersion: s.mapVersion, Map: s.expertMap,
	}
	if checksFencing && s.last != nil {
		state.Token = &s.last.Token
	}
	return state
}

func versions(table map[string]loadedModel) map[string]string {
	byName := map[string]string{}
	for name, l := range table {
		byName[name] = l.version
	}
	return byName
}

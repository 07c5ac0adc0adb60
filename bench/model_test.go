package bench

import (
	"reflect"
	"testing"
	"time"
)

// Guards against models that depend on the iteration order of Go maps, on the clock
// or on a shared random number generator.
func TestModelsAreDeterministic(t *testing.T) {
	cases := map[string]func() any{
		"route": func() any {
			p := newRoutePool(3, flashScenario, affinityPolicy)
			p.events.Run(routeWarmUp + 5*time.Second)
			return []any{p.ttft, p.stats()}
		},
		"overload": func() any {
			o := newOverloadPool(3, false, 150, overloadSubmissions)
			o.events.Run(15 * time.Second)
			return []any{o.responses, o.refused, o.attempts}
		},
		"poison": func() any {
			p := newPoisonPool(3, poisonCurrentSize)
			p.events.Run(poisonStart + 40*time.Second)
			return []any{p.delays, p.crashEvents, p.refusals}
		},
	}
	for name, run := range cases {
		if first, second := run(), run(); !reflect.DeepEqual(first, second) {
			t.Errorf("%s: two runs with one seed differ", name)
		}
	}
}

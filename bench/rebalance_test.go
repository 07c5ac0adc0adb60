package bench

import (
	"math/rand/v2"
	"testing"
)

// Guards against figures that depend on the iteration order of Go maps or on the
// clock, and against faults that make ranks use different expert maps in one step.
func TestGroupIsDeterministicAndNeverMixesMaps(t *testing.T) {
	run := func() groupStats {
		load := newSwinging(rand.New(rand.NewPCG(1, 12)), groupShape)
		g, err := runGroup(1, load, policyGreedy, true)
		if err != nil {
			t.Fatal(err)
		}
		return g.stats
	}
	first, second := run(), run()
	if first.steps != second.steps || first.weightsLoaded != second.weightsLoaded || first.stallTime != second.stallTime {
		t.Errorf("two runs with one seed differ: %d and %d steps", first.steps, second.steps)
	}
	if first.mixedSteps != 0 || first.switches == 0 {
		t.Errorf("%d mixed steps in %d switches", first.mixedSteps, first.switches)
	}
}

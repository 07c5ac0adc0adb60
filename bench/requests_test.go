package bench

import (
	"io"
	"reflect"
	"testing"
	"time"
)

// Guards against figures that depend on the iteration order of Go maps or on the
// clock, and against duplicate runs, false not_run reports, lost requests and wrong
// responses.
func TestOnceIsDeterministicAndMeetsItsTargets(t *testing.T) {
	run := func() Result {
		r, err := runOnce(t.Context(), Params{Seed: 1, Progress: io.Discard})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	first := run()
	if second := run(); !reflect.DeepEqual(first, second) {
		t.Errorf("two runs with one seed differ:\n%v\n%v", first, second)
	}
	for _, f := range first.Figures {
		if !f.Met() {
			t.Errorf("%s is %v, target %v", f.Name, f.Value, f.Target)
		}
	}
}

// Guards against a share correction that is too weak for a member whose requests are
// restricted to a few upstreams: without enough correction the member gets less
// than its share of the pool.
func TestCorrectionOutweighsConcentration(t *testing.T) {
	run := func(correct bool) float64 {
		s := fairScenario{members: fairMembers(fairBacklogLoad), shareCorrection: correct, headroom: fairHeadroom, seed: 1, duration: 90 * time.Second, warmup: 30 * time.Second}
		s.members[9].upstreams = []int{6, 7}
		return jainIndex(s.members, newFairPool(s).run())
	}
	uncorrected, corrected := run(false), run(true)
	if uncorrected > 0.98 || corrected < 0.99 {
		t.Errorf("Jain index %.3f uncorrected, %.3f corrected", uncorrected, corrected)
	}
}

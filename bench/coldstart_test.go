package bench

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/coldstart"
)

// The baseline must overload where the decision does not; otherwise the
// modelled engines would be too easy to tell anything.
func TestColdstartBaselineOverloads(t *testing.T) {
	r, err := runColdstart(t.Context(), Params{Seed: 1, Progress: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for _, f := range r.Figures {
		values[f.Name] = f.Value
		if !f.Met() {
			t.Errorf("%s is %g, target %s", f.Name, f.Value, f.Target)
		}
	}
	if values["timed_overload_events"] == 0 || values["fastest_overload_events"] != 0 {
		t.Errorf("figures %v", values)
	}
}

// unlimitedRamp keeps the limit and does not ask whether a start fits.
type unlimitedRamp struct{ testedRamp }

func (unlimitedRamp) canStart(*coldEngine) bool { return true }

// Guards against an experiment that reads the limit alone: it showed no overload
// while every start was let in.
func TestColdstartCountsStartsAboveCapacity(t *testing.T) {
	shape := drawColdShape(rand.New(rand.NewPCG(3, 0)), 49*time.Millisecond)
	overloads := func(renew func() rampRule) (n int) {
		for _, sc := range coldScenarios() {
			e := newColdEngine(shape, 3)
			runColdScenario(e, sc, 2*time.Minute, renew)
			n += e.overloads
		}
		return n
	}
	if n := overloads(func() rampRule { return testedRamp{coldstart.New(shape.params())} }); n != 0 {
		t.Errorf("%d overload events with the decision", n)
	}
	if n := overloads(func() rampRule { return unlimitedRamp{testedRamp{coldstart.New(shape.params())}} }); n == 0 {
		t.Error("no overload event where every start is let in")
	}
}

package bench

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/coldstart"
)

// Guards against modelled engines that cannot be overloaded, with which any ramp
// would pass: the baseline must overload them, the oracle and the tested ramp must
// not.
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

// unlimitedRamp maintains the limit but admits every start.
type unlimitedRamp struct{ testedRamp }

func (unlimitedRamp) canStart(*coldEngine) bool { return true }

// Guards against an experiment that checks the limit that a ramp reports instead of
// the starts that it admits. Such a check found no overload although every start
// was admitted.
func TestColdstartCountsStartsAboveCapacity(t *testing.T) {
	shape := drawColdShape(rand.New(rand.NewPCG(3, 0)), 49*time.Millisecond)
	overloads := func(newRamp func() rampRule) (n int) {
		for _, sc := range coldScenarios() {
			e := newColdEngine(shape, 3)
			runColdScenario(e, sc, 2*time.Minute, newRamp)
			n += e.overloads
		}
		return n
	}
	if n := overloads(func() rampRule { return testedRamp{coldstart.New(shape.params())} }); n != 0 {
		t.Errorf("%d overload events with the tested ramp", n)
	}
	if n := overloads(func() rampRule { return unlimitedRamp{testedRamp{coldstart.New(shape.params())}} }); n == 0 {
		t.Error("no overload events although every start is admitted")
	}
}

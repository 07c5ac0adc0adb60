package bench

import (
	"io"
	"testing"
)

// The baseline must overload where the decision does not; otherwise the
// modelled engines would be too easy to tell anything.
func TestColdstartTellsTheRulesApart(t *testing.T) {
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

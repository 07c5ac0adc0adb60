package placement

import "testing"

// Guards against a group that advances at the speed of its slowest rank although the
// others could take that rank's experts.
func TestSlowRanksGetLessLoad(t *testing.T) {
	s := Shape{Ranks: 12, Experts: 96, Layers: 3, Slots: 11, RanksPerVM: 1}
	loads := make(Loads, s.Layers)
	for l := range loads {
		for e := range s.Experts {
			loads[l] = append(loads[l], 1+0.02*float64((e*7+l)%13))
		}
	}
	current, err := Plan(s, loads)
	if err != nil {
		t.Fatal(err)
	}
	paces := Paces{1, 3.65, 1, 1, 1, 3.65, 1, 1, 1, 3.65, 1, 1}
	before := current.CostAt(loads, paces)
	for range 8 {
		if current, err = UpdateForPaces(current, loads, paces, []float64{1, 0.5, 0.2, 0.1}, Limits{Total: 24, PerRank: 2, PerRankLayer: 2}); err != nil {
			t.Fatal(err)
		}
	}
	even := 0.0
	for _, layer := range loads {
		even += paces.evenTime(layer)
	}
	after := current.CostAt(loads, paces)
	t.Logf("%.1f before, %.1f after, %.1f with loads in proportion to speeds", before, after, even)
	if after > 1.5*even || before < 2.5*even {
		t.Errorf("cost %.1f, %.1f before, want at most 1.5 times the even %.1f", after, before, even)
	}
}

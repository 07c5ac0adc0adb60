package expertmap

import "testing"

var both = []int{0, 1}

// Two ranks of one step on different maps send tokens to experts that are not
// there. This explores every interleaving within the bounds.
func TestNoStepMixesMaps(t *testing.T) {
	cases := []struct {
		name string
		b    bounds
	}{
		{"one proposer, closed", bounds{proposals: []MapID{2}, late: 1, steps: 2, settlers: both[:1], rounds: 1}},
		{"one proposer", bounds{proposals: []MapID{2}, late: 1, steps: 2, settlers: both, rounds: 1}},
		{"two proposers", bounds{proposals: []MapID{2, 3}, late: 1, steps: 2, settlers: both, rounds: 1}},
		{"agent dies ordering", bounds{proposals: []MapID{2}, late: 1, agentRestarts: 1, inFlight: true, steps: 2, settlers: both[1:], rounds: 1}},
		{"agent restarts", bounds{proposals: []MapID{2}, late: 1, agentRestarts: 2, steps: 2, settlers: both, rounds: 1}},
		{"agent restarts, fencing", bounds{proposals: []MapID{2}, late: 1, agentRestarts: 2, steps: 2, settlers: both, rounds: 1, fencing: true}},
		{"rank restarts", bounds{proposals: []MapID{2}, late: 1, rankRestarts: 1, stalls: true, steps: 4, settlers: both, rounds: 1}},
		{"two proposers, all faults", bounds{proposals: []MapID{2, 3}, late: 1, agentRestarts: 1, rankRestarts: 1, steps: 4, settlers: both, rounds: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.b.states = checkedStates()
			found := explore(c.b, variant{})
			t.Logf("%d states, complete below depth %d, %d left, %d joins, %d switches",
				len(found.seen), found.depth, len(found.queue), found.formed, found.switched)
			if found.mixed != "" {
				t.Errorf("mixed maps: %s", found.mixed)
			}
		})
	}
}

// A checker that cannot see a planted fault proves nothing.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	cases := []struct {
		name string
		b    bounds
		v    variant
	}{
		{"majority commits", bounds{proposals: []MapID{2}, late: 1, steps: 2, settlers: both, rounds: 1}, variant{majority: true}},
		{"engine does not hold", bounds{proposals: []MapID{2}, late: 1, steps: 2, settlers: both, rounds: 1}, variant{noHold: true}},
		{"restarted agent votes no", bounds{proposals: []MapID{2}, late: 1, agentRestarts: 1, inFlight: true, steps: 2, settlers: both[1:], rounds: 1}, variant{lostIsNo: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.b.states = 1_500_000
			found := explore(c.b, c.v)
			t.Logf("%d states: %s", len(found.seen), found.mixed)
			if found.mixed == "" {
				t.Errorf("no mixed step found in %d states", len(found.seen))
			}
		})
	}
}

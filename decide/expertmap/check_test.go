package expertmap

import "testing"

var bothProposers = []int{0, 1}

// TestNoStepMixesMaps guards against a step in which two ranks use different
// maps: tokens are then sent to ranks that do not hold the expert. It explores
// all interleavings within the bounds, breadth first.
func TestNoStepMixesMaps(t *testing.T) {
	cases := []struct {
		name string
		b    bounds
	}{
		{"one proposer, exhaustive", bounds{proposedMaps: []MapID{2}, maxLateOrders: 1, maxStep: 2, timerProposers: bothProposers[:1], maxTimerRounds: 1}},
		{"one proposer", bounds{proposedMaps: []MapID{2}, maxLateOrders: 1, maxStep: 2, timerProposers: bothProposers, maxTimerRounds: 1}},
		{"two proposers", bounds{proposedMaps: []MapID{2, 3}, maxLateOrders: 1, maxStep: 2, timerProposers: bothProposers, maxTimerRounds: 1}},
		{"agent restarts with order in flight", bounds{proposedMaps: []MapID{2}, maxLateOrders: 1, maxAgentRestarts: 1, restartOnlyInFlight: true, maxStep: 2, timerProposers: bothProposers[1:], maxTimerRounds: 1}},
		{"agent restarts", bounds{proposedMaps: []MapID{2}, maxLateOrders: 1, maxAgentRestarts: 2, maxStep: 2, timerProposers: bothProposers, maxTimerRounds: 1}},
		{"agent restarts, fencing", bounds{proposedMaps: []MapID{2}, maxLateOrders: 1, maxAgentRestarts: 2, maxStep: 2, timerProposers: bothProposers, maxTimerRounds: 1, fencing: true}},
		{"rank restarts", bounds{proposedMaps: []MapID{2}, maxLateOrders: 1, maxRankRestarts: 1, stallTimers: true, maxStep: 4, timerProposers: bothProposers, maxTimerRounds: 1}},
		{"two proposers, all faults", bounds{proposedMaps: []MapID{2, 3}, maxLateOrders: 1, maxAgentRestarts: 1, maxRankRestarts: 1, maxStep: 4, timerProposers: bothProposers, maxTimerRounds: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.b.maxStates = stateLimit()
			result := explore(c.b, mutant{})
			t.Logf("%d states, complete below depth %d, %d queued, %d joins, %d switches",
				len(result.visited), result.depth, len(result.queue), result.sessionJoins, result.mapSwitches)
			if result.violation != "" {
				t.Errorf("mixed maps: %s", result.violation)
			}
		})
	}
}

// TestCheckerDetectsMutants guards against a checker that misses violations: it
// must find a mixed step in each faulty variant of the protocol.
func TestCheckerDetectsMutants(t *testing.T) {
	cases := []struct {
		name   string
		b      bounds
		mutant mutant
	}{
		{"majority commits", bounds{proposedMaps: []MapID{2}, maxLateOrders: 1, maxStep: 2, timerProposers: bothProposers, maxTimerRounds: 1}, mutant{majorityCommits: true}},
		{"engine never blocks", bounds{proposedMaps: []MapID{2}, maxLateOrders: 1, maxStep: 2, timerProposers: bothProposers, maxTimerRounds: 1}, mutant{neverBlocks: true}},
		{"restarted agent votes no", bounds{proposedMaps: []MapID{2}, maxLateOrders: 1, maxAgentRestarts: 1, restartOnlyInFlight: true, maxStep: 2, timerProposers: bothProposers[1:], maxTimerRounds: 1}, mutant{unknownIsNo: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.b.maxStates = 1_500_000
			result := explore(c.b, c.mutant)
			t.Logf("%d states: %s", len(result.visited), result.violation)
			if result.violation == "" {
				t.Errorf("no mixed step found in %d states", len(result.visited))
			}
		})
	}
}

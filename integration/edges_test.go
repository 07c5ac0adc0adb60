package integration_test

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/edgepool"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
)

// Guards against edges that break their guarantees on a platform with a store while
// processes, links, the store and upstreams fail, two at a time, and while clients that
// nobody controls connect. The test checks only the guarantees that do not depend on the
// speed of the machine.
func TestEdgeGuaranteesUnderFaults(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), runTimeout)
	t.Cleanup(cancel)
	t.Logf("seed %d", seed)
	p, err := edgepool.Start(ctx, edgepool.Options{Binary: edgeBinary, Dir: t.TempDir(), Seed: seed})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	random := rand.New(rand.NewPCG(seed, 0))
	load := p.StartLoad(callers, seed)
	defer load.Stop()
	for _, kinds := range [][]string{
		{"garble", "move_route"}, {"roll_edges"}, {"kill_edge", "revoke"}, {"silence", "store_forgets"},
		{"upstream_crash", "store_down"}, {"address_reuse", "reset"}, {"kill_all_edges", "leaving"}, {"zone_out", "pause"}, {"crowd", "delay"},
	} {
		steps, err := schedule.Draw(p, edgepool.Kinds, random, kinds...)
		if err != nil {
			t.Fatal(err)
		}
		for _, step := range steps {
			t.Logf("%8.3fs %s", p.Now().Seconds(), step.Name)
		}
		await := func(ctx context.Context) error { return load.Await(ctx, requestsPerStep) }
		if err := schedule.Apply(ctx, p, steps, await); err != nil {
			t.Fatal(err)
		}
	}
	load.Stop()
	checkGuarantees(t, p.Record(), proof.TimingIndependentEdgeCheckers())
}

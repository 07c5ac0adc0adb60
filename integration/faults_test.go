package integration_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/pool"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
)

const (
	seed    = 1
	callers = 12
	// runTimeout is far longer than any run takes; a run that reaches it hangs.
	runTimeout = 3 * time.Minute
	// requestsPerStep is the number of requests to await during each step.
	requestsPerStep = 60
)

func startPool(t *testing.T, deployment string) (context.Context, *pool.Pool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), runTimeout)
	t.Cleanup(cancel)
	t.Logf("deployment %s, seed %d", deployment, seed)
	p, err := pool.Start(ctx, pool.Options{
		Binary: binary, Dir: t.TempDir(), Deployment: deployment, ModelsPerZone: 1, Seed: seed,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return ctx, p
}

// checkAllGuarantees fails the test for each violation of any guarantee.
func checkAllGuarantees(t *testing.T, r proof.Record) {
	t.Helper()
	checkGuarantees(t, r, proof.Checkers())
}

// checkGuarantees fails the test for each violation that a checker finds.
func checkGuarantees(t *testing.T, r proof.Record, checkers []proof.Checker) {
	t.Helper()
	complete := 0
	for _, a := range r.Attempts {
		if a.Complete {
			complete++
		}
	}
	t.Logf("%d attempts, %d complete responses, %d executions, %d faults", len(r.Attempts), complete, len(r.Runs), len(r.Faults))
	if complete == 0 {
		t.Error("no attempt got a complete response, so the checks prove nothing")
	}
	for _, c := range checkers {
		for _, violation := range c.Check(r) {
			t.Errorf("%s (%s): %s", c.Name, c.Guarantee, violation)
		}
	}
}

// faultPlan lists fault steps that run one after another on one pool. The fault
// kinds of a step are active at the same time.
type faultPlan struct {
	deployment string
	steps      [][]string
}

// awaitEffect returns a function that waits, under traffic, until the faults of a
// step have taken effect: routers must have dropped the links that are cut, and the
// time limits for excluding a zone or a leaving upstream must have passed.
func awaitEffect(p *pool.Pool, l *pool.Load, kinds []string) func(context.Context) error {
	return func(ctx context.Context) error {
		start := p.Now()
		for _, kind := range kinds {
			var err error
			switch kind {
			case "cut_one_way", "partition":
				err = p.AwaitLinkLost(ctx)
			case "zone_out", "leaving":
				err = p.AwaitTime(ctx, start+max(proof.ZoneLimit, proof.LeavingLimit))
			}
			if err != nil {
				return err
			}
		}
		return l.Await(ctx, requestsPerStep)
	}
}

func (f faultPlan) run(t *testing.T) {
	t.Parallel()
	ctx, p := startPool(t, f.deployment)
	random := rand.New(rand.NewPCG(seed, 0))
	load := p.StartLoad(callers, seed)
	defer load.Stop()
	for _, kinds := range f.steps {
		drawn, err := schedule.Draw(p, pool.Kinds, random, kinds...)
		if err != nil {
			t.Fatal(err)
		}
		for _, step := range drawn {
			t.Logf("%8.3fs %s", p.Now().Seconds(), step.Name)
		}
		if err := schedule.Apply(ctx, p, drawn, awaitEffect(p, load, kinds)); err != nil {
			t.Fatal(err)
		}
	}
	load.Stop()
	checkAllGuarantees(t, p.Record())
}

// Guards against violations of any guarantee in either deployment while processes
// and links fail, and against callers that lose a response because of planned
// operations.
func TestGuaranteesUnderFaults(t *testing.T) {
	for _, f := range []faultPlan{
		{"vale-do-sousa", [][]string{
			{"delay", "trickle"}, {"reset", "duplicate"}, {"kill_agent", "loss"},
			{"roll_routers"}, {"zone_out", "roll_agents"}, {"pause"},
		}},
		{"slnecne-bodky", [][]string{
			{"partition", "config_down"}, {"kill_router", "config_stale"}, {"engine_crash", "reset"},
			{"leaving", "roll_agents"}, {"zone_out", "pause"},
		}},
	} {
		t.Run(f.deployment, f.run)
	}
}

// Guards against a process that restarts while its configuration replicas lag and
// applies an older configuration than it had before.
func TestRestartDoesNotRevertConfiguration(t *testing.T) {
	t.Parallel()
	ctx, p := startPool(t, "vale-do-sousa")
	if err := p.Publish(); err != nil {
		t.Fatal(err)
	}
	if err := p.AwaitRevision(ctx, 2); err != nil {
		t.Fatal(err)
	}
	p.Config.SetStale(0, 1)
	p.Config.SetStale(1, 1)
	for _, n := range []*pool.Node{p.Routers[0], p.Agents[0]} {
		if err := n.Kill(); err != nil {
			t.Fatal(err)
		}
		if err := n.Start(ctx); err != nil {
			t.Fatal(err)
		}
		if err := p.AwaitReady(ctx, n); err != nil {
			t.Fatal(err)
		}
	}
	for _, violation := range proof.ConfigApplied(p.Record()) {
		t.Error(violation)
	}
}

package sharecorrect_test

import (
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/sharecorrect"
)

var config = sharecorrect.Config{Gain: 0.5, MaxFactor: 16}

func report(incarnation api.Incarnation, served, waiting map[string]uint64) api.Load {
	return api.Load{Upstream: "u", Incarnation: incarnation, Served: served, Waiting: waiting}
}

// Guards against a correction of members without a backlog: they received little
// service because they requested little, and must not get a higher weight for it.
func TestOnlyBackloggedMembersAreCorrected(t *testing.T) {
	c := sharecorrect.New(config)
	shares := map[string]float64{"a": 1, "b": 1, "idle": 1}
	c.Report(report(1, map[string]uint64{"a": 0, "b": 0, "idle": 0}, nil))
	for i := range uint64(5) {
		c.Report(report(1, map[string]uint64{"a": 400 * i, "b": 100 * i, "idle": i}, map[string]uint64{"a": 9, "b": 9}))
		if i == 0 {
			c.Step(shares)
		}
	}
	c.Step(shares)
	if c.Factor("b") <= c.Factor("a") || c.Factor("idle") != 1 {
		t.Errorf("factors a %.2f, b %.2f, idle %.2f", c.Factor("a"), c.Factor("b"), c.Factor("idle"))
	}
	raised := c.Factor("b")
	c.Report(report(1, map[string]uint64{"a": 1600, "b": 400}, nil))
	c.Step(shares)
	if f := c.Factor("b"); f >= raised || f < 1 {
		t.Errorf("factor %.2f did not decay from %.2f", f, raised)
	}
}

// Guards against service that is counted from the totals of a restarted agent, which
// begin at 0 again.
func TestAgentRestart(t *testing.T) {
	c := sharecorrect.New(config)
	shares := map[string]float64{"a": 1, "b": 1}
	waiting := map[string]uint64{"a": 1, "b": 1}
	c.Report(report(1, map[string]uint64{"a": 1_000_000, "b": 10}, waiting))
	c.Report(report(2, map[string]uint64{"a": 50, "b": 50}, waiting))
	c.Step(shares)
	if c.Factor("a") != 1 || c.Factor("b") != 1 {
		t.Errorf("factors a %.2f, b %.2f, want 1", c.Factor("a"), c.Factor("b"))
	}
}

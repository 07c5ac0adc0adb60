package bench

import (
	"context"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

func init() {
	register(Experiment{
		Name:     "once",
		Question: "Does a non-idempotent request run at most once, and is every reported run state true, while messages are lost and processes fail?",
		Run:      runOnce,
	})
}

// onceStaleLag is a lag of the upstream list above the bound that the rule for
// caller-made keys assumes. A partition of several minutes causes such a lag.
const onceStaleLag = 10 * time.Minute

func runOnce(ctx context.Context, p Params) (Result, error) {
	run := func(scenario onceScenario) *onceSim {
		scenario.seed = p.Seed
		s := newOnceSim(scenario)
		s.run()
		return s
	}
	tested := run(onceScenario{listLag: onceLimits.ListLag})
	baseline := run(onceScenario{listLag: onceLimits.ListLag, baseline: true})
	stale := run(onceScenario{listLag: onceStaleLag})
	unknown, ran := onceRunStates(tested)
	unknownBaseline, _ := onceRunStates(baseline)
	a := tested.audit
	return Result{Figures: []Figure{
		Bounded("duplicate_runs", float64(a.duplicateRuns), "runs", Exactly, 0),
		Plain("duplicate_runs_plain", float64(baseline.audit.duplicateRuns), "runs"),
		Bounded("false_not_run", float64(a.falseNotRun), "claims", Exactly, 0),
		Plain("false_not_run_plain", float64(baseline.audit.falseNotRun), "claims"),
		Bounded("accepted_lost", float64(a.lost), "requests", Exactly, 0),
		Bounded("wrong_or_short_answers", float64(a.wrongResponses), "answers", Exactly, 0),
		Plain("unknown_share", unknown, "1"),
		Plain("unknown_share_plain", unknownBaseline, "1"),
		Plain("requests", onceRequests, "requests"),
		Plain("requests_run", ran, "requests"),
		Plain("whole_answers", float64(a.responses), "answers"),
		Plain("caller_made_keys_accepted", float64(a.callerMade), "keys"),
		Plain("duplicate_runs_list_lag_exceeded", float64(stale.audit.duplicateRuns), "runs"),
	}}, ctx.Err()
}

// onceRunStates returns the share of callers whose request ended with an unknown
// run state, and the number of requests that ran.
func onceRunStates(s *onceSim) (unknown, ran float64) {
	for i, c := range s.callers {
		if c.runState == api.RunUnknown {
			unknown++
		}
		if s.audit.runs[i] > 0 {
			ran++
		}
	}
	return unknown / float64(len(s.callers)), ran
}

package bench

import (
	"context"
	"fmt"
	"time"
)

func init() {
	register(Experiment{
		Name:     "poison",
		Question: "How many upstreams crash because of a request that crashes every upstream that runs it, and what happens to the requests in the same batches?",
		Run:      runPoison,
	})
}

// Trials per case. Crashes are reported for the worst trial.
const (
	poisonTrials      = 8
	poisonLargeTrials = 3
)

// poisonCase is one condition of the experiment.
type poisonCase struct {
	routers, agents, links int
	// baseline disables the detection of suspect requests.
	baseline bool
	// immediate makes the caller of the poison request resend it immediately after a
	// crash. The router neither retries it nor delays the failure.
	immediate bool
	// copies is the number of poison requests that callers send at the same time.
	copies int
	// vmLossRate is the share of crashes after which the VM does not come back.
	vmLossRate float64
	// pushLossRate is the share of pushed suspicions that are lost.
	pushLossRate float64
}

// Pool sizes: the present size of one user, and a larger pool in which a router
// holds links to a subset of the agents.
var (
	poisonCurrentSize = poisonCase{routers: 3, agents: 12, links: 12, copies: 1, vmLossRate: 0.1, pushLossRate: 0.05}
	poisonLargeSize   = poisonCase{routers: 40, agents: 100, links: 16, copies: 1, vmLossRate: 0.1, pushLossRate: 0.05}
)

func (c poisonCase) modified(change func(*poisonCase)) poisonCase {
	change(&c)
	return c
}

// poisonOutcome aggregates the trials of a case. crashed (upstreams) and crashes
// (events) are maxima over the trials. The other counts are sums: refused counts the
// failures sent to callers of innocent requests (which crash no upstream), the rest
// count innocent requests. delays holds the delays of all trials.
type poisonOutcome struct {
	crashed, crashes             int
	refused, blocked, unanswered int
	exposed                      int
	delays                       []float64
}

func runPoisonCase(ctx context.Context, p Params, c poisonCase, trials int) (poisonOutcome, error) {
	var out poisonOutcome
	for trial := range trials {
		if err := ctx.Err(); err != nil {
			return out, err
		}
		pool := newPoisonPool(p.Seed*1000+uint64(trial), c)
		pool.events.Run(poisonEnd)
		out.crashed = max(out.crashed, pool.crashedUpstreams())
		out.crashes = max(out.crashes, pool.crashEvents)
		out.unanswered += pool.unansweredInnocents()
		out.blocked += pool.blockedInnocents()
		out.refused += pool.refusals
		out.exposed += len(pool.delays)
		out.delays = append(out.delays, pool.delays...)
	}
	return out, nil
}

// poisonCases holds the cases in the order of their figures.
var poisonCases = []struct {
	suffix string
	poisonCase
}{
	{"", poisonCurrentSize},
	{"_immediate", poisonCurrentSize.modified(func(c *poisonCase) { c.immediate = true })},
	{"_copies", poisonCurrentSize.modified(func(c *poisonCase) { c.copies = 3 })},
	{"_large", poisonLargeSize},
	{"_large_immediate", poisonLargeSize.modified(func(c *poisonCase) { c.immediate = true })},
	{"_lossy", poisonLargeSize.modified(func(c *poisonCase) { c.immediate, c.pushLossRate = true, 0.5 })},
	{"_baseline", poisonCurrentSize.modified(func(c *poisonCase) { c.baseline, c.vmLossRate = true, 0 })},
}

// poisonTargets bounds the crashed upstreams, by the suffix of the case.
var poisonTargets = map[string]float64{"": 2, "_immediate": 3, "_large": 2, "_large_immediate": 3}

func runPoison(ctx context.Context, p Params) (Result, error) {
	var figures, details []Figure
	harmed := 0
	for _, c := range poisonCases {
		fmt.Fprintf(p.Progress, "poison: case%s\n", c.suffix)
		trials := poisonTrials
		if c.agents == poisonLargeSize.agents {
			trials = poisonLargeTrials
		}
		out, err := runPoisonCase(ctx, p, c.poisonCase, trials)
		if err != nil {
			return Result{}, err
		}
		crashed := Plain("upstreams_crashed"+c.suffix, float64(out.crashed), "upstreams")
		if bound, ok := poisonTargets[c.suffix]; ok {
			crashed.Target = &Target{Relation: AtMost, Value: bound}
		}
		figures = append(figures, crashed)
		details = append(details, poisonDetails(c.suffix, out)...)
		if !c.baseline {
			harmed += out.unanswered + out.blocked
		}
	}
	figures = append(figures, Bounded("innocents_refused", float64(harmed), "requests", Exactly, 0))
	return Result{Figures: append(figures, details...)}, nil
}

func poisonDetails(suffix string, out poisonOutcome) []Figure {
	return []Figure{
		Plain("crash_events"+suffix, float64(out.crashes), "crashes"),
		Plain("innocents_exposed"+suffix, float64(out.exposed), "requests"),
		Plain("innocents_unanswered"+suffix, float64(out.unanswered), "requests"),
		Plain("innocent_resends"+suffix, float64(out.refused), "requests"),
		Plain("innocent_delay_p50_s"+suffix, quantile(out.delays, 0.5), "s"),
		Plain("innocent_delay_p95_s"+suffix, quantile(out.delays, 0.95), "s"),
	}
}

// Times and limits of the model.
const (
	poisonStart      = 20 * time.Second
	poisonTrafficEnd = 90 * time.Second
	// poisonEnd is well after the end of the first period for which a request is
	// blocked.
	poisonEnd = time.Hour
	// poisonRestartTime is the restart time of a crashed engine.
	poisonRestartTime = 10 * time.Second
	// poisonClientDelay is the one-way delay between caller and router.
	poisonClientDelay = 3 * time.Millisecond
	// poisonMaxHopDelay bounds the delay of a message between processes, including
	// the wait for the write of a batch of frames.
	poisonMaxHopDelay    = 6 * time.Millisecond
	poisonDigestInterval = time.Second
	// poisonBusyPeriod is long enough for all suspicions to spread. After it, the
	// model exchanges digests less often to save CPU time.
	poisonBusyPeriod         = 3 * time.Minute
	poisonSlowDigestInterval = 30 * time.Second
	poisonDigestSize         = 64
	poisonResendDelay        = time.Second
	poisonMinRunTime         = time.Second
	poisonRunTimeRange       = 4 * time.Second
	poisonMinCrashTime       = 50 * time.Millisecond
	poisonCrashTimeRange     = 450 * time.Millisecond
	// poisonRatePerAgent is the request rate per agent, in requests per second. It
	// leads to batches of about ten requests.
	poisonRatePerAgent = 3.5
	// poisonIsolatedSpeedup is the speed-up of a request that runs in isolation.
	poisonIsolatedSpeedup = 2
	// poisonMaxAttempts bounds the attempts of a caller, poisonMaxPlacements the
	// placements of a request by the router within one of them.
	poisonMaxAttempts   = 3000
	poisonMaxPlacements = 4
)

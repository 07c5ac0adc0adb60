package bench

import (
	"context"
	"fmt"
	"time"
)

func init() {
	register(Experiment{
		Name: "poison",
		Asks: "How many upstreams does a request crash that crashes each upstream that runs it, and what becomes of the requests beside it?",
		Run:  runPoison,
	})
}

// poisonTrials are the runs of one condition; the worst counts.
const (
	poisonTrials      = 8
	poisonLargeTrials = 3
)

// poisonCase is one condition.
type poisonCase struct {
	routers, agents, links int
	// plain runs without the mechanism.
	plain bool
	// immediate makes the caller resend at the moment of the crash, with
	// neither the router's retry nor its delay of the answer in between.
	immediate bool
	// copies are sent at once to different routers.
	copies int
	// vmLossRate is the part of crashes after which the VM stays away.
	vmLossRate float64
	// pushLossRate is the part of pushed news that is lost.
	pushLossRate float64
}

// Today's size of one user, and a larger pool in which a router holds links
// to some agents only.
var (
	poisonCurrentSize = poisonCase{routers: 3, agents: 12, links: 12, copies: 1, vmLossRate: 0.1, pushLossRate: 0.05}
	poisonLargeSize   = poisonCase{routers: 40, agents: 100, links: 16, copies: 1, vmLossRate: 0.1, pushLossRate: 0.05}
)

func (c poisonCase) modified(change func(*poisonCase)) poisonCase {
	change(&c)
	return c
}

// poisonOutcome is the worst, or the sum, over the trials of a case.
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

// poisonCases are the conditions in the order of the figures, the baseline last.
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
	{"_baseline", poisonCurrentSize.modified(func(c *poisonCase) { c.plain, c.vmLossRate = true, 0 })},
}

// poisonTargets bound the upstreams crashed in some conditions.
var poisonTargets = map[string]float64{"": 2, "_immediate": 3, "_large": 2, "_large_immediate": 3}

func runPoison(ctx context.Context, p Params) (Result, error) {
	var figures, details []Figure
	never := 0
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
		if most, ok := poisonTargets[c.suffix]; ok {
			crashed.Target = &Target{Relation: AtMost, Value: most}
		}
		figures = append(figures, crashed)
		details = append(details, poisonDetails(c.suffix, out)...)
		if !c.plain {
			never += out.unanswered + out.blocked
		}
	}
	figures = append(figures, Bounded("innocents_refused", float64(never), "requests", Exactly, 0))
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

// Times of the model.
const (
	poisonStart      = 20 * time.Second
	poisonTrafficEnd = 90 * time.Second
	// poisonEnd is far beyond the time for which a request is condemned first.
	poisonEnd = time.Hour
	// poisonRestartTime is how long an engine is away after a crash.
	poisonRestartTime = 10 * time.Second
	// poisonClientDelay is the time between a caller and a router.
	poisonClientDelay = 3 * time.Millisecond
	// poisonMaxHopDelay is the longest time for a message between processes,
	// including the wait until a batch of frames is written.
	poisonMaxHopDelay    = 6 * time.Millisecond
	poisonDigestInterval = time.Second
	// After poisonBusy no news are left to spread, and the model exchanges
	// digests less often to save time.
	poisonBusyPeriod         = 3 * time.Minute
	poisonSlowDigestInterval = 30 * time.Second
	poisonDigestSize         = 64
	poisonResendDelay        = time.Second
	poisonMinRunTime         = time.Second
	poisonRunTimeRange       = 4 * time.Second
	poisonMinCrashTime       = 50 * time.Millisecond
	poisonCrashTimeRange     = 450 * time.Millisecond
	// poisonRatePerAgent is the rate of requests for each agent, which makes
	// batches of about ten.
	poisonRatePerAgent = 3.5
	// poisonIsolatedSpeedup is the speed-up of a request that runs alone.
	poisonIsolatedSpeedup = 2
	// poisonMaxResends bounds the resends of a caller.
	poisonMaxResends    = 3000
	poisonMaxPlacements = 4
)

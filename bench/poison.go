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
	// deadPart is the part of crashes after which the VM stays away.
	deadPart float64
	// loss is the part of pushed news that is lost.
	loss float64
}

// Today's size of one user, and a larger pool in which a router holds links
// to some agents only.
var (
	poisonToday = poisonCase{routers: 3, agents: 12, links: 12, copies: 1, deadPart: 0.1, loss: 0.05}
	poisonLarge = poisonCase{routers: 40, agents: 100, links: 16, copies: 1, deadPart: 0.1, loss: 0.05}
)

func (c poisonCase) with(change func(*poisonCase)) poisonCase {
	change(&c)
	return c
}

// poisonOutcome is the worst, or the sum, over the trials of a case.
type poisonOutcome struct {
	crashed, crashes          int
	refused, condemned, stuck int
	exposed                   int
	delay                     []float64
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
		out.stuck += pool.unanswered()
		out.condemned += pool.condemnedInnocents()
		out.refused += pool.refusals
		out.exposed += len(pool.delays)
		out.delay = append(out.delay, pool.delays...)
	}
	return out, nil
}

func runPoison(ctx context.Context, p Params) (Result, error) {
	cases := []poisonCase{
		poisonToday,
		poisonToday.with(func(c *poisonCase) { c.immediate = true }),
		poisonToday.with(func(c *poisonCase) { c.copies = 3 }),
		poisonLarge,
		poisonLarge.with(func(c *poisonCase) { c.immediate = true }),
		poisonLarge.with(func(c *poisonCase) { c.immediate, c.loss = true, 0.5 }),
		poisonToday.with(func(c *poisonCase) { c.plain, c.deadPart = true, 0 }),
	}
	names := []string{"", "_immediate", "_copies", "_large", "_large_immediate", "_lossy", "_baseline"}
	var outcomes []poisonOutcome
	for i, c := range cases {
		fmt.Fprintf(p.Progress, "poison: case%s\n", names[i])
		trials := poisonTrials
		if c.agents == poisonLarge.agents {
			trials = poisonLargeTrials
		}
		out, err := runPoisonCase(ctx, p, c, trials)
		if err != nil {
			return Result{}, err
		}
		outcomes = append(outcomes, out)
	}
	stuck, condemned := 0, 0
	for _, out := range outcomes[:len(outcomes)-1] {
		stuck += out.stuck
		condemned += out.condemned
	}
	figures := []Figure{
		Bounded("upstreams_crashed", float64(outcomes[0].crashed), "upstreams", AtMost, 2),
		Bounded("upstreams_crashed_immediate", float64(outcomes[1].crashed), "upstreams", AtMost, 3),
		Plain("upstreams_crashed_copies", float64(outcomes[2].crashed), "upstreams"),
		Bounded("upstreams_crashed_large", float64(outcomes[3].crashed), "upstreams", AtMost, 2),
		Bounded("upstreams_crashed_large_immediate", float64(outcomes[4].crashed), "upstreams", AtMost, 3),
		Plain("upstreams_crashed_lossy", float64(outcomes[5].crashed), "upstreams"),
		Plain("upstreams_crashed_baseline", float64(outcomes[6].crashed), "upstreams"),
		Bounded("innocents_refused", float64(stuck+condemned), "requests", Exactly, 0),
	}
	for i, out := range outcomes {
		figures = append(figures,
			Plain("crash_events"+names[i], float64(out.crashes), "crashes"),
			Plain("innocents_exposed"+names[i], float64(out.exposed), "requests"),
			Plain("innocents_unanswered"+names[i], float64(out.stuck), "requests"),
			Plain("innocent_resends"+names[i], float64(out.refused), "requests"),
			Plain("innocent_delay_p50_s"+names[i], quantile(out.delay, 0.5), "s"),
			Plain("innocent_delay_p95_s"+names[i], quantile(out.delay, 0.95), "s"),
		)
	}
	return Result{Figures: figures}, nil
}

// Times of the model.
const (
	poisonStart      = 20 * time.Second
	poisonBackground = 90 * time.Second
	// poisonEnd is far beyond the time for which a request is condemned first.
	poisonEnd = time.Hour
	// poisonRestart is how long an engine is away after a crash.
	poisonRestart = 10 * time.Second
	// poisonClient is the time between a caller and a router.
	poisonClient = 3 * time.Millisecond
	// poisonHop is the longest time for a message between processes,
	// including the wait until a batch of frames is written.
	poisonHop    = 6 * time.Millisecond
	poisonDigest = time.Second
	// After poisonBusy no news are left to spread, and the model exchanges
	// digests less often to save time.
	poisonBusy        = 3 * time.Minute
	poisonSlowDigest  = 30 * time.Second
	poisonDigestSize  = 64
	poisonThink       = time.Second
	poisonLeastRun    = time.Second
	poisonRunSpread   = 4 * time.Second
	poisonLeastCrash  = 50 * time.Millisecond
	poisonCrashSpread = 450 * time.Millisecond
	// poisonPerAgent is the rate of requests for each agent, which makes
	// batches of about ten.
	poisonPerAgent = 3.5
	// poisonAlone is the speed-up of a request that runs alone.
	poisonAlone = 2
	// poisonResends bounds the resends of a caller.
	poisonResends = 3000
	poisonPlaces  = 4
)

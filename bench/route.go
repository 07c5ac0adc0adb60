package bench

import (
	"context"
	"fmt"

	"github.com/mulberryfork/mulberryfork/decide/route"
)

func init() {
	register(Experiment{
		Name:     "route",
		Question: "Does routing by prefix affinity and estimated work beat routing by load alone in cache hits and time to first token, and which rule is better after a gap in the cache events?",
		Run:      runRoute,
	})
}

// routePolicy is a routing policy under comparison.
type routePolicy struct {
	name    string
	options route.Options
	// ignorePrefix omits the prompt prefix from the query.
	ignorePrefix bool
	// ignoreReports drops load reports, so that a router counts only the requests
	// that it sent itself.
	ignoreReports bool
	roundRobin    bool
}

// routeScenario is one condition under which policies are compared.
type routeScenario struct {
	rate float64
	// gapRate is the share of load reports that lose their cache events.
	gapRate float64
	// hotShare is the share of questions about one new document after traceFlashAt.
	hotShare float64
	// slowEngines is the number of engines whose steps take twice as long.
	slowEngines int
}

var (
	steadyScenario  = routeScenario{rate: 70, gapRate: 0.05}
	rareGapScenario = routeScenario{rate: 70, gapRate: 0.005}
	flashScenario   = routeScenario{rate: 110, gapRate: 0.05, hotShare: 0.8}
	slowScenario    = routeScenario{rate: 70, gapRate: 0.05, slowEngines: 2}
)

var (
	affinityPolicy = routePolicy{name: "affinity"}
	gapDropPolicy  = routePolicy{name: "gap_drop", options: route.Options{Gap: route.GapDrop}}
	noSpreadPolicy = routePolicy{name: "no_spread", options: route.Options{SpreadFraction: -1}}
	p2cPolicy      = routePolicy{name: "p2c", ignorePrefix: true, ignoreReports: true, options: route.Options{Sample: 2, RecentWeight: -1, ZonePenaltyTokens: -1}}
	p2cLoadPolicy  = routePolicy{name: "p2c_reports", ignorePrefix: true, options: route.Options{Sample: 2, RecentWeight: -1, ZonePenaltyTokens: -1}}
	leastPolicy    = routePolicy{name: "least_loaded", ignorePrefix: true, options: route.Options{Sample: -1, RecentWeight: -1, ZonePenaltyTokens: -1}}
	roundRobin     = routePolicy{name: "round_robin", roundRobin: true}
)

// steadyPolicies are compared on the same prompt trace in steadyScenario.
var steadyPolicies = []routePolicy{
	affinityPolicy, roundRobin, p2cPolicy, p2cLoadPolicy, leastPolicy, gapDropPolicy,
}

func runRoute(ctx context.Context, p Params) (Result, error) {
	stats := make(map[string]routeStats)
	for _, policy := range steadyPolicies {
		if err := ctx.Err(); err != nil {
			return Result{}, err
		}
		fmt.Fprintf(p.Progress, "route: %s\n", policy.name)
		stats[policy.name] = runRoutePolicy(p.Seed, steadyScenario, policy)
	}
	affinity := stats[affinityPolicy.name]
	// The baseline is the better of two variants of power of two choices.
	p2c := min(stats[p2cPolicy.name].p95, stats[p2cLoadPolicy.name].p95)
	figures := []Figure{
		Plain("hit_rate", affinity.hitRate, "ratio"),
		Plain("hit_rate_round_robin", stats[roundRobin.name].hitRate, "ratio"),
		Bounded("ttft_p95_ratio_to_p2c", affinity.p95/p2c, "ratio", AtMost, 1),
		Plain("ttft_p95_ratio_to_round_robin", affinity.p95/stats[roundRobin.name].p95, "ratio"),
	}
	for _, policy := range steadyPolicies {
		s := stats[policy.name]
		if policy.name != affinityPolicy.name && policy.name != roundRobin.name {
			figures = append(figures, Plain("hit_rate_"+policy.name, s.hitRate, "ratio"))
		}
		figures = append(figures,
			Plain("ttft_p50_ms_"+policy.name, s.p50, "ms"),
			Plain("ttft_p95_ms_"+policy.name, s.p95, "ms"),
		)
	}
	figures = append(figures, Plain("gaps", float64(affinity.gaps), "events"))
	return Result{Figures: append(figures, routeVariants(p)...)}, nil
}

// routeVariants measures individual mechanisms in the scenarios for which they were
// designed.
func routeVariants(p Params) []Figure {
	rare := runRoutePolicy(p.Seed, rareGapScenario, affinityPolicy)
	rareGapDrop := runRoutePolicy(p.Seed, rareGapScenario, gapDropPolicy)
	flash := runRoutePolicy(p.Seed, flashScenario, affinityPolicy)
	flashNoSpread := runRoutePolicy(p.Seed, flashScenario, noSpreadPolicy)
	slow := runRoutePolicy(p.Seed, slowScenario, affinityPolicy)
	slowP2C := runRoutePolicy(p.Seed, slowScenario, p2cLoadPolicy)
	return []Figure{
		Plain("rare_gap_hit_rate", rare.hitRate, "ratio"),
		Plain("rare_gap_hit_rate_gap_drop", rareGapDrop.hitRate, "ratio"),
		Plain("rare_gap_ttft_p95_ms", rare.p95, "ms"),
		Plain("rare_gap_ttft_p95_ms_gap_drop", rareGapDrop.p95, "ms"),
		Plain("flash_ttft_p95_ms", flash.flashP95, "ms"),
		Plain("flash_ttft_p95_ms_no_spread", flashNoSpread.flashP95, "ms"),
		Plain("slow_ttft_p95_ms", slow.p95, "ms"),
		Plain("slow_ttft_p95_ms_p2c_reports", slowP2C.p95, "ms"),
	}
}

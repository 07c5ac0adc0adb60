package bench

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/expertmap"
	"github.com/mulberryfork/mulberryfork/decide/placement"
	"github.com/mulberryfork/mulberryfork/decide/rebalance"
)

func init() {
	register(Experiment{
		Name:     "rebalance",
		Question: "What do changes of the expert map gain and cost, and does any step use different maps on its ranks?",
		Run:      runRebalance,
	})
}

const (
	rebalanceLength = 10 * time.Minute
	measureInterval = 5 * time.Second
	// measureLag is the time from the middle of a measurement period to the arrival
	// of the measurement.
	measureLag   = 4 * time.Second
	measureNoise = 0.05
)

func rebalanceConfig(p policy) rebalance.Config {
	cfg := rebalance.Config{
		Shape: groupShape, ExpertMB: groupExpertMB, Tolerance: 0.01, MinGain: 0.002, MinSavingRatio: 2,
		Limits:       placement.Limits{Total: 110, PerRank: 12, PerRankLayer: 12},
		LoadSlowdown: loadSlowdown, SwitchCost: baseStep + expertStep,
		MaxGainLifetime: 5 * time.Minute, LevelSmoothing: 0.5, TrendSmoothing: 0.1, ForecastIntervals: 1.5,
	}
	if p == policyNewestOnly {
		cfg.LevelSmoothing, cfg.TrendSmoothing, cfg.ForecastIntervals = 1, 0, 0
	}
	return cfg
}

// policy selects how a controller changes the map of a group.
type policy uint8

const (
	policyStatic policy = iota
	// policyWeighCost weighs the forecast gain of a change against its cost.
	policyWeighCost
	// policyReplanAlways computes a new placement after every measurement.
	policyReplanAlways
	// policyGreedy makes every improvement regardless of its cost.
	policyGreedy
	// policyNewestOnly weighs gain against cost by the newest measurement only.
	policyNewestOnly
	policyCount
)

// controller runs on the agent of rank 0 and proposes new maps.
type controller struct {
	group   *expertGroup
	policy  policy
	state   *rebalance.State
	lastMap expertmap.MapID
	rng     *rand.Rand
}

func (c *controller) measure() {
	g := c.group
	now := g.tl.Now()
	loads := addNoise(c.rng, g.load.at(now-measureLag))
	if active := g.engines[0].Active.Map; active != c.lastMap && active != 0 {
		c.lastMap = active
		c.state.RecordSwitch(now, g.maps[active])
	}
	c.state.Observe(now, loads)
	engine := &g.engines[0]
	if c.policy == policyStatic || g.proposers[0].Busy() || !engine.Prepared.Token.IsZero() || engine.Active.Map == 0 {
		return
	}
	if m, ok := c.choose(loads); ok {
		g.maps = append(g.maps, m)
		g.stats.weightsLoaded += m.WeightsToLoad(c.state.Current())
		g.execute(0, g.proposers[0].Propose(now, expertmap.MapID(len(g.maps)-1)))
	}
}

func (c *controller) choose(loads placement.Loads) (placement.Map, bool) {
	current := c.state.Current()
	switch c.policy {
	case policyReplanAlways:
		m, err := placement.Plan(groupShape, loads)
		return m, err == nil
	case policyGreedy:
		m, err := placement.Update(current, loads, 0, placement.NoLimits())
		return m, err == nil && m.WeightsToLoad(current) > 0
	}
	p, ok := c.state.Decide(groupRateMBps)
	return p.Map, ok
}

func addNoise(rng *rand.Rand, loads placement.Loads) placement.Loads {
	for l := range loads {
		for e := range loads[l] {
			loads[l][e] *= math.Exp(measureNoise * rng.NormFloat64())
		}
	}
	return loads
}

// runGroup simulates a group under a policy.
func runGroup(seed uint64, load popularity, p policy, faults bool) (*expertGroup, error) {
	first, err := placement.Plan(groupShape, load.at(0))
	if err != nil {
		return nil, err
	}
	g := newExpertGroup(seed, load, first, faults)
	c := &controller{group: g, policy: p, rng: rand.New(rand.NewPCG(seed, 5)), lastMap: 1}
	c.state = rebalance.New(rebalanceConfig(p), first)
	g.tl.Every(measureInterval, measureInterval, c.measure)
	if faults {
		g.addFaults(c)
	}
	g.tl.Run(rebalanceLength)
	if !g.running {
		g.recordStall()
	}
	return g, nil
}

// agentFaultInterval is the mean time between agent faults in a group.
const agentFaultInterval = 5 * time.Second

// addFaults schedules pauses, partitions and restarts of agents, and the restart of
// one engine.
func (g *expertGroup) addFaults(c *controller) {
	rng := rand.New(rand.NewPCG(uint64(len(g.engines)), g.rng.Uint64()))
	for at := agentFaultInterval; at < rebalanceLength; at += time.Duration(rng.ExpFloat64() * float64(agentFaultInterval)) {
		i, kind := rng.IntN(len(g.engines)), rng.IntN(3)
		duration := time.Duration(rng.Int64N(int64(500 * time.Millisecond)))
		g.tl.At(at, func() {
			switch kind {
			case 0:
				g.pausedUntil[i] = g.tl.Now() + duration
			case 1:
				g.partitionedUntil[i] = g.tl.Now() + duration
			default:
				g.startAgent(i)
			}
		})
	}
	victim := rng.IntN(len(g.engines))
	g.tl.At(rebalanceLength/2, func() {
		g.startEngine(victim)
		g.startAgent(victim)
		g.running, g.crashed = false, true
	})
}

func (g *expertGroup) tokensPerSecond() float64 {
	return float64(g.stats.steps) / rebalanceLength.Seconds()
}

func (g *expertGroup) costPercent() float64 {
	return 100 * (g.stats.loadingTime + g.stats.stallTime).Seconds() / rebalanceLength.Seconds()
}

func runRebalance(_ context.Context, p Params) (Result, error) {
	rng := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(p.Seed, stream)) }
	loads := []struct {
		name string
		load popularity
	}{
		{"drift", newDrift(rng(10), groupShape)},
		{"burst", newBursty(rng(11), groupShape, rebalanceLength)},
		{"swing", newSwinging(rng(12), groupShape)},
	}
	var r Result
	mixed := 0
	for _, l := range loads {
		figures, count, err := comparePolicies(p.Seed, l.name, l.load)
		if err != nil {
			return r, err
		}
		mixed += count
		r.Figures = append(r.Figures, figures...)
	}
	mixedSteps := Bounded("mixed_map_steps", float64(mixed), "steps", Exactly, 0)
	r.Figures = append([]Figure{mixedSteps}, r.Figures...)
	return r, nil
}

// comparePolicies runs all policies on one load. It returns their figures and the
// sum of their mixed steps.
func comparePolicies(seed uint64, name string, load popularity) ([]Figure, int, error) {
	mixed := 0
	runs := make([]*expertGroup, policyCount)
	for p := range runs {
		g, err := runGroup(seed, load, policy(p), true)
		if err != nil {
			return nil, 0, err
		}
		mixed += g.stats.mixedSteps
		runs[p] = g
	}
	static, weighed := runs[policyStatic], runs[policyWeighCost]
	var figures []Figure
	if name == "drift" {
		figures = driftFigures(static, weighed, runs[policyNewestOnly])
	} else {
		figures = []Figure{
			Plain("tokens_per_s_ratio_to_static_"+name, weighed.tokensPerSecond()/static.tokensPerSecond(), ""),
			Plain("rebalance_cost_percent_"+name, weighed.costPercent(), "%"),
			Plain("switches_"+name, float64(weighed.stats.switches), ""),
		}
	}
	for _, b := range []struct {
		label string
		run   *expertGroup
	}{{"every_interval", runs[policyReplanAlways]}, {"greedy", runs[policyGreedy]}} {
		figures = append(figures,
			Plain("tokens_per_s_ratio_to_static_"+name+"_"+b.label, b.run.tokensPerSecond()/static.tokensPerSecond(), ""),
			Plain("rebalance_cost_percent_"+name+"_"+b.label, b.run.costPercent(), "%"),
			Plain("switches_"+name+"_"+b.label, float64(b.run.stats.switches), ""),
		)
	}
	return figures, mixed, nil
}

func driftFigures(static, weighed, newestOnly *expertGroup) []Figure {
	s := &weighed.stats
	return []Figure{
		Bounded("skew_p95", quantile(s.skew, 0.95), "", AtMost, 1.10),
		Plain("skew_p95_last_seen", quantile(newestOnly.stats.skew, 0.95), ""),
		Plain("skew_p95_static", quantile(static.stats.skew, 0.95), ""),
		Bounded("tokens_per_s_ratio_to_static", weighed.tokensPerSecond()/static.tokensPerSecond(), "", AtLeast, 1.3),
		Bounded("rebalance_cost_percent", weighed.costPercent(), "%", AtMost, 1),
		Bounded("stalled_steps_per_switch", float64(s.stalledSteps)/float64(max(s.switches, 1)), "steps", AtMost, 1),
		Plain("longest_standstill_ms", milliseconds(s.longestStall), "ms"),
		Plain("longest_standstill_engine_restart_ms", milliseconds(s.longestCrashStall), "ms"),
		Plain("switches", float64(s.switches), ""),
		Plain("steps", float64(s.steps), "steps"),
		Plain("weights_loaded", float64(s.weightsLoaded), "experts"),
	}
}

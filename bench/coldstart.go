package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/coldstart"
)

const (
	// coldMaxRampTime bounds the run that measures the fastest safe ramp.
	coldMaxRampTime = 20 * time.Minute
	coldIdleTime    = 20 * time.Second
	// coldFaultDelay is the time from the end of the slowest accepted ramp to the
	// fault.
	coldFaultDelay = 20 * time.Second
	// coldDemandFactor is the offered concurrency as a multiple of the engine's
	// maximum. Above 1, a rule that admits too many requests overloads the engine.
	coldDemandFactor = 2
	// coldEngines is the number of modelled engines per user.
	coldEngines = 12
)

func init() {
	register(Experiment{
		Name:     "coldstart",
		Question: "Does the cold start ramp keep an upstream from overload, and does it reach full load nearly as fast as possible?",
		Run:      runColdstart,
	})
}

// rampRule decides how many requests may run on an upstream and receives the events
// of its engine.
type rampRule interface {
	// canStart is called before each start, as an agent does.
	canStart(e *coldEngine) bool
	onStart() coldstart.Ticket
	onEnd(r *coldRequest, completed bool)
	onStep(running int, took time.Duration)
	onFirstToken(r *coldRequest, now time.Duration)
	onIncarnation(id uint64, now time.Duration)
}

// testedRamp is the ramp under test, coldstart.State.
type testedRamp struct{ s *coldstart.State }

func (r testedRamp) canStart(*coldEngine) bool { return r.s.CanStart(0) }
func (r testedRamp) onStart() coldstart.Ticket {
	return r.s.Start(0)
}
func (r testedRamp) onEnd(q *coldRequest, ok bool)            { r.s.End(q.ticket, ok) }
func (r testedRamp) onStep(n int, took time.Duration)         { r.s.ObserveStepTime(n, took) }
func (r testedRamp) onIncarnation(id uint64, _ time.Duration) { r.s.ObserveIncarnation(id) }
func (r testedRamp) onFirstToken(q *coldRequest, now time.Duration) {
	r.s.ObserveFirstToken(q.ticket, q.prompt, now-q.started)
}

// ignoreEvents is embedded by rules that do not use the events of an engine.
type ignoreEvents struct{}

func (ignoreEvents) onStart() coldstart.Ticket                { return coldstart.Ticket{} }
func (ignoreEvents) onEnd(*coldRequest, bool)                 {}
func (ignoreEvents) onStep(int, time.Duration)                {}
func (ignoreEvents) onFirstToken(*coldRequest, time.Duration) {}
func (ignoreEvents) onIncarnation(uint64, time.Duration)      {}

// oracleRamp is the fastest safe ramp. It reads the capacity of the engine, which
// a real agent can't.
type oracleRamp struct{ ignoreEvents }

func (oracleRamp) canStart(e *coldEngine) bool { return len(e.running) < min(e.capacity(), e.max) }

// timedRamp is the baseline. Its limit grows linearly with the time since the
// engine started.
type timedRamp struct {
	ignoreEvents
	duration    time.Duration
	since       time.Duration
	incarnation uint64
}

func (r *timedRamp) canStart(e *coldEngine) bool {
	fraction := min(float64(e.now-r.since)/float64(r.duration), 1)
	return len(e.running) < e.cold+int(fraction*float64(e.max-e.cold))
}

func (r *timedRamp) onIncarnation(id uint64, now time.Duration) {
	if id != r.incarnation {
		r.incarnation, r.since = id, now
	}
}

// coldScenario is an initial idle time and a fault. fault returns the rule to use
// after it.
type coldScenario struct {
	name  string
	idle  time.Duration
	fault func(e *coldEngine, r rampRule, newRamp func() rampRule) rampRule
}

func coldScenarios() []coldScenario {
	abort := func(ended []*coldRequest, r rampRule) {
		for _, q := range ended {
			r.onEnd(q, false)
		}
	}
	return []coldScenario{
		{"busy", 0, func(_ *coldEngine, r rampRule, _ func() rampRule) rampRule { return r }},
		{"idle", coldIdleTime, func(_ *coldEngine, r rampRule, _ func() rampRule) rampRule { return r }},
		{"engine_restart", 0, func(e *coldEngine, r rampRule, _ func() rampRule) rampRule {
			abort(e.restart(), r)
			r.onIncarnation(e.incarnation, e.now)
			return r
		}},
		{"silent_loss", 0, func(e *coldEngine, r rampRule, _ func() rampRule) rampRule {
			e.loseState()
			return r
		}},
		// The engine aborts the requests of a lost agent.
		{"agent_restart", 0, func(e *coldEngine, r rampRule, newRamp func() rampRule) rampRule {
			e.running = nil
			fresh := newRamp()
			fresh.onIncarnation(e.incarnation, e.now)
			return fresh
		}},
	}
}

// runColdScenario runs one engine under one rule until twice faultAt. It returns
// the time at which the engine first ran its maximum number of requests, or twice
// faultAt if it never did.
func runColdScenario(e *coldEngine, sc coldScenario, faultAt time.Duration, newRamp func() rampRule) (fullAt time.Duration) {
	r := newRamp()
	r.onIncarnation(e.incarnation, e.now)
	faulted, fullAt := false, 2*faultAt
	for e.now < 2*faultAt {
		if !faulted && e.now >= faultAt {
			faulted = true
			r = sc.fault(e, r, newRamp)
		}
		for e.now >= sc.idle && len(e.running) < coldDemandFactor*e.max && r.canStart(e) {
			e.start(r.onStart())
		}
		if len(e.running) >= e.max && fullAt == 2*faultAt {
			fullAt = e.now
		}
		if len(e.running) == 0 {
			e.now += time.Millisecond
			continue
		}
		running := len(e.running)
		var done []*coldRequest
		took := e.step(func(q *coldRequest) { r.onFirstToken(q, e.now) },
			func(q *coldRequest) { done = append(done, q) })
		for _, q := range done {
			r.onEnd(q, true)
		}
		r.onStep(running, took)
	}
	return fullAt
}

// coldTally sums the overload events of a rule over all engines and scenarios.
// ratios holds, for each engine, the time to full load relative to the fastest safe
// ramp.
type coldTally struct {
	overloads, hiddenOverloads int
	ratios                     []float64
}

func runColdstart(ctx context.Context, p Params) (Result, error) {
	tallies := map[string]*coldTally{"earned": {}, "timed": {}, "fastest": {}}
	stepBounds := []time.Duration{49 * time.Millisecond, 45 * time.Millisecond}
	for u, bound := range stepBounds {
		rng := rand.New(rand.NewPCG(p.Seed, uint64(u)))
		for range coldEngines {
			if err := ctx.Err(); err != nil {
				return Result{}, err
			}
			measureColdEngine(drawColdShape(rng, bound), rng.Uint64(), tallies)
		}
	}
	return Result{Figures: coldFigures(tallies)}, nil
}

// measureColdEngine runs one engine through all scenarios under each rule.
func measureColdEngine(shape coldShape, seed uint64, tallies map[string]*coldTally) {
	scenarios := coldScenarios()
	fastest := runColdScenario(newColdEngine(shape, seed), scenarios[0], coldMaxRampTime/2, func() rampRule { return oracleRamp{} })
	faultAt := fastest*3/2 + coldIdleTime + coldFaultDelay
	rules := map[string]func() rampRule{
		"fastest": func() rampRule { return oracleRamp{} },
		"earned":  func() rampRule { return testedRamp{coldstart.New(shape.params())} },
		// The baseline takes the longest time that the target of time_to_full_ratio
		// allows on this engine.
		"timed": func() rampRule { return &timedRamp{duration: fastest * 3 / 2} },
	}
	for name, newRamp := range rules {
		for i, sc := range scenarios {
			e := newColdEngine(shape, seed)
			fullAt := runColdScenario(e, sc, faultAt, newRamp)
			t := tallies[name]
			t.overloads += e.overloads
			t.hiddenOverloads += e.hiddenOverloads
			if i == 0 {
				t.ratios = append(t.ratios, float64(fullAt)/float64(fastest))
			}
		}
	}
}

func coldFigures(tallies map[string]*coldTally) []Figure {
	e, t, f := tallies["earned"], tallies["timed"], tallies["fastest"]
	return []Figure{
		Bounded("overload_events", float64(e.overloads), "count", Exactly, 0),
		Bounded("time_to_full_ratio", quantile(e.ratios, 1), "ratio", AtMost, 1.5),
		Plain("time_to_full_ratio_p50", quantile(e.ratios, 0.5), "ratio"),
		Plain("starts_before_first_sign", float64(e.hiddenOverloads), "count"),
		Plain("ramps", float64(len(e.ratios)), "count"),
		Plain("timed_overload_events", float64(t.overloads), "count"),
		Plain("timed_time_to_full_ratio", quantile(t.ratios, 1), "ratio"),
		Plain("timed_time_to_full_ratio_p50", quantile(t.ratios, 0.5), "ratio"),
		Plain("timed_starts_before_first_sign", float64(t.hiddenOverloads), "count"),
		Plain("fastest_overload_events", float64(f.overloads), "count"),
	}
}

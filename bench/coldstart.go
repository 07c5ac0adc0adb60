package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/coldstart"
)

const (
	// coldMaxRampTime bounds the search for the fastest ramp.
	coldMaxRampTime = 20 * time.Minute
	coldIdleTime    = 20 * time.Second
	// coldFaultDelay is the time from the slowest accepted ramp to the fault.
	coldFaultDelay = 20 * time.Second
	// coldDemandFactor is the number of requests that callers have waiting, as a
	// multiple of an engine's ceiling: a rule that lets too many in is seen.
	coldDemandFactor = 2
	// coldEngines is the number of model engines of each user.
	coldEngines = 12
)

func init() {
	register(Experiment{
		Name: "coldstart",
		Asks: "Does a cold upstream get no more than it bears, and its full load nearly as fast as it could?",
		Run:  runColdstart,
	})
}

// rampRule is a rule for the starts at an upstream.
type rampRule interface {
	// canStart is asked before each start, as an agent asks.
	canStart(e *coldEngine) bool
	onStart() coldstart.Ticket
	onEnd(r *coldRequest, completed bool)
	onStep(running int, took time.Duration)
	onFirstToken(r *coldRequest, now time.Duration)
	onIncarnation(id uint64, now time.Duration)
}

// testedRamp is the decision under test.
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

// ignoreEvents holds what the other rules do not look at.
type ignoreEvents struct{}

func (ignoreEvents) onStart() coldstart.Ticket                { return coldstart.Ticket{} }
func (ignoreEvents) onEnd(*coldRequest, bool)                 {}
func (ignoreEvents) onStep(int, time.Duration)                {}
func (ignoreEvents) onFirstToken(*coldRequest, time.Duration) {}
func (ignoreEvents) onIncarnation(uint64, time.Duration)      {}

// oracleRamp is the engine's own fastest safe ramp: it knows what it bears.
type oracleRamp struct{ ignoreEvents }

func (oracleRamp) canStart(e *coldEngine) bool { return len(e.running) < min(e.capacity(), e.max) }

// timedRamp is the baseline: the limit grows with time since the engine started.
type timedRamp struct {
	ignoreEvents
	duration    time.Duration
	since       time.Duration
	incarnation uint64
}

func (r *timedRamp) canStart(e *coldEngine) bool {
	part := min(float64(e.now-r.since)/float64(r.duration), 1)
	return len(e.running) < e.cold+int(part*float64(e.max-e.cold))
}

func (r *timedRamp) onIncarnation(id uint64, now time.Duration) {
	if id != r.incarnation {
		r.incarnation, r.since = id, now
	}
}

// coldScenario is a fault and the demand around it.
type coldScenario struct {
	name  string
	idle  time.Duration
	fault func(e *coldEngine, r rampRule, renew func() rampRule) rampRule
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
		// The engine aborts the requests of an agent that is gone.
		{"agent_restart", 0, func(e *coldEngine, r rampRule, renew func() rampRule) rampRule {
			e.running = nil
			fresh := renew()
			fresh.onIncarnation(e.incarnation, e.now)
			return fresh
		}},
	}
}

// runColdScenario is one engine under one rule for twice the time of the event. It
// returns when the engine first ran its full load.
func runColdScenario(e *coldEngine, sc coldScenario, event time.Duration, renew func() rampRule) (full time.Duration) {
	r := renew()
	r.onIncarnation(e.incarnation, e.now)
	faulted, full := false, 2*event
	for e.now < 2*event {
		if !faulted && e.now >= event {
			faulted = true
			r = sc.fault(e, r, renew)
		}
		for e.now >= sc.idle && len(e.running) < coldDemandFactor*e.max && r.canStart(e) {
			e.start(r.onStart())
		}
		if len(e.running) >= e.max && full == 2*event {
			full = e.now
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
	return full
}

type coldTally struct {
	overloads, hiddenOverloads int
	ratios                     []float64
}

func runColdstart(ctx context.Context, p Params) (Result, error) {
	tallies := map[string]*coldTally{"earned": {}, "timed": {}, "fastest": {}}
	users := []time.Duration{49 * time.Millisecond, 45 * time.Millisecond}
	for u, bound := range users {
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
	best := runColdScenario(newColdEngine(shape, seed), scenarios[0], coldMaxRampTime/2, func() rampRule { return oracleRamp{} })
	event := best*3/2 + coldIdleTime + coldFaultDelay
	rules := map[string]func() rampRule{
		"fastest": func() rampRule { return oracleRamp{} },
		"earned":  func() rampRule { return testedRamp{coldstart.New(shape.params())} },
		// The baseline gets the bound of the target as its duration, measured
		// on this very engine.
		"timed": func() rampRule { return &timedRamp{duration: best * 3 / 2} },
	}
	for name, renew := range rules {
		for i, sc := range scenarios {
			e := newColdEngine(shape, seed)
			full := runColdScenario(e, sc, event, renew)
			t := tallies[name]
			t.overloads += e.overloads
			t.hiddenOverloads += e.hiddenOverloads
			if i == 0 {
				t.ratios = append(t.ratios, float64(full)/float64(best))
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

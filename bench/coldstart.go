package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/coldstart"
)

const (
	// coldLimit bounds the search for the fastest ramp.
	coldLimit = 20 * time.Minute
	coldIdle  = 20 * time.Second
	// coldAfter is the time from the slowest accepted ramp to the fault.
	coldAfter = 20 * time.Second
	// coldDemand is the number of requests that callers have waiting, as a
	// multiple of an engine's ceiling: a rule that lets too many in is seen.
	coldDemand = 2
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

// ramp is a rule for the starts at an upstream.
type ramp interface {
	// mayStart is asked before each start, as an agent asks.
	mayStart(e *coldEngine) bool
	started() coldstart.Ticket
	ended(r *coldRequest, completed bool)
	stepped(running int, took time.Duration)
	firstToken(r *coldRequest, now time.Duration)
	incarnation(id uint64, now time.Duration)
}

// earned is the decision under test.
type earned struct{ s *coldstart.State }

func (r earned) mayStart(*coldEngine) bool { return r.s.CanStart(0) }
func (r earned) started() coldstart.Ticket {
	return r.s.Start(0)
}
func (r earned) ended(q *coldRequest, ok bool)          { r.s.End(q.ticket, ok) }
func (r earned) stepped(n int, took time.Duration)      { r.s.ObserveStepTime(n, took) }
func (r earned) incarnation(id uint64, _ time.Duration) { r.s.ObserveIncarnation(id) }
func (r earned) firstToken(q *coldRequest, now time.Duration) {
	r.s.ObserveFirstToken(q.ticket, q.prompt, now-q.started)
}

// unaware holds what the other rules do not look at.
type unaware struct{}

func (unaware) started() coldstart.Ticket              { return coldstart.Ticket{} }
func (unaware) ended(*coldRequest, bool)               {}
func (unaware) stepped(int, time.Duration)             {}
func (unaware) firstToken(*coldRequest, time.Duration) {}
func (unaware) incarnation(uint64, time.Duration)      {}

// fastest is the engine's own fastest safe ramp: it knows what it bears.
type fastest struct{ unaware }

func (fastest) mayStart(e *coldEngine) bool { return len(e.running) < min(e.bears(), e.max) }

// timed is the baseline: the limit grows with time since the engine started.
type timed struct {
	unaware
	over  time.Duration
	since time.Duration
	id    uint64
}

func (r *timed) mayStart(e *coldEngine) bool {
	part := min(float64(e.now-r.since)/float64(r.over), 1)
	return len(e.running) < e.cold+int(part*float64(e.max-e.cold))
}

func (r *timed) incarnation(id uint64, now time.Duration) {
	if id != r.id {
		r.id, r.since = id, now
	}
}

// coldScenario is a fault and the demand around it.
type coldScenario struct {
	name  string
	idle  time.Duration
	fault func(e *coldEngine, r ramp, renew func() ramp) ramp
}

func coldScenarios() []coldScenario {
	abort := func(ended []*coldRequest, r ramp) {
		for _, q := range ended {
			r.ended(q, false)
		}
	}
	return []coldScenario{
		{"busy", 0, func(_ *coldEngine, r ramp, _ func() ramp) ramp { return r }},
		{"idle", coldIdle, func(_ *coldEngine, r ramp, _ func() ramp) ramp { return r }},
		{"engine_restart", 0, func(e *coldEngine, r ramp, _ func() ramp) ramp {
			abort(e.restart(), r)
			r.incarnation(e.incarnation, e.now)
			return r
		}},
		{"silent_loss", 0, func(e *coldEngine, r ramp, _ func() ramp) ramp {
			e.lose()
			return r
		}},
		// The engine aborts the requests of an agent that is gone.
		{"agent_restart", 0, func(e *coldEngine, r ramp, renew func() ramp) ramp {
			e.running = nil
			fresh := renew()
			fresh.incarnation(e.incarnation, e.now)
			return fresh
		}},
	}
}

// coldRun is one engine under one rule for twice the time of the event. It
// returns when the engine first ran its full load.
func coldRun(e *coldEngine, sc coldScenario, event time.Duration, renew func() ramp) (full time.Duration) {
	r := renew()
	r.incarnation(e.incarnation, e.now)
	faulted, full := false, 2*event
	for e.now < 2*event {
		if !faulted && e.now >= event {
			faulted = true
			r = sc.fault(e, r, renew)
		}
		for e.now >= sc.idle && len(e.running) < coldDemand*e.max && r.mayStart(e) {
			e.start(r.started())
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
		took := e.step(func(q *coldRequest) { r.firstToken(q, e.now) },
			func(q *coldRequest) { done = append(done, q) })
		for _, q := range done {
			r.ended(q, true)
		}
		r.stepped(running, took)
	}
	return full
}

type coldTally struct {
	overloads, blind int
	ratios           []float64
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
			coldMeasure(drawColdShape(rng, bound), rng.Uint64(), tallies)
		}
	}
	return Result{Figures: coldFigures(tallies)}, nil
}

// coldMeasure runs one engine through all scenarios under each rule.
func coldMeasure(shape coldShape, seed uint64, tallies map[string]*coldTally) {
	scenarios := coldScenarios()
	best := coldRun(newColdEngine(shape, seed), scenarios[0], coldLimit/2, func() ramp { return fastest{} })
	event := best*3/2 + coldIdle + coldAfter
	rules := map[string]func() ramp{
		"fastest": func() ramp { return fastest{} },
		"earned":  func() ramp { return earned{coldstart.New(shape.params())} },
		// The baseline gets the bound of the target as its duration, measured
		// on this very engine.
		"timed": func() ramp { return &timed{over: best * 3 / 2} },
	}
	for name, renew := range rules {
		for i, sc := range scenarios {
			e := newColdEngine(shape, seed)
			full := coldRun(e, sc, event, renew)
			t := tallies[name]
			t.overloads += e.overloads
			t.blind += e.blind
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
		Plain("starts_before_first_sign", float64(e.blind), "count"),
		Plain("ramps", float64(len(e.ratios)), "count"),
		Plain("timed_overload_events", float64(t.overloads), "count"),
		Plain("timed_time_to_full_ratio", quantile(t.ratios, 1), "ratio"),
		Plain("timed_time_to_full_ratio_p50", quantile(t.ratios, 0.5), "ratio"),
		Plain("timed_starts_before_first_sign", float64(t.blind), "count"),
		Plain("fastest_overload_events", float64(f.overloads), "count"),
	}
}

package burn_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/burn"
)

const ms = time.Millisecond

// class is a kind of request, with its good and total events for each objective of
// the test.
type class struct {
	summary api.RequestSummary
	want    map[string][2]uint64
}

func gaps(durations ...time.Duration) *api.GapHistogram {
	var g api.GapHistogram
	for _, d := range durations {
		g.Add(d)
	}
	return &g
}

var objectives = map[string]api.Objective{
	"availability": {Kind: api.ObjectiveAvailability, Target: 0.999},
	"answered":     {Kind: api.ObjectiveAnswered, Member: "desk", Target: 0.99},
	"first":        {Kind: api.ObjectiveFirstToken, Target: 0.95, Threshold: api.Duration(340 * ms)},
	"gap":          {Kind: api.ObjectiveTokenGap, Model: "notes", Target: 0.95, Threshold: api.Duration(49 * ms)},
}

var classes = []class{
	{
		api.RequestSummary{Streamed: true, Status: 200, FirstToken: 340 * ms, Gaps: gaps(49*ms, 50*ms, ms)},
		map[string][2]uint64{"availability": {1, 1}, "answered": {1, 1}, "first": {1, 1}, "gap": {2, 3}},
	},
	{
		api.RequestSummary{Streamed: true, Status: 200, FirstToken: 341 * ms},
		map[string][2]uint64{"availability": {1, 1}, "answered": {1, 1}, "first": {0, 1}},
	},
	{
		api.RequestSummary{Streamed: true, Status: 200, FirstToken: ms, Gaps: gaps(ms), Failure: api.NewFailure(api.CodeStreamBroken, api.Ran, "")},
		map[string][2]uint64{"availability": {0, 1}, "answered": {0, 1}, "first": {1, 1}, "gap": {1, 1}},
	},
	{
		api.RequestSummary{Streamed: true, Failure: api.NewFailure(api.CodeQueueFull, api.NotRun, "")},
		map[string][2]uint64{"availability": {0, 1}, "first": {0, 1}},
	},
	{api.RequestSummary{Streamed: true, Failure: api.NewFailure(api.CodeRateLimited, api.NotRun, "")}, nil},
	{api.RequestSummary{Failure: api.NewFailure(api.CodeCanceled, api.RunUnknown, "")}, nil},
	{
		api.RequestSummary{Status: 500},
		map[string][2]uint64{"availability": {0, 1}, "answered": {1, 1}},
	},
	{
		api.RequestSummary{Status: 200, FirstToken: time.Second},
		map[string][2]uint64{"availability": {1, 1}, "answered": {1, 1}},
	},
}

// event is one request as recorded by the reference model.
type event struct {
	at          time.Duration
	good, total uint64
	member      string
	upstream    string
}

// referenceRouter is the reference model of one router: it keeps every event and
// every observed period.
type referenceRouter struct {
	state    *burn.State
	start    time.Duration
	events   map[string][]event
	lost     []event
	observed [][2]time.Duration
	last     time.Duration
}

func newReferenceRouter(now time.Duration) *referenceRouter {
	r := &referenceRouter{state: burn.New(now), start: now, events: make(map[string][]event), last: now}
	r.state.Configure(now, objectives)
	return r
}

// advance adds the time since the last call to the observed time, unless it was
// longer than 30 seconds.
func (r *referenceRouter) advance(now time.Duration) {
	if now-r.last <= 30*time.Second {
		r.observed = append(r.observed, [2]time.Duration{r.last - r.start, now - r.start})
	}
	r.last = now
}

func (r *referenceRouter) record(now time.Duration, c class, member, model, upstream string) {
	r.advance(now)
	e := c.summary
	e.Member, e.Model, e.Upstream, e.Zone = member, model, upstream, "zone-"+upstream
	r.state.Record(now, e)
	for name, want := range c.want {
		o := objectives[name]
		if o.Member != "" && o.Member != member || o.Model != "" && o.Model != model {
			continue
		}
		r.events[name] = append(r.events[name], event{now - r.start, want[0], want[1], member, upstream})
	}
}

// within reports whether a time is in the current bucket of a window or in the
// complete ones before it.
func within(t, now, width, length time.Duration) bool {
	return t/width >= now/width-length/width
}

type window struct {
	good, total, lost  uint64
	observed, expected time.Duration
	bad                map[string]uint64
}

// add adds the router's events and times to a window of one objective.
func (r *referenceRouter) add(w *window, objective string, now, width, length time.Duration) {
	now -= r.start
	w.expected += length + now%width
	for _, e := range r.events[objective] {
		if within(e.at, now, width, length) {
			w.good, w.total = w.good+e.good, w.total+e.total
			w.bad["member "+e.member] += e.total - e.good
			w.bad["upstream "+e.upstream] += e.total - e.good
		}
	}
	for _, e := range r.lost {
		if within(e.at, now, width, length) {
			w.lost += e.total
		}
	}
	oldest := max((now/width-length/width)*width, 0)
	for _, o := range r.observed {
		w.observed += max(o[1]-max(o[0], oldest), 0)
	}
}

// widths holds the bucket width of each window.
var widths = map[string]time.Duration{"5m": time.Minute, "1h": time.Minute, "6h": 10 * time.Minute, "3d": 2 * time.Hour}

// TestWindowsMatchReference guards against events counted twice or in the
// wrong window, against downtime or pauses that count as observed, and against
// wrong sums over several routers.
func TestWindowsMatchReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(rapid.Int64Range(0, int64(100*time.Hour)).Draw(t, "boot"))
		routers := []*referenceRouter{newReferenceRouter(now), newReferenceRouter(now)}
		pick := func(t *rapid.T) *referenceRouter { return rapid.SampledFrom(routers).Draw(t, "router") }
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				upstream := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream")
				member := rapid.SampledFrom([]string{"desk", "crews"}).Draw(t, "member")
				model := rapid.SampledFrom([]string{"notes", "letters"}).Draw(t, "model")
				pick(t).record(now, rapid.SampledFrom(classes).Draw(t, "class"), member, model, upstream)
			},
			"run": func(t *rapid.T) {
				for range rapid.IntRange(1, 400).Draw(t, "steps") {
					now += time.Duration(rapid.SampledFrom([]int{1, 10, 29_999, 30_000}).Draw(t, "step")) * ms
					for _, r := range routers {
						r.advance(now)
						r.state.Advance(now)
					}
				}
			},
			"pause": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(int64(30*time.Second), int64(90*time.Hour)).Draw(t, "pause"))
			},
			"lose": func(t *rapid.T) {
				r := pick(t)
				r.advance(now)
				r.state.RecordLost(now, 2)
				r.lost = append(r.lost, event{at: now - r.start, total: 2})
			},
			"restart": func(t *rapid.T) { routers[rapid.IntRange(0, 1).Draw(t, "router")] = newReferenceRouter(now) },
			"":        func(t *rapid.T) { compare(t, now, routers) },
		})
	})
}

func compare(t *rapid.T, now time.Duration, routers []*referenceRouter) {
	var sources []burn.Source
	for i, r := range routers {
		r.advance(now)
		p := &burn.Published{Objectives: r.state.Publish(now)}
		sources = append(sources, burn.Source{Address: fmt.Sprint(i), Published: p})
	}
	summary := burn.Merge(sources)
	if len(summary.Objectives) != len(objectives) {
		t.Fatalf("%d objectives", len(summary.Objectives))
	}
	for _, o := range summary.Objectives {
		for i, length := range []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour} {
			got := o.Windows[i]
			want := window{bad: make(map[string]uint64)}
			for _, r := range routers {
				r.add(&want, o.Name, now, widths[got.Name], length)
			}
			compareWindow(t, o, got, want)
			if got.Name == "6h" {
				compareBadCounts(t, o, want.bad)
			}
		}
	}
}

func compareWindow(t *rapid.T, o burn.ObjectiveSummary, got burn.WindowSummary, want window) {
	if got.Good != want.good || got.Total != want.total || got.Lost != want.lost {
		t.Fatalf("%s %s: %+v, want %+v", o.Name, got.Name, got, want)
	}
	if coverage := float64(want.observed) / float64(want.expected); math.Abs(coverage-got.Coverage) > 0.001 {
		t.Fatalf("%s %s: coverage %v, want %v", o.Name, got.Name, got.Coverage, coverage)
	}
	if (got.Burn == nil) != (want.total == 0) {
		t.Fatalf("%s %s: burn rate is set without events or missing with %d events", o.Name, got.Name, want.total)
	}
	if got.Burn == nil {
		return
	}
	rate := float64(want.total-want.good) / float64(want.total) / (1 - objectives[o.Name].Target)
	if math.Abs(rate-*got.Burn) > 0.001 {
		t.Fatalf("%s %s: burn %v, want %v", o.Name, got.Name, *got.Burn, rate)
	}
}

func compareBadCounts(t *rapid.T, o burn.ObjectiveSummary, want map[string]uint64) {
	found := make(map[string]uint64)
	for _, b := range o.Breakdowns {
		for _, n := range b.Names {
			found[string(b.Dimension)+" "+n.Name] = n.SixHours
		}
	}
	for name, bad := range want {
		if found[name] != bad {
			t.Fatalf("%s: %s has %d bad events, want %d", o.Name, name, found[name], bad)
		}
	}
}

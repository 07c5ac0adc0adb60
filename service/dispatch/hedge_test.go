package dispatch_test

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/hedge"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// plan is what an upstream does with a send.
type plan struct {
	after time.Duration
	fails *api.Failure
}

// pool stands for two upstreams with different plans.
type pool struct {
	router
	refused bool

	mu        sync.Mutex
	plans     map[string]plan
	sent      []string
	cancelled []string
	asked     int
	routed    int
	closed    int
}

func (p *pool) Route(ctx context.Context, q api.RouteQuery) (api.RouteChoice, *api.Failure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(q.Exclude) > 1 {
		return api.RouteChoice{}, api.NewFailure(api.CodeNoUpstream, api.NotRun, "none is left")
	}
	p.routed++
	return p.router.Route(ctx, q)
}

func (p *pool) Done(api.RouteResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed++
}

func (p *pool) SpendRetry(context.Context, string, string) bool { return false }

func (p *pool) SpendHedge(_ context.Context, h api.HedgeCandidate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked++
	return !p.refused && h.Idempotent && h.Waited >= h.Threshold && h.Threshold >= hedge.MinThreshold
}

// Send answers by the plan, even after a cancellation, as a late link does.
func (p *pool) Send(_ context.Context, o api.Order, s api.Sink) (api.Exchange, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, o.Upstream)
	plan := p.plans[o.Upstream]
	go func() {
		time.Sleep(plan.after)
		if plan.fails != nil {
			s.End(api.End{AttemptID: o.AttemptID, Failure: plan.fails})
			return
		}
		_ = s.Head(api.Head{AttemptID: o.AttemptID, Status: 200})
		for seq := uint64(1); seq <= 2; seq++ {
			_ = s.Chunk(api.Chunk{AttemptID: o.AttemptID, Seq: seq, Payload: []byte(o.Upstream)})
			// The second chunk comes after the other send's head.
			time.Sleep(time.Second)
		}
		s.End(api.End{AttemptID: o.AttemptID, Chunks: 2})
	}()
	return &exchange{pool: p, upstream: o.Upstream}, nil
}

type exchange struct {
	pool     *pool
	upstream string
}

func (x *exchange) Cancel() {
	x.pool.mu.Lock()
	defer x.pool.mu.Unlock()
	x.pool.cancelled = append(x.pool.cancelled, x.upstream)
}
func (x *exchange) GrantCredit(uint32) {}

// caller keeps what it got.
type caller struct {
	heads  int
	chunks []string
	end    api.End
}

func (c *caller) Head(api.Head) error { c.heads++; return nil }
func (c *caller) Chunk(n api.Chunk) error {
	c.chunks = append(c.chunks, string(n.Payload))
	return nil
}
func (c *caller) End(e api.End) { c.end = e }

// warm makes the dispatcher know a tail of 200 ms.
func warm(t *testing.T, d api.Dispatcher, p *pool, samples int) {
	t.Helper()
	p.plans = map[string]plan{"u1": {after: 200 * time.Millisecond}}
	for range samples {
		d.Dispatch(t.Context(), request(true), &caller{})
	}
	synctest.Wait()
	p.sent = nil
}

func request(idempotent bool) api.Request {
	return api.Request{ID: "r", Member: "desk", Deadline: time.Minute, Model: "m", Idempotent: idempotent}
}

const ms = time.Millisecond

// Guards against a hedge that is sent without need or budget, for a request
// that must run once or before the tail is known; against an answer mixed from
// two sends; against a loser that runs on; and against choices left open.
func TestHedge(t *testing.T) {
	full := api.NewFailure(api.CodeOverloaded, api.NotRun, "full")
	lost := api.NewFailure(api.CodeLinkLost, api.RunUnknown, "lost")
	both, first := []string{"u1", "u2"}, []string{"u1"}
	cases := []struct {
		name      string
		u1, u2    plan
		once      bool
		refused   bool
		samples   int
		leaves    time.Duration
		sent      []string
		cancelled []string
		from      string
		failure   api.Code
		asked     int
	}{
		{name: "the hedge wins", u1: plan{after: 900 * ms}, u2: plan{after: 100 * ms}, sent: both, cancelled: first, from: "u2", asked: 1},
		{name: "the first wins", u1: plan{after: 300 * ms}, u2: plan{after: 500 * ms}, sent: both, cancelled: []string{"u2"}, from: "u1", asked: 1},
		{name: "no need", u1: plan{after: 150 * ms}, sent: first, from: "u1"},
		{name: "both fail", u1: plan{after: 300 * ms, fails: lost}, u2: plan{after: 500 * ms, fails: full}, sent: both, failure: api.CodeOverloaded, asked: 1},
		{name: "the first fails", u1: plan{after: 300 * ms, fails: full}, u2: plan{after: 500 * ms}, sent: both, from: "u2", asked: 1},
		{name: "the hedge fails", u1: plan{after: 900 * ms}, u2: plan{fails: full}, sent: both, from: "u1", asked: 1},
		{name: "no budget", u1: plan{after: 900 * ms}, refused: true, sent: first, from: "u1", asked: 1},
		{name: "runs once", u1: plan{after: 900 * ms}, once: true, sent: first, from: "u1"},
		{name: "tail unknown", u1: plan{after: 900 * ms}, samples: hedge.MinSamples - 1, sent: first, from: "u1"},
		{name: "caller leaves", u1: plan{after: 900 * ms}, u2: plan{after: 900 * ms}, leaves: 500 * ms, sent: both, cancelled: both, failure: api.CodeCanceled, asked: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &pool{refused: c.refused}
				p.Clock = kernel.NewRuntimeClock()
				d := start(t, p, p.Clock)
				warm(t, d, p, cmp.Or(c.samples, hedge.MinSamples))
				p.plans = map[string]plan{"u1": c.u1, "u2": c.u2}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.leaves > 0 {
					time.AfterFunc(c.leaves, cancel)
				}
				got := &caller{}
				d.Dispatch(ctx, request(!c.once), got)
				if c.leaves > 0 && len(got.chunks) > 0 {
					t.Errorf("got %v", got.chunks)
				}
				time.Sleep(5 * time.Second)
				var chunks []string
				if c.from != "" {
					chunks = []string{c.from, c.from}
				}
				if !slices.Equal(got.chunks, chunks) || got.heads != min(len(chunks), 1) || c.from != "" && got.end.Upstream != c.from {
					t.Errorf("%d heads, chunks %v, upstream %s", got.heads, got.chunks, got.end.Upstream)
				}
				if f := got.end.Failure; (f != nil) != (c.failure != "") || f != nil && (f.Code != c.failure || f.Run != api.RunUnknown) {
					t.Errorf("ended with %v", f)
				}
				if !slices.Equal(p.sent, c.sent) || !slices.Equal(p.cancelled, c.cancelled) || p.asked != c.asked {
					t.Errorf("sent %v, cancelled %v, asked %d times", p.sent, p.cancelled, p.asked)
				}
				if p.routed != p.closed {
					t.Errorf("%d choices, %d closed", p.routed, p.closed)
				}
			})
		})
	}
}

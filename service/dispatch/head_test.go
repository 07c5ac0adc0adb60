package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// statusPool answers with a head of the upstream's status, one chunk and a proper end, as an
// agent that does not check its engine's responses does.
type statusPool struct {
	fakeServices
	statuses map[string]int
	// fields are those in the heads of u1.
	fields []api.Header
}

func (p *statusPool) Send(_ context.Context, o api.Order, s api.Sink) (api.Exchange, error) {
	go func() {
		head := api.Head{AttemptID: o.AttemptID, Status: p.statuses[o.Upstream]}
		if o.Upstream == "u1" {
			head.Headers = p.fields
		}
		if s.Head(head) == nil {
			_ = s.Chunk(api.Chunk{AttemptID: o.AttemptID, Seq: 1, Payload: []byte(o.Upstream)})
		}
		s.End(api.End{AttemptID: o.AttemptID, Chunks: 1})
	}()
	return nopExchange{}, nil
}

type nopExchange struct{}

func (nopExchange) Cancel()            {}
func (nopExchange) GrantCredit(uint32) {}

// Guards against a head with an impossible status from any transport: a front end panics on
// it outside of the goroutine of its request. The attempt must fail, so that an idempotent
// request gets its answer from another upstream.
func TestHeadWithImpossibleStatusFailsAttempt(t *testing.T) {
	for _, c := range []struct {
		name       string
		u1, u2     int
		idempotent bool
		want       string
	}{
		{"zero, idempotent", 0, 200, true, "u2"},
		{"interim, idempotent", 101, 200, true, "u2"},
		{"beyond 599, idempotent", 4_000_000_000, 200, true, "u2"},
		{"negative, idempotent", -1, 200, true, "u2"},
		{"zero, not idempotent", 0, 200, false, ""},
		{"both zero", 0, 0, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &statusPool{statuses: map[string]int{"u1": c.u1, "u2": c.u2}}
			p.Clock = kernel.NewRuntimeClock()
			got := &recordingSink{}
			r := request(c.idempotent)
			r.Unbound, r.MaxAttempts, r.Timeout = true, 2, time.Minute
			startDispatcher(t, p, p.Clock).Dispatch(t.Context(), r, got)
			if c.want != "" {
				if got.end.Failure != nil || len(got.chunks) != 1 || got.chunks[0] != c.want {
					t.Errorf("chunks %v, end %+v", got.chunks, got.end)
				}
				return
			}
			if f := got.end.Failure; got.heads != 0 || f == nil || f.Code != api.CodeUpstreamFailed || f.Run != api.RunUnknown {
				t.Errorf("%d heads, chunks %v, end %+v", got.heads, got.chunks, got.end)
			}
		})
	}
}

// Guards against a field that no head can have, from an agent that does not check its upstream's
// responses.
func TestHeadWithMalformedFieldFailsAttempt(t *testing.T) {
	for _, field := range []api.Header{
		{Name: "X Field", Value: "1"}, {Name: "X-Field ", Value: "1"}, {Name: "X-\x01", Value: "1"}, {Name: "X:", Value: "1"}, {Value: "1"},
		{Name: "X-Field", Value: "a\r\nContent-Length: 0"}, {Name: "X-Field", Value: "a\x00"},
	} {
		p := &statusPool{statuses: map[string]int{"u1": 200, "u2": 200}, fields: []api.Header{field}}
		p.Clock = kernel.NewRuntimeClock()
		got := &recordingSink{}
		r := request(true)
		r.Unbound, r.MaxAttempts, r.Timeout = true, 2, time.Minute
		startDispatcher(t, p, p.Clock).Dispatch(t.Context(), r, got)
		if got.end.Failure != nil || len(got.chunks) != 1 || got.chunks[0] != "u2" {
			t.Errorf("%q: chunks %v, end %+v", field, got.chunks, got.end)
		}
	}
}

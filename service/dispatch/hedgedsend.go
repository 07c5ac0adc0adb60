package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/retrybudget"
)

// hedgedSend is a send and at most one hedge of it. The first to produce output
// answers the caller; the other is canceled.
type hedgedSend struct {
	delivery   *delivery
	begin      time.Duration
	resumeFrom uint64
	// nothingDelivered is true if no part of the answer had reached the caller
	// before this send.
	nothingDelivered bool
	// threshold is the wait after which a hedge is sent.
	threshold time.Duration
	// open holds the sends in flight. Only the request's goroutine uses it.
	open []*openSend
	// failedEnd is the failure to report if no send succeeds.
	failedEnd *api.End

	mu     sync.Mutex
	winner *attempt
	// won is closed once there is a winner.
	won chan struct{}
}

// openSend is a send in flight.
type openSend struct {
	attempt  *attempt
	choice   api.RouteChoice
	started  time.Duration
	exchange api.Exchange
}

func newHedgedSend(d *delivery) *hedgedSend {
	return &hedgedSend{
		delivery:         d,
		begin:            d.service.clock.Now(),
		resumeFrom:       d.assembler.Delivered(),
		nothingDelivered: !d.headSent && d.assembler.Delivered() == 0,
		won:              make(chan struct{}),
	}
}

// claim makes the first attempt that calls it the winner, and reports whether a
// is the winner.
func (h *hedgedSend) claim(a *attempt) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner == nil {
		h.winner = a
		h.delivery.assembler.Resume(a.send.Number)
		close(h.won)
	}
	return h.winner == a
}

func (h *hedgedSend) isWinner(a *attempt) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.winner == a
}

// start sends the request to the chosen upstream.
func (h *hedgedSend) start(ctx context.Context, choice api.RouteChoice) *api.Failure {
	d := h.delivery
	d.attempt++
	s := &openSend{
		attempt: &attempt{delivery: d, hedged: h, done: make(chan api.End, 1)},
		choice:  choice,
		started: d.service.clock.Now(),
	}
	order, failure := d.order(choice, h.resumeFrom)
	if failure != nil {
		d.recordResult(s, failure, true)
		return failure
	}
	s.attempt.send = order.AttemptID
	exchange, err := d.service.links.Send(ctx, order, s.attempt)
	if err != nil {
		failure := asFailure(err, api.NotRun)
		d.recordResult(s, failure, true)
		return failure
	}
	s.exchange = exchange
	h.open = append(h.open, s)
	return nil
}

// run waits for the sends and returns the winner's end, or failedEnd if all fail.
func (h *hedgedSend) run(ctx context.Context) api.End {
	threshold, stop := h.hedgeTimer()
	defer stop()
	won := h.won
	for {
		select {
		case <-threshold:
			threshold = nil
			h.hedge(ctx)
		case <-won:
			won, threshold = nil, nil
			h.cancelLosers()
		case e := <-h.doneChan(0):
			if end, done := h.handleEnd(h.open[0], e); done {
				return end
			}
		case e := <-h.doneChan(1):
			if end, done := h.handleEnd(h.open[1], e); done {
				return end
			}
		case <-ctx.Done():
			return h.abandon(ctx)
		}
		if len(h.open) == 0 {
			return *h.failedEnd
		}
	}
}

// doneChan returns the done channel of the i-th open send, or nil.
func (h *hedgedSend) doneChan(i int) chan api.End {
	if i >= len(h.open) {
		return nil
	}
	return h.open[i].attempt.done
}

// handleEnd processes the end of a send. It returns true if the send is the
// winner.
func (h *hedgedSend) handleEnd(s *openSend, e api.End) (api.End, bool) {
	h.remove(s)
	if h.isWinner(s.attempt) {
		h.cancelLosers()
		h.observeFirstChunk(s)
		h.delivery.recordResult(s, e.Failure, false)
		return e, true
	}
	d := h.delivery
	d.mayHaveRun = d.mayHaveRun || e.Failure.Run != api.NotRun
	d.recordResult(s, e.Failure, false)
	if h.failedEnd == nil || retrybudget.Transient(h.failedEnd.Failure.Code) || isRecall(h.failedEnd.Failure) {
		// A permanent failure takes precedence: another send would fail the same way.
		h.failedEnd = &e
	}
	return api.End{}, false
}

// observeFirstChunk records the time to the first chunk for the pool's threshold.
func (h *hedgedSend) observeFirstChunk(s *openSend) {
	d := h.delivery
	if s.attempt.firstChunk == 0 || h.resumeFrom > 0 {
		return
	}
	d.service.thresholds.observe(sample{pool: poolName(d.request), firstChunk: d.begin + s.attempt.firstChunk - h.begin})
}

func (h *hedgedSend) remove(s *openSend) {
	h.open = slices.DeleteFunc(h.open, func(o *openSend) bool { return o == s })
}

// cancelLosers cancels all open sends but the winner.
func (h *hedgedSend) cancelLosers() {
	for _, s := range slices.Clone(h.open) {
		if h.isWinner(s.attempt) {
			continue
		}
		h.remove(s)
		s.attempt.detach()
		s.exchange.Cancel()
		h.delivery.reportResult(s, api.NewFailure(api.CodeCanceled, api.RunUnknown, "another send answered first"), false)
	}
}

// abandon detaches all sends because the caller disconnected. An idempotent
// request is canceled; any other continues at its agent.
func (h *hedgedSend) abandon(ctx context.Context) api.End {
	f, ok := context.Cause(ctx).(*api.Failure)
	if !ok {
		f = &api.Failure{Code: api.CodeCanceled, Run: api.RunUnknown, Err: context.Cause(ctx)}
	}
	for _, s := range h.open {
		s.attempt.detach()
		if h.delivery.request.Idempotent {
			s.exchange.Cancel()
		}
		h.delivery.recordResult(s, f, false)
	}
	return api.End{Failure: f}
}

// recordResult records the result of a send and reports it to routing.
func (d *delivery) recordResult(s *openSend, f *api.Failure, unsent bool) {
	d.lastUpstream, d.lastRevision = s.choice.Upstream, s.choice.Revision
	if f != nil {
		d.exclude = append(d.exclude, s.choice.Upstream)
		d.lastFailure = f
	}
	d.reportResult(s, f, unsent)
}

// reportResult reports the result of a send to routing, which closes the route choice.
func (d *delivery) reportResult(s *openSend, f *api.Failure, unsent bool) {
	d.service.routing.Done(api.RouteResult{
		Upstream:   s.choice.Upstream,
		Ticket:     s.choice.Ticket,
		Unsent:     unsent,
		CostTokens: d.request.CostTokens,
		Failure:    f,
		FirstChunk: s.attempt.firstChunk,
		Total:      d.service.clock.Now() - s.started,
	})
}

package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/retrybudget"
)

// hedgedAttempt is an attempt and at most one hedge of it. The first to produce
// output is the winner and responds to the caller; the other is canceled.
type hedgedAttempt struct {
	delivery   *delivery
	startedAt  time.Duration
	resumeFrom uint64
	// nothingDelivered is true if no part of the response had reached the caller
	// before this attempt.
	nothingDelivered bool
	// threshold is the wait after which a hedge is sent.
	threshold time.Duration
	// open holds the attempts in flight. Only the request's goroutine uses it.
	open []*openAttempt
	// failedEnd is the end to report if no attempt succeeds.
	failedEnd *api.End

	mu     sync.Mutex
	winner *attemptSink
	// won is closed once there is a winner.
	won chan struct{}
}

// openAttempt is an attempt in flight.
type openAttempt struct {
	sink      *attemptSink
	choice    api.RouteChoice
	startedAt time.Duration
	exchange  api.Exchange
}

func newHedgedAttempt(d *delivery) *hedgedAttempt {
	return &hedgedAttempt{
		delivery:         d,
		startedAt:        d.service.clock.Now(),
		resumeFrom:       d.assembler.Delivered(),
		nothingDelivered: !d.headSent && d.assembler.Delivered() == 0,
		won:              make(chan struct{}),
	}
}

// claim makes a the winner if there is none yet, and reports whether a is the
// winner.
func (h *hedgedAttempt) claim(a *attemptSink) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner == nil {
		h.winner = a
		h.delivery.assembler.Resume(a.id.Number)
		close(h.won)
	}
	return h.winner == a
}

func (h *hedgedAttempt) isWinner(a *attemptSink) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.winner == a
}

// start sends the request to the chosen upstream. A failure means that the request was
// not sent; it has already been recorded as the result of the attempt.
func (h *hedgedAttempt) start(ctx context.Context, choice api.RouteChoice) *api.Failure {
	d := h.delivery
	d.attempts++
	s := &openAttempt{
		sink:      &attemptSink{delivery: d, parent: h, choice: choice, done: make(chan api.End, 1)},
		choice:    choice,
		startedAt: d.service.clock.Now(),
	}
	order, failure := d.newOrder(choice, h.resumeFrom)
	if failure != nil {
		d.recordResult(s, failure, true)
		return failure
	}
	s.sink.id = order.AttemptID
	exchange, err := d.service.links.Send(ctx, order, s.sink)
	if err != nil {
		failure := asFailure(err, api.NotRun)
		d.recordResult(s, failure, true)
		return failure
	}
	s.exchange = exchange
	h.open = append(h.open, s)
	return nil
}

// run waits for the attempts and returns the winner's end, or failedEnd if all fail.
// It starts the hedge when the threshold passes.
func (h *hedgedAttempt) run(ctx context.Context) api.End {
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

// doneChan returns the done channel of the i-th open attempt, or nil if there is
// none.
func (h *hedgedAttempt) doneChan(i int) chan api.End {
	if i >= len(h.open) {
		return nil
	}
	return h.open[i].sink.done
}

// handleEnd records the result of an attempt that ended. It returns the end and true if
// the attempt is the winner. Otherwise the attempt failed, and failedEnd is updated.
func (h *hedgedAttempt) handleEnd(s *openAttempt, e api.End) (api.End, bool) {
	h.remove(s)
	if h.isWinner(s.sink) {
		h.cancelLosers()
		h.observeFirstChunk(s)
		h.delivery.recordResult(s, e.Failure, false)
		return e, true
	}
	d := h.delivery
	d.mayHaveRun = d.mayHaveRun || e.Failure.Run != api.NotRun
	d.recordResult(s, e.Failure, false)
	if h.failedEnd == nil || retrybudget.Transient(h.failedEnd.Failure.Code) || isRecall(h.failedEnd.Failure) {
		// A permanent failure takes precedence: another attempt would fail the same way.
		h.failedEnd = &e
	}
	return api.End{}, false
}

// observeFirstChunk adds a sample for the hedging threshold of the pool. It skips a
// resumed response, which has no first chunk of its own.
func (h *hedgedAttempt) observeFirstChunk(s *openAttempt) {
	d := h.delivery
	if s.sink.timeToFirstChunk == 0 || h.resumeFrom > 0 {
		return
	}
	d.service.thresholds.observe(sample{pool: poolName(d.request), timeToFirstChunk: d.startedAt + s.sink.timeToFirstChunk - h.startedAt})
}

func (h *hedgedAttempt) remove(s *openAttempt) {
	h.open = slices.DeleteFunc(h.open, func(o *openAttempt) bool { return o == s })
}

// cancelLosers cancels all open attempts except the winner.
func (h *hedgedAttempt) cancelLosers() {
	for _, s := range slices.Clone(h.open) {
		if h.isWinner(s.sink) {
			continue
		}
		h.remove(s)
		s.sink.detach()
		s.exchange.Cancel()
		h.delivery.reportResult(s, api.NewFailure(api.CodeCanceled, api.RunUnknown, "another attempt responded first"), false)
	}
}

// abandon detaches all attempts because the caller disconnected, the deadline passed
// or the router shuts down. An idempotent request is canceled; any other continues
// at its agent or upstream, and the end of its exchange is observed.
func (h *hedgedAttempt) abandon(ctx context.Context) api.End {
	f, ok := context.Cause(ctx).(*api.Failure)
	if !ok {
		f = &api.Failure{Code: api.CodeCanceled, Run: api.RunUnknown, Err: context.Cause(ctx)}
	}
	for _, s := range h.open {
		s.sink.detach()
		if h.delivery.request.Idempotent {
			s.exchange.Cancel()
		}
		h.delivery.recordResult(s, f, false)
	}
	return api.End{Failure: f}
}

// recordResult records the result of an attempt for the next retry and reports it to
// routing.
func (d *delivery) recordResult(s *openAttempt, f *api.Failure, unsent bool) {
	d.lastUpstream, d.lastRevision = s.choice.Upstream, s.choice.Revision
	if f != nil {
		d.excluded = append(d.excluded, s.choice.Upstream)
		d.lastFailure = f
	}
	d.reportResult(s, f, unsent)
}

// reportResult reports the result of an attempt to routing, which closes the route
// choice.
func (d *delivery) reportResult(s *openAttempt, f *api.Failure, unsent bool) {
	firstChunk := time.Duration(0)
	if s.sink.timeToFirstChunk > 0 {
		// The time that the request waited before this attempt is not the upstream's.
		firstChunk = max(d.startedAt+s.sink.timeToFirstChunk-s.startedAt, 1)
	}
	d.service.routing.Done(api.RouteResult{
		RequestID:   d.request.ID,
		Fingerprint: d.request.Fingerprint,
		PromptParts: d.request.PromptParts,
		Upstream:    s.choice.Upstream,
		Incarnation: s.choice.Incarnation,
		Ticket:      s.choice.Ticket,
		Unsent:      unsent,
		CostTokens:  d.request.CostTokens,
		Failure:     f,
		FirstChunk:  firstChunk,
		Total:       d.service.clock.Now() - s.startedAt,

		SentBytes:     sentBytes(d.request, f, unsent),
		ReceivedBytes: s.sink.receivedBytes,
	})
}

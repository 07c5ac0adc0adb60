package dispatch

import (
	"context"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// hedgeTimer returns a channel that fires when the hedging threshold has passed,
// and a function that stops the timer. The channel is nil if the attempt must not be
// hedged.
func (h *hedgedAttempt) hedgeTimer() (<-chan time.Time, func()) {
	d := h.delivery
	if !h.hedgeable() {
		return nil, func() {}
	}
	threshold, known := d.service.thresholds.threshold(poolName(d.request))
	if !known {
		return nil, func() {}
	}
	h.threshold = threshold
	t := time.NewTimer(threshold)
	return t.C, func() { t.Stop() }
}

// hedgeable returns false if the request is not idempotent, was hedged before, has
// no attempts left or is suspected of crashing upstreams, or if a part of its
// response has been delivered.
func (h *hedgedAttempt) hedgeable() bool {
	d := h.delivery
	return d.request.Idempotent && h.nothingDelivered && !d.hedged && d.attempts < d.maxAttempts() &&
		!h.open[0].choice.Isolate
}

// hedge sends the request to a second upstream if there is one and the retry budget
// allows it. If the first attempt produces output while hedge waits for the budget
// or the link, hedge gives up.
func (h *hedgedAttempt) hedge(ctx context.Context) {
	d := h.delivery
	first := h.open[0]
	choice, failure := d.route(ctx, []string{first.choice.Upstream})
	if failure != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-h.won:
			cancel()
		case <-ctx.Done():
		}
	}()
	if choice.Isolate || choice.Upstream == first.choice.Upstream || !h.spendHedge(ctx) {
		d.reportResult(&openAttempt{sink: &attemptSink{}, choice: choice, startedAt: d.service.clock.Now()}, nil, true)
		return
	}
	d.hedged = true
	if h.start(ctx, choice) == nil {
		d.service.counts.hedges.Add(1)
	}
}

// spendHedge takes the hedge from the retry budget and reports whether it is allowed.
func (h *hedgedAttempt) spendHedge(ctx context.Context) bool {
	d := h.delivery
	return d.service.admission.SpendHedge(ctx, api.HedgeCandidate{
		Member:     d.request.Member,
		Idempotent: d.request.Idempotent,
		Waited:     d.service.clock.Now() - h.startedAt,
		Threshold:  h.threshold,
	})
}

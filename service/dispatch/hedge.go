package dispatch

import (
	"context"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// hedgeTimer returns a channel that fires when the hedging threshold has passed,
// or nil if the send must not be hedged, and a function that stops the timer.
func (h *hedgedSend) hedgeTimer() (<-chan time.Time, func()) {
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

// hedgeable is false for a request that is non-idempotent, has delivered a part
// of its answer, was hedged before, or is suspected of crashing upstreams.
func (h *hedgedSend) hedgeable() bool {
	d := h.delivery
	return d.request.Idempotent && h.nothingDelivered && !d.hedged && d.attempt < d.maxSends() &&
		!h.open[0].choice.Isolate
}

// hedge sends the request to a second upstream, if there is one and the retry
// budget allows it. A head that arrives in the meantime cancels it.
func (h *hedgedSend) hedge(ctx context.Context) {
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
	if choice.Isolate || choice.Upstream == first.choice.Upstream || !h.spendBudget(ctx) {
		d.reportResult(&openSend{attempt: &attempt{}, choice: choice, started: d.service.clock.Now()}, nil, true)
		return
	}
	d.hedged = true
	if h.start(ctx, choice) == nil {
		d.service.counts.hedges.Add(1)
	}
}

func (h *hedgedSend) spendBudget(ctx context.Context) bool {
	d := h.delivery
	return d.service.admission.SpendHedge(ctx, api.HedgeCandidate{
		Member:     d.request.Member,
		Idempotent: d.request.Idempotent,
		Waited:     d.service.clock.Now() - h.begin,
		Threshold:  h.threshold,
	})
}

package dispatch

import (
	"context"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// timer returns a channel that fires when the send may be hedged, nil if it
// must not be.
func (r *race) timer() (<-chan time.Time, func()) {
	d := r.delivery
	if !r.hedgeable() {
		return nil, func() {}
	}
	threshold, known := d.service.tails.threshold(poolOf(d.request))
	if !known {
		return nil, func() {}
	}
	r.threshold = threshold
	t := time.NewTimer(threshold)
	return t.C, func() { t.Stop() }
}

// hedgeable is false for a request that must run once, that has a part of its
// answer, that was hedged before, or that is suspected of crashing upstreams.
func (r *race) hedgeable() bool {
	d := r.delivery
	return d.request.Idempotent && r.untouched && !d.hedged && d.attempt < d.maxSends() &&
		!r.open[0].choice.Isolate
}

// hedge sends the request to a second upstream, if there is one and the budget
// allows it. A head that arrives meanwhile stops it.
func (r *race) hedge(ctx context.Context) {
	d := r.delivery
	first := r.open[0]
	choice, failure := d.route(ctx, []string{first.choice.Upstream})
	if failure != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-r.won:
			cancel()
		case <-ctx.Done():
		}
	}()
	if choice.Isolate || choice.Upstream == first.choice.Upstream || !r.spend(ctx) {
		d.report(&contender{attempt: &attempt{}, choice: choice, began: d.service.clock.Now()}, nil, true)
		return
	}
	d.hedged = true
	if r.launch(ctx, choice) == nil {
		d.service.counts.hedges.Add(1)
	}
}

func (r *race) spend(ctx context.Context) bool {
	d := r.delivery
	return d.service.admission.SpendHedge(ctx, api.HedgeCandidate{
		Member:     d.request.Member,
		Idempotent: d.request.Idempotent,
		Waited:     d.service.clock.Now() - r.begin,
		Threshold:  r.threshold,
	})
}

package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/retrybudget"
)

// race is one send and at most one hedge of it. The first to produce a head
// answers the caller; the other is cancelled.
type race struct {
	delivery   *delivery
	begin      time.Duration
	resumeFrom uint64
	// untouched is true if the caller had nothing of the answer at the begin.
	untouched bool
	// threshold is the wait after which a hedge is worth it.
	threshold time.Duration
	// open are the sends that have not ended. Only the goroutine of the
	// request uses it.
	open []*contender
	// failed is the end of a send that failed while another was open.
	failed *api.End

	mu     sync.Mutex
	winner *attempt
	won    chan struct{}
}

// contender is one send of a race.
type contender struct {
	attempt  *attempt
	choice   api.RouteChoice
	began    time.Duration
	exchange api.Exchange
}

func newRace(d *delivery) *race {
	return &race{
		delivery:   d,
		begin:      d.service.clock.Now(),
		resumeFrom: d.assembly.Delivered(),
		untouched:  !d.headSent && d.assembly.Delivered() == 0,
		won:        make(chan struct{}),
	}
}

// claim makes the first attempt that has something for the caller the winner,
// and reports whether it is the one asking.
func (r *race) claim(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.winner == nil {
		r.winner = a
		r.delivery.assembly.Resume(a.send.Number)
		close(r.won)
	}
	return r.winner == a
}

func (r *race) claimed(a *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner == a
}

// launch sends the request to the upstream chosen.
func (r *race) launch(ctx context.Context, choice api.RouteChoice) *api.Failure {
	d := r.delivery
	d.attempt++
	c := &contender{
		attempt: &attempt{delivery: d, race: r, done: make(chan api.End, 1)},
		choice:  choice,
		began:   d.service.clock.Now(),
	}
	order, failure := d.order(choice, r.resumeFrom)
	if failure != nil {
		d.finish(c, failure, true)
		return failure
	}
	c.attempt.send = order.AttemptID
	exchange, err := d.service.links.Send(ctx, order, c.attempt)
	if err != nil {
		failure := asFailure(err, api.NotRun)
		d.finish(c, failure, true)
		return failure
	}
	c.exchange = exchange
	r.open = append(r.open, c)
	return nil
}

// run returns the end of the answer, or of the last send that failed.
func (r *race) run(ctx context.Context) api.End {
	threshold, stop := r.timer()
	defer stop()
	won := r.won
	for {
		select {
		case <-threshold:
			threshold = nil
			r.hedge(ctx)
		case <-won:
			won, threshold = nil, nil
			r.dropLosers()
		case e := <-r.done(0):
			if end, over := r.ended(r.open[0], e); over {
				return end
			}
		case e := <-r.done(1):
			if end, over := r.ended(r.open[1], e); over {
				return end
			}
		case <-ctx.Done():
			return r.abandon(ctx)
		}
		if len(r.open) == 0 {
			return *r.failed
		}
	}
}

// done returns the channel of an open send, nil if there is none.
func (r *race) done(i int) chan api.End {
	if i >= len(r.open) {
		return nil
	}
	return r.open[i].attempt.done
}

// ended takes the end of a send. The race is over if the caller has got
// something from it.
func (r *race) ended(c *contender, e api.End) (api.End, bool) {
	r.remove(c)
	if r.claimed(c.attempt) {
		r.dropLosers()
		r.sample(c)
		r.delivery.finish(c, e.Failure, false)
		return e, true
	}
	d := r.delivery
	d.uncertain = d.uncertain || e.Failure.Run != api.NotRun
	d.finish(c, e.Failure, false)
	if r.failed == nil || retrybudget.Transient(r.failed.Failure.Code) || recalled(r.failed.Failure) {
		// A failure that another send would repeat is the one to report.
		r.failed = &e
	}
	return api.End{}, false
}

// sample records the time to the first chunk for the threshold of the pool.
func (r *race) sample(c *contender) {
	d := r.delivery
	if c.attempt.firstChunk == 0 || r.resumeFrom > 0 {
		return
	}
	d.service.tails.observe(sample{pool: poolOf(d.request), took: d.begin + c.attempt.firstChunk - r.begin})
}

func (r *race) remove(c *contender) {
	r.open = slices.DeleteFunc(r.open, func(o *contender) bool { return o == c })
}

// dropLosers cancels the sends that did not win.
func (r *race) dropLosers() {
	for _, c := range slices.Clone(r.open) {
		if r.claimed(c.attempt) {
			continue
		}
		r.remove(c)
		c.attempt.detach()
		c.exchange.Cancel()
		r.delivery.report(c, api.NewFailure(api.CodeCanceled, api.RunUnknown, "another send answered first"), false)
	}
}

// abandon ends the race because the caller went away. An idempotent request is
// cancelled; any other runs on at its agent.
func (r *race) abandon(ctx context.Context) api.End {
	f, ok := context.Cause(ctx).(*api.Failure)
	if !ok {
		f = &api.Failure{Code: api.CodeCanceled, Run: api.RunUnknown, Err: context.Cause(ctx)}
	}
	for _, c := range r.open {
		c.attempt.detach()
		if r.delivery.request.Idempotent {
			c.exchange.Cancel()
		}
		r.delivery.finish(c, f, false)
	}
	return api.End{Failure: f}
}

// finish notes the result of a send.
func (d *delivery) finish(c *contender, f *api.Failure, unsent bool) {
	d.last, d.revision = c.choice.Upstream, c.choice.Revision
	if f != nil {
		d.exclude = append(d.exclude, c.choice.Upstream)
		d.refused = f
	}
	d.report(c, f, unsent)
}

// report closes the choice of upstream.
func (d *delivery) report(c *contender, f *api.Failure, unsent bool) {
	d.service.routing.Done(api.RouteResult{
		Upstream:   c.choice.Upstream,
		Ticket:     c.choice.Ticket,
		Unsent:     unsent,
		CostTokens: d.request.CostTokens,
		Failure:    f,
		FirstChunk: c.attempt.firstChunk,
		Total:      d.service.clock.Now() - c.began,
	})
}

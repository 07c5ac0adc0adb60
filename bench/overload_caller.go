package bench

import (
	"fmt"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/bench/enginemodel"
	"github.com/mulberryfork/mulberryfork/decide/retrybudget"
)

const (
	// callerResendDelay is the delay before a resend if the failure has no
	// RetryAfter.
	callerResendDelay = time.Second
	// plainTryTimeout and plainMaxTries are the usual per-try timeout and retry
	// limit of a proxy without retry budgets.
	plainTryTimeout = 3 * time.Second
	plainMaxTries   = 3
	// budgetMaxTries bounds the tries of one request at a router with retry budgets.
	budgetMaxTries = 3
)

// caller is a client that resends its request until it is answered or the
// attempt limit is reached.
type caller struct {
	output   int
	attempts int
}

// request is one attempt of a caller at a router.
type request struct {
	pool      *overloadPool
	caller    *caller
	router    int
	startedAt time.Duration
	deadline  time.Duration
	tries     int
	exclude   []string
	current   *try
	closed    bool
}

// try is one send of a request to an agent.
type try struct {
	*request
	choice        api.RouteChoice
	agent         *overloadAgent
	job           *enginemodel.Job
	started       bool
	gotFirstToken bool
	// sampledTokens is the number of tokens at the last sample.
	sampledTokens int
	ended         bool
}

func (t *try) cost() uint32 { return uint32(overloadPrompt + t.caller.output) }

func (o *overloadPool) submit(c *caller) {
	c.attempts++
	now := o.events.Now()
	r := &request{pool: o, caller: c, router: o.rng.IntN(overloadRouters), startedAt: now, deadline: now + overloadDeadline}
	o.budgets[r.router].RecordFirstAttempt(routeMember)
	o.events.After(overloadDeadline, func() {
		if r.closed {
			return
		}
		if r.current != nil {
			r.current.close(api.NewFailure(api.CodeDeadlineExceeded, api.RunUnknown, ""))
		}
		r.answer(api.NewFailure(api.CodeDeadlineExceeded, api.RunUnknown, ""))
	})
	r.send()
}

// send starts the next try on an upstream that the router chooses.
func (r *request) send() {
	o := r.pool
	if r.closed {
		return
	}
	r.tries++
	q := api.RouteQuery{Member: routeMember, Model: routeModel, CostTokens: uint32(overloadPrompt + r.caller.output), Exclude: r.exclude}
	choice, failure := o.routers[r.router].Choose(o.events.Now(), q)
	if failure != nil {
		r.answer(failure)
		return
	}
	o.sends++
	if r.tries == 1 {
		o.firstSends++
	}
	var engine int
	_, _ = fmt.Sscanf(choice.Upstream, "u%d", &engine)
	t := &try{request: r, choice: choice}
	r.current = t
	o.events.After(oneWayDelay(r.router, engine), func() { o.agents[engine].receive(t) })
	if o.plain {
		o.events.After(plainTryTimeout, func() {
			if !t.gotFirstToken {
				t.end(api.NewFailure(api.CodeLinkLost, api.RunUnknown, "no first token in time"))
			}
		})
	}
}

// close ends a try without answering or retrying the request. It returns false
// if the try had already ended.
func (t *try) close(f *api.Failure) bool {
	if t.ended {
		return false
	}
	t.ended = true
	if t.agent != nil {
		t.agent.remove(t)
	}
	t.pool.routers[t.router].Done(t.pool.events.Now(), api.RouteResult{Upstream: t.choice.Upstream, Ticket: t.choice.Ticket, Failure: f})
	return true
}

// end closes a try and answers or retries the request.
func (t *try) end(f *api.Failure) {
	if !t.close(f) {
		return
	}
	if f == nil {
		t.answer(nil)
		return
	}
	t.exclude = append(t.exclude, t.choice.Upstream)
	o := t.pool
	if o.plain {
		if t.tries < plainMaxTries {
			t.send()
			return
		}
		t.answer(f)
		return
	}
	backoff := retrybudget.Backoff(t.tries, 0, o.rng.Float64())
	inTime := o.events.Now()+backoff < t.deadline
	if retrybudget.Retryable(f, true) && t.tries < budgetMaxTries && inTime && o.budgets[t.router].AllowRetry(routeMember) {
		o.events.After(backoff, t.send)
		return
	}
	t.answer(f)
}

// answer closes a request. After a failure the caller resends, not before
// RetryAfter.
func (r *request) answer(f *api.Failure) {
	o, c := r.pool, r.caller
	if r.closed {
		return
	}
	r.closed = true
	now := o.events.Now()
	if f == nil {
		o.waiting--
		o.answers = append(o.answers, timelyAnswer{at: now, latency: now - r.startedAt, work: overloadWork(c.output)})
		return
	}
	if f.Run == api.NotRun {
		o.refused = append(o.refused, float64(now-r.startedAt)/float64(time.Millisecond))
	}
	if c.attempts >= o.maxAttempts {
		o.waiting--
		o.gaveUp++
		return
	}
	wait := callerResendDelay
	if !o.plain {
		wait = max(wait, f.RetryAfter)
	}
	o.events.After(wait, func() { o.submit(c) })
}

// amplification returns the mean number of sends per request that was sent.
func (o *overloadPool) amplification() float64 {
	return float64(o.sends) / float64(max(o.firstSends, 1))
}

// goodput returns the work in answers within their deadline, in engine seconds
// per second. It does not count requests, because early refusal favors short ones.
func (o *overloadPool) goodput(from, to time.Duration) float64 {
	sum := 0.0
	for _, g := range o.answers {
		if g.at >= from && g.at < to {
			sum += g.work
		}
	}
	return sum / (to - from).Seconds()
}

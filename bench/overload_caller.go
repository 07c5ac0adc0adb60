package bench

import (
	"fmt"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/bench/enginemodel"
	"github.com/mulberryfork/mulberryfork/decide/retrybudget"
)

const (
	// callerResendDelay is how long a caller waits before it resends without advice.
	callerResendDelay = time.Second
	// plainTryTimeout and plainTries are the usual per-try timeout and count
	// of a proxy without budgets.
	plainTryTimeout = 3 * time.Second
	plainMaxTries   = 3
	// budgetMaxTries bounds the sends of one request at a router with budgets.
	budgetMaxTries = 3
)

// caller is one person or program that wants an answer and resends.
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
	o.budgets[r.router].FirstSend(routeMember)
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

// send chooses an upstream for the next try.
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

// close ends a try without a consequence for the request.
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

// end closes a try; the request is answered or sent again.
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
	wait := retrybudget.Backoff(t.tries, 0, o.rng.Float64())
	inTime := o.events.Now()+wait < t.deadline
	if retrybudget.Retryable(f, true) && t.tries < budgetMaxTries && inTime && o.budgets[t.router].AllowRetry(routeMember) {
		o.events.After(wait, t.send)
		return
	}
	t.answer(f)
}

// answer closes a request. A caller that did not get its answer resends,
// after the advice if there is any.
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

// amplification is the number of sends for each request that was sent at all.
func (o *overloadPool) amplification() float64 {
	return float64(o.sends) / float64(max(o.firstSends, 1))
}

// goodput is the work in answers within their deadline, in engine seconds a
// second. Requests would not do as a measure, because early refusal prefers
// short ones.
func (o *overloadPool) goodput(from, to time.Duration) float64 {
	sum := 0.0
	for _, g := range o.answers {
		if g.at >= from && g.at < to {
			sum += g.work
		}
	}
	return sum / (to - from).Seconds()
}

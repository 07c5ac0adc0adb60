package bench

import (
	"fmt"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/bench/enginemodel"
	"github.com/mulberryfork/mulberryfork/decide/retrybudget"
)

const (
	// overloadResendDelay is the delay before a resend if the failure has no
	// RetryAfter.
	overloadResendDelay = time.Second
	// baselineAttemptTimeout and baselineMaxAttempts are the usual timeout per attempt
	// and the usual attempt limit of a proxy without retry budgets.
	baselineAttemptTimeout = 3 * time.Second
	baselineMaxAttempts    = 3
	// budgetMaxAttempts bounds the attempts of one request at a router with retry
	// budgets.
	budgetMaxAttempts = 3
)

// overloadCaller is a client that resends its request until it gets a response or
// reaches the limit of submissions.
type overloadCaller struct {
	output      int
	submissions int
}

// overloadRequest is one submission of a caller's request to a router.
type overloadRequest struct {
	pool      *overloadPool
	caller    *overloadCaller
	router    int
	startedAt time.Duration
	deadline  time.Duration
	attempts  int
	exclude   []string
	current   *overloadAttempt
	closed    bool
}

// overloadAttempt is one try of a request at an upstream.
type overloadAttempt struct {
	*overloadRequest
	choice        api.RouteChoice
	agent         *overloadAgent
	job           *enginemodel.Job
	started       bool
	gotFirstToken bool
	// sampledTokens is the number of generated tokens at the last sample.
	sampledTokens int
	ended         bool
}

func (t *overloadAttempt) cost() uint32 { return uint32(overloadPrompt + t.caller.output) }

// submit sends the request of a caller to a random router, with a new deadline.
func (o *overloadPool) submit(c *overloadCaller) {
	c.submissions++
	now := o.events.Now()
	r := &overloadRequest{pool: o, caller: c, router: o.rng.IntN(overloadRouters), startedAt: now, deadline: now + overloadDeadline}
	o.budgets[r.router].RecordFirstAttempt(routeMember)
	o.events.After(overloadDeadline, func() {
		if r.closed {
			return
		}
		if r.current != nil {
			r.current.close(api.NewFailure(api.CodeDeadlineExceeded, api.RunUnknown, ""))
		}
		r.finish(api.NewFailure(api.CodeDeadlineExceeded, api.RunUnknown, ""))
	})
	r.send()
}

// send starts the next attempt at an upstream that the router chooses.
func (r *overloadRequest) send() {
	o := r.pool
	if r.closed {
		return
	}
	r.attempts++
	q := api.RouteQuery{Member: routeMember, Model: routeModel, CostTokens: uint32(overloadPrompt + r.caller.output), Exclude: r.exclude}
	choice, failure := o.routers[r.router].Choose(o.events.Now(), q)
	if failure != nil {
		r.finish(failure)
		return
	}
	o.attempts++
	if r.attempts == 1 {
		o.firstAttempts++
	}
	var engine int
	_, _ = fmt.Sscanf(choice.Upstream, "u%d", &engine)
	t := &overloadAttempt{overloadRequest: r, choice: choice}
	r.current = t
	o.events.After(oneWayDelay(r.router, engine), func() { o.agents[engine].receive(t) })
	if o.baseline {
		o.events.After(baselineAttemptTimeout, func() {
			if !t.gotFirstToken {
				t.end(api.NewFailure(api.CodeLinkLost, api.RunUnknown, "no first token in time"))
			}
		})
	}
}

// close ends an attempt without finishing or retrying the request. It returns false
// if the attempt had already ended.
func (t *overloadAttempt) close(f *api.Failure) bool {
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

// end closes an attempt and then finishes or retries the request.
func (t *overloadAttempt) end(f *api.Failure) {
	if !t.close(f) {
		return
	}
	if f == nil {
		t.finish(nil)
		return
	}
	t.exclude = append(t.exclude, t.choice.Upstream)
	o := t.pool
	if o.baseline {
		if t.attempts < baselineMaxAttempts {
			t.send()
			return
		}
		t.finish(f)
		return
	}
	backoff := retrybudget.Backoff(t.attempts, 0, o.rng.Float64())
	inTime := o.events.Now()+backoff < t.deadline
	if retrybudget.Retryable(f, true) && t.attempts < budgetMaxAttempts && inTime && o.budgets[t.router].AllowRetry(routeMember) {
		o.events.After(backoff, t.send)
		return
	}
	t.finish(f)
}

// finish closes a request with a response, or with a failure if f is not nil. After
// a failure the caller resends, not before RetryAfter.
func (r *overloadRequest) finish(f *api.Failure) {
	o, c := r.pool, r.caller
	if r.closed {
		return
	}
	r.closed = true
	now := o.events.Now()
	if f == nil {
		o.waiting--
		o.responses = append(o.responses, timelyResponse{at: now, latency: now - r.startedAt, work: overloadWork(c.output)})
		return
	}
	if f.Run == api.NotRun {
		o.refused = append(o.refused, float64(now-r.startedAt)/float64(time.Millisecond))
	}
	if c.submissions >= o.maxSubmissions {
		o.waiting--
		o.gaveUp++
		return
	}
	wait := overloadResendDelay
	if !o.baseline {
		wait = max(wait, f.RetryAfter)
	}
	o.events.After(wait, func() { o.submit(c) })
}

// amplification returns the mean number of attempts per request that the router
// sent to an upstream.
func (o *overloadPool) amplification() float64 {
	return float64(o.attempts) / float64(max(o.firstAttempts, 1))
}

// goodput returns the work of the responses within their deadline, in engine seconds
// per second. It does not count requests, because early refusal favors short
// requests.
func (o *overloadPool) goodput(from, to time.Duration) float64 {
	sum := 0.0
	for _, response := range o.responses {
		if response.at >= from && response.at < to {
			sum += response.work
		}
	}
	return sum / (to - from).Seconds()
}

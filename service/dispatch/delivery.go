package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/poison"
	"github.com/mulberryfork/mulberryfork/decide/reassembly"
	"github.com/mulberryfork/mulberryfork/decide/retrybudget"
	"github.com/mulberryfork/mulberryfork/decide/spread"
)

const (
	// maxAttempts limits the attempts of one request. maxUnsentAttempts limits the
	// attempts that reached no upstream, which do not count toward maxAttempts.
	maxAttempts       = 8
	maxUnsentAttempts = 4
	// windowBytes is the flow-control window of one exchange.
	windowBytes = 256 << 10
	// linkRecoveryTimeout limits the wait for a lost link to recover. After it, the outcome
	// of a non-idempotent request is reported as unknown.
	linkRecoveryTimeout = 10 * time.Second
	// crashRetryDelay is longer than the interval between an agent's load reports.
	crashRetryDelay = 150 * time.Millisecond
	// maxRetryAfter caps the RetryAfter of a refusal that a router waits for.
	maxRetryAfter = time.Second
	// revisionTimeout limits one wait for the agent's configuration revision. Whether
	// to wait again is decided by the resend check that follows.
	revisionTimeout = spread.ResendHoldTimeout
)

// delivery is the state of one request until it has a complete response or fails.
type delivery struct {
	service   *service
	request   api.Request
	sink      api.Sink
	startedAt time.Duration

	// boundUpstream is the only upstream that may run the request. If it is empty,
	// any upstream may.
	boundUpstream string
	// key is the idempotency key from the caller or issued by this router, empty if the
	// request is not bound. incarnation is that of the key's agent, 0 if the key does
	// not contain it.
	incarnation api.Incarnation
	key         string
	// attempts counts the attempts so far. It is the number of the latest attempt.
	attempts uint32
	excluded []string
	// assembler orders the chunks and counts those delivered to the caller.
	assembler *reassembly.Assembler
	// lastUpstream and lastRevision are the upstream and the configuration revision
	// of the last attempt.
	lastUpstream string
	lastRevision uint64
	// headSent is set once the response head was forwarded to the caller. resumable
	// is set if the response is an event stream, which a later attempt can continue.
	headSent  bool
	resumable bool
	// lastEventAt is when the caller got the last piece of the response, 0 before the first.
	lastEventAt time.Duration
	// unnumbered is set while the last piece that the caller got has no position after
	// which a later attempt could continue.
	unnumbered bool
	// lastFailure is the failure of the last attempt that failed. exhausted is set if
	// routing then fails for the next attempt.
	lastFailure *api.Failure
	exhausted   bool
	// unsentAttempts counts the attempts that reached no upstream.
	unsentAttempts uint32
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// hedged is set once a hedge was sent.
	hedged bool
}

// bindKey binds a non-idempotent request with a caller's key to the upstream of
// the key. Other requests are left unbound.
func (d *delivery) bindKey() *api.Failure {
	r := d.request
	if r.Idempotent || r.Key == "" {
		return nil
	}
	upstream, incarnation, failure := d.service.upstreamForKey(r.Member, r.Service, r.Model, r.Key)
	if failure != nil {
		return failure
	}
	d.boundUpstream, d.incarnation, d.key = upstream, incarnation, r.Key
	return nil
}

// run makes attempts until one succeeds or no retry is possible.
func (d *delivery) run(ctx context.Context) api.End {
	for {
		end, sent := d.runAttempt(ctx)
		if end.Failure == nil {
			return end
		}
		if sent && end.Failure.Run != api.NotRun {
			d.mayHaveRun = true
		}
		if !d.prepareRetry(ctx, end.Failure) {
			if isCrash(end.Failure) && d.request.Fingerprint != 0 && !d.request.Unbound {
				// The failure is delayed so that all routers have received the
				// suspicion before the caller resends the request. An unbound request
				// involves no agent that could report one.
				sleep(ctx, poison.CrashFailureDelay)
			}
			return d.finalEnd(end, sent)
		}
	}
}

// finalEnd adjusts the run state and the bound key of a failure for the caller. A
// request with a caller's key may have run before through another router, so only
// the key's agent can rule out that it ran.
func (d *delivery) finalEnd(end api.End, sent bool) api.End {
	f := *end.Failure
	if f.Run == api.NotRun && (d.mayHaveRun || d.headSent || d.request.Key != "" && !sent) {
		f.Run = api.RunUnknown
	}
	if f.Run != api.NotRun && f.BoundKey == "" && !d.request.Idempotent {
		f.BoundKey = d.key
	}
	end.Failure = &f
	return end
}

// prepareRetry decides whether to retry after a failure, and waits until the next
// attempt can be made. It returns false if there must be no retry.
func (d *delivery) prepareRetry(ctx context.Context, f *api.Failure) bool {
	if ctx.Err() != nil || d.attempts == 0 || d.exhausted || !d.retryable(f) {
		return false
	}
	if neverSent(f) && d.unsentAttempts < maxUnsentAttempts {
		// No upstream received the request, so no retry budget is spent.
		d.unsentAttempts++
		d.service.counts.retries.Add(1)
		return true
	}
	if d.attempts-d.unsentAttempts >= d.maxAttempts() {
		return false
	}
	if f.Code == api.CodeStaleRevision && f.Run == api.NotRun {
		// Nothing ran and the upstream did not fail, so no retry budget is spent.
		d.service.counts.retries.Add(1)
		return d.awaitResend(ctx, f.Revision)
	}
	if !d.service.admission.SpendRetry(ctx, d.request.Member, d.request.Service) {
		d.service.counts.deniedRetries.Add(1)
		return false
	}
	d.service.counts.retries.Add(1)
	if d.assembler.Delivered() > 0 {
		d.service.counts.resumes.Add(1)
	}
	return sleep(ctx, d.backoff(f)) && (d.boundUpstream == "" || d.awaitBoundUpstream(ctx))
}

// neverSent reports whether a failure proves that the request reached no upstream.
func neverSent(f *api.Failure) bool {
	switch f.Code {
	case api.CodeUpstreamUnreached, api.CodeLeaving, api.CodeZoneOut, api.CodeShuttingDown:
		return f.Run == api.NotRun
	}
	return false
}

// maxAttempts returns the limit of attempts for the request.
func (d *delivery) maxAttempts() uint32 {
	if d.request.MaxAttempts > 0 {
		return uint32(min(d.request.MaxAttempts, maxAttempts))
	}
	return maxAttempts
}

// backoff returns the delay before a retry. After a crash of the upstream or a recall
// it is long enough for a load report with the suspicion to arrive, so that the retry
// is routed as a suspect. An unbound request involves no agent, so its retry is not
// delayed in these cases.
func (d *delivery) backoff(f *api.Failure) time.Duration {
	if isCrash(f) || isRecall(f) {
		if d.request.Unbound {
			return 0
		}
		return crashRetryDelay
	}
	if f.Run == api.NotRun && (f.RetryAfter == 0 || f.Code == api.CodeQueueFull) {
		// The retry goes to another upstream at once. The Retry-After of a full queue is that
		// of one agent.
		return 0
	}
	return retrybudget.Backoff(int(d.attempts), min(f.RetryAfter, maxRetryAfter), rand.Float64())
}

// isRecall reports whether the agent recalled the run because the request crashed
// another upstream. A refused suspect has the same code but did not run.
func isRecall(f *api.Failure) bool { return f.Code == api.CodeSuspect && f.Run != api.NotRun }

func isCrash(f *api.Failure) bool {
	return f.Code == api.CodeUpstreamFailed || f.Code == api.CodeStreamBroken
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// unexcludeLast lets routing choose the last upstream again.
func (d *delivery) unexcludeLast() {
	d.excluded = slices.DeleteFunc(d.excluded, func(u string) bool { return u == d.lastUpstream })
}

// allowOtherUpstream reports whether the request may go to another upstream after a
// refusal. It unbinds a key that this router issued; a caller's key stays bound.
func (d *delivery) allowOtherUpstream() bool {
	if d.request.Idempotent {
		return true
	}
	if d.request.Key != "" || d.mayHaveRun {
		return false
	}
	d.unbindKey()
	return true
}

// retryable reports whether a retry after f is safe. It unbinds a key that this
// router issued if the request did not run.
func (d *delivery) retryable(f *api.Failure) bool {
	if !retrybudget.Transient(f.Code) && !isRecall(f) {
		return false
	}
	if d.headSent && (!d.resumable || d.unnumbered) {
		return false
	}
	if d.request.Idempotent {
		return true
	}
	if f.Run == api.NotRun && !d.mayHaveRun {
		// The request did not run. A caller's key stays bound to its upstream, and
		// an immediate resend there would be refused again.
		if f.Code == api.CodeStaleRevision {
			return true
		}
		if d.request.Key != "" {
			return false
		}
		d.unbindKey()
		return true
	}
	// The key's agent deduplicates the resend.
	return d.key != "" && f.Code == api.CodeLinkLost
}

// unbindKey discards a key that this router issued, so that any upstream may be
// chosen.
func (d *delivery) unbindKey() { d.boundUpstream, d.key, d.incarnation = "", "", 0 }

// awaitBoundUpstream waits up to linkRecoveryTimeout until the link to the bound upstream
// is up again. It returns false if the link stays down or if the agent's
// incarnation is no longer that of the key.
func (d *delivery) awaitBoundUpstream(ctx context.Context) bool {
	wait, cancel := context.WithTimeout(ctx, linkRecoveryTimeout)
	defer cancel()
	state, ok := d.service.links.WaitUp(wait, d.boundUpstream)
	return ok && (d.incarnation == 0 || state.Incarnation == d.incarnation)
}

// runAttempt makes one attempt and hedges it if it is slow. The second result is false
// if the attempt was not sent. If routing fails after an earlier attempt failed,
// runAttempt returns the failure of that attempt and true.
func (d *delivery) runAttempt(ctx context.Context) (api.End, bool) {
	choice, failure := d.route(ctx, nil)
	if failure != nil && d.lastFailure != nil {
		// The last upstream's failure is more useful to the caller than the lack of
		// another upstream.
		d.exhausted = true
		return api.End{Failure: d.lastFailure}, true
	}
	if failure != nil {
		return api.End{Failure: failure}, false
	}
	h := newHedgedAttempt(d)
	if failure := h.start(ctx, choice); failure != nil {
		return api.End{Failure: failure}, false
	}
	return h.run(ctx), true
}

// route chooses an upstream that is neither excluded nor in use. For a non-idempotent
// request without a key, it issues one and binds the request to the upstream.
func (d *delivery) route(ctx context.Context, inUse []string) (api.RouteChoice, *api.Failure) {
	r := d.request
	if d.boundUpstream != "" {
		d.service.links.EnsureLink(ctx, d.boundUpstream)
	}
	query := api.RouteQuery{
		RequestID:    r.ID,
		Member:       r.Member,
		Model:        r.Model,
		Service:      r.Service,
		PrefixHashes: r.PrefixHashes,
		CostTokens:   r.CostTokens,
		Priority:     r.Priority,
		Exclude:      slices.Concat(d.exclusions(), inUse),
		OnlyUpstream: d.boundUpstream,
		AllowLeaving: d.boundUpstream != "",
		Fingerprint:  r.Fingerprint,
		PromptParts:  r.PromptParts,
	}
	if len(inUse) == 0 {
		d.allowWait(&query)
	}
	choice, failure := d.service.routing.Route(ctx, query)
	if failure != nil || r.Idempotent || r.Unbound || d.key != "" {
		return choice, failure
	}
	key, failure := d.service.newKey(choice)
	d.boundUpstream, d.incarnation, d.key = choice.Upstream, choice.Incarnation, key
	return choice, failure
}

// allowWait lets routing hold the request until there is room. A hedge must not wait: its
// first attempt may end at any time.
func (d *delivery) allowWait(q *api.RouteQuery) {
	q.MayWait = true
	q.Deadline = d.startedAt + d.request.Timeout
	q.QuietSince = max(d.lastEventAt, d.startedAt)
	if d.request.FirstEventTarget > 0 && d.lastEventAt == 0 && d.request.ResumeFrom == 0 {
		q.FirstEventBy = d.startedAt + d.request.FirstEventTarget
	}
}

// exclusions returns the upstreams that must not be chosen. A bound request has no
// alternative to its upstream.
func (d *delivery) exclusions() []string {
	if d.boundUpstream != "" {
		return nil
	}
	return d.excluded
}

// newOrder returns the order for the current attempt, or a failure if the deadline has
// passed.
func (d *delivery) newOrder(choice api.RouteChoice, resumeFrom uint64) (api.Order, *api.Failure) {
	r := d.request
	left := remaining(d.startedAt+r.Timeout, d.service.clock.Now())
	if left == 0 {
		return api.Order{}, api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "deadline exceeded before the request was sent")
	}
	incarnation := choice.Incarnation
	if d.incarnation != 0 {
		incarnation = d.incarnation
	}
	return api.Order{
		AttemptID:    api.AttemptID{RequestID: r.ID, Number: d.attempts},
		Member:       r.Member,
		Key:          d.key,
		BodyHash:     xxhash.Sum64(r.Body),
		Idempotent:   r.Idempotent,
		Upstream:     choice.Upstream,
		Incarnation:  incarnation,
		AgentElapsed: choice.AgentElapsed,
		Revision:     choice.Revision,
		DeadlineLeft: left,
		Priority:     r.Priority,
		CostTokens:   r.CostTokens,
		Fingerprint:  r.Fingerprint,
		Isolate:      choice.Isolate,
		ShareFactor:  choice.ShareFactor,
		Model:        r.Model,
		Method:       r.Method,
		Path:         r.Path,
		Headers:      r.Headers,
		Body:         r.Body,
		ResumeFrom:   resumeFrom,
		WindowBytes:  windowBytes,
	}, nil
}

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
	// maxSends bounds the sends of one request, maxUnsent those beside them that
	// reached no upstream.
	maxSends  = 8
	maxUnsent = 4
	// windowBytes is the flow-control credit of one exchange.
	windowBytes = 256 << 10
	// reattachWait bounds the wait for a lost link before the outcome of a
	// non-idempotent request is given as unknown.
	reattachWait = 10 * time.Second
	// crashPause exceeds the time between an agent's load reports.
	crashPause = 150 * time.Millisecond
	// longestBackoff bounds the advice of a refusal that a router waits for.
	longestBackoff = time.Second
	// revisionWait bounds one wait for a configuration that an agent has. The
	// check after it decides whether to wait on.
	revisionWait = spread.ResendHoldTimeout
)

// delivery is one request on its way to a whole answer.
type delivery struct {
	service *service
	request api.Request
	sink    api.Sink
	begin   time.Duration

	// home is the only upstream that may run the request, empty for any.
	home        string
	incarnation api.Incarnation
	key         string
	attempt     uint32
	exclude     []string
	// assembly puts chunks in order and knows how many the caller has.
	assembly *reassembly.Assembler
	// last is the upstream of the newest send, revision the one it was made under.
	last      string
	revision  uint64
	headSent  bool
	resumable bool
	// refused is the failure of the last send. exhausted is set once no upstream
	// is left to try.
	refused   *api.Failure
	exhausted bool
	// unsent counts the sends that reached no upstream.
	unsent uint32
	// uncertain is set once a send may have run.
	uncertain bool
	// hedged is set once a second concurrent send was made.
	hedged bool
}

// bind settles where a request with a caller's key belongs.
func (d *delivery) bind() *api.Failure {
	r := d.request
	if r.Idempotent || r.Key == "" {
		return nil
	}
	home, incarnation, failure := d.service.home(r.Member, r.Service, r.Model, r.Key)
	if failure != nil {
		return failure
	}
	d.home, d.incarnation, d.key = home, incarnation, r.Key
	return nil
}

func (d *delivery) run(ctx context.Context) api.End {
	for {
		end, sent := d.send(ctx)
		if end.Failure == nil {
			return end
		}
		if sent && end.Failure.Run != api.NotRun {
			d.uncertain = true
		}
		if !d.again(ctx, end.Failure) {
			if crashed(end.Failure) && d.request.Fingerprint != 0 {
				// A caller that resends on this answer then reaches routers that
				// have heard of the crash.
				pause(ctx, poison.CrashFailureDelay)
			}
			return d.conclude(end, sent)
		}
	}
}

// conclude words the failure for the caller. A key that the caller brought may
// have been run by an earlier send through another router, so only the agent
// that the key belongs to can say that it was not run.
func (d *delivery) conclude(end api.End, sent bool) api.End {
	f := *end.Failure
	if f.Run == api.NotRun && (d.uncertain || d.headSent || d.request.Key != "" && !sent) {
		f.Run = api.RunUnknown
	}
	if f.Run != api.NotRun && f.BoundKey == "" && !d.request.Idempotent {
		f.BoundKey = d.key
	}
	end.Failure = &f
	return end
}

// again decides whether another send follows, and waits for it to be possible.
func (d *delivery) again(ctx context.Context, f *api.Failure) bool {
	if ctx.Err() != nil || d.attempt == 0 || d.exhausted || !d.repeatable(f) {
		return false
	}
	if neverSent(f) && d.unsent < maxUnsent {
		// No upstream has seen the request, so it costs none anything.
		d.unsent++
		d.service.counts.retries.Add(1)
		return true
	}
	if d.attempt-d.unsent >= d.maxSends() {
		return false
	}
	if f.Code == api.CodeStaleRevision && f.Run == api.NotRun {
		// Nothing ran and the upstream is not at fault, so no budget is spent.
		d.service.counts.retries.Add(1)
		return d.afterStale(ctx, f.Revision)
	}
	if !d.service.admission.SpendRetry(ctx, d.request.Member, d.request.Service) {
		d.service.counts.denied.Add(1)
		return false
	}
	d.service.counts.retries.Add(1)
	if d.assembly.Delivered() > 0 {
		d.service.counts.resumes.Add(1)
	}
	return pause(ctx, d.backoff(f)) && (d.home == "" || d.awaitHome(ctx))
}

// neverSent says whether a failure shows that nothing left for the upstream.
func neverSent(f *api.Failure) bool {
	switch f.Code {
	case api.CodeUpstreamUnreached, api.CodeLeaving, api.CodeZoneOut:
		return f.Run == api.NotRun
	}
	return false
}

func (d *delivery) maxSends() uint32 {
	if d.request.MaxAttempts > 0 {
		return uint32(min(d.request.MaxAttempts, maxSends))
	}
	return maxSends
}

// backoff spreads retries out. After a crash of the upstream it also leaves
// time for the agent's news of it, so that the request is routed as a suspect. An
// unbound request goes past no agent: another upstream can take it at once.
func (d *delivery) backoff(f *api.Failure) time.Duration {
	if crashed(f) || recalled(f) {
		if d.request.Unbound {
			return 0
		}
		return crashPause
	}
	if f.Run == api.NotRun && f.RetryAfter == 0 {
		// Another upstream can take the request at once.
		return 0
	}
	return retrybudget.Backoff(int(d.attempt), min(f.RetryAfter, longestBackoff), rand.Float64())
}

// recalled tells a run that the agent stopped, because the request crashed an
// upstream elsewhere, from the refusal of a suspect.
func recalled(f *api.Failure) bool { return f.Code == api.CodeSuspect && f.Run != api.NotRun }

func crashed(f *api.Failure) bool {
	return f.Code == api.CodeUpstreamFailed || f.Code == api.CodeStreamBroken
}

// pause waits and returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
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

// afterStale waits until the request can be routed again after a refusal
// because of its revision, and returns false if it cannot.
func (d *delivery) afterStale(ctx context.Context, theirs uint64) bool {
	if d.service.resend == nil {
		return d.awaitRevision(ctx, theirs)
	}
	r := api.StaleRefusal{Upstream: d.last, RefusedAt: d.service.clock.Now(), OrderRevision: d.revision, AgentRevision: theirs}
	for ctx.Err() == nil {
		switch d.service.resend.CheckResend(ctx, r) {
		case api.ResendNow:
			d.forgive()
			return true
		case api.ResendElsewhere:
			return d.elsewhere()
		case api.ResendGiveUp:
			return false
		}
		d.awaitCurrent(ctx, theirs)
	}
	return false
}

// awaitCurrent waits for what a held request lacks: that this process has
// asked its peers, or the revision of the agent.
func (d *delivery) awaitCurrent(ctx context.Context, revision uint64) {
	if c := d.service.confirmed; c != nil && c.Confirmed() != nil {
		wait, cancel := context.WithTimeout(ctx, revisionWait)
		defer cancel()
		c.WaitConfirmed(wait)
		return
	}
	d.awaitRevision(ctx, revision)
}

// awaitRevision waits for the configuration that an agent has already.
func (d *delivery) awaitRevision(ctx context.Context, revision uint64) bool {
	wait, cancel := context.WithTimeout(ctx, revisionWait)
	defer cancel()
	return d.service.store.WaitRevision(wait, revision)
}

// forgive lets the upstream that refused last be chosen again.
func (d *delivery) forgive() {
	d.exclude = slices.DeleteFunc(d.exclude, func(u string) bool { return u == d.last })
}

// elsewhere keeps the upstream that refused out. A key of the caller's stays
// bound to its upstream.
func (d *delivery) elsewhere() bool {
	if d.request.Idempotent {
		return true
	}
	if d.request.Key != "" || d.uncertain {
		return false
	}
	d.unbind()
	return true
}

func (d *delivery) repeatable(f *api.Failure) bool {
	if !retrybudget.Transient(f.Code) && !recalled(f) {
		return false
	}
	if d.headSent && !d.resumable {
		return false
	}
	if d.request.Idempotent {
		return true
	}
	if f.Run == api.NotRun && !d.uncertain {
		// The send is known not to have run. A key of the caller's stays bound
		// to its upstream, so sending it there again at once is of no use.
		if f.Code == api.CodeStaleRevision {
			return true
		}
		if d.request.Key != "" {
			return false
		}
		d.unbind()
		return true
	}
	// The agent that the key is bound to recognises a repeated key.
	return d.key != "" && f.Code == api.CodeLinkLost
}

// unbind lets a request whose key this router made go to another upstream.
func (d *delivery) unbind() { d.home, d.key, d.incarnation = "", "", 0 }

// awaitHome waits until the link to the bound upstream is up again, and checks
// that it leads to the incarnation that knows the key.
func (d *delivery) awaitHome(ctx context.Context) bool {
	wait, cancel := context.WithTimeout(ctx, reattachWait)
	defer cancel()
	state, ok := d.service.links.WaitUp(wait, d.home)
	return ok && (d.incarnation == 0 || state.Incarnation == d.incarnation)
}

// send makes one attempt, and a hedge where it is worth it. The second result
// is false if nothing left this process.
func (d *delivery) send(ctx context.Context) (api.End, bool) {
	choice, failure := d.route(ctx, nil)
	if failure != nil && d.refused != nil {
		// That no further upstream is left says less than why the last one did
		// not answer.
		d.exhausted = true
		return api.End{Failure: d.refused}, true
	}
	if failure != nil {
		return api.End{Failure: failure}, false
	}
	r := newRace(d)
	if failure := r.launch(ctx, choice); failure != nil {
		return api.End{Failure: failure}, false
	}
	return r.run(ctx), true
}

// route chooses an upstream other than those tried already and those in use.
func (d *delivery) route(ctx context.Context, inUse []string) (api.RouteChoice, *api.Failure) {
	r := d.request
	if d.home != "" {
		d.service.links.EnsureLink(ctx, d.home)
	}
	choice, failure := d.service.routing.Route(ctx, api.RouteQuery{
		RequestID:   r.ID,
		Member:      r.Member,
		Model:       r.Model,
		Service:     r.Service,
		Prefix:      r.Prefix,
		CostTokens:  r.CostTokens,
		Priority:    r.Priority,
		Exclude:     slices.Concat(d.exclusions(), inUse),
		Only:        d.home,
		Leaving:     d.home != "",
		Fingerprint: r.Fingerprint,
	})
	if failure != nil || r.Idempotent || r.Unbound || d.key != "" {
		return choice, failure
	}
	key, failure := d.service.mint(choice)
	d.home, d.incarnation, d.key = choice.Upstream, choice.Incarnation, key
	return choice, failure
}

func (d *delivery) exclusions() []string {
	if d.home != "" {
		return nil
	}
	return d.exclude
}

func (d *delivery) order(choice api.RouteChoice, resumeFrom uint64) (api.Order, *api.Failure) {
	r := d.request
	left := remaining(d.begin+r.Deadline, d.service.clock.Now())
	if left == 0 {
		return api.Order{}, api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed before the send")
	}
	incarnation := choice.Incarnation
	if d.incarnation != 0 {
		incarnation = d.incarnation
	}
	return api.Order{
		AttemptID:    api.AttemptID{RequestID: r.ID, Number: d.attempt},
		Member:       r.Member,
		Key:          d.key,
		BodyHash:     xxhash.Sum64(r.Body),
		Idempotent:   r.Idempotent,
		Upstream:     choice.Upstream,
		Incarnation:  incarnation,
		AgentElapsed: choice.Elapsed,
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

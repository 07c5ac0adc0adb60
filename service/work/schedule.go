package work

import (
	"context"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
	"github.com/mulberryfork/mulberryfork/decide/limit"
	"github.com/mulberryfork/mulberryfork/decide/poison"
)

// schedule starts the orders that may start now, refuses those past their deadline and
// publishes the load. It runs after every event that may free capacity, and
// periodically.
func (c *control) schedule(now time.Duration) {
	for _, late := range c.queue.Expire(now) {
		c.refuse(now, late.Value, api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed while the request waited"))
	}
	c.recheckHeld(now)
	switch {
	case !c.mayStart(now):
	case c.isolation.Active():
		c.scheduleIsolated(now)
	default:
		c.scheduleQueued(now)
	}
	c.publish()
}

// scheduleQueued starts orders from the fair queue while the limits allow it.
func (c *control) scheduleQueued(now time.Duration) {
	for {
		free := c.freeSlots()
		next, ok := c.queue.Peek(free)
		if !ok || !c.coldStart.CanStart(int(next.Cost)) || !c.limit.Fits(next.Cost) {
			return
		}
		c.queue.Pop(now, free)
		p := next.Value
		isolate, f := c.recheck(now, p)
		if f != nil || isolate {
			c.queue.Finish(now, p.order.Member, next.Cost, 0)
		}
		if f != nil {
			c.refuse(now, p, f)
			continue
		}
		if isolate {
			// Nothing else may start until the suspect has ended.
			c.scheduleIsolated(now)
			return
		}
		c.start(now, p, false)
	}
}

// recheck checks again whether a dequeued order may start and can meet its deadline. If its
// request became a suspect while it was queued, the order is added to the isolation queue and
// isolate is true.
func (c *control) recheck(now time.Duration, p *pendingOrder) (isolate bool, f *api.Failure) {
	o := p.order
	if f := c.checkOrder(o); f != nil {
		return false, f
	}
	isolate, f = c.suspects.Check(now, o.Fingerprint, o.Upstream, o.Isolate)
	if f != nil {
		return false, f
	}
	if !isolate {
		// An order that was overtaken while it waited may have too little time left, and would
		// take the place of one that has enough.
		return false, c.limit.CheckDeadline(limit.Arrival{Cost: o.CostTokens, DeadlineLeft: p.deadline - now}, random())
	}
	return true, c.isolation.Add(poison.IsolatedRun{Fingerprint: o.Fingerprint, AttemptID: o.AttemptID})
}

// freeSlots estimates how many more requests of the current mean cost fit within the
// limits. The queue needs the number for its headroom. The result is at least 1 if only
// the token limit is reached, since whether the next request fits is checked separately.
func (c *control) freeSlots() int {
	bounds, used := c.limit.Bounds(), c.limit.InFlight()
	requests := min(c.coldStart.Limit(), bounds.Requests) - len(c.running)
	if requests <= 0 || used.Tokens == 0 {
		return requests
	}
	if used.Tokens >= bounds.Tokens {
		return 1
	}
	mean := max(used.Tokens/uint64(max(used.Requests, 1)), 1)
	return max(min(requests, int((bounds.Tokens-used.Tokens)/mean)), 1)
}

// scheduleIsolated runs suspects one at a time, with no other request in flight. Once no
// suspect is left, it schedules the fair queue.
func (c *control) scheduleIsolated(now time.Duration) {
	for {
		next, ok := c.isolation.Next(len(c.running))
		if !ok {
			break
		}
		p, found := c.pending[next.AttemptID]
		if !found {
			c.isolation.Finish(next.AttemptID)
			continue
		}
		f := c.checkOrder(p.order)
		if f == nil {
			_, f = c.suspects.Check(now, p.order.Fingerprint, p.order.Upstream, true)
		}
		if f == nil && now >= p.deadline {
			f = api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed while the request waited")
		}
		if f != nil {
			c.isolation.Finish(next.AttemptID)
			c.refuse(now, p, f)
			continue
		}
		c.counts.isolatedRuns.Add(1)
		c.start(now, p, true)
		return
	}
	if !c.isolation.Active() {
		c.scheduleQueued(now)
	}
}

// start grants an order to run, unless the ledger rules out a non-idempotent run.
func (c *control) start(now time.Duration, p *pendingOrder, isolated bool) {
	o := p.order
	if !o.Idempotent {
		if s := c.ledger.Start(now, o.AttemptID); !s.Run {
			c.releaseJoined(s.Release, api.Outcome{})
			c.isolation.Finish(o.AttemptID)
			if !isolated {
				c.queue.Finish(now, o.Member, o.CostTokens, 0)
			}
			return
		}
	}
	delete(c.pending, o.AttemptID)
	c.limit.Start(o.CostTokens)
	r := &runningOrder{order: o, ticket: c.coldStart.Start(int(o.CostTokens)), startedAt: now, isolated: isolated}
	c.running[o.AttemptID] = r
	c.service.metrics.Counter("work_started", o.Member).Add(1)
	g := grant{action: grantRun, expiresAt: c.service.startedAt + p.deadline, generatedTokens: &r.generatedTokens}
	if o.Idempotent {
		g.recallCtx, r.recall = context.WithCancelCause(context.Background())
	}
	p.call.Reply(g)
}

// handleResult updates the state after a run has ended.
func (c *control) handleResult(now time.Duration, res runResult) {
	r, ok := c.running[res.attemptID]
	if !ok {
		return
	}
	if isCrash(res.failure) && r.startedAt > c.lastCrashAt {
		c.recordCrash(now)
	}
	delete(c.running, res.attemptID)
	c.observeEngineIncarnation(now, res.usage.EngineIncarnation)
	c.recordUsage(now, r, res)
	if r.isolated {
		c.isolation.Finish(res.attemptID)
		if res.failure == nil {
			c.unreportedSuspicions = c.suspects.RecordCompletion(now, r.order.Fingerprint)
		}
	}
	if !r.order.Idempotent {
		c.recordOutcome(now, res)
	}
	c.schedule(now)
}

// recordUsage updates the limits, the fair queue and the reported averages with the
// usage of a run that has ended.
func (c *control) recordUsage(now time.Duration, r *runningOrder, res runResult) {
	completed := res.failure == nil
	c.coldStart.End(r.ticket, completed)
	if res.failure != nil && res.failure.Code == api.CodeUpstreamUnreached {
		c.resetColdStart()
	}
	if completed && res.usage.GeneratedTokens > 0 {
		c.countColdResets(func() { c.coldStart.ObserveFirstToken(r.ticket, int(r.order.CostTokens), res.usage.FirstChunk) })
		c.meanFirstToken = smooth(c.meanFirstToken, res.usage.FirstChunk)
	}
	if n := res.usage.GeneratedTokens; completed && n > 1 {
		c.meanStepTime = smooth(c.meanStepTime, (res.usage.Total-res.usage.FirstChunk)/time.Duration(n-1))
	}
	c.limit.End(now, limit.Completion{Started: r.startedAt, Cost: r.order.CostTokens, Usage: res.usage, Failed: !completed})
	actual := actualCost(r.order, res)
	if !r.isolated {
		c.queue.Finish(now, r.order.Member, r.order.CostTokens, actual)
	}
	c.servedCost[r.order.Member] += uint64(actual)
}

// smoothingWeight is the weight of a new sample in the reported exponential moving
// averages.
const smoothingWeight = 0.1

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothingWeight*float64(sample-old))
}

// actualCost returns the cost of a run in tokens, with the number of generated tokens
// instead of its estimate if the engine reported it.
func actualCost(o api.Order, res runResult) uint32 {
	if res.usage.GeneratedTokens == 0 {
		return o.CostTokens
	}
	promptTokens := uint32(len(o.Body)) / bytesPerToken
	return promptTokens + res.usage.GeneratedTokens
}

// bytesPerToken converts the length of a body to tokens. It is the same as in the
// routers' cost estimate.
const bytesPerToken = 4

// recordOutcome records the outcome of a non-idempotent run in the ledger and replies
// to the attempts that joined it.
func (c *control) recordOutcome(now time.Duration, res runResult) {
	if res.failure != nil {
		c.releaseJoined(c.ledger.Fail(now, res.attemptID, *res.failure), api.Outcome{})
		return
	}
	response := ledger.Response{}
	if res.response != nil {
		response = *res.response
	}
	kept := len(response.Body) <= int(c.service.maxResponseBytes.Load())
	c.releaseJoined(c.ledger.Complete(now, res.attemptID, response), api.Outcome{
		Run: api.Ran, Done: true, Status: response.Status, Headers: response.Headers, Body: response.Body, BodyKept: kept,
	})
}

// isCrash reports whether a failure indicates a crash of the upstream rather than the
// failure of one request. It returns false if f is nil.
func isCrash(f *api.Failure) bool {
	if f == nil {
		return false
	}
	return f.Code == api.CodeUpstreamFailed || f.Code == api.CodeStreamBroken
}

// recordCrash records a crash of the upstream. The requests in flight that started
// after the previous crash become suspects. The runs that a crash interrupts fail one
// after the other; only the first failure counts as a crash.
func (c *control) recordCrash(now time.Duration) {
	previous := c.lastCrashAt
	c.lastCrashAt = now
	c.crashCount++
	c.counts.crashes.Add(1)
	var fingerprints []uint64
	for _, r := range c.running {
		if r.startedAt > previous {
			fingerprints = append(fingerprints, r.order.Fingerprint)
		}
	}
	c.unreportedSuspicions = c.suspects.RecordCrash(now, c.service.settings.Upstream, c.crashID(), fingerprints)
	c.resetColdStart()
}

// resetColdStart returns to the cold limit, since the upstream has lost its state after
// a crash or a refused connection.
func (c *control) resetColdStart() {
	c.countColdResets(c.coldStart.ObserveStateLoss)
}

// crashID returns an ID for the last crash, which differs from the IDs of all other
// crashes: it is a hash of the upstream, the agent's incarnation and the number of the
// crash.
func (c *control) crashID() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.service.settings.Upstream))
	_, _ = h.Write(strconv.AppendUint(nil, uint64(c.service.incarnation), 16))
	_, _ = h.Write(strconv.AppendUint([]byte{'/'}, c.crashCount, 16))
	return h.Sum64()
}

// publish publishes the current load for links and probes.
func (c *control) publish() {
	old := c.service.published.Load()
	load := api.Load{
		Upstream:      c.service.settings.Upstream,
		Incarnation:   c.service.incarnation,
		Running:       uint32(len(c.running)),
		Queued:        uint32(c.queue.Len()),
		LimitRequests: uint32(min(c.coldStart.Limit(), c.limit.Bounds().Requests)),
		LimitTokens:   uint64(c.coldStart.LimitTokens()),
		Cold:          c.coldStart.Cold(),
		Accepting:     c.checkAccepting() == nil,
		StepTime:      c.meanStepTime,
		FirstToken:    c.meanFirstToken,
		Served:        c.reportedServed,
		Waiting:       c.reportedWaiting,
		ServedSeq:     c.servedSeq,
		Suspicions:    c.takeSuspicions(old.load.Suspicions),
	}
	if c.snapshot != nil {
		load.Revision = c.snapshot.Revision
	}
	c.service.ledgerEntries.Store(int64(c.ledger.Counts().Entries))
	load.Tokens = c.limit.InFlight().Tokens
	c.service.published.Store(&publishedLoad{load: load, changed: make(chan struct{})})
	close(old.changed)
}

// takeSuspicions returns the suspicions for the next load report: the unreported
// ones, which it clears, or those of the previous report if there are none.
func (c *control) takeSuspicions(previous []api.Suspicion) []api.Suspicion {
	if len(c.unreportedSuspicions) == 0 {
		return previous
	}
	suspicions := c.unreportedSuspicions
	c.unreportedSuspicions = nil
	return suspicions
}

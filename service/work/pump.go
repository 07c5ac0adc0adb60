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

// pump starts what may start now. It runs after every event that could make
// room and regularly for deadlines that pass.
func (c *control) pump(now time.Duration) {
	for _, late := range c.queue.Expire(now) {
		c.refuse(now, late.Value, api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed while the request waited"))
	}
	c.pumpHeld(now)
	switch {
	case !c.mayStart(now):
	case c.isolation.Active():
		c.pumpIsolated(now)
	default:
		c.pumpQueue(now)
	}
	c.publish()
}

func (c *control) pumpQueue(now time.Duration) {
	for {
		free := c.free()
		next, ok := c.queue.Peek(free)
		if !ok || !c.cold.CanStart(int(next.Cost)) || !c.limit.Fits(next.Cost) {
			return
		}
		c.queue.Pop(now, free)
		w := next.Value
		alone, f := c.recheck(now, w)
		if f != nil || alone {
			c.queue.Finish(now, w.order.Member, next.Cost, 0)
		}
		if f != nil {
			c.refuse(now, w, f)
			continue
		}
		if alone {
			// Nothing else may start until the suspect has run.
			c.pumpIsolated(now)
			return
		}
		c.start(now, w, false)
	}
}

// recheck asks again, after the wait, whether an order may start. An order whose
// request became a suspect meanwhile goes on to a run in isolation.
func (c *control) recheck(now time.Duration, w *waiter) (alone bool, f *api.Failure) {
	o := w.order
	if f := c.gate(o); f != nil {
		return false, f
	}
	alone, f = c.suspects.Check(now, o.Fingerprint, o.Upstream, o.Isolate)
	if f != nil || !alone {
		return false, f
	}
	return true, c.isolation.Add(poison.IsolatedRun{Fingerprint: o.Fingerprint, Send: o.AttemptID})
}

// free estimates how many more requests of the present mean size have room, so
// that the queue can keep headroom. Whether the next one fits is checked apart.
func (c *control) free() int {
	bounds, used := c.limit.Bounds(), c.limit.InFlight()
	requests := min(c.cold.Limit(), bounds.Requests) - len(c.running)
	if requests <= 0 || used.Tokens == 0 {
		return requests
	}
	if used.Tokens >= bounds.Tokens {
		return 1
	}
	mean := max(used.Tokens/uint64(max(used.Requests, 1)), 1)
	return max(min(requests, int((bounds.Tokens-used.Tokens)/mean)), 1)
}

// pumpIsolated runs suspects one by one with nothing beside them.
func (c *control) pumpIsolated(now time.Duration) {
	for {
		next, ok := c.isolation.Next(len(c.running))
		if !ok {
			break
		}
		w, waits := c.waiters[next.Send]
		if !waits {
			c.isolation.Finish(next.Send)
			continue
		}
		f := c.gate(w.order)
		if f == nil {
			_, f = c.suspects.Check(now, w.order.Fingerprint, w.order.Upstream, true)
		}
		if f == nil && now >= w.deadline {
			f = api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed while the request waited")
		}
		if f != nil {
			c.isolation.Finish(next.Send)
			c.refuse(now, w, f)
			continue
		}
		c.counts.isolated.Add(1)
		c.start(now, w, true)
		return
	}
	if !c.isolation.Active() {
		c.pumpQueue(now)
	}
}

func (c *control) start(now time.Duration, w *waiter, isolated bool) {
	o := w.order
	if !o.Idempotent {
		if s := c.ledger.Start(now, o.AttemptID); !s.Run {
			c.release(s.Release, api.Outcome{})
			c.isolation.Finish(o.AttemptID)
			if !isolated {
				c.queue.Finish(now, o.Member, o.CostTokens, 0)
			}
			return
		}
	}
	delete(c.waiters, o.AttemptID)
	c.limit.Start(o.CostTokens)
	a := &active{order: o, ticket: c.cold.Start(int(o.CostTokens)), started: now, isolated: isolated}
	c.running[o.AttemptID] = a
	c.service.metrics.Counter("work_started", o.Member).Add(1)
	g := grant{verdict: run, expires: c.service.started + w.deadline, generated: &a.generated}
	if o.Idempotent {
		g.recalled, a.recall = context.WithCancelCause(context.Background())
	}
	w.call.Reply(g)
}

// finish accounts for a run that ended, whatever its result.
func (c *control) finish(now time.Duration, f finish) {
	a, ok := c.running[f.send]
	if !ok {
		return
	}
	if crashed(f.failure) && a.started > c.crashedAt {
		c.crash(now)
	}
	delete(c.running, f.send)
	c.engineIncarnation(now, f.usage.EngineIncarnation)
	c.account(now, a, f)
	if a.isolated {
		c.isolation.Finish(f.send)
		if f.failure == nil {
			c.unreported = c.suspects.RecordCompletion(now, a.order.Fingerprint)
		}
	}
	if !a.order.Idempotent {
		c.settle(now, f)
	}
	c.pump(now)
}

func (c *control) account(now time.Duration, a *active, f finish) {
	whole := f.failure == nil
	c.cold.End(a.ticket, whole)
	if f.failure != nil && f.failure.Code == api.CodeUpstreamUnreached {
		c.lostState()
	}
	if whole && f.usage.GeneratedTokens > 0 {
		c.noteFall(func() { c.cold.ObserveFirstToken(a.ticket, int(a.order.CostTokens), f.usage.FirstChunk) })
		c.first = smooth(c.first, f.usage.FirstChunk)
	}
	if n := f.usage.GeneratedTokens; whole && n > 1 {
		c.step = smooth(c.step, (f.usage.Total-f.usage.FirstChunk)/time.Duration(n-1))
	}
	c.limit.End(now, limit.Completion{Started: a.started, Cost: a.order.CostTokens, Usage: f.usage, Failed: !whole})
	actual := actualCost(a.order, f)
	if !a.isolated {
		c.queue.Finish(now, a.order.Member, a.order.CostTokens, actual)
	}
	c.served[a.order.Member] += uint64(actual)
}

// smoothing is the weight of a new sample in the reported times.
const smoothing = 0.1

func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothing*float64(sample-old))
}

// actualCost replaces the estimate of what is generated by what was.
func actualCost(o api.Order, f finish) uint32 {
	if f.usage.GeneratedTokens == 0 {
		return o.CostTokens
	}
	prompt := uint32(len(o.Body)) / bytesPerToken
	return prompt + f.usage.GeneratedTokens
}

// bytesPerToken matches the estimate that routers make.
const bytesPerToken = 4

// settle records the outcome of a non-idempotent run and answers the sends
// that joined it.
func (c *control) settle(now time.Duration, f finish) {
	if f.failure != nil {
		c.release(c.ledger.Fail(now, f.send, *f.failure), api.Outcome{})
		return
	}
	answer := ledger.Answer{}
	if f.answer != nil {
		answer = *f.answer
	}
	kept := len(answer.Body) <= int(c.service.answerBytes.Load())
	c.release(c.ledger.Complete(now, f.send, answer), api.Outcome{
		Run: api.Ran, Done: true, Status: answer.Status, Headers: answer.Headers, Body: answer.Body, BodyKept: kept,
	})
}

// crashed tells the failures of a dead upstream from those of one request.
func crashed(f *api.Failure) bool {
	if f == nil {
		return false
	}
	return f.Code == api.CodeUpstreamFailed || f.Code == api.CodeStreamBroken
}

// crash takes everything that runs as a suspect. The runs of one crash fail
// one after the other; only the first of them counts.
func (c *control) crash(now time.Duration) {
	before := c.crashedAt
	c.crashedAt = now
	c.crashes++
	c.counts.crashes.Add(1)
	var fingerprints []uint64
	for _, r := range c.running {
		if r.started > before {
			fingerprints = append(fingerprints, r.order.Fingerprint)
		}
	}
	c.unreported = c.suspects.RecordCrash(now, c.service.settings.Upstream, c.crashID(), fingerprints)
	c.lostState()
}

// lostState takes the upstream as cold: whatever comes back after a crash or a
// refused connection has lost its state.
func (c *control) lostState() {
	c.noteFall(c.cold.ObserveStateLoss)
}

// crashID differs between the crashes of all upstreams and incarnations.
func (c *control) crashID() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.service.settings.Upstream))
	_, _ = h.Write(strconv.AppendUint(nil, uint64(c.service.incarnation), 16))
	_, _ = h.Write(strconv.AppendUint([]byte{'/'}, c.crashes, 16))
	return h.Sum64()
}

// publish puts the present load where links and probes read it.
func (c *control) publish() {
	old := c.service.report.Load()
	load := api.Load{
		Upstream:      c.service.settings.Upstream,
		Incarnation:   c.service.incarnation,
		Running:       uint32(len(c.running)),
		Queued:        uint32(c.queue.Len()),
		LimitRequests: uint32(min(c.cold.Limit(), c.limit.Bounds().Requests)),
		LimitTokens:   uint64(c.cold.LimitTokens()),
		Cold:          c.cold.Cold(),
		Accepting:     c.closed() == nil,
		StepTime:      c.step,
		FirstToken:    c.first,
		Served:        c.reported,
		Waiting:       c.waitingCost,
		ServedSeq:     c.servedSeq,
		Suspicions:    c.reportedSuspicions(old.load.Suspicions),
	}
	if c.snap != nil {
		load.Revision = c.snap.Revision
	}
	c.service.ledgerEntries.Store(int64(c.ledger.Counts().Entries))
	load.Tokens = c.limit.InFlight().Tokens
	c.service.report.Store(&report{load: load, changed: make(chan struct{})})
	close(old.changed)
}

// reportedSuspicions keeps the last ones in the reports until newer ones replace them.
func (c *control) reportedSuspicions(before []api.Suspicion) []api.Suspicion {
	if len(c.unreported) == 0 {
		return before
	}
	suspicions := c.unreported
	c.unreported = nil
	return suspicions
}

package work

import (
	"crypto/rand"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/fairqueue"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
	"github.com/mulberryfork/mulberryfork/decide/limit"
	"github.com/mulberryfork/mulberryfork/decide/poison"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// handleArrival queues or refuses an order that reached the agent, joins it to an
// earlier attempt with the same key, or replays the recorded outcome.
func (c *control) handleArrival(now time.Duration, call kernel.Call[api.Order, grant]) {
	p := &pendingOrder{order: call.Query, call: call, deadline: now + call.Query.DeadlineLeft, receivedAt: now}
	if !p.order.Idempotent && !c.recordArrival(now, p) {
		return
	}
	if f := c.enqueue(now, p); f != nil {
		c.refuse(now, p, f)
		return
	}
	c.schedule(now)
}

// recordArrival enters a non-idempotent order into the ledger. It returns true if the
// order must be queued, and false if it got its reply or joined another attempt with
// its key.
func (c *control) recordArrival(now time.Duration, p *pendingOrder) bool {
	o := p.order
	a := ledger.Arrival{
		AttemptID:    o.AttemptID,
		Member:       o.Member,
		Key:          o.Key,
		BodyHash:     o.BodyHash,
		Incarnation:  o.Incarnation,
		AgentElapsed: o.AgentElapsed,
		Deadline:     p.deadline,
	}
	// crypto/rand.Read never fails.
	_, _ = rand.Read(a.Random[:])
	c.ledger.ConfirmList(c.service.orderCheck.ConfirmedAt() - c.service.startedAt)
	d := c.ledger.Admit(now, a)
	switch d.Verdict {
	case ledger.Queue:
		return true
	case ledger.Join:
		c.pending[o.AttemptID] = p
	case ledger.Replay:
		c.counts.replays.Add(1)
		p.call.Reply(grant{action: grantReplay, outcome: d.Outcome})
	case ledger.Duplicate:
		p.call.Reply(grant{action: grantDrop})
	default:
		c.countRefusal(d.Failure)
		p.call.Reply(grant{failure: d.Failure})
	}
	return false
}

// enqueue adds an order to the fair queue, to the isolation queue if it is a suspect,
// or to the held orders if its revision is not active yet. It returns a failure if the
// order must be refused.
func (c *control) enqueue(now time.Duration, p *pendingOrder) *api.Failure {
	o := p.order
	if f := c.checkOrder(o); f != nil {
		return f
	}
	switch verdict := c.checkRevision(now, p); verdict {
	case api.OrderHold:
		c.pending[o.AttemptID] = p
		c.held = append(c.held, p)
		return nil
	case api.OrderRefuse:
		return c.staleFailure()
	}
	isolate, f := c.suspects.Check(now, o.Fingerprint, o.Upstream, o.Isolate)
	if f != nil {
		return f
	}
	if isolate {
		c.pending[o.AttemptID] = p
		return c.isolation.Add(poison.IsolatedRun{Fingerprint: o.Fingerprint, AttemptID: o.AttemptID})
	}
	c.setMemberShare(o)
	if f := c.limit.CheckDeadline(c.limitArrival(now, o), random()); f != nil {
		return f
	}
	return c.push(now, p)
}

// push adds an order to the fair queue. If the queue of its member is full, a less urgent
// order of the member is refused instead.
func (c *control) push(now time.Duration, p *pendingOrder) *api.Failure {
	o := p.order
	if late, ok := c.queue.Displace(now, o.Member, o.Priority); ok {
		f := api.NewFailure(api.CodeQueueFull, api.NotRun, "a more urgent request of the member needed the place in its queue")
		f.RetryAfter = c.retryAfter(now, late.Value.order)
		c.counts.displaced.Add(1)
		c.refuse(now, late.Value, f)
	}
	f := c.queue.Push(now, fairqueue.Entry[*pendingOrder]{
		ID: o.AttemptID, Member: o.Member, Cost: o.CostTokens, Priority: o.Priority, Deadline: p.deadline, Value: p,
	})
	if f == nil {
		c.pending[o.AttemptID] = p
		return nil
	}
	if f.Code == api.CodeQueueFull {
		f.RetryAfter = c.retryAfter(now, o)
	}
	return f
}

// retryAfter returns the Retry-After of an order for which the queue of its member has no
// place: the time until what is ahead of it has started.
func (c *control) retryAfter(now time.Duration, o api.Order) time.Duration {
	return limit.RetryAfter(c.limit.EstimateWait(c.limitArrival(now, o)), random())
}

// setMemberShare applies the order's share factor, the router's correction, to the
// member's share at this agent. A missing factor means 1.
func (c *control) setMemberShare(o api.Order) {
	m := c.snapshot.Config.Members[o.Member]
	factor := o.ShareFactor
	if factor <= 0 {
		factor = 1
	}
	c.queue.SetMember(o.Member, m.Share*factor, m.QueueRequests)
}

func (c *control) limitArrival(now time.Duration, o api.Order) limit.Arrival {
	ahead := c.queue.Ahead(now, o.Member, o.Priority)
	return limit.Arrival{
		Cost:           o.CostTokens,
		QueuedRequests: ahead.Requests,
		QueuedTokens:   ahead.Tokens,
		RunLimit:       c.coldStart.Limit(),
		DeadlineLeft:   o.DeadlineLeft,
	}
}

// refuse fails an order with f. For a non-idempotent order, a tombstone in the ledger
// prevents late copies from running.
func (c *control) refuse(now time.Duration, p *pendingOrder, f *api.Failure) {
	delete(c.pending, p.order.AttemptID)
	c.countRefusal(f)
	if p.order.Idempotent {
		p.call.Reply(grant{failure: f})
		return
	}
	c.counts.tombstones.Add(1)
	released := c.ledger.Refuse(now, p.order.AttemptID, *f)
	p.call.Reply(grant{failure: f})
	c.releaseJoined(released, api.Outcome{})
}

// releaseJoined replies to the attempts that joined a ledger entry: with r.Failure if
// it is set, otherwise with the outcome o.
func (c *control) releaseJoined(r ledger.Release, o api.Outcome) {
	for _, id := range r.Attempts {
		p, ok := c.pending[id]
		if !ok {
			continue
		}
		delete(c.pending, id)
		if r.Failure != nil {
			p.call.Reply(grant{failure: r.Failure})
			continue
		}
		c.counts.replays.Add(1)
		p.call.Reply(grant{action: grantReplay, outcome: o})
	}
}

func (c *control) countRefusal(f *api.Failure) {
	c.service.metrics.Counter("work_refused", string(f.Code)).Add(1)
}

// cancel removes an idempotent order that its router canceled before Execute received
// a grant.
func (c *control) cancel(now time.Duration, id api.AttemptID) {
	if _, ok := c.running[id]; ok {
		// The grant was already made, but Execute did not receive it, so the order
		// never ran.
		c.handleResult(now, runResult{attemptID: id, failure: api.NewFailure(api.CodeCanceled, api.NotRun, "canceled before the start")})
		return
	}
	c.queue.Cancel(id)
	c.held = slices.DeleteFunc(c.held, func(p *pendingOrder) bool { return p.order.AttemptID == id })
	c.isolation.Remove(id)
	delete(c.pending, id)
	c.schedule(now)
}

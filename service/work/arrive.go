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

// arrive decides what becomes of an order that reached the agent.
func (c *control) arrive(now time.Duration, call kernel.Call[api.Order, grant]) {
	w := &waiter{order: call.Query, call: call, deadline: now + call.Query.DeadlineLeft, received: now}
	if !w.order.Idempotent && !c.record(now, w) {
		return
	}
	if f := c.enqueue(now, w); f != nil {
		c.refuse(now, w, f)
		return
	}
	c.pump(now)
}

// record enters a non-idempotent order into the ledger. It returns false if
// the order is answered already or waits for another send of its key.
func (c *control) record(now time.Duration, w *waiter) bool {
	o := w.order
	a := ledger.Arrival{
		Send:         o.AttemptID,
		Member:       o.Member,
		Key:          o.Key,
		BodyHash:     o.BodyHash,
		Incarnation:  o.Incarnation,
		AgentElapsed: o.AgentElapsed,
		Deadline:     w.deadline,
	}
	// crypto/rand.Read never fails.
	_, _ = rand.Read(a.Random[:])
	c.ledger.ConfirmList(c.service.orders.ConfirmedAt() - c.service.started)
	d := c.ledger.Admit(now, a)
	switch d.Verdict {
	case ledger.Queue:
		return true
	case ledger.Join:
		c.waiters[o.AttemptID] = w
	case ledger.Replay:
		c.counts.repeats.Add(1)
		w.call.Reply(grant{verdict: repeat, outcome: d.Outcome})
	case ledger.Duplicate:
		w.call.Reply(grant{verdict: drop})
	default:
		c.countRefusal(d.Failure)
		w.call.Reply(grant{failure: d.Failure})
	}
	return false
}

// enqueue puts an order where it waits for its start.
func (c *control) enqueue(now time.Duration, w *waiter) *api.Failure {
	o := w.order
	if f := c.gate(o); f != nil {
		return f
	}
	switch verdict := c.check(now, w); verdict {
	case api.OrderHold:
		c.waiters[o.AttemptID] = w
		c.held = append(c.held, w)
		return nil
	case api.OrderRefuse:
		return c.stale()
	}
	alone, f := c.suspects.Check(now, o.Fingerprint, o.Upstream, o.Isolate)
	if f != nil {
		return f
	}
	if alone {
		c.waiters[o.AttemptID] = w
		return c.isolation.Add(poison.IsolatedRun{Fingerprint: o.Fingerprint, Send: o.AttemptID})
	}
	if f := c.limit.CheckDeadline(c.arrival(o), random()); f != nil {
		return f
	}
	c.weigh(o)
	f = c.queue.Push(now, fairqueue.Entry[*waiter]{
		ID: o.AttemptID, Member: o.Member, Cost: o.CostTokens, Priority: o.Priority, Deadline: w.deadline, Value: w,
	})
	if f == nil {
		c.waiters[o.AttemptID] = w
	}
	return f
}

// weigh applies the router's correction of a member's share at this agent.
func (c *control) weigh(o api.Order) {
	m := c.snap.Config.Members[o.Member]
	factor := o.ShareFactor
	if factor <= 0 {
		factor = 1
	}
	c.queue.SetMember(o.Member, m.Share*factor, m.QueueRequests)
}

func (c *control) arrival(o api.Order) limit.Arrival {
	return limit.Arrival{
		Cost:           o.CostTokens,
		QueuedRequests: c.queue.Len(),
		QueuedTokens:   c.queue.WaitingCost(),
		DeadlineLeft:   o.DeadlineLeft,
	}
}

// refuse returns an order as not run. For a non-idempotent one the ledger
// makes sure that no late copy starts.
func (c *control) refuse(now time.Duration, w *waiter, f *api.Failure) {
	delete(c.waiters, w.order.AttemptID)
	c.countRefusal(f)
	if w.order.Idempotent {
		w.call.Reply(grant{failure: f})
		return
	}
	c.counts.tombstones.Add(1)
	released := c.ledger.Refuse(now, w.order.AttemptID, *f)
	w.call.Reply(grant{failure: f})
	c.release(released, api.Outcome{})
}

// release answers the sends that waited for an entry of the ledger.
func (c *control) release(r ledger.Release, o api.Outcome) {
	for _, send := range r.Sends {
		w, ok := c.waiters[send]
		if !ok {
			continue
		}
		delete(c.waiters, send)
		if r.Failure != nil {
			w.call.Reply(grant{failure: r.Failure})
			continue
		}
		c.counts.repeats.Add(1)
		w.call.Reply(grant{verdict: repeat, outcome: o})
	}
}

func (c *control) countRefusal(f *api.Failure) {
	c.service.metrics.Counter("work_refused", string(f.Code)).Add(1)
}

// cancel handles a router that no longer waits for an idempotent order.
func (c *control) cancel(now time.Duration, send api.AttemptID) {
	if _, ok := c.running[send]; ok {
		// The grant crossed the cancellation, so the order never ran.
		c.finish(now, finish{send: send, failure: api.NewFailure(api.CodeCanceled, api.NotRun, "canceled before the start")})
		return
	}
	c.queue.Cancel(send)
	c.held = slices.DeleteFunc(c.held, func(w *waiter) bool { return w.order.AttemptID == send })
	c.isolation.Remove(send)
	delete(c.waiters, send)
	c.pump(now)
}

package work

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// check decides on an order by the revision it was made under. A router with
// an older configuration may not know that a zone is out or an upstream is
// leaving; under a newer one this process may be the one that does not know.
func (c *control) check(now time.Duration, w *waiter) api.OrderDecision {
	s := c.service
	return s.orders.CheckOrder(s.started+now, s.started+w.received, w.order.Revision, w.order.Idempotent)
}

// stale is the refusal of an order because of its revision.
func (c *control) stale() *api.Failure {
	f := api.NewFailure(api.CodeStaleRevision, api.NotRun, "the order was made under another configuration")
	if c.snap != nil {
		f.Revision = c.snap.Revision
	}
	return f
}

// mayStart is false while the process does not know whether its configuration
// is current. What waits then stays where it is.
func (c *control) mayStart(now time.Duration) bool {
	return c.service.orders.MayStart(c.service.started + now)
}

// pumpHeld looks again at the orders under a revision that was not in force.
func (c *control) pumpHeld(now time.Duration) {
	held := c.held
	c.held = nil
	for _, w := range held {
		if now >= w.deadline {
			c.refuse(now, w, api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed while the request waited"))
			continue
		}
		// An order that is to wait on is put back by enqueue.
		if f := c.enqueue(now, w); f != nil {
			c.refuse(now, w, f)
		}
	}
}

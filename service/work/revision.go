package work

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// checkRevision accepts, holds or refuses an order by the configuration revision of
// its router. With an older revision, the router may not know that a zone is out or
// an upstream is leaving; with a newer one, this process may not know it.
func (c *control) checkRevision(now time.Duration, p *pendingOrder) api.OrderDecision {
	s := c.service
	return s.orderCheck.CheckOrder(s.startedAt+now, s.startedAt+p.received, p.order.Revision, p.order.Idempotent)
}

// staleFailure returns the refusal of an order for its configuration revision.
func (c *control) staleFailure() *api.Failure {
	f := api.NewFailure(api.CodeStaleRevision, api.NotRun, "the order has another configuration revision")
	if c.snapshot != nil {
		f.Revision = c.snapshot.Revision
	}
	return f
}

// mayStart is false while the process does not know whether its configuration is
// current. Waiting orders then stay queued.
func (c *control) mayStart(now time.Duration) bool {
	return c.service.orderCheck.MayStart(c.service.startedAt + now)
}

// recheckHeld checks the held orders again and enqueues those whose revision is in
// force.
func (c *control) recheckHeld(now time.Duration) {
	held := c.held
	c.held = nil
	for _, p := range held {
		if now >= p.deadline {
			c.refuse(now, p, api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed while the request waited"))
			continue
		}
		// enqueue puts an order back if it must be held further.
		if f := c.enqueue(now, p); f != nil {
			c.refuse(now, p, f)
		}
	}
}

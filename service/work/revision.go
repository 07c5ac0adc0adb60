package work

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// checkRevision accepts, holds or refuses an order by the configuration revision that
// its router had. Of the two processes, the one with the older revision may not know that
// a zone is out or an upstream is leaving.
func (c *control) checkRevision(now time.Duration, p *pendingOrder) api.OrderDecision {
	s := c.service
	return s.orderCheck.CheckOrder(s.startedAt+now, s.startedAt+p.receivedAt, p.order.Revision, p.order.Idempotent)
}

// staleFailure returns the failure of an order that is refused for its configuration
// revision. It contains the revision of this process.
func (c *control) staleFailure() *api.Failure {
	f := api.NewFailure(api.CodeStaleRevision, api.NotRun, "the order's configuration revision differs from the agent's")
	if c.snapshot != nil {
		f.Revision = c.snapshot.Revision
	}
	return f
}

// mayStart returns false while the process does not know whether its configuration is
// current. Until then, waiting orders stay queued.
func (c *control) mayStart(now time.Duration) bool {
	return c.service.orderCheck.MayStart(c.service.startedAt + now)
}

// recheckHeld enqueues the held orders whose revision is now active, and refuses those
// past their deadline or hold timeout.
func (c *control) recheckHeld(now time.Duration) {
	held := c.held
	c.held = nil
	for _, p := range held {
		if now >= p.deadline {
			c.refuse(now, p, api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed while the request waited"))
			continue
		}
		// enqueue adds the order to the held orders again if it must still be held.
		if f := c.enqueue(now, p); f != nil {
			c.refuse(now, p, f)
		}
	}
}

package dispatch

import (
	"context"

	"github.com/mulberryfork/mulberryfork/api"
)

// awaitResend waits until a request that was refused for its configuration revision
// can be routed again. It returns false if the request must not be resent.
func (d *delivery) awaitResend(ctx context.Context, agentRevision uint64) bool {
	if d.service.resend == nil {
		return d.awaitRevision(ctx, agentRevision)
	}
	r := api.StaleRefusal{Upstream: d.lastUpstream, RefusedAt: d.service.clock.Now(), OrderRevision: d.lastRevision, AgentRevision: agentRevision}
	for ctx.Err() == nil {
		switch d.service.resend.CheckResend(ctx, r) {
		case api.ResendNow:
			d.unexcludeLast()
			return true
		case api.ResendElsewhere:
			return d.allowOtherUpstream()
		case api.ResendGiveUp:
			return false
		}
		d.awaitCurrentConfig(ctx, agentRevision)
	}
	return false
}

// awaitCurrentConfig waits until the peers have confirmed the configuration. If they
// already have, it waits until this process has the agent's revision.
func (d *delivery) awaitCurrentConfig(ctx context.Context, revision uint64) {
	if c := d.service.confirmed; c != nil && c.Confirmed() != nil {
		wait, cancel := context.WithTimeout(ctx, revisionTimeout)
		defer cancel()
		c.WaitConfirmed(wait)
		return
	}
	d.awaitRevision(ctx, revision)
}

// awaitRevision waits up to revisionTimeout until this process has the given revision,
// and reports whether it has.
func (d *delivery) awaitRevision(ctx context.Context, revision uint64) bool {
	wait, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	return d.service.store.WaitRevision(wait, revision)
}

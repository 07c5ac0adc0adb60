package work

import (
	"context"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// MergeSuspicions takes crash reports from a router or a peer.
func (s *service) MergeSuspicions(suspicions []api.Suspicion) {
	_ = s.suspicionMerges.Post(context.Background(), suspicions)
}

// KnownSuspicions returns up to n known suspicions, a different part each time.
func (s *service) KnownSuspicions(ctx context.Context, n int) []api.Suspicion {
	reported, err := kernel.Ask(ctx, s.suspicionDigests, n)
	if err != nil {
		return nil
	}
	return reported
}

// mergeSuspicions merges crash reports and recalls running requests that became
// suspects.
func (c *control) mergeSuspicions(now time.Duration, suspicions []api.Suspicion) {
	if len(c.suspects.Merge(now, suspicions)) > 0 {
		c.recallSuspects(now)
	}
}

// recallSuspects stops idempotent runs that became suspects after they started,
// before they crash this upstream as well. The next load report contains their
// suspicions, so that routers send the requests in isolation.
func (c *control) recallSuspects(now time.Duration) {
	batch := make([]uint64, 0, len(c.running))
	for _, r := range c.running {
		if r.recall != nil && !r.isolated {
			batch = append(batch, r.order.Fingerprint)
		}
	}
	recalled := c.suspects.FilterSuspects(now, batch)
	if len(recalled) == 0 {
		return
	}
	for _, r := range c.running {
		if r.recall != nil && !r.isolated && slices.Contains(recalled, r.order.Fingerprint) {
			r.recall(recalledFailure())
			r.recall = nil
			c.counts.recalled.Add(1)
		}
	}
	slices.Sort(recalled)
	for _, fingerprint := range slices.Compact(recalled) {
		c.unreportedSuspicions = append(c.unreportedSuspicions, c.suspects.Report(now, fingerprint)...)
	}
	c.publish()
}

// recalledFailure is the failure of a recalled run. Unlike the refusal of a suspect,
// it does not state that the request did not run.
func recalledFailure() *api.Failure {
	return api.NewFailure(api.CodeSuspect, api.RunUnknown, "the run was stopped because the request crashed another upstream")
}

// withRecall returns a context that also ends when the run is recalled.
func (g grant) withRecall(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.recallCtx, func() { cancel(context.Cause(g.recallCtx)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// failureCause replaces the cancellation of a recalled run by its cause. Other
// failures are returned unchanged.
func (g grant) failureCause(f *api.Failure) *api.Failure {
	if f == nil || f.Code != api.CodeCanceled || g.recallCtx == nil {
		return f
	}
	if recalled, ok := context.Cause(g.recallCtx).(*api.Failure); ok {
		return recalled
	}
	return f
}

package work

import (
	"context"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// MergeSuspicions merges suspicions from a router or a peer, asynchronously.
func (s *service) MergeSuspicions(suspicions []api.Suspicion) {
	_ = s.suspicionMerges.Post(context.Background(), suspicions)
}

// KnownSuspicions returns up to n known suspicions. Successive calls return different
// ones. It returns nil if ctx ends first.
func (s *service) KnownSuspicions(ctx context.Context, n int) []api.Suspicion {
	digest, err := kernel.Ask(ctx, s.suspicionDigests, n)
	if err != nil {
		return nil
	}
	return digest
}

// mergeSuspicions merges suspicions and recalls running requests that became suspects.
func (c *control) mergeSuspicions(now time.Duration, suspicions []api.Suspicion) {
	if len(c.suspects.Merge(now, suspicions)) > 0 {
		c.recallSuspects(now)
	}
}

// recallSuspects stops the idempotent runs whose requests became suspects after
// their start, before they crash this upstream as well. The next load report contains
// the suspicions, so that routers order isolated runs when they retry the requests.
func (c *control) recallSuspects(now time.Duration) {
	fingerprints := make([]uint64, 0, len(c.running))
	for _, r := range c.running {
		if r.recall != nil && !r.isolated {
			fingerprints = append(fingerprints, r.order.Fingerprint)
		}
	}
	recalled := c.suspects.FilterSuspects(now, fingerprints)
	if len(recalled) == 0 {
		return
	}
	for _, r := range c.running {
		if r.recall != nil && !r.isolated && slices.Contains(recalled, r.order.Fingerprint) {
			r.recall(recalledFailure())
			r.recall = nil
			c.counts.recalledRuns.Add(1)
		}
	}
	slices.Sort(recalled)
	for _, fingerprint := range slices.Compact(recalled) {
		c.unreportedSuspicions = append(c.unreportedSuspicions, c.suspects.Report(now, fingerprint)...)
	}
	c.publish()
}

// recalledFailure returns the failure of a recalled run. Unlike the refusal of a
// suspect, it reports the run state as unknown.
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

// failureCause returns the cause of the recall if f is the cancellation of a recalled
// run, and f otherwise.
func (g grant) failureCause(f *api.Failure) *api.Failure {
	if f == nil || f.Code != api.CodeCanceled || g.recallCtx == nil {
		return f
	}
	if recalled, ok := context.Cause(g.recallCtx).(*api.Failure); ok {
		return recalled
	}
	return f
}

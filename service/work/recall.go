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
	_ = s.merges.Post(context.Background(), suspicions)
}

// KnownSuspicions returns a part of the suspects known.
func (s *service) KnownSuspicions(ctx context.Context, n int) []api.Suspicion {
	reported, err := kernel.Ask(ctx, s.reports, n)
	if err != nil {
		return nil
	}
	return reported
}

// learn merges suspicions of crashes and stops running copies of new suspects.
func (c *control) learn(now time.Duration, heard []api.Suspicion) {
	if len(c.suspects.Merge(now, heard)) > 0 {
		c.recall(now)
	}
}

// recall stops idempotent runs that became suspects since they started, before
// they crash this upstream as well. The suspicions go out with the next report, so
// that the routers place the requests in isolation.
func (c *control) recall(now time.Duration) {
	batch := make([]uint64, 0, len(c.running))
	for _, a := range c.running {
		if a.recall != nil && !a.isolated {
			batch = append(batch, a.order.Fingerprint)
		}
	}
	recalled := c.suspects.FilterSuspects(now, batch)
	if len(recalled) == 0 {
		return
	}
	for _, a := range c.running {
		if a.recall != nil && !a.isolated && slices.Contains(recalled, a.order.Fingerprint) {
			a.recall(recalledFailure())
			a.recall = nil
			c.counts.recalled.Add(1)
		}
	}
	slices.Sort(recalled)
	for _, fp := range slices.Compact(recalled) {
		c.unreported = append(c.unreported, c.suspects.Report(now, fp)...)
	}
	c.publish()
}

// recalledFailure is the end of a run that was stopped. Unlike the refusal of a
// suspect it does not claim that nothing ran.
func recalledFailure() *api.Failure {
	return api.NewFailure(api.CodeSuspect, api.RunUnknown, "the run was recalled because the request crashed an upstream elsewhere")
}

// recallable returns a context that also ends when the run is recalled.
func (g grant) recallable(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.recalled, func() { cancel(context.Cause(g.recalled)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// explain reports the router of a run that was recalled. Any other failure that
// came first stands.
func (g grant) explain(f *api.Failure) *api.Failure {
	if f == nil || f.Code != api.CodeCanceled || g.recalled == nil {
		return f
	}
	if recalled, ok := context.Cause(g.recalled).(*api.Failure); ok {
		return recalled
	}
	return f
}

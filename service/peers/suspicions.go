package peers

import (
	"context"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// maxDigestSuspicions bounds the suspicions in one digest. With up to 8 crashes
// each they take less than 2 KB.
const maxDigestSuspicions = 4

// lookupSuspicionTracker looks up the service that tracks suspicions: work in an
// agent, routing in a router.
func (s *service) lookupSuspicionTracker(c *kernel.Context) error {
	name := api.ServiceRouting
	if s.role == api.RoleAgent {
		name = api.ServiceWork
	}
	found, present, err := kernel.LookupOptional[any](c, name)
	if err != nil || !present {
		return err
	}
	s.suspicionTracker, _ = found.(api.SuspicionTracker)
	return nil
}

// nextSuspicions returns the suspicions for the next digest. Successive digests contain
// different ones, so that a suspicion that was lost on a link arrives with a later
// digest.
func (s *service) nextSuspicions(ctx context.Context) []api.Suspicion {
	if s.suspicionTracker == nil {
		return nil
	}
	return s.suspicionTracker.KnownSuspicions(ctx, maxDigestSuspicions)
}

// mergeSuspicions passes the suspicions in a digest to the suspicion tracker.
func (s *service) mergeSuspicions(suspicions []api.Suspicion) {
	if s.suspicionTracker != nil && len(suspicions) > 0 {
		s.suspicionTracker.MergeSuspicions(suspicions)
	}
}

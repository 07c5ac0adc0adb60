package peers

import (
	"context"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// maxDigestSuspicions bounds the suspicions in one digest. With up to 8 crashes
// each they take less than 2 KB.
const maxDigestSuspicions = 4

// lookupSuspicionStore looks up the service that holds suspicions: work in an
// agent, routing in a router.
func (s *service) lookupSuspicionStore(c *kernel.Context) error {
	name := api.ServiceRouting
	if s.role == api.RoleAgent {
		name = api.ServiceWork
	}
	found, present, err := kernel.LookupOptional[any](c, name)
	if err != nil || !present {
		return err
	}
	s.suspicionStore, _ = found.(api.SuspicionTracker)
	return nil
}

// nextSuspicions returns the suspicions for the next digest. Each digest has another
// part of them, so that suspicions that were lost on links arrive later.
func (s *service) nextSuspicions(ctx context.Context) []api.Suspicion {
	if s.suspicionStore == nil {
		return nil
	}
	return s.suspicionStore.KnownSuspicions(ctx, maxDigestSuspicions)
}

// mergeSuspicions passes the suspicions in a digest to the suspicion store.
func (s *service) mergeSuspicions(suspicions []api.Suspicion) {
	if s.suspicionStore != nil && len(suspicions) > 0 {
		s.suspicionStore.MergeSuspicions(suspicions)
	}
}

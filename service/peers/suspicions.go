package peers

import (
	"context"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// digestSuspicions bounds the suspicions of one digest. With up to 8 crashes
// each they stay below 2 KB.
const digestSuspicions = 4

// findSuspects finds the service that knows suspects: work in an agent, routing
// in a router.
func (s *service) findSuspects(c *kernel.Context) error {
	name := api.ServiceRouting
	if s.role == api.RoleAgent {
		name = api.ServiceWork
	}
	found, present, err := kernel.LookupOptional[any](c, name)
	if err != nil || !present {
		return err
	}
	s.suspects, _ = found.(api.SuspicionTracker)
	return nil
}

// suspicions returns the part that goes with the next digest, so that suspicions lost
// on links arrive later.
func (s *service) suspicions(ctx context.Context) []api.Suspicion {
	if s.suspects == nil {
		return nil
	}
	return s.suspects.KnownSuspicions(ctx, digestSuspicions)
}

// mergeSuspicions passes on what a digest says of suspects.
func (s *service) mergeSuspicions(suspicions []api.Suspicion) {
	if s.suspects != nil && len(suspicions) > 0 {
		s.suspects.MergeSuspicions(suspicions)
	}
}

package integration_test

import (
	"context"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/proof/edgepool"
)

// drillSeed draws two drills, with an upstream that reports draining before the first one, and
// lasts for drillTime.
const (
	drillSeed = 49
	drillTime = 25 * time.Second
)

// Guards against edges that serve by an old configuration, or use departed upstreams, after
// their store came back from a copy, while the configuration, upstreams and edges change.
// It isn't parallel, since it checks time limits.
func TestEdgesAfterStoreCameBackFromCopies(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), runTimeout)
	t.Cleanup(cancel)
	s, err := edgepool.SoakDrills(ctx, edgeBinary, drillSeed, drillTime, t.Output())
	if err != nil {
		t.Fatal(err)
	}
	checkGuarantees(t, s.Record, s.Checkers)
}

package integration_test

import (
	"context"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/proof/pool"
)

// Guards against violations of any guarantee, urgent requests that are refused more often
// than others, members without their share and processes that end, while there are more
// requests than capacity, groups are re-formed and clients that nobody controls connect.
func TestGuaranteesUnderOverload(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), runTimeout)
	t.Cleanup(cancel)
	s, err := pool.Soak(ctx, pool.SoakOptions{
		Binary: binary, Deployment: "vale-do-sousa", Seed: seed, Length: 30 * time.Second, Overload: true, Progress: t.Output(),
	})
	if err != nil {
		t.Fatal(err)
	}
	checkGuarantees(t, s.Record, s.Checkers)
}

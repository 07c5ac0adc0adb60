package ledger_test

import (
	"testing"

	"github.com/mulberryfork/mulberryfork/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Settings{Seed: 20260801, Checks: 300, MeanSteps: 300})
}

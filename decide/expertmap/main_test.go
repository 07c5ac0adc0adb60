package expertmap

import (
	"testing"

	"github.com/mulberryfork/mulberryfork/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Settings{Seed: 1, Checks: 300, MeanSteps: 120})
}

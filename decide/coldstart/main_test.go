package coldstart

import (
	"testing"

	"github.com/mulberryfork/mulberryfork/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, rapidtest.Settings{Seed: 20261, Checks: 200})
}

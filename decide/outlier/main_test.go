package outlier

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	// Set before the command line is parsed, which may override both.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}

package fence

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	// Defaults: flags on the command line, parsed later, override them.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

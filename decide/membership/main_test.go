package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that a failure in CI can be repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.checks": "200"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// Package rapidtest runs the rapid tests of a package with a fixed seed, so that
// CI runs are reproducible. Flags on the command line take precedence.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Settings holds the values of rapid's flags that are not set on the command
// line.
type Settings struct {
	Seed   uint64
	Checks int
	// MeanSteps is the mean number of steps of a state machine run; 0 keeps rapid's
	// default.
	MeanSteps int
}

// Main sets the flags, runs the tests and exits. Call it from TestMain.
func Main(m *testing.M, s Settings) {
	flag.Parse()
	explicit := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	values := map[string]string{
		"rapid.seed":       strconv.FormatUint(s.Seed, 10),
		"rapid.checks":     strconv.Itoa(s.Checks),
		"rapid.nofailfile": "true",
	}
	if s.MeanSteps > 0 {
		values["rapid.steps"] = strconv.Itoa(s.MeanSteps)
	}
	for name, value := range values {
		if explicit[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

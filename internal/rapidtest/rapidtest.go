// Package rapidtest runs the stateful tests of a package with a fixed seed, so
// that CI gives the same verdict every time. Flags on the command line win.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Settings are the flags of rapid that are set unless they are given.
type Settings struct {
	Seed   uint64
	Checks int
	// Steps is the mean length of a run of a state machine, 0 for rapid's own.
	Steps int
}

// Main is the body of TestMain.
func Main(m *testing.M, s Settings) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	fixed := map[string]string{
		"rapid.seed":       strconv.FormatUint(s.Seed, 10),
		"rapid.checks":     strconv.Itoa(s.Checks),
		"rapid.nofailfile": "true",
	}
	if s.Steps > 0 {
		fixed["rapid.steps"] = strconv.Itoa(s.Steps)
	}
	for name, value := range fixed {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

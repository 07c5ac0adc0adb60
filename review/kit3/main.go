// Command kit3 runs the cases of the third review: it starts edges of mulberryfork as processes
// between stand-ins for the platform's store, workers and clients, and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseFunc plays a case and returns what broke the rule, empty if it held. trouble is false for
// the control, which leaves out the disruption.
type caseFunc func(b *bench, trouble bool) (broken []string, err error)

var cases = map[string]caseFunc{
	"mixed": playMixed,
	"drain": playDrain,
	"era":   playEra,
	"leak":  playLeak,
	"stale": playStale,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: kit3 CASE EDGE-PROGRAM RECORD-FILE")
		os.Exit(exitFailed)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitFailed)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

// run plays a case and writes its record.
func run(play caseFunc, program, recordFile string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program, err = filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	b := &bench{program: program, dir: dir, begin: time.Now(), memoryMB: 206}
	b.note("trouble %t", trouble)
	broken, err := play(b, trouble)
	b.close()
	code := exitHeld
	switch {
	case err != nil:
		b.note("the case could not run: %v", err)
		code = exitFailed
	case len(broken) > 0:
		for _, line := range broken {
			b.note("BROKEN: %s", line)
		}
		code = exitBroken
	default:
		b.note("the rule held")
	}
	if err := b.writeRecord(recordFile); err != nil {
		fmt.Fprintln(os.Stderr, errors.Join(err))
		return exitFailed
	}
	fmt.Println(b.last())
	return code
}

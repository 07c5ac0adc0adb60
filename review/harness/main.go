//go:build review

// Command harness plays the cases of the review: a small deployment with stand-ins for
// clients, workers and the platform around the project's own programs.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases holds the function of each case. It returns whether the rule was broken.
var cases = map[string]func(s *system, trouble bool) (bool, error){}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return cannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	rec.log("case %s, trouble %v", os.Args[1], trouble)
	s, err := newSystem(rec)
	if err != nil {
		rec.log("the case could not run: %v", err)
		return cannotRun
	}
	defer s.stop()
	go s.stopAtSignal()
	isBroken, err := cases[os.Args[1]](s, trouble)
	switch {
	case err != nil:
		rec.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	case isBroken:
		rec.log("RESULT: the rule was broken")
		return broken
	}
	rec.log("RESULT: the rule held")
	return held
}

// stopAtSignal ends all processes at a signal or after maxTime.
func (s *system) stopAtSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
		s.rec.log("stopped by a signal")
	case <-time.After(maxTime):
		s.rec.log("the case took too long")
	}
	s.stop()
	os.Exit(cannotRun)
}

package proof

import (
	"fmt"
	"time"
)

// Limits stated by the design page.
const (
	// ZoneLimit and LeavingLimit bound the time until a zone that is out or an
	// upstream that is leaving gets no new requests.
	ZoneLimit    = 3 * time.Second
	LeavingLimit = 3 * time.Second
	// ConfigLimit bounds the time until all processes have applied an accepted
	// configuration.
	ConfigLimit = 3 * time.Second
)

// Violation is an event that breaks a promise.
type Violation struct {
	At      time.Duration
	Message string
}

func (v Violation) String() string { return fmt.Sprintf("%8.3fs %s", v.At.Seconds(), v.Message) }

// Checker checks one promise.
type Checker struct {
	Name string
	// Promise is the number of the promise on the design page.
	Promise string
	Check   func(Record) []Violation
}

// Checkers returns one checker for each promise, in the order of the design page.
func Checkers() []Checker {
	return []Checker{
		{"one_map", "P1", OneMapPerStep},
		{"upstream_bound", "P2", UpstreamLimit},
		{"zone_out", "P3", ZoneOut},
		{"whole_answers", "P4", CompleteAnswers},
		{"not_run_true", "P5", NotRunAccurate},
		{"at_most_once_and_kept", "P6", AtMostOnceAndDurable},
		{"leaving", "P7", Leaving},
		{"graceful_stop", "P8", GracefulShutdown},
		{"config_in_force", "P9", ConfigApplied},
	}
}

func violation(at time.Duration, format string, args ...any) Violation {
	return Violation{At: at, Message: fmt.Sprintf(format, args...)}
}

// deadline returns the time by which a process must have applied a change
// published at a time: the end of the first interval of the given length in which
// no fault keeps changes from it.
func (r Record) deadline(node string, at, limit time.Duration) time.Duration {
	begin := at
	for postponed := true; postponed; {
		postponed = false
		for _, f := range r.Faults {
			if !f.BlocksUpdates || !f.affects(node) {
				continue
			}
			until := f.Until
			if until == 0 {
				until = r.End
			}
			if f.From < begin+limit && until > begin {
				begin, postponed = until, true
			}
		}
	}
	return begin + limit
}

// affects reports whether a fault affects a process. An empty name means any
// process.
func (f Fault) affects(node string) bool {
	if len(f.Nodes) == 0 || node == "" {
		return true
	}
	for _, n := range f.Nodes {
		if n == node {
			return true
		}
	}
	return false
}

// faultActive reports whether any fault affected a process in an interval.
func (r Record) faultActive(node string, from, until time.Duration) bool {
	for _, f := range r.Faults {
		if f.affects(node) && f.From <= until && (f.Until == 0 || f.Until >= from) {
			return true
		}
	}
	return false
}

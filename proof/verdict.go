package proof

import (
	"fmt"
	"time"
)

// Bounds that the design page states.
const (
	// ZoneLimit and LeavingLimit are when new work must have ceased.
	ZoneLimit    = 3 * time.Second
	LeavingLimit = 3 * time.Second
	// ConfigLimit is when an accepted configuration is in force everywhere.
	ConfigLimit = 3 * time.Second
)

// Violation is one event that breaks a promise.
type Violation struct {
	At   time.Duration
	What string
}

func (v Violation) String() string { return fmt.Sprintf("%8.3fs %s", v.At.Seconds(), v.What) }

// Verdict judges one promise.
type Verdict struct {
	Name string
	// Promise is its number on the design page.
	Promise string
	Judge   func(Record) []Violation
}

// Verdicts returns one verdict for each promise, in order.
func Verdicts() []Verdict {
	return []Verdict{
		{"one_map", "P1", OneMap},
		{"upstream_bound", "P2", UpstreamBound},
		{"zone_out", "P3", ZoneOut},
		{"whole_answers", "P4", WholeAnswers},
		{"not_run_true", "P5", NotRunTrue},
		{"at_most_once_and_kept", "P6", AtMostOnceAndKept},
		{"leaving", "P7", Leaving},
		{"graceful_stop", "P8", GracefulStop},
		{"config_in_force", "P9", ConfigInForce},
	}
}

func violation(at time.Duration, format string, args ...any) Violation {
	return Violation{At: at, What: fmt.Sprintf(format, args...)}
}

// deadline returns when something published at a time must be known to a
// process: after a limit in which no fault hides publications from it.
func (r Record) deadline(node string, at, limit time.Duration) time.Duration {
	begin := at
	for moved := true; moved; {
		moved = false
		for _, f := range r.Faults {
			if !f.Hides || !f.touches(node) {
				continue
			}
			until := f.Until
			if until == 0 {
				until = r.End
			}
			if f.From < begin+limit && until > begin {
				begin, moved = until, true
			}
		}
	}
	return begin + limit
}

// touches reports whether a fault acts on a process; an empty name stands for
// any process.
func (f Fault) touches(node string) bool {
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

// disturbed reports whether a fault acted on a process within a time.
func (r Record) disturbed(node string, from, until time.Duration) bool {
	for _, f := range r.Faults {
		if f.touches(node) && f.From <= until && (f.Until == 0 || f.Until >= from) {
			return true
		}
	}
	return false
}

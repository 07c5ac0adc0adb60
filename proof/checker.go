package proof

import (
	"fmt"
	"time"
)

// Time limits that the design page guarantees.
const (
	// ZoneLimit is the time after which a zone that was taken out of service must not
	// get new requests. LeavingLimit is that time for a leaving upstream.
	ZoneLimit    = 3 * time.Second
	LeavingLimit = 3 * time.Second
	// ConfigLimit bounds the time until all processes have applied an accepted
	// configuration.
	ConfigLimit = 3 * time.Second
)

// Violation is an event that violates a guarantee. At is the time since the start of
// the record. Node is the process that caused it, if the checker tells.
type Violation struct {
	At      time.Duration
	Message string
	Node    string
}

func (v Violation) String() string { return fmt.Sprintf("%8.3fs %s", v.At.Seconds(), v.Message) }

// Checker checks one guarantee. Check returns the violations found in a record.
type Checker struct {
	Name string
	// Guarantee is the number of the guarantee on the design page, such as P1.
	Guarantee string
	Check     func(Record) []Violation
}

// Checkers returns one checker for each guarantee, in the order of the design page.
func Checkers() []Checker {
	return []Checker{
		{"one_map", "P1", OneExpertMapPerStep},
		{"upstream_bound", "P2", UpstreamLimit},
		{"zone_out", "P3", ZoneOut},
		{"whole_answers", "P4", CompleteResponses},
		{"not_run_true", "P5", NotRunReportsAccurate},
		{"at_most_once_and_kept", "P6", AtMostOnceAndDurable},
		{"leaving", "P7", Leaving},
		{"graceful_stop", "P8", GracefulShutdown},
		{"config_in_force", "P9", ConfigApplied},
	}
}

func violation(at time.Duration, format string, args ...any) Violation {
	return Violation{At: at, Message: fmt.Sprintf(format, args...)}
}

// deadline returns the time by which a node must have applied a change published at
// the time at. If a fault blocks updates to the node before the deadline, the limit
// starts again at the end of the fault.
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

// affects reports whether a fault affects a node. If node is empty, it returns true.
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

// overlaps reports whether a fault was active at any time in an interval.
func (f Fault) overlaps(from, until time.Duration) bool {
	return f.From <= until && (f.Until == 0 || f.Until >= from)
}

// faultActive reports whether a fault affected a node at any time in an interval. If
// node is empty, it considers the faults of all nodes.
func (r Record) faultActive(node string, from, until time.Duration) bool {
	for _, f := range r.Faults {
		if f.affects(node) && f.overlaps(from, until) {
			return true
		}
	}
	return false
}

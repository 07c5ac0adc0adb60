package proof

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// answerLimit bounds the time for which callers of an edge get no answer while clients that
// nobody controls use it too. It exceeds the time after which stalled connections may be ended,
// and the 5 s that a caller in these runs waits for one answer.
const answerLimit = 6 * time.Second

// Usage is the most that a process held at a time, with its limits.
type Usage struct {
	Node string
	// At is when the largest value was first seen.
	At                           time.Duration
	Memory, MemoryLimit          int64
	Descriptors, DescriptorLimit int64
}

// OpenEdgeCheckers returns the checkers for edges whose listeners are open to clients that
// nobody controls, beside those of EdgeCheckers.
func OpenEdgeCheckers() []Checker {
	return []Checker{
		{"open_within_limits", "P4", WithinLimits},
		{"open_answered", "P4", OrdinaryAnswered},
	}
}

// WithinLimits finds processes that held more than their settings allow.
func WithinLimits(r Record) []Violation {
	var found []Violation
	for _, u := range r.Usages {
		if u.Memory > u.MemoryLimit {
			found = append(found, violation(u.At, "%s held %d KB of memory, its limit is %d", u.Node, u.Memory>>10, u.MemoryLimit>>10))
		}
		if u.Descriptors > u.DescriptorLimit {
			found = append(found, violation(u.At, "%s held %d descriptors, its limit is %d", u.Node, u.Descriptors, u.DescriptorLimit))
		}
	}
	return found
}

// OrdinaryAnswered finds edges at which no attempt of an ordinary caller on a new connection was
// complete for answerLimit although some were made, outside of the faults and restarts of the
// edge.
func OrdinaryAnswered(r Record) []Violation {
	byEdge := make(map[string][]Attempt)
	for _, a := range r.Attempts {
		if a.Fresh && !a.Canceled && !r.usesRevokedKey(a) {
			byEdge[a.Router] = append(byEdge[a.Router], a)
		}
	}
	var found []Violation
	for _, edge := range slices.Sorted(maps.Keys(byEdge)) {
		attempts := byEdge[edge]
		slices.SortFunc(attempts, func(a, b Attempt) int { return cmp.Compare(a.End, b.End) })
		var since time.Duration
		failing := false
		for _, a := range attempts {
			if a.Complete {
				failing = false
				continue
			}
			if !failing {
				since, failing = a.Begin, true
			}
			if r.faultActive(edge, since, a.End) || r.shutsDown(edge, since, a.End) {
				failing = false
				continue
			}
			if a.End-since > answerLimit {
				found = append(found, violation(a.End, "%s has completed no request of an ordinary caller since %.3fs", edge, since.Seconds()))
				break
			}
		}
	}
	return found
}

// shutsDown reports whether a process was shut down gracefully at any time in an interval.
func (r Record) shutsDown(node string, from, until time.Duration) bool {
	return slices.ContainsFunc(r.Shutdowns, func(s Shutdown) bool { return s.Node == node && s.Begin <= until && s.End >= from })
}

// usesRevokedKey reports whether the key of an attempt was revoked before its end.
func (r Record) usesRevokedKey(a Attempt) bool {
	return slices.ContainsFunc(r.Revoked, func(k Exclusion) bool { return k.Name == a.Key && k.From <= a.End })
}

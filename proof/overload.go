package proof

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// minCompared is the number of attempts of a kind below which its rates are not compared.
	minCompared = 50
	// rateDeviations is the number of standard deviations by which two refusal rates must
	// differ, so that chance explains a difference in less than one of a thousand runs.
	rateDeviations = 3.3
	// leastShare is the part of what the other members get on average that each member gets
	// at equal demand.
	leastShare = 0.25
)

// Exit is the end of a process that nobody asked to end.
type Exit struct {
	Node string
	At   time.Duration
	Code int
}

// OverloadCheckers returns the checkers for runs with more requests than capacity.
func OverloadCheckers() []Checker {
	return []Checker{
		{"urgent_first", "", UrgentFirst},
		{"member_share", "", MemberShare},
		{"processes_alive", "", ProcessesAlive},
	}
}

// refusedForCapacity reports whether an attempt was refused because capacity was
// insufficient for it.
func refusedForCapacity(a Attempt) bool {
	switch a.Code {
	case api.CodeOverloaded, api.CodeQueueFull, api.CodeColdUpstream, api.CodeDeadlineExceeded:
		return a.Run == api.NotRun
	}
	return false
}

// Tally counts competing attempts.
type Tally struct{ Attempts, Complete, Refused int }

// RefusedShare returns the part that was refused for want of capacity.
func (t Tally) RefusedShare() float64 { return float64(t.Refused) / float64(max(t.Attempts, 1)) }

// TalliesByPriority returns the tally of each priority.
func (r Record) TalliesByPriority() map[int32]Tally {
	return tallies(r, func(a Attempt) int32 { return a.Priority })
}

// TalliesByMember returns the tally of each member.
func (r Record) TalliesByMember() map[string]Tally {
	return tallies(r, func(a Attempt) string { return a.Member })
}

func tallies[K comparable](r Record, key func(Attempt) K) map[K]Tally {
	counts := make(map[K]Tally)
	for _, a := range r.Attempts {
		if !a.Competing {
			continue
		}
		t := counts[key(a)]
		t.Attempts++
		if a.Complete {
			t.Complete++
		}
		if refusedForCapacity(a) {
			t.Refused++
		}
		counts[key(a)] = t
	}
	return counts
}

// UrgentFirst finds priorities that are refused more often than a lower one, among the
// competing attempts of all members.
func UrgentFirst(r Record) []Violation {
	counts := r.TalliesByPriority()
	priorities := slices.Sorted(maps.Keys(counts))
	var found []Violation
	for i, low := range priorities {
		for _, high := range priorities[i+1:] {
			l, h := counts[low], counts[high]
			if min(l.Attempts, h.Attempts) < minCompared {
				continue
			}
			both := float64(l.Refused+h.Refused) / float64(l.Attempts+h.Attempts)
			deviation := math.Sqrt(both * (1 - both) * (1/float64(l.Attempts) + 1/float64(h.Attempts)))
			if h.RefusedShare() > l.RefusedShare()+rateDeviations*deviation {
				found = append(found, violation(r.End, "priority %d was refused at a rate of %.3f (%d attempts), priority %d at %.3f (%d attempts)",
					high, h.RefusedShare(), h.Attempts, low, l.RefusedShare(), l.Attempts))
			}
		}
	}
	return found
}

// MemberShare finds members that got less than leastShare of what the others got, among
// the competing attempts, whose demand is the same for all members.
func MemberShare(r Record) []Violation {
	counts := r.TalliesByMember()
	total := 0
	for _, t := range counts {
		total += t.Complete
	}
	var found []Violation
	for _, member := range slices.Sorted(maps.Keys(counts)) {
		complete := counts[member].Complete
		others := float64(total-complete) / float64(max(len(counts)-1, 1))
		if others >= minCompared && float64(complete) < leastShare*others {
			found = append(found, violation(r.End, "member %s got %d complete responses, the others %.0f on average", member, complete, others))
		}
	}
	return found
}

// ProcessesAlive finds processes that ended by themselves.
func ProcessesAlive(r Record) []Violation {
	var found []Violation
	for _, e := range r.Exits {
		found = append(found, violation(e.At, "%s ended by itself with exit code %d", e.Node, e.Code))
	}
	return found
}

package proof

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Bounds of a platform with a store, as its settings state them.
const (
	// EdgeLeavingLimit, EdgeZoneLimit and EdgeConfigLimit are when edges must
	// heed what operators and upstreams write.
	EdgeLeavingLimit = 2 * time.Second
	EdgeZoneLimit    = 5 * time.Second
	EdgeConfigLimit  = 2 * time.Second
	// EdgeRevocation is when a revoked key must be refused, whatever fails.
	EdgeRevocation = 5 * time.Second
	// EdgeRetryRatio and EdgeRetryExtra bound the repeats of all edges to one
	// service within a window.
	EdgeRetryRatio  = 0.2
	EdgeRetryExtra  = 72
	EdgeRetryWindow = 10 * time.Second
	// EdgeColdOvershoot and EdgeColdTolerance bound the requests a second to a
	// cold upstream: a multiple of its rate, and a number beside it.
	EdgeColdOvershoot = 1.5
	EdgeColdTolerance = 5.0
	// edgeCallerLeft is when work for a caller that left must have ended.
	edgeCallerLeft = 500 * time.Millisecond
)

// Arrival is a send that reached an upstream, whether it ran or not.
type Arrival struct {
	Send, Upstream string
	At             time.Duration
}

// Cold is the time in which an upstream is in cold start.
type Cold struct {
	Upstream    string
	Rate        float64
	From, Until time.Duration
}

// Placed says which service runs the requests of a path from a time on.
type Placed struct {
	Path, Service string
	At            time.Duration
}

// EdgeVerdicts returns one verdict for each promise that edges keep. Those that
// do not depend on how fast the machine is come first; see TimelessEdgeVerdicts.
func EdgeVerdicts() []Verdict {
	return append(TimelessEdgeVerdicts(),
		Verdict{"edge_zone_out", "P3", func(r Record) []Violation {
			return r.late(r.Zones, EdgeZoneLimit, "zone", func(run Run) string { return run.Zone })
		}},
		Verdict{"edge_leaving", "P7", func(r Record) []Violation {
			return r.late(r.Leaving, EdgeLeavingLimit, "upstream", func(run Run) string { return run.Upstream })
		}},
		Verdict{"edge_config_in_force", "P9", PlacedInForce},
		Verdict{"edge_cold_rate", "P2", ColdRate},
		Verdict{"edge_caller_left", "P4", CallerLeft},
	)
}

// TimelessEdgeVerdicts are those whose outcome a slow machine can't change.
func TimelessEdgeVerdicts() []Verdict {
	return []Verdict{
		{"edge_whole_answers", "P4", WholeAnswers},
		{"edge_not_run_true", "P5", NotRunTrue},
		{"edge_at_most_once", "P6", AtMostOnceAndKept},
		{"edge_asked_for", "P6", AskedFor},
		{"edge_placed", "P9", PlacedEver},
		{"edge_revoked_keys", "P9", RevokedKeys},
		{"edge_retry_budget", "P2", RetryBudget},
		{"edge_graceful_stop", "P8", GracefulStop},
	}
}

func (r Record) sends() map[string]Send {
	all := make(map[string]Send, len(r.Sends))
	for _, s := range r.Sends {
		all[s.ID] = s
	}
	return all
}

// AskedFor finds runs that no caller asked for, or for another member.
func AskedFor(r Record) []Violation {
	var found []Violation
	sends := r.sends()
	for _, run := range r.Runs {
		s, ok := sends[run.Send]
		switch {
		case !ok:
			found = append(found, violation(run.Begin, "%s ran %q, which no caller sent", run.Upstream, run.Send))
		case run.Member != s.Member:
			found = append(found, violation(run.Begin, "%s ran send %s for %q, its caller is %q", run.Upstream, run.Send, run.Member, s.Member))
		}
	}
	return found
}

// placement returns the placements of a send's path in order.
func (r Record) placement(s Send) []Placed {
	var list []Placed
	for _, p := range r.Placed {
		if strings.HasPrefix(s.Path, p.Path) {
			list = append(list, p)
		}
	}
	return list
}

// PlacedEver finds runs at a service to which no configuration ever sent them.
func PlacedEver(r Record) []Violation {
	return r.misplaced(func(_ Send, run Run, list []Placed) bool {
		return slices.ContainsFunc(list, func(p Placed) bool { return p.Service == run.Service && p.At <= run.Begin })
	})
}

// PlacedInForce finds runs under a configuration that was to be replaced when
// the request was sent.
func PlacedInForce(r Record) []Violation {
	return r.misplaced(func(s Send, run Run, list []Placed) bool {
		for i, p := range list {
			replaced := i+1 < len(list) && s.Begin > r.deadline(s.Router, list[i+1].At, EdgeConfigLimit)
			if p.Service == run.Service && !replaced {
				return true
			}
		}
		return false
	})
}

func (r Record) misplaced(allowed func(Send, Run, []Placed) bool) []Violation {
	var found []Violation
	sends := r.sends()
	for _, run := range r.Runs {
		if s, ok := sends[run.Send]; ok && !allowed(s, run, r.placement(s)) {
			found = append(found, violation(run.Begin, "send %s of %.3fs for %s ran at %s of service %s", s.ID, s.Begin.Seconds(), s.Path, run.Upstream, run.Service))
		}
	}
	return found
}

// RevokedKeys finds runs of requests that were sent with a key after it must
// have been refused. No fault excuses that.
func RevokedKeys(r Record) []Violation {
	var found []Violation
	sends := r.sends()
	for _, run := range r.Runs {
		s := sends[run.Send]
		for _, k := range r.Revoked {
			if s.Key == k.Name && s.Begin > k.From+EdgeRevocation {
				found = append(found, violation(run.Begin, "send %s ran %.3fs after its key %s was revoked", s.ID, (s.Begin-k.From).Seconds(), k.Name))
			}
		}
	}
	return found
}

// RetryBudget finds windows in which more repeats arrived than are allowed. The
// requests are those of the window, the one before or half a window before,
// whichever has most.
func RetryBudget(r Record) []Violation {
	seen := make(map[string]bool)
	var repeats []time.Duration
	for _, a := range sorted(r.Arrivals) {
		if seen[a.Send] {
			repeats = append(repeats, a.At)
		}
		seen[a.Send] = true
	}
	services := make(map[string]bool)
	for _, p := range r.Placed {
		services[p.Service] = true
	}
	extra := float64(EdgeRetryExtra * len(services))
	for first := range repeats {
		from := repeats[first]
		n := 0
		for _, at := range repeats[first:] {
			if at < from+EdgeRetryWindow {
				n++
			}
		}
		requests := max(r.sentWithin(from), r.sentWithin(from-EdgeRetryWindow/2), r.sentWithin(from-EdgeRetryWindow))
		if allowed := EdgeRetryRatio*float64(requests) + extra; float64(n) > allowed {
			return []Violation{violation(from, "%d repeats within %s, %.0f allowed", n, EdgeRetryWindow, allowed)}
		}
	}
	return nil
}

func sorted(arrivals []Arrival) []Arrival {
	return slices.SortedFunc(slices.Values(arrivals), func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

func (r Record) sentWithin(from time.Duration) int {
	n := 0
	for _, s := range r.Sends {
		if s.Begin >= from && s.Begin < from+EdgeRetryWindow {
			n++
		}
	}
	return n
}

// ColdRate finds seconds in which a cold upstream got more requests than it
// bears, of those that were sent and arrived in that second.
func ColdRate(r Record) []Violation {
	var found []Violation
	sends := r.sends()
	for _, c := range r.Cold {
		most := c.Rate*EdgeColdOvershoot + EdgeColdTolerance
		var within []Arrival
		for _, a := range sorted(r.Arrivals) {
			if a.Upstream == c.Upstream && a.At >= c.From && a.At < c.Until {
				within = append(within, a)
			}
		}
		for i, first := range within {
			n := 0
			for _, a := range within[i:] {
				if a.At < first.At+time.Second && sends[a.Send].Begin >= first.At {
					n++
				}
			}
			if float64(n) > most {
				found = append(found, violation(first.At, "%s in cold start got %d requests in a second, bears %.0f", c.Upstream, n, most))
				break
			}
		}
	}
	return found
}

// CallerLeft finds runs that went on after their caller had left.
func CallerLeft(r Record) []Violation {
	var found []Violation
	sends := r.sends()
	for _, run := range r.Runs {
		s, ok := sends[run.Send]
		if ok && s.Left && run.End > s.End+edgeCallerLeft && run.Begin < s.End && !r.disturbed("", s.Begin, run.End) {
			found = append(found, violation(run.End, "%s worked on send %s for %s after its caller left", run.Upstream, run.Send, run.End-s.End))
		}
	}
	return found
}

// Served describes how the sends of a record ended.
func (r Record) Served() string {
	var whole, notRun int
	for _, s := range r.Sends {
		switch {
		case s.Whole:
			whole++
		case s.Run == api.NotRun:
			notRun++
		}
	}
	return fmt.Sprintf("%d sends, %d whole, %d not run, %d runs, %d faults", len(r.Sends), whole, notRun, len(r.Runs), len(r.Faults))
}

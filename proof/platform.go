package proof

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Limits guaranteed for edges, equal to those in their settings.
const (
	// EdgeLeavingLimit, EdgeZoneLimit and EdgeConfigLimit bound the time until
	// edges have applied a change that operators or upstreams wrote to the store.
	EdgeLeavingLimit = 2 * time.Second
	EdgeZoneLimit    = 5 * time.Second
	EdgeConfigLimit  = 2 * time.Second
	// EdgeRevocationLimit bounds the time until a revoked key is rejected, also
	// during faults.
	EdgeRevocationLimit = 5 * time.Second
	// EdgeRetryRatio and EdgeRetryExtra define the retry budget of a service, which
	// all edges share: within EdgeRetryWindow, the number of its requests times the
	// ratio, plus the extra retries.
	EdgeRetryRatio  = 0.2
	EdgeRetryExtra  = 72
	EdgeRetryWindow = 10 * time.Second
	// EdgeColdOvershoot and EdgeColdTolerance bound the requests per second to an
	// upstream in cold start: its rate limit times the overshoot, plus the tolerance.
	EdgeColdOvershoot = 1.5
	EdgeColdTolerance = 5.0
	// edgeCancelLimit bounds the time for which an upstream continues to run a request
	// that its caller canceled.
	edgeCancelLimit = 500 * time.Millisecond
)

// Arrival records that an attempt reached an upstream, whether it ran or not.
type Arrival struct {
	Attempt, Upstream string
	At                time.Duration
}

// ColdStart is an interval in which an upstream was in cold start, with its rate
// limit in requests per second.
type ColdStart struct {
	Upstream    string
	Rate        float64
	From, Until time.Duration
}

// RouteChange records that requests whose path begins with Path are routed to a
// service from the time At.
type RouteChange struct {
	Path, Service string
	At            time.Duration
}

// EdgeCheckers returns the checkers for the guarantees of edges, beginning with
// TimingIndependentEdgeCheckers.
func EdgeCheckers() []Checker {
	return append(TimingIndependentEdgeCheckers(),
		Checker{"edge_zone_out", "P3", func(r Record) []Violation {
			return r.lateRuns(r.Zones, EdgeZoneLimit, "zone", func(run Run) string { return run.Zone })
		}},
		Checker{"edge_leaving", "P7", func(r Record) []Violation {
			return r.lateRuns(r.Leaving, EdgeLeavingLimit, "upstream", func(run Run) string { return run.Upstream })
		}},
		Checker{"edge_config_in_force", "P9", RoutesApplied},
		Checker{"edge_cold_rate", "P2", ColdStartRate},
		Checker{"edge_caller_left", "P4", CanceledWorkStops},
	)
}

// TimingIndependentEdgeCheckers returns the checkers whose result does not depend on the
// speed of the machine.
func TimingIndependentEdgeCheckers() []Checker {
	return []Checker{
		{"edge_whole_answers", "P4", CompleteResponses},
		{"edge_not_run_true", "P5", NotRunReportsAccurate},
		{"edge_at_most_once", "P6", AtMostOnceAndDurable},
		{"edge_asked_for", "P6", OnlyRequestedRuns},
		{"edge_placed", "P9", RoutesConfigured},
		{"edge_revoked_keys", "P9", RevokedKeys},
		{"edge_retry_budget", "P2", RetryBudget},
		{"edge_graceful_stop", "P8", GracefulShutdown},
		{"edge_processes_alive", "", ProcessesAlive},
	}
}

func (r Record) attemptsByID() map[string]Attempt {
	byID := make(map[string]Attempt, len(r.Attempts))
	for _, a := range r.Attempts {
		byID[a.ID] = a
	}
	return byID
}

// OnlyRequestedRuns finds runs of attempts that no caller sent, and runs for a
// member other than the caller's.
func OnlyRequestedRuns(r Record) []Violation {
	var found []Violation
	attempts := r.attemptsByID()
	for _, run := range r.Runs {
		a, ok := attempts[run.Attempt]
		switch {
		case !ok:
			found = append(found, violation(run.Begin, "%s ran attempt %q, which no caller sent", run.Upstream, run.Attempt))
		case run.Member != a.Member:
			found = append(found, violation(run.Begin, "%s ran attempt %s for member %q, but member %q sent it", run.Upstream, run.Attempt, run.Member, a.Member))
		}
	}
	return found
}

// routeChangesFor returns the route changes that apply to the path of an attempt, in
// the order of the record.
func (r Record) routeChangesFor(a Attempt) []RouteChange {
	var list []RouteChange
	for _, c := range r.RouteChanges {
		if strings.HasPrefix(a.Path, c.Path) {
			list = append(list, c)
		}
	}
	return list
}

// RoutesConfigured finds runs at a service to which no configuration published
// before the run had routed the path.
func RoutesConfigured(r Record) []Violation {
	return r.misroutedRuns(func(_ Attempt, run Run, list []RouteChange) bool {
		return slices.ContainsFunc(list, func(c RouteChange) bool { return c.Service == run.Service && c.At <= run.Begin })
	})
}

// RoutesApplied finds runs at a service whose route should already have been
// replaced at the edge when the request was sent.
func RoutesApplied(r Record) []Violation {
	return r.misroutedRuns(func(a Attempt, run Run, list []RouteChange) bool {
		for i, c := range list {
			replaced := i+1 < len(list) && a.Begin > r.deadline(a.Router, list[i+1].At, EdgeConfigLimit)
			if c.Service == run.Service && !replaced {
				return true
			}
		}
		return false
	})
}

func (r Record) misroutedRuns(allowed func(Attempt, Run, []RouteChange) bool) []Violation {
	var found []Violation
	attempts := r.attemptsByID()
	for _, run := range r.Runs {
		if a, ok := attempts[run.Attempt]; ok && !allowed(a, run, r.routeChangesFor(a)) {
			found = append(found, violation(run.Begin, "attempt %s at %.3fs for path %s was routed to the wrong service: it ran at %s of service %s", a.ID, a.Begin.Seconds(), a.Path, run.Upstream, run.Service))
		}
	}
	return found
}

// RevokedKeys finds runs of requests that were sent with a revoked key more than
// EdgeRevocationLimit after its revocation. Faults do not extend the limit.
func RevokedKeys(r Record) []Violation {
	var found []Violation
	attempts := r.attemptsByID()
	for _, run := range r.Runs {
		a := attempts[run.Attempt]
		for _, k := range r.Revoked {
			if a.Key == k.Name && a.Begin > k.From+EdgeRevocationLimit {
				found = append(found, violation(run.Begin, "attempt %s ran although it was sent %.3fs after its key %s was revoked", a.ID, (a.Begin-k.From).Seconds(), k.Name))
			}
		}
	}
	return found
}

// RetryBudget reports the first window in which more retries reached upstreams than
// the budget allows. The budget is computed from the number of requests in the window
// itself, in the window before it or in the window that begins half a window earlier,
// whichever is highest.
func RetryBudget(r Record) []Violation {
	seen := make(map[string]bool)
	var retries []time.Duration
	for _, a := range sortedByTime(r.Arrivals) {
		if seen[a.Attempt] {
			retries = append(retries, a.At)
		}
		seen[a.Attempt] = true
	}
	services := make(map[string]bool)
	for _, c := range r.RouteChanges {
		services[c.Service] = true
	}
	extra := float64(EdgeRetryExtra * len(services))
	for first := range retries {
		from := retries[first]
		n := 0
		for _, at := range retries[first:] {
			if at < from+EdgeRetryWindow {
				n++
			}
		}
		requests := max(r.attemptsWithin(from), r.attemptsWithin(from-EdgeRetryWindow/2), r.attemptsWithin(from-EdgeRetryWindow))
		if allowed := EdgeRetryRatio*float64(requests) + extra; float64(n) > allowed {
			return []Violation{violation(from, "%d retries within %s exceed the retry budget of %.0f", n, EdgeRetryWindow, allowed)}
		}
	}
	return nil
}

func sortedByTime(arrivals []Arrival) []Arrival {
	return slices.SortedFunc(slices.Values(arrivals), func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}

func (r Record) attemptsWithin(from time.Duration) int {
	n := 0
	for _, a := range r.Attempts {
		if a.Begin >= from && a.Begin < from+EdgeRetryWindow {
			n++
		}
	}
	return n
}

// ColdStartRate finds seconds in which an upstream in cold start received more
// requests than its rate limit allows. It counts requests that were both sent and
// received within that second.
func ColdStartRate(r Record) []Violation {
	var found []Violation
	attempts := r.attemptsByID()
	for _, c := range r.ColdStarts {
		limit := c.Rate*EdgeColdOvershoot + EdgeColdTolerance
		var within []Arrival
		for _, a := range sortedByTime(r.Arrivals) {
			if a.Upstream == c.Upstream && a.At >= c.From && a.At < c.Until {
				within = append(within, a)
			}
		}
		for i, first := range within {
			n := 0
			for _, a := range within[i:] {
				if a.At < first.At+time.Second && attempts[a.Attempt].Begin >= first.At {
					n++
				}
			}
			if float64(n) > limit {
				found = append(found, violation(first.At, "%s received %d requests in one second of its cold start, the limit is %.0f", c.Upstream, n, limit))
				break
			}
		}
	}
	return found
}

// CanceledWorkStops finds runs that continued more than edgeCancelLimit after
// their request was canceled.
func CanceledWorkStops(r Record) []Violation {
	var found []Violation
	attempts := r.attemptsByID()
	for _, run := range r.Runs {
		a, ok := attempts[run.Attempt]
		if ok && a.Canceled && run.End > a.End+edgeCancelLimit && run.Begin < a.End && !r.faultActive("", a.Begin, run.End) {
			found = append(found, violation(run.End, "%s continued to run attempt %s for %s after it was canceled", run.Upstream, run.Attempt, run.End-a.End))
		}
	}
	return found
}

// Summary returns a line with the number of attempts by result, of runs and of
// faults.
func (r Record) Summary() string {
	var complete, notRun int
	for _, a := range r.Attempts {
		switch {
		case a.Complete:
			complete++
		case a.Run == api.NotRun:
			notRun++
		}
	}
	return fmt.Sprintf("%d attempts, %d complete, %d not run, %d runs, %d faults", len(r.Attempts), complete, notRun, len(r.Runs), len(r.Faults))
}

package proof

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Limits of a platform with a store, equal to those in its settings.
const (
	// EdgeLeavingLimit, EdgeZoneLimit and EdgeConfigLimit bound the time until
	// edges apply a change that operators or upstreams write to the store.
	EdgeLeavingLimit = 2 * time.Second
	EdgeZoneLimit    = 5 * time.Second
	EdgeConfigLimit  = 2 * time.Second
	// EdgeRevocationLimit bounds the time until a revoked key is rejected, during
	// any fault.
	EdgeRevocationLimit = 5 * time.Second
	// EdgeRetryRatio and EdgeRetryExtra are the retry budget that all edges share
	// for one service within EdgeRetryWindow: a share of its requests, plus a
	// fixed number.
	EdgeRetryRatio  = 0.2
	EdgeRetryExtra  = 72
	EdgeRetryWindow = 10 * time.Second
	// EdgeColdOvershoot and EdgeColdTolerance bound the requests per second to an
	// upstream in cold start: a multiple of its rate, plus a fixed number.
	EdgeColdOvershoot = 1.5
	EdgeColdTolerance = 5.0
	// edgeCancelLimit bounds the time an upstream works on a canceled request.
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

// RouteChange routes the requests under a path to a service from a time on.
type RouteChange struct {
	Path, Service string
	At            time.Duration
}

// EdgeCheckers returns one checker for each promise of the edges, beginning with
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
		{"edge_whole_answers", "P4", CompleteAnswers},
		{"edge_not_run_true", "P5", NotRunAccurate},
		{"edge_at_most_once", "P6", AtMostOnceAndDurable},
		{"edge_asked_for", "P6", OnlyRequestedRuns},
		{"edge_placed", "P9", RoutesConfigured},
		{"edge_revoked_keys", "P9", RevokedKeys},
		{"edge_retry_budget", "P2", RetryBudget},
		{"edge_graceful_stop", "P8", GracefulShutdown},
	}
}

func (r Record) attemptsByID() map[string]Attempt {
	byID := make(map[string]Attempt, len(r.Attempts))
	for _, s := range r.Attempts {
		byID[s.ID] = s
	}
	return byID
}

// OnlyRequestedRuns finds runs that no caller requested, or that ran for another
// member than the caller's.
func OnlyRequestedRuns(r Record) []Violation {
	var found []Violation
	attempts := r.attemptsByID()
	for _, run := range r.Runs {
		s, ok := attempts[run.Attempt]
		switch {
		case !ok:
			found = append(found, violation(run.Begin, "%s ran attempt %q, which no caller sent", run.Upstream, run.Attempt))
		case run.Member != s.Member:
			found = append(found, violation(run.Begin, "%s ran attempt %s for member %q, but member %q sent it", run.Upstream, run.Attempt, run.Member, s.Member))
		}
	}
	return found
}

// routeChangesFor returns the route changes of an attempt's path in order.
func (r Record) routeChangesFor(s Attempt) []RouteChange {
	var list []RouteChange
	for _, p := range r.RouteChanges {
		if strings.HasPrefix(s.Path, p.Path) {
			list = append(list, p)
		}
	}
	return list
}

// RoutesConfigured finds runs at a service to which no configuration had routed
// them before they began.
func RoutesConfigured(r Record) []Violation {
	return r.misroutedRuns(func(_ Attempt, run Run, list []RouteChange) bool {
		return slices.ContainsFunc(list, func(p RouteChange) bool { return p.Service == run.Service && p.At <= run.Begin })
	})
}

// RoutesApplied finds runs routed by a configuration that edges should already
// have replaced when the request was sent.
func RoutesApplied(r Record) []Violation {
	return r.misroutedRuns(func(s Attempt, run Run, list []RouteChange) bool {
		for i, p := range list {
			replaced := i+1 < len(list) && s.Begin > r.deadline(s.Router, list[i+1].At, EdgeConfigLimit)
			if p.Service == run.Service && !replaced {
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
		if s, ok := attempts[run.Attempt]; ok && !allowed(s, run, r.routeChangesFor(s)) {
			found = append(found, violation(run.Begin, "attempt %s at %.3fs for path %s was routed to the wrong service: it ran at %s of service %s", s.ID, s.Begin.Seconds(), s.Path, run.Upstream, run.Service))
		}
	}
	return found
}

// RevokedKeys finds runs of requests that were sent with a key more than
// EdgeRevocationLimit after its revocation. The limit also holds during faults.
func RevokedKeys(r Record) []Violation {
	var found []Violation
	attempts := r.attemptsByID()
	for _, run := range r.Runs {
		s := attempts[run.Attempt]
		for _, k := range r.Revoked {
			if s.Key == k.Name && s.Begin > k.From+EdgeRevocationLimit {
				found = append(found, violation(run.Begin, "attempt %s ran although it was sent %.3fs after its key %s was revoked", s.ID, (s.Begin-k.From).Seconds(), k.Name))
			}
		}
	}
	return found
}

// RetryBudget finds windows in which more retries reached upstreams than the
// budget allows. The budget is computed from the requests of the window itself, of
// the window before it or of the one that begins half a window earlier, whichever
// has most.
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
	for _, p := range r.RouteChanges {
		services[p.Service] = true
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
	for _, s := range r.Attempts {
		if s.Begin >= from && s.Begin < from+EdgeRetryWindow {
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
		s, ok := attempts[run.Attempt]
		if ok && s.Canceled && run.End > s.End+edgeCancelLimit && run.Begin < s.End && !r.faultActive("", s.Begin, run.End) {
			found = append(found, violation(run.End, "%s continued to run attempt %s for %s after it was canceled", run.Upstream, run.Attempt, run.End-s.End))
		}
	}
	return found
}

// Summary counts attempts by result, runs and faults.
func (r Record) Summary() string {
	var complete, notRun int
	for _, s := range r.Attempts {
		switch {
		case s.Complete:
			complete++
		case s.Run == api.NotRun:
			notRun++
		}
	}
	return fmt.Sprintf("%d attempts, %d complete, %d not run, %d runs, %d faults", len(r.Attempts), complete, notRun, len(r.Runs), len(r.Faults))
}

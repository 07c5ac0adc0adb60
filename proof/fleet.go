package proof

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// acceptanceMargin is the minimum time between sending a request and the start of a
// graceful shutdown for the request to count as accepted by the process.
const acceptanceMargin = 200 * time.Millisecond

// OneExpertMapPerStep finds steps in which ranks of a group used different expert maps.
func OneExpertMapPerStep(r Record) []Violation {
	type step struct {
		group       string
		incarnation uint64
		number      uint64
	}
	first := make(map[step]Step)
	var found []Violation
	for _, s := range r.Steps {
		key := step{s.Group, s.Incarnation, s.Step}
		f, ok := first[key]
		if !ok {
			first[key] = s
			continue
		}
		if f.Map != s.Map {
			found = append(found, violation(0, "group %s step %d used two maps: rank %d used map %d, rank %d used map %d", s.Group, s.Step, f.Rank, f.Map, s.Rank, s.Map))
		}
	}
	return found
}

// ZoneOut finds runs that began in a zone more than ZoneLimit after it was taken
// out of service.
func ZoneOut(r Record) []Violation {
	return r.lateRuns(r.Zones, ZoneLimit, "zone", func(run Run) string { return run.Zone })
}

// Leaving finds runs that began at an upstream more than LeavingLimit after it
// was marked as leaving.
func Leaving(r Record) []Violation {
	return r.lateRuns(r.Leaving, LeavingLimit, "upstream", func(run Run) string { return run.Upstream })
}

// lateRuns finds runs that began in an excluded zone or at an excluded upstream more
// than limit after the exclusion. Faults that block updates extend the limit.
func (r Record) lateRuns(exclusions []Exclusion, limit time.Duration, kind string, name func(Run) string) []Violation {
	var found []Violation
	for _, e := range exclusions {
		for _, run := range r.Runs {
			if name(run) != e.Name || run.Begin < e.From || e.Until != 0 && run.Begin >= e.Until {
				continue
			}
			if run.Begin > r.deadline("", e.From, limit) {
				found = append(found, violation(run.Begin, "%s started attempt %s %.3fs after %s %s was excluded from new requests",
					run.Upstream, run.Attempt, (run.Begin-e.From).Seconds(), kind, e.Name))
			}
		}
	}
	return found
}

// GracefulShutdown finds graceful shutdowns that failed or interrupted a request. It
// ignores interruptions during a fault, and requests that ended at their own deadline.
func GracefulShutdown(r Record) []Violation {
	var found []Violation
	for _, stop := range r.Shutdowns {
		if stop.Code != 0 {
			found = append(found, violation(stop.End, "graceful shutdown of %s ended with exit code %d", stop.Node, stop.Code))
		}
		found = append(found, r.interruptedAttempts(stop)...)
		found = append(found, r.interruptedRuns(stop)...)
	}
	return found
}

func (r Record) interruptedAttempts(stop Shutdown) []Violation {
	var found []Violation
	for _, a := range r.Attempts {
		if a.Router != stop.Node || a.Begin+acceptanceMargin > stop.Begin || a.End < stop.Begin {
			continue
		}
		interrupted := !a.Complete && a.Run != api.NotRun && !a.reachedDeadline(a.End)
		if interrupted && !r.faultActive("", a.Begin, a.End) {
			found = append(found, violation(a.End, "graceful shutdown of %s interrupted attempt %s (%s)", stop.Node, a.ID, a.Code))
		}
	}
	return found
}

func (r Record) interruptedRuns(stop Shutdown) []Violation {
	var found []Violation
	attempts := r.attemptsByID()
	for _, run := range r.Runs {
		if stop.Upstream == "" || run.Upstream != stop.Upstream || run.Begin > stop.Begin || run.End < stop.Begin || run.End > stop.End {
			continue
		}
		if !run.Complete && !attempts[run.Attempt].reachedDeadline(run.End) && !r.faultActive("", run.Begin, run.End) {
			found = append(found, violation(run.End, "graceful shutdown of %s interrupted the run of attempt %s", stop.Node, run.Attempt))
		}
	}
	return found
}

// ConfigApplied finds processes that did not apply a published configuration within
// ConfigLimit, or that reverted to an older one. A restarted process must not be
// ready with an older revision than before, since it gets the newest revision of its
// peers before it becomes ready.
func ConfigApplied(r Record) []Violation {
	type incarnation struct {
		node   string
		number int
	}
	highest := make(map[incarnation]uint64)
	beforeRestart := make(map[string]uint64)
	var found []Violation
	for _, o := range r.Observations {
		key := incarnation{o.Node, o.Incarnation}
		if o.Revision < highest[key] {
			found = append(found, violation(o.At, "%s reverted from revision %d to %d", o.Node, highest[key], o.Revision))
		}
		if _, known := highest[key]; !known && o.Incarnation > 0 {
			beforeRestart[o.Node] = max(beforeRestart[o.Node], highest[incarnation{o.Node, o.Incarnation - 1}])
		}
		highest[key] = max(highest[key], o.Revision)
		want := max(r.requiredRevision(o), beforeRestart[o.Node])
		if o.Ready && o.Revision < want {
			found = append(found, violation(o.At, "%s is ready with revision %d, but should have applied revision %d", o.Node, o.Revision, want))
		}
	}
	return found
}

// requiredRevision returns the highest revision that a process must have applied
// by the time of an observation.
func (r Record) requiredRevision(o Observation) uint64 {
	var want uint64
	for _, p := range r.Publications {
		if p.Revision > want && o.At > r.deadline(o.Node, p.At, ConfigLimit) {
			want = p.Revision
		}
	}
	return want
}

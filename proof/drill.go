package proof

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// EdgeContactWindow is the time that an edge and the store must have been undisturbed
	// for the time limits of edges to apply.
	EdgeContactWindow = 3 * time.Second
	// EdgeDowngradeSlack is the time after the first effect of a configuration from which
	// the process must not handle requests by an older one.
	EdgeDowngradeSlack = 250 * time.Millisecond
)

// ConfigVersion is a version of the configuration that operators wrote.
type ConfigVersion struct {
	Number uint64
	// Routes holds the service of each path, and Keys the valid API keys.
	Routes map[string]string
	Keys   map[string]bool
	// Sent is the time of the first write and Acknowledged that of the store's first
	// response, 0 if there was none.
	Sent, Acknowledged time.Duration
}

// service returns the service that a version selects for an attempt. It is empty if the
// version has no route for it or doesn't have its key.
func (v ConfigVersion) service(a Attempt) string {
	if !v.Keys[a.Key] {
		return ""
	}
	return v.Routes[a.Path]
}

// Departure is an acknowledgement of the store that an upstream is draining or removed.
type Departure struct {
	Upstream string
	At       time.Duration
}

// Restore is a return of the store from the copy made at the time CopiedAt.
type Restore struct{ CopiedAt, At time.Duration }

// DrillCheckers returns the checkers for edges whose store comes back from a copy.
func DrillCheckers() []Checker {
	return []Checker{
		{"drill_config_in_time", "P9", ConfigInTime},
		{"drill_config_regress", "P9", ConfigRegress},
		{"drill_denied", "P9", ProperRequestsAdmitted},
		{"drill_drain", "P7", DeparturesApplied},
		{"drill_processes_alive", "", ProcessesAlive},
	}
}

// ConfigInTime finds attempts that an edge in touch handled as only versions older than one
// acknowledged EdgeConfigLimit before allow.
func ConfigInTime(r Record) []Violation {
	var found []Violation
	for _, h := range r.handledAttempts() {
		oldest := r.requiredVersion(h.Begin)
		if r.InTouch(h.Attempt) && r.contradicted(h, oldest) {
			found = append(found, h.violation("although version %d was acknowledged %v before", oldest, EdgeConfigLimit))
		}
	}
	return found
}

// ConfigRegress finds attempts that a process handled as only versions older than one whose
// effect an upstream had seen allow.
func ConfigRegress(r Record) []Violation {
	type process struct {
		node  string
		start time.Duration
	}
	type effect struct {
		at      time.Duration
		version uint64
	}
	handled := r.handledAttempts()
	effects := make(map[process][]effect)
	for _, h := range handled {
		p := process{h.Router, h.ProcessStart}
		seen := effects[p]
		if e := (effect{h.at, r.oldestAllowing(h)}); h.service != "" && (len(seen) == 0 || e.version > seen[len(seen)-1].version) {
			effects[p] = append(seen, e)
		}
	}
	var found []Violation
	for _, h := range handled {
		var seen uint64
		for _, e := range effects[process{h.Router, h.ProcessStart}] {
			if e.at+EdgeDowngradeSlack < h.Begin {
				seen = max(seen, e.version)
			}
		}
		if r.contradicted(h, seen) {
			found = append(found, h.violation("although the process had applied version %d", seen))
		}
	}
	return found
}

// ProperRequestsAdmitted finds attempts that an edge refused although all versions that may
// be in force allow them. Out of touch, only attempts that all versions allow count.
func ProperRequestsAdmitted(r Record) []Violation {
	var found []Violation
	for _, h := range r.handledAttempts() {
		if h.service != "" {
			continue
		}
		always := !slices.ContainsFunc(r.Versions, func(v ConfigVersion) bool { return v.service(h.Attempt) == "" })
		switch {
		case always:
			found = append(found, h.violation("although all versions allow it"))
		case r.InTouch(h.Attempt) && r.contradicted(h, r.requiredVersion(h.Begin)):
			found = append(found, h.violation("although all versions that may be in force allow it"))
		}
	}
	return found
}

// DeparturesApplied finds attempts that reached a draining or removed upstream more than
// EdgeLeavingLimit after the acknowledgement. A copy without it that replaces the store
// voids the acknowledgement, except for processes that must know it by then. They are bound
// also while the store is away.
func DeparturesApplied(r Record) []Violation {
	return r.departureViolations(func(d Departure, a Attempt, at time.Duration) bool {
		if !r.lost(d, at) && !r.faultActive(a.Router, at-EdgeContactWindow, at) {
			return true
		}
		due := d.At + EdgeLeavingLimit
		known := a.ProcessStart <= d.At && !r.faultActive(a.Router, due-EdgeContactWindow, due)
		return known && !r.nodeDisturbed(a.Router, at-EdgeContactWindow, at)
	})
}

// LostDeparturesApplied finds those attempts that DeparturesApplied allows only because the
// store had lost the acknowledgement. The edge was in touch, but its process didn't need to
// know it.
func LostDeparturesApplied(r Record) []Violation {
	return r.departureViolations(func(d Departure, a Attempt, at time.Duration) bool {
		return r.lost(d, at) && !r.faultActive(a.Router, at-EdgeContactWindow, at)
	})
}

// departureViolations finds attempts that reached an upstream more than EdgeLeavingLimit
// after one of its departures that binds the process.
func (r Record) departureViolations(binds func(d Departure, a Attempt, at time.Duration) bool) []Violation {
	departures := make(map[string][]Departure)
	for _, d := range r.Departures {
		departures[d.Upstream] = append(departures[d.Upstream], d)
	}
	attempts := r.attemptsByID()
	var found []Violation
	for _, arrival := range r.Arrivals {
		a, ok := attempts[arrival.Attempt]
		if !ok {
			continue
		}
		for _, d := range departures[arrival.Upstream] {
			if arrival.At > d.At+EdgeLeavingLimit && binds(d, a, arrival.At) {
				v := violation(arrival.At, "attempt %s at %.3fs reached %s from %s %.3fs after the acknowledgement of its departure",
					a.ID, a.Begin.Seconds(), arrival.Upstream, a.Router, (arrival.At - d.At).Seconds())
				v.Node = a.Router
				found = append(found, v)
				break
			}
		}
	}
	return found
}

// lost reports whether the store came back without a departure until a time.
func (r Record) lost(d Departure, until time.Duration) bool {
	return slices.ContainsFunc(r.Restores, func(s Restore) bool { return s.CopiedAt < d.At && s.At > d.At && s.At <= until })
}

// nodeDisturbed reports whether a fault of this node, not of all nodes, was active in an
// interval.
func (r Record) nodeDisturbed(node string, from, until time.Duration) bool {
	return slices.ContainsFunc(r.Faults, func(f Fault) bool { return slices.Contains(f.Nodes, node) && f.overlaps(from, until) })
}

// handledAttempt is an attempt that an edge passed to a service or refused as not configured.
type handledAttempt struct {
	Attempt
	// service is empty if the edge refused the attempt.
	service string
	// at is the time at which the service received the attempt.
	at time.Duration
}

func (h handledAttempt) violation(format string, args ...any) Violation {
	handling := "ran at " + h.service
	if h.service == "" {
		handling = fmt.Sprintf("was refused with %d", h.Status)
	}
	text := fmt.Sprintf(format, args...)
	v := violation(h.Begin, "%s: attempt %s on %s with %s %s, %s", h.Router, h.ID, h.Path, h.Key, handling, text)
	v.Node = h.Router
	return v
}

// handledAttempts returns the attempts that were run or refused, sorted by their begin.
func (r Record) handledAttempts() []handledAttempt {
	runs := make(map[string]Run)
	for _, run := range r.Runs {
		if _, ok := runs[run.Attempt]; !ok {
			runs[run.Attempt] = run
		}
	}
	var handled []handledAttempt
	for _, a := range r.Attempts {
		if run, ok := runs[a.ID]; ok {
			handled = append(handled, handledAttempt{a, run.Service, run.Begin})
			continue
		}
		switch a.Status {
		case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
			handled = append(handled, handledAttempt{Attempt: a})
		}
	}
	slices.SortStableFunc(handled, func(a, b handledAttempt) int { return cmp.Compare(a.Begin, b.Begin) })
	return handled
}

// InTouch reports whether an edge and the store were undisturbed for EdgeContactWindow
// before an attempt and until its end.
func (r Record) InTouch(a Attempt) bool {
	return !r.faultActive(a.Router, a.Begin-EdgeContactWindow, a.End)
}

// requiredVersion returns the newest version acknowledged EdgeConfigLimit before a time.
func (r Record) requiredVersion(at time.Duration) uint64 {
	var required uint64
	for _, v := range r.Versions {
		if v.Acknowledged > 0 && v.Acknowledged+EdgeConfigLimit < at {
			required = max(required, v.Number)
		}
	}
	return required
}

// contradicted reports whether none of the versions from the oldest one on that were sent
// before the end of an attempt allows its handling.
func (r Record) contradicted(h handledAttempt, oldest uint64) bool {
	return !slices.ContainsFunc(r.Versions, func(v ConfigVersion) bool {
		return v.Number >= oldest && v.Sent <= h.End && v.service(h.Attempt) == h.service
	})
}

// oldestAllowing returns the oldest version that allows the handling of an attempt, 0 if
// there is none.
func (r Record) oldestAllowing(h handledAttempt) uint64 {
	var oldest uint64
	for _, v := range r.Versions {
		if v.service(h.Attempt) == h.service && (oldest == 0 || v.Number < oldest) {
			oldest = v.Number
		}
	}
	return oldest
}

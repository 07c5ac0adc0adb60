package proof

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mulberryfork/mulberryfork/api"
)

// UpstreamLimit finds runs that exceeded the concurrency limit of their upstream
// when they began.
func UpstreamLimit(r Record) []Violation {
	var found []Violation
	byUpstream := make(map[string][]Run)
	for _, run := range r.Runs {
		byUpstream[run.Upstream] = append(byUpstream[run.Upstream], run)
	}
	for _, name := range slices.Sorted(maps.Keys(byUpstream)) {
		runs := byUpstream[name]
		slices.SortStableFunc(runs, func(a, b Run) int { return cmp.Compare(a.Begin, b.Begin) })
		var active []Run
		for _, run := range runs {
			active = slices.DeleteFunc(active, func(o Run) bool { return o.End != 0 && o.End <= run.Begin })
			active = append(active, run)
			if run.Limit > 0 && len(active) > run.Limit {
				found = append(found, violation(run.Begin, "%s ran %d requests at once, its limit is %d (attempt %s)", name, len(active), run.Limit, run.Attempt))
			}
		}
	}
	return found
}

// CompleteResponses finds responses that appeared complete to the caller but differ
// from the correct response to its request.
func CompleteResponses(r Record) []Violation {
	var found []Violation
	for _, a := range r.Attempts {
		if a.Complete && a.Response != a.Expected {
			found = append(found, violation(a.End, "attempt %s got a response that appeared complete but is wrong: %d bytes, expected %d: %.40q instead of %.40q",
				a.ID, len(a.Response), len(a.Expected), a.Response, a.Expected))
		}
	}
	return found
}

// NotRunReportsAccurate finds attempts and requests that were reported as not_run although
// an upstream ran them.
func NotRunReportsAccurate(r Record) []Violation {
	runByAttempt, runByRequest := make(map[string]Run), make(map[string]Run)
	for _, run := range r.Runs {
		runByAttempt[run.Attempt], runByRequest[run.Request] = run, run
	}
	var found []Violation
	for _, a := range r.Attempts {
		if run, ok := runByAttempt[a.ID]; ok && a.Run == api.NotRun {
			found = append(found, violation(a.End, "attempt %s was reported as not_run (%s), but %s ran it at %.3fs", a.ID, a.Code, run.Upstream, run.Begin.Seconds()))
		}
	}
	for _, o := range r.Outcomes {
		// A later attempt of the same request may run, so only runs that began
		// before the query contradict its result.
		if run, ok := runByRequest[o.Request]; ok && o.Run == api.NotRun && run.Begin < o.At {
			found = append(found, violation(o.At, "the outcome of request %s was reported as not_run, but %s ran it at %.3fs", o.Request, run.Upstream, run.Begin.Seconds()))
		}
	}
	return found
}

// AtMostOnceAndDurable finds non-idempotent requests that ran more than once,
// responses and outcomes that report a run which no upstream recorded, and outcomes
// that were lost.
func AtMostOnceAndDurable(r Record) []Violation {
	runs := make(map[string][]Run)
	for _, run := range r.Runs {
		if !run.Idempotent {
			runs[run.Request] = append(runs[run.Request], run)
		}
	}
	var found []Violation
	for _, request := range slices.Sorted(maps.Keys(runs)) {
		if all := runs[request]; len(all) > 1 {
			found = append(found, violation(all[1].Begin, "non-idempotent request %s ran %d times: at %s and %s", request, len(all), all[0].Upstream, all[1].Upstream))
		}
	}
	for _, a := range r.Attempts {
		if !a.Idempotent && (a.Complete || a.Run == api.Ran) && len(runs[a.Request]) == 0 {
			found = append(found, violation(a.End, "attempt %s was reported as ran, but no upstream ran request %s", a.ID, a.Request))
		}
	}
	for _, o := range r.Outcomes {
		if o.Run == api.Ran && len(runs[o.Request]) == 0 {
			found = append(found, violation(o.At, "the outcome of request %s was reported as ran, but no upstream ran it", o.Request))
		}
	}
	return append(found, r.lostOutcomes()...)
}

// lostOutcomes finds requests whose outcome was reported as not_run after the
// caller had received a complete response.
func (r Record) lostOutcomes() []Violation {
	completed := make(map[string]Attempt)
	for _, a := range r.Attempts {
		if !a.Idempotent && a.Complete {
			completed[a.Request] = a
		}
	}
	var found []Violation
	for _, o := range r.Outcomes {
		if a, ok := completed[o.Request]; ok && a.End < o.At && o.Run == api.NotRun {
			found = append(found, violation(o.At, "the outcome of request %s was reported as not_run after its caller had received a complete response", o.Request))
		}
	}
	return found
}

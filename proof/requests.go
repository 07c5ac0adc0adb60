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

// CompleteAnswers finds answers that appeared complete to the caller but differ
// from the correct answer to its request.
func CompleteAnswers(r Record) []Violation {
	var found []Violation
	for _, s := range r.Attempts {
		if s.Complete && s.Answer != s.Expected {
			found = append(found, violation(s.End, "attempt %s got an answer that appeared complete but is wrong: %d bytes, expected %d: %.40q instead of %.40q",
				s.ID, len(s.Answer), len(s.Expected), s.Answer, s.Expected))
		}
	}
	return found
}

// NotRunAccurate finds attempts and requests that were reported as not_run although
// an upstream ran them.
func NotRunAccurate(r Record) []Violation {
	runBySend, runByRequest := make(map[string]Run), make(map[string]Run)
	for _, run := range r.Runs {
		runBySend[run.Attempt], runByRequest[run.Request] = run, run
	}
	var found []Violation
	for _, s := range r.Attempts {
		if run, ok := runBySend[s.ID]; ok && s.Run == api.NotRun {
			found = append(found, violation(s.End, "attempt %s was reported as not_run (%s), but %s ran it at %.3fs", s.ID, s.Code, run.Upstream, run.Begin.Seconds()))
		}
	}
	for _, o := range r.Outcomes {
		// An attempt after the query may run, one before it must not have run.
		if run, ok := runByRequest[o.Request]; ok && o.Run == api.NotRun && run.Begin < o.At {
			found = append(found, violation(o.At, "the outcome of request %s was reported as not_run, but %s ran it at %.3fs", o.Request, run.Upstream, run.Begin.Seconds()))
		}
	}
	return found
}

// AtMostOnceAndDurable finds non-idempotent requests that ran more than once,
// answers and outcomes that report a run which no upstream recorded, and outcomes
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
	for _, s := range r.Attempts {
		if !s.Idempotent && (s.Complete || s.Run == api.Ran) && len(runs[s.Request]) == 0 {
			found = append(found, violation(s.End, "attempt %s was reported as run, but no upstream ran request %s", s.ID, s.Request))
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
// caller had received the answer.
func (r Record) lostOutcomes() []Violation {
	answered := make(map[string]Attempt)
	for _, s := range r.Attempts {
		if !s.Idempotent && s.Complete {
			answered[s.Request] = s
		}
	}
	var found []Violation
	for _, o := range r.Outcomes {
		if s, ok := answered[o.Request]; ok && s.End < o.At && o.Run == api.NotRun {
			found = append(found, violation(o.At, "the outcome of request %s was reported as not_run after it had been answered", o.Request))
		}
	}
	return found
}

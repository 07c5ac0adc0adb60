package proof

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mulberryfork/mulberryfork/api"
)

// UpstreamBound finds runs that began while the upstream already bore all it
// could.
func UpstreamBound(r Record) []Violation {
	var found []Violation
	byUpstream := make(map[string][]Run)
	for _, run := range r.Runs {
		byUpstream[run.Upstream] = append(byUpstream[run.Upstream], run)
	}
	for _, name := range slices.Sorted(maps.Keys(byUpstream)) {
		runs := byUpstream[name]
		slices.SortStableFunc(runs, func(a, b Run) int { return cmp.Compare(a.Begin, b.Begin) })
		var open []Run
		for _, run := range runs {
			open = slices.DeleteFunc(open, func(o Run) bool { return o.End != 0 && o.End <= run.Begin })
			open = append(open, run)
			if run.Bound > 0 && len(open) > run.Bound {
				found = append(found, violation(run.Begin, "%s runs %d requests, bears %d (send %s)", name, len(open), run.Bound, run.Send))
			}
		}
	}
	return found
}

// WholeAnswers finds answers that looked whole to the caller but are not the
// answer to its request.
func WholeAnswers(r Record) []Violation {
	var found []Violation
	for _, s := range r.Sends {
		if s.Whole && s.Answer != s.Expected {
			found = append(found, violation(s.End, "send %s looked whole with %d bytes, its answer has %d: %.40q for %.40q",
				s.ID, len(s.Answer), len(s.Expected), s.Answer, s.Expected))
		}
	}
	return found
}

// NotRunTrue finds sends and requests that were said not to have run although
// an upstream ran them.
func NotRunTrue(r Record) []Violation {
	ranSend, ranRequest := make(map[string]Run), make(map[string]Run)
	for _, run := range r.Runs {
		ranSend[run.Send], ranRequest[run.Request] = run, run
	}
	var found []Violation
	for _, s := range r.Sends {
		if run, ok := ranSend[s.ID]; ok && s.Run == api.NotRun {
			found = append(found, violation(s.End, "send %s was told not_run (%s), %s ran it at %.3fs", s.ID, s.Code, run.Upstream, run.Begin.Seconds()))
		}
	}
	for _, o := range r.Outcomes {
		// A later send under the same key may run; an earlier one must not have.
		if run, ok := ranRequest[o.Request]; ok && o.Run == api.NotRun && run.Begin < o.At {
			found = append(found, violation(o.At, "request %s was told not_run by its outcome, %s ran it at %.3fs", o.Request, run.Upstream, run.Begin.Seconds()))
		}
	}
	return found
}

// AtMostOnceAndKept finds non-idempotent requests that ran twice, and answers
// or outcomes that claim a run which no upstream saw.
func AtMostOnceAndKept(r Record) []Violation {
	runs := make(map[string][]Run)
	for _, run := range r.Runs {
		if !run.Idempotent {
			runs[run.Request] = append(runs[run.Request], run)
		}
	}
	var found []Violation
	for _, request := range slices.Sorted(maps.Keys(runs)) {
		if all := runs[request]; len(all) > 1 {
			found = append(found, violation(all[1].Begin, "request %s ran %d times: %s and %s", request, len(all), all[0].Upstream, all[1].Upstream))
		}
	}
	for _, s := range r.Sends {
		if !s.Idempotent && (s.Whole || s.Run == api.Ran) && len(runs[s.Request]) == 0 {
			found = append(found, violation(s.End, "send %s was told that it ran, no upstream saw request %s", s.ID, s.Request))
		}
	}
	for _, o := range r.Outcomes {
		if o.Run == api.Ran && len(runs[o.Request]) == 0 {
			found = append(found, violation(o.At, "request %s is lost: its outcome is ran, no upstream saw it", o.Request))
		}
	}
	return append(found, r.forgotten()...)
}

// forgotten finds requests whose answer the caller once had and whose outcome
// was later given as not run.
func (r Record) forgotten() []Violation {
	whole := make(map[string]Send)
	for _, s := range r.Sends {
		if !s.Idempotent && s.Whole {
			whole[s.Request] = s
		}
	}
	var found []Violation
	for _, o := range r.Outcomes {
		if s, ok := whole[o.Request]; ok && s.End < o.At && o.Run == api.NotRun {
			found = append(found, violation(o.At, "request %s was answered and then forgotten", o.Request))
		}
	}
	return found
}

package proof

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// aroundSpan is how long before and after a violation records are shown.
	aroundSpan = 500 * time.Millisecond
	// aroundLines bounds them.
	aroundLines = 60
)

// Around describes what was recorded around a time: faults under way, sends and
// runs that began or ended.
func (r Record) Around(at time.Duration) []string {
	type line struct {
		at   time.Duration
		text string
	}
	var lines []line
	near := func(t time.Duration) bool { return t >= at-aroundSpan && t <= at+aroundSpan }
	for _, f := range r.Faults {
		if f.From <= at+aroundSpan && (f.Until == 0 || f.Until >= at-aroundSpan) {
			lines = append(lines, line{f.From, fmt.Sprintf("fault %s until %.3fs", f.Name, f.Until.Seconds())})
		}
	}
	for _, s := range r.Sends {
		if near(s.Begin) || near(s.End) {
			lines = append(lines, line{s.Begin, fmt.Sprintf("send %s at %s until %.3fs: whole %t, run %q, code %q",
				s.ID, s.Router, s.End.Seconds(), s.Whole, s.Run, s.Code)})
		}
	}
	for _, run := range r.Runs {
		if near(run.Begin) || near(run.End) {
			lines = append(lines, line{run.Begin, fmt.Sprintf("run of %s at %s until %.3fs: whole %t, bound %d",
				run.Send, run.Upstream, run.End.Seconds(), run.Whole, run.Bound)})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	var out []string
	for _, l := range lines[:min(len(lines), aroundLines)] {
		out = append(out, fmt.Sprintf("%8.3fs %s", l.at.Seconds(), l.text))
	}
	return out
}

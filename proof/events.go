package proof

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// contextWindow is the time before and after a violation within which events are
	// shown. At most maxContextLines of them are shown.
	contextWindow   = 500 * time.Millisecond
	maxContextLines = 60
)

// EventsAround describes the events within contextWindow of a time, one per line and
// sorted by time: active faults, and attempts and runs that began or ended.
func (r Record) EventsAround(at time.Duration) []string {
	type line struct {
		at   time.Duration
		text string
	}
	var lines []line
	near := func(t time.Duration) bool { return t >= at-contextWindow && t <= at+contextWindow }
	for _, f := range r.Faults {
		if f.From <= at+contextWindow && (f.Until == 0 || f.Until >= at-contextWindow) {
			lines = append(lines, line{f.From, fmt.Sprintf("fault %s until %.3fs", f.Name, f.Until.Seconds())})
		}
	}
	for _, a := range r.Attempts {
		if near(a.Begin) || near(a.End) {
			lines = append(lines, line{a.Begin, fmt.Sprintf("attempt %s to %s until %.3fs: complete %t, run %q, code %q",
				a.ID, a.Router, a.End.Seconds(), a.Complete, a.Run, a.Code)})
		}
	}
	for _, run := range r.Runs {
		if near(run.Begin) || near(run.End) {
			lines = append(lines, line{run.Begin, fmt.Sprintf("run of %s at %s until %.3fs: complete %t, limit %d",
				run.Attempt, run.Upstream, run.End.Seconds(), run.Complete, run.Limit)})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	var out []string
	for _, l := range lines[:min(len(lines), maxContextLines)] {
		out = append(out, fmt.Sprintf("%8.3fs %s", l.at.Seconds(), l.text))
	}
	return out
}

package rankview_test

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rankview"
)

// Guards against requests that are sent to a group for seconds after it has lost a rank, and
// against a slow, held, idle or partly read group that gets none.
func TestStallMeter(t *testing.T) {
	const pass = 100 * time.Millisecond
	for _, c := range []struct {
		name string
		// running is the number of requests, missing whether a rank does not respond, passes
		// whether the group makes passes.
		running         int
		missing, passes bool
		// within is the time within which the group counts as stalled, 0 if never.
		within time.Duration
	}{
		{"lost rank", 5, true, false, 300 * time.Millisecond},
		{"lost rank, idle group", 0, true, false, 0},
		{"rank that the leader can't read", 5, true, true, 0},
		{"held for a change of the map", 5, false, false, 0},
		{"no pass for seconds", 5, false, false, 2 * time.Second},
	} {
		var meter rankview.StallMeter
		var passes rankview.PassMeter
		observe := func(now time.Duration, step uint64, running int, complete bool) bool {
			snapshot := rankview.Snapshot{Complete: complete, Reports: []api.RankReport{{Step: step, Running: running}}}
			return meter.Observe(now, snapshot, passes.Observe(now, snapshot))
		}
		now, step := time.Second, uint64(0)
		for ; now < 2*time.Second; now += 50 * time.Millisecond {
			step = uint64(now / pass)
			if observe(now, step, 5, true) {
				t.Fatalf("%s: stalled at %v while passes are made", c.name, now)
			}
		}
		lostAt, stalledAfter := now, time.Duration(0)
		end := now + time.Second
		if c.within > time.Second {
			end = now + 3*time.Second
		}
		for ; now < end; now += 50 * time.Millisecond {
			if c.passes {
				step = uint64(now / pass)
			}
			stalled := observe(now, step, c.running, !c.missing)
			if stalled && stalledAfter == 0 {
				stalledAfter = now - lostAt
			}
			if !stalled && stalledAfter > 0 {
				t.Errorf("%s: not stalled at %v although no pass was made", c.name, now-lostAt)
			}
		}
		if (stalledAfter > 0) != (c.within > 0) || stalledAfter > c.within {
			t.Errorf("%s: stalled after %v, want within %v (0: never)", c.name, stalledAfter, c.within)
		}
		if c.within > 0 && observe(now, step+1, 5, false) {
			t.Errorf("%s: stalled although a pass was made", c.name)
		}
	}
}

package rankview_test

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rankview"
)

// Guards against a pass time that is measured over an idle time, in which a group makes
// no passes: the group would look slow and its callers would be refused.
func TestPassMeter(t *testing.T) {
	const pass = 90 * time.Millisecond
	var meter rankview.PassMeter
	observe := func(now time.Duration, running int) time.Duration {
		return meter.Observe(now, rankview.Snapshot{Reports: []api.RankReport{{Step: uint64(now / pass), Running: running}}})
	}
	last := time.Duration(0)
	for now := time.Second; now < 3*time.Second; now += 100 * time.Millisecond {
		last = observe(now, 5)
	}
	if last < pass*8/10 || last > pass*12/10 {
		t.Errorf("pass time %v, want about %v", last, pass)
	}
	if got := observe(4*time.Second, 0); got != 0 {
		t.Errorf("pass time %v of an idle group, want unknown", got)
	}
	if got := observe(9*time.Second, 5); got != 0 {
		t.Errorf("pass time %v right after an idle time, want unknown", got)
	}
}

package links

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/wire"
)

// Guards against closing a link on which orders arrive slowly, since that fails the
// requests in flight, and against keeping a link on which none arrives, since requests
// then wait until their deadlines.
func TestStallDetectorIgnoresSlowLinks(t *testing.T) {
	const limit = wire.HeartbeatTimeout
	type report struct {
		at         time.Duration
		seen, sent uint64
	}
	cases := []struct {
		name    string
		reports []report
		stalled bool
	}{
		{"idle", []report{{0, 0, 0}, {3 * limit, 0, 0}}, false},
		{"first order after a long idle period", []report{{0, 5, 5}, {3 * limit, 5, 6}}, false},
		{"one order received per report", []report{{0, 0, 9}, {limit - 1, 1, 9}, {2*limit - 2, 2, 9}}, false},
		{"caught up in between", []report{{0, 1, 2}, {limit - 1, 2, 2}, {limit, 2, 3}, {2*limit - 1, 2, 3}}, false},
		{"no order received", []report{{0, 1, 2}, {limit - 1, 1, 3}, {limit, 1, 4}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var d stallDetector
			for _, r := range c.reports {
				d.observe(r.at, r.seen, r.sent)
			}
			if d.stalled != c.stalled {
				t.Errorf("stalled is %t, want %t", d.stalled, c.stalled)
			}
		})
	}
}

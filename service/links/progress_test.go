package links

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/wire"
)

// A link that is given up while orders arrive slowly would lose requests that
// run; one that is kept while none arrives holds them until their deadlines.
func TestProgressTellsAStalledLinkFromASlowOne(t *testing.T) {
	const limit = wire.HeartbeatTimeout
	type report struct {
		at            time.Duration
		seen, ordered uint64
	}
	cases := []struct {
		name    string
		reports []report
		stalled bool
	}{
		{"idle", []report{{0, 0, 0}, {3 * limit, 0, 0}}, false},
		{"first order after a long idle time", []report{{0, 5, 5}, {3 * limit, 5, 6}}, false},
		{"one order each time", []report{{0, 0, 9}, {limit - 1, 1, 9}, {2*limit - 2, 2, 9}}, false},
		{"caught up in between", []report{{0, 1, 2}, {limit - 1, 2, 2}, {limit, 2, 3}, {2*limit - 1, 2, 3}}, false},
		{"none arrives", []report{{0, 1, 2}, {limit - 1, 1, 3}, {limit, 1, 4}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var p progress
			for _, r := range c.reports {
				p.report(r.at, r.seen, r.ordered)
			}
			if p.stalled != c.stalled {
				t.Errorf("stalled is %t, want %t", p.stalled, c.stalled)
			}
		})
	}
}

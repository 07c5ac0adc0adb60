package links

import (
	"time"

	"github.com/mulberryfork/mulberryfork/wire"
)

// stallDetector detects a link on which orders no longer reach the agent. If only
// the direction to the agent is cut, its load reports still arrive, so the idle
// timeout does not detect the fault.
type stallDetector struct {
	lastSeen   uint64
	progressAt time.Duration
	pending    bool
	// stalled is set once orders are pending and none has reached the agent for
	// wire.HeartbeatTimeout.
	stalled bool
}

// observe takes the number of orders received by the agent and the number sent
// to it.
func (d *stallDetector) observe(now time.Duration, seen, sent uint64) {
	if seen >= sent || seen != d.lastSeen || !d.pending {
		d.lastSeen, d.progressAt, d.pending = seen, now, seen < sent
		return
	}
	d.stalled = now-d.progressAt >= wire.HeartbeatTimeout
}

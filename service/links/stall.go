package links

import (
	"time"

	"github.com/mulberryfork/mulberryfork/wire"
)

// stallDetector detects a link on which orders no longer reach the agent. If only the
// direction to the agent is interrupted, its load reports still arrive, so the idle
// timeout does not detect the fault.
type stallDetector struct {
	// lastSeen is the number of orders received by the agent in the last report.
	lastSeen uint64
	// progressAt is when that number last changed or orders became pending.
	progressAt time.Duration
	// pending is set while the agent has not received all orders sent to it.
	pending bool
	// stalled is set once orders have been pending for wire.HeartbeatTimeout and none
	// of them has reached the agent.
	stalled bool
}

// observe updates the detector with a load report: the number of orders received by
// the agent and the number sent to it.
func (d *stallDetector) observe(now time.Duration, seen, sent uint64) {
	if seen >= sent || seen != d.lastSeen || !d.pending {
		d.lastSeen, d.progressAt, d.pending = seen, now, seen < sent
		return
	}
	d.stalled = now-d.progressAt >= wire.HeartbeatTimeout
}

package links

import (
	"time"

	"github.com/mulberryfork/mulberryfork/wire"
)

// progress watches whether orders still reach the agent. Where only the
// direction towards the agent is cut, its load reports go on to arrive, so
// silence does not tell.
type progress struct {
	seen    uint64
	at      time.Duration
	waiting bool
	// stalled is set once orders have waited for as long as an agent may stay
	// silent without one of them arriving.
	stalled bool
}

// report takes the orders that the agent has seen and those sent to it.
func (p *progress) report(now time.Duration, seen, ordered uint64) {
	if seen >= ordered || seen != p.seen || !p.waiting {
		p.seen, p.at, p.waiting = seen, now, seen < ordered
		return
	}
	p.stalled = now-p.at >= wire.HeartbeatTimeout
}

package schedule

import (
	"context"
	"time"

	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
)

// Faults that steps inject into one direction of a link.
var (
	Delay = faultproxy.Fault{Delay: 30 * time.Millisecond, Jitter: 20 * time.Millisecond}
	Reset = faultproxy.Fault{ResetAfterBytes: 3000}
	Loss  = faultproxy.Fault{LossRate: 0.02, StallBeforeReset: 200 * time.Millisecond}
	Cut   = faultproxy.Fault{Cut: true}
)

// NetworkFault returns a step that injects a fault into one direction of a link.
func NetworkFault(n *faultproxy.Network, kind, from, to string, f faultproxy.Fault) Step {
	return Step{
		Name: kind + " " + from + " to " + to, Targets: []string{from + " to " + to},
		Begin: func(context.Context) error { n.Set(from, to, f); return nil },
		End:   func(context.Context) error { n.Clear(from, to); return nil },
	}
}

package spread

import (
	"strconv"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

const (
	// WatchRenew bounds one pending watch. A watcher cannot choose the replica
	// that answers; a new call may reach one that is less stale.
	WatchRenew = 2 * time.Second
	// InitialRetryDelay and RetryMost bound the wait after failed calls. A longer one
	// would keep what was published at the end of an outage out of force for
	// more than the 3 s that are allowed.
	InitialRetryDelay = 250 * time.Millisecond
	MaxRetryDelay     = 2 * time.Second
)

// RetryDelay returns the wait after a number of failed calls in a row. It
// doubles up to RetryMost and is spread over its second half by node, so that
// processes do not return at the same moment.
func RetryDelay(node string, failures uint64) time.Duration {
	wait := InitialRetryDelay
	for n := uint64(1); n < failures && wait < MaxRetryDelay; n++ {
		wait *= 2
	}
	f := rendezvous.KeyOf("retry", strconv.FormatUint(failures, 10)).Fraction(node)
	return wait/2 + time.Duration(f*float64(wait/2))
}

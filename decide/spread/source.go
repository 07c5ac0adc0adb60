package spread

import (
	"strconv"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

const (
	// WatchTimeout is the timeout of one watch call. A watcher cannot choose the
	// replica that responds; a new call may reach one that is less stale.
	WatchTimeout = 2 * time.Second
	// InitialRetryDelay and MaxRetryDelay limit the backoff after failed calls. A
	// longer backoff would delay a revision published at the end of an outage
	// beyond the 3 s that are allowed.
	InitialRetryDelay = 250 * time.Millisecond
	MaxRetryDelay     = 2 * time.Second
)

// RetryDelay returns the backoff after a number of consecutive failures. It
// doubles up to MaxRetryDelay. Its second half is jittered per node, so that
// processes do not retry at the same moment.
func RetryDelay(node string, failures uint64) time.Duration {
	delay := InitialRetryDelay
	for n := uint64(1); n < failures && delay < MaxRetryDelay; n++ {
		delay *= 2
	}
	jitter := rendezvous.KeyOf("retry", strconv.FormatUint(failures, 10)).Fraction(node)
	return delay/2 + time.Duration(jitter*float64(delay/2))
}

// Package shutdown decides which requests a process that is being stopped still takes. It
// answers for callers that send on open connections until the process is gone: a request
// that is taken shortly before the end is cut off without an answer, and a caller must not
// repeat one that may have run.
package shutdown

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// retryAfter is the suggested wait of a refusal. Other processes can take the request at
// once.
const retryAfter = 50 * time.Millisecond

// Window is the time between the order to stop and the end of the requests in flight.
type Window struct {
	// DrainUntil is until when callers are not expected to have noticed.
	DrainUntil time.Duration
	// CancelAt is when the requests in flight are canceled.
	CancelAt time.Duration
}

// Request is what the decision depends on.
type Request struct {
	// Limit is the longest time that the request can take: the time to the deadline of its
	// caller or of its route.
	Limit time.Duration
	// Repeatable is true if the request can be sent again, or its response be resumed, after
	// it was cut off.
	Repeatable bool
}

// Admit returns nil if the request is to be taken. A request that ends within the window
// by its own limit always is. A longer one is taken only while callers may not have noticed
// the stop, and only if it can be repeated: most end long before their limit.
func (w Window) Admit(now time.Duration, r Request) *api.Failure {
	if r.Limit <= w.CancelAt-now || r.Repeatable && now < w.DrainUntil {
		return nil
	}
	f := api.NewFailure(api.CodeShuttingDown, api.NotRun, "the process is being stopped and may end before the request")
	f.RetryAfter = retryAfter
	return f
}

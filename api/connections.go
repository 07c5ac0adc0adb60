package api

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Connections is the account of what connections make the process hold.
type Connections interface {
	// Guard returns a listener whose connections are charged to the account. It must be called
	// while services are started.
	Guard(l net.Listener, o GuardOptions) net.Listener
	// SetTimeLimits sets the time limits of the listener with a name, also for connections that
	// are open. It must be called on the control loop or before it starts.
	SetTimeLimits(listener string, l TimeLimits)
	// TakeBody takes n bytes for a body of a member. ctx is that of the request. If the failure
	// is nil, ReturnBody must be called with the same bytes once they are no longer held.
	TakeBody(ctx context.Context, member string, n int64) *Failure
	ReturnBody(ctx context.Context, member string, n int64)
	// NewBody returns a reader for the body of a request.
	NewBody(r *http.Request) RequestBody
	// ReportShortage ends responses that no client reads, after a request was refused because
	// there are too many in flight. It does not wait.
	ReportShortage()
}

// ResponseAccount charges responses to an account (see kernel/httpclient). Without one, nothing
// is charged. Responses to a member's requests are charged apart from the member's bodies: those of
// a faulty upstream must not keep the member's requests to others out.
type ResponseAccount struct{ Connections Connections }

// responseHolder precedes the name of a holder of responses. No member has such a name.
const responseHolder = "\x00response:"

// Take takes n bytes for a response to a holder.
func (a ResponseAccount) Take(ctx context.Context, holder string, n int64) error {
	if a.Connections == nil {
		return nil
	}
	if failure := a.Connections.TakeBody(ctx, responseHolder+holder, n); failure != nil {
		return failure
	}
	return nil
}

// Return gives back n bytes.
func (a ResponseAccount) Return(ctx context.Context, holder string, n int64) {
	if a.Connections != nil {
		a.Connections.ReturnBody(ctx, responseHolder+holder, n)
	}
}

// RequestBody reads the body of one request, within what its member may hold and as long as
// the account does not end it.
type RequestBody interface {
	// ReadFor reads a body of at most maxBytes within a time. Release must be called
	// afterwards, also after a failure.
	ReadFor(member string, w http.ResponseWriter, r *http.Request, maxBytes int64, within time.Duration) ([]byte, *Failure)
	// Release gives back what the body takes of the account.
	Release()
	// Discard reads the rest of a refused body, so that its caller sees the refusal.
	Discard(w http.ResponseWriter, r *http.Request)
}

// TimeLimits bound how long a connection waits for its client, 0 for no bound.
type TimeLimits struct {
	// Head is the time from the first byte of a request to the end of its head, Idle the time
	// without a request.
	Head, Idle time.Duration
}

// GuardOptions describe a listener.
type GuardOptions struct {
	// Name is that of the listener in the settings.
	Name string
	// Main is set for the listener that the process is there for. It has the largest
	// guaranteed part of the connections.
	Main bool
	// Trusted is set if only processes of the system that have shown who they are get a
	// response. What they send afterwards is not charged: a connection carries the work of
	// many requests, which would be lost with it.
	Trusted bool
}

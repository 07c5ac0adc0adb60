// Package drain shuts down an HTTP server gracefully, so that requests in flight
// can still complete.
package drain

import (
	"context"
	"net/http"
	"time"
)

// StopError reports that requests were still in flight at the deadline of a shutdown
// and were canceled.
type StopError struct{ Err error }

func (e *StopError) Error() string {
	return "requests were canceled at the shutdown deadline: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StopError) Unwrap() error { return e.Err }

// Options configures the shutdown of a server.
type Options struct {
	// DrainDelay is how long the server still accepts requests, without keep-alive.
	// The platform sends requests until it notices that the process is not ready.
	DrainDelay time.Duration
	// CancelRequests cancels the requests that are still in flight at the deadline.
	CancelRequests func()
	// CancelGrace is how long the handlers of canceled requests may take to send the
	// failure.
	CancelGrace time.Duration
}

// Stop shuts a server down and waits for requests in flight. If ctx ends first, it
// cancels them, closes the server and returns StopError.
func Stop(ctx context.Context, server *http.Server, o Options) error {
	waitDrainDelay(ctx, server, o.DrainDelay)
	err := server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	o.CancelRequests()
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.CancelGrace)
	defer cancel()
	if server.Shutdown(graceCtx) != nil {
		_ = server.Close()
	}
	return &StopError{Err: err}
}

// waitDrainDelay disables keep-alive and waits for d or until ctx ends.
func waitDrainDelay(ctx context.Context, server *http.Server, d time.Duration) {
	if d <= 0 {
		return
	}
	server.SetKeepAlivesEnabled(false)
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

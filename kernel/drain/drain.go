// Package drain shuts down an HTTP server gracefully, so that running requests can
// still send their responses.
package drain

import (
	"context"
	"net/http"
	"time"
)

// StopError reports that requests were still running at the deadline of a shutdown
// and were canceled.
type StopError struct{ Err error }

func (e *StopError) Error() string {
	return "requests were canceled at the shutdown deadline: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StopError) Unwrap() error { return e.Err }

// Plan configures the shutdown of a server.
type Plan struct {
	// Linger is how long the server still accepts requests, without keep-alive,
	// because the platform notices with a delay that the process is not ready.
	Linger time.Duration
	// Cut cancels the requests that are still running at the deadline.
	Cut func()
	// LastAnswers is how long their handlers may then take to send the failure.
	LastAnswers time.Duration
}

// Stop shuts a server down and waits for running requests. If ctx ends first, it
// cancels them, closes the server and returns StopError.
func Stop(ctx context.Context, server *http.Server, o Plan) error {
	waitDrainDelay(ctx, server, o.Linger)
	err := server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	o.Cut()
	graceCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), o.LastAnswers)
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

// Package drain ends an HTTP server so that callers keep their answers.
package drain

import (
	"context"
	"net/http"
	"time"
)

// StopError reports requests that were cut off by the deadline of a shutdown.
type StopError struct{ Err error }

func (e *StopError) Error() string { return "requests were still running: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *StopError) Unwrap() error { return e.Err }

// Plan says how a server ends.
type Plan struct {
	// Linger is how long requests are still taken, each on its last connection,
	// until the platform has noticed that the process is not ready.
	Linger time.Duration
	// Cut ends the requests that still run at the deadline.
	Cut func()
	// LastAnswers is the time in which their handlers then end them.
	LastAnswers time.Duration
}

// Stop ends a server. Running requests end by themselves until ctx does.
func Stop(ctx context.Context, server *http.Server, p Plan) error {
	linger(ctx, server, p.Linger)
	err := server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	p.Cut()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.LastAnswers)
	defer cancel()
	if server.Shutdown(last) != nil {
		_ = server.Close()
	}
	return &StopError{Err: err}
}

func linger(ctx context.Context, server *http.Server, d time.Duration) {
	if d <= 0 {
		return
	}
	server.SetKeepAlivesEnabled(false)
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

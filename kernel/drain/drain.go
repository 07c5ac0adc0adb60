// Package drain shuts down an HTTP server gracefully: requests in flight can still
// complete, and no request is handled whose connection the shutdown has closed.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// StopError reports that requests were still in flight near the deadline of a shutdown
// and were canceled.
type StopError struct{ Err error }

func (e *StopError) Error() string {
	return "requests were canceled at the shutdown deadline: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *StopError) Unwrap() error { return e.Err }

// Options configures the shutdown of a server.
type Options struct {
	// DrainDelay is how long the server still accepts connections and requests. Each
	// response ends its connection meanwhile. The platform sends requests until it notices
	// that the process is not ready.
	DrainDelay time.Duration
	// CancelRequests cancels the requests that are still in flight CancelGrace before the
	// deadline.
	CancelRequests func()
	// CancelGrace is how long the handlers of canceled requests may take to send the
	// failure. It is a part of the time until the deadline, since the process may be killed
	// then.
	CancelGrace time.Duration
}

// CancelAfter returns the time from now until Stop cancels the requests in flight: 0 if ctx
// has no deadline.
func (o Options) CancelAfter(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline)-o.CancelGrace, 0)
}

// Server is an HTTP server that can be drained. http.Server.Shutdown closes connections that
// it takes for idle while their next request is being read, and the request is handled all
// the same; here either the shutdown has a connection or a request has it.
type Server struct {
	http     *http.Server
	handler  http.Handler
	listener net.Listener

	// stopping is set once each response ends its connection.
	stopping atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]*connection
	// closing is set once connections without a request are closed. empty is closed when
	// there are no connections left then.
	closing bool
	empty   chan struct{}
}

// connState is the state of a connection.
type connState = int32

const (
	// connWaiting is a connection without a request.
	connWaiting connState = iota
	// connServing is a connection whose request is being handled or answered.
	connServing
	// connClosed is a connection that the shutdown has closed. Its requests are not handled.
	connClosed
)

type connection struct {
	conn  net.Conn
	state atomic.Int32
}

type connectionKey struct{}

// NewServer returns a server for the requests that arrive at a listener. It takes over the
// fields Handler, ConnContext and ConnState of the HTTP server.
func NewServer(server *http.Server, listener net.Listener) *Server {
	s := &Server{http: server, handler: server.Handler, listener: listener, conns: make(map[net.Conn]*connection), empty: make(chan struct{})}
	server.Handler = s
	server.ConnContext = s.add
	server.ConnState = s.observe
	return s
}

// Serve handles requests until the server is stopped.
func (s *Server) Serve() { _ = s.http.Serve(s.listener) }

func (s *Server) add(ctx context.Context, conn net.Conn) context.Context {
	c := &connection{conn: conn}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = c
	return context.WithValue(ctx, connectionKey{}, c)
}

// observe follows the state of a connection. The state http.StateIdle comes only after the
// response was sent, unlike the return of the handler.
func (s *Server) observe(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.conns[conn]
	if c == nil {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.state.CompareAndSwap(connServing, connWaiting)
		if s.closing {
			c.closeIfWaiting()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
		s.signalIfEmpty()
	}
}

func (s *Server) signalIfEmpty() {
	if s.closing && len(s.conns) == 0 {
		select {
		case <-s.empty:
		default:
			close(s.empty)
		}
	}
}

// closeIfWaiting closes the connection unless a request on it is being handled.
func (c *connection) closeIfWaiting() {
	if c.state.CompareAndSwap(connWaiting, connClosed) {
		_ = c.conn.Close()
	}
}

// ServeHTTP handles a request unless the shutdown has closed its connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok && !c.state.CompareAndSwap(connWaiting, connServing) {
		panic(http.ErrAbortHandler)
	}
	s.handler.ServeHTTP(&responseWriter{ResponseWriter: w, stopping: &s.stopping}, r)
}

// responseWriter ends the connection of a response whose head is written during a shutdown.
type responseWriter struct {
	http.ResponseWriter
	stopping    *atomic.Bool
	wroteHeader bool
}

// Unwrap returns the writer of the server, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *responseWriter) endConnection() {
	if !w.wroteHeader && w.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	w.wroteHeader = true
}

// WriteHeader writes the head of the response.
func (w *responseWriter) WriteHeader(status int) {
	w.endConnection()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.endConnection()
	return w.ResponseWriter.Write(p)
}

// Stop shuts the server down and waits for requests in flight. Those that have not ended
// CancelGrace before the deadline of ctx are canceled; Stop then returns StopError.
func (s *Server) Stop(ctx context.Context, o Options) error {
	requests := ctx
	if _, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		requests, cancel = context.WithTimeout(ctx, o.CancelAfter(ctx))
		defer cancel()
	}
	s.stopping.Store(true)
	wait(requests, o.DrainDelay)
	// The error of a listener that is closed already does not matter.
	_ = s.listener.Close()
	s.closeWaiting()
	// Close also closes the listener again, with an error of no interest.
	defer func() { _ = s.http.Close() }()
	select {
	case <-s.empty:
		return nil
	case <-requests.Done():
	}
	o.CancelRequests()
	select {
	case <-s.empty:
	case <-time.After(o.CancelGrace):
	}
	return &StopError{Err: requests.Err()}
}

// closeWaiting closes all connections without a request, now and from now on.
func (s *Server) closeWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for _, c := range s.conns {
		c.closeIfWaiting()
	}
	s.signalIfEmpty()
}

// wait waits for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

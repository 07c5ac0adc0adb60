package guard

import (
	"context"
	"net"
	"net/http"
	"time"
)

type connKey struct{}

// FromContext returns the connection of an HTTP request, nil if its listener has no account.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Install makes an HTTP server mark the requests of its connections. It keeps the functions
// that the server has.
func Install(server *http.Server) {
	handler, connContext, connState := server.Handler, server.ConnContext, server.ConnState
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c != nil && !c.begin() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
		if c != nil && r.ContentLength != 0 && !c.bodyRead {
			c.beginRest(w)
		}
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		c, ok := conn.(*Conn)
		if !ok {
			return ctx
		}
		c.isHTTP = true
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.end()
		}
		if connState != nil {
			connState(conn, state)
		}
	}
}

// restTimeout bounds the time in which the rest of a body arrives that no handler reads. The
// server discards up to 256 KiB of it before it sends the response.
const restTimeout = time.Minute

// beginRest marks the time after a handler that has not read the whole body, such as that of a
// request with a wrong API key. The server waits for the rest of it; without a bound, a body
// that stops would keep its connection for good.
func (c *Conn) beginRest(w http.ResponseWriter) {
	if !c.bodyTimed {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout))
	}
	c.beginBody()
}

package guard

import (
	"context"
	"net"
	"net/http"
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
		if c := FromContext(r.Context()); c != nil && !c.begin() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
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

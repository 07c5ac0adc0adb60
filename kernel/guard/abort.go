package guard

import "net/http"

// Abort ends a response that was sent in part, and does not return. The server closes the
// connection without the end of the body. A caller of HTTP/1.0 gets no chunks and would take an
// orderly close for that end, so its connection is reset.
func Abort(r *http.Request) {
	if c := FromContext(r.Context()); c != nil && !r.ProtoAtLeast(1, 1) {
		if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
			_ = tcp.SetLinger(0)
		}
	}
	panic(http.ErrAbortHandler)
}

// Package flood is a faulty HTTP server: it sends bytes without end in a head or in a body. It
// writes to the connection itself, since an HTTP library would not send them.
package flood

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// trickleInterval is the time between two pieces after the burst. It keeps the reader waiting
// for more.
const trickleInterval = 250 * time.Millisecond

// Response is a response without an end.
type Response struct {
	Name string
	// Start is sent once.
	Start string
	// Piece returns the piece with a number, of which any number are sent.
	Piece func(n int) string
	// Burst is the number of bytes of pieces that are sent without a pause, 0 for all.
	Burst int
}

// Send sends a response until the connection takes no more.
func (r Response) Send(w io.Writer) {
	out := bufio.NewWriter(w)
	_, err := out.WriteString(r.Start)
	for n, sent := 0, 0; err == nil; n++ {
		piece := r.Piece(n)
		sent += len(piece)
		if _, err = out.WriteString(piece); err == nil && r.Burst > 0 && sent > r.Burst {
			err = out.Flush()
			time.Sleep(trickleInterval)
		}
	}
}

// Repeat returns a function for pieces that are all the same.
func Repeat(piece string) func(int) string { return func(int) string { return piece } }

// ShortLines are field lines with different names: those that take the most memory for their
// length.
func ShortLines(n int) string { return fmt.Sprintf("%x:\r\n", n) }

// Heads returns heads without end, of which a reader that bounds them by bytes takes burst.
func Heads(burst int) []Response {
	return []Response{
		{Name: "short field lines", Start: "HTTP/1.1 200 OK\r\n", Piece: ShortLines, Burst: burst},
		{Name: "one field line", Start: "HTTP/1.1 200 OK\r\nX: ", Piece: Repeat(strings.Repeat("x", 1<<10)), Burst: burst},
		{Name: "no line", Piece: Repeat(strings.Repeat("x", 1<<10)), Burst: burst},
		{Name: "interim heads", Piece: Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"), Burst: burst},
	}
}

// Server is a server that answers some requests with a response without an end.
type Server struct {
	listener net.Listener
	handler  http.Handler
	respond  func(r *http.Request) *Response
	// Floods counts the responses without an end.
	Floods atomic.Int64
}

// Start starts a server. Requests for which respond returns nil go to a handler.
func Start(handler http.Handler, respond func(r *http.Request) *Response) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, handler: handler, respond: respond}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// Address returns the address of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response := s.respond(r)
	if response == nil {
		s.handler.ServeHTTP(w, r)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	s.Floods.Add(1)
	response.Send(conn)
}

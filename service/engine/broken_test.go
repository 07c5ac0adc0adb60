package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/internal/rawserver"
)

// listenRaw starts an upstream that hands each connection to a function and closes it. It returns
// its URL.
func listenRaw(t *testing.T, serve func(conn *net.TCPConn, reader *bufio.Reader)) string {
	t.Helper()
	return "http://" + rawserver.Listen(t, rawserver.AnyPort, func(conn *net.TCPConn) { serve(conn, bufio.NewReader(conn)) })
}

// Guards against a part of a body that is reported as complete: the upstream resets the
// connection while the request is being written, on a new connection and on a kept one.
func TestResetDuringUploadIsNotComplete(t *testing.T) {
	const uploadBytes, workers, rounds = 4 << 20, 8, 10
	const keptBody = "ok"
	const kept = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + keptBody
	for _, c := range []struct {
		name, response string
		// keep is the number of requests that are answered in order before the reset.
		keep int
	}{
		{"new connection", "HTTP/1.1 200 OK\r\n\r\npart", 0},
		{"kept connection", "HTTP/1.1 200 OK\r\n\r\npart", 1},
		{"without a body", "HTTP/1.1 200 OK\r\n\r\n", 0},
		{"stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			url := listenRaw(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				for range c.keep {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, kept)
				}
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, c.response)
				}
				_ = conn.SetLinger(0)
			})
			e := startEngine(t, url)
			body := []byte(strings.Repeat("x", uploadBytes))
			var complete atomic.Int64
			var group sync.WaitGroup
			for range workers {
				group.Go(func() {
					for range rounds {
						for range c.keep {
							_, _ = e.Run(t.Context(), order(), &recordingSink{})
						}
						long := order()
						long.Body = body
						var got recordingSink
						_, failure := e.Run(t.Context(), long, &got)
						// On a connection of its own, an order gets the response in order.
						if failure == nil && (c.keep == 0 || strings.Join(got.chunks, "") != keptBody) {
							complete.Add(1)
						}
						if failure != nil && failure.Run == api.NotRun {
							t.Errorf("failure %v, but the request may have run", failure)
						}
					}
				})
			}
			group.Wait()
			if n := complete.Load(); n > 0 {
				t.Errorf("%d of %d runs were complete", n, workers*rounds)
			}
		})
	}
}

// Guards against a malformed head that is forwarded as a response of the upstream.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for _, start := range []string{
		"HTTP/1.1 +20 OK\r\n", "HTTP/1.1  200 OK\r\n", "HTTP/1.1 200 O\x00K\r\n", "HTTP/2.0 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nX Field: 1\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n", "HTTP/1.1 200 OK\r\nX-\x01: 1\r\n",
		"HTTP/1.1 200 OK\r\n X-Field: 1\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Run(fmt.Sprintf("%q", start), func(t *testing.T) {
			url := listenRaw(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				if request, err := http.ReadRequest(reader); err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, start+"Content-Length: 6\r\n\r\nanswer")
				}
			})
			var got recordingSink
			_, failure := startEngine(t, url).Run(t.Context(), order(), &got)
			if n, chunks := got.counts(); failure == nil || failure.Code != api.CodeUpstreamFailed || failure.Run != api.RunUnknown || n != 0 || chunks != 0 {
				t.Errorf("failure %v, status %d, %d chunks", failure, n, chunks)
			}
		})
	}
}

// Guards against an event whose lines have no end: it was held until the agent's memory was used
// up. A long event within the limit still arrives.
func TestEventOfManyLinesIsBounded(t *testing.T) {
	const line = "data: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\n"
	for _, c := range []struct {
		lines    int
		complete bool
	}{{1000, true}, {10_000, true}, {40_000, false}} {
		url := listenRaw(t, func(conn *net.TCPConn, reader *bufio.Reader) {
			if _, err := http.ReadRequest(reader); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"+strings.Repeat(line, c.lines)+"\ndata: [DONE]\n\n")
			}
		})
		var got recordingSink
		small := order()
		small.Method, small.Body, small.Idempotent = http.MethodGet, nil, true
		_, failure := startEngine(t, url).Run(t.Context(), small, &got)
		if c.complete != (failure == nil) || c.complete && len(got.chunks) != 2 {
			t.Errorf("%d lines: failure %v, %d chunks", c.lines, failure, len(got.chunks))
		}
	}
}

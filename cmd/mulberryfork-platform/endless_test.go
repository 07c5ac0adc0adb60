package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// endlessDeadline is the deadline of the requests that the fixture sends, and
	// endlessMargin the time after it within which a connection must be closed.
	endlessDeadline = 3 * time.Second
	endlessMargin   = time.Second
	// maxEndlessBytes bounds what is read of bytes that are no response, with the
	// buffers of both sockets.
	maxEndlessBytes = 24 << 20
	// maxEndlessMemory bounds the memory that one such response takes.
	maxEndlessMemory = 24 << 20
)

// endlessUpstream sends bytes without end in response to each request, until the caller
// closes the connection.
type endlessUpstream struct {
	listener net.Listener
	// start is sent once, with the ID of the request in place of %s, and repeated again
	// and again.
	start, repeated string
	sent            atomic.Int64
	closed          atomic.Int64
}

func newEndlessUpstream(t *testing.T, start, repeated string) *endlessUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &endlessUpstream{listener: listener, start: start, repeated: strings.Repeat(repeated, 64)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *endlessUpstream) serve(conn net.Conn) {
	defer u.closed.Add(1)
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	start := u.start
	if strings.Contains(start, "%s") {
		start = fmt.Sprintf(start, request.Header.Get("X-Mulberryfork-Attempt-Id"))
	}
	if _, err := io.WriteString(conn, start); err != nil {
		return
	}
	for {
		n, err := io.WriteString(conn, u.repeated)
		u.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

const (
	signedHead   = "HTTP/1.1 200 OK\r\nX-Mulberryfork-Attempt-Id: %s\r\nX-Mulberryfork-Response-Signature: sig\r\n"
	unsignedHead = "HTTP/1.1 200 OK\r\nX-Mulberryfork-Attempt-Id: %s\r\n"
	refusedHead  = "HTTP/1.1 503 Service Unavailable\r\nX-Mulberryfork-Attempt-Id: %s\r\nX-Mulberryfork-Request-Not-Executed: 1\r\n"
	chunked      = "Transfer-Encoding: chunked\r\n\r\n"
	chunk        = "40\r\n0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n"
)

// Guards against an upstream that sends bytes without end: its connection must be closed
// within the deadline, memory must stay flat, the caller must be told the truth about
// the run, and other requests must be served meanwhile.
func TestEndlessBytesAreBounded(t *testing.T) {
	for _, c := range []struct {
		name, path, start, repeated string
		// status is that of the response to the caller.
		status int
	}{
		{"header lines", "/u/x", "HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789\r\n", 502},
		{"one header line", "/u/x", "HTTP/1.1 200 OK\r\nX-Filler: ", "0123456789", 502},
		{"no line at all", "/u/x", "", "0123456789", 502},
		{"informational heads", "/u/x", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 502},
		{"chunk extension", "/u/x", signedHead + chunked + "5;x=", "0123456789", 502},
		{"body under a refusal", "/u/x", refusedHead + chunked, chunk, 503},
		{"unsigned body", "/u/x", unsignedHead + chunked, chunk, 502},
		{"event", "/s/x", signedHead + "Content-Type: text/event-stream\r\n" + chunked, chunk, 502},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			u := newEndlessUpstream(t, c.start, c.repeated)
			// Only the endless upstream serves requests.
			f.register("w1", f.address("w1"), "draining")
			f.register("w2", f.address("w2"), "draining")
			f.register("endless", u.listener.Addr().String(), "available")
			f.awaitView(func(v *api.View) bool {
				return v.Instances["w1"].Leaving && v.Instances["w2"].Leaving && len(v.Instances) == 3
			})
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			startedAt := time.Now()
			response, _, _ := f.send(c.path, "key1", "whole")
			took := time.Since(startedAt)
			runtime.GC()
			runtime.ReadMemStats(&after)
			if response == nil || response.StatusCode != c.status {
				t.Errorf("response %+v, want status %d", response, c.status)
			}
			if took > endlessDeadline+endlessMargin {
				t.Errorf("responded after %v", took)
			}
			if !waitFor(func() bool { return u.closed.Load() > 0 }) {
				t.Error("the connection to the upstream was not closed")
			}
			if n := u.sent.Load(); n > maxEndlessBytes {
				t.Errorf("%d bytes were read", n)
			}
			if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > maxEndlessMemory {
				t.Errorf("the heap grew by %d bytes", grown)
			}
			f.register("w1", f.address("w1"), "available")
			f.store.Delete("servers/endless")
			f.awaitView(func(v *api.View) bool { return !v.Instances["w1"].Leaving && len(v.Instances) == 2 })
			if response, text, err := f.send("/u/x", "key1", "whole"); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("the next request got %v %q, error %v", response, text, err)
			}
		})
	}
}

// Guards against a signed body without end that is forwarded for ever, or that looks
// complete to the caller.
func TestEndlessSignedBodyEndsAtDeadline(t *testing.T) {
	f := newFixture(t)
	u := newEndlessUpstream(t, signedHead+chunked, chunk)
	f.register("w1", f.address("w1"), "draining")
	f.register("w2", f.address("w2"), "draining")
	f.register("endless", u.listener.Addr().String(), "available")
	f.awaitView(func(v *api.View) bool {
		return v.Instances["w1"].Leaving && v.Instances["w2"].Leaving && len(v.Instances) == 3
	})
	r, err := http.NewRequest(http.MethodPost, "http://"+f.http+"/u/x", strings.NewReader("whole"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Mulberryfork-Attempt-Id", "endless")
	r.Header.Set("X-Mulberryfork-Deadline-Remaining", "1000")
	r.Header.Set("X-Api-Key", "key1")
	startedAt := time.Now()
	response, err := transport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	buffer := make([]byte, 1<<16)
	for err == nil {
		_, err = response.Body.Read(buffer)
	}
	if err == io.EOF {
		t.Error("the body looks complete to the caller")
	}
	if took := time.Since(startedAt); took > endlessDeadline+endlessMargin {
		t.Errorf("the body ended after %v, want the deadline of 1 s", took)
	}
	if !waitFor(func() bool { return u.closed.Load() > 0 }) {
		t.Error("the connection to the upstream was not closed")
	}
}

package main

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
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/internal/rawserver"
)

const (
	// uploadBytes is more than the buffers of both sockets hold, so that the upload is still
	// being written when the upstream resets the connection.
	uploadBytes = 4 << 20
	// uploads run at once: one by one, the reset was never seen by the writer first.
	uploads       = 8
	uploadRounds  = 5
	uploadTimeout = 4 * time.Second
)

// earlyUpstream answers a request before it has read its body, and ends the connection.
type earlyUpstream struct {
	// read is the number of bytes of the body that are read first.
	read int64
	// response is what it answers, with the ID of the request in place of %s.
	response string
	// wait is the time between the response and the end.
	wait time.Duration
	// orderly ends the connection by a close of the sending side; the rest of the upload is
	// still read. Otherwise the connection is reset.
	orderly  bool
	requests atomic.Int64
}

func (u *earlyUpstream) serve(conn *net.TCPConn) {
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	u.requests.Add(1)
	_, _ = io.CopyN(io.Discard, request.Body, u.read)
	_, _ = io.WriteString(conn, strings.ReplaceAll(u.response, "%s", request.Header.Get("X-Mulberryfork-Attempt-Id")))
	time.Sleep(u.wait)
	if u.orderly {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
		return
	}
	_ = conn.SetLinger(0)
}

// upload sends a long request and returns the status of a complete response and its body. The
// status is 0 if the response was broken off.
func (f *fixture) upload(client *http.Client, path, id, body string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.http+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h.example"
	r.Header.Set("X-Mulberryfork-Attempt-Id", id)
	r.Header.Set("X-Mulberryfork-Deadline-Remaining", fmt.Sprint(uploadTimeout.Milliseconds()))
	r.Header.Set("X-Api-Key", "key1")
	response, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

const (
	unframedHead = "HTTP/1.1 200 OK\r\nX-Mulberryfork-Attempt-Id: %s\r\nX-Mulberryfork-Response-Signature: sig\r\n\r\n"
	framedHead   = "HTTP/1.1 200 OK\r\nX-Mulberryfork-Attempt-Id: %s\r\nX-Mulberryfork-Response-Signature: sig\r\nContent-Length: 4\r\n\r\n"
)

// Guards against a part of a body that callers get as a complete response: an upstream that
// answers without a length and resets the connection while the upload is being written. The
// write took the error of the reset, and the read saw an orderly end.
func TestResetDuringUploadIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		name, path string
		upstream   *earlyUpstream
		// complete is true if callers must get the whole response.
		complete bool
	}{
		{"with a part of the body", "/u/x", &earlyUpstream{response: unframedHead + "part"}, false},
		{"without a body", "/u/x", &earlyUpstream{response: unframedHead}, false},
		{"after a part of the upload", "/u/x", &earlyUpstream{response: unframedHead + "part", read: uploadBytes / 2}, false},
		{"some time later", "/u/x", &earlyUpstream{response: unframedHead + "part", wait: 5 * time.Millisecond}, false},
		{"idempotent", "/i/x", &earlyUpstream{response: unframedHead + "part"}, false},
		{"shorter than its length", "/u/x", &earlyUpstream{response: strings.Replace(framedHead, ": 4", ": 5", 1) + "part"}, false},
		{"stream", "/s/x", &earlyUpstream{response: strings.Replace(unframedHead, "OK\r\n", "OK\r\nContent-Type: text/event-stream\r\n", 1) + "id: 1\ndata: a\n\n"}, false},
		{"orderly end", "/u/x", &earlyUpstream{response: unframedHead + "part", orderly: true}, true},
		{"orderly end with a length", "/u/x", &earlyUpstream{response: framedHead + "part", orderly: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixtureWithRetryBudget(t, 1_000_000)
			f.store.Put("op/config", []byte(strings.Replace(fmt.Sprintf(configFormat, 2, 1), `"maxBodyBytes":100000`, fmt.Sprintf(`"maxBodyBytes":%d`, 2*uploadBytes), 1)))
			f.useRaw(&rawUpstream{address: rawserver.Listen(t, rawserver.AnyPort, c.upstream.serve)})
			f.awaitView(func(v *api.View) bool { return v.Table != nil && v.Table.MaxBodyBytes > uploadBytes })
			body := strings.Repeat("x", uploadBytes)
			var whole, broken atomic.Int64
			var group sync.WaitGroup
			for worker := range uploads {
				group.Go(func() {
					kept := &http.Client{Transport: &http.Transport{}}
					defer kept.CloseIdleConnections()
					for round := range uploadRounds {
						status, text := f.upload(kept, c.path, fmt.Sprintf("u%d-%d", worker, round), body)
						if status >= 200 && status < 300 {
							whole.Add(1)
						} else {
							broken.Add(1)
						}
						if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
							t.Errorf("status %d %q says that a request did not run that may have", status, text)
						}
					}
				})
			}
			group.Wait()
			if whole, broken := whole.Load(), broken.Load(); c.complete && broken > 0 || !c.complete && whole > 0 {
				t.Errorf("%d responses were complete and %d were not", whole, broken)
			}
			if c.upstream.requests.Load() < uploads*uploadRounds {
				t.Errorf("the upstream got %d requests", c.upstream.requests.Load())
			}
		})
	}
}

// Guards against a response in part that a caller of HTTP/1.0 takes for a whole one: it gets no
// chunks, and a body without a length ends with its connection.
func TestAbortedResponseToOldCallerIsNotComplete(t *testing.T) {
	const chunkBytes = 64 << 10
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	head := "HTTP/1.1 200 OK\r\nX-Mulberryfork-Attempt-Id: %s\r\nX-Mulberryfork-Response-Signature: sig\r\nTransfer-Encoding: chunked\r\n"
	for _, c := range []struct {
		name, path, response string
		complete             bool
	}{
		{"body in part", "/u/x", head + "\r\n" + strings.Repeat(chunk, 16), false},
		{"whole body", "/u/x", head + "\r\n" + strings.Repeat(chunk, 16) + "0\r\n\r\n", true},
		{"stream in part", "/s/x", head + "Content-Type: text/event-stream\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n", false},
		{"whole stream", "/s/x", head + "Content-Type: text/event-stream\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.useRaw(newRawUpstream(t, c.response))
			caller := f.dial()
			caller.write("POST " + c.path + " HTTP/1.0\r\nHost: h.example\r\nX-Api-Key: key1\r\nX-Mulberryfork-Attempt-Id: old\r\nX-Mulberryfork-Deadline-Remaining: 2000\r\nContent-Length: 0\r\n\r\n")
			text, err := io.ReadAll(caller.conn)
			if c.complete != (err == nil) {
				t.Errorf("%d bytes, error %v", len(text), err)
			}
		})
	}
}

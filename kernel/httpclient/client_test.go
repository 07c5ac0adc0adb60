package httpclient_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/kernel/httpclient"
)

// scriptedConn is a connection whose ends come in a fixed order: the body of a request is
// written, or fails to be, before the response ends.
type scriptedConn struct {
	net.Conn
	response *strings.Reader
	// writeErr is the error of the first write after the head of the request, nil for one that
	// waits until its deadline is set. readErr is that of the end.
	writeErr, readErr error

	head, written sync.Once
	headSent      chan struct{}
	bodyFailed    chan struct{}
	deadline      chan struct{}
	deadlineSet   sync.Once
}

func newScriptedConn(response string, writeErr, readErr error) *scriptedConn {
	return &scriptedConn{
		response: strings.NewReader(response), writeErr: writeErr, readErr: readErr,
		headSent: make(chan struct{}), bodyFailed: make(chan struct{}), deadline: make(chan struct{}),
	}
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	first := false
	c.head.Do(func() { first = true; close(c.headSent) })
	if first {
		return len(p), nil
	}
	defer c.written.Do(func() { close(c.bodyFailed) })
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	<-c.deadline
	return 0, os.ErrDeadlineExceeded
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	<-c.headSent
	if n, err := c.response.Read(p); err == nil {
		return n, nil
	}
	if c.writeErr != nil {
		<-c.bodyFailed
	}
	return 0, c.readErr
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error {
	c.deadlineSet.Do(func() { close(c.deadline) })
	return nil
}

func (c *scriptedConn) Close() error {
	c.deadlineSet.Do(func() { close(c.deadline) })
	return nil
}

func dialTo(c net.Conn) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) { return c, nil }
}

// post sends a request whose body needs more than one write, and returns the body of the response.
func post(t *testing.T, c *httpclient.Client) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://upstream/x", strings.NewReader(strings.Repeat("x", 64<<10)))
	if err != nil {
		t.Fatal(err)
	}
	response, err := c.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against an end of a connection that is taken for the end of a response: after a write
// got the error of a reset, reads see the same end as after an orderly close. Also guards against
// a whole response that is lost because the request could not be written to its end.
func TestEndOfConnectionDuringUpload(t *testing.T) {
	const unframed, framed = "HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"
	for _, c := range []struct {
		name, response    string
		writeErr, readErr error
		whole             bool
	}{
		{"reset seen by the writer", unframed, syscall.ECONNRESET, io.EOF, false},
		{"reset seen by the reader", unframed, syscall.EPIPE, syscall.ECONNRESET, false},
		{"reset after the end of what is read", unframed, syscall.EPIPE, io.EOF, false},
		{"no acknowledgement", unframed, syscall.ETIMEDOUT, io.EOF, false},
		{"reset before the body", "HTTP/1.1 200 OK\r\n\r\n", syscall.ECONNRESET, io.EOF, false},
		{"reset in the head", "HTTP/1.1 200 OK\r\n", syscall.ECONNRESET, io.EOF, false},
		{"reset without a response", "", syscall.ECONNRESET, io.EOF, false},
		{"reset in a body with a length", strings.TrimSuffix(framed, "t"), syscall.ECONNRESET, io.EOF, false},
		{"reset after a body with a length", framed, syscall.ECONNRESET, io.EOF, true},
		{"reset after the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", syscall.ECONNRESET, io.EOF, true},
		{"orderly close while the writer waits", unframed, nil, io.EOF, true},
		{"reset while the writer waits", unframed, nil, syscall.ECONNRESET, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			body, err := post(t, httpclient.New(httpclient.Options{Dial: dialTo(newScriptedConn(c.response, c.writeErr, c.readErr))}))
			if c.whole != (err == nil) || c.whole && body != "part" {
				t.Errorf("body %q, error %v", body, err)
			}
			var unreached *httpclient.ConnectError
			if errors.As(err, &unreached) {
				t.Errorf("%v, but the server may have received the request", err)
			}
			var lost *httpclient.ConnectionLostError
			if c.writeErr != nil && c.readErr == io.EOF && err != nil && !errors.As(err, &lost) {
				t.Errorf("error %v does not show that the connection was lost", err)
			}
		})
	}
}

// rawServer answers the requests of each connection with one text after the other, and then
// closes it.
func rawServer(t *testing.T, responses ...string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for _, text := range responses {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(conn, text)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func newClient(maxIdle int) *httpclient.Client {
	return httpclient.New(httpclient.Options{
		Dial: (&net.Dialer{}).DialContext, MaxIdle: maxIdle, IdleTimeout: time.Minute,
	})
}

func get(t *testing.T, c *httpclient.Client, address string) (*httpclient.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	return c.Do(r)
}

// Guards against a head that is checked on the first request of a connection only, and against
// a head that was sent before the request and is taken for its response.
func TestHeadsOnKeptConnection(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"
	for _, c := range []struct{ name, first, second string }{
		{"malformed name", sound, "HTTP/1.1 200 OK\r\nX Field: 1\r\nContent-Length: 6\r\n\r\nanswer"},
		{"malformed status", sound, "HTTP/1.1 +20 OK\r\nContent-Length: 6\r\n\r\nanswer"},
		{"two responses at once", sound + strings.Replace(sound, "answer", "second", 1), ""},
		{"bytes that are none", sound + "\x00\x01", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := rawServer(t, c.first, c.second)
			client := newClient(1)
			defer client.CloseIdleConnections()
			for i := range 20 {
				response, err := get(t, client, address)
				if err != nil {
					continue
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if response.Status != http.StatusOK || response.Header["X Field"] != nil || err == nil && string(body) != "answer" {
					t.Fatalf("request %d: %d %v %q, %v", i, response.Status, response.Header, body, err)
				}
			}
		})
	}
}

// Guards against a failure to connect that looks as if the server had received the request, and
// the other way round.
func TestOnlyConnectErrorIsNotSent(t *testing.T) {
	address := rawServer(t, "")
	var unreached *httpclient.ConnectError
	if _, err := get(t, newClient(0), address); err == nil || errors.As(err, &unreached) {
		t.Errorf("error %v after the request was read", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	if _, err := get(t, newClient(0), listener.Addr().String()); !errors.As(err, &unreached) || !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v without a connection", err)
	}
}

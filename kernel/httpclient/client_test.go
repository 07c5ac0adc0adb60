package httpclient_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/internal/rawserver"
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
	response, err := c.Do(r, "")
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

// closedConn is a connection on which one response comes. Any later write fails.
type closedConn struct {
	net.Conn
	written, closed chan struct{}
	writes          atomic.Int64
	response        *strings.Reader
	closeOnce       sync.Once
}

func (c *closedConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) > 1 {
		return 0, syscall.EPIPE
	}
	close(c.written)
	return len(p), nil
}

func (c *closedConn) Read(p []byte) (int, error) {
	<-c.written
	if n, err := c.response.Read(p); err == nil {
		return n, nil
	}
	<-c.closed
	return 0, io.EOF
}

func (c *closedConn) SetWriteDeadline(time.Time) error { return nil }

func (c *closedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// Guards against a request of which nothing was written and that is given up, although another
// connection can take it.
func TestRequestIsSentOnAnotherConnection(t *testing.T) {
	address := rawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
	dials := 0
	client := httpclient.New(httpclient.Options{MaxIdle: 1, IdleTimeout: time.Minute, Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
		if dials++; dials == 1 {
			return &closedConn{
				written: make(chan struct{}), closed: make(chan struct{}),
				response: strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"),
			}, nil
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})
	for _, want := range []string{"part", "other"} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://upstream/x", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(r, "")
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || string(body) != want {
			t.Errorf("body %q, error %v, want %q", body, err, want)
		}
		_ = response.Body.Close()
	}
}

// rawServer answers the requests of each connection with one text after the other, and then
// closes it.
func rawServer(t *testing.T, responses ...string) string {
	t.Helper()
	return rawserver.Listen(t, rawserver.AnyPort, func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for _, text := range responses {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, text)
		}
	})
}

func newClient(maxIdle int, account httpclient.Account) *httpclient.Client {
	return httpclient.New(httpclient.Options{
		Account: account, Holder: "test", Dial: (&net.Dialer{}).DialContext, MaxIdle: maxIdle, IdleTimeout: time.Minute,
	})
}

func get(t *testing.T, c *httpclient.Client, address string) (*httpclient.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	return c.Do(r, "")
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
			client := newClient(1, nil)
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

// countingAccount grants bytes up to a limit.
type countingAccount struct {
	limit      int64
	used, peak atomic.Int64
	refused    atomic.Int64
}

func (a *countingAccount) Take(_ context.Context, holder string, n int64) error {
	if holder != "test" {
		return fmt.Errorf("charged to %q", holder)
	}
	if a.used.Add(n) > a.limit {
		a.used.Add(-n)
		a.refused.Add(1)
		return errors.New("no room")
	}
	for {
		peak := a.peak.Load()
		if used := a.used.Load(); used <= peak || a.peak.CompareAndSwap(peak, used) {
			return nil
		}
	}
}

func (a *countingAccount) Return(_ context.Context, _ string, n int64) { a.used.Add(-n) }

// Guards against responses that are held without a charge, are charged after they have ended, or
// exceed the account together.
func TestResponsesAreCharged(t *testing.T) {
	const parallel = 8
	shortLines := "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 10_000) + "Content-Length: 2\r\n\r\n{}"
	page := func(text string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	for _, c := range []struct {
		name, response string
		limit          int64
		// refused is true if the account has no room for parallel responses of the kind.
		refused bool
	}{
		{"small", page(`{"a":1}`), 0, false},
		{"head of short lines", shortLines, 4 << 20, true},
		{"long text", page(`"` + strings.Repeat("x", 1<<20) + `"`), 8 << 20, true},
		{"long text with room", page(`"` + strings.Repeat("x", 1<<20) + `"`), 64 << 20, false},
		{"many values", page(`[` + strings.Repeat("{},", 100_000) + `{}]`), 24 << 20, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			account := &countingAccount{limit: c.limit}
			address := rawServer(t, c.response)
			client := newClient(0, account)
			var open, failed atomic.Int64
			var group sync.WaitGroup
			held := make(chan struct{})
			for range parallel {
				group.Go(func() {
					response, err := get(t, client, address)
					if err == nil {
						defer response.Body.Close()
						var value any
						err = response.Body.ReadJSON(2<<20, &value)
					}
					var noRoom *httpclient.NoRoomError
					if err != nil && !errors.As(err, &noRoom) {
						t.Errorf("error %v", err)
					}
					if err != nil {
						failed.Add(1)
					}
					if open.Add(1) == parallel {
						close(held)
					}
					<-held
				})
			}
			group.Wait()
			if c.refused != (failed.Load() > 0) {
				t.Errorf("%d of %d responses were refused, peak %d bytes", failed.Load(), parallel, account.peak.Load())
			}
			if account.used.Load() != 0 {
				t.Errorf("%d bytes are still charged", account.used.Load())
			}
		})
	}
}

// Guards against a body without end, or one that stops, whose start is decoded.
func TestOnlyWholeBodyIsDecoded(t *testing.T) {
	for _, c := range []struct {
		name, response string
		whole          bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", true},
		{"whole, until the end of the connection", "HTTP/1.1 200 OK\r\n\r\n{}", true},
		{"blanks after it", "HTTP/1.1 200 OK\r\n\r\n{} \r\n", true},
		{"shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}", false},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", false},
		{"two values", "HTTP/1.1 200 OK\r\n\r\n{}{}", false},
		{"longer than the limit", "HTTP/1.1 200 OK\r\n\r\n{}" + strings.Repeat(" ", 1<<20), false},
		{"length over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 1000001\r\n\r\n{}", false},
		{"head over its limit", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", httpclient.MaxHeadBytes) + "\r\n\r\n{}", false},
		{"interim heads over the limit", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 4000) + "HTTP/1.1 200 OK\r\n\r\n{}", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := rawServer(t, c.response)
			response, err := get(t, newClient(0, nil), address)
			if err == nil {
				defer response.Body.Close()
				var value struct{}
				err = response.Body.ReadJSON(1_000_000, &value)
			}
			if c.whole != (err == nil) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// Guards against a failure to connect that looks as if the server had received the request, and
// the other way round.
func TestOnlyConnectErrorIsNotSent(t *testing.T) {
	address := rawServer(t, "")
	var unreached *httpclient.ConnectError
	if _, err := get(t, newClient(0, nil), address); err == nil || errors.As(err, &unreached) {
		t.Errorf("error %v after the request was read", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	if _, err := get(t, newClient(0, nil), listener.Addr().String()); !errors.As(err, &unreached) || !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v without a connection", err)
	}
}

package guard_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/kernel/guard"
)

// account grants everything and keeps the last connection and its charge.
type account struct {
	mu      sync.Mutex
	now     time.Duration
	conn    *guard.Conn
	charged int64
	refuse  bool
	closed  chan struct{}
}

func (a *account) Open(c *guard.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return true
}

func (a *account) Now() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.now
}

func (a *account) advance(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.now += d
}

func (a *account) Close(*guard.Conn) { close(a.closed) }

func (a *account) Take(_ *guard.Conn, n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.charged += n
	return !a.refuse
}

func (a *account) Return(_ *guard.Conn, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.charged -= n
}

func (a *account) end() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn.End()
}

func (a *account) held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.charged
}

type freeBudget struct{}

func (freeBudget) Take(int64) error { return nil }
func (freeBudget) Return(int64)     {}

// fixture is a server whose handler reads the body, reports its start and waits.
type fixture struct {
	*account
	conn    net.Conn
	reader  *bufio.Reader
	started chan struct{}
	proceed chan struct{}
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{account: &account{closed: make(chan struct{})}, started: make(chan struct{}, 1), proceed: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.started <- struct{}{}
		body := &guard.Body{Budget: freeBudget{}}
		defer body.Release()
		if _, err := body.Read(w, r, 1<<20, time.Minute); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		<-f.proceed
		_, _ = io.WriteString(w, "answer")
	})}
	guard.Install(server)
	go func() { _ = server.Serve(guard.NewListener(listener, "http", false, f.account)) }()
	t.Cleanup(func() { _ = server.Close() })
	if f.conn, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.conn.Close() })
	f.reader = bufio.NewReader(f.conn)
	return f
}

func (f *fixture) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(f.conn, text); err != nil {
		t.Fatal(err)
	}
}

func (f *fixture) read(t *testing.T) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(f.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("timeout")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against the end of a connection whose request is being handled: the request runs and
// its answer is lost.
func TestHandledRequestIsNotEnded(t *testing.T) {
	f := newFixture(t)
	f.send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nwhole")
	<-f.started
	waitUntil(t, func() bool { return f.current().Activity().Serving })
	if f.end() {
		t.Error("the connection was ended while its request was handled")
	}
	close(f.proceed)
	if status, text := f.read(t); status != http.StatusOK || text != "answer" {
		t.Errorf("%d %q", status, text)
	}
	// After the response the connection is idle and may be ended.
	waitUntil(t, f.end)
	if _, err := f.reader.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection is open: %v", err)
	}
	<-f.closed
}

func (a *account) current() *guard.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn
}

// Guards against a body that stops short of its end and whose caller is not told that the
// request has not run.
func TestEndedBodyIsAnswered(t *testing.T) {
	f := newFixture(t)
	f.send(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nalmost")
	<-f.started
	waitUntil(t, func() bool { return f.current().Activity().Receiving })
	if !f.end() {
		t.Fatal("a connection whose body stalls was not ended")
	}
	if status, text := f.read(t); status != http.StatusServiceUnavailable || !strings.Contains(text, "too slowly") {
		t.Errorf("%d %q", status, text)
	}
	if _, err := f.reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection is open: %v", err)
	}
	<-f.closed
}

// Guards against a wait that is measured from the wrong moment: a head whose bytes come one by
// one must not begin anew, a connection that was just answered must, and neither may be ended
// for a wait that is over.
func TestWaitIsMeasuredFromItsStart(t *testing.T) {
	f := newFixture(t)
	close(f.proceed)
	waitUntil(t, func() bool { return f.current() != nil })
	at := func(since time.Duration, receiving bool) func() bool {
		return func() bool {
			a := f.current().Activity()
			return a.Waiting && a.Since == since && a.Receiving == receiving
		}
	}
	waitUntil(t, at(0, false))
	f.advance(time.Second)
	sent := 0
	for _, part := range []string{"G", "ET / HT", "TP/1.1\r\nHost: h\r\n"} {
		f.send(t, part)
		sent += len(part)
		waitUntil(t, func() bool { return f.current().Activity().Moved == int64(sent) })
		waitUntil(t, at(time.Second, true))
		f.advance(time.Second)
	}
	f.send(t, "\r\n")
	if status, _ := f.read(t); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	waitUntil(t, at(4*time.Second, false))
	if f.current().EndWaiting(time.Second) {
		t.Error("the connection was ended for a wait that was over")
	}
	if !f.current().EndWaiting(4 * time.Second) {
		t.Error("the connection was not ended")
	}
	if _, err := f.reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection is open: %v", err)
	}
	<-f.closed
}

// Guards against heads of many short lines, which take far more memory than they have bytes,
// against a charge for ordinary heads, and against one that is not released.
func TestHeadIsChargedByItsLines(t *testing.T) {
	f := newFixture(t)
	close(f.proceed)
	f.send(t, "GET / HTTP/1.1\r\nHost: h\r\nX-Filler: "+strings.Repeat("x", 1000)+"\r\n\r\n")
	if status, _ := f.read(t); status != http.StatusOK || f.held() != 0 {
		t.Errorf("status %d, %d bytes charged for an ordinary head", status, f.held())
	}
	<-f.started
	f.send(t, "GET / HTTP/1.1\r\nHost: h\r\n")
	const lines = 2000
	for n := range lines {
		f.send(t, fmt.Sprintf("%x:\r\n", n))
	}
	waitUntil(t, func() bool { return f.held() >= 100*lines })
	f.send(t, "\r\n")
	if status, _ := f.read(t); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	waitUntil(t, func() bool { return f.held() == 0 })
}

// Guards against a head that is read although there is no room for it.
func TestHeadWithoutRoomEndsConnection(t *testing.T) {
	f := newFixture(t)
	f.refuse = true
	f.send(t, "GET / HTTP/1.1\r\nHost: h\r\nX-Filler: "+strings.Repeat("x", 32<<10))
	if _, err := io.ReadAll(f.reader); err == nil {
		<-f.closed
	}
}

// Guards against more than one allocation for a small body besides the body itself.
func TestSmallBodyAllocations(t *testing.T) {
	const text = "a small body"
	w := &discardWriter{}
	r, err := http.NewRequest(http.MethodPost, "/", nil)
	if err != nil {
		t.Fatal(err)
	}
	source := strings.NewReader(text)
	r.Body, r.ContentLength = io.NopCloser(source), int64(len(text))
	allocations := testing.AllocsPerRun(1000, func() {
		source.Reset(text)
		body := guard.Body{Budget: freeBudget{}}
		if data, err := body.Read(w, r, 1<<20, time.Minute); err != nil || string(data) != text {
			t.Fatalf("%q, %v", data, err)
		}
	})
	if allocations > 2 {
		t.Errorf("%v allocations for a small body, want that of the body and one more", allocations)
	}
}

type discardWriter struct{ http.ResponseWriter }

func (*discardWriter) SetReadDeadline(time.Time) error { return nil }

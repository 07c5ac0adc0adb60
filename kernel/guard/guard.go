// Package guard counts what the connections of a listener do, for an account that bounds what
// they make the process hold, and lets the account end a connection without harm to a request
// that is being handled. The count of bytes takes no lock.
package guard

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Account bounds what connections make the process hold. Its methods may wait for the control
// loop and must not be called on it.
type Account interface {
	// Open reports whether a new connection may be kept.
	Open(c *Conn) bool
	// Close ends the account of a connection.
	Close(c *Conn)
	// Take charges bytes to a connection before its caller is known. It returns false if
	// there is no room.
	Take(c *Conn, n int64) bool
	// Return releases bytes that Take charged.
	Return(c *Conn, n int64)
	// Now returns the time by which the account measures how long connections wait.
	Now() time.Duration
}

// RefusedError reports a connection that is ended because the account has no room for what it
// sends.
type RefusedError struct{}

func (*RefusedError) Error() string { return "the process holds too much for its connections" }

// phase is what a connection does, as far as it may be ended.
type phase = int32

const (
	// waiting is a connection without a request that is being handled.
	waiting phase = iota
	// reading is one whose handler reads the body of the request.
	reading
	// serving is one whose request is being handled.
	serving
	// ended is one that the account has ended.
	ended
)

const (
	// allowance is the cost of a head or a frame that is not charged. It is part of what each
	// connection is charged.
	allowance = 8 << 10
	// step is the least number of bytes that are charged at a time.
	step = 32 << 10
	// headByteCost and headLineCost are what a byte and a line of a head cost: a line has an
	// entry in the map of headers, 70 bytes were measured for the shortest ones.
	headByteCost, headLineCost = 2, 128
	// frameByteCost is what a byte of a frame costs, whose buffer doubles as it grows.
	frameByteCost = 3
)

// Conn is a connection whose bytes are counted.
type Conn struct {
	net.Conn
	account Account
	// Listener is the name of the listener, Source the address of the client without its port.
	Listener, Source string
	// ID identifies the connection in the process.
	ID uint64

	// isHTTP is set before the first byte is read.
	isHTTP bool
	// trusted is set if a client that got a response sends without a charge.
	trusted bool
	phase   atomic.Int32
	moved   atomic.Int64
	// pending is the cost of what has come of a head, or of frames without a response. taken
	// is the part of it that is charged.
	pending, taken  atomic.Int64
	writing, served atomic.Bool
	// since is when an HTTP connection began to wait for a request, or when the first bytes of
	// its head came.
	since     atomic.Int64
	closeOnce sync.Once

	// bodyTimed is set while the body of the request has a read deadline, bodyRead once it was
	// read to its end. Only the goroutine of the handler uses them.
	bodyTimed, bodyRead bool
}

// Listener accepts the connections for which an account has room.
type Listener struct {
	net.Listener
	name    string
	trusted bool
	account Account
}

var lastID atomic.Uint64

// NewListener returns a listener whose connections are charged to an account. If its clients
// are trusted after a response, what they send then is not charged.
func NewListener(l net.Listener, name string, trusted bool, a Account) *Listener {
	return &Listener{Listener: l, name: name, trusted: trusted, account: a}
}

// Accept returns the next connection for which there is room. Others are closed at once.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, account: l.account, Listener: l.name, ID: lastID.Add(1), trusted: l.trusted}
		c.Source, _, _ = net.SplitHostPort(raw.RemoteAddr().String())
		c.since.Store(int64(l.account.Now()))
		if l.account.Open(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// Read reads from the connection. It fails if the account has no room for what has come.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	c.moved.Add(int64(n))
	if c.trusted && c.served.Load() {
		return n, err
	}
	if c.phase.Load() == waiting && !c.charge(p[:n]) {
		return 0, &RefusedError{}
	}
	return n, err
}

// charge charges bytes of a head or a frame beyond the allowance.
func (c *Conn) charge(p []byte) bool {
	cost := int64(len(p)) * frameByteCost
	if c.isHTTP {
		cost = int64(len(p))*headByteCost + int64(bytes.Count(p, []byte{'\n'}))*headLineCost
		if c.pending.Load() == 0 {
			c.since.Store(int64(c.account.Now()))
		}
	}
	missing := c.pending.Add(cost) - allowance - c.taken.Load()
	if missing <= 0 {
		return true
	}
	n := max(missing, step)
	if !c.account.Take(c, n) {
		return false
	}
	c.taken.Add(n)
	return true
}

// Write writes to the connection. A response to a frame releases what the frame was charged.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Store(true)
	n, err := c.Conn.Write(p)
	c.writing.Store(false)
	c.moved.Add(int64(n))
	c.served.Store(true)
	if !c.isHTTP {
		c.release()
	}
	return n, err
}

// release releases what was charged for a head or a frame.
func (c *Conn) release() {
	c.pending.Store(0)
	if n := c.taken.Swap(0); n > 0 {
		c.account.Return(c, n)
	}
}

// CloseWrite ends what is sent to the client. The HTTP server does so before it closes a
// connection whose request it has not read to its end; without it the client may get a reset
// instead of the response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { c.account.Close(c) })
	return err
}

// begin marks the start of a handler. It returns false if the connection was ended.
func (c *Conn) begin() bool {
	c.bodyTimed, c.bodyRead = false, false
	return c.phase.CompareAndSwap(waiting, serving)
}

// end marks the end of a response. The phase is set last: before it, what is left of the head
// that was answered must not count as the start of the next one.
func (c *Conn) end() {
	c.since.Store(int64(c.account.Now()))
	c.release()
	if !c.phase.CompareAndSwap(serving, waiting) {
		c.phase.CompareAndSwap(reading, waiting)
	}
}

// beginBody and endBody enclose the reading of a body, during which the connection may be
// ended. endBody returns false if it was.
func (c *Conn) beginBody() { c.phase.CompareAndSwap(serving, reading) }

func (c *Conn) endBody() bool { return c.phase.CompareAndSwap(reading, serving) }

// End ends a connection unless its request is being handled. If the body of a request is being
// read, that fails, and the request can still be answered. End does not wait.
func (c *Conn) End() bool {
	switch {
	case c.phase.CompareAndSwap(waiting, ended):
		_ = c.Conn.Close()
		return true
	case c.phase.CompareAndSwap(reading, ended):
		if c.writing.Load() {
			_ = c.Conn.Close()
		}
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return true
	case c.writing.Load() && c.phase.CompareAndSwap(serving, ended):
		_ = c.Conn.Close()
		return true
	}
	return false
}

// EndWaiting ends a connection that has waited for a request, or for the rest of a head, since a
// time. It does nothing if a request has arrived meanwhile.
func (c *Conn) EndWaiting(since time.Duration) bool {
	if c.since.Load() != int64(since) || !c.phase.CompareAndSwap(waiting, ended) {
		return false
	}
	_ = c.Conn.Close()
	return true
}

// Activity is what a connection has done.
type Activity struct {
	// Moved is the number of bytes received and sent.
	Moved int64
	// Receiving is set while a head, a frame or a body is coming, Serving while a request is
	// being handled, Writing while a response waits for the client to read.
	Receiving, Serving, Writing bool
	// Served is set once a response was sent.
	Served bool
	// Waiting is set while an HTTP connection has no complete head, Since is when it began to
	// wait for a request or when the first bytes of the head came.
	Waiting bool
	Since   time.Duration
}

// Activity returns what the connection has done.
func (c *Conn) Activity() Activity {
	p := c.phase.Load()
	return Activity{
		Moved:     c.moved.Load(),
		Receiving: p == reading || p == waiting && c.pending.Load() > 0,
		Serving:   p == serving,
		Writing:   c.writing.Load(),
		Served:    c.served.Load(),
		Waiting:   p == waiting,
		Since:     time.Duration(c.since.Load()),
	}
}

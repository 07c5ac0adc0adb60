package httpclient

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is a connection to a server. It checks the heads of responses, and tells an orderly end
// of the connection from another one.
type conn struct {
	net.Conn

	mu sync.Mutex
	// exchange is the current one, nil before the first.
	exchange *exchange
	head     headParser
	// sent is set once the request began to be written.
	sent bool

	// writing is held during a write. The fields below it are guarded by it.
	writing sync.Mutex
	// writeErr is the error of the first write that failed. failedIn is the exchange in which it
	// did, sentIn the last one of whose request bytes were written.
	writeErr         error
	failedIn, sentIn *exchange
}

// begin starts an exchange.
func (c *conn) begin(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange, c.head, c.sent = x, headParser{}, false
}

// current returns the exchange, and marks its request as sent if bytes of it are about to be.
func (c *conn) current(sends bool) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = c.sent || sends
	return c.exchange
}

// Write writes to the connection. If the connection has ended, the rest of the request is dropped
// without an error: the server may have sent a whole response before, which net/http does not
// read after a failed write. The reader gets the error instead. A request of which nothing was
// written fails at once, so that net/http may send it on another connection.
func (c *conn) Write(p []byte) (int, error) {
	x := c.current(true)
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil {
		n, err := c.Conn.Write(p)
		if n > 0 {
			c.sentIn = x
		}
		if err == nil {
			return n, nil
		}
		c.writeErr, c.failedIn = err, x
		if !hasEnded(err) {
			return n, err
		}
	}
	if c.failedIn != x || c.sentIn != x {
		return 0, c.writeErr
	}
	return len(p), nil
}

// hasEnded reports whether a write failed because the connection has ended. The deadline of
// writes is set once a read has seen the end.
func hasEnded(err error) bool {
	for _, end := range []error{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, os.ErrDeadlineExceeded} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// Read reads from the connection and checks what belongs to a head.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if err := c.check(p[:n]); err != nil {
			return 0, err
		}
	}
	if err == io.EOF {
		err = c.endOfReads()
	}
	return n, err
}

// check checks the bytes of a head. Others, and those that come while there is no exchange, are
// left to net/http.
func (c *conn) check(p []byte) error {
	c.mu.Lock()
	x, sent := c.exchange, c.sent
	if x == nil || c.head.state == afterHead {
		c.mu.Unlock()
		return nil
	}
	if !sent {
		c.mu.Unlock()
		return x.fail(&UnsolicitedError{})
	}
	err := c.head.feed(p)
	isWhole, cost := c.head.state == afterHead, c.head.cost()
	c.mu.Unlock()
	if err != nil {
		return x.fail(err)
	}
	return x.received(isWhole, cost)
}

// endOfReads returns io.EOF if the server closed the connection in order, else a
// *ConnectionLostError. The operating system reports a reset once, to the first call on the
// connection: if a write got the error, reads see the same end as after an orderly close. A
// write that waits for room is ended, so that its error is known; the response is over.
func (c *conn) endOfReads() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil && !errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return &ConnectionLostError{Err: c.writeErr}
	}
	return io.EOF
}

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

// conn is a connection to a server. It tells an orderly end of the connection from another one.
type conn struct {
	net.Conn

	mu sync.Mutex
	// exchange is the current one, nil before the first.
	exchange *exchange

	// writing is held during a write. The fields below it are guarded by it.
	writing sync.Mutex
	// writeErr is the error of the first write that failed. failedIn is the exchange in which it
	// did.
	writeErr error
	failedIn *exchange
}

// begin starts an exchange.
func (c *conn) begin(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange = x
}

func (c *conn) current() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exchange
}

// Write writes to the connection. If the connection has ended, the rest of the request is dropped
// without an error: the server may have sent a whole response before, which net/http does not
// read after a failed write. The reader gets the error instead.
func (c *conn) Write(p []byte) (int, error) {
	x := c.current()
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil {
		n, err := c.Conn.Write(p)
		if err == nil {
			return n, nil
		}
		c.writeErr, c.failedIn = err, x
		if !hasEnded(err) {
			return n, err
		}
	}
	if c.failedIn != x {
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

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endOfReads()
	}
	return n, err
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

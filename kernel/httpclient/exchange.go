package httpclient

import (
	"net"
	"sync"
)

// exchange is one request and what came of its response.
type exchange struct {
	mu sync.Mutex
	// connected is set once there was a connection, responded once the head was read.
	connected, responded bool
	// err is why the head is none.
	err error
}

// connect is called for each connection on which the request is sent. net/http sends it again if
// a kept connection has ended before.
func (x *exchange) connect(raw net.Conn) {
	x.mu.Lock()
	x.connected, x.responded, x.err = true, false, nil
	x.mu.Unlock()
	raw.(*conn).begin(x)
}

// fail records why the response is none.
func (x *exchange) fail(err error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.err = err
	return err
}

// received records whether the head was read to its end.
func (x *exchange) received(isWhole bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.responded = isWhole
}

// failure returns the error of an exchange with the error of its transport. A response whose
// bytes came before the request belongs to another one.
func (x *exchange) failure(err error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.err != nil && (err == nil || !isContextError(err)):
		return x.err
	case err != nil && !x.connected:
		return &ConnectError{Err: err}
	case err == nil && !x.responded:
		return &UnsolicitedError{}
	}
	return err
}

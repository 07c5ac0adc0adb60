package httpclient

import (
	"net"
	"sync"
)

// exchange is one request and what came of its response.
type exchange struct {
	mu sync.Mutex
	// connected is set once there was a connection.
	connected bool
}

// connect is called for each connection on which the request is sent. net/http sends it again if
// a kept connection has ended before.
func (x *exchange) connect(raw net.Conn) {
	x.mu.Lock()
	x.connected = true
	x.mu.Unlock()
	raw.(*conn).begin(x)
}

// failure returns the error of an exchange with the error of its transport.
func (x *exchange) failure(err error) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err != nil && !x.connected {
		return &ConnectError{Err: err}
	}
	return err
}

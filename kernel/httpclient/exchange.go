package httpclient

import (
	"context"
	"net"
	"sync"
)

const (
	// freeHead is the cost of a head that is not charged, freeBody that of a body which is read
	// by ReadJSON.
	freeHead, freeBody = 8 << 10, 32 << 10
	// chargeStep is the least number of bytes that are charged for a head at a time.
	chargeStep = 32 << 10
)

// exchange is one request and what came of its response.
type exchange struct {
	account Account
	ctx     context.Context
	holder  string

	mu sync.Mutex
	// connected is set once there was a connection, responded once the head was read.
	connected, responded bool
	// err is why the head is none.
	err error
	// taken is what is charged, headTaken the part of it for the head.
	taken, headTaken int64
	finished         bool
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

// received charges what has come of the head.
func (x *exchange) received(isWhole bool, cost int64) error {
	x.mu.Lock()
	missing := cost - freeHead - x.headTaken
	x.responded = isWhole
	x.mu.Unlock()
	if missing <= 0 {
		return nil
	}
	n := max(missing, chargeStep)
	if err := x.Take(n); err != nil {
		return x.fail(err)
	}
	x.mu.Lock()
	x.headTaken += n
	x.mu.Unlock()
	return nil
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

// Take charges n bytes that are held for the response, until Return or the end of the response.
// The error is a *NoRoomError.
func (x *exchange) Take(n int64) error {
	if x.account == nil {
		return nil
	}
	// The account is asked under the lock, so that nothing is granted after the end.
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.finished {
		return &NoRoomError{Err: context.Canceled}
	}
	if err := x.account.Take(x.ctx, x.holder, n); err != nil {
		return &NoRoomError{Err: err}
	}
	x.taken += n
	return nil
}

// Return releases n bytes that Take charged.
func (x *exchange) Return(n int64) {
	if x.account == nil || n == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.finished {
		x.taken -= n
		x.account.Return(x.ctx, x.holder, n)
	}
}

// finish releases all that is charged.
func (x *exchange) finish() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.finished && x.taken > 0 {
		x.account.Return(x.ctx, x.holder, x.taken)
	}
	x.finished = true
}

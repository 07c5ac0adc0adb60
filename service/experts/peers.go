package experts

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/mulberryfork/mulberryfork/wire"
)

// peerTimeFraction is the fraction of a call's timeout within which the process of a
// rank must respond. The rest of the timeout is reserved for a direct call to the
// rank.
const peerTimeFraction = 0.6

// peers holds at most one idle connection to the process of each other rank. A
// connection carries one call at a time; a concurrent call dials a new one.
type peers struct {
	mu    sync.Mutex
	conns map[string]*drpcconn.Conn
	// down maps the address of a process or rank to the time of its last failed call.
	down map[string]time.Duration
	// maxToken is the highest fencing token in the orders that this process has sent
	// or forwarded.
	maxToken atomic.Uint64
}

// DownError reports that a process or rank was not called, because a call to it
// failed within downRetryDelay.
type DownError struct{ Address string }

func (e *DownError) Error() string {
	return e.Address + " was not called because a recent call to it failed"
}

func (p *peers) observeToken(token uint64) {
	for {
		highest := p.maxToken.Load()
		if token <= highest || p.maxToken.CompareAndSwap(highest, token) {
			return
		}
	}
}

func (p *peers) highestToken() uint64 { return p.maxToken.Load() }

// call calls f with a connection to an address and marks the address as down if f
// fails. The deadline of ctx must be set.
func (p *peers) call(ctx context.Context, now time.Duration, address string, f func(context.Context, *drpcconn.Conn) error) error {
	conn, err := p.acquire(ctx, now, address)
	if err != nil {
		return err
	}
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(peerTimeFraction*float64(time.Until(deadline))))
	defer cancel()
	if err := f(ctx, conn); err != nil {
		_ = conn.Close()
		p.markDown(now, address)
		return err
	}
	p.release(address, conn)
	return nil
}

func (p *peers) acquire(ctx context.Context, now time.Duration, address string) (*drpcconn.Conn, error) {
	p.mu.Lock()
	conn := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if p.isDown(now, address) {
		return nil, &DownError{Address: address}
	}
	if conn != nil {
		return conn, nil
	}
	conn, err := wire.DialPlaintext(ctx, address, callTimeout/2, wire.MaxRankMessageBytes)
	if err != nil {
		p.markDown(now, address)
	}
	return conn, err
}

func (p *peers) release(address string, conn *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.down, address)
	if p.conns[address] != nil {
		_ = conn.Close()
		return
	}
	p.conns[address] = conn
}

// isDown reports whether a call to an address failed within downRetryDelay.
func (p *peers) isDown(now time.Duration, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	failedAt, ok := p.down[address]
	return ok && now-failedAt < downRetryDelay
}

func (p *peers) markDown(now time.Duration, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down[address] = now
}

package experts

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/mulberryfork/mulberryfork/wire"
)

// peerTimeShare is the fraction of a call's timeout given to the process of a rank.
// The rest is left for a direct call to the rank.
const peerTimeShare = 0.6

// peers holds idle connections to the processes of other ranks, at most one each.
// A connection carries one call at a time; a concurrent call dials another.
type peers struct {
	mu    sync.Mutex
	conns map[string]*drpcconn.Conn
	// down holds the time of the last failed call by address of process or rank.
	down map[string]time.Duration
	// maxToken is the highest fencing token in orders sent through this process.
	maxToken atomic.Uint64
}

// DownError reports a process or rank that did not respond recently.
type DownError struct{ Address string }

func (e *DownError) Error() string { return e.Address + " did not respond recently" }

func (p *peers) observeToken(token uint64) {
	for {
		highest := p.maxToken.Load()
		if token <= highest || p.maxToken.CompareAndSwap(highest, token) {
			return
		}
	}
}

func (p *peers) highestToken() uint64 { return p.maxToken.Load() }

func (p *peers) call(ctx context.Context, now time.Duration, address string, send func(context.Context, *drpcconn.Conn) error) error {
	conn, err := p.acquire(ctx, now, address)
	if err != nil {
		return err
	}
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(peerTimeShare*float64(time.Until(deadline))))
	defer cancel()
	if err := send(ctx, conn); err != nil {
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

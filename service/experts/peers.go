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

// failuresUntilDown is the number of failed calls after which a process or rank is not
// read for downRetryDelay. A single call may fail because a packet was lost. A failed
// dial counts as this many.
const failuresUntilDown = 2

// maxIdleConns is the number of idle connections to each process: one for reads and
// one for orders, which are sent while the process is being read.
const maxIdleConns = 2

// peers holds idle connections to the processes of other ranks. A connection carries
// one call at a time; a concurrent call dials a new one.
type peers struct {
	mu    sync.Mutex
	conns map[string][]*drpcconn.Conn
	// failures holds the failed calls of a process or rank since its last successful
	// one.
	failures map[string]callFailures
	// maxToken is the highest fencing token in the orders that this process has sent
	// or forwarded.
	maxToken atomic.Uint64
}

type callFailures struct {
	count  int
	lastAt time.Duration
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

// call calls f with a connection to an address and records whether f fails. The
// deadline of ctx must be set.
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
		p.recordFailure(now, address, 1)
		return err
	}
	p.release(address, conn)
	return nil
}

func (p *peers) acquire(ctx context.Context, now time.Duration, address string) (*drpcconn.Conn, error) {
	p.mu.Lock()
	var conn *drpcconn.Conn
	if idle := p.conns[address]; len(idle) > 0 {
		conn, p.conns[address] = idle[len(idle)-1], idle[:len(idle)-1]
	}
	p.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	conn, err := wire.DialPlaintext(ctx, address, dialTimeout, wire.MaxRankMessageBytes)
	if err != nil {
		p.recordFailure(now, address, failuresUntilDown)
	}
	return conn, err
}

func (p *peers) release(address string, conn *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failures, address)
	if len(p.conns[address]) >= maxIdleConns {
		_ = conn.Close()
		return
	}
	p.conns[address] = append(p.conns[address], conn)
}

// isDown reports whether the last calls to an address failed, the last one within
// downRetryDelay.
func (p *peers) isDown(now time.Duration, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.failures[address]
	return f.count >= failuresUntilDown && now-f.lastAt < downRetryDelay
}

// recordFailure records a failed call that counts as several failures.
func (p *peers) recordFailure(now time.Duration, address string, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures[address] = callFailures{count: p.failures[address].count + count, lastAt: now}
}

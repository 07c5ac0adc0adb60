package experts

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/mulberryfork/mulberryfork/wire"
)

// peerPart is the part of a call's time that the process beside a rank gets
// before its rank is called directly.
const peerPart = 0.6

// peers are connections to the processes beside other ranks. A connection
// carries one call at a time; a second call at once opens another.
type peers struct {
	mu    sync.Mutex
	conns map[string]*drpcconn.Conn
	// down are processes and ranks that did not answer, with the time of that.
	down map[string]time.Duration
	// top is the highest fencing token that went through this process.
	top atomic.Uint64
}

// DownError reports a process that did not answer lately.
type DownError struct{ Address string }

func (e *DownError) Error() string { return e.Address + " did not answer lately" }

func (p *peers) heard(token uint64) {
	for {
		top := p.top.Load()
		if token <= top || p.top.CompareAndSwap(top, token) {
			return
		}
	}
}

func (p *peers) token() uint64 { return p.top.Load() }

func (p *peers) call(ctx context.Context, now time.Duration, address string, f func(context.Context, *drpcconn.Conn) error) error {
	conn, err := p.take(ctx, now, address)
	if err != nil {
		return err
	}
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(peerPart*float64(time.Until(deadline))))
	defer cancel()
	if err := f(ctx, conn); err != nil {
		_ = conn.Close()
		p.fail(now, address)
		return err
	}
	p.put(address, conn)
	return nil
}

func (p *peers) take(ctx context.Context, now time.Duration, address string) (*drpcconn.Conn, error) {
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
		p.fail(now, address)
	}
	return conn, err
}

func (p *peers) put(address string, conn *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.down, address)
	if p.conns[address] != nil {
		_ = conn.Close()
		return
	}
	p.conns[address] = conn
}

// isDown says whether an address did not answer lately.
func (p *peers) isDown(now time.Duration, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.down[address]
	return ok && now-at < downFor
}

func (p *peers) fail(now time.Duration, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down[address] = now
}

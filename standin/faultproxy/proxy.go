package faultproxy

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	pieceBytes  = 16 << 10
	dialTimeout = 2 * time.Second
	// trickleSlice is the time whose worth of bytes a slow stream passes at once.
	trickleSlice = 50 * time.Millisecond
	loopback     = "127.0.0.1:0"
)

// Link is the place of a proxy between two sides.
type Link struct {
	// From is the side that dials. Source replaces it where several sides dial
	// one address: it names the side of a connection.
	From   string
	Source func(remote, local net.Addr) string
	// To is the side that is dialled, at the address Target.
	To     string
	Target string
}

// Proxy listens on loopback and connects to one target.
type Proxy struct {
	network  *Network
	link     Link
	listener net.Listener
	serving  sync.WaitGroup

	mu     sync.Mutex
	target string
	closed chan struct{}
}

// Listen starts a proxy.
func (n *Network) Listen(l Link) (*Proxy, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, &ListenError{Err: err}
	}
	p := &Proxy{network: n, link: l, listener: listener, target: l.Target, closed: make(chan struct{})}
	p.serving.Go(p.serve)
	return p, nil
}

// ListenError reports a proxy that got no address.
type ListenError struct{ Err error }

func (e *ListenError) Error() string { return "fault proxy: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetTarget sends new connections to another address, as after a restart.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// Close resets all connections and stops listening.
func (p *Proxy) Close() {
	close(p.closed)
	_ = p.listener.Close()
	p.network.mu.Lock()
	var own []*connection
	for c := range p.network.live {
		if c.proxy == p {
			own = append(own, c)
		}
	}
	p.network.mu.Unlock()
	for _, c := range own {
		c.reset()
	}
	p.serving.Wait()
}

func (p *Proxy) serve() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.serving.Go(func() { p.connect(near.(*net.TCPConn)) })
	}
}

// connection is one proxied connection.
type connection struct {
	proxy     *Proxy
	from, to  string
	near, far *net.TCPConn
	once      sync.Once
	ended     chan struct{}
}

func (p *Proxy) connect(near *net.TCPConn) {
	from := p.link.From
	if p.link.Source != nil {
		from = p.link.Source(near.RemoteAddr(), near.LocalAddr())
	}
	c := &connection{proxy: p, from: from, to: p.link.To, near: near, ended: make(chan struct{})}
	p.network.add(c)
	defer p.network.remove(c)
	if !c.pass(from, c.to) || !c.dial() {
		p.network.count(func(n *Counts) { n.Refused++ })
		c.reset()
		return
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { c.pump(c.far, c.near, c.from, c.to) })
	pumps.Go(func() { c.pump(c.near, c.far, c.to, c.from) })
	pumps.Wait()
	c.end(false)
}

func (n *Network) add(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.live[c] = struct{}{}
	n.counts.Connections++
}

func (n *Network) remove(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.live, c)
}

// pass waits while a direction is cut. It returns false if the connection
// ends meanwhile.
func (c *connection) pass(from, to string) bool {
	for {
		fault, changed := c.proxy.network.rule(from, to)
		if !fault.Cut {
			return true
		}
		select {
		case <-changed:
		case <-c.ended:
			return false
		case <-c.proxy.closed:
			return false
		}
	}
}

func (c *connection) dial() bool {
	c.proxy.mu.Lock()
	target := c.proxy.target
	c.proxy.mu.Unlock()
	fault, _ := c.proxy.network.rule(c.from, c.to)
	for range fault.Duplicates {
		if extra, err := net.DialTimeout("tcp", target, dialTimeout); err == nil {
			c.proxy.network.count(func(n *Counts) { n.Duplicates++ })
			_ = extra.Close()
		}
	}
	far, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return false
	}
	c.proxy.network.mu.Lock()
	c.far = far.(*net.TCPConn)
	c.proxy.network.mu.Unlock()
	select {
	case <-c.ended:
		// It was reset before it had a far end to close.
		_ = far.Close()
		return false
	default:
		return true
	}
}

// reset closes both ends without a proper end of the stream, unless both
// streams have ended already.
func (c *connection) reset() { c.end(true) }

func (c *connection) end(abort bool) {
	c.once.Do(func() {
		close(c.ended)
		c.proxy.network.mu.Lock()
		far := c.far
		c.proxy.network.mu.Unlock()
		for _, end := range []*net.TCPConn{c.near, far} {
			if end == nil {
				continue
			}
			if abort {
				_ = end.SetLinger(0)
			}
			_ = end.Close()
		}
	})
}

// pump carries the bytes of one direction.
func (c *connection) pump(to, from *net.TCPConn, fromSide, toSide string) {
	f := flow{connection: c, from: fromSide, to: toSide, random: c.proxy.network.random(fromSide, toSide)}
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && (!f.carry(n) || f.write(to, buffer[:n]) != nil) {
			c.reset()
			return
		}
		if err != nil {
			// The other direction goes on; half a connection may be closed.
			if c.pass(fromSide, toSide) {
				_ = to.CloseWrite()
			}
			return
		}
	}
}

// flow is one direction of a connection.
type flow struct {
	connection *connection
	from, to   string
	random     *rand.Rand
	fault      *Fault
	// passed counts bytes since the present fault began.
	passed int
}

// carry applies the fault in force to a piece. It returns false if the
// connection is to be reset.
func (f *flow) carry(n int) bool {
	network := f.connection.proxy.network
	if !f.connection.pass(f.from, f.to) {
		return false
	}
	fault, _ := network.rule(f.from, f.to)
	if fault != f.fault {
		f.fault, f.passed = fault, 0
	}
	wait := fault.Delay
	if fault.Jitter > 0 {
		wait += time.Duration(f.random.Int64N(int64(fault.Jitter)))
	}
	if fault.LossRate > 0 && f.random.Float64() < fault.LossRate {
		network.count(func(c *Counts) { c.Losses++ })
		f.connection.sleep(fault.Stall)
		return false
	}
	if f.passed += n; fault.ResetAfter > 0 && f.passed >= fault.ResetAfter {
		network.count(func(c *Counts) { c.Resets++ })
		return false
	}
	return f.connection.sleep(wait)
}

// write passes a piece on, in slices if the stream is slow.
func (f *flow) write(to *net.TCPConn, piece []byte) error {
	for len(piece) > 0 {
		n := len(piece)
		if rate := f.fault.BytesPerSecond; rate > 0 {
			n = min(n, max(rate*int(trickleSlice)/int(time.Second), 1))
			if !f.connection.sleep(time.Duration(n) * time.Second / time.Duration(rate)) {
				return net.ErrClosed
			}
		}
		if _, err := to.Write(piece[:n]); err != nil {
			return err
		}
		piece = piece[n:]
	}
	return nil
}

// sleep returns false if the connection ends meanwhile.
func (c *connection) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.ended:
		return false
	}
}

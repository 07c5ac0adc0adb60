package faultproxy

import (
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

const (
	chunkBytes  = 16 << 10
	dialTimeout = 2 * time.Second
	// throttleInterval is the interval between writes to a throttled stream; each
	// write carries the bytes that the rate allows in it.
	throttleInterval = 50 * time.Millisecond
	loopback         = "127.0.0.1:0"
)

// Link names the two endpoints that a proxy connects.
type Link struct {
	// From is the endpoint that dials. If several endpoints dial one address,
	// Source is set instead and returns the endpoint that opened a connection.
	From   string
	Source func(remote, local net.Addr) string
	// To is the endpoint that is dialled, at the address Target.
	To     string
	Target string
}

// Proxy listens on loopback and connects to one target.
type Proxy struct {
	network *Network
	link    Link
	address *net.TCPAddr
	serving sync.WaitGroup

	mu     sync.Mutex
	target string
	// listener is nil while the proxy refuses connections. reserved then keeps its port.
	listener net.Listener
	reserved *os.File
	closed   chan struct{}
}

// Listen starts a proxy.
func (n *Network) Listen(l Link) (*Proxy, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, &ListenError{Err: err}
	}
	p := &Proxy{
		network: n, link: l, address: listener.Addr().(*net.TCPAddr), listener: listener, target: l.Target, closed: make(chan struct{}),
	}
	p.serving.Go(func() { p.serve(listener) })
	return p, nil
}

// ListenError reports that a proxy could not listen on loopback.
type ListenError struct{ Err error }

func (e *ListenError) Error() string { return "fault proxy cannot listen: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.address.String() }

// SetTarget changes the target of new connections, for example after the target
// has restarted on another address.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
}

// Close resets all connections and stops listening.
func (p *Proxy) Close() {
	close(p.closed)
	p.mu.Lock()
	if p.listener != nil {
		_ = p.listener.Close()
	}
	if p.reserved != nil {
		_ = p.reserved.Close()
	}
	p.mu.Unlock()
	p.resetConnections()
	p.serving.Wait()
}

func (p *Proxy) resetConnections() {
	p.network.mu.Lock()
	var own []*connection
	for c := range p.network.connections {
		if c.proxy == p {
			own = append(own, c)
		}
	}
	p.network.mu.Unlock()
	for _, c := range own {
		c.reset()
	}
}

func (p *Proxy) serve(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.serving.Go(func() { p.connect(client.(*net.TCPConn)) })
	}
}

// connection is one proxied connection.
type connection struct {
	proxy          *Proxy
	from, to       string
	client, server *net.TCPConn
	closeOnce      sync.Once
	closed         chan struct{}
}

func (p *Proxy) connect(client *net.TCPConn) {
	from := p.link.From
	if p.link.Source != nil {
		from = p.link.Source(client.RemoteAddr(), client.LocalAddr())
	}
	c := &connection{proxy: p, from: from, to: p.link.To, client: client, closed: make(chan struct{})}
	p.network.add(c)
	defer p.network.remove(c)
	if p.refuses() || !c.waitWhileCut(from, c.to) || !c.dialTarget() {
		p.network.count(func(n *Counts) { n.Refused++ })
		c.reset()
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { c.copyStream(c.server, c.client, c.from, c.to) })
	copies.Go(func() { c.copyStream(c.client, c.server, c.to, c.from) })
	copies.Wait()
	c.closeConns(false)
}

func (n *Network) add(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connections[c] = struct{}{}
	n.counts.Connections++
}

func (n *Network) remove(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.connections, c)
}

// waitWhileCut blocks while a direction is cut. It returns false if the
// connection or the proxy is closed first.
func (c *connection) waitWhileCut(from, to string) bool {
	for {
		fault, changed := c.proxy.network.activeFault(from, to)
		if !fault.Cut {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		case <-c.proxy.closed:
			return false
		}
	}
}

func (c *connection) dialTarget() bool {
	c.proxy.mu.Lock()
	target := c.proxy.target
	c.proxy.mu.Unlock()
	fault, _ := c.proxy.network.activeFault(c.from, c.to)
	for range fault.DuplicateDials {
		if extra, err := net.DialTimeout("tcp", target, dialTimeout); err == nil {
			c.proxy.network.count(func(n *Counts) { n.DuplicateDials++ })
			_ = extra.Close()
		}
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return false
	}
	c.proxy.network.mu.Lock()
	c.server = server.(*net.TCPConn)
	c.proxy.network.mu.Unlock()
	select {
	case <-c.closed:
		// The connection was closed before c.server was set, so closeConns
		// did not close it.
		_ = server.Close()
		return false
	default:
		return true
	}
}

// reset aborts both connections with a TCP reset unless they are already
// closed.
func (c *connection) reset() { c.closeConns(true) }

func (c *connection) closeConns(abort bool) {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.proxy.network.mu.Lock()
		server := c.server
		c.proxy.network.mu.Unlock()
		for _, conn := range []*net.TCPConn{c.client, server} {
			if conn == nil {
				continue
			}
			if abort {
				_ = conn.SetLinger(0)
			}
			_ = conn.Close()
		}
	})
}

// copyStream copies the bytes of one direction and applies its faults.
func (c *connection) copyStream(dst, src *net.TCPConn, from, to string) {
	f := flow{connection: c, from: from, to: to, random: c.proxy.network.newRandom(from, to)}
	buffer := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buffer)
		if n > 0 && (!f.applyFault(n) || f.write(dst, buffer[:n]) != nil) {
			c.reset()
			return
		}
		if err != nil {
			// Half-close: the other direction may still carry bytes.
			if c.waitWhileCut(from, to) {
				_ = dst.CloseWrite()
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
	// passedBytes is the number of bytes passed under the current fault.
	passedBytes int
}

// applyFault applies the current fault to a chunk of n bytes. It returns false
// if the connection must be reset.
func (f *flow) applyFault(n int) bool {
	network := f.connection.proxy.network
	if !f.connection.waitWhileCut(f.from, f.to) {
		return false
	}
	fault, _ := network.activeFault(f.from, f.to)
	if fault != f.fault {
		f.fault, f.passedBytes = fault, 0
	}
	delay := fault.Delay
	if fault.Jitter > 0 {
		delay += time.Duration(f.random.Int64N(int64(fault.Jitter)))
	}
	if fault.LossRate > 0 && f.random.Float64() < fault.LossRate {
		network.count(func(c *Counts) { c.Losses++ })
		f.connection.sleep(fault.StallBeforeReset)
		return false
	}
	if f.passedBytes += n; fault.ResetAfterBytes > 0 && f.passedBytes >= fault.ResetAfterBytes {
		network.count(func(c *Counts) { c.Resets++ })
		return false
	}
	return f.connection.sleep(delay)
}

// write writes a chunk to dst, in smaller parts if the stream is throttled.
func (f *flow) write(dst *net.TCPConn, chunk []byte) error {
	for len(chunk) > 0 {
		n := len(chunk)
		if rate := f.fault.BytesPerSecond; rate > 0 {
			n = min(n, max(rate*int(throttleInterval)/int(time.Second), 1))
			if !f.connection.sleep(time.Duration(n) * time.Second / time.Duration(rate)) {
				return net.ErrClosed
			}
		}
		if _, err := dst.Write(chunk[:n]); err != nil {
			return err
		}
		chunk = chunk[n:]
	}
	return nil
}

// sleep waits for d. It returns false if the connection is closed first.
func (c *connection) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.closed:
		return false
	}
}

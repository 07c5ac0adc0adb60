//go:build review

package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards connections over a link between two machines.
type proxy struct {
	listener net.Listener
	target   string
	// from and to are the machines at its ends, delay is the time of the link one way.
	from, to int
	// isSide is set if the proxy leads to the process beside a rank.
	isSide bool
	delay  time.Duration

	mu    sync.Mutex
	conns map[*pipe]bool
}

// pipe is one forwarded connection.
type pipe struct {
	client, server net.Conn
	mu             sync.Mutex
	closed         bool
}

func startProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[*pipe]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	listener := p.listener
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			// As if nothing listened at the address.
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			continue
		}
		c := &pipe{client: conn, server: server}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go p.copy(c, server, conn)
		go p.copy(c, conn, server)
	}
}

func (p *proxy) copy(c *pipe, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(p.delay)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		p.close(c)
		return
	}
}

func (p *proxy) close(c *pipe) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		_ = c.client.Close()
		_ = c.server.Close()
	}
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// reset resets all open connections and returns their number.
func (p *proxy) reset() int {
	p.mu.Lock()
	var open []*pipe
	for c := range p.conns {
		open = append(open, c)
	}
	p.mu.Unlock()
	for _, c := range open {
		for _, conn := range []net.Conn{c.client, c.server} {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		p.close(c)
	}
	return len(open)
}

// setDown closes the listener, so that connections are refused, or opens it again.
func (p *proxy) setDown(down bool) error {
	if down {
		return p.listener.Close()
	}
	l, err := net.Listen("tcp", p.listener.Addr().String())
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept()
	return nil
}

func (p *proxy) stop() {
	_ = p.listener.Close()
	p.mu.Lock()
	var open []*pipe
	for c := range p.conns {
		open = append(open, c)
	}
	p.mu.Unlock()
	for _, c := range open {
		p.close(c)
	}
}

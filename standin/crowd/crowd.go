package crowd

import (
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the time until a connection is accepted.
	dialTimeout = 2 * time.Second
	// sendTimeout bounds the time that a client sends. It keeps its connection open after it.
	sendTimeout = 1500 * time.Millisecond
)

// Client is one connection of a crowd.
type Client struct {
	net.Conn
	// Number is the position of the client in its crowd.
	Number int
}

// Send sends a text and reports whether the connection took it.
func (c *Client) Send(text string) bool {
	_, err := c.Write([]byte(text))
	return err == nil
}

// Pattern is what each client of a crowd does with its connection.
type Pattern struct {
	Name    string
	Clients int
	// Play sends until nothing is left to send or the connection takes no more. The
	// connection stays open after it.
	Play func(c *Client)
}

// Crowd is a number of clients that keep their connections open.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// Gather opens the connections of all patterns at once and plays them. It returns once all
// clients have sent what they send.
func Gather(address string, patterns ...Pattern) *Crowd {
	c := &Crowd{}
	var group sync.WaitGroup
	for _, p := range patterns {
		for n := range p.Clients {
			group.Go(func() { c.play(address, p, n) })
		}
	}
	group.Wait()
	return c
}

func (c *Crowd) play(address string, p Pattern, n int) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	_ = conn.SetDeadline(time.Now().Add(sendTimeout))
	p.Play(&Client{Conn: conn, Number: n})
}

// Leave closes all connections.
func (c *Crowd) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Part returns the patterns with one nth of their clients, to play them together.
func Part(patterns []Pattern, nth int) []Pattern {
	parts := make([]Pattern, len(patterns))
	for i, p := range patterns {
		p.Clients = max(p.Clients/nth, 1)
		parts[i] = p
	}
	return parts
}

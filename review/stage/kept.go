package stage

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// lostAllowed is the figure of the rule on requests from kept connections.
const lostAllowed = 3

// Losses are the requests from kept connections that were passed on to a worker and whose
// connection was closed without an answer.
type Losses struct {
	mu      sync.Mutex
	arrived map[string]bool
	lost    int
}

// NewLosses returns an empty record.
func NewLosses() *Losses { return &Losses{arrived: make(map[string]bool)} }

// Arrived records that a request has reached a worker.
func (l *Losses) Arrived(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived[id] = true
}

func (l *Losses) record(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.arrived[id] {
		l.lost++
	}
}

// Count returns the number of losses.
func (l *Losses) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// Kept is a client that keeps its connection for many requests.
type Kept struct {
	Address string
	Losses  *Losses

	conn   net.Conn
	reader *bufio.Reader
	// served is set once a response came on the connection.
	served bool
}

// Send sends a request and waits for its whole answer.
func (k *Kept) Send(r Request, c *Counts) {
	c.Sent.Add(1)
	if k.conn == nil {
		conn, err := net.DialTimeout("tcp", k.Address, time.Second)
		if err != nil {
			c.Lost.Add(1)
			return
		}
		k.conn, k.reader, k.served = conn, bufio.NewReader(conn), false
	}
	_ = k.conn.SetDeadline(time.Now().Add(r.Deadline))
	_, err := io.WriteString(k.conn, r.Head(len(r.Body))+r.Body)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(k.reader, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	switch {
	case c.countEnd(response, err):
		if k.served {
			k.Losses.record(r.ID)
		}
		k.close()
	case err != nil || response.Close:
		k.close()
	default:
		k.served = true
	}
}

func (k *Kept) close() {
	_ = k.conn.Close()
	k.conn = nil
}

package stage

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Counts are the ends of the requests of some clients.
type Counts struct{ Sent, Answered, Refused, Failed, Lost, Left atomic.Int64 }

// Text returns the counts for the record.
func (c *Counts) Text() string {
	return fmt.Sprintf("sent %d, answered %d, refused %d, failed %d, without an answer %d, left %d",
		c.Sent.Load(), c.Answered.Load(), c.Refused.Load(), c.Failed.Load(), c.Lost.Load(), c.Left.Load())
}

// Request is a request on a connection of its own.
type Request struct {
	Path, ID, Key, Body string
	// Deadline is what the client states. It leaves after Patience, if that is shorter.
	Deadline, Patience time.Duration
}

// Head returns the head of a request with a body of a length.
func (r Request) Head(length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Mulberryfork-Attempt-Id: %s\r\n"+
		"X-Mulberryfork-Deadline-Remaining: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n",
		r.Path, r.ID, r.Deadline.Milliseconds(), r.Key, length)
}

// Send sends the request and waits for its whole answer, or until the client leaves.
func (r Request) Send(address string, c *Counts) {
	c.Sent.Add(1)
	leaveAt := time.Now().Add(r.Deadline)
	if r.Patience > 0 {
		leaveAt = time.Now().Add(r.Patience)
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		c.Lost.Add(1)
		return
	}
	_ = conn.SetDeadline(leaveAt)
	_, err = io.WriteString(conn, r.Head(len(r.Body))+r.Body)
	c.Await(conn, err)
}

// Await reads the answer to a request that was sent, unless that failed, and closes the
// connection.
func (c *Counts) Await(conn net.Conn, err error) {
	defer func() { _ = conn.Close() }()
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(bufio.NewReader(conn), nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	c.countEnd(response, err)
}

// countEnd counts the end of a request and reports whether its connection was closed without a
// whole answer.
func (c *Counts) countEnd(response *http.Response, err error) bool {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.Left.Add(1)
	case err != nil:
		c.Lost.Add(1)
		return true
	case response.StatusCode/100 == 2:
		c.Answered.Add(1)
	case response.StatusCode == http.StatusServiceUnavailable:
		c.Refused.Add(1)
	default:
		c.Failed.Add(1)
	}
	return false
}

// Repeat calls f with pauses until the group is stopped.
func (g *Group) Repeat(pause time.Duration, f func(n int)) {
	g.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-g.stop:
				return
			case <-time.After(pause):
				f(n)
			}
		}
	})
}

// Group is a group of clients.
type Group struct {
	sync.WaitGroup
	stop chan struct{}
}

// NewGroup returns a group without clients.
func NewGroup() *Group { return &Group{stop: make(chan struct{})} }

// Stop ends the clients of Repeat and waits for all.
func (g *Group) Stop() {
	close(g.stop)
	g.Wait()
}

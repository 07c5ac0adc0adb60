//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var attempts atomic.Uint64

// newID returns the id of a client attempt.
func newID() string {
	return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<8|attempts.Add(1)&0xff)
}

// request is one client attempt.
type request struct {
	method, target string
	headers        map[string]string
	body           []byte
	deadlineMs     int
}

// answer is what a client got.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	// err is set if the connection ended without a complete answer.
	err error
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return fmt.Sprintf("request %s: no answer (%v)", a.id, a.err)
	}
	if a.err != nil {
		return fmt.Sprintf("request %s: status %d, incomplete after %d bytes (%v)", a.id, a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("request %s: status %d, signature %q, %d bytes %.60q", a.id, a.status, a.header.Get("X-Mulberryfork-Response-Signature"), len(a.body), a.body)
}

// caller is a client with one connection that it keeps.
type caller struct {
	name, address string
	rec           *record
	conn          net.Conn
	reader        *bufio.Reader
}

func (c *caller) connect() error {
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send writes a request to the kept connection and opens one if there is none.
func (c *caller) send(q request) (string, error) {
	if c.conn == nil {
		if err := c.connect(); err != nil {
			return "", err
		}
	}
	id := newID()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Mulberryfork-Attempt-Id: %s\r\nX-Mulberryfork-Deadline-Remaining: %d\r\nX-Api-Key: key-one\r\n",
		q.method, q.target, host, id, q.deadlineMs)
	for name, value := range q.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if len(q.body) > 0 || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	c.rec.log("%s: sends request %s: %s %s %v", c.name, id, q.method, q.target, q.headers)
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(q.deadlineMs)*time.Millisecond + time.Second))
	_, err := c.conn.Write(b.Bytes())
	return id, err
}

// do sends a request and reads its answer. It closes the connection if the answer says so
// or is incomplete.
func (c *caller) do(q request) answer {
	id, err := c.send(q)
	a := answer{id: id, err: err}
	if err == nil {
		a = c.receive(id, q.method)
	}
	c.rec.log("%s: %s", c.name, a)
	return a
}

func (c *caller) receive(id, method string) answer {
	a := answer{id: id}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	if a.err != nil || response.Close {
		c.close()
	}
	return a
}

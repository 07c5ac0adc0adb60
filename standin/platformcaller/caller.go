// Package platformcaller stands in for a caller on the platform: it keeps one
// connection to a process open for many requests and says what it saw.
package platformcaller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one send of a caller.
type Request struct {
	// ID names the send; a caller's retry has another one.
	ID   string
	Host string
	Path string
	Key  string
	Body string
	// Deadline is how long the caller waits.
	Deadline time.Duration
}

// Answer is what the caller saw.
type Answer struct {
	// Status is 0 if the connection broke before an answer.
	Status int
	Body   string
	// Signed says that the answer is the upstream's own.
	Signed bool
	// Whole says that the answer looked whole.
	Whole bool
	// NotRun says that the status promises that the request did not run.
	NotRun bool
}

// Caller sends one request after another. It must not be used by several
// goroutines at once.
type Caller struct {
	address   string
	transport *http.Transport
}

// New returns a caller of a process.
func New(address string) *Caller {
	return &Caller{address: address, transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
}

// Ready asks a process, as the platform does, whether it takes new connections.
func Ready(client *http.Client, address string) bool {
	answer, err := client.Get("http://" + address + "/-/readiness")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// Close ends the open connection.
func (c *Caller) Close() { c.transport.CloseIdleConnections() }

// Send sends a request and reads the answer to its end.
func (c *Caller) Send(ctx context.Context, q Request) Answer {
	ctx, cancel := context.WithTimeout(ctx, q.Deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return Answer{}
	}
	// A body that can't be had again keeps the transport from sending the same
	// attempt twice.
	r.GetBody = nil
	r.Host = q.Host
	r.Header.Set("X-Mulberryfork-Attempt-Id", q.ID)
	r.Header.Set("X-Mulberryfork-Deadline-Remaining", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	r.Header.Set("X-Api-Key", q.Key)
	answer, err := c.transport.RoundTrip(r)
	if err != nil {
		return Answer{}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	a := Answer{Status: answer.StatusCode, Body: string(body), Whole: err == nil}
	a.Signed = answer.Header.Get("X-Mulberryfork-Response-Signature") != ""
	switch a.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		a.NotRun = true
	}
	return a
}

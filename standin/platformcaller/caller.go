// Package platformcaller is a stand-in for a caller on the platform. It sends
// requests to a process over one persistent connection and reports the responses.
package platformcaller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request of a caller.
type Request struct {
	// ID identifies the request; a retry by the caller has another ID.
	ID     string
	Host   string
	Path   string
	APIKey string
	Body   string
	// Timeout is the time limit for the request and its response.
	Timeout time.Duration
}

// Response is the response as the caller received it.
type Response struct {
	// Status is 0 if the request failed before a response header arrived.
	Status int
	Body   string
	// Signed reports whether the response carries the upstream's signature.
	Signed bool
	// Complete reports whether the body was read to its end without error.
	Complete bool
	// NotExecuted is true for a status with which the platform's protocol guarantees
	// that the request was not executed.
	NotExecuted bool
}

// Caller sends requests one at a time. It is not safe for concurrent use.
type Caller struct {
	address   string
	transport *http.Transport
}

// New returns a caller that connects to address.
func New(address string) *Caller {
	return &Caller{address: address, transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
}

// Ready reports whether a process accepts new connections. It calls the same
// readiness endpoint as the platform.
func Ready(client *http.Client, address string) bool {
	response, err := client.Get("http://" + address + "/-/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close closes the idle connection.
func (c *Caller) Close() { c.transport.CloseIdleConnections() }

// Send sends a request and reads the response to its end. An error is not returned,
// but leaves Status zero or Complete false.
func (c *Caller) Send(ctx context.Context, q Request) Response {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return Response{}
	}
	// Without GetBody the transport can't rewind the body, so it never resends
	// the request on a new connection.
	r.GetBody = nil
	r.Host = q.Host
	r.Header.Set("X-Mulberryfork-Attempt-Id", q.ID)
	r.Header.Set("X-Mulberryfork-Deadline-Remaining", strconv.FormatInt(q.Timeout.Milliseconds(), 10))
	r.Header.Set("X-Api-Key", q.APIKey)
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		return Response{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	result := Response{Status: response.StatusCode, Body: string(body), Complete: err == nil}
	result.Signed = response.Header.Get("X-Mulberryfork-Response-Signature") != ""
	switch result.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		result.NotExecuted = true
	}
	return result
}

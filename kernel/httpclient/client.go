// Package httpclient sends HTTP requests and turns what comes back into a response or a typed
// error. net/http parses and frames; this package refuses what HTTP does not allow but net/http
// accepts, tells an orderly end of a connection from a lost one, and charges what responses take
// to an account. All readers of responses use it.
//
// A response is whole if its body ends by its length, by its last chunk or, without either, by
// an orderly close of the server. Its body returns io.EOF only then.
package httpclient

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

// Account bounds what the process holds of responses. Its methods may wait for the control loop
// and must not be called on it.
type Account interface {
	// Take charges n bytes to a holder. ctx is that of the request.
	Take(ctx context.Context, holder string, n int64) error
	// Return releases bytes that Take charged.
	Return(ctx context.Context, holder string, n int64)
}

// Options configure a client.
type Options struct {
	// Account is charged for responses, nil for none.
	Account Account
	// Holder is charged for responses to requests of no member.
	Holder string
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxIdle is the number of idle connections that are kept for each server, up to
	// IdleTimeout. With 0, each request has a connection of its own.
	MaxIdle     int
	IdleTimeout time.Duration
	// Transport replaces the connections, in tests. The heads that it returns are not checked.
	Transport http.RoundTripper
}

// Client sends requests. It follows no redirects and uses no proxy.
type Client struct {
	options   Options
	transport http.RoundTripper
}

// New returns a client.
func New(o Options) *Client {
	c := &Client{options: o, transport: o.Transport}
	if c.transport != nil {
		return c
	}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DialTLSContext:         c.dialTLS,
		DisableCompression:     true,
		DisableKeepAlives:      o.MaxIdle == 0,
		MaxIdleConnsPerHost:    o.MaxIdle,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: MaxHeadBytes,
	}
	return c
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := c.options.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw}, nil
}

func (c *Client) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	raw, err := c.options.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	secure := tls.Client(raw, &tls.Config{ServerName: host})
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return &conn{Conn: secure}, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (c *Client) CloseIdleConnections() {
	if t, ok := c.transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

// Framing is how the end of a body is known.
type Framing uint8

// Framings of a body.
const (
	// ByLength is a body whose length is known, 0 for none.
	ByLength Framing = iota
	// ByChunks is one that ends with its last chunk.
	ByChunks
	// ByClose is one that ends with an orderly close of the connection.
	ByClose
)

// Response is the response to a request. Its head is valid, its body not read yet.
type Response struct {
	Status  int
	Header  http.Header
	Framing Framing
	// Length is that of the body, -1 if it is not known.
	Length int64
	Body   *Body
}

// Do sends a request and reads the head of the response. What the response takes is charged to
// a holder, with "" to that of the client. The body must be closed. The error is a
// *ConnectError if the server has received nothing of the request.
func (c *Client) Do(r *http.Request, holder string) (*Response, error) {
	if holder == "" {
		holder = c.options.Holder
	}
	x := &exchange{account: c.options.Account, ctx: r.Context(), holder: holder}
	x.connected, x.responded = c.options.Transport != nil, c.options.Transport != nil
	if user := r.URL.User; user != nil && r.Header.Get("Authorization") == "" {
		password, _ := user.Password()
		r.SetBasicAuth(user.Username(), password)
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { x.connect(info.Conn) }}
	response, err := c.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if failed := x.failure(err); failed != nil {
		if response != nil {
			_ = response.Body.Close()
		}
		x.finish()
		return nil, failed
	}
	return &Response{
		Status:  response.StatusCode,
		Header:  response.Header,
		Framing: framingOf(response),
		Length:  response.ContentLength,
		Body:    &Body{exchange: x, response: response, free: freeBody},
	}, nil
}

func framingOf(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0:
		return ByLength
	case len(r.TransferEncoding) > 0:
		return ByChunks
	}
	return ByClose
}

// Body is the body of a response.
type Body struct {
	*exchange
	response *http.Response
	// free is what ReadJSON may still read without a charge.
	free int64
}

// Read reads from the body. It returns io.EOF once the body is whole.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if err == io.EOF {
		if err := checkTrailer(b.response.Trailer); err != nil {
			return n, err
		}
	}
	return n, err
}

// Close ends the response and releases what it takes. It must be called.
func (b *Body) Close() error {
	err := b.response.Body.Close()
	b.finish()
	return err
}

// isContextError reports whether a request ended with its context.
func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

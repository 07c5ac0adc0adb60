// Package engine is the agent's HTTP client for its upstream. It sends an order as an
// HTTP request and splits the response into chunks.
package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/kernel/httpclient"
)

const (
	maxIdleConns = 512
	// idleTimeout is shorter than the idle timeout of common servers, so that a
	// request is rarely written to a connection that the server has just closed.
	idleTimeout = 5 * time.Second
	dialTimeout = time.Second
	// headerResume is the request header with the number of chunks that the engine
	// must skip.
	headerResume    = "X-Resume-From"
	headerPriority  = "X-Priority"
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	// headerIncarnation is a response header that changes when the upstream restarts.
	headerIncarnation = "X-Incarnation"
)

type service struct {
	settings *api.Settings
	metrics  api.Metrics
	clock    kernel.Clock
	client   *httpclient.Client
	runs     api.Counter
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.metrics, err = kernel.Lookup[api.Metrics](c, api.ServiceMetrics); err != nil {
		return err
	}
	s.clock = c.Clock()
	s.runs = s.metrics.Counter("engine_runs", "")
	var account api.ResponseAccount
	if account.Connections, _, err = kernel.LookupOptional[api.Connections](c, api.ServiceConnections); err != nil {
		return err
	}
	s.client = httpclient.New(httpclient.Options{
		Account:     account,
		Holder:      api.ServiceEngine,
		Dial:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdle:     maxIdleConns,
		IdleTimeout: idleTimeout,
	})
	return nil
}

// Cleanup closes idle connections.
func (s *service) Cleanup() {
	if s.client != nil {
		s.client.CloseIdleConnections()
	}
}

// Run sends an order to the upstream and streams the response to sink. It does not call
// sink.End. It returns the usage even if the run fails.
func (s *service) Run(ctx context.Context, o api.Order, sink api.Sink) (api.Usage, *api.Failure) {
	s.runs.Add(1)
	begin := s.clock.Now()
	usage, failure := s.run(ctx, o, sink, begin)
	usage.Total = s.clock.Now() - begin
	if failure != nil {
		s.metrics.Counter("engine_failures", string(failure.Code)).Add(1)
	}
	return usage, failure
}

func (s *service) run(ctx context.Context, o api.Order, sink api.Sink, begin time.Duration) (api.Usage, *api.Failure) {
	req, failure := s.newRequest(ctx, o)
	if failure != nil {
		return api.Usage{}, failure
	}
	resp, err := s.client.Do(req, o.Member)
	if err != nil {
		return api.Usage{}, classifyError(ctx, err)
	}
	defer resp.Body.Close()
	if err := api.CheckStatus(resp.Status); err != nil {
		return api.Usage{}, &api.Failure{Code: api.CodeUpstreamFailed, Run: api.RunUnknown, Err: err}
	}
	if err := sink.Head(api.Head{AttemptID: o.AttemptID, Status: resp.Status, Headers: filterHeaders(resp.Header)}); err != nil {
		return api.Usage{}, sinkFailure(err)
	}
	r := relay{held: httpclient.Hold{Budget: resp.Body}, heldLine: httpclient.Hold{Budget: resp.Body}, clock: s.clock, startedAt: begin, sink: sink, attemptID: o.AttemptID, seq: o.ResumeFrom}
	mediaType, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if mediaType == "text/event-stream" {
		failure = r.readEvents(resp.Body)
	} else {
		failure = r.readBody(resp.Body)
	}
	r.usage.Chunks = r.seq
	r.usage.EngineIncarnation, _ = strconv.ParseUint(resp.Header.Get(headerIncarnation), 10, 64)
	return r.usage, failure
}

func (s *service) newRequest(ctx context.Context, o api.Order) (*http.Request, *api.Failure) {
	url := strings.TrimSuffix(s.settings.Engine.URL, "/") + o.Path
	req, err := http.NewRequestWithContext(ctx, o.Method, url, nil)
	if err != nil {
		return nil, &api.Failure{Code: api.CodeBadRequest, Run: api.NotRun, Err: err}
	}
	for _, h := range o.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	if len(o.Body) > 0 || !o.Idempotent {
		// Without GetBody, net/http never retries the request by itself, which it
		// otherwise does for a request with an idempotency key.
		req.Body = io.NopCloser(bytes.NewReader(o.Body))
		req.ContentLength = int64(len(o.Body))
	}
	req.Header.Set(headerRequestID, o.AttemptID.RequestID)
	if o.Key != "" {
		req.Header.Set(headerKey, o.Key)
	}
	if o.Priority != 0 {
		req.Header.Set(headerPriority, strconv.Itoa(int(o.Priority)))
	}
	if o.ResumeFrom > 0 {
		req.Header.Set(headerResume, strconv.FormatUint(o.ResumeFrom, 10))
	}
	return req, nil
}

// classifyError returns the failure for a request that got no response. Only a failure
// to connect proves that the upstream did not run it.
func classifyError(ctx context.Context, err error) *api.Failure {
	if ctx.Err() != nil {
		return &api.Failure{Code: api.CodeCanceled, Run: api.RunUnknown, Detail: "the request was canceled", Err: context.Cause(ctx)}
	}
	var unreached *httpclient.ConnectError
	if errors.As(err, &unreached) {
		return &api.Failure{Code: api.CodeUpstreamUnreached, Run: api.NotRun, Detail: "connecting to the upstream failed", Err: err}
	}
	f := &api.Failure{Code: api.CodeUpstreamFailed, Run: api.RunUnknown, Detail: "the upstream sent no response", Err: err}
	if httpclient.IsNoRoom(err) {
		f.Code, f.Detail = api.CodeNoRoom, "no room for the head of the upstream's response"
	}
	return f
}

// sinkFailure returns the failure of a run whose sink no longer accepts the response.
func sinkFailure(err error) *api.Failure {
	return &api.Failure{Code: api.CodeCanceled, Run: api.Ran, Err: err}
}

// forwardedHeaders are the response headers that are forwarded to the caller.
var forwardedHeaders = []string{"Content-Type", "Content-Length", "Content-Language", "Content-Disposition", "Location", "Retry-After", "Etag", "Cache-Control"}

// filterHeaders returns the headers that are forwarded to the caller.
func filterHeaders(h http.Header) []api.Header {
	var headers []api.Header
	for _, name := range forwardedHeaders {
		for _, value := range h.Values(name) {
			headers = append(headers, api.Header{Name: name, Value: value})
		}
	}
	return headers
}

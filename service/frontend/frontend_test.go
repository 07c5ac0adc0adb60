package frontend_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/connections"
	"github.com/mulberryfork/mulberryfork/service/frontend"
	"github.com/mulberryfork/mulberryfork/service/log"
	"github.com/mulberryfork/mulberryfork/service/metrics"
)

// store is a configuration store with a fixed snapshot.
type store struct{ snap *api.Snapshot }

func (s store) Current() *api.Snapshot                     { return s.snap }
func (store) Subscribe(func(time.Duration, *api.Snapshot)) {}
func (store) Ready() <-chan struct{}                       { return nil }
func (store) WaitRevision(context.Context, uint64) bool    { return true }

// admission accepts only the token "secret", which belongs to the member "desk".
type admission struct{ api.Admission }

func (admission) Authenticate(token string) (api.Caller, *api.Failure) {
	if token != "secret" {
		return api.Caller{}, api.NewFailure(api.CodeUnauthenticated, api.NotRun, "unknown bearer token")
	}
	return api.Caller{Member: "desk"}, nil
}

func (admission) Admit(context.Context, string, string, uint32) (func(), *api.Failure) {
	return func() {}, nil
}

// dispatcher records the last request and calls respond to write the response.
type dispatcher struct {
	api.Dispatcher
	request api.Request
	respond func(api.Request, api.Sink)
}

func (d *dispatcher) Dispatch(_ context.Context, r api.Request, s api.Sink) {
	d.request = r
	d.respond(r, s)
}

type addresser interface{ Address() string }

// startFrontend starts the service with a dispatcher that responds with respond, and
// returns the dispatcher and the URL of the service.
func startFrontend(t *testing.T, respond func(api.Request, api.Sink)) (*dispatcher, string) {
	t.Helper()
	d := &dispatcher{respond: respond}
	r := kernel.NewRegistry()
	snap := &api.Snapshot{Config: &api.Config{
		Models:   map[string]api.Model{"m": {MaxOutputTokens: 100}},
		Services: map[string]api.PlainService{"booking": {Timeout: api.Duration(time.Second)}},
	}}
	for name, s := range map[string]any{
		api.ServiceConfigStore: store{snap}, api.ServiceAdmission: admission{}, api.ServiceDispatch: d,
	} {
		if err := r.Register(name, func() any { return s }); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Register(api.ServiceMetrics, func() any { return metrics.New() }); err != nil {
		t.Fatal(err)
	}
	for _, register := range []func(*kernel.Registry) error{log.Register, connections.Register, frontend.Register} {
		if err := register(r); err != nil {
			t.Fatal(err)
		}
	}
	settings := &api.Settings{
		Listen: api.Listen{HTTP: "127.0.0.1:0"},
		Limits: api.Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 10, ReadTimeout: api.Duration(time.Minute), RequestTimeout: api.Duration(time.Minute)},
	}
	host := kernel.NewHost(r, r.Names(), kernel.Options{Values: []any{settings, &log.Output{Writer: io.Discard}}})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = host.Stop(context.Background()) })
	f, err := kernel.Find[addresser](host, api.ServiceFrontendHTTP)
	if err != nil {
		t.Fatal(err)
	}
	return d, "http://" + f.Address()
}

type call struct {
	method, path, token, body string
	headers                   map[string]string
}

func (c call) do(t *testing.T, url string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), c.method, url+c.path, strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	for name, value := range c.headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// respondDone responds with status 200 and the body "done".
func respondDone(_ api.Request, s api.Sink) {
	_ = s.Head(api.Head{Status: http.StatusOK, Headers: []api.Header{{Name: "Content-Type", Value: "text/plain"}}})
	_ = s.Chunk(api.Chunk{Seq: 1, Payload: []byte("done")})
	s.End(api.End{Chunks: 1})
}

// Guards against dispatching invalid requests, and against reporting their failure
// without the run state "not run".
func TestBadRequestsAreRefused(t *testing.T) {
	completion := `{"model":"m","prompt":"p"}`
	cases := []struct {
		name   string
		call   call
		status int
		code   api.Code
	}{
		{"no token", call{"POST", "/v1/completions", "", completion, nil}, 401, api.CodeUnauthenticated},
		{"wrong token", call{"POST", "/v1/completions", "guess", completion, nil}, 401, api.CodeUnauthenticated},
		{"not JSON", call{"POST", "/v1/completions", "secret", "{", nil}, 400, api.CodeBadRequest},
		{"no model", call{"POST", "/v1/completions", "secret", "{}", nil}, 400, api.CodeBadRequest},
		{"unknown model", call{"POST", "/v1/completions", "secret", `{"model":"x"}`, nil}, 404, api.CodeUnknownModel},
		{"unknown service", call{"GET", "/services/none/x", "secret", "", nil}, 404, api.CodeUnknownService},
		{"unknown path", call{"GET", "/v2", "secret", "", nil}, 404, api.CodeNotFound},
		{"wrong method", call{"DELETE", "/v1/models", "secret", "", nil}, 405, api.CodeMethodNotAllowed},
		{"large body", call{"POST", "/v1/completions", "secret", strings.Repeat("x", 2<<10), nil}, 413, api.CodeBodyTooLarge},
		{"timeout", call{"POST", "/v1/completions", "secret", completion, map[string]string{"X-Request-Timeout": "soon"}}, 400, api.CodeBadRequest},
		{"priority", call{"POST", "/v1/completions", "secret", completion, map[string]string{"X-Priority": "100"}}, 400, api.CodeBadRequest},
		{"event id", call{"POST", "/v1/completions", "secret", completion, map[string]string{"Last-Event-ID": "x"}}, 400, api.CodeBadRequest},
		{"key without a target", call{"POST", "/v1/keys", "secret", "{}", nil}, 400, api.CodeBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, url := startFrontend(t, respondDone)
			resp, body, err := c.call.do(t, url)
			if err != nil {
				t.Fatal(err)
			}
			var failure struct {
				Error struct {
					Code api.Code     `json:"code"`
					Run  api.RunState `json:"run"`
				} `json:"error"`
			}
			if err := json.Unmarshal([]byte(body), &failure); err != nil {
				t.Fatalf("body %q: %v", body, err)
			}
			if resp.StatusCode != c.status || failure.Error.Code != c.code || failure.Error.Run != api.NotRun {
				t.Errorf("status %d, %+v", resp.StatusCode, failure.Error)
			}
			if d.request.ID != "" {
				t.Error("the request was dispatched")
			}
		})
	}
}

// Guards against losing request options and headers before dispatch, and against
// forwarding the caller's credentials to the upstream.
func TestRequestIsDecoded(t *testing.T) {
	d, url := startFrontend(t, respondDone)
	resp, body, err := call{"POST", "/services/booking/visits/caf%C3%A9?day=1", "secret", "{}", map[string]string{
		"Idempotency-Key": "k1", "X-Priority": "3", "X-Request-Timeout": "500ms", "Last-Event-ID": "r:7",
		"X-Idempotent": "false", "Accept-Language": "pt",
	}}.do(t, url)
	if err != nil || resp.StatusCode != http.StatusOK || body != "done" || resp.Header.Get("X-Request-Id") != d.request.ID {
		t.Fatalf("%d %q %v", resp.StatusCode, body, err)
	}
	r := d.request
	if r.Member != "desk" || r.Service != "booking" || r.Key != "k1" || r.Priority != 3 || r.ResumeFrom != 7 ||
		r.Idempotent || r.Timeout != 500*time.Millisecond || r.Path != "/visits/caf%C3%A9?day=1" {
		t.Errorf("request %+v", r)
	}
	forwarded := false
	for _, h := range r.Headers {
		forwarded = forwarded || h.Name == "Accept-Language"
		if h.Name == "Authorization" || h.Name == "Idempotency-Key" {
			t.Errorf("header %s was forwarded to the upstream", h.Name)
		}
	}
	if !forwarded {
		t.Error("a header of the caller was not forwarded")
	}
}

// A caller must not mistake a truncated response for a complete one: a stream or body
// that breaks off must end with an error.
func TestTruncatedResponsesEndInError(t *testing.T) {
	broken := api.NewFailure(api.CodeStreamBroken, api.Ran, "the upstream closed the connection")
	for _, contentType := range []string{"text/event-stream", "application/json"} {
		t.Run(contentType, func(t *testing.T) {
			_, url := startFrontend(t, func(_ api.Request, s api.Sink) {
				_ = s.Head(api.Head{Status: http.StatusOK, Headers: []api.Header{{Name: "Content-Type", Value: contentType}}})
				_ = s.Chunk(api.Chunk{Seq: 1, Payload: []byte("one")})
				s.End(api.End{Failure: broken})
			})
			_, body, err := call{"POST", "/v1/completions", "secret", `{"model":"m","stream":true}`, nil}.do(t, url)
			if err == nil {
				t.Errorf("the body %q ended without an error", body)
			}
			if contentType == "text/event-stream" && !strings.Contains(body, "event: error\ndata: {\"error\":{\"code\":\"stream_broken\"") {
				t.Errorf("body %q", body)
			}
		})
	}
}

// Guards against a truncated body that a caller of HTTP/1.0 takes for a complete one: it ends with
// its connection, which must then not be closed in order.
func TestTruncatedResponseToOldCallerEndsInReset(t *testing.T) {
	for _, complete := range []bool{true, false} {
		_, url := startFrontend(t, func(_ api.Request, s api.Sink) {
			_ = s.Head(api.Head{Status: http.StatusOK, Headers: []api.Header{{Name: "Content-Type", Value: "application/json"}}})
			_ = s.Chunk(api.Chunk{Seq: 1, Payload: []byte(strings.Repeat("x", 64<<10))})
			end := api.End{Chunks: 1}
			if !complete {
				end.Failure = api.NewFailure(api.CodeStreamBroken, api.Ran, "the upstream closed the connection")
			}
			s.End(end)
		})
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		body := `{"model":"m"}`
		_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if text, err := io.ReadAll(conn); complete != (err == nil) {
			t.Errorf("complete %t: %d bytes, error %v", complete, len(text), err)
		}
	}
}

// Guards against event IDs from which a caller can't resume the stream, for example
// because the numbering restarts after a resume.
func TestEventsCarryIDs(t *testing.T) {
	d, url := startFrontend(t, func(r api.Request, s api.Sink) {
		_ = s.Head(api.Head{Status: http.StatusOK, Headers: []api.Header{{Name: "Content-Type", Value: "text/event-stream"}}})
		_ = s.Chunk(api.Chunk{Seq: r.ResumeFrom + 1, Payload: []byte("a\nb")})
		s.End(api.End{Chunks: r.ResumeFrom + 1})
	})
	_, body, err := call{"POST", "/v1/completions", "secret", `{"model":"m","stream":true}`, map[string]string{"Last-Event-ID": "old:4"}}.do(t, url)
	want := "id: " + d.request.ID + ":5\ndata: a\ndata: b\n\n"
	if err != nil || body != want {
		t.Errorf("body %q, want %q, %v", body, want, err)
	}
}

package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/metrics"
)

// collected is a sink that keeps an answer.
type collected struct {
	head   api.Head
	chunks []string
}

func (c *collected) Head(h api.Head) error { c.head = h; return nil }
func (c *collected) Chunk(k api.Chunk) error {
	c.chunks = append(c.chunks, string(k.Payload))
	return nil
}
func (c *collected) End(api.End)               {}
func (c *collected) seen() (status int, n int) { return c.head.Status, len(c.chunks) }

func start(t testing.TB, url string) api.Engine {
	t.Helper()
	r := kernel.NewRegistry()
	if err := Register(r); err != nil {
		t.Fatal(err)
	}
	if err := r.Register(api.ServiceMetrics, func() any { return metrics.New() }); err != nil {
		t.Fatal(err)
	}
	host := kernel.NewHost(r, r.Names(), kernel.Options{Values: []any{&api.Settings{Engine: api.EngineAddresses{URL: url}}}})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	e, err := kernel.Find[api.Engine](host, api.ServiceEngine)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func order() api.Order {
	return api.Order{AttemptID: api.AttemptID{RequestID: "r", Number: 1}, Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}")}
}

func stream(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
		_, _ = io.WriteString(w, body)
	}
}

// A stream that broke off must never pass for a short answer, and only the
// engine's own closing event makes it whole.
func TestStreams(t *testing.T) {
	cases := []struct {
		name, body string
		want       []string
		whole      bool
	}{
		{"whole", "data: a\n\ndata: b\n\ndata: [DONE]\n\n", []string{"a", "b", "[DONE]"}, true},
		{"carriage returns and comments", ": hello\r\ndata: a\r\n\r\nid: 7\r\ndata: [DONE]\r\n\r\n", []string{"a", "[DONE]"}, true},
		{"several lines in one event", "data: a\ndata: b\n\ndata: [DONE]\n\n", []string{"a\nb", "[DONE]"}, true},
		{"no space after the colon", "data:a\n\ndata:[DONE]\n\n", []string{"a", "[DONE]"}, true},
		{"empty event", "data:\n\ndata: [DONE]\n\n", []string{"", "[DONE]"}, true},
		{"without its closing event", "data: a\n\ndata: b\n\n", []string{"a", "b"}, false},
		{"cut in the middle of an event", "data: a\n\ndata: [DO", []string{"a"}, false},
		{"closing event without its end", "data: a\n\ndata: [DONE]\n", []string{"a"}, false},
		{"empty", "", nil, false},
		{"a line beyond the bound", "data: " + strings.Repeat("x", eventLineBytes+readerBytes) + "\n\n", nil, false},
		{"a long line within it", "data: " + strings.Repeat("x", 3*readerBytes) + "\n\ndata: [DONE]\n\n",
			[]string{strings.Repeat("x", 3*readerBytes), "[DONE]"}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(stream(c.body))
			defer server.Close()
			var got collected
			usage, failure := start(t, server.URL).Run(t.Context(), order(), &got)
			if !slices.Equal(got.chunks, c.want) || (failure == nil) != c.whole {
				t.Errorf("chunks %.80q, failure %v", got.chunks, failure)
			}
			if failure != nil && (failure.Code != api.CodeStreamBroken || failure.Run != api.Ran) {
				t.Errorf("failure %v", failure)
			}
			if usage.Chunks != uint64(len(c.want)) {
				t.Errorf("%d chunks counted", usage.Chunks)
			}
		})
	}
}

// A body shorter than announced must not look whole.
func TestBodyCutShort(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "short")
	}))
	defer server.Close()
	var got collected
	_, failure := start(t, server.URL).Run(t.Context(), order(), &got)
	if failure == nil || failure.Code != api.CodeStreamBroken || failure.Run != api.Ran {
		t.Errorf("failure %v", failure)
	}
}

// Package net/http sends a request again by itself when a kept connection is
// closed under it, also one that has an idempotency key. A booking must not be
// sent twice.
func TestClosedConnectionDoesNotRepeatTheRequest(t *testing.T) {
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		runs.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	defer server.Close()
	e := start(t, server.URL)
	for _, body := range [][]byte{[]byte("{}"), nil} {
		runs.Store(0)
		warm := order()
		warm.Method, warm.Body, warm.Idempotent = http.MethodGet, nil, true
		if _, failure := e.Run(t.Context(), warm, &collected{}); failure != nil {
			t.Fatal(failure)
		}
		booking := order()
		booking.Key, booking.Body = "key", body
		_, failure := e.Run(t.Context(), booking, &collected{})
		if failure == nil || failure.Run != api.RunUnknown {
			t.Errorf("failure %v, want unknown", failure)
		}
		if n := runs.Load(); n != 1 {
			t.Errorf("the request with body %q was sent %d times", body, n)
		}
	}
}

// Only a connection that was never made proves that nothing ran.
func TestUnreachedUpstreamDidNotRun(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	url := server.URL
	server.Close()
	_, failure := start(t, url).Run(t.Context(), order(), &collected{})
	if failure == nil || failure.Code != api.CodeUpstreamUnreached || failure.Run != api.NotRun {
		t.Errorf("failure %v", failure)
	}
}

// The upstream's own errors are answers, and reach the caller as they are.
func TestErrorAnswersPass(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no such home", http.StatusConflict)
	}))
	defer server.Close()
	var got collected
	_, failure := start(t, server.URL).Run(t.Context(), order(), &got)
	if status, n := got.seen(); failure != nil || status != http.StatusConflict || n != 1 || got.chunks[0] != "no such home\n" {
		t.Errorf("status %d, chunks %q, failure %v", status, got.chunks, failure)
	}
}

// FuzzEvents guards the reader of event streams against input that crashes it
// or makes a stream whole without its closing event.
func FuzzEvents(f *testing.F) {
	f.Add("data: a\n\ndata: [DONE]\n\n")
	f.Add(": c\r\ndata: a\ndata: b\r\n\r\n")
	f.Fuzz(func(t *testing.T, body string) {
		var got collected
		r := relay{clock: kernel.BootClock{}, sink: &got}
		failure := r.events(strings.NewReader(body))
		if failure == nil && (len(got.chunks) == 0 || got.chunks[len(got.chunks)-1] != streamDone) {
			t.Errorf("whole without its closing event: %q", got.chunks)
		}
	})
}

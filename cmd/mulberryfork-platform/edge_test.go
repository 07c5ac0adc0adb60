package main

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/standin/platformworker"
)

const completeStream = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n"

// Guards against forwarding foreign or truncated responses, against running a
// non-idempotent request twice, and against a 503 for a request that ran.
func TestResponses(t *testing.T) {
	cases := []struct {
		name, path, key, body string
		status                int
		text                  string
		runs                  int
	}{
		{"whole", "/u/x", "key1", platformworker.Complete, 200, "answer", 1},
		{"unknown key", "/u/x", "other", platformworker.Complete, 401, "", 0},
		{"unknown route", "/none/x", "key1", platformworker.Complete, 404, "", 0},
		{"refused, non-idempotent", "/u/x", "key1", platformworker.Refuse, 503, "", 0},
		{"refused", "/i/x", "key1", platformworker.Refuse, 200, "answer", 1},
		{"failed, non-idempotent", "/u/x", "key1", platformworker.Fail, 500, "failed", 1},
		{"failed", "/i/x", "key1", platformworker.Fail, 200, "answer", 2},
		{"busy after the run, non-idempotent", "/u/x", "key1", platformworker.RunThenBusy, 502, "", 1},
		{"busy after the run", "/i/x", "key1", platformworker.RunThenBusy, 200, "answer", 2},
		{"truncated, non-idempotent", "/u/x", "key1", platformworker.Truncated, 502, "", 1},
		{"truncated", "/i/x", "key1", platformworker.Truncated, 200, "answer", 2},
		{"reset, non-idempotent", "/u/x", "key1", platformworker.Reset, 502, "", 1},
		{"reset", "/i/x", "key1", platformworker.Reset, 200, "answer", 2},
		{"unsigned", "/u/x", "key1", platformworker.Unsigned, 502, "", 1},
		{"of another request", "/u/x", "key1", platformworker.WrongRequestID, 502, "", 1},
		{"after an earlier refusal, non-idempotent", "/u/x", "key1", platformworker.RefuseEarlier, 502, "", 1},
		{"after an earlier refusal", "/i/x", "key1", platformworker.RefuseEarlier, 200, "answer", 2},
		{"after an earlier misdirection, non-idempotent", "/u/x", "key1", platformworker.MisdirectEarlier, 502, "", 1},
		{"without a length", "/u/x", "key1", platformworker.CloseDelimited, 200, "answer", 1},
		{"stream", "/s/x", "key1", platformworker.Stream, 200, completeStream, 1},
		{"stream interrupted", "/s/x", "key1", platformworker.BreakStream, 200, completeStream, 2},
		{"stream interrupted inside an event", "/s/x", "key1", platformworker.BreakMidEvent, 200, completeStream, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			response, text, err := f.send(c.path, c.key, c.body)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != c.status || c.text != "" && text != c.text {
				t.Errorf("%d %q, want %d %q", response.StatusCode, text, c.status, c.text)
			}
			if signed := response.Header.Get("X-Mulberryfork-Response-Signature") != ""; signed != (c.text != "") {
				t.Errorf("signed: %v", signed)
			}
			if f.runs() != c.runs {
				t.Errorf("%d runs, want %d", f.runs(), c.runs)
			}
			if c.status == 503 && response.Header.Get("Retry-After") == "" {
				t.Error("no Retry-After header")
			}
		})
	}
}

// Guards against retries beyond the budget: a request that reaches another upstream
// at a reused address has been received there and counts as an attempt.
func TestMisdirectedRequestCountsAsAttempt(t *testing.T) {
	f := newFixtureWithRetryBudget(t, 0)
	for _, w := range f.workers {
		w.InstanceID += "-new"
	}
	response, _, err := f.send("/i/x", "key1", "whole")
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v, %v", response, err)
	}
	if n := f.workers[0].Arrivals() + f.workers[1].Arrivals(); n != 1 {
		t.Errorf("%d arrivals without a retry budget, want 1", n)
	}
}

// Guards against passing on a member name that the caller forged, and against
// leaking the API key to upstreams.
func TestUpstreamGetsMemberButNotAPIKey(t *testing.T) {
	f := newFixture(t)
	if _, _, err := f.send("/u/x?q=1", "key1", "whole"); err != nil {
		t.Fatal(err)
	}
	for _, w := range f.workers {
		h := w.LastHeader()
		if h == nil {
			continue
		}
		if h.Get("X-Mulberryfork-Tenant-Name") != "m" || h.Get("X-Api-Key") != "" || h.Get("X-Mulberryfork-Expected-Instance") != w.InstanceID {
			t.Errorf("%v", h)
		}
	}
}

// Guards against an upstream that keeps working on an idempotent request after the
// caller has disconnected.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.http+"/i/x", strings.NewReader(platformworker.Hang))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Api-Key", "key1")
	r.Header.Set("X-Mulberryfork-Attempt-Id", "leaver")
	if response, err := transport.RoundTrip(r); err == nil {
		response.Body.Close()
		t.Fatal("answered")
	}
	f.awaitView(func(*api.View) bool { return f.workers[0].Disconnects()+f.workers[1].Disconnects() == 1 })
}

// Guards against the text of an error, or any other body that is no stream, in the
// middle of a stream that another upstream resumes, and against a stream that ends as
// complete then.
func TestErrorDoesNotResumeStream(t *testing.T) {
	const received = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
	for _, behaviour := range []string{platformworker.BreakThenError, platformworker.BreakThenPlain} {
		t.Run(behaviour, func(t *testing.T) {
			f := newFixture(t)
			response, body, err := f.send("/s/x", "key1", behaviour)
			if response == nil {
				t.Fatal(err)
			}
			if err == nil {
				t.Errorf("the stream ends as if it were complete, after %d bytes", len(body))
			}
			if body != received {
				t.Errorf("%d bytes after the events: %.80q", len(body)-len(received), body[min(len(body), len(received)):])
			}
			if n := f.runs(); n != 2 {
				t.Errorf("%d runs, want 2", n)
			}
		})
	}
}

package main

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/standin/platformworker"
)

// sendUntil sends requests until the upstream has received one.
func (f *fixture) sendUntil(w *platformworker.Worker, path, body string) {
	f.t.Helper()
	for before, i := w.Arrivals(), 0; w.Arrivals() == before; i++ {
		if i == 100 {
			f.t.Fatal("no request reaches the upstream")
		}
		_, _, _ = f.send(path, "key1", body)
	}
}

// Guards against requests to an upstream after it has said in any kind of response that
// it leaves, also if the list says otherwise, and against a new start that is held by it.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	for _, c := range []struct{ name, path, body string }{
		{"complete", "/i/x", platformworker.Complete},
		{"stream", "/s/x", platformworker.Stream},
		{"broken stream", "/s/x", platformworker.BreakStream},
		{"refusal", "/i/x", platformworker.Refuse},
		{"error", "/u/x", platformworker.Fail},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			leaving := f.workers[0]
			leaving.SetStatement(true, 0)
			f.sendUntil(leaving, c.path, c.body)
			arrived := leaving.Arrivals()
			for i := range 40 {
				if i == 20 {
					// A list that is older than the response.
					f.register("w1", f.address("w1"), "available")
				}
				if response, _, err := f.send("/i/x", "key1", ""); err != nil || response.StatusCode != http.StatusOK {
					t.Fatalf("response %v, error %v", response, err)
				}
			}
			if n := leaving.Arrivals() - arrived; n > 0 {
				t.Errorf("%d requests reached the leaving upstream", n)
			}
		})
	}
}

// Guards against requests to an upstream in the time for which it wants none, and against
// callers that wait for it or are told nothing about when to come back.
func TestUpstreamThatWantsNoRequestsGetsNone(t *testing.T) {
	f := newFixture(t)
	held := f.workers[0]
	const holdOff = 2500 * time.Millisecond
	held.SetStatement(false, holdOff)
	f.sendUntil(held, "/i/x", "")
	saidAt, arrived := time.Now(), held.Arrivals()
	held.SetStatement(false, 0)
	for time.Since(saidAt) < holdOff-time.Second {
		if response, _, err := f.send("/i/x", "key1", ""); err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("response %v, error %v", response, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if n := held.Arrivals() - arrived; n > 0 {
		t.Errorf("%d requests reached the upstream in the time for which it wanted none", n)
	}
	time.Sleep(time.Until(saidAt.Add(holdOff)))
	f.sendUntil(held, "/i/x", "")

	for _, w := range f.workers {
		w.SetStatement(false, 5*time.Second)
	}
	// A request that one upstream refuses is sent to the other, so both have refused.
	f.sendUntil(f.workers[0], "/i/x", "")
	begin := time.Now()
	response, _, err := f.send("/i/x", "key1", "")
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || time.Since(begin) > time.Second {
		t.Fatalf("response %v, error %v after %v", response, err, time.Since(begin))
	}
	if after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err != nil || after < 3 || after > 7 {
		t.Errorf("Retry-After %q, want about 5 s", response.Header.Get("Retry-After"))
	}
}

package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Guards against a crash delay before the retry of an unbound request. The delay gives
// an agent's crash report time to arrive, so that a request that crashes upstreams does
// not crash the next one. An unbound request involves no agent: a lookup whose first
// upstream responded with 500 missed its objective of 150 ms because of the delay.
func TestCrashRetryWaitsOnlyForAgentReports(t *testing.T) {
	for _, c := range []struct {
		name    string
		request api.Request
		code    api.Code
		delayed bool
	}{
		{"through an agent", api.Request{Idempotent: true}, api.CodeUpstreamFailed, true},
		{"unbound", api.Request{Idempotent: true, Unbound: true}, api.CodeUpstreamFailed, false},
		{"unbound stream", api.Request{Idempotent: true, Unbound: true, Stream: true}, api.CodeStreamBroken, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				services := &fakeServices{attemptFailures: []*api.Failure{api.NewFailure(c.code, api.Ran, ""), nil}}
				begin := time.Now()
				if f := services.dispatch(t, c.request); f != nil {
					t.Fatal(f)
				}
				if took := time.Since(begin); (took > 0) != c.delayed {
					t.Errorf("retry after %v", took)
				}
			})
		})
	}
}

// Guards against a request that waits for the queue of one agent although another upstream
// may have a place for it at once.
func TestFullQueueSendsRequestElsewhereAtOnce(t *testing.T) {
	for code, delayed := range map[api.Code]bool{api.CodeQueueFull: false, api.CodeOverloaded: true} {
		synctest.Test(t, func(t *testing.T) {
			refusal := api.NewFailure(code, api.NotRun, "")
			refusal.RetryAfter = time.Second
			services := &fakeServices{attemptFailures: []*api.Failure{refusal, nil}}
			begin := time.Now()
			if f := services.dispatch(t, api.Request{Idempotent: true}); f != nil {
				t.Fatal(f)
			}
			if took := time.Since(begin); (took >= time.Second) != delayed {
				t.Errorf("%s: retry after %v", code, took)
			}
		})
	}
}

// Guards against a planned stop of an agent that costs the requests which waited there their
// retry budget, so that callers get its refusals at insufficient capacity.
func TestPlannedStopOfAgentCostsNoRetryBudget(t *testing.T) {
	for code, spent := range map[api.Code]int{api.CodeShuttingDown: 0, api.CodeOverloaded: 1} {
		for _, idempotent := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				services := &fakeServices{attemptFailures: []*api.Failure{api.NewFailure(code, api.NotRun, ""), nil}}
				if f := services.dispatch(t, api.Request{Idempotent: idempotent}); f != nil {
					t.Fatal(f)
				}
				if services.retriesSpent != spent || len(services.routeExclusions[1]) != 1 {
					t.Errorf("%s: %d retries spent, excluded %v", code, services.retriesSpent, services.routeExclusions)
				}
			})
		}
	}
}

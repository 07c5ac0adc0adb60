package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Guards against waiting for an agent's crash report before a retry when no agent is
// involved: a lookup whose first upstream responded with 500 missed its objective of
// 150 ms through the delay alone. With agents, the delay keeps a request that crashes
// upstreams from crashing the next one.
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
				r := &fakeServices{attemptFailures: []*api.Failure{api.NewFailure(c.code, api.Ran, ""), nil}}
				begin := time.Now()
				if f := r.dispatch(t, c.request); f != nil {
					t.Fatal(f)
				}
				if took := time.Since(begin); (took > 0) != c.delayed {
					t.Errorf("retry after %v", took)
				}
			})
		})
	}
}

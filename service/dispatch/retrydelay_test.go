package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Guards against delaying a retry for an agent's crash report when no agent is
// involved: a lookup whose first upstream answered 500 missed its objective of
// 150 ms by the delay alone. With agents, the delay keeps a request that crashes
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
				r := &fakeServices{answers: []*api.Failure{api.NewFailure(c.code, api.Ran, ""), nil}}
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

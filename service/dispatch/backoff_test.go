package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Guards against a retry that waits for news of an agent where there is none: a
// lookup whose first upstream answered 500 missed its objective of 150 ms by the
// wait alone. With agents the wait keeps a request that crashes upstreams from the
// next one.
func TestRetriesWaitForNewsOfAgentsOnly(t *testing.T) {
	for _, c := range []struct {
		name    string
		request api.Request
		code    api.Code
		waits   bool
	}{
		{"past an agent", api.Request{Idempotent: true}, api.CodeUpstreamFailed, true},
		{"unbound", api.Request{Idempotent: true, Unbound: true}, api.CodeUpstreamFailed, false},
		{"unbound stream", api.Request{Idempotent: true, Unbound: true, Stream: true}, api.CodeStreamBroken, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &router{answers: []*api.Failure{api.NewFailure(c.code, api.Ran, ""), nil}}
				begin := time.Now()
				if f := r.dispatch(t, c.request); f != nil {
					t.Fatal(f)
				}
				if took := time.Since(begin); (took > 0) != c.waits {
					t.Errorf("the retry came after %v", took)
				}
			})
		})
	}
}

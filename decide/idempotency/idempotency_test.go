package idempotency_test

import (
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idempotency"
)

// Guards against a call that is wrongly classified as idempotent: it could run twice
// after a failure.
func TestForCall(t *testing.T) {
	booking := api.PlainService{
		Idempotent:    []string{"POST /search", "* /schedule/*"},
		NonIdempotent: []string{"POST /visits", "PUT /visits/*", "DELETE /visits/*"},
	}
	cases := []struct {
		name, method, path string
		mark               idempotency.Mark
		want               bool
	}{
		{"unlisted GET", "GET", "/visits", idempotency.Unmarked, true},
		{"unlisted POST", "POST", "/other", idempotency.Unmarked, false},
		{"unlisted PATCH", "PATCH", "/other", idempotency.Unmarked, false},
		{"listed POST", "POST", "/search", idempotency.Unmarked, true},
		{"pattern of any method", "POST", "/schedule/week", idempotency.Unmarked, true},
		{"listed as non-idempotent", "PUT", "/visits/7", idempotency.Unmarked, false},
		{"caller cannot override the configuration", "POST", "/visits", idempotency.MarkedIdempotent, false},
		{"caller marks an unlisted POST", "POST", "/other", idempotency.MarkedIdempotent, true},
		{"caller marks a GET as non-idempotent", "GET", "/visits", idempotency.MarkedNonIdempotent, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := idempotency.ForCall(booking, c.method, c.path, c.mark); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a completion that is retried although neither the configuration nor
// the caller marked it as idempotent, or although the caller excluded it.
func TestForModel(t *testing.T) {
	if idempotency.ForModel(api.Model{}, idempotency.Unmarked) {
		t.Error("an unmarked completion is a POST and must not be idempotent")
	}
	if !idempotency.ForModel(api.Model{Idempotent: true}, idempotency.Unmarked) {
		t.Error("a model configured as idempotent must be idempotent")
	}
	if idempotency.ForModel(api.Model{Idempotent: true}, idempotency.MarkedNonIdempotent) {
		t.Error("the caller's mark must take precedence over the configuration")
	}
}

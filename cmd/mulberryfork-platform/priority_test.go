package main

import (
	"net/http"
	"strings"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/standin/platformworker"
)

// Guards against an engine that runs requests in another order than the operator wants:
// without their level, or with one that the caller chose.
func TestUpstreamGetsConfiguredLevel(t *testing.T) {
	f := newFixture(t)
	text := strings.NewReplacer(`"name":"s",`, `"name":"s","priority":2,`, `"version":%d`, `"version":2`, `"key%d"`, `"key1"`).Replace(configFormat)
	f.store.Put("op/config", []byte(text))
	f.awaitView(func(v *api.View) bool { return v.Table.Version == 2 })
	for path, want := range map[string]string{"/s/": "2", "/u/": ""} {
		if got := f.levelAtUpstream(path); got != want {
			t.Errorf("level %q of a request to %s, want %q", got, path, want)
		}
	}
}

// levelAtUpstream sends a request whose caller claims the highest level and returns the level
// that the upstream received.
func (f *fixture) levelAtUpstream(path string) string {
	f.t.Helper()
	before := []int{f.workers[0].Arrivals(), f.workers[1].Arrivals()}
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.http+path, strings.NewReader(platformworker.Complete))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Api-Key", "key1")
	r.Header.Set("X-Mulberryfork-Attempt-Id", "level"+path)
	r.Header.Set("X-Mulberryfork-Request-Priority", "0")
	response, err := client.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
	for i, w := range f.workers {
		if w.Arrivals() > before[i] {
			return w.LastHeader().Get("X-Mulberryfork-Request-Priority")
		}
	}
	f.t.Fatalf("status %d, no upstream got the request", response.StatusCode)
	return ""
}

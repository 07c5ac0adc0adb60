package adminhttp_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/adminhttp"
)

// stubServices is a fake of the services that the admin service looks up.
type stubServices struct {
	api.ConfigStore
	current   *api.Snapshot
	rejection error
}

func (s *stubServices) Current() *api.Snapshot { return s.current }
func (s *stubServices) LastRejection() error   { return s.rejection }
func (s *stubServices) JSON() string           { return "{}" }

// Guards against a process that reports that it is ready without a configuration or
// while it drains, and against a rejected revision that makes the process not ready or
// is not reported.
func TestReadinessNeedsAConfiguration(t *testing.T) {
	r := kernel.NewRegistry()
	services := &stubServices{}
	for _, name := range []string{api.ServiceMetrics, api.ServiceConfigStore} {
		if err := r.Register(name, func() any { return services }); err != nil {
			t.Fatal(err)
		}
	}
	if err := adminhttp.Register(r); err != nil {
		t.Fatal(err)
	}
	settings := &api.Settings{Listen: api.Listen{Admin: "127.0.0.1:0"}}
	host := kernel.NewHost(r, r.Names(), kernel.Options{Values: []any{settings}})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = host.Stop(context.Background()) }()
	admin, err := kernel.Find[interface {
		Address() string
		Drain()
	}](host, api.ServiceAdminHTTP)
	if err != nil {
		t.Fatal(err)
	}
	expect := func(when string, want int, detail string) {
		t.Helper()
		resp, err := http.Get("http://" + admin.Address() + "/readyz")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var body struct {
			Ready  bool
			Checks map[string]string
		}
		if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != want || body.Ready != (want == http.StatusOK) || body.Checks[api.ServiceConfigStore] != detail {
			t.Errorf("%s: status %d, want %d, body %+v", when, resp.StatusCode, want, body)
		}
	}
	expect("without a configuration", http.StatusServiceUnavailable, "no configuration was accepted yet")
	services.current = &api.Snapshot{}
	expect("with a configuration", http.StatusOK, "ok")
	services.rejection = &adminhttp.NoConfigurationError{}
	expect("after a rejected revision", http.StatusOK, "ok; no configuration was accepted yet")
	services.rejection = nil
	admin.Drain()
	expect("while draining", http.StatusServiceUnavailable, "ok")
}

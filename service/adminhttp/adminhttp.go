// Package adminhttp serves health, readiness, metrics and profiles.
package adminhttp

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/kernel/guard"
)

const (
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than the interval at which metrics are usually read.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	// buildInterval is the least time between two builds of the document of the metrics.
	buildInterval = 20 * time.Millisecond
)

type exporter interface{ JSON() string }

type service struct {
	settings *api.Settings
	metrics  exporter
	// connections is nil in a process that does not bound its connections.
	connections api.Connections
	checks      map[string]api.Readiness
	draining    atomic.Bool
	server      *http.Server
	listener    net.Listener
	documents   documents
}

// documents builds the document of the metrics, one in buildInterval and once for all requests
// that wait for it. Built for each request at once, it made the memory of a process that clients
// flood with requests exceed its limit, since garbage was made faster than it was collected.
type documents struct {
	mu   sync.Mutex
	last []byte
	// startedAt is when the last one began to be built.
	startedAt time.Time
}

// get returns a document that was begun after a request arrived. It must not be changed.
func (d *documents) get(arrivedAt time.Time, build func() string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last == nil || d.startedAt.Before(arrivedAt) {
		time.Sleep(time.Until(d.startedAt.Add(buildInterval)))
		d.startedAt = time.Now()
		d.last = []byte(build())
	}
	return d.last
}

// checkedServices are the services that must be ready for the process to be ready.
// Services that the process does not run are skipped.
var checkedServices = []string{api.ServiceConfigStore, api.ServiceWork, api.ServiceRouting, api.ServiceDiscovery}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.metrics, err = kernel.Lookup[exporter](c, api.ServiceMetrics); err != nil {
		return err
	}
	if s.connections, _, err = kernel.LookupOptional[api.Connections](c, api.ServiceConnections); err != nil {
		return err
	}
	s.checks = make(map[string]api.Readiness)
	for _, name := range checkedServices {
		found, ok, err := kernel.LookupOptional[any](c, name)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		switch check := found.(type) {
		case api.Readiness:
			s.checks[name] = check
		case api.ConfigStore:
			s.checks[name] = configReadiness{check}
		}
	}
	return nil
}

// configReadiness checks that a configuration is active and known to be current.
type configReadiness struct{ store api.ConfigStore }

// NoConfigurationError reports that no configuration has been accepted yet.
type NoConfigurationError struct{}

func (*NoConfigurationError) Error() string { return "no configuration was accepted yet" }

func (c configReadiness) Ready() error {
	if c.store.Current() == nil {
		return &NoConfigurationError{}
	}
	if confirmed, ok := c.store.(api.ConfigFreshness); ok {
		return confirmed.Confirmed()
	}
	return nil
}

// LastRejection returns the validation errors of the newest revision, nil if it was
// not rejected.
func (c configReadiness) LastRejection() error {
	if r, ok := c.store.(api.ConfigRejection); ok {
		return r.LastRejection()
	}
	return nil
}

func (s *service) Start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.settings.Listen.Admin)
	if err != nil {
		return &api.ListenError{Address: s.settings.Listen.Admin, Err: err}
	}
	s.listener = listener
	s.server = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	guard.Install(s.server)
	if s.connections != nil {
		listener = s.connections.Guard(listener, api.GuardOptions{Name: "admin"})
	}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// Address returns the address on which the service listens.
func (s *service) Address() string { return s.listener.Addr().String() }

// Drain makes the process report that it is not ready.
func (s *service) Drain() { s.draining.Store(true) }

func (s *service) Stop(ctx context.Context) error {
	if s.server == nil {
		return nil
	}
	return s.server.Shutdown(ctx)
}

func (s *service) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.Get("/readyz", s.handleReady)
	r.Get("/debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write(s.documents.get(time.Now(), s.metrics.JSON))
	})
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	r.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	r.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return r
}

// DrainingError reports a process that is shutting down.
type DrainingError struct{}

func (*DrainingError) Error() string { return "the process is shutting down" }

// ProcessReady returns nil if the process may get traffic, otherwise a DrainingError
// or the error of a service that is not ready.
func (s *service) ProcessReady() error {
	if s.draining.Load() {
		return &DrainingError{}
	}
	for _, check := range s.checks {
		if err := check.Ready(); err != nil {
			return err
		}
	}
	return nil
}

type readinessResponse struct {
	Ready  bool              `json:"ready"`
	Checks map[string]string `json:"checks"`
}

func (s *service) handleReady(w http.ResponseWriter, _ *http.Request) {
	state := readinessResponse{Ready: true, Checks: make(map[string]string)}
	if s.draining.Load() {
		state.Ready = false
		state.Checks["process"] = "shutting down"
	}
	for name, check := range s.checks {
		detail := "ok"
		if err := check.Ready(); err != nil {
			state.Ready = false
			detail = err.Error()
		}
		// A rejected revision doesn't affect readiness, because the last valid one is
		// still active.
		if r, ok := check.(api.ConfigRejection); ok {
			if err := r.LastRejection(); err != nil {
				detail += "; " + err.Error()
			}
		}
		state.Checks[name] = detail
	}
	w.Header().Set("Content-Type", "application/json")
	if !state.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(state)
}

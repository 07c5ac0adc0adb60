// Package frontend is the HTTP server for callers: OpenAI-compatible calls, calls to
// plain services, and outcomes of non-idempotent requests. It only decodes requests and
// encodes responses; the dispatch service handles the requests.
package frontend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/shutdown"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/kernel/drain"
	"github.com/mulberryfork/mulberryfork/kernel/guard"
)

// finalResponseTimeout is the time before the shutdown deadline in which handlers end the
// remaining requests.
const finalResponseTimeout = 500 * time.Millisecond

// idleTimeout is how long a connection without a request is kept. It is above the idle timeouts
// of usual balancers, so that the router does not close a connection that one is about to use.
const idleTimeout = 10 * time.Minute

type service struct {
	settings    *api.Settings
	store       api.ConfigStore
	admission   api.Admission
	dispatcher  api.Dispatcher
	metrics     api.Metrics
	connections api.Connections
	// sloRecorder is nil in a process without a report on service-level objectives.
	sloRecorder api.SLORecorder
	clock       kernel.Clock

	server   *drain.Server
	listener net.Listener
	cancel   context.CancelCauseFunc
	// stopping is set once the process is being stopped.
	stopping atomic.Pointer[shutdown.Window]
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.store, err = kernel.Lookup[api.ConfigStore](c, api.ServiceConfigStore); err != nil {
		return err
	}
	if s.admission, err = kernel.Lookup[api.Admission](c, api.ServiceAdmission); err != nil {
		return err
	}
	if s.dispatcher, err = kernel.Lookup[api.Dispatcher](c, api.ServiceDispatch); err != nil {
		return err
	}
	if s.metrics, err = kernel.Lookup[api.Metrics](c, api.ServiceMetrics); err != nil {
		return err
	}
	if s.connections, err = kernel.Lookup[api.Connections](c, api.ServiceConnections); err != nil {
		return err
	}
	if s.sloRecorder, _, err = kernel.LookupOptional[api.SLORecorder](c, api.ServiceReport); err != nil {
		return err
	}
	s.clock = c.Clock()
	return nil
}

func (s *service) Start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.settings.Listen.HTTP)
	if err != nil {
		return &api.ListenError{Address: s.settings.Listen.HTTP, Err: err}
	}
	s.listener = listener
	base, cancel := context.WithCancelCause(context.Background())
	s.cancel = cancel
	server := &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: time.Duration(s.settings.Limits.ReadTimeout),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.settings.Limits.HeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return base },
	}
	s.server = drain.NewServer(server, s.connections.Guard(listener, api.GuardOptions{Name: "http", Main: true}))
	guard.Install(server)
	go s.server.Serve()
	return nil
}

// Address returns the listen address.
func (s *service) Address() string { return s.listener.Addr().String() }

// Stop drains the requests in flight. Those that remain near the deadline are canceled
// and fail with the run state known by then. Meanwhile it refuses requests that may not end
// in time.
func (s *service) Stop(ctx context.Context) error {
	if s.server == nil {
		return nil
	}
	options := drain.Options{
		DrainDelay: time.Duration(s.settings.DrainDelay),
		CancelRequests: func() {
			s.cancel(api.NewFailure(api.CodeShuttingDown, api.RunUnknown, "the router shut down before the response was complete"))
		},
		CancelGrace: finalResponseTimeout,
	}
	now := s.clock.Now()
	s.stopping.Store(&shutdown.Window{DrainUntil: now + options.DrainDelay, CancelAt: now + options.CancelAfter(ctx)})
	return s.server.Stop(ctx, options)
}

// admitWhileStopping returns nil unless the process is being stopped and the request may not
// end in time. Any request to a service or model can be repeated: the agent recognizes the
// key that it is bound to.
func (s *service) admitWhileStopping(r api.Request) *api.Failure {
	window := s.stopping.Load()
	if window == nil {
		return nil
	}
	return window.Admit(s.clock.Now(), shutdown.Request{Limit: r.Timeout, Repeatable: true})
}

func (s *service) routes() http.Handler {
	r := chi.NewRouter()
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeFailure(w, api.NewFailure(api.CodeNotFound, api.NotRun, "no such path"))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		writeFailure(w, api.NewFailure(api.CodeMethodNotAllowed, api.NotRun, "method not allowed on this path"))
	})
	r.Post("/v1/chat/completions", s.authenticate(s.serveCompletion))
	r.Post("/v1/completions", s.authenticate(s.serveCompletion))
	r.Get("/v1/models", s.authenticate(s.listModels))
	r.Post("/v1/keys", s.authenticate(s.issueKey))
	r.Get("/v1/outcomes/{key}", s.authenticate(s.getOutcome))
	r.HandleFunc("/services/{service}/*", s.authenticate(s.servePlain))
	return r
}

type handler func(w http.ResponseWriter, r *http.Request, caller api.Caller)

// authenticate returns a handler that authenticates the caller before it calls next.
func (s *service) authenticate(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		caller, failure := s.admission.Authenticate(bearerToken(r))
		if failure != nil {
			s.fail(w, failure)
			return
		}
		next(w, r, caller)
	}
}

func (s *service) fail(w http.ResponseWriter, f *api.Failure) {
	s.countFailure(f)
	writeFailure(w, f)
}

func (s *service) countFailure(f *api.Failure) {
	s.metrics.Counter("failures", string(f.Code)).Add(1)
	s.metrics.Counter("failures_run", string(f.Run)).Add(1)
}

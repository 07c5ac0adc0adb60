// Package linkserver accepts links from routers and calls from peers, checks the role
// in their certificates and passes orders to the agent's work service.
package linkserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/subset"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/wire"
)

const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

type service struct {
	settings *api.Settings
	trust    api.Trust
	store    api.ConfigStore
	// revisions receives the configuration revisions that routers report. It is nil
	// if the store does not use them.
	revisions api.RevisionObserver
	work      api.Executor
	// connections is nil in a process that does not bound its connections.
	connections api.Connections
	counts      counters

	mux           *drpcmux.Mux
	listener      net.Listener
	cancel        context.CancelFunc
	draining      chan struct{}
	serveDone     chan struct{}
	runningOrders sync.WaitGroup
	// links counts the open links. linksPerRouter is the number of links that a
	// router in this zone opens under the active configuration.
	links, linksPerRouter atomic.Int64
}

type counters struct {
	unexpectedFrames, roleRefusals, orders, duplicateOrders api.Counter
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.trust, err = kernel.Lookup[api.Trust](c, api.ServiceTrust); err != nil {
		return err
	}
	if s.store, err = kernel.Lookup[api.ConfigStore](c, api.ServiceConfigStore); err != nil {
		return err
	}
	if s.connections, _, err = kernel.LookupOptional[api.Connections](c, api.ServiceConnections); err != nil {
		return err
	}
	s.revisions, _ = s.store.(api.RevisionObserver)
	work, hasWork, err := kernel.LookupOptional[api.Executor](c, api.ServiceWork)
	if err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.counts = counters{
		unexpectedFrames: metrics.Counter("server_foreign_frames", ""),
		roleRefusals:     metrics.Counter("server_refused_role", ""),
		orders:           metrics.Counter("server_orders", ""),
		duplicateOrders:  metrics.Counter("server_replayed_orders", ""),
	}
	s.draining, s.serveDone = make(chan struct{}), make(chan struct{})
	if !hasWork {
		return nil
	}
	s.work = work
	s.store.Subscribe(s.configure)
	return wire.DRPCRegisterLink(s.mux, s)
}

func (s *service) configure(_ time.Duration, snap *api.Snapshot) {
	router := subset.Router{Zone: s.settings.Zone, Region: snap.Config.Zones[s.settings.Zone].Region}
	s.linksPerRouter.Store(int64(subset.LinkCount(router, subset.FromConfig(snap.Config))))
}

// reportSchedule returns the limits of load reports, which depend on the number of links
// of this agent or of a router, whichever is larger.
func (s *service) reportSchedule() subset.ReportSchedule {
	return subset.ScheduleReports(int(max(s.links.Load(), s.linksPerRouter.Load())))
}

// RegisterPeer registers the handler of calls from peers.
func (s *service) RegisterPeer(p wire.DRPCPeerServer) error { return wire.DRPCRegisterPeer(s.mux, p) }

// CheckRole returns an error unless the caller's certificate is valid and has the role.
// If the required role or that of the certificate is empty, any role is allowed.
func (s *service) CheckRole(ctx context.Context, role string) error {
	id, err := s.peerIdentity(ctx)
	if err != nil {
		return err
	}
	if role != "" && id.Role != "" && id.Role != role {
		s.counts.roleRefusals.Add(1)
		return &api.TrustError{Reason: "role " + id.Role + " is not allowed to make this call"}
	}
	return nil
}

func (s *service) peerIdentity(ctx context.Context) (api.PeerIdentity, error) {
	transport, ok := drpcctx.Transport(ctx)
	if !ok {
		return api.PeerIdentity{}, &api.TrustError{Reason: "the call has no connection"}
	}
	conn, ok := transport.(net.Conn)
	if !ok {
		return api.PeerIdentity{}, &api.TrustError{Reason: "the connection is not a network connection"}
	}
	id, failure := s.trust.Peer(conn)
	if failure != nil {
		s.counts.roleRefusals.Add(1)
		return id, failure
	}
	return id, nil
}

// Start listens for links and calls from peers. A router without a configured link
// address does not listen.
func (s *service) Start(ctx context.Context) error {
	if s.work == nil && s.settings.Listen.Link == "" {
		return nil
	}
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}}
	listener, err := config.Listen(ctx, "tcp", s.settings.Listen.Link)
	if err != nil {
		return &api.ListenError{Address: s.settings.Listen.Link, Err: err}
	}
	s.listener = listener
	if s.connections != nil {
		listener = s.connections.Guard(listener, api.GuardOptions{Name: "link", Main: s.work != nil, Trusted: true})
	}
	if tlsConfig := s.trust.Server(); tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	server := drpcserver.NewWithOptions(s.mux, drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: wire.MaxMessageBytes},
	}})
	serveCtx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() {
		defer close(s.serveDone)
		_ = server.Serve(serveCtx, listener)
	}()
	return nil
}

// Address returns the listen address, or "" if the service does not listen.
func (s *service) Address() string {
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// DrainError reports orders that were still running at the shutdown deadline.
type DrainError struct{ Err error }

func (e *DrainError) Error() string {
	return "orders still running at the shutdown deadline: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Err }

// Stop waits until the running orders have ended, since their responses are sent on the
// links, and then closes the links. It returns a DrainError if ctx ends first. The work
// service refuses new orders in the meantime.
func (s *service) Stop(ctx context.Context) error {
	if s.cancel == nil {
		return nil
	}
	close(s.draining)
	done := make(chan struct{})
	go func() { s.runningOrders.Wait(); close(done) }()
	var drainErr error
	select {
	case <-done:
	case <-ctx.Done():
		drainErr = &DrainError{Err: context.Cause(ctx)}
	}
	s.cancel()
	_ = s.listener.Close()
	<-s.serveDone
	return drainErr
}

// Open serves one link until it is closed. It returns a HelloError unless the first
// frame is a hello for this upstream.
func (s *service) Open(stream wire.DRPCLink_OpenStream) error {
	if err := s.CheckRole(stream.Context(), api.RoleRouter); err != nil {
		return err
	}
	batch, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := firstHello(batch)
	if hello == nil || hello.GetUpstream() != s.settings.Upstream {
		s.counts.unexpectedFrames.Add(1)
		return &HelloError{}
	}
	s.links.Add(1)
	defer s.links.Add(-1)
	l := newLink(s, stream)
	l.router = hello.GetNode()
	l.reportRevision(hello.GetRevision())
	return l.serve(batch.GetFrames()[1:])
}

// firstHello returns the hello in the first frame of a batch, or nil.
func firstHello(b *wire.RouterBatch) *wire.Hello {
	if len(b.GetFrames()) == 0 {
		return nil
	}
	return b.GetFrames()[0].GetHello()
}

// HelloError reports a link whose first frame was not a hello for this upstream.
type HelloError struct{}

func (*HelloError) Error() string {
	return "the first frame of a link must be a hello for this upstream"
}

func isCanceled(err error) bool { return errors.Is(err, context.Canceled) }

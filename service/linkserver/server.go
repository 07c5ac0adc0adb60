// Package linkserver accepts links from routers and calls from peers, checks
// the role in their certificates and hands orders to the agent's work service.
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
	// seen takes the revisions of orders; it is nil where the store does not
	// ask for them.
	seen   api.RevisionObserver
	work   api.Executor
	counts counters

	mux      *drpcmux.Mux
	listener net.Listener
	cancel   context.CancelFunc
	draining chan struct{}
	served   chan struct{}
	orders   sync.WaitGroup
	// links counts the open links, routerLinks those of a router nearby, as
	// the configuration makes them.
	links, routerLinks atomic.Int64
}

type counters struct {
	foreign, refusedRole, orders, replayed api.Counter
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
	s.seen, _ = s.store.(api.RevisionObserver)
	work, present, err := kernel.LookupOptional[api.Executor](c, api.ServiceWork)
	if err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.counts = counters{
		foreign:     metrics.Counter("server_foreign_frames", ""),
		refusedRole: metrics.Counter("server_refused_role", ""),
		orders:      metrics.Counter("server_orders", ""),
		replayed:    metrics.Counter("server_replayed_orders", ""),
	}
	s.draining, s.served = make(chan struct{}), make(chan struct{})
	if !present {
		return nil
	}
	s.work = work
	s.store.Subscribe(s.configure)
	return wire.DRPCRegisterLink(s.mux, s)
}

func (s *service) configure(_ time.Duration, snap *api.Snapshot) {
	router := subset.Node{Zone: s.settings.Zone, Region: snap.Config.Zones[s.settings.Zone].Region}
	s.routerLinks.Store(int64(subset.LinkCount(router, subset.FromConfig(snap.Config))))
}

// pace follows the number of links at the end that has more of them.
func (s *service) pace() subset.ReportSchedule {
	return subset.ScheduleReports(int(max(s.links.Load(), s.routerLinks.Load())))
}

// RegisterPeer adds the calls between any two processes.
func (s *service) RegisterPeer(p wire.DRPCPeerServer) error { return wire.DRPCRegisterPeer(s.mux, p) }

// CheckRole refuses a caller whose certificate lacks a role.
func (s *service) CheckRole(ctx context.Context, role string) error {
	id, err := s.peer(ctx)
	if err != nil {
		return err
	}
	if role != "" && id.Role != "" && id.Role != role {
		s.counts.refusedRole.Add(1)
		return &api.TrustError{Reason: "role " + id.Role + " may not call this"}
	}
	return nil
}

func (s *service) peer(ctx context.Context) (api.PeerIdentity, error) {
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
		s.counts.refusedRole.Add(1)
		return id, failure
	}
	return id, nil
}

// Start accepts connections. A router without an address for links takes no
// calls of peers.
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
	if secure := s.trust.Server(); secure != nil {
		listener = tls.NewListener(listener, secure)
	}
	server := drpcserver.NewWithOptions(s.mux, drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: wire.MaxMessageBytes},
	}})
	serving, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() {
		defer close(s.served)
		_ = server.Serve(serving, listener)
	}()
	return nil
}

// Address returns the address that links are accepted on, empty for none.
func (s *service) Address() string {
	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// DrainError reports orders that were still running at the deadline.
type DrainError struct{ Err error }

func (e *DrainError) Error() string { return "orders still run: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Err }

// Stop waits for the running orders, whose answers need the links, and then
// closes the links. New orders are refused by the work service meanwhile.
func (s *service) Stop(ctx context.Context) error {
	if s.cancel == nil {
		return nil
	}
	close(s.draining)
	done := make(chan struct{})
	go func() { s.orders.Wait(); close(done) }()
	var failure error
	select {
	case <-done:
	case <-ctx.Done():
		failure = &DrainError{Err: context.Cause(ctx)}
	}
	s.cancel()
	_ = s.listener.Close()
	<-s.served
	return failure
}

// Open serves one link.
func (s *service) Open(stream wire.DRPCLink_OpenStream) error {
	if err := s.CheckRole(stream.Context(), api.RoleRouter); err != nil {
		return err
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := firstHello(first)
	if hello == nil || hello.GetUpstream() != s.settings.Upstream {
		s.counts.foreign.Add(1)
		return &HelloError{}
	}
	s.links.Add(1)
	defer s.links.Add(-1)
	l := newLink(s, stream)
	l.router = hello.GetNode()
	l.sighted(hello.GetRevision())
	return l.serve(first.GetFrames()[1:])
}

func firstHello(b *wire.RouterBatch) *wire.Hello {
	if len(b.GetFrames()) == 0 {
		return nil
	}
	return b.GetFrames()[0].GetHello()
}

// HelloError reports a link that did not begin with a hello for this upstream.
type HelloError struct{}

func (*HelloError) Error() string { return "a link must begin with a hello for this upstream" }

func isCanceled(err error) bool { return errors.Is(err, context.Canceled) }

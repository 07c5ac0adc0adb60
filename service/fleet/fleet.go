// Package fleet tells an edge which edges there are, on platforms that do not
// list them. Each edge calls a few others whose addresses are in its settings,
// and answers such calls itself. Decisions are those of decide/fleet.
package fleet

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/fleet"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/wire"
)

const (
	// callInterval is the time between calls to a seed. A name is kept for 30
	// times as long.
	callInterval = 2 * time.Second
	// startInterval is that of the first calls, startCalls their number: edges
	// that start together hear of each other before callers reach them.
	startInterval = 250 * time.Millisecond
	startCalls    = 12
	// callTimeout bounds a call, its dial included: several round trips between
	// zones a few milliseconds apart, on a part of a core.
	callTimeout = 500 * time.Millisecond
	// nameBytes bounds the name of an edge that is remembered.
	nameBytes = 128

	callMailbox    = 256
	listingMailbox = 16
)

type service struct {
	settings *api.Settings
	log      api.Logger
	counts   counters
	edges    atomic.Int64
	calls    *kernel.Mailbox[kernel.Call[string, *wire.FleetListing]]
	known    *kernel.Mailbox[kernel.Call[string, uint64]]
	listings *kernel.Mailbox[listed]
	listener net.Listener
	cancel   context.CancelFunc

	// The control loop owns the fields below.
	state     *fleet.State
	view      *api.FleetView
	followers []func(time.Duration, *api.FleetView)
}

type counters struct{ calls, failures api.Counter }

// listed is the answer of a seed, or why there is none.
type listed struct {
	seed    string
	listing *wire.FleetListing
	err     error
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.log, err = kernel.Lookup[api.Logger](c, api.ServiceLog); err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.counts = counters{
		calls:    metrics.Counter("fleet_calls", ""),
		failures: metrics.Counter("fleet_call_failures", ""),
	}
	metrics.Gauge("fleet_edges", s.edges.Load)
	s.state = fleet.New(s.settings.Node, len(s.otherSeeds()))
	s.calls = kernel.NewMailbox(c.Loop(), "fleet.call", callMailbox, kernel.Wait, s.answer)
	s.known = kernel.NewMailbox(c.Loop(), "fleet.known", listingMailbox, kernel.Wait,
		func(_ time.Duration, c kernel.Call[string, uint64]) { c.Reply(s.state.KnownDigest(c.Query)) })
	s.listings = kernel.NewMailbox(c.Loop(), "fleet.listing", listingMailbox, kernel.Wait, s.take)
	c.Loop().Every(callInterval, s.publish)
	return nil
}

// otherSeeds are the seeds without this process.
func (s *service) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(s.settings.Edge.Seeds),
		func(seed string) bool { return seed == s.settings.Listen.Link })
}

// Subscribe adds a follower of the view.
func (s *service) Subscribe(f func(time.Duration, *api.FleetView)) {
	s.followers = append(s.followers, f)
}

func (s *service) Start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.settings.Listen.Link)
	if err != nil {
		return &api.ListenError{Address: s.settings.Listen.Link, Err: err}
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterFleet(mux, s); err != nil {
		return err
	}
	s.listener = listener
	running, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() { _ = wire.ServePlaintext(running, listener, mux, wire.MaxFleetMessageBytes) }()
	for _, seed := range s.otherSeeds() {
		go s.follow(running, seed)
	}
	return s.listings.Post(ctx, listed{})
}

// Address returns the address served.
func (s *service) Address() string { return s.listener.Addr().String() }

func (s *service) Stop(context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	// The server closes its listener later than it is told to stop, and the
	// process that follows listens on the same address.
	_ = s.listener.Close()
	return nil
}

// Call answers another edge.
func (s *service) Call(ctx context.Context, c *wire.FleetCall) (*wire.FleetListing, error) {
	if name := c.GetNode(); name == "" || len(name) > nameBytes {
		return nil, &NameError{Bytes: len(name)}
	}
	listing, err := kernel.Ask(ctx, s.calls, c.GetNode())
	if err == nil && listing.Digest == c.GetKnown() {
		listing.Nodes = nil
	}
	return listing, err
}

// NameError reports a call by an edge without a usable name.
type NameError struct{ Bytes int }

func (*NameError) Error() string { return "the name of the calling edge is empty or too long" }

func (s *service) answer(now time.Duration, c kernel.Call[string, *wire.FleetListing]) {
	s.state.RecordCall(now, c.Query)
	names, digest := s.state.Listing(now)
	c.Reply(&wire.FleetListing{Digest: digest, Nodes: names})
	s.publish(now)
}

// follow calls a seed until the process stops.
func (s *service) follow(ctx context.Context, seed string) {
	var conn *drpcconn.Conn
	for n := 0; ctx.Err() == nil; n++ {
		var l listed
		if l, conn = s.ask(ctx, seed, conn); s.listings.Post(ctx, l) != nil {
			break
		}
		wait := callInterval
		if n < startCalls {
			wait = startInterval
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// ask calls a seed once. A connection that failed is not used again.
func (s *service) ask(ctx context.Context, seed string, conn *drpcconn.Conn) (listed, *drpcconn.Conn) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	known, err := kernel.Ask(ctx, s.known, seed)
	if err == nil && conn == nil {
		conn, err = wire.DialPlaintext(ctx, seed, callTimeout, wire.MaxFleetMessageBytes)
	}
	if err != nil {
		return listed{seed: seed, err: err}, nil
	}
	listing, err := wire.NewDRPCFleetClient(conn).Call(ctx, &wire.FleetCall{Node: s.settings.Node, Known: known})
	if err != nil {
		_ = conn.Close()
		return listed{seed: seed, err: err}, nil
	}
	return listed{seed: seed, listing: listing}, conn
}

func (s *service) take(now time.Duration, l listed) {
	if l.seed != "" {
		s.counts.calls.Add(1)
	}
	if l.err != nil {
		s.counts.failures.Add(1)
	}
	if l.listing != nil {
		s.state.RecordListing(now, l.seed, l.listing.GetNodes(), l.listing.GetDigest())
	}
	s.publish(now)
}

// publish tells followers of a view that differs from the last one.
func (s *service) publish(now time.Duration) {
	v := s.state.View(now)
	if s.view != nil && v.EdgeCount == s.view.EdgeCount && slices.Equal(v.Names, s.view.Names) {
		return
	}
	s.view = v
	s.edges.Store(int64(len(v.Names)))
	s.log.Change("edges counted", api.Fields{"edges": len(v.Names), "sharers": v.EdgeCount})
	for _, f := range s.followers {
		f(now, v)
	}
}

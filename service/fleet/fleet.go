// Package fleet discovers the edges of a deployment on platforms that do not list
// them. Each edge calls a few seeds, which are edges whose addresses are in its
// settings. A seed responds with the names of the edges that called it recently.
// Package decide/fleet combines the responses.
//
// The edges also report to each other which requests were in flight when upstreams
// crashed: at once to all known edges, and again with the calls to seeds.
package fleet

import (
	"context"
	"maps"
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
	// callInterval is the time between calls to a seed. A seed lists an edge for 30
	// intervals after the edge's last call.
	callInterval = 2 * time.Second
	// startInterval is the time between the first startCalls calls, and between those
	// after a seed was lost. It is short, so that edges that start together discover each
	// other before traffic arrives, and so that a seed that has restarted learns of
	// crashes from those that call it.
	startInterval = 250 * time.Millisecond
	startCalls    = 12
	// callTimeout bounds a call including the dial. It allows for several round trips
	// of a few milliseconds between zones, with a fraction of a core.
	callTimeout = 500 * time.Millisecond
	// maxNameBytes bounds the name of a calling edge.
	maxNameBytes = 128

	callMailboxSize   = 256
	resultMailboxSize = 16
)

type service struct {
	// connections is nil in a process that does not bound its connections.
	connections   api.Connections
	settings      *api.Settings
	log           api.Logger
	counts        counters
	edgeCount     atomic.Int64
	loop          *kernel.Loop
	receivedCalls *kernel.Mailbox[kernel.Call[*wire.FleetCall, *wire.FleetListing]]
	// nextCalls asks for the content of a call to a seed.
	nextCalls       *kernel.Mailbox[kernel.Call[string, *wire.FleetCall]]
	callResults     *kernel.Mailbox[callResult]
	receivedReports *kernel.Mailbox[kernel.Call[*wire.Suspicions, *wire.Suspicions]]
	reportResults   *kernel.Mailbox[reportResult]
	listener        net.Listener
	// running ends when the service stops.
	running context.Context
	cancel  context.CancelFunc

	// The control loop owns the fields below.
	state       *fleet.State
	view        *api.FleetView
	subscribers []func(time.Duration, *api.FleetView)
	// records is nil if no service tracks crashes.
	records api.SuspicionRecords
	// outboxes holds the reports to be sent, by the address of the edge.
	outboxes map[string]*outbox
}

type counters struct{ sentCalls, failedCalls, sentReports, failedReports api.Counter }

// callResult is the response of a seed or the error of the call. Start posts the
// zero value, so that the initial view is published.
type callResult struct {
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
	if s.connections, _, err = kernel.LookupOptional[api.Connections](c, api.ServiceConnections); err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.counts = counters{
		sentCalls:   metrics.Counter("fleet_calls", ""),
		failedCalls: metrics.Counter("fleet_call_failures", ""),

		sentReports:   metrics.Counter("fleet_reports", ""),
		failedReports: metrics.Counter("fleet_report_failures", ""),
	}
	metrics.Gauge("fleet_edges", s.edgeCount.Load)
	s.state = fleet.New(s.settings.Node, len(s.otherSeeds()))
	s.view = &api.FleetView{}
	s.outboxes = make(map[string]*outbox)
	s.loop = c.Loop()
	s.receivedCalls = kernel.NewMailbox(c.Loop(), "fleet.call", callMailboxSize, kernel.Wait, s.handleCall)
	s.nextCalls = kernel.NewMailbox(c.Loop(), "fleet.next", resultMailboxSize, kernel.Wait,
		func(now time.Duration, c kernel.Call[string, *wire.FleetCall]) { c.Reply(s.nextCall(now, c.Query)) })
	s.callResults = kernel.NewMailbox(c.Loop(), "fleet.listing", resultMailboxSize, kernel.Wait, s.handleResult)
	s.receivedReports = kernel.NewMailbox(c.Loop(), "fleet.report", callMailboxSize, kernel.Wait,
		func(now time.Duration, c kernel.Call[*wire.Suspicions, *wire.Suspicions]) {
			c.Reply(s.mergeAndAnswer(now, c.Query))
		})
	s.reportResults = kernel.NewMailbox(c.Loop(), "fleet.reported", callMailboxSize, kernel.Wait, s.handleReportResult)
	c.Loop().Every(callInterval, s.publish)
	return nil
}

// otherSeeds returns the seeds except this process.
func (s *service) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(s.settings.Edge.Seeds),
		func(seed string) bool { return seed == s.settings.Listen.Link })
}

// Subscribe adds a function that is called on the control loop with the initial view
// and after each change.
func (s *service) Subscribe(f func(time.Duration, *api.FleetView)) {
	s.subscribers = append(s.subscribers, f)
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
	s.running, s.cancel = context.WithCancel(context.Background())
	if s.connections != nil {
		listener = s.connections.Guard(listener, api.GuardOptions{Name: "link"})
	}
	go func() { _ = wire.ServePlaintext(s.running, listener, mux, wire.MaxFleetMessageBytes) }()
	for _, seed := range s.otherSeeds() {
		go s.pollSeed(s.running, seed)
	}
	return s.callResults.Post(ctx, callResult{})
}

// Address returns the address on which the service listens.
func (s *service) Address() string { return s.listener.Addr().String() }

func (s *service) Stop(context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	// Cancellation closes the listener asynchronously. It is closed here because the
	// next process listens on the same address.
	_ = s.listener.Close()
	return nil
}

// Call records a call from another edge and returns the edges that called recently. It
// omits them if the caller already has this listing.
func (s *service) Call(ctx context.Context, c *wire.FleetCall) (*wire.FleetListing, error) {
	if name := c.GetNode(); name == "" || max(len(name), len(c.GetAddress())) > maxNameBytes {
		return nil, &InvalidNameError{Bytes: len(name)}
	}
	listing, err := kernel.Ask(ctx, s.receivedCalls, c)
	if err == nil && listing.Digest == c.GetKnown() {
		listing.Nodes, listing.Addresses = nil, nil
	}
	return listing, err
}

// InvalidNameError reports a call from an edge whose name is empty, or whose name or
// address is too long.
type InvalidNameError struct{ Bytes int }

func (*InvalidNameError) Error() string { return "the name of the calling edge is empty or too long" }

func (s *service) handleCall(now time.Duration, c kernel.Call[*wire.FleetCall, *wire.FleetListing]) {
	s.state.SetAddress(s.Address())
	s.state.RecordCall(now, fleet.Edge{Name: c.Query.GetNode(), Address: c.Query.GetAddress()})
	// What is news to this edge, which may have just started, may be news to others that
	// started with it.
	s.ReportSuspicions(s.mergeReports(now, wire.ToSuspicions(c.Query.GetSuspicions())))
	edges, digest := s.state.Listing(now)
	listing := &wire.FleetListing{Digest: digest, Suspicions: s.digest(now)}
	for _, e := range edges {
		listing.Nodes = append(listing.Nodes, e.Name)
		listing.Addresses = append(listing.Addresses, e.Address)
	}
	c.Reply(listing)
	s.publish(now)
}

// nextCall returns the content of the next call to a seed.
func (s *service) nextCall(now time.Duration, seed string) *wire.FleetCall {
	return &wire.FleetCall{
		Node:       s.settings.Node,
		Address:    s.Address(),
		Known:      s.state.KnownDigest(seed),
		Suspicions: s.digest(now),
	}
}

// pollSeed calls a seed at intervals until the process stops.
func (s *service) pollSeed(ctx context.Context, seed string) {
	var conn *drpcconn.Conn
	for n := 0; ctx.Err() == nil; n++ {
		var result callResult
		if result, conn = s.callSeed(ctx, seed, conn); s.callResults.Post(ctx, result) != nil {
			break
		}
		wait := callInterval
		if n < startCalls {
			wait = startInterval
		}
		if !sleep(ctx, wait, closed(conn)) {
			// A seed that has restarted has to learn again what this edge knows.
			_ = conn.Close()
			conn, n = nil, 0
			sleep(ctx, startInterval, nil)
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// sleep waits for d or until ctx ends. It returns false if interrupt is closed before.
func sleep(ctx context.Context, d time.Duration, interrupt <-chan struct{}) bool {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	case <-interrupt:
		return false
	}
	return true
}

// closed returns a channel that is closed when a connection ends. It blocks for ever if
// there is none.
func closed(conn *drpcconn.Conn) <-chan struct{} {
	if conn == nil {
		return nil
	}
	return conn.Closed()
}

// callSeed calls a seed once, on conn if it is not nil. It returns the connection for
// the next call, nil after a failure.
func (s *service) callSeed(ctx context.Context, seed string, conn *drpcconn.Conn) (callResult, *drpcconn.Conn) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call, err := kernel.Ask(ctx, s.nextCalls, seed)
	if err == nil && conn == nil {
		conn, err = wire.DialPlaintext(ctx, seed, callTimeout, wire.MaxFleetMessageBytes)
	}
	if err != nil {
		return callResult{seed: seed, err: err}, nil
	}
	listing, err := wire.NewDRPCFleetClient(conn).Call(ctx, call)
	if err != nil {
		_ = conn.Close()
		return callResult{seed: seed, err: err}, nil
	}
	return callResult{seed: seed, listing: listing}, conn
}

func (s *service) handleResult(now time.Duration, r callResult) {
	if r.seed != "" {
		s.counts.sentCalls.Add(1)
	}
	if r.err != nil {
		s.counts.failedCalls.Add(1)
	}
	if r.listing != nil {
		s.state.RecordListing(now, r.seed, listedEdges(r.listing), r.listing.GetDigest())
		s.mergeReports(now, wire.ToSuspicions(r.listing.GetSuspicions()))
	}
	s.publish(now)
}

// listedEdges returns the edges in a listing. The addresses are missing if the seed has an
// older build.
func listedEdges(l *wire.FleetListing) []fleet.Edge {
	var edges []fleet.Edge
	for i, name := range l.GetNodes() {
		e := fleet.Edge{Name: name}
		if addresses := l.GetAddresses(); i < len(addresses) {
			e.Address = addresses[i]
		}
		edges = append(edges, e)
	}
	return edges
}

// publish calls the subscribers if the view has changed.
func (s *service) publish(now time.Duration) {
	v := s.state.View(now)
	old := s.view
	s.view = v
	if !maps.Equal(v.Addresses, old.Addresses) {
		s.dropOutboxes()
	}
	if v.LimitDivisor == old.LimitDivisor && slices.Equal(v.Names, old.Names) {
		return
	}
	s.edgeCount.Store(int64(len(v.Names)))
	s.log.Change("edge list changed", api.Fields{"edges": len(v.Names), "sharers": v.LimitDivisor})
	for _, f := range s.subscribers {
		f(now, v)
	}
}

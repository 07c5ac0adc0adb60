// Package connections keeps the account of what the connections of a process make it hold. The
// decisions are in decide/connbudget; this service observes the connections and ends those
// that the decisions name.
package connections

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/connbudget"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/kernel/guard"
)

const (
	mailboxSize = 1024
	// observeInterval is the time between two readings of all connections. When the account
	// is short they are read again unless the last readings are newer than freshReadings.
	observeInterval = 500 * time.Millisecond
	freshReadings   = 100 * time.Millisecond
	// reportInterval bounds the log lines on connections that were refused or ended.
	reportInterval = 10 * time.Second
	// busyRetryAfter is the Retry-After of a body for which there is no room.
	busyRetryAfter = 300 * time.Millisecond
)

// charge is a number of bytes for a holder on a connection.
type charge struct {
	id     uint64
	holder string
	bytes  int64
}

type service struct {
	clock kernel.Clock
	log   api.Logger

	listeners *kernel.Mailbox[kernel.Call[api.GuardOptions, bool]]
	opened    *kernel.Mailbox[kernel.Call[*guard.Conn, bool]]
	closed    *kernel.Mailbox[uint64]
	taken     *kernel.Mailbox[kernel.Call[charge, bool]]
	returned  *kernel.Mailbox[charge]
	shortages *kernel.Mailbox[struct{}]

	// refused and endedCount count by listener and by reason.
	refused, endedCount func(label string) api.Counter
	refusedBodies       api.Counter
	open, used          atomic.Int64

	// The control loop owns the fields below.
	state      *connbudget.State
	conns      map[uint64]*guard.Conn
	observedAt time.Duration
	// emptyUntil is set after a search found no connection to end: another search is
	// useless until something has stalled.
	emptyUntil time.Duration
	report     report
}

func (s *service) Provision(c *kernel.Context) error {
	settings, err := kernel.Value[*api.Settings](c)
	if err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	if s.log, err = kernel.Lookup[api.Logger](c, api.ServiceLog); err != nil {
		return err
	}
	s.clock = c.Clock()
	s.refused = func(name string) api.Counter { return metrics.Counter("connections_refused", name) }
	s.endedCount = func(reason string) api.Counter { return metrics.Counter("connections_ended", reason) }
	s.refusedBodies = metrics.Counter("bodies_refused", "")
	metrics.Gauge("connections", s.open.Load)
	metrics.Gauge("connection_bytes", s.used.Load)
	s.state = connbudget.New(limits(settings))
	s.conns = make(map[uint64]*guard.Conn)
	s.addMailboxes(c.Loop())
	c.Loop().Every(observeInterval, s.tick)
	return nil
}

func (s *service) addMailboxes(loop *kernel.Loop) {
	s.listeners = kernel.NewMailbox(loop, "connections.listener", mailboxSize, kernel.Wait,
		func(_ time.Duration, call kernel.Call[api.GuardOptions, bool]) {
			s.state.AddListener(call.Query.Name, call.Query.Main)
			call.Reply(true)
		})
	s.opened = kernel.NewMailbox(loop, "connections.opened", mailboxSize, kernel.Wait,
		func(now time.Duration, call kernel.Call[*guard.Conn, bool]) {
			call.Reply(s.handleOpened(now, call.Query))
		})
	s.closed = kernel.NewMailbox(loop, "connections.closed", mailboxSize, kernel.Wait, func(_ time.Duration, id uint64) {
		s.state.Close(id)
		delete(s.conns, id)
		s.publish()
	})
	s.taken = kernel.NewMailbox(loop, "connections.taken", mailboxSize, kernel.Wait,
		func(now time.Duration, call kernel.Call[charge, bool]) { call.Reply(s.handleTaken(now, call.Query)) })
	s.returned = kernel.NewMailbox(loop, "connections.returned", mailboxSize, kernel.Wait, func(_ time.Duration, r charge) {
		s.state.Return(r.id, r.holder, r.bytes)
		s.publish()
	})
	s.shortages = kernel.NewMailbox(loop, "connections.shortage", 1, kernel.Drop, s.handleShortage)
}

// Guard returns a listener whose connections are charged to the account.
func (s *service) Guard(l net.Listener, o api.GuardOptions) net.Listener {
	_, _ = kernel.Ask(context.Background(), s.listeners, o)
	return guard.NewListener(l, o.Name, o.Trusted, s)
}

// Now returns the time on the process clock.
func (s *service) Now() time.Duration { return s.clock.Now() }

// SetTimeLimits sets the time limits of a listener. It must be called on the control loop or
// before it starts.
func (s *service) SetTimeLimits(listener string, l api.TimeLimits) {
	if !s.state.SetTimeLimits(listener, l) {
		return
	}
	s.log.Change("time limits of connections changed", api.Fields{
		"listener": listener, "head_ms": l.Head.Milliseconds(), "idle_ms": l.Idle.Milliseconds(),
	})
}

// Open reports whether a new connection may be kept. While the process stops, all are.
func (s *service) Open(c *guard.Conn) bool {
	kept, err := kernel.Ask(context.Background(), s.opened, c)
	if err == nil && !kept {
		s.refused(c.Listener).Add(1)
	}
	return kept || err != nil
}

// Close ends the account of a connection.
func (s *service) Close(c *guard.Conn) { _ = s.closed.Post(context.Background(), c.ID) }

// Take charges bytes to a connection whose caller is not known yet.
func (s *service) Take(c *guard.Conn, n int64) bool {
	granted, err := kernel.Ask(context.Background(), s.taken, charge{c.ID, sourceHolder(c), n})
	return granted || err != nil
}

// Return releases bytes that Take charged.
func (s *service) Return(c *guard.Conn, n int64) {
	_ = s.returned.Post(context.Background(), charge{c.ID, sourceHolder(c), n})
}

// sourceHolder returns the holder of bytes whose member is not known yet. No member has such a
// name.
func sourceHolder(c *guard.Conn) string { return "\x00" + c.Source }

// TakeBody takes n bytes for a body of a member. It fails at once if there is no room: a body
// that waits keeps its connection and what has arrived of it.
func (s *service) TakeBody(ctx context.Context, member string, n int64) *api.Failure {
	// The reply is awaited even if the caller disconnects meanwhile: bytes that were granted
	// must be returned.
	granted, err := kernel.Ask(context.WithoutCancel(ctx), s.taken, charge{connectionID(ctx), member, n})
	if err != nil {
		return &api.Failure{Code: api.CodeShuttingDown, Run: api.NotRun, Err: err}
	}
	if granted {
		return nil
	}
	s.refusedBodies.Add(1)
	f := api.NewFailure(api.CodeOverloaded, api.NotRun, "this process holds too many bytes of requests and responses")
	f.RetryAfter = busyRetryAfter
	return f
}

// ReturnBody gives back bytes that TakeBody took.
func (s *service) ReturnBody(ctx context.Context, member string, n int64) {
	_ = s.returned.Post(context.Background(), charge{connectionID(ctx), member, n})
}

// connectionID returns the connection of a request, 0 if it has none.
func connectionID(ctx context.Context) uint64 {
	if c := guard.FromContext(ctx); c != nil {
		return c.ID
	}
	return 0
}

// ReportShortage ends responses that no client reads, because there are too many requests in
// flight. It does not wait.
func (s *service) ReportShortage() { _ = s.shortages.Post(context.Background(), struct{}{}) }

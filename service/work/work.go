// Package work is the agent's sole entry point to its upstream. It decides on
// the control loop which orders start, and runs them on traffic goroutines.
package work

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	arrivalMailbox = 4096
	finishMailbox  = 4096
)

// Register adds the service under its name.
func Register(r *kernel.Registry) error {
	return r.Register(api.ServiceWork, func() any { return &service{} })
}

type service struct {
	settings *api.Settings
	store    api.ConfigStore
	engine   api.Engine
	metrics  api.Metrics
	clock    kernel.Clock

	incarnation api.Incarnation
	started     time.Duration

	arrivals *kernel.Mailbox[kernel.Call[api.Order, grant]]
	finishes *kernel.Mailbox[finish]
	drains   *kernel.Mailbox[struct{}]

	// The control loop owns the fields below.
	running  int
	limit    int
	waiting  []kernel.Call[api.Order, grant]
	upstream api.Upstream
	draining bool

	report atomic.Pointer[report]
}

type report struct {
	load    api.Load
	changed chan struct{}
}

// grant is the answer to an arrival.
type grant struct {
	failure *api.Failure
	// expires is when the grant must not be used any more.
	expires time.Duration
}

type finish struct {
	send    api.SendID
	usage   api.Usage
	failure *api.Failure
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.store, err = kernel.Lookup[api.ConfigStore](c, api.ServiceConfigStore); err != nil {
		return err
	}
	if s.engine, err = kernel.Lookup[api.Engine](c, api.ServiceEngine); err != nil {
		return err
	}
	if s.metrics, err = kernel.Lookup[api.Metrics](c, api.ServiceMetrics); err != nil {
		return err
	}
	s.clock = c.Clock()
	s.started = s.clock.Now()
	s.incarnation = newIncarnation()
	s.arrivals = kernel.NewMailbox(c.Loop(), "work.arrival", arrivalMailbox, kernel.Wait, s.arrive)
	s.finishes = kernel.NewMailbox(c.Loop(), "work.finish", finishMailbox, kernel.Wait, s.finish)
	s.drains = kernel.NewMailbox(c.Loop(), "work.drain", 1, kernel.Latest, s.drain)
	s.store.Subscribe(s.configure)
	s.report.Store(&report{changed: make(chan struct{}), load: api.Load{
		Upstream:    s.settings.Upstream,
		Incarnation: s.incarnation,
	}})
	return nil
}

func newIncarnation() api.Incarnation {
	var b [8]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return api.Incarnation(binary.LittleEndian.Uint64(b[:]) | 1)
}

// Incarnation returns the incarnation of this process.
func (s *service) Incarnation() api.Incarnation { return s.incarnation }

// Elapsed returns the time since the agent started.
func (s *service) Elapsed() time.Duration { return s.clock.Now() - s.started }

// Load returns the present report and a channel that is closed by the next.
func (s *service) Load() (api.Load, <-chan struct{}) {
	r := s.report.Load()
	return r.load, r.changed
}

// Drain stops new work.
func (s *service) Drain() { _ = s.drains.Post(context.Background(), struct{}{}) }

// Execute runs an order or refuses it.
func (s *service) Execute(ctx context.Context, o api.Order, sink api.Sink) {
	g, err := kernel.Ask(ctx, s.arrivals, o)
	if err != nil {
		sink.End(api.End{Failure: &api.Failure{Code: api.CodeCanceled, Run: api.Unknown, Err: err}})
		return
	}
	if g.failure != nil {
		sink.End(api.End{Failure: g.failure})
		return
	}
	usage, failure := s.start(ctx, o, g, sink)
	_ = s.finishes.Post(context.Background(), finish{send: o.Send, usage: usage, failure: failure})
	sink.End(api.End{Chunks: usage.Chunks, Failure: failure})
}

// start checks the grant once more, since this goroutine may have been paused
// since it was given.
func (s *service) start(ctx context.Context, o api.Order, g grant, sink api.Sink) (api.Usage, *api.Failure) {
	if s.clock.Now() >= g.expires {
		return api.Usage{}, api.Fail(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed before the start")
	}
	return s.engine.Run(ctx, o, sink)
}

// Outcome answers a query.
func (s *service) Outcome(context.Context, api.OutcomeQuery) api.Outcome {
	return api.Outcome{Run: api.Unknown}
}

func (s *service) configure(_ time.Duration, snap *api.Snapshot) {
	s.upstream = snap.Config.Upstreams[s.settings.Upstream]
	s.limit = s.upstream.MaxRequests
	s.publish()
}

func (s *service) arrive(now time.Duration, c kernel.Call[api.Order, grant]) {
	if s.draining {
		c.Reply(grant{failure: api.Fail(api.CodeShuttingDown, api.NotRun, "the agent is shutting down")})
		return
	}
	if s.running >= s.limit {
		s.waiting = append(s.waiting, c)
		s.publish()
		return
	}
	s.grant(now, c)
}

func (s *service) grant(now time.Duration, c kernel.Call[api.Order, grant]) {
	s.running++
	c.Reply(grant{expires: now + c.Query.DeadlineLeft})
	s.publish()
}

func (s *service) finish(now time.Duration, _ finish) {
	s.running--
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.grant(now, next)
		return
	}
	s.publish()
}

func (s *service) drain(time.Duration, struct{}) {
	s.draining = true
	s.publish()
}

func (s *service) publish() {
	old := s.report.Load()
	load := old.load
	load.Running = uint32(s.running)
	load.Queued = uint32(len(s.waiting))
	load.LimitRequests = uint32(s.limit)
	load.Accepting = !s.draining
	if snap := s.store.Current(); snap != nil {
		load.Revision = snap.Revision
	}
	s.report.Store(&report{load: load, changed: make(chan struct{})})
	close(old.changed)
}

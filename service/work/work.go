// Package work is the agent's sole entry point to its upstream. The control
// loop decides which orders start; traffic goroutines run them.
package work

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	arrivalMailbox = 4096
	finishMailbox  = 4096
	cancelMailbox  = 4096
	queryMailbox   = 256
	learnMailbox   = 64
	tellMailbox    = 64
	// longestRun bounds a run that no router can cancel, so that an upstream
	// that never answers does not hold its place for good.
	longestRun = 10 * time.Minute
)

type service struct {
	settings *api.Settings
	store    api.ConfigStore
	orders   api.OrderCheck
	// membership is nil in a process without it.
	membership api.Membership
	engine     api.Engine
	metrics    api.Metrics
	clock      kernel.Clock

	incarnation api.Incarnation
	started     time.Duration

	arrivals *kernel.Mailbox[kernel.Call[api.Order, grant]]
	finishes *kernel.Mailbox[finish]
	cancels  *kernel.Mailbox[api.AttemptID]
	queries  *kernel.Mailbox[kernel.Call[api.OutcomeQuery, api.Outcome]]
	drains   *kernel.Mailbox[struct{}]
	merges   *kernel.Mailbox[[]api.Suspicion]
	reports  *kernel.Mailbox[kernel.Call[int, []api.Suspicion]]

	control *control
	report  atomic.Pointer[report]
	cache   atomic.Pointer[[]api.CacheChange]
	// answerBytes is the bound of one recorded answer.
	answerBytes atomic.Int64
	// ledgerEntries is published with each report.
	ledgerEntries atomic.Int64
}

// report is the published load and the channel closed by the next one.
type report struct {
	load    api.Load
	changed chan struct{}
}

// verdict says what Execute does with its order.
type verdict int

const (
	refuse verdict = iota
	run
	repeat
	drop
)

// grant is the answer to an arrival.
type grant struct {
	verdict verdict
	failure *api.Failure
	outcome api.Outcome
	// expires is when a grant to run must not be used any more, on the clock
	// of the process.
	expires time.Duration
	// generated counts the tokens of a run while it goes on.
	generated *atomic.Int64
	// recalled ends when the run is to be stopped, nil if it never is.
	recalled context.Context
}

// finish tells the control loop how a run ended.
type finish struct {
	send    api.AttemptID
	usage   api.Usage
	failure *api.Failure
	// answer is set for a whole answer to a non-idempotent request.
	answer *ledger.Answer
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.store, err = kernel.Lookup[api.ConfigStore](c, api.ServiceConfigStore); err != nil {
		return err
	}
	if s.orders, err = kernel.Lookup[api.OrderCheck](c, api.ServiceConfigStore); err != nil {
		return err
	}
	if s.membership, _, err = kernel.LookupOptional[api.Membership](c, api.ServiceMembership); err != nil {
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
	s.report.Store(&report{changed: make(chan struct{}), load: api.Load{
		Upstream:    s.settings.Upstream,
		Incarnation: s.incarnation,
	}})
	s.cache.Store(new([]api.CacheChange))
	s.control = newControl(s)
	feed, present, err := kernel.LookupOptional[api.EngineFeed](c, api.ServiceEngineFeed)
	if err != nil {
		return err
	}
	if present {
		feed.SubscribeEngine(s.control)
	}
	s.mailboxes(c.Loop())
	return nil
}

func (s *service) mailboxes(l *kernel.Loop) {
	ctl := s.control
	s.arrivals = kernel.NewMailbox(l, "work.arrival", arrivalMailbox, kernel.Wait,
		func(now time.Duration, c kernel.Call[api.Order, grant]) { ctl.arrive(now-s.started, c) })
	s.finishes = kernel.NewMailbox(l, "work.finish", finishMailbox, kernel.Wait,
		func(now time.Duration, f finish) { ctl.finish(now-s.started, f) })
	s.cancels = kernel.NewMailbox(l, "work.cancel", cancelMailbox, kernel.Wait,
		func(now time.Duration, send api.AttemptID) { ctl.cancel(now-s.started, send) })
	s.queries = kernel.NewMailbox(l, "work.query", queryMailbox, kernel.Wait,
		func(now time.Duration, c kernel.Call[api.OutcomeQuery, api.Outcome]) {
			c.Reply(ctl.ledger.Query(now-s.started, c.Query))
		})
	s.drains = kernel.NewMailbox(l, "work.drain", 1, kernel.Latest,
		func(now time.Duration, _ struct{}) { ctl.drain(now - s.started) })
	s.merges = kernel.NewMailbox(l, "work.learn", learnMailbox, kernel.Drop,
		func(now time.Duration, suspicions []api.Suspicion) { ctl.learn(now-s.started, suspicions) })
	s.reports = kernel.NewMailbox(l, "work.tell", tellMailbox, kernel.Wait,
		func(now time.Duration, c kernel.Call[int, []api.Suspicion]) {
			c.Reply(ctl.suspects.Digest(now-s.started, c.Query))
		})
	l.Every(progressInterval, func(now time.Duration) { ctl.sample(now - s.started) })
	l.Every(servedInterval, func(now time.Duration) { ctl.reportServed(now - s.started) })
	l.Every(expiryInterval, func(now time.Duration) { ctl.pump(now - s.started) })
	if s.membership != nil {
		s.membership.Subscribe(func(now time.Duration, _ []api.VM) { ctl.reconsider(now - s.started) })
	}
	s.store.Subscribe(func(now time.Duration, snap *api.Snapshot) { ctl.configure(now-s.started, snap) })
}

func newIncarnation() api.Incarnation {
	var b [8]byte
	// crypto/rand.Read never fails. Zero means any incarnation, so it is avoided.
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

// CacheChanges returns the last changes of the engine's prefix cache.
func (s *service) CacheChanges() []api.CacheChange { return *s.cache.Load() }

// Drain stops new work.
func (s *service) Drain() { _ = s.drains.Post(context.Background(), struct{}{}) }

// Ready reports whether the agent knows its upstream.
func (s *service) Ready() error {
	if load := s.report.Load().load; !load.Accepting {
		return &NotAcceptingError{Upstream: s.settings.Upstream}
	}
	return nil
}

// NotAcceptingError reports an agent that takes no new work.
type NotAcceptingError struct{ Upstream string }

func (e *NotAcceptingError) Error() string {
	return "upstream " + e.Upstream + " takes no new work"
}

// Outcome answers a query from the ledger.
func (s *service) Outcome(ctx context.Context, q api.OutcomeQuery) api.Outcome {
	o, err := kernel.Ask(ctx, s.queries, q)
	if err != nil {
		return api.Outcome{Run: api.RunUnknown, Failure: &api.Failure{Code: api.CodeCanceled, Run: api.RunUnknown, Err: err}}
	}
	return o
}

// Execute runs an order, answers it from the ledger, or refuses it. Once it
// has arrived, a non-idempotent order no longer depends on its router.
func (s *service) Execute(ctx context.Context, o api.Order, sink api.Sink) {
	if !o.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	g, err := kernel.Ask(ctx, s.arrivals, o)
	if err != nil {
		_ = s.cancels.Post(context.Background(), o.AttemptID)
		sink.End(api.End{Failure: &api.Failure{Code: api.CodeCanceled, Run: api.RunUnknown, Err: err}})
		return
	}
	switch g.verdict {
	case run:
		sink.End(s.run(ctx, o, g, sink))
	case repeat:
		sink.End(replay(o, g.outcome, sink))
	case refuse:
		sink.End(api.End{Failure: g.failure})
	}
}

// run sends the order to the upstream and tells the control loop, which records
// the outcome before the caller learns of the end.
func (s *service) run(ctx context.Context, o api.Order, g grant, sink api.Sink) api.End {
	f := finish{send: o.AttemptID}
	if o.Idempotent {
		recallable, release := g.recallable(ctx)
		defer release()
		f.usage, f.failure = s.start(recallable, o, g, sink)
	} else {
		limited, cancel := context.WithTimeout(ctx, longestRun)
		defer cancel()
		ctx = limited
		r := &recorder{next: sink, bound: int(s.answerBytes.Load())}
		f.usage, f.failure = s.start(ctx, o, g, r)
		f.answer = &r.answer
	}
	_ = s.finishes.Post(context.Background(), f)
	return api.End{Chunks: f.usage.Chunks, Failure: g.explain(f.failure)}
}

// start checks the grant once more, since this goroutine may have been paused
// since it was given.
func (s *service) start(ctx context.Context, o api.Order, g grant, sink api.Sink) (api.Usage, *api.Failure) {
	if s.clock.Now() >= g.expires {
		return api.Usage{}, api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed before the start")
	}
	return s.engine.Run(ctx, o, &progress{Sink: sink, generated: g.generated})
}

// progress counts the tokens that pass, since a run that never ends would
// otherwise say nothing about the load of its upstream.
type progress struct {
	api.Sink
	generated *atomic.Int64
}

// Chunk counts and passes on.
func (p *progress) Chunk(c api.Chunk) error {
	p.generated.Add(int64(c.Tokens))
	return p.Sink.Chunk(c)
}

// Package work runs orders on the agent's upstream; nothing else sends requests to it.
// The control loop decides which orders start, and traffic goroutines run them.
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
	arrivalMailboxSize = 4096
	finishMailboxSize  = 4096
	cancelMailboxSize  = 4096
	queryMailboxSize   = 256
	mergeMailboxSize   = 64
	digestMailboxSize  = 64
	// maxRunTime limits a non-idempotent run, which its router cannot cancel. Without
	// it, a request without a response would take up capacity forever.
	maxRunTime = 10 * time.Minute
)

type service struct {
	settings   *api.Settings
	store      api.ConfigStore
	orderCheck api.OrderCheck
	// membership is nil in a process without a membership service.
	membership api.Membership
	engine     api.Engine
	metrics    api.Metrics
	clock      kernel.Clock

	incarnation api.Incarnation
	startedAt   time.Duration

	arrivals         *kernel.Mailbox[kernel.Call[api.Order, grant]]
	runResults       *kernel.Mailbox[runResult]
	cancels          *kernel.Mailbox[api.AttemptID]
	queries          *kernel.Mailbox[kernel.Call[api.OutcomeQuery, api.Outcome]]
	drains           *kernel.Mailbox[struct{}]
	suspicionMerges  *kernel.Mailbox[[]api.Suspicion]
	suspicionDigests *kernel.Mailbox[kernel.Call[int, []api.Suspicion]]

	control      *control
	published    atomic.Pointer[publishedLoad]
	cacheChanges atomic.Pointer[[]api.CacheChange]
	// maxResponseBytes is the maximum size of one recorded response.
	maxResponseBytes atomic.Int64
	// ledgerEntries is updated with each published load.
	ledgerEntries atomic.Int64
}

// publishedLoad is a load report and a channel that is closed when a newer one is
// published.
type publishedLoad struct {
	load    api.Load
	changed chan struct{}
}

// grantAction is the action that Execute must take.
type grantAction int

const (
	// grantRefuse ends the order with the failure.
	grantRefuse grantAction = iota
	// grantRun runs the order.
	grantRun
	// grantReplay sends the recorded outcome.
	grantReplay
	// grantDrop sends nothing, since the order is a copy of an attempt that already
	// arrived.
	grantDrop
)

// grant is the control loop's decision on an arrived order.
type grant struct {
	action  grantAction
	failure *api.Failure
	outcome api.Outcome
	// expiresAt is the time on the process clock at which a grant to run expires.
	expiresAt time.Duration
	// generatedTokens counts the tokens of a run in progress.
	generatedTokens *atomic.Int64
	// recallCtx ends when the run is recalled. It is nil for a non-idempotent run.
	recallCtx context.Context
}

// runResult is the result of a run, which is posted to the control loop.
type runResult struct {
	attemptID api.AttemptID
	usage     api.Usage
	failure   *api.Failure
	// response is the recorded response of a non-idempotent run.
	response *ledger.Response
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.store, err = kernel.Lookup[api.ConfigStore](c, api.ServiceConfigStore); err != nil {
		return err
	}
	if s.orderCheck, err = kernel.Lookup[api.OrderCheck](c, api.ServiceConfigStore); err != nil {
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
	s.startedAt = s.clock.Now()
	s.incarnation = newIncarnation()
	s.published.Store(&publishedLoad{changed: make(chan struct{}), load: api.Load{
		Upstream:    s.settings.Upstream,
		Incarnation: s.incarnation,
	}})
	s.cacheChanges.Store(new([]api.CacheChange))
	s.control = newControl(s)
	feed, present, err := kernel.LookupOptional[api.EngineFeed](c, api.ServiceEngineFeed)
	if err != nil {
		return err
	}
	if present {
		feed.SubscribeEngine(s.control)
	}
	s.createMailboxes(c.Loop())
	return nil
}

func (s *service) createMailboxes(l *kernel.Loop) {
	ctl := s.control
	s.arrivals = kernel.NewMailbox(l, "work.arrival", arrivalMailboxSize, kernel.Wait,
		func(now time.Duration, c kernel.Call[api.Order, grant]) { ctl.handleArrival(now-s.startedAt, c) })
	s.runResults = kernel.NewMailbox(l, "work.finish", finishMailboxSize, kernel.Wait,
		func(now time.Duration, f runResult) { ctl.handleResult(now-s.startedAt, f) })
	s.cancels = kernel.NewMailbox(l, "work.cancel", cancelMailboxSize, kernel.Wait,
		func(now time.Duration, id api.AttemptID) { ctl.cancel(now-s.startedAt, id) })
	s.queries = kernel.NewMailbox(l, "work.query", queryMailboxSize, kernel.Wait,
		func(now time.Duration, c kernel.Call[api.OutcomeQuery, api.Outcome]) {
			c.Reply(ctl.ledger.Query(now-s.startedAt, c.Query))
		})
	s.drains = kernel.NewMailbox(l, "work.drain", 1, kernel.Latest,
		func(now time.Duration, _ struct{}) { ctl.drain(now - s.startedAt) })
	s.suspicionMerges = kernel.NewMailbox(l, "work.learn", mergeMailboxSize, kernel.Drop,
		func(now time.Duration, suspicions []api.Suspicion) { ctl.mergeSuspicions(now-s.startedAt, suspicions) })
	s.suspicionDigests = kernel.NewMailbox(l, "work.tell", digestMailboxSize, kernel.Wait,
		func(now time.Duration, c kernel.Call[int, []api.Suspicion]) {
			c.Reply(ctl.suspects.Digest(now-s.startedAt, c.Query))
		})
	l.Every(progressInterval, func(now time.Duration) { ctl.sampleProgress(now - s.startedAt) })
	l.Every(servedInterval, func(now time.Duration) { ctl.reportServed(now - s.startedAt) })
	l.Every(expiryInterval, func(now time.Duration) { ctl.schedule(now - s.startedAt) })
	if s.membership != nil {
		s.membership.Subscribe(func(now time.Duration, _ []api.VM) { ctl.reevaluate(now - s.startedAt) })
	}
	s.store.Subscribe(func(now time.Duration, snap *api.Snapshot) { ctl.configure(now-s.startedAt, snap) })
}

func newIncarnation() api.Incarnation {
	var b [8]byte
	// crypto/rand.Read never fails. The lowest bit is set because an incarnation of
	// zero in an order matches any.
	_, _ = rand.Read(b[:])
	return api.Incarnation(binary.LittleEndian.Uint64(b[:]) | 1)
}

// Incarnation returns the incarnation of this process.
func (s *service) Incarnation() api.Incarnation { return s.incarnation }

// Elapsed returns the time since the agent started.
func (s *service) Elapsed() time.Duration { return s.clock.Now() - s.startedAt }

// Load returns the last published load and a channel that is closed when a newer one
// is published.
func (s *service) Load() (api.Load, <-chan struct{}) {
	r := s.published.Load()
	return r.load, r.changed
}

// CacheChanges returns the latest changes of the engine's prefix cache, oldest first.
func (s *service) CacheChanges() []api.CacheChange { return *s.cacheChanges.Load() }

// Drain starts the graceful shutdown: waiting and new orders are refused, and running
// orders continue.
func (s *service) Drain() { _ = s.drains.Post(context.Background(), struct{}{}) }

// Ready returns an error unless the upstream accepts new work.
func (s *service) Ready() error {
	if load := s.published.Load().load; !load.Accepting {
		return &NotAcceptingError{Upstream: s.settings.Upstream}
	}
	return nil
}

// NotAcceptingError reports an agent that accepts no new work.
type NotAcceptingError struct{ Upstream string }

func (e *NotAcceptingError) Error() string {
	return "upstream " + e.Upstream + " accepts no new work"
}

// Outcome returns the outcome of a key from the ledger. If ctx ends first, the run state
// is unknown and the failure is CodeCanceled.
func (s *service) Outcome(ctx context.Context, q api.OutcomeQuery) api.Outcome {
	o, err := kernel.Ask(ctx, s.queries, q)
	if err != nil {
		return api.Outcome{Run: api.RunUnknown, Failure: &api.Failure{Code: api.CodeCanceled, Run: api.RunUnknown, Err: err}}
	}
	return o
}

// Execute runs an order, replays its recorded outcome or refuses it. A non-idempotent
// order continues even if its router cancels it or disconnects.
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
	switch g.action {
	case grantRun:
		sink.End(s.run(ctx, o, g, sink))
	case grantReplay:
		sink.End(replay(o, g.outcome, sink))
	case grantRefuse:
		sink.End(api.End{Failure: g.failure})
	}
}

// run sends the order to the upstream. Before the caller receives the end, the result
// is posted to the control loop, which records the outcome.
func (s *service) run(ctx context.Context, o api.Order, g grant, sink api.Sink) api.End {
	res := runResult{attemptID: o.AttemptID}
	if o.Idempotent {
		recallCtx, release := g.withRecall(ctx)
		defer release()
		res.usage, res.failure = s.runOnEngine(recallCtx, o, g, sink)
		if recallCtx.Err() != nil {
			s.postCanceled(res)
			return api.End{Chunks: res.usage.Chunks, Failure: g.failureCause(res.failure)}
		}
	} else {
		limited, cancel := context.WithTimeout(ctx, maxRunTime)
		defer cancel()
		ctx = limited
		r := &recorder{sink: sink, maxBytes: int(s.maxResponseBytes.Load())}
		res.usage, res.failure = s.runOnEngine(ctx, o, g, r)
		res.response = &r.response
	}
	_ = s.runResults.Post(context.Background(), res)
	return api.End{Chunks: res.usage.Chunks, Failure: g.failureCause(res.failure)}
}

// minCancelTime is the least time until an engine has noticed that a request was canceled.
const minCancelTime = 10 * time.Millisecond

// postCanceled posts the result of a canceled run once the engine has had a pass to notice
// it. Until then the run takes up capacity: an order that started in its place at once was
// one more than a cold engine bears.
func (s *service) postCanceled(res runResult) {
	wait := max(s.published.Load().load.StepTime, minCancelTime)
	time.AfterFunc(wait, func() { _ = s.runResults.Post(context.Background(), res) })
}

// runOnEngine runs the order unless the grant has expired. It checks because this
// goroutine may have been paused since the grant was made.
func (s *service) runOnEngine(ctx context.Context, o api.Order, g grant, sink api.Sink) (api.Usage, *api.Failure) {
	if s.clock.Now() >= g.expiresAt {
		return api.Usage{}, api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "deadline exceeded before the run started")
	}
	return s.engine.Run(ctx, o, &tokenCounter{Sink: sink, generated: g.generatedTokens})
}

// tokenCounter counts the tokens of a run in progress. The engine reports the usage only
// at the end of a run, so without tokenCounter a run that never ends would not count
// toward the load.
type tokenCounter struct {
	api.Sink
	generated *atomic.Int64
}

// Chunk counts the chunk's tokens and forwards it.
func (t *tokenCounter) Chunk(c api.Chunk) error {
	t.generated.Add(int64(c.Tokens))
	return t.Sink.Chunk(c)
}

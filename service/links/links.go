// Package links keeps one drpc stream from a router to each agent in its subset and
// multiplexes requests on it.
package links

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/subset"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/wire"
)

const (
	// minRedialDelay and maxRedialDelay limit the backoff between dials.
	minRedialDelay   = 50 * time.Millisecond
	maxRedialDelay   = time.Second
	dialTimeout      = 2 * time.Second
	eventMailboxSize = 4096
)

type service struct {
	trust api.Trust
	store api.ConfigStore
	// revisions receives the configuration revisions that agents report. It is nil if
	// the store does not use them.
	revisions api.RevisionObserver
	metrics   api.Metrics
	clock     kernel.Clock
	settings  *api.Settings
	observers []api.LinkObserver

	upEvents    *kernel.Mailbox[upEvent]
	downEvents  *kernel.Mailbox[string]
	loadReports *kernel.Mailbox[api.Load]

	onDemandLinks *kernel.Mailbox[kernel.Call[string, struct{}]]
	// The control loop owns subset and upstreams.
	subset    *subset.State
	upstreams map[string]api.Upstream

	// links is copied on write: the control loop replaces the map on each change.
	links        atomic.Pointer[map[string]*link]
	ctx          context.Context
	cancel       context.CancelFunc
	runningLinks sync.WaitGroup
	counts       counters
}

type counters struct {
	unexpectedFrames, linkUps, linkDowns, dialFailures api.Counter
}

type upEvent struct {
	upstream string
	state    api.LinkState
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.trust, err = kernel.Lookup[api.Trust](c, api.ServiceTrust); err != nil {
		return err
	}
	if s.metrics, err = kernel.Lookup[api.Metrics](c, api.ServiceMetrics); err != nil {
		return err
	}
	if s.store, err = kernel.Lookup[api.ConfigStore](c, api.ServiceConfigStore); err != nil {
		return err
	}
	s.revisions, _ = s.store.(api.RevisionObserver)
	s.clock = c.Clock()
	s.counts = counters{
		unexpectedFrames: s.metrics.Counter("link_foreign_frames", ""),
		linkUps:          s.metrics.Counter("link_up", ""),
		linkDowns:        s.metrics.Counter("link_down", ""),
		dialFailures:     s.metrics.Counter("link_refused", ""),
	}
	s.upEvents = kernel.NewMailbox(c.Loop(), "link.up", eventMailboxSize, kernel.Wait, s.handleUp)
	s.downEvents = kernel.NewMailbox(c.Loop(), "link.down", eventMailboxSize, kernel.Wait, s.handleDown)
	s.loadReports = kernel.NewMailbox(c.Loop(), "link.load", eventMailboxSize, kernel.Drop, s.handleLoad)
	s.links.Store(&map[string]*link{})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s.provisionSubset(c)
}

// SubscribeLinks registers an observer of link events. Its methods are called on the
// control loop.
func (s *service) SubscribeLinks(o api.LinkObserver) { s.observers = append(s.observers, o) }

func (s *service) Stop(ctx context.Context) error {
	s.cancel()
	done := make(chan struct{})
	go func() { s.runningLinks.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return &StopError{}
	}
}

// StopError reports links that did not close before the deadline.
type StopError struct{}

func (*StopError) Error() string { return "links did not close before the deadline" }

func (s *service) open(upstream string, u api.Upstream) *link {
	l := newLink(s, upstream, u)
	s.runningLinks.Add(1)
	go func() {
		defer s.runningLinks.Done()
		l.run()
	}()
	return l
}

func (s *service) find(upstream string) (*link, *api.Failure) {
	l, ok := (*s.links.Load())[upstream]
	if !ok {
		return nil, api.NewFailure(api.CodeNoUpstream, api.NotRun, "no link to upstream "+upstream)
	}
	return l, nil
}

// Send queues an order on the link to its upstream's agent. The response is written to
// sink. An error means that the order was not sent.
func (s *service) Send(ctx context.Context, o api.Order, sink api.Sink) (api.Exchange, error) {
	l, failure := s.find(o.Upstream)
	if failure != nil {
		return nil, failure
	}
	return l.send(ctx, o, sink)
}

// Query queries an upstream's agent for an outcome. It opens a link if there is none.
// The run state of an outcome with an error is unknown.
func (s *service) Query(ctx context.Context, q api.OutcomeQuery) (api.Outcome, error) {
	s.EnsureLink(ctx, q.Upstream)
	l, failure := s.find(q.Upstream)
	if failure != nil {
		return api.Outcome{Run: api.RunUnknown}, failure
	}
	return l.query(ctx, q)
}

// State returns the last known state of the link to an upstream, or the zero value if
// there is no link.
func (s *service) State(upstream string) api.LinkState {
	l, failure := s.find(upstream)
	if failure != nil {
		return api.LinkState{}
	}
	return *l.state.Load()
}

// BroadcastSuspicions sends suspicions to all connected agents. A link whose queue is
// full is skipped, since its agent receives the suspicions from another router.
func (s *service) BroadcastSuspicions(suspicions []api.Suspicion) {
	frame := &wire.RouterFrame{Body: &wire.RouterFrame_Suspicions{
		Suspicions: &wire.Suspicions{Suspicions: wire.FromSuspicions(suspicions)},
	}}
	for _, l := range *s.links.Load() {
		current := l.session.Load()
		if current == nil {
			continue
		}
		select {
		case current.outbound <- frame:
		default:
		}
	}
}

// WaitUp waits until the link to an upstream is up and returns its state. It returns
// false if there is no such link, if it is closed, or if ctx ends first.
func (s *service) WaitUp(ctx context.Context, upstream string) (api.LinkState, bool) {
	for {
		l, failure := s.find(upstream)
		if failure != nil {
			return api.LinkState{}, false
		}
		up := *l.upNotify.Load()
		if state := l.state.Load(); state.Up {
			return *state, true
		}
		select {
		case <-up:
		case <-l.ctx.Done():
			return api.LinkState{}, false
		case <-ctx.Done():
			return api.LinkState{}, false
		}
	}
}

func (s *service) handleUp(now time.Duration, e upEvent) {
	s.counts.linkUps.Add(1)
	for _, o := range s.observers {
		o.LinkUp(now, e.upstream, e.state)
	}
}

func (s *service) handleDown(now time.Duration, upstream string) {
	s.counts.linkDowns.Add(1)
	for _, o := range s.observers {
		o.LinkDown(now, upstream)
	}
}

func (s *service) handleLoad(now time.Duration, l api.Load) {
	for _, o := range s.observers {
		o.LoadReport(now, l)
	}
}

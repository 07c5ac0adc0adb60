// Package links keeps one drpc stream from a router to each agent and carries
// many requests on it.
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
	// firstRedial and longestRedial bound the wait before another dial.
	firstRedial   = 50 * time.Millisecond
	longestRedial = time.Second
	dialTimeout   = 2 * time.Second
	eventMailbox  = 4096
)

type service struct {
	trust api.Trust
	store api.ConfigStore
	// seen takes the revisions of agents; it is nil where the store does not
	// ask for them.
	seen      api.RevisionObserver
	metrics   api.Metrics
	clock     kernel.Clock
	settings  *api.Settings
	followers []api.LinkObserver

	ups   *kernel.Mailbox[upEvent]
	downs *kernel.Mailbox[string]
	loads *kernel.Mailbox[api.Load]

	demands *kernel.Mailbox[kernel.Call[string, struct{}]]
	// subset and upstreams are owned by the control loop.
	subset    *subset.State
	upstreams map[string]api.Upstream

	// links is replaced as a whole on each change of the links held.
	links   atomic.Pointer[map[string]*link]
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	counts  counters
}

type counters struct {
	foreign, up, down, refused api.Counter
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
	s.seen, _ = s.store.(api.RevisionObserver)
	s.clock = c.Clock()
	s.counts = counters{
		foreign: s.metrics.Counter("link_foreign_frames", ""),
		up:      s.metrics.Counter("link_up", ""),
		down:    s.metrics.Counter("link_down", ""),
		refused: s.metrics.Counter("link_refused", ""),
	}
	s.ups = kernel.NewMailbox(c.Loop(), "link.up", eventMailbox, kernel.Wait, s.handleUp)
	s.downs = kernel.NewMailbox(c.Loop(), "link.down", eventMailbox, kernel.Wait, s.handleDown)
	s.loads = kernel.NewMailbox(c.Loop(), "link.load", eventMailbox, kernel.Drop, s.handleLoad)
	s.links.Store(&map[string]*link{})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s.provisionSubset(c)
}

// SubscribeLinks adds a service that is notified of link events on the control loop.
func (s *service) SubscribeLinks(f api.LinkObserver) { s.followers = append(s.followers, f) }

func (s *service) Stop(ctx context.Context) error {
	s.cancel()
	done := make(chan struct{})
	go func() { s.running.Wait(); close(done) }()
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
	s.running.Add(1)
	go func() {
		defer s.running.Done()
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

// Send hands an order to the link of its upstream.
func (s *service) Send(ctx context.Context, o api.Order, sink api.Sink) (api.Exchange, error) {
	l, failure := s.find(o.Upstream)
	if failure != nil {
		return nil, failure
	}
	return l.send(ctx, o, sink)
}

// Query asks the agent of an upstream for an outcome.
func (s *service) Query(ctx context.Context, q api.OutcomeQuery) (api.Outcome, error) {
	s.EnsureLink(ctx, q.Upstream)
	l, failure := s.find(q.Upstream)
	if failure != nil {
		return api.Outcome{Run: api.RunUnknown}, failure
	}
	return l.query(ctx, q)
}

// State returns what is known of a link.
func (s *service) State(upstream string) api.LinkState {
	l, failure := s.find(upstream)
	if failure != nil {
		return api.LinkState{}
	}
	return *l.state.Load()
}

// BroadcastSuspicions passes crash reports to all agents. A link whose queue is
// full misses them; the agent then gets them from another router.
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

// WaitUp waits for a link to come up.
func (s *service) WaitUp(ctx context.Context, upstream string) (api.LinkState, bool) {
	for {
		l, failure := s.find(upstream)
		if failure != nil {
			return api.LinkState{}, false
		}
		change := *l.change.Load()
		if state := l.state.Load(); state.Up {
			return *state, true
		}
		select {
		case <-change:
		case <-l.ctx.Done():
			return api.LinkState{}, false
		case <-ctx.Done():
			return api.LinkState{}, false
		}
	}
}

func (s *service) handleUp(now time.Duration, e upEvent) {
	s.counts.up.Add(1)
	for _, f := range s.followers {
		f.LinkUp(now, e.upstream, e.state)
	}
}

func (s *service) handleDown(now time.Duration, upstream string) {
	s.counts.down.Add(1)
	for _, f := range s.followers {
		f.LinkDown(now, upstream)
	}
}

func (s *service) handleLoad(now time.Duration, l api.Load) {
	for _, f := range s.followers {
		f.LoadReport(now, l)
	}
}

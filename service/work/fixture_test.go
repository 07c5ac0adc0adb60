package work_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
	"github.com/mulberryfork/mulberryfork/decide/spread"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/metrics"
	"github.com/mulberryfork/mulberryfork/service/work"
)

// fakeStore is a configuration store whose snapshot the tests set.
type fakeStore struct {
	mailbox     *kernel.Mailbox[*api.Snapshot]
	current     *api.Snapshot
	subscribers []func(time.Duration, *api.Snapshot)
	// unconfirmed is set while the peers have not confirmed the configuration.
	unconfirmed atomic.Bool
}

// CheckOrder decides like decide/spread for a store that has rejected no revision.
func (s *fakeStore) CheckOrder(now, received time.Duration, revision uint64, _ bool) api.OrderDecision {
	switch {
	case !s.unconfirmed.Load() && revision == s.current.Revision:
		return api.OrderAccept
	case revision < s.current.Revision || now-received >= spread.OrderHoldTimeout:
		return api.OrderRefuse
	}
	return api.OrderHold
}
func (s *fakeStore) ConfirmedAt() time.Duration { return 0 }

func (s *fakeStore) MayStart(time.Duration) bool { return !s.unconfirmed.Load() }

func (s *fakeStore) Provision(c *kernel.Context) error {
	s.mailbox = kernel.NewMailbox(c.Loop(), "store", 4, kernel.Wait, func(now time.Duration, snap *api.Snapshot) {
		s.current = snap
		for _, f := range s.subscribers {
			f(now, snap)
		}
	})
	return nil
}
func (s *fakeStore) Current() *api.Snapshot { return s.current }
func (s *fakeStore) Subscribe(f func(time.Duration, *api.Snapshot)) {
	s.subscribers = append(s.subscribers, f)
}
func (s *fakeStore) Ready() <-chan struct{}                    { return nil }
func (s *fakeStore) WaitRevision(context.Context, uint64) bool { return true }

// set posts a configuration with the revision and the change, and waits until it is
// active.
func (s *fakeStore) set(t *testing.T, revision uint64, change func(*api.Config)) {
	t.Helper()
	c := &api.Config{
		Pool:  api.Pool{OutcomeRetention: api.Duration(time.Hour), LedgerEntries: 100, LedgerAnswerBytes: 1 << 10},
		Zones: map[string]api.Zone{"za": {State: api.ZoneIn}},
		Members: map[string]api.Member{
			"desk":  {Share: 1, QueueRequests: 50},
			"crews": {Share: 1, QueueRequests: 50},
		},
		Upstreams: map[string]api.Upstream{"b1": {
			Kind: api.UpstreamPlain, Zone: "za", Service: "booking", MaxRequests: 4, ColdRequests: 2,
		}},
		Services: map[string]api.PlainService{"booking": {}},
	}
	if change != nil {
		change(c)
	}
	if err := s.mailbox.Post(t.Context(), &api.Snapshot{Revision: revision, Config: c}); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// fakeEngine runs each order until the test releases it or its context ends.
type fakeEngine struct {
	started chan api.Order
	release chan *api.Failure
}

func (u *fakeEngine) Run(ctx context.Context, o api.Order, s api.Sink) (api.Usage, *api.Failure) {
	begin := time.Now()
	u.started <- o
	select {
	case f := <-u.release:
		if f != nil {
			return api.Usage{}, f
		}
	case <-ctx.Done():
		return api.Usage{}, api.NewFailure(api.CodeCanceled, api.RunUnknown, "canceled")
	}
	_ = s.Head(api.Head{Status: 201})
	_ = s.Chunk(api.Chunk{Seq: 1, Payload: []byte("booked " + o.Key)})
	return api.Usage{Chunks: 1, Total: time.Since(begin)}, nil
}

// recordingSink records a response.
type recordingSink struct {
	body string
	head api.Head
	end  *api.End
}

func (a *recordingSink) Head(h api.Head) error   { a.head = h; return nil }
func (a *recordingSink) Chunk(c api.Chunk) error { a.body += string(c.Payload); return nil }
func (a *recordingSink) End(e api.End)           { a.end = &e }

// fixture is an agent's work service with fakes for the services around it.
type fixture struct {
	t          *testing.T
	store      *fakeStore
	membership *fakeMembership
	engine     *fakeEngine
	feed       *fakeFeed
	metrics    *metrics.Service
	work       api.Executor
	orderCount int
}

// runWithAgent runs test with an agent's work service on the synthetic clock of
// synctest.
func runWithAgent(t *testing.T, test func(t *testing.T, fx *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		fx := &fixture{t: t, store: &fakeStore{}, membership: &fakeMembership{}, feed: &fakeFeed{}, metrics: metrics.New(), engine: &fakeEngine{
			started: make(chan api.Order, 100), release: make(chan *api.Failure, 100),
		}}
		r := kernel.NewRegistry()
		for name, f := range map[string]kernel.Factory{
			api.ServiceConfigStore: func() any { return fx.store },
			api.ServiceMembership:  func() any { return fx.membership },
			api.ServiceEngine:      func() any { return fx.engine },
			api.ServiceEngineFeed:  func() any { return fx.feed },
			api.ServiceMetrics:     func() any { return fx.metrics },
		} {
			if err := r.Register(name, f); err != nil {
				t.Fatal(err)
			}
		}
		if err := work.Register(r); err != nil {
			t.Fatal(err)
		}
		host := kernel.NewHost(r, r.Names(), kernel.Options{
			Clock:  kernel.NewRuntimeClock(),
			Values: []any{&api.Settings{Node: "vm1", Upstream: "b1"}},
		})
		if err := host.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = host.Stop(context.Background()) }()
		var err error
		if fx.work, err = kernel.Find[api.Executor](host, api.ServiceWork); err != nil {
			t.Fatal(err)
		}
		fx.store.set(t, 1, nil)
		time.Sleep(time.Second)
		test(t, fx)
	})
}

// key returns a new idempotency key that is bound to the agent.
func (fx *fixture) key() string {
	k, err := idemkey.New("b1", fx.work.Incarnation(), fx.work.Elapsed(), [idemkey.RandomBytes]byte{byte(fx.orderCount + 1)})
	if err != nil {
		fx.t.Fatal(err)
	}
	return k.String()
}

// order returns a new order, which is idempotent if key is empty.
func (fx *fixture) order(key string) api.Order {
	fx.orderCount++
	return api.Order{
		AttemptID: api.AttemptID{RequestID: fmt.Sprintf("r%d", fx.orderCount), Number: 1}, Member: "desk", Key: key,
		Idempotent: key == "", Upstream: "b1", Incarnation: fx.work.Incarnation(), AgentElapsed: fx.work.Elapsed(),
		Revision: 1, DeadlineLeft: time.Minute, CostTokens: 1, Fingerprint: uint64(fx.orderCount), Method: "POST", Path: "/visits",
	}
}

// send starts to execute an order and returns the sink that records its response.
func (fx *fixture) send(ctx context.Context, o api.Order) *recordingSink {
	a := &recordingSink{}
	go fx.work.Execute(ctx, o, a)
	synctest.Wait()
	return a
}

// finish ends one running order with f, or successfully if f is nil.
func (fx *fixture) finish(f *api.Failure) { fx.engine.release <- f; synctest.Wait() }

func wantFailure(t *testing.T, a *recordingSink, code api.Code, run api.RunState) {
	t.Helper()
	if a.end == nil || a.end.Failure == nil || a.end.Failure.Code != code || a.end.Failure.Run != run {
		t.Errorf("ended with %+v, want %s and %s", a.end, code, run)
	}
}

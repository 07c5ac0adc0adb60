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

// store is a configuration store that a test changes by hand.
type store struct {
	box     *kernel.Mailbox[*api.Snapshot]
	current *api.Snapshot
	follow  []func(time.Duration, *api.Snapshot)
	// unconfirmed is set while the process asks its peers.
	unconfirmed atomic.Bool
}

// CheckOrder follows decide/spread for a store that refused no revision.
func (s *store) CheckOrder(now, received time.Duration, revision uint64, _ bool) api.OrderDecision {
	switch {
	case !s.unconfirmed.Load() && revision == s.current.Revision:
		return api.OrderAccept
	case revision < s.current.Revision || now-received >= spread.OrderHoldTimeout:
		return api.OrderRefuse
	}
	return api.OrderHold
}
func (s *store) ConfirmedAt() time.Duration { return 0 }

func (s *store) MayStart(time.Duration) bool { return !s.unconfirmed.Load() }

func (s *store) Provision(c *kernel.Context) error {
	s.box = kernel.NewMailbox(c.Loop(), "store", 4, kernel.Wait, func(now time.Duration, snap *api.Snapshot) {
		s.current = snap
		for _, f := range s.follow {
			f(now, snap)
		}
	})
	return nil
}
func (s *store) Current() *api.Snapshot                         { return s.current }
func (s *store) Subscribe(f func(time.Duration, *api.Snapshot)) { s.follow = append(s.follow, f) }
func (s *store) Ready() <-chan struct{}                         { return nil }
func (s *store) WaitRevision(context.Context, uint64) bool      { return true }
func (s *store) set(t *testing.T, revision uint64, change func(*api.Config)) {
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
	if err := s.box.Post(t.Context(), &api.Snapshot{Revision: revision, Config: c}); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// upstream runs each order until the test releases it.
type upstream struct {
	started chan api.Order
	release chan *api.Failure
}

func (u *upstream) Run(ctx context.Context, o api.Order, s api.Sink) (api.Usage, *api.Failure) {
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
	return api.Usage{Chunks: 1}, nil
}

// answer is a sink that keeps what it gets.
type answer struct {
	body string
	head api.Head
	end  *api.End
}

func (a *answer) Head(h api.Head) error   { a.head = h; return nil }
func (a *answer) Chunk(c api.Chunk) error { a.body += string(c.Payload); return nil }
func (a *answer) End(e api.End)           { a.end = &e }

type bed struct {
	t        *testing.T
	store    *store
	list     *list
	upstream *upstream
	metrics  *metrics.Service
	work     api.Executor
	sends    int
}

// run starts an agent's work service on a synthetic clock.
func run(t *testing.T, test func(t *testing.T, b *bed)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bed{t: t, store: &store{}, list: &list{}, metrics: metrics.New(), upstream: &upstream{
			started: make(chan api.Order, 100), release: make(chan *api.Failure, 100),
		}}
		r := kernel.NewRegistry()
		for name, f := range map[string]kernel.Factory{
			api.ServiceConfigStore: func() any { return b.store },
			api.ServiceMembership:  func() any { return b.list },
			api.ServiceEngine:      func() any { return b.upstream },
			api.ServiceMetrics:     func() any { return b.metrics },
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
		if b.work, err = kernel.Find[api.Executor](host, api.ServiceWork); err != nil {
			t.Fatal(err)
		}
		b.store.set(t, 1, nil)
		time.Sleep(time.Second)
		test(t, b)
	})
}

func (b *bed) key() string {
	k, err := idemkey.New("b1", b.work.Incarnation(), b.work.Elapsed(), [idemkey.RandomBytes]byte{byte(b.sends + 1)})
	if err != nil {
		b.t.Fatal(err)
	}
	return k.String()
}

func (b *bed) order(key string) api.Order {
	b.sends++
	return api.Order{
		AttemptID: api.AttemptID{RequestID: fmt.Sprintf("r%d", b.sends), Number: 1}, Member: "desk", Key: key,
		Idempotent: key == "", Upstream: "b1", Incarnation: b.work.Incarnation(), AgentElapsed: b.work.Elapsed(),
		Revision: 1, DeadlineLeft: time.Minute, CostTokens: 1, Fingerprint: uint64(b.sends), Method: "POST", Path: "/visits",
	}
}

// send executes an order and returns its answer, which fills in later.
func (b *bed) send(ctx context.Context, o api.Order) *answer {
	a := &answer{}
	go b.work.Execute(ctx, o, a)
	synctest.Wait()
	return a
}

func (b *bed) finish(f *api.Failure) { b.upstream.release <- f; synctest.Wait() }

func wantFailure(t *testing.T, a *answer, code api.Code, run api.RunState) {
	t.Helper()
	if a.end == nil || a.end.Failure == nil || a.end.Failure.Code != code || a.end.Failure.Run != run {
		t.Errorf("end %+v, want %s and %s", a.end, code, run)
	}
}

package membership_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/log"
	"github.com/mulberryfork/mulberryfork/service/membership"
	"github.com/mulberryfork/mulberryfork/service/metrics"
	"github.com/mulberryfork/mulberryfork/standin/memberlist"
)

// platform calls the stand-in without a network, which synctest needs.
type platform struct{ list http.Handler }

// DroppedError reports a connection that the list dropped.
type DroppedError struct{}

func (*DroppedError) Error() string { return "connection dropped" }

func (p platform) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			resp, err = nil, &DroppedError{}
		}
	}()
	w := httptest.NewRecorder()
	p.list.ServeHTTP(w, r)
	return w.Result(), nil
}

// store is a configuration store whose configuration has one upstream.
type store struct {
	follow func(time.Duration, *api.Snapshot)
}

func (s *store) Current() *api.Snapshot                         { return nil }
func (s *store) Subscribe(f func(time.Duration, *api.Snapshot)) { s.follow = f }
func (s *store) Ready() <-chan struct{}                         { return nil }
func (s *store) WaitRevision(context.Context, uint64) bool      { return true }

// links lets a test bring links up and down.
type links struct{ events api.LinkObserver }

func (l *links) SubscribeLinks(e api.LinkObserver) { l.events = e }

type bed struct {
	t            *testing.T
	list         *memberlist.List
	links        *links
	store        *store
	membership   api.Membership
	observations api.ObservationMerger
	calls        *kernel.Mailbox[func(now time.Duration)]
	told         []string
}

// Provision lets the test run functions on the control loop.
func (b *bed) Provision(c *kernel.Context) (err error) {
	b.calls = kernel.NewMailbox(c.Loop(), "test", 4, kernel.Wait, func(now time.Duration, f func(time.Duration)) { f(now) })
	if b.observations, err = kernel.Lookup[api.ObservationMerger](c, api.ServiceMembership); err != nil {
		return err
	}
	b.observations.SetUrgentSender(func(vms []string) { b.told = vms })
	b.membership, err = kernel.Lookup[api.Membership](c, api.ServiceMembership)
	return err
}

func (b *bed) on(f func(now time.Duration)) {
	b.t.Helper()
	if err := b.calls.Post(b.t.Context(), f); err != nil {
		b.t.Fatal(err)
	}
	synctest.Wait()
}

func (b *bed) set(name, state string) {
	b.list.Set(memberlist.VM{Name: name, Address: name, Zone: "za", Role: "agent", State: state})
}

func run(t *testing.T, test func(t *testing.T, b *bed)) {
	synctest.Test(t, func(t *testing.T) {
		clock := kernel.NewRuntimeClock()
		b := &bed{t: t, list: memberlist.New(clock, 0), links: &links{}, store: &store{}}
		r := kernel.NewRegistry()
		for name, f := range map[string]kernel.Factory{
			api.ServiceConfigStore:    func() any { return b.store },
			api.ServiceTransportLinks: func() any { return b.links },
			"test":                    func() any { return b },
		} {
			if err := r.Register(name, f); err != nil {
				t.Fatal(err)
			}
		}
		for _, register := range []func(*kernel.Registry) error{membership.Register, log.Register, metrics.Register} {
			if err := register(r); err != nil {
				t.Fatal(err)
			}
		}
		settings := &api.Settings{Node: "self", Membership: api.ServiceAddress{Service: "http://list"}}
		transport := &membership.Transport{RoundTripper: platform{b.list}}
		host := kernel.NewHost(r, r.Names(), kernel.Options{Clock: clock, Values: []any{
			settings, transport, &log.Output{Writer: io.Discard},
		}})
		if err := host.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := host.Stop(context.Background()); err != nil {
				t.Error(err)
			}
		}()
		b.on(func(now time.Duration) {
			b.store.follow(now, &api.Snapshot{Config: &api.Config{Upstreams: map[string]api.Upstream{"u": {VM: "vm-u"}}}})
		})
		test(t, b)
	})
}

// leavingLimit is the time after which a leaving VM must get no new work.
const leavingLimit = 3 * time.Second

// A VM that the list marks as leaving must be known in time, must be told in
// case it cannot read the list, and must stay known while the list is down.
func TestLeavingIsKnownInTime(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		b.set("self", "live")
		b.set("vm-u", "live")
		time.Sleep(leavingLimit)
		if n := len(b.membership.Members()); n != 2 || b.membership.Leaving("vm-u") {
			t.Fatalf("%d members, leaving %t", n, b.membership.Leaving("vm-u"))
		}
		b.set("vm-u", "leaving")
		time.Sleep(leavingLimit)
		if !b.membership.Leaving("vm-u") {
			t.Error("not known to be leaving")
		}
		b.on(func(time.Duration) {
			if !slices.Equal(b.told, []string{"vm-u"}) {
				t.Errorf("told %v", b.told)
			}
		})
		b.list.SetDown(true)
		time.Sleep(time.Hour)
		if n := len(b.membership.Members()); n != 2 || !b.membership.Leaving("vm-u") {
			t.Errorf("without the list: %d members, leaving %t", n, b.membership.Leaving("vm-u"))
		}
		for _, s := range b.observations.Outgoing() {
			if s.VM == "vm-u" && s.Age < time.Hour-leavingLimit {
				t.Errorf("vouches after an hour without the list: age %v", s.Age)
			}
		}
	})
}

// A process cut off from the list must learn from a peer that it leaves itself,
// and a lost link must be told with the incarnation that was lost.
func TestPeersTellAndAreTold(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		b.list.SetDown(true)
		d := api.PeerDigest{Node: "a", Incarnation: 7, Seq: 1, Observations: []api.Observation{{VM: "self", Leaving: true}}}
		if v := b.observations.MergeDigest(t.Context(), d, false); v != api.DigestAccepted || !b.membership.Leaving("self") {
			t.Errorf("verdict %d, leaving %t", v, b.membership.Leaving("self"))
		}
		if v := b.observations.MergeDigest(t.Context(), d, false); v != api.DigestReplayed {
			t.Errorf("a repeated digest: verdict %d", v)
		}
		b.on(func(now time.Duration) { b.links.events.LinkUp(now, "u", api.LinkState{Incarnation: 9}) })
		b.on(func(now time.Duration) { b.links.events.LinkDown(now, "u") })
		want := api.Observation{Upstream: "u", Incarnation: 9}
		if !b.membership.Down("u") || !slices.Contains(b.observations.Outgoing(), want) {
			t.Errorf("down %t, tells %+v", b.membership.Down("u"), b.observations.Outgoing())
		}
	})
}

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

// listTransport calls the stand-in without a network, since synctest cannot wait
// for network I/O.
type listTransport struct{ list http.Handler }

// ConnectionDroppedError reports a connection that the list closed.
type ConnectionDroppedError struct{}

func (*ConnectionDroppedError) Error() string { return "connection dropped" }

func (p listTransport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			resp, err = nil, &ConnectionDroppedError{}
		}
	}()
	w := httptest.NewRecorder()
	p.list.ServeHTTP(w, r)
	return w.Result(), nil
}

// store is a fake configuration store.
type store struct {
	subscriber func(time.Duration, *api.Snapshot)
}

func (s *store) Current() *api.Snapshot                         { return nil }
func (s *store) Subscribe(f func(time.Duration, *api.Snapshot)) { s.subscriber = f }
func (s *store) Ready() <-chan struct{}                         { return nil }
func (s *store) WaitRevision(context.Context, uint64) bool      { return true }

// links is a fake link feed.
type links struct{ observer api.LinkObserver }

func (l *links) SubscribeLinks(e api.LinkObserver) { l.observer = e }

type testbed struct {
	t            *testing.T
	list         *memberlist.List
	links        *links
	store        *store
	membership   api.Membership
	observations api.ObservationMerger
	loopCalls    *kernel.Mailbox[func(now time.Duration)]
	notified     []string
}

// Provision creates a mailbox for functions that the test runs on the control
// loop.
func (b *testbed) Provision(c *kernel.Context) (err error) {
	b.loopCalls = kernel.NewMailbox(c.Loop(), "test", 4, kernel.Wait, func(now time.Duration, f func(time.Duration)) { f(now) })
	if b.observations, err = kernel.Lookup[api.ObservationMerger](c, api.ServiceMembership); err != nil {
		return err
	}
	b.observations.SetUrgentSender(func(vms []string) { b.notified = vms })
	b.membership, err = kernel.Lookup[api.Membership](c, api.ServiceMembership)
	return err
}

func (b *testbed) runOnLoop(f func(now time.Duration)) {
	b.t.Helper()
	if err := b.loopCalls.Post(b.t.Context(), f); err != nil {
		b.t.Fatal(err)
	}
	synctest.Wait()
}

func (b *testbed) setState(name, state string) {
	b.list.Set(memberlist.VM{Name: name, Address: name, Zone: "za", Role: "agent", State: state})
}

func withTestbed(t *testing.T, test func(t *testing.T, b *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		clock := kernel.NewRuntimeClock()
		b := &testbed{t: t, list: memberlist.New(clock, 0), links: &links{}, store: &store{}}
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
		transport := &membership.Transport{RoundTripper: listTransport{b.list}}
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
		b.runOnLoop(func(now time.Duration) {
			b.store.subscriber(now, &api.Snapshot{Config: &api.Config{Upstreams: map[string]api.Upstream{"u": {VM: "vm-u"}}}})
		})
		test(t, b)
	})
}

// leavingLimit is the time within which a leaving VM must be detected.
const leavingLimit = 3 * time.Second

// Guards against a leaving VM that is detected late, gets no digest although it may
// be unable to read the list itself, or is forgotten while the list is unreachable.
func TestLeavingVMIsDetectedInTime(t *testing.T) {
	withTestbed(t, func(t *testing.T, b *testbed) {
		b.setState("self", "live")
		b.setState("vm-u", "live")
		time.Sleep(leavingLimit)
		if n := len(b.membership.Members()); n != 2 || b.membership.Leaving("vm-u") {
			t.Fatalf("%d members, leaving %t", n, b.membership.Leaving("vm-u"))
		}
		b.setState("vm-u", "leaving")
		time.Sleep(leavingLimit)
		if !b.membership.Leaving("vm-u") {
			t.Error("leaving VM not detected")
		}
		b.runOnLoop(func(time.Duration) {
			if !slices.Equal(b.notified, []string{"vm-u"}) {
				t.Errorf("notified %v", b.notified)
			}
		})
		b.list.SetDown(true)
		time.Sleep(time.Hour)
		if n := len(b.membership.Members()); n != 2 || !b.membership.Leaving("vm-u") {
			t.Errorf("without the list: %d members, leaving %t", n, b.membership.Leaving("vm-u"))
		}
		for _, s := range b.observations.Outgoing() {
			if s.VM == "vm-u" && s.Age < time.Hour-leavingLimit {
				t.Errorf("after an hour without the list: reported age %v", s.Age)
			}
		}
	})
}

// Guards against a process that cannot read the list and ignores a peer's
// observation that its own VM is leaving, and against a lost link that is reported
// to peers without the incarnation of the agent.
func TestObservationsAreExchanged(t *testing.T) {
	withTestbed(t, func(t *testing.T, b *testbed) {
		b.list.SetDown(true)
		d := api.PeerDigest{Node: "a", Incarnation: 7, Seq: 1, Observations: []api.Observation{{VM: "self", Leaving: true}}}
		if v := b.observations.MergeDigest(t.Context(), d, false); v != api.DigestAccepted || !b.membership.Leaving("self") {
			t.Errorf("decision %d, leaving %t", v, b.membership.Leaving("self"))
		}
		if v := b.observations.MergeDigest(t.Context(), d, false); v != api.DigestReplayed {
			t.Errorf("a repeated digest: decision %d", v)
		}
		b.runOnLoop(func(now time.Duration) { b.links.observer.LinkUp(now, "u", api.LinkState{Incarnation: 9}) })
		b.runOnLoop(func(now time.Duration) { b.links.observer.LinkDown(now, "u") })
		want := api.Observation{Upstream: "u", Incarnation: 9}
		if !b.membership.Down("u") || !slices.Contains(b.observations.Outgoing(), want) {
			t.Errorf("down %t, observations %+v", b.membership.Down("u"), b.observations.Outgoing())
		}
	})
}

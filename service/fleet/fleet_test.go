package fleet_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/poison"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/fleet"
	"github.com/mulberryfork/mulberryfork/service/log"
	"github.com/mulberryfork/mulberryfork/service/metrics"
	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
)

// viewRecorder sends the views of an edge to a channel.
type viewRecorder struct{ views chan *api.FleetView }

func (f *viewRecorder) Provision(c *kernel.Context) error {
	edges, err := kernel.Lookup[api.Fleet](c, api.ServiceFleet)
	if err != nil {
		return err
	}
	edges.Subscribe(func(_ time.Duration, v *api.FleetView) { f.views <- v })
	return nil
}

// newSeedProxy returns a proxy in front of a seed. Its address is known before the
// seed starts and doesn't change when the seed restarts.
func newSeedProxy(t *testing.T) *faultproxy.Proxy {
	t.Helper()
	p, err := faultproxy.NewNetwork(1).Listen(faultproxy.Link{From: "edges", To: "seed"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// startEdge starts an edge with the addresses of seeds in its settings.
func startEdge(t *testing.T, name string, seeds ...*faultproxy.Proxy) (*kernel.Host, *viewRecorder) {
	t.Helper()
	return startEdgeWith(t, name, nil, seeds...)
}

// startEdgeWith starts an edge with one more service, unless that is nil.
func startEdgeWith(t *testing.T, name string, extra kernel.Provisioner, seeds ...*faultproxy.Proxy) (*kernel.Host, *viewRecorder) {
	t.Helper()
	f := &viewRecorder{views: make(chan *api.FleetView, 100)}
	r := kernel.NewRegistry()
	if err := r.Register("test", func() any { return f }); err != nil {
		t.Fatal(err)
	}
	if extra != nil {
		if err := r.Register("test.extra", func() any { return extra }); err != nil {
			t.Fatal(err)
		}
	}
	for _, register := range []func(*kernel.Registry) error{fleet.Register, log.Register, metrics.Register} {
		if err := register(r); err != nil {
			t.Fatal(err)
		}
	}
	s := &api.Settings{Node: name, Zone: "z"}
	s.Listen.Link = "127.0.0.1:0"
	for _, seed := range seeds {
		s.Edge.Seeds = append(s.Edge.Seeds, seed.Address())
	}
	h := kernel.NewHost(r, r.Names(), kernel.Options{Values: []any{s, &log.Output{Writer: io.Discard}}})
	if err := h.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = h.Stop(context.Background()) })
	return h, f
}

// routeSeed makes the proxy of a seed forward connections to an edge.
func routeSeed(t *testing.T, seed *faultproxy.Proxy, h *kernel.Host) {
	t.Helper()
	seed.SetTarget(edgeAddress(t, h))
}

func edgeAddress(t *testing.T, h *kernel.Host) string {
	t.Helper()
	service, err := kernel.Find[interface{ Address() string }](h, api.ServiceFleet)
	if err != nil {
		t.Fatal(err)
	}
	return service.Address()
}

// awaitView waits for a view with a number of names. Its LimitDivisor must be known if
// counted is true, and unknown otherwise.
func (f *viewRecorder) awaitView(t *testing.T, names int, counted bool) {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case v := <-f.views:
			if len(v.Names) == names && (v.LimitDivisor > 0) == counted {
				return
			}
		case <-timeout:
			t.Fatalf("no view of %d edges in time", names)
		}
	}
}

// Guards against edges that do not discover each other while one seed is down, and
// against an edge that publishes a count of edges before a seed has responded.
func TestEdgesDiscoverEachOtherThroughSeeds(t *testing.T) {
	up, down := newSeedProxy(t), newSeedProxy(t)
	_, a := startEdge(t, "a", up, down)
	a.awaitView(t, 1, false)
	host, seed := startEdge(t, "seed", down)
	routeSeed(t, up, host)
	_, b := startEdge(t, "b", up, down)
	for _, f := range []*viewRecorder{a, b, seed} {
		f.awaitView(t, 3, true)
	}
}

// Guards against edges that keep using a broken connection after a restart of a
// seed, and against a stopped process that keeps the address of the next one in use.
func TestRestartedSeedIsReachable(t *testing.T) {
	up := newSeedProxy(t)
	first, f := startEdge(t, "seed")
	routeSeed(t, up, first)
	_, a := startEdge(t, "a", up)
	a.awaitView(t, 2, true)
	f.awaitView(t, 2, true)
	if err := first.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	// The next process listens on the same address.
	l, err := net.Listen("tcp", edgeAddress(t, first))
	if err != nil {
		t.Fatalf("the address is still in use after Stop: %v", err)
	}
	l.Close()
	second, restarted := startEdge(t, "seed")
	routeSeed(t, up, second)
	restarted.awaitView(t, 2, true)
}

// crashRecorder holds crash records and reports a crash on request.
type crashRecorder struct {
	fleet   api.Fleet
	records *poison.Unisolated
	crashes *kernel.Mailbox[kernel.Call[uint64, bool]]
	checks  *kernel.Mailbox[kernel.Call[uint64, bool]]
}

func (r *crashRecorder) Provision(c *kernel.Context) (err error) {
	if r.fleet, err = kernel.Lookup[api.Fleet](c, api.ServiceFleet); err != nil {
		return err
	}
	r.records = poison.NewUnisolated(0)
	r.fleet.ExchangeSuspicions(r.records)
	r.crashes = kernel.NewMailbox(c.Loop(), "test.crash", 1, kernel.Wait, func(now time.Duration, call kernel.Call[uint64, bool]) {
		r.fleet.ReportSuspicions(r.records.RecordCrash(now, "u", call.Query, poison.Content{Fingerprint: call.Query}, true))
		call.Reply(true)
	})
	r.checks = kernel.NewMailbox(c.Loop(), "test.check", 1, kernel.Wait, func(now time.Duration, call kernel.Call[uint64, bool]) {
		call.Reply(r.records.Admit(now, poison.Content{Fingerprint: call.Query}) != nil)
	})
	return nil
}

// awaitBlocked waits until a request is blocked, at most for the time within which all
// edges must know of a crash.
func (r *crashRecorder) awaitBlocked(t *testing.T, name string, fingerprint uint64) {
	t.Helper()
	deadline := time.Now().Add(3 * time.Second)
	for time.Now().Before(deadline) {
		if blocked, err := kernel.Ask(t.Context(), r.checks, fingerprint); err == nil && blocked {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%s does not know of crash %d in time", name, fingerprint)
}

// Guards against edges that do not learn of crashes from each other: directly, after a
// restart, and when the crash happened while their address was unreachable.
func TestCrashesAreReported(t *testing.T) {
	up := newSeedProxy(t)
	newEdge := func(name string, seeds ...*faultproxy.Proxy) (*kernel.Host, *viewRecorder, *crashRecorder) {
		r := &crashRecorder{}
		h, v := startEdgeWith(t, name, r, seeds...)
		return h, v, r
	}
	seedHost, seedView, seed := newEdge("seed")
	routeSeed(t, up, seedHost)
	_, aView, a := newEdge("a", up)
	bHost, bView, b := newEdge("b", up)
	for _, v := range []*viewRecorder{seedView, aView, bView} {
		v.awaitView(t, 3, true)
	}
	// The last edge to start is in the listings of the others after their next calls.
	time.Sleep(time.Second)
	if _, err := kernel.Ask(t.Context(), a.crashes, 1); err != nil {
		t.Fatal(err)
	}
	seed.awaitBlocked(t, "the seed", 1)
	b.awaitBlocked(t, "another edge", 1)

	if err := seedHost.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := bHost.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := kernel.Ask(t.Context(), a.crashes, 2); err != nil {
		t.Fatal(err)
	}
	second, _, restarted := newEdge("seed")
	routeSeed(t, up, second)
	_, _, fresh := newEdge("b", up)
	for id := range uint64(2) {
		restarted.awaitBlocked(t, "the restarted seed", 1+id)
		fresh.awaitBlocked(t, "the restarted edge", 1+id)
	}
}

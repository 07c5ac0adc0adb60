package fleet_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/fleet"
	"github.com/mulberryfork/mulberryfork/service/log"
	"github.com/mulberryfork/mulberryfork/service/metrics"
	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
)

// follower passes the views of an edge on.
type follower struct{ views chan *api.FleetView }

func (f *follower) Provision(c *kernel.Context) error {
	edges, err := kernel.Lookup[api.Fleet](c, api.ServiceFleet)
	if err != nil {
		return err
	}
	edges.Subscribe(func(_ time.Duration, v *api.FleetView) { f.views <- v })
	return nil
}

// address is a proxy that stands for a seed, so that its address is known before
// it listens and stays when it starts anew.
func address(t *testing.T) *faultproxy.Proxy {
	t.Helper()
	p, err := faultproxy.NewNetwork(1).Listen(faultproxy.Link{From: "edges", To: "seed"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// edge starts an edge that knows seeds.
func edge(t *testing.T, name string, seeds ...*faultproxy.Proxy) (*kernel.Host, *follower) {
	t.Helper()
	f := &follower{views: make(chan *api.FleetView, 100)}
	r := kernel.NewRegistry()
	if err := r.Register("test", func() any { return f }); err != nil {
		t.Fatal(err)
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

// serve sends those who call the address of a seed to an edge.
func serve(t *testing.T, seed *faultproxy.Proxy, h *kernel.Host) {
	t.Helper()
	seed.SetTarget(addressOf(t, h))
}

func addressOf(t *testing.T, h *kernel.Host) string {
	t.Helper()
	at, err := kernel.Find[interface{ Address() string }](h, api.ServiceFleet)
	if err != nil {
		t.Fatal(err)
	}
	return at.Address()
}

// await waits for a view of a number of edges.
func (f *follower) await(t *testing.T, names int, counted bool) {
	t.Helper()
	late := time.After(10 * time.Second)
	for {
		select {
		case v := <-f.views:
			if len(v.Names) == names && (v.EdgeCount > 0) == counted {
				return
			}
		case <-late:
			t.Fatalf("never knew of %d edges", names)
		}
	}
}

// Guards against edges that do not hear of each other, with one seed down, and
// against one that believes it knows the fleet before a seed answered.
func TestEdgesHearOfEachOtherThroughSeeds(t *testing.T) {
	up, down := address(t), address(t)
	_, a := edge(t, "a", up, down)
	a.await(t, 1, false)
	host, seed := edge(t, "seed", down)
	serve(t, up, host)
	_, b := edge(t, "b", up, down)
	for _, f := range []*follower{a, b, seed} {
		f.await(t, 3, true)
	}
}

// Guards against a seed that starts anew and is asked on a connection that
// broke: its callers must reach it again.
func TestASeedThatRestartsIsReachedAgain(t *testing.T) {
	up := address(t)
	first, f := edge(t, "seed")
	serve(t, up, first)
	_, a := edge(t, "a", up)
	a.await(t, 2, true)
	f.await(t, 2, true)
	if err := first.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	// The process that follows listens on the same address.
	l, err := net.Listen("tcp", addressOf(t, first))
	if err != nil {
		t.Fatalf("still listening after its stop: %v", err)
	}
	l.Close()
	second, again := edge(t, "seed")
	serve(t, up, second)
	again.await(t, 2, true)
}

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

// edge starts an edge that knows seeds.
func edge(t *testing.T, name, address string, seeds ...string) (*kernel.Host, *follower) {
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
	s.Listen.Link, s.Edge.Seeds = address, seeds
	h := kernel.NewHost(r, r.Names(), kernel.Options{Values: []any{s, &log.Output{Writer: io.Discard}}})
	if err := h.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = h.Stop(context.Background()) })
	return h, f
}

// await waits for a view of a number of edges.
func (f *follower) await(t *testing.T, names int, counted bool) {
	t.Helper()
	late := time.After(10 * time.Second)
	for {
		select {
		case v := <-f.views:
			if len(v.Names) == names && (v.Sharers > 0) == counted {
				return
			}
		case <-late:
			t.Fatalf("never knew of %d edges", names)
		}
	}
}

func free(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against edges that do not hear of each other, with one seed down, and
// against one that believes it knows the fleet before a seed answered.
func TestEdgesHearOfEachOtherThroughSeeds(t *testing.T) {
	up, down := free(t), free(t)
	_, a := edge(t, "a", free(t), up, down)
	a.await(t, 1, false)
	_, seed := edge(t, "seed", up, up, down)
	_, b := edge(t, "b", free(t), up, down)
	for _, f := range []*follower{a, b, seed} {
		f.await(t, 3, true)
	}
}

// Guards against a seed that starts anew and is asked on a connection that
// broke: its callers must reach it again.
func TestASeedThatRestartsIsReachedAgain(t *testing.T) {
	up := free(t)
	first, f := edge(t, "seed", up, up)
	_, a := edge(t, "a", free(t), up)
	a.await(t, 2, true)
	f.await(t, 2, true)
	if err := first.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	_, again := edge(t, "seed", up, up)
	again.await(t, 2, true)
}

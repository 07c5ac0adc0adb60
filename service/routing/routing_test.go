package routing_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/metrics"
	"github.com/mulberryfork/mulberryfork/service/routing"
)

// others stands for the services around routing.
type others struct {
	api.ConfigStore
	api.Links
	configure func(time.Duration, *api.Snapshot)
	events    api.LinkObserver
	reported  [][]api.Suspicion
}

func (o *others) Subscribe(f func(time.Duration, *api.Snapshot)) { o.configure = f }
func (o *others) Current() *api.Snapshot                         { return nil }
func (o *others) SubscribeLinks(e api.LinkObserver)              { o.events = e }
func (o *others) BroadcastSuspicions(suspicions []api.Suspicion) {
	o.reported = append(o.reported, suspicions)
}
func (o *others) Change(string, api.Fields)                     {}
func (o *others) Decision(string, api.DecisionKind, api.Fields) {}

// ready gives routing two upstreams with links that are up.
func (o *others) ready() {
	u := api.Upstream{Kind: api.UpstreamModel, Zone: "za", Models: []string{"m"}, MaxTokens: 1000}
	o.configure(0, &api.Snapshot{Revision: 1, Config: &api.Config{
		Members:   map[string]api.Member{"desk": {}},
		Zones:     map[string]api.Zone{"za": {State: api.ZoneIn}},
		Upstreams: map[string]api.Upstream{"u1": u, "u2": u},
	}})
	for _, name := range []string{"u1", "u2"} {
		o.events.LinkUp(0, name, api.LinkState{Up: true, Incarnation: 1})
		o.events.LoadReport(0, api.Load{Upstream: name, Incarnation: 1, Accepting: true, LimitTokens: 1000, LimitRequests: 10})
	}
}

// Guards against choices that no metric shows, and against suspicions from a peer
// that are not passed on to agents, are passed on without end, or are not passed
// to other peers.
func TestChoicesAndNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, m := &others{}, metrics.New()
		r := kernel.NewRegistry()
		for name, f := range map[string]kernel.Factory{
			api.ServiceConfigStore:    func() any { return o },
			api.ServiceTransportLinks: func() any { return o },
			api.ServiceLog:            func() any { return o },
			api.ServiceMetrics:        func() any { return m },
		} {
			if err := r.Register(name, f); err != nil {
				t.Fatal(err)
			}
		}
		if err := routing.Register(r); err != nil {
			t.Fatal(err)
		}
		clock := kernel.NewRuntimeClock()
		host := kernel.NewHost(r, r.Names(), kernel.Options{Clock: clock, Values: []any{&api.Settings{Node: "n", Zone: "za"}}})
		if err := host.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = host.Stop(context.Background()) }()
		service, err := kernel.Find[interface {
			api.Routing
			api.SuspicionTracker
		}](host, api.ServiceRouting)
		if err != nil {
			t.Fatal(err)
		}
		o.ready()
		for _, only := range []string{"", "u1"} {
			if _, f := service.Route(t.Context(), api.RouteQuery{Member: "desk", Model: "m", Only: only}); f != nil {
				t.Fatal(f)
			}
		}
		for range 2 {
			service.MergeSuspicions([]api.Suspicion{{Fingerprint: 7, Crashes: []api.Crash{{ID: 1, Upstream: "u1"}}}})
			synctest.Wait()
		}
		if !strings.Contains(m.JSON(), `"route_choices": {"affinity": 0, "only": 1, "work": 1}`) {
			t.Errorf("metrics %s", m.JSON())
		}
		reported := service.KnownSuspicions(t.Context(), 5)
		if len(o.reported) != 1 || len(reported) != 1 || reported[0].Fingerprint != 7 {
			t.Errorf("agents were sent %v, peers %v", o.reported, reported)
		}
	})
}

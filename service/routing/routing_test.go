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

// fakeServices implements the services that routing depends on.
type fakeServices struct {
	api.ConfigStore
	api.Links
	configure  func(time.Duration, *api.Snapshot)
	observer   api.LinkObserver
	broadcasts [][]api.Suspicion
}

func (s *fakeServices) Subscribe(f func(time.Duration, *api.Snapshot)) { s.configure = f }
func (s *fakeServices) Current() *api.Snapshot                         { return nil }
func (s *fakeServices) SubscribeLinks(e api.LinkObserver)              { s.observer = e }
func (s *fakeServices) BroadcastSuspicions(suspicions []api.Suspicion) {
	s.broadcasts = append(s.broadcasts, suspicions)
}
func (s *fakeServices) Change(string, api.Fields)                     {}
func (s *fakeServices) Decision(string, api.DecisionKind, api.Fields) {}

// connectUpstreams configures two upstreams and brings their links up.
func (s *fakeServices) connectUpstreams() {
	u := api.Upstream{Kind: api.UpstreamModel, Zone: "za", Models: []string{"m"}, MaxTokens: 1000}
	s.configure(0, &api.Snapshot{Revision: 1, Config: &api.Config{
		Members:   map[string]api.Member{"desk": {}},
		Zones:     map[string]api.Zone{"za": {State: api.ZoneIn}},
		Upstreams: map[string]api.Upstream{"u1": u, "u2": u},
	}})
	for _, name := range []string{"u1", "u2"} {
		s.observer.LinkUp(0, name, api.LinkState{Up: true, Incarnation: 1})
		s.observer.LoadReport(0, api.Load{Upstream: name, Incarnation: 1, Accepting: true, LimitTokens: 1000, LimitRequests: 10})
	}
}

// Guards against choices that are not counted in the metrics, and against
// suspicions of a peer that are not sent to agents, are sent to them again when the
// peer repeats them, or are missing in the digest for other peers.
func TestChoiceMetricsAndSuspicionForwarding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fakes, m := &fakeServices{}, metrics.New()
		r := kernel.NewRegistry()
		for name, f := range map[string]kernel.Factory{
			api.ServiceConfigStore:    func() any { return fakes },
			api.ServiceTransportLinks: func() any { return fakes },
			api.ServiceLog:            func() any { return fakes },
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
		fakes.connectUpstreams()
		for _, only := range []string{"", "u1"} {
			if _, f := service.Route(t.Context(), api.RouteQuery{Member: "desk", Model: "m", OnlyUpstream: only}); f != nil {
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
		digest := service.KnownSuspicions(t.Context(), 5)
		if len(fakes.broadcasts) != 1 || len(digest) != 1 || digest[0].Fingerprint != 7 {
			t.Errorf("sent to agents %v, digest for peers %v", fakes.broadcasts, digest)
		}
	})
}

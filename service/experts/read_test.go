package experts

import (
	"context"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/expertplan"
	"github.com/mulberryfork/mulberryfork/decide/rankview"
	"github.com/mulberryfork/mulberryfork/wire"
)

// fakeDiscovery has one view.
type fakeDiscovery struct {
	api.Discovery
	view api.View
}

func (d *fakeDiscovery) View() *api.View                          { return &d.view }
func (d *fakeDiscovery) Subscribe(func(time.Duration, *api.View)) {}

// newView returns a view with upstreams at addresses and their engine profile.
func newView(profile *api.EngineProfile, addresses ...string) api.View {
	v := api.View{Table: &api.RouteTable{Services: map[string]api.ServiceProfile{testService: {Engine: profile}}}}
	v.Instances = make(map[string]api.Instance)
	for _, address := range addresses {
		v.Instances[address] = api.Instance{ID: address, Service: testService, Address: address}
	}
	return v
}

const testService = "model"

// reportEngine returns one report for any rank.
type reportEngine struct {
	api.RankEngine
	report api.RankReport
}

func (e *reportEngine) ReadRank(context.Context, string) (api.RankReport, error) {
	return e.report, nil
}

// Guards against a report that counts as new although it was read from another VM, where
// it may be as old as the engine's report lag: a leader would take it for the state after
// an order, and release a pass before all ranks are armed.
func TestReportFromOtherVMIsOld(t *testing.T) {
	const lag = 400 * time.Millisecond
	for _, c := range []struct {
		name    string
		profile *api.EngineProfile
		lag     time.Duration
	}{{"known lag", &api.EngineProfile{Experts: 8, ReportLag: lag}, lag}, {"unknown profile", nil, api.UnknownReportLag}} {
		t.Run(c.name, func(t *testing.T) {
			local := api.RankReport{Group: "g", Epoch: 1, Size: 2, Formed: true}
			remote := local
			remote.Rank, remote.Address = 1, "127.0.0.2:9000"
			s := &service{
				settings:  &api.Settings{Listen: api.Listen{Link: "127.0.0.1:9100"}, Edge: api.EdgeSettings{LocalService: testService}},
				discovery: &fakeDiscovery{view: newView(c.profile)}, engine: &reportEngine{report: remote}, clock: testClock{time.Now().Add(-time.Hour)},
			}
			// The process beside the rank is down.
			s.peers.failures = map[string]callFailures{"127.0.0.2:9100": {count: failuresUntilDown, lastAt: s.clock.Now()}}
			state, err := s.readRemote(t.Context(), remote.Address, wire.RankReadRequest{})
			if err != nil {
				t.Fatal(err)
			}
			view, readAt := rankview.New(), 10*time.Second
			view.RecordLocal(readAt, api.RankState{Report: local})
			view.Record(readAt, state)
			if asOf := view.Snapshot(readAt, time.Second).AsOf; asOf != readAt-c.lag {
				t.Errorf("snapshot counts as %v old, want %v", readAt-asOf, c.lag)
			}
		})
	}
}

// countingLog counts the lines of each event.
type countingLog map[string]int

func (l countingLog) Change(event string, _ api.Fields)                       { l[event]++ }
func (l countingLog) Decision(event string, _ api.DecisionKind, _ api.Fields) { l[event]++ }

// Guards against a log line for each failed read of the local rank: processes start seconds
// before their engines, and read at short intervals.
func TestLocalFailuresAreLoggedRarely(t *testing.T) {
	log := countingLog{}
	s := &service{settings: &api.Settings{}, log: log}
	for now := time.Second; now < 6*time.Second; now += 40 * time.Millisecond {
		s.recordLocalFailure(now, &DownError{})
	}
	if n := log["reading local rank failed"]; n != 1 {
		t.Errorf("%d lines in 5 s, want 1", n)
	}
	s.recordLocalFailure(time.Minute, &DownError{})
	if n := log["reading local rank failed"]; n != 2 {
		t.Errorf("%d lines after a minute, want 2", n)
	}
}

// Guards against a process that leads again with what it knew of demand long ago: it would
// publish the imbalance of shifts that have stopped, and count a long gap as one sample.
func TestReplacedLeaderForgetsDemand(t *testing.T) {
	s := &service{rank: 2, group: "g", rankKnown: true, planner: expertplan.New(3, api.EngineProfile{Layers: 1, Experts: 3, SlotsPerRank: 2})}
	s.handleLeaderRead(time.Second, wire.RankReadRequest{Leader: 1, Group: "g"})
	if s.planner != nil || s.state != nil {
		t.Error("the demand is still known after another process has led")
	}
}

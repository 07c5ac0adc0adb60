package report_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/burn"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/report"
)

// stubServices is a fake of the configuration store and the metrics service. A post
// to blockLoop blocks the control loop until release is closed.
type stubServices struct {
	api.ConfigStore
	subscriber func(time.Duration, *api.Snapshot)
	snapshots  *kernel.Mailbox[*api.Snapshot]
	blockLoop  *kernel.Mailbox[struct{}]
	release    chan struct{}
	read       func() any
}

func (p *stubServices) Provision(c *kernel.Context) error {
	p.release = make(chan struct{})
	p.blockLoop = kernel.NewMailbox(c.Loop(), "hold", 1, kernel.Wait, func(time.Duration, struct{}) { <-p.release })
	p.snapshots = kernel.NewMailbox(c.Loop(), "offer", 1, kernel.Wait, func(now time.Duration, s *api.Snapshot) { p.subscriber(now, s) })
	return nil
}

func (p *stubServices) Subscribe(f func(time.Duration, *api.Snapshot)) { p.subscriber = f }
func (p *stubServices) Publish(_ string, read func() any)              { p.read = read }

// window returns the named window of the first objective in the last publication.
func (p *stubServices) window(t *testing.T, name string) burn.WindowSummary {
	t.Helper()
	published := p.read().(*burn.Published)
	summary := burn.Merge([]burn.Source{{Published: published}})
	for _, w := range summary.Objectives[0].Windows {
		if w.Name == name {
			return w
		}
	}
	t.Fatalf("no window %s", name)
	return burn.WindowSummary{}
}

func start(t *testing.T) (*stubServices, api.SLORecorder, *kernel.Host) {
	t.Helper()
	r := kernel.NewRegistry()
	p := &stubServices{}
	for _, name := range []string{api.ServiceConfigStore, api.ServiceMetrics} {
		if err := r.Register(name, func() any { return p }); err != nil {
			t.Fatal(err)
		}
	}
	if err := report.Register(r); err != nil {
		t.Fatal(err)
	}
	names := []string{api.ServiceReport, api.ServiceConfigStore, api.ServiceMetrics}
	host := kernel.NewHost(r, names, kernel.Options{
		Clock:  kernel.NewRuntimeClock(),
		Values: []any{&api.Settings{Node: "router-1", Zone: "a"}},
	})
	if err := host.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	recorder, err := kernel.Find[api.SLORecorder](host, api.ServiceReport)
	if err != nil {
		t.Fatal(err)
	}
	objective := api.Objective{Kind: api.ObjectiveAvailability, Target: 0.99}
	snap := &api.Snapshot{Revision: 7, Config: &api.Config{Objectives: map[string]api.Objective{"a": objective}}}
	_ = p.snapshots.Post(t.Context(), snap)
	return p, recorder, host
}

// Guards against requests that are published late or not at all, and against an idle
// router that does not publish, so that its idle time looks like missing data.
func TestRequestsAreCountedAndPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, r, host := start(t)
		r.RecordRequest(api.RequestSummary{Member: "desk", Status: 200})
		r.RecordRequest(api.RequestSummary{Member: "desk", Failure: api.NewFailure(api.CodeOverloaded, api.NotRun, "")})
		time.Sleep(6 * time.Second)
		if w := p.window(t, "5m"); w.Good != 1 || w.Total != 2 || w.Lost != 0 {
			t.Errorf("%+v", w)
		}
		if published := p.read().(*burn.Published); published.Revision != 7 || published.Node != "router-1" {
			t.Errorf("%+v", published)
		}
		time.Sleep(61 * time.Minute)
		if w := p.window(t, "1h"); w.Total != 0 || w.Coverage < 0.99 {
			t.Errorf("idle hour: %+v", w)
		}
		_ = host.Stop(context.Background())
	})
}

// Guards against a full mailbox that blocks the caller, or that drops summaries
// without counting the requests as lost.
func TestLostRequestsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, r, host := start(t)
		synctest.Wait()
		_ = p.blockLoop.Post(t.Context(), struct{}{})
		synctest.Wait()
		for range 5000 {
			r.RecordRequest(api.RequestSummary{Status: 200})
		}
		close(p.release)
		time.Sleep(6 * time.Second)
		if w := p.window(t, "5m"); w.Total != 4096 || w.Lost != 5000-4096 {
			t.Errorf("%+v", w)
		}
		_ = host.Stop(context.Background())
	})
}

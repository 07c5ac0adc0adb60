package balance_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// configure replaces the service of an edge and the time until which its ranks are cold.
func (e *edge) configure(t *testing.T, profile api.ServiceProfile, coldUntil time.Duration) {
	t.Helper()
	v := &api.View{
		Table:     &api.RouteTable{Services: map[string]api.ServiceProfile{"s": profile}},
		Instances: make(map[string]api.Instance), ZonesOut: make(map[string]bool),
	}
	for i := range ranks {
		id := addressOf(i)
		v.Instances[id] = api.Instance{ID: id, Service: "s", Zone: zoneOf(i), Slots: slots, Address: id, ColdUntil: coldUntil}
	}
	_ = e.views.Post(t.Context(), v)
	synctest.Wait()
}

// Guards against a process that has just started and sends to groups that are broken, and
// against one that waits for loads that nobody publishes.
func TestRequestsWaitForFirstLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		groups := api.ServiceProfile{Name: "s", Engine: &api.EngineProfile{FormTime: 600 * time.Millisecond}}
		e := startEdge(t, slots)
		e.configure(t, groups, 0)
		first := e.ask(t.Context(), 5, true)
		time.Sleep(200 * time.Millisecond)
		if f, ok := answered(first); ok {
			t.Fatalf("%v before the load of a group is known", f)
		}
		e.report(0, true)
		if f, ok := answered(first); !ok || f != nil {
			t.Errorf("known load: %v, %v, want a choice", f, ok)
		}
		silent := startEdge(t, slots)
		silent.configure(t, groups, 0)
		unread := silent.ask(t.Context(), 5, true)
		time.Sleep(310 * time.Millisecond)
		if f, ok := answered(unread); !ok || f != nil {
			t.Errorf("no load: %v, %v, want a choice by expected load", f, ok)
		}
	})
}

// Guards against waiting requests that are all refused because the upstreams have taken what
// cold ones can take in a second.
func TestRequestsWaitForColdUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEdge(t, slots)
		e.configure(t, api.ServiceProfile{Name: "s", ColdRate: 1}, time.Hour)
		e.report(0, true)
		var waiting <-chan *api.Failure
		for n := 0; waiting == nil; n++ {
			reply := e.ask(t.Context(), 5, true)
			switch f, ok := answered(reply); {
			case !ok:
				waiting = reply
			case f != nil || n > ranks*slots:
				t.Fatalf("request %d: %v, want it to wait", n, f)
			}
		}
		for range 11 {
			time.Sleep(100 * time.Millisecond)
			e.report(0, true)
		}
		if f, ok := answered(waiting); !ok || f != nil {
			t.Errorf("a second later: %v, %v, want a choice", f, ok)
		}
	})
}

// Guards against callers that wait for a group that is not formed before they give up, though
// the last outage shows how long it takes, and against refused ones that come back too soon.
func TestOutageOfKnownLength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEdge(t, slots)
		pass := func(d time.Duration, formed bool) {
			for range d / (100 * time.Millisecond) {
				time.Sleep(100 * time.Millisecond)
				e.report(0, formed)
			}
		}
		e.report(0, false)
		if f, ok := answered(e.ask(t.Context(), 5, true)); ok {
			t.Errorf("first outage: %v, want a wait", f)
		}
		pass(4*time.Second, false)
		pass(time.Second, true)
		e.report(0, false)
		if f, ok := answered(e.ask(t.Context(), 5, true)); !ok || f == nil || f.Run != api.NotRun || f.RetryAfter < 4*time.Second {
			t.Errorf("second outage: %v, %v, want a refusal until it is expected to end", f, ok)
		}
		pass(2500*time.Millisecond, false)
		late := e.ask(t.Context(), 5, true)
		pass(1500*time.Millisecond, false)
		if f, ok := answered(late); ok {
			t.Errorf("shortly before the expected end: %v, want a wait", f)
		}
		e.report(0, true)
		if f, ok := answered(late); !ok || f != nil {
			t.Errorf("formed group: %v, %v, want a choice", f, ok)
		}
	})
}

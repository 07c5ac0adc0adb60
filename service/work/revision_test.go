package work_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/spread"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// fakeMembership is a membership list in which tests mark the agent's VM as leaving.
type fakeMembership struct {
	mailbox    *kernel.Mailbox[bool]
	leaving    bool
	subscriber func(time.Duration, []api.VM)
}

func (l *fakeMembership) Provision(c *kernel.Context) error {
	l.mailbox = kernel.NewMailbox(c.Loop(), "list", 4, kernel.Wait, func(now time.Duration, leaving bool) {
		l.leaving = leaving
		l.subscriber(now, nil)
	})
	return nil
}
func (l *fakeMembership) Members() []api.VM                         { return nil }
func (l *fakeMembership) Subscribe(f func(time.Duration, []api.VM)) { l.subscriber = f }
func (l *fakeMembership) Leaving(vm string) bool                    { return l.leaving && vm == "vm1" }
func (l *fakeMembership) Down(string) bool                          { return false }

// An order with a newer revision than the agent's must not run before that revision is
// active, and must run once it is.
func TestOrderWithNewerRevisionIsHeld(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		send := func(key string) *recordingSink {
			o := fx.order(key)
			o.Revision = 2
			return fx.send(t.Context(), o)
		}
		held := []*recordingSink{send(fx.key()), send("")}
		if n := len(fx.engine.started); n != 0 {
			t.Fatalf("%d runs before the revision is active", n)
		}
		time.Sleep(spread.OrderHoldTimeout / 2)
		fx.store.set(t, 2, nil)
		fx.finish(nil)
		fx.finish(nil)
		for i, a := range held {
			if a.end == nil || a.end.Failure != nil {
				t.Errorf("held order %d ended %+v", i, a.end)
			}
		}
	})
}

// A held order must be refused as not run after spread.OrderHoldTimeout. The refusal
// must have the agent's revision, and a late copy of the order must not run.
func TestHeldOrderIsRefusedAfterHoldTimeout(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		o := fx.order(fx.key())
		o.Revision = 2
		a := fx.send(t.Context(), o)
		time.Sleep(spread.OrderHoldTimeout + 200*time.Millisecond)
		synctest.Wait()
		wantFailure(t, a, api.CodeStaleRevision, api.NotRun)
		if a.end.Failure.Revision != 1 {
			t.Errorf("the refusal has revision %d", a.end.Failure.Revision)
		}
		fx.store.set(t, 2, nil)
		fx.send(t.Context(), o)
		if n := len(fx.engine.started); n != 0 {
			t.Errorf("%d runs of a refused attempt", n)
		}
	})
}

// After a pause of the process, no order may start until peers have confirmed the
// configuration, not even a queued one.
func TestNoOrderStartsUnderUnconfirmedConfiguration(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		fx.send(t.Context(), fx.order(""))
		fx.send(t.Context(), fx.order(""))
		queued := fx.send(t.Context(), fx.order(fx.key()))
		fx.store.unconfirmed.Store(true)
		fx.finish(nil)
		fx.finish(nil)
		if n := len(fx.engine.started); n != 2 {
			t.Fatalf("%d runs started, want only the 2 from before the pause", n)
		}
		fx.store.unconfirmed.Store(false)
		time.Sleep(time.Second)
		fx.finish(nil)
		if queued.end == nil || queued.end.Failure != nil {
			t.Errorf("the queued order ended %+v", queued.end)
		}
	})
}

// An agent whose VM is leaving must refuse waiting and new orders, even if only the
// membership list marks the VM as leaving.
func TestLeavingVMTakesNoNewWork(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		running := []*recordingSink{fx.send(t.Context(), fx.order("")), fx.send(t.Context(), fx.order(""))}
		queued := fx.send(t.Context(), fx.order(fx.key()))
		newer := fx.order("")
		newer.Revision = 2
		held := fx.send(t.Context(), newer)
		if err := fx.membership.mailbox.Post(t.Context(), true); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		for _, a := range []*recordingSink{queued, held, fx.send(t.Context(), fx.order(""))} {
			wantFailure(t, a, api.CodeLeaving, api.NotRun)
		}
		if load, _ := fx.work.Load(); load.Accepting {
			t.Error("the load report shows the upstream as accepting work")
		}
		fx.finish(nil)
		fx.finish(nil)
		for i, a := range running {
			if a.end == nil || a.end.Failure != nil {
				t.Errorf("running order %d ended %+v", i, a.end)
			}
		}
	})
}

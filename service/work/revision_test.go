package work_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/spread"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// list is a membership on which a test marks the agent's VM.
type list struct {
	box     *kernel.Mailbox[bool]
	leaving bool
	follow  func(time.Duration, []api.VM)
}

func (l *list) Provision(c *kernel.Context) error {
	l.box = kernel.NewMailbox(c.Loop(), "list", 4, kernel.Wait, func(now time.Duration, leaving bool) {
		l.leaving = leaving
		l.follow(now, nil)
	})
	return nil
}
func (l *list) Members() []api.VM                         { return nil }
func (l *list) Subscribe(f func(time.Duration, []api.VM)) { l.follow = f }
func (l *list) Leaving(vm string) bool                    { return l.leaving && vm == "vm1" }
func (l *list) Down(string) bool                          { return false }

// An order under a revision that the agent lacks must neither run before the
// revision is in force nor be lost when it comes.
func TestNewerOrderWaitsForItsRevision(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		send := func(key string) *answer {
			o := b.order(key)
			o.Revision = 2
			return b.send(t.Context(), o)
		}
		held := []*answer{send(b.key()), send("")}
		if n := len(b.upstream.started); n != 0 {
			t.Fatalf("%d runs before the revision is in force", n)
		}
		time.Sleep(spread.OrderHoldTimeout / 2)
		b.store.set(t, 2, nil)
		b.finish(nil)
		b.finish(nil)
		for i, a := range held {
			if a.end == nil || a.end.Failure != nil {
				t.Errorf("held order %d ended %+v", i, a.end)
			}
		}
	})
}

// A held order must come back as not run after the bound, with the revision
// that the agent has, and a late copy of it must not run.
func TestHeldOrderIsRefusedInTime(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		o := b.order(b.key())
		o.Revision = 2
		a := b.send(t.Context(), o)
		time.Sleep(spread.OrderHoldTimeout + 200*time.Millisecond)
		synctest.Wait()
		wantFailure(t, a, api.CodeStaleRevision, api.NotRun)
		if a.end.Failure.Revision != 1 {
			t.Errorf("the refusal names revision %d", a.end.Failure.Revision)
		}
		b.store.set(t, 2, nil)
		b.send(t.Context(), o)
		if n := len(b.upstream.started); n != 0 {
			t.Errorf("%d runs of a refused send", n)
		}
	})
}

// After a pause nothing may start, also not what waited in the queue, until
// peers were asked for the configuration.
func TestNothingStartsUnconfirmed(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		b.send(t.Context(), b.order(""))
		b.send(t.Context(), b.order(""))
		queued := b.send(t.Context(), b.order(b.key()))
		b.store.unconfirmed.Store(true)
		b.finish(nil)
		b.finish(nil)
		if n := len(b.upstream.started); n != 2 {
			t.Fatalf("%d runs, 2 started before the pause", n)
		}
		b.store.unconfirmed.Store(false)
		time.Sleep(time.Second)
		b.finish(nil)
		if queued.end == nil || queued.end.Failure != nil {
			t.Errorf("the queued order ended %+v", queued.end)
		}
	})
}

// An agent whose VM is leaving must return what waits and refuse what comes,
// although the configuration does not say that it leaves.
func TestLeavingVMTakesNoNewWork(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		running := []*answer{b.send(t.Context(), b.order("")), b.send(t.Context(), b.order(""))}
		queued := b.send(t.Context(), b.order(b.key()))
		newer := b.order("")
		newer.Revision = 2
		held := b.send(t.Context(), newer)
		if err := b.list.box.Post(t.Context(), true); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		for _, a := range []*answer{queued, held, b.send(t.Context(), b.order(""))} {
			wantFailure(t, a, api.CodeLeaving, api.NotRun)
		}
		if load, _ := b.work.Load(); load.Accepting {
			t.Error("the load report says that the upstream takes work")
		}
		b.finish(nil)
		b.finish(nil)
		for i, a := range running {
			if a.end == nil || a.end.Failure != nil {
				t.Errorf("running order %d ended %+v", i, a.end)
			}
		}
	})
}

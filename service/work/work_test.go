package work_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// A resend that reaches the agent while the first send runs, or after it, must
// get that answer and not run again, and is one key in the ledger.
func TestResendsShareOneRun(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		key := b.key()
		first := b.send(t.Context(), b.order(key))
		joined := b.send(t.Context(), b.order(key))
		b.finish(nil)
		later := b.send(t.Context(), b.order(key))
		b.send(t.Context(), b.order(""))
		if !strings.Contains(b.metrics.JSON(), `"ledger_entries": 1,`) {
			t.Errorf("one key is not counted: %s", b.metrics.JSON())
		}
		b.finish(nil)
		for i, a := range []*answer{first, joined, later} {
			if a.end == nil || a.end.Failure != nil || a.body != "booked "+key || a.head.Status != 201 {
				t.Errorf("answer %d: %+v", i, a)
			}
		}
		if n := len(b.upstream.started); n != 2 {
			t.Errorf("%d runs of a booking and a look-up", n)
		}
	})
}

// A caller or router that goes away must not cut off a booking that was accepted.
func TestLostRouterDoesNotStopBooking(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		key := b.key()
		ctx, cancel := context.WithCancel(t.Context())
		b.send(ctx, b.order(key))
		cancel()
		synctest.Wait()
		b.finish(nil)
		if o := b.work.Outcome(t.Context(), api.OutcomeQuery{Upstream: "b1", Member: "desk", Key: key}); o.Run != api.Ran || !o.Done {
			t.Errorf("outcome %+v", o)
		}
	})
}

// Work queued when a zone goes out must come back as not run, and what runs
// must end whole.
func TestZoneOutReturnsQueuedWork(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		running := []*answer{b.send(t.Context(), b.order(b.key())), b.send(t.Context(), b.order(""))}
		queued := []*answer{b.send(t.Context(), b.order(b.key())), b.send(t.Context(), b.order(""))}
		b.store.set(t, 2, func(c *api.Config) { c.Zones["za"] = api.Zone{State: api.ZoneOut} })
		for _, a := range queued {
			wantFailure(t, a, api.CodeZoneOut, api.NotRun)
		}
		o := b.order("")
		o.Revision = 2
		wantFailure(t, b.send(t.Context(), o), api.CodeZoneOut, api.NotRun)
		b.finish(nil)
		b.finish(nil)
		for i, a := range running {
			if a.end == nil || a.end.Failure != nil {
				t.Errorf("running %d ended %+v", i, a.end)
			}
		}
	})
}

// A cold upstream must not get more than it bears, however many ask.
func TestColdLimitHolds(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		for range 20 {
			b.send(t.Context(), b.order(""))
		}
		if n := len(b.upstream.started); n != 2 {
			t.Errorf("%d started on a cold upstream that bears 2", n)
		}
	})
}

// Time alone must not warm an upstream; an engine failure must make it cold again.
func TestCompletionsEarnTheLimitAndACrashLosesIt(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		time.Sleep(time.Hour)
		for range 40 {
			b.send(t.Context(), b.order(""))
		}
		for range 20 {
			b.finish(nil)
		}
		load, _ := b.work.Load()
		if load.LimitRequests != 4 || load.Running != 4 {
			t.Fatalf("warm load %+v", load)
		}
		b.finish(api.NewFailure(api.CodeUpstreamFailed, api.RunUnknown, "connection lost"))
		if load, _ = b.work.Load(); load.LimitRequests != 2 || !load.Cold {
			t.Errorf("load after a crash %+v", load)
		}
	})
}

// An order made under an older configuration may miss that a zone is out.
func TestStaleAndForeignOrdersAreRefused(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		b.store.set(t, 2, nil)
		wantFailure(t, b.send(t.Context(), b.order("")), api.CodeStaleRevision, api.NotRun)
		o := b.order("")
		o.Revision, o.Incarnation = 2, 12345
		wantFailure(t, b.send(t.Context(), o), api.CodeWrongIncarnation, api.NotRun)
		o = b.order("")
		o.Revision, o.Member = 2, "stranger"
		wantFailure(t, b.send(t.Context(), o), api.CodeForbidden, api.NotRun)
		o = b.order(b.key())
		o.Revision, o.Incarnation = 2, 12345
		wantFailure(t, b.send(t.Context(), o), api.CodeWrongIncarnation, api.RunUnknown)
	})
}

// A request that waited past its deadline must not start.
func TestDeadlinePassesInTheQueue(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		b.send(t.Context(), b.order(""))
		b.send(t.Context(), b.order(""))
		o := b.order(b.key())
		o.DeadlineLeft = time.Second
		late := b.send(t.Context(), o)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		wantFailure(t, late, api.CodeDeadlineExceeded, api.NotRun)
		b.finish(nil)
		if n := len(b.upstream.started); n != 2 {
			t.Errorf("%d started", n)
		}
	})
}

// A request that crashed the upstream must not run beside others again.
func TestSuspectsRunAlone(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		poison := b.order("")
		b.send(t.Context(), poison)
		b.finish(api.NewFailure(api.CodeUpstreamFailed, api.RunUnknown, "connection lost"))
		b.send(t.Context(), b.order(""))
		again := poison
		again.AttemptID.Number = 2
		b.send(t.Context(), again)
		innocent := b.send(t.Context(), b.order(""))
		if n := len(b.upstream.started); n != 2 {
			t.Fatalf("%d started, the suspect must wait for the running request", n)
		}
		b.finish(nil)
		if n := len(b.upstream.started); n != 3 {
			t.Fatalf("%d started, the suspect must run alone", n)
		}
		b.finish(nil)
		b.finish(nil)
		if innocent.end == nil || innocent.end.Failure != nil {
			t.Errorf("innocent request ended %+v", innocent.end)
		}
	})
}

// Requests that are refused at shutdown must come back as not run at once.
func TestDrainReturnsQueuedWork(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		first := b.send(t.Context(), b.order(""))
		b.send(t.Context(), b.order(""))
		queued := b.send(t.Context(), b.order(b.key()))
		b.work.(interface{ Drain() }).Drain()
		synctest.Wait()
		wantFailure(t, queued, api.CodeShuttingDown, api.NotRun)
		wantFailure(t, b.send(t.Context(), b.order("")), api.CodeShuttingDown, api.NotRun)
		b.finish(nil)
		if first.end == nil || first.end.Failure != nil {
			t.Errorf("running request ended %+v", first.end)
		}
		b.finish(nil)
	})
}

// A copy of a request that crashed another upstream must not go on to crash
// this one; a copy that must run once, an isolated run and others must go on.
func TestNewsRecallRunningCopies(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		copied, once := b.order(""), b.order(b.key())
		once.Fingerprint = copied.Fingerprint
		stopped, kept := b.send(t.Context(), copied), b.send(t.Context(), once)
		suspicions := []api.Suspicion{{Fingerprint: copied.Fingerprint, Crashes: []api.Crash{{ID: 1, Upstream: "b2"}}}}
		known := b.work.(api.SuspicionTracker)
		for range 2 {
			known.MergeSuspicions(suspicions)
			synctest.Wait()
		}
		wantFailure(t, stopped, api.CodeSuspect, api.RunUnknown)
		load, _ := b.work.Load()
		if kept.end != nil || load.Running != 1 || len(load.Suspicions) != 1 {
			t.Errorf("the other copy ended %+v, load %+v", kept.end, load)
		}
		if told := known.KnownSuspicions(t.Context(), 5); len(told) != 1 || told[0].Fingerprint != copied.Fingerprint {
			t.Errorf("told %+v", told)
		}
		b.finish(nil)
		again := copied
		again.AttemptID.Number, again.Isolate = 2, true
		alone := b.send(t.Context(), again)
		suspicions[0].Crashes[0].ID = 2
		known.MergeSuspicions(suspicions)
		synctest.Wait()
		if alone.end != nil {
			t.Errorf("the isolated run ended %+v", alone.end)
		}
		b.finish(nil)
	})
}

// An order that waits while another copy of its request crashes the upstream
// must not start beside others when its turn comes.
func TestQueuedOrderBecomesASuspect(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		poison := b.order("")
		b.send(t.Context(), poison)
		b.send(t.Context(), b.order(""))
		copied := poison
		copied.AttemptID.Number = 2
		b.send(t.Context(), copied)
		b.send(t.Context(), b.order(""))
		b.finish(api.NewFailure(api.CodeUpstreamFailed, api.RunUnknown, "connection lost"))
		b.finish(api.NewFailure(api.CodeUpstreamFailed, api.RunUnknown, "connection lost"))
		for range 2 {
			<-b.upstream.started
		}
		if o := <-b.upstream.started; o.Fingerprint != poison.Fingerprint {
			t.Errorf("request %s runs, want the suspect first", o.AttemptID.RequestID)
		}
		if n := len(b.upstream.started); n != 0 {
			t.Errorf("%d more run beside the suspect", n)
		}
		b.finish(nil)
		b.finish(nil)
	})
}

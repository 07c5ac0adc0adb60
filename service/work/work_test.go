package work_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// A resend that arrives during or after the run of the first attempt must get the same
// response without a second run, and both attempts must count as one ledger entry.
func TestResendsShareOneRun(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		key := fx.key()
		first := fx.send(t.Context(), fx.order(key))
		joined := fx.send(t.Context(), fx.order(key))
		fx.finish(nil)
		later := fx.send(t.Context(), fx.order(key))
		fx.send(t.Context(), fx.order(""))
		if !strings.Contains(fx.metrics.JSON(), `"ledger_entries": 1,`) {
			t.Errorf("metrics do not count one ledger entry: %s", fx.metrics.JSON())
		}
		fx.finish(nil)
		for i, a := range []*recordingSink{first, joined, later} {
			if a.end == nil || a.end.Failure != nil || a.body != "booked "+key || a.head.Status != 201 {
				t.Errorf("response %d: %+v", i, a)
			}
		}
		if n := len(fx.engine.started); n != 2 {
			t.Errorf("%d runs of one booking and one lookup", n)
		}
	})
}

// A caller or router that disconnects must not cancel a booking that was accepted.
func TestDisconnectedRouterDoesNotCancelBooking(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		key := fx.key()
		ctx, cancel := context.WithCancel(t.Context())
		fx.send(ctx, fx.order(key))
		cancel()
		synctest.Wait()
		fx.finish(nil)
		if o := fx.work.Outcome(t.Context(), api.OutcomeQuery{Upstream: "b1", Member: "desk", Key: key}); o.Run != api.Ran || !o.Done {
			t.Errorf("outcome %+v", o)
		}
	})
}

// Orders queued when a zone is taken out of service must be refused as not run, and
// running orders must complete.
func TestZoneOutRefusesQueuedOrders(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		running := []*recordingSink{fx.send(t.Context(), fx.order(fx.key())), fx.send(t.Context(), fx.order(""))}
		queued := []*recordingSink{fx.send(t.Context(), fx.order(fx.key())), fx.send(t.Context(), fx.order(""))}
		fx.store.set(t, 2, func(c *api.Config) { c.Zones["za"] = api.Zone{State: api.ZoneOut} })
		for _, a := range queued {
			wantFailure(t, a, api.CodeZoneOut, api.NotRun)
		}
		o := fx.order("")
		o.Revision = 2
		wantFailure(t, fx.send(t.Context(), o), api.CodeZoneOut, api.NotRun)
		fx.finish(nil)
		fx.finish(nil)
		for i, a := range running {
			if a.end == nil || a.end.Failure != nil {
				t.Errorf("running order %d ended %+v", i, a.end)
			}
		}
	})
}

// A cold upstream must not get more requests than its cold limit, however many are
// queued.
func TestColdLimitHolds(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		for range 20 {
			fx.send(t.Context(), fx.order(""))
		}
		if n := len(fx.engine.started); n != 2 {
			t.Errorf("%d started on a cold upstream, want 2", n)
		}
	})
}

// Elapsed time must not raise the limit of a cold upstream; only completed requests may.
// A crash must reset it to the cold limit.
func TestCompletionsRaiseTheLimitAndACrashResetsIt(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		time.Sleep(time.Hour)
		for range 40 {
			fx.send(t.Context(), fx.order(""))
		}
		for range 20 {
			fx.finish(nil)
		}
		load, _ := fx.work.Load()
		if load.LimitRequests != 4 || load.Running != 4 {
			t.Fatalf("warm load %+v", load)
		}
		fx.finish(api.NewFailure(api.CodeUpstreamFailed, api.RunUnknown, "connection lost"))
		if load, _ = fx.work.Load(); load.LimitRequests != 2 || !load.Cold {
			t.Errorf("load after a crash %+v", load)
		}
	})
}

// Guards against running an order with an older revision, whose router may not know
// that a zone is out, and against running an order for another incarnation or from an
// unknown member.
func TestOrdersWithWrongRevisionIncarnationOrMemberAreRefused(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		fx.store.set(t, 2, nil)
		wantFailure(t, fx.send(t.Context(), fx.order("")), api.CodeStaleRevision, api.NotRun)
		o := fx.order("")
		o.Revision, o.Incarnation = 2, 12345
		wantFailure(t, fx.send(t.Context(), o), api.CodeWrongIncarnation, api.NotRun)
		o = fx.order("")
		o.Revision, o.Member = 2, "stranger"
		wantFailure(t, fx.send(t.Context(), o), api.CodeForbidden, api.NotRun)
		o = fx.order(fx.key())
		o.Revision, o.Incarnation = 2, 12345
		wantFailure(t, fx.send(t.Context(), o), api.CodeWrongIncarnation, api.RunUnknown)
	})
}

// A queued request whose deadline has passed must not start.
func TestQueuedOrderExpiresAtItsDeadline(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		fx.send(t.Context(), fx.order(""))
		fx.send(t.Context(), fx.order(""))
		o := fx.order(fx.key())
		o.DeadlineLeft = time.Second
		late := fx.send(t.Context(), o)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		wantFailure(t, late, api.CodeDeadlineExceeded, api.NotRun)
		fx.finish(nil)
		if n := len(fx.engine.started); n != 2 {
			t.Errorf("%d started", n)
		}
	})
}

// A request that crashed the upstream must not run concurrently with others when it is
// retried, or the next crash interrupts them too.
func TestSuspectsRunAlone(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		suspect := fx.order("")
		fx.send(t.Context(), suspect)
		fx.finish(api.NewFailure(api.CodeUpstreamFailed, api.RunUnknown, "connection lost"))
		fx.send(t.Context(), fx.order(""))
		resend := suspect
		resend.AttemptID.Number = 2
		fx.send(t.Context(), resend)
		other := fx.send(t.Context(), fx.order(""))
		if n := len(fx.engine.started); n != 2 {
			t.Fatalf("%d started, the suspect must wait for the running request", n)
		}
		fx.finish(nil)
		if n := len(fx.engine.started); n != 3 {
			t.Fatalf("%d started, the suspect must run alone", n)
		}
		fx.finish(nil)
		fx.finish(nil)
		if other.end == nil || other.end.Failure != nil {
			t.Errorf("the other request ended %+v", other.end)
		}
	})
}

// During a graceful shutdown, queued and new orders must be refused at once as not run,
// and running orders must complete.
func TestDrainRefusesQueuedOrders(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		first := fx.send(t.Context(), fx.order(""))
		fx.send(t.Context(), fx.order(""))
		queued := fx.send(t.Context(), fx.order(fx.key()))
		fx.work.(interface{ Drain() }).Drain()
		synctest.Wait()
		wantFailure(t, queued, api.CodeShuttingDown, api.NotRun)
		wantFailure(t, fx.send(t.Context(), fx.order("")), api.CodeShuttingDown, api.NotRun)
		fx.finish(nil)
		if first.end == nil || first.end.Failure != nil {
			t.Errorf("running request ended %+v", first.end)
		}
		fx.finish(nil)
	})
}

// A running copy of a request that crashed another upstream must be stopped before it
// crashes this one. Non-idempotent copies, isolated runs and other requests must
// continue.
func TestCrashReportsRecallRunningCopies(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		idempotent, nonIdempotent := fx.order(""), fx.order(fx.key())
		nonIdempotent.Fingerprint = idempotent.Fingerprint
		recalled, other := fx.send(t.Context(), idempotent), fx.send(t.Context(), nonIdempotent)
		suspicions := []api.Suspicion{{Fingerprint: idempotent.Fingerprint, Crashes: []api.Crash{{ID: 1, Upstream: "b2"}}}}
		tracker := fx.work.(api.SuspicionTracker)
		for range 2 {
			tracker.MergeSuspicions(suspicions)
			synctest.Wait()
		}
		wantFailure(t, recalled, api.CodeSuspect, api.RunUnknown)
		time.Sleep(cancelNoticed)
		load, _ := fx.work.Load()
		if other.end != nil || load.Running != 1 || len(load.Suspicions) != 1 {
			t.Errorf("the other copy ended %+v, load %+v", other.end, load)
		}
		if digest := tracker.KnownSuspicions(t.Context(), 5); len(digest) != 1 || digest[0].Fingerprint != idempotent.Fingerprint {
			t.Errorf("known suspicions %+v", digest)
		}
		fx.finish(nil)
		resend := idempotent
		resend.AttemptID.Number, resend.Isolate = 2, true
		isolated := fx.send(t.Context(), resend)
		suspicions[0].Crashes[0].ID = 2
		tracker.MergeSuspicions(suspicions)
		synctest.Wait()
		if isolated.end != nil {
			t.Errorf("the isolated run ended %+v", isolated.end)
		}
		fx.finish(nil)
	})
}

// An order that was already queued when another copy of its request crashed the
// upstream must run alone.
func TestQueuedOrderBecomesASuspect(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		suspect := fx.order("")
		fx.send(t.Context(), suspect)
		fx.send(t.Context(), fx.order(""))
		resend := suspect
		resend.AttemptID.Number = 2
		fx.send(t.Context(), resend)
		fx.send(t.Context(), fx.order(""))
		fx.finish(api.NewFailure(api.CodeUpstreamFailed, api.RunUnknown, "connection lost"))
		fx.finish(api.NewFailure(api.CodeUpstreamFailed, api.RunUnknown, "connection lost"))
		for range 2 {
			<-fx.engine.started
		}
		if o := <-fx.engine.started; o.Fingerprint != suspect.Fingerprint {
			t.Errorf("request %s runs, want the suspect first", o.AttemptID.RequestID)
		}
		if n := len(fx.engine.started); n != 0 {
			t.Errorf("%d more run concurrently with the suspect", n)
		}
		fx.finish(nil)
		fx.finish(nil)
	})
}

// Guards against a full queue that refuses an urgent order while a less urgent one of the
// same member waits, and against a refusal that names no time for another attempt. The order
// that gives way must not run.
func TestUrgentOrderDisplacesLessUrgentOne(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		fx.store.set(t, 1, func(c *api.Config) { c.Members["desk"] = api.Member{Share: 1, QueueRequests: 2} })
		var running, waiting []*recordingSink
		for range 2 {
			running = append(running, fx.send(t.Context(), fx.order("")))
		}
		waiting = append(waiting, fx.send(t.Context(), fx.order("")), fx.send(t.Context(), fx.order(fx.key())))
		wantRefusal := func(a *recordingSink) {
			t.Helper()
			wantFailure(t, a, api.CodeQueueFull, api.NotRun)
			if a.end != nil && a.end.Failure.RetryAfter <= 0 {
				t.Error("refused without a time for another attempt")
			}
		}
		wantRefusal(fx.send(t.Context(), fx.order("")))
		urgent := fx.order("")
		urgent.Priority = 1
		served := fx.send(t.Context(), urgent)
		wantRefusal(waiting[1])
		for range 4 {
			fx.finish(nil)
		}
		for i, a := range append(running, waiting[0], served) {
			if a.end == nil || a.end.Failure != nil {
				t.Errorf("order %d ended %+v", i, a.end)
			}
		}
		if n := len(fx.engine.started); n != 4 {
			t.Errorf("%d orders ran, want all but the refused ones", n)
		}
	})
}

// Guards against a member within its share that is refused because of the queue of another
// one, and against an order that starts although its deadline passes before it can end.
func TestRefusalsFollowTheOrderOfTheQueue(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		send := func(member string, left time.Duration) *recordingSink {
			o := fx.order("")
			o.Member, o.DeadlineLeft = member, left
			return fx.send(t.Context(), o)
		}
		send("desk", time.Minute)
		time.Sleep(time.Second)
		fx.finish(nil)
		for range 12 {
			send("desk", time.Minute)
		}
		// A run takes 1 s, and 2 run at once in the cold start: 10 others take 5 s.
		wantFailure(t, send("desk", 5*time.Second), api.CodeOverloaded, api.NotRun)
		crews := []*recordingSink{send("crews", 3*time.Second), send("crews", 3*time.Second)}
		time.Sleep(2500 * time.Millisecond)
		started := len(fx.engine.started)
		fx.finish(nil)
		for _, a := range crews {
			wantFailure(t, a, api.CodeDeadlineExceeded, api.NotRun)
		}
		if n := len(fx.engine.started) - started; n != 1 {
			t.Errorf("%d orders with enough time left started, want 1", n)
		}
	})
}

// Guards against a run of an order that still waited when its router was lost. An order with
// a key stays: its router asks for it again after a lost link, and it runs once.
func TestWaitingOrdersOfLostRouterDoNotRun(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		ctx, cancel := context.WithCancel(t.Context())
		for range 2 {
			fx.send(t.Context(), fx.order(""))
		}
		key := fx.key()
		for range 3 {
			fx.send(ctx, fx.order(""))
		}
		fx.send(ctx, fx.order(key))
		cancel()
		synctest.Wait()
		again := fx.send(t.Context(), fx.order(key))
		for range 3 {
			fx.finish(nil)
		}
		if n := len(fx.engine.started); n != 3 {
			t.Errorf("%d orders ran, want the 2 running ones and the one with a key", n)
		}
		if again.end == nil || again.end.Failure != nil {
			t.Errorf("the order with a key ended %+v", again.end)
		}
	})
}

// cancelNoticed is longer than the time for which a canceled run takes up capacity.
const cancelNoticed = 20 * time.Millisecond

// Guards against an order that starts in the place of a canceled one before the engine has
// noticed the cancellation. A cold engine then had one request more than it bears.
func TestCanceledRunKeepsItsPlaceUntilEngineHasNoticed(t *testing.T) {
	runWithAgent(t, func(t *testing.T, fx *fixture) {
		ctx, cancel := context.WithCancel(t.Context())
		fx.send(ctx, fx.order(""))
		for range 2 {
			fx.send(t.Context(), fx.order(""))
		}
		cancel()
		synctest.Wait()
		if n := len(fx.engine.started); n != 2 {
			t.Errorf("%d orders started at once after a cancellation, want the 2 within the limit", n)
		}
		time.Sleep(cancelNoticed)
		if n := len(fx.engine.started); n != 3 {
			t.Errorf("%d orders started, want the one that waited as well", n)
		}
		for range 2 {
			fx.finish(nil)
		}
	})
}

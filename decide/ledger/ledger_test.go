package ledger_test

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
)

const (
	upstream = "u0"
	minute   = time.Minute
)

var limits = ledger.Limits{
	Entries: 4, MemberEntries: 3, MemberTombstones: 3, JoinedAttempts: 3, Bytes: 400, ResponseBytes: 100,
	Retention: 10 * minute, AttemptAge: minute, ResendWindow: 5 * minute, ListLag: minute,
}

func newLedger(now time.Duration) *ledger.Ledger {
	l := ledger.New(now, ledger.Identity{Upstream: upstream, Incarnation: 1}, limits)
	l.SetList(now, []string{upstream})
	return l
}

func boundKey(issued time.Duration, n byte) string {
	return idemkey.Bound{Upstream: upstream, Incarnation: 1, Issued: issued, Random: [16]byte{n}}.String()
}

func attemptID(n int) api.AttemptID {
	return api.AttemptID{RequestID: string(rune('a' + n)), Number: 1}
}

func arrival(now time.Duration, n int, key string) ledger.Arrival {
	return ledger.Arrival{
		AttemptID: attemptID(n), Member: "m", Key: key, BodyHash: 1, Incarnation: 1,
		AgentElapsed: now, Deadline: now + time.Hour,
	}
}

func expect(t *testing.T, d ledger.Decision, v ledger.Verdict, code api.Code, run api.RunState) {
	t.Helper()
	if d.Verdict != v {
		t.Fatalf("verdict %d (%v), want %d", d.Verdict, d.Failure, v)
	}
	if v == ledger.Refuse && (d.Failure.Code != code || d.Failure.Run != run) {
		t.Errorf("got %v, want %s (%s)", d.Failure, code, run)
	}
}

// Guards against a resend that runs the request again or receives another response.
func TestKeyRunsOnceAndOutcomeIsReplayed(t *testing.T) {
	l := newLedger(0)
	k := boundKey(minute, 1)
	expect(t, l.Admit(minute, arrival(minute, 0, k)), ledger.Queue, "", "")
	expect(t, l.Admit(minute, arrival(minute, 0, k)), ledger.Duplicate, "", "")
	expect(t, l.Admit(minute, arrival(minute, 1, k)), ledger.Join, "", "")
	if s := l.Start(minute, attemptID(0)); !s.Run {
		t.Fatal("the entry did not start")
	}
	if l.Start(minute, attemptID(0)).Run || len(l.Refuse(minute, attemptID(0), api.Failure{}).Attempts) != 0 {
		t.Error("a running entry started again or was refused")
	}
	if r := l.Complete(2*minute, attemptID(0), ledger.Response{Status: 201, Body: []byte("x")}); len(r.Attempts) != 2 {
		t.Errorf("%d attempts received the response, want 2", len(r.Attempts))
	}
	d := l.Admit(3*minute, arrival(3*minute, 2, k))
	expect(t, d, ledger.Replay, "", "")
	if d.Outcome.Status != 201 || string(d.Outcome.Body) != "x" {
		t.Errorf("replayed %+v", d.Outcome)
	}
	// A late copy of an attempt must not send a replay after the response.
	expect(t, l.Admit(3*minute, arrival(minute, 1, k)), ledger.Duplicate, "", "")
	reused := arrival(3*minute, 3, k)
	reused.BodyHash = 2
	expect(t, l.Admit(3*minute, reused), ledger.Refuse, api.CodeKeyReused, api.NotRun)
	expect(t, l.Admit(12*minute, arrival(12*minute, 4, k)), ledger.Refuse, api.CodeKeyExpired, api.RunUnknown)
}

// Guards against a key that stays blocked after its request was refused before the
// start, and against a late copy of the refused attempt that runs.
func TestRefusalBeforeStartFreesKeyAndAddsTombstone(t *testing.T) {
	l := newLedger(0)
	k := boundKey(minute, 1)
	l.Admit(minute, arrival(minute, 0, k))
	if s := l.Start(2*time.Hour, attemptID(0)); s.Run || s.Release.Failure.Run != api.NotRun {
		t.Fatalf("start after the deadline returned %+v", s)
	}
	l.Admit(minute, arrival(minute, 1, k))
	if r := l.Refuse(minute, attemptID(1), api.Failure{Code: api.CodeQueueFull}); r.Failure.Run != api.NotRun {
		t.Fatalf("refusal %+v", r)
	}
	expect(t, l.Admit(minute, arrival(minute, 1, k)), ledger.Refuse, api.CodeTombstoned, api.NotRun)
	expect(t, l.Admit(minute, arrival(minute, 2, k)), ledger.Queue, "", "")
	expect(t, l.Admit(minute, arrival(minute, 1, k)), ledger.Refuse, api.CodeTombstoned, api.RunUnknown)
}

// Guards against an attempt that is still in transit when a query returns not_run
// for it, and then runs.
func TestQueryOfUnseenAttemptAddsTombstone(t *testing.T) {
	l := newLedger(0)
	k := boundKey(minute, 1)
	id := attemptID(0)
	q := api.OutcomeQuery{Member: "m", Key: k, AttemptID: &id, Incarnation: 1, AgentElapsed: minute}
	if o := l.Query(minute, q); o.Run != api.NotRun {
		t.Fatalf("outcome %+v", o)
	}
	expect(t, l.Admit(minute, arrival(minute, 0, k)), ledger.Refuse, api.CodeTombstoned, api.NotRun)
	q.Incarnation = 2
	if o := l.Query(minute, q); o.Run != api.RunUnknown {
		t.Errorf("outcome for another incarnation %+v", o)
	}
	q.AttemptID = nil
	if o := l.Query(minute, q); o.Run != api.RunUnknown {
		t.Errorf("query without an attempt returned %+v", o)
	}
}

// Guards against a full ledger that makes space by evicting an outcome before its
// retention ends: a resend of that key would run again.
func TestFullLedgerRefusesWithoutEarlyEviction(t *testing.T) {
	l := newLedger(0)
	for n := range 3 {
		expect(t, l.Admit(minute, arrival(minute, n, boundKey(minute, byte(n)))), ledger.Queue, "", "")
		l.Start(minute, attemptID(n))
		l.Complete(minute, attemptID(n), ledger.Response{Body: make([]byte, 90)})
	}
	for n := 3; n < 9; n++ {
		a := arrival(minute, n, boundKey(minute, byte(n)))
		want := api.CodeLedgerFull
		if n > 6 {
			want = api.CodeTombstoned // the member's tombstones are used up, so its floor was raised
		}
		expect(t, l.Admit(minute, a), ledger.Refuse, want, api.NotRun)
	}
	other := arrival(minute, 10, boundKey(minute, 10))
	other.Member = "n"
	expect(t, l.Admit(minute, other), ledger.Queue, "", "")
	expect(t, l.Admit(10*minute, arrival(9*minute, 12, boundKey(minute, 0))), ledger.Replay, "", "")
	late := 11 * minute
	expect(t, l.Admit(late, arrival(minute, 8, boundKey(minute, 8))), ledger.Refuse, api.CodeKeyExpired, api.RunUnknown)
	expect(t, l.Admit(late, arrival(late, 11, boundKey(late, 11))), ledger.Queue, "", "")
	if c := l.Counts(); c.EntriesMax > limits.Entries || c.BytesMax > limits.Bytes || c.FloorsRaised != 1 {
		t.Errorf("counts %+v", c)
	}
}

// Guards against a second run of a caller-made key: the ledger must refuse it while
// an earlier run, before a restart or at the key's previous home, is possible.
func TestCallerMadeKeyNeedsEvidence(t *testing.T) {
	l := newLedger(0)
	d := l.Admit(5*minute, arrival(5*minute, 0, "order-1"))
	expect(t, d, ledger.Refuse, api.CodeKeyNotBound, api.RunUnknown)
	if b, err := idemkey.ParseBound(d.Failure.BoundKey); err != nil || b.Incarnation != 1 {
		t.Errorf("new key %q: %v", d.Failure.BoundKey, err)
	}
	l.ConfirmList(6 * minute)
	expect(t, l.Admit(8*minute, arrival(6*minute, 1, "order-1")), ledger.Refuse, api.CodeKeyNotBound, api.RunUnknown)
	expect(t, l.Admit(6*minute, arrival(6*minute, 2, "order-1")), ledger.Queue, "", "")
	l.SetList(7*minute, []string{"u1"})
	expect(t, l.Admit(7*minute, arrival(7*minute, 3, "order-2")), ledger.Refuse, api.CodeWrongUpstream, api.RunUnknown)
	l.SetIncarnation(8*minute, 2)
	if s := l.Start(8*minute, attemptID(2)); s.Run || s.Release.Failure.Code != api.CodeWrongIncarnation {
		t.Errorf("start under the previous incarnation: %+v", s)
	}
}

// Guards against a second run of a key that was evicted under a shorter retention:
// after the retention is increased, the key is young enough to be accepted.
func TestLongerRetentionDoesNotReviveEvictedKeys(t *testing.T) {
	l := newLedger(0)
	k := boundKey(minute, 1)
	l.Admit(minute, arrival(minute, 0, k))
	l.Start(minute, attemptID(0))
	l.Complete(minute, attemptID(0), ledger.Response{})
	l.Evict(11 * minute)
	longer := limits
	longer.Retention = time.Hour
	l.SetLimits(longer)
	expect(t, l.Admit(12*minute, arrival(12*minute, 1, k)), ledger.Refuse, api.CodeKeyExpired, api.RunUnknown)
}

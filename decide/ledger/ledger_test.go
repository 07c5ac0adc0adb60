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
	Entries: 4, MemberEntries: 3, MemberTombstones: 3, JoinedSends: 3, Bytes: 400, AnswerBytes: 100,
	Retention: 10 * minute, SendAge: minute, ResendWindow: 5 * minute, ListLag: minute,
}

func newLedger(now time.Duration) *ledger.Ledger {
	l := ledger.New(now, ledger.Identity{Upstream: upstream, Incarnation: 1}, limits)
	l.SetList(now, []string{upstream})
	return l
}

func boundKey(issued time.Duration, n byte) string {
	return idemkey.Bound{Upstream: upstream, Incarnation: 1, Issued: issued, Random: [16]byte{n}}.String()
}

func send(n int) api.AttemptID { return api.AttemptID{RequestID: string(rune('a' + n)), Number: 1} }

func arrival(now time.Duration, n int, key string) ledger.Arrival {
	return ledger.Arrival{
		Send: send(n), Member: "m", Key: key, BodyHash: 1, Incarnation: 1,
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

// A resend must neither run again nor receive a different answer.
func TestKeyRunsOnceAndOutcomeIsReplayed(t *testing.T) {
	l := newLedger(0)
	k := boundKey(minute, 1)
	expect(t, l.Admit(minute, arrival(minute, 0, k)), ledger.Queue, "", "")
	expect(t, l.Admit(minute, arrival(minute, 0, k)), ledger.Duplicate, "", "")
	expect(t, l.Admit(minute, arrival(minute, 1, k)), ledger.Join, "", "")
	if s := l.Start(minute, send(0)); !s.Run {
		t.Fatal("the entry did not start")
	}
	if l.Start(minute, send(0)).Run || len(l.Refuse(minute, send(0), api.Failure{}).Sends) != 0 {
		t.Error("a running entry started again or was refused")
	}
	if r := l.Complete(2*minute, send(0), ledger.Answer{Status: 201, Body: []byte("x")}); len(r.Sends) != 2 {
		t.Errorf("%d sends received the answer, want 2", len(r.Sends))
	}
	d := l.Admit(3*minute, arrival(3*minute, 2, k))
	expect(t, d, ledger.Replay, "", "")
	if d.Outcome.Status != 201 || string(d.Outcome.Body) != "x" {
		t.Errorf("replayed %+v", d.Outcome)
	}
	// A copy of an attached send must not add a replay to its answer.
	expect(t, l.Admit(3*minute, arrival(minute, 1, k)), ledger.Duplicate, "", "")
	reused := arrival(3*minute, 3, k)
	reused.BodyHash = 2
	expect(t, l.Admit(3*minute, reused), ledger.Refuse, api.CodeKeyReused, api.NotRun)
	expect(t, l.Admit(12*minute, arrival(12*minute, 4, k)), ledger.Refuse, api.CodeKeyExpired, api.RunUnknown)
}

func TestRefusalBeforeStartFreesKeyAndAddsTombstone(t *testing.T) {
	l := newLedger(0)
	k := boundKey(minute, 1)
	l.Admit(minute, arrival(minute, 0, k))
	if s := l.Start(2*time.Hour, send(0)); s.Run || s.Release.Failure.Run != api.NotRun {
		t.Fatalf("start after the deadline returned %+v", s)
	}
	l.Admit(minute, arrival(minute, 1, k))
	if r := l.Refuse(minute, send(1), api.Failure{Code: api.CodeQueueFull}); r.Failure.Run != api.NotRun {
		t.Fatalf("refusal %+v", r)
	}
	expect(t, l.Admit(minute, arrival(minute, 1, k)), ledger.Refuse, api.CodeTombstoned, api.NotRun)
	expect(t, l.Admit(minute, arrival(minute, 2, k)), ledger.Queue, "", "")
	expect(t, l.Admit(minute, arrival(minute, 1, k)), ledger.Refuse, api.CodeTombstoned, api.RunUnknown)
}

// After a query returned not_run, a copy of the send in transit must not run.
func TestQueryOfUnseenSendAddsTombstone(t *testing.T) {
	l := newLedger(0)
	k := boundKey(minute, 1)
	id := send(0)
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
		t.Errorf("query without a send returned %+v", o)
	}
}

func TestFullLedgerRefusesWithoutEarlyEviction(t *testing.T) {
	l := newLedger(0)
	for n := range 3 {
		expect(t, l.Admit(minute, arrival(minute, n, boundKey(minute, byte(n)))), ledger.Queue, "", "")
		l.Start(minute, send(n))
		l.Complete(minute, send(n), ledger.Answer{Body: make([]byte, 90)})
	}
	for n := 3; n < 9; n++ {
		a := arrival(minute, n, boundKey(minute, byte(n)))
		want := api.CodeLedgerFull
		if n > 6 {
			want = api.CodeTombstoned // the floor replaces further tombstones
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
	if s := l.Start(8*minute, send(2)); s.Run || s.Release.Failure.Code != api.CodeWrongIncarnation {
		t.Errorf("start under the previous incarnation: %+v", s)
	}
}

// A longer retention must not accept keys that were evicted under the previous
// one, because they may have run.
func TestLongerRetentionDoesNotReviveEvictedKeys(t *testing.T) {
	l := newLedger(0)
	k := boundKey(minute, 1)
	l.Admit(minute, arrival(minute, 0, k))
	l.Start(minute, send(0))
	l.Complete(minute, send(0), ledger.Answer{})
	l.Evict(11 * minute)
	longer := limits
	longer.Retention = time.Hour
	l.SetLimits(longer)
	expect(t, l.Admit(12*minute, arrival(12*minute, 1, k)), ledger.Refuse, api.CodeKeyExpired, api.RunUnknown)
}

package bench

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
)

// plainLedger is the baseline. It stores outcomes by key only and loses them on
// restart.
type plainLedger struct {
	entries map[string]*plainEntry
	keys    map[api.AttemptID]string
}

type plainEntry struct {
	owner   api.AttemptID
	outcome api.Outcome
}

func newPlainLedger() *plainLedger {
	return &plainLedger{entries: make(map[string]*plainEntry), keys: make(map[api.AttemptID]string)}
}

func (l *plainLedger) Admit(_ time.Duration, a ledger.Arrival) ledger.Decision {
	e, ok := l.entries[a.Key]
	switch {
	case !ok:
		l.entries[a.Key] = &plainEntry{owner: a.AttemptID}
		l.keys[a.AttemptID] = a.Key
		return ledger.Decision{Verdict: ledger.Queue, Owner: a.AttemptID}
	case e.outcome.Done:
		return ledger.Decision{Verdict: ledger.Replay, Owner: e.owner, Outcome: e.outcome}
	case e.owner == a.AttemptID:
		return ledger.Decision{Verdict: ledger.Duplicate, Owner: e.owner}
	}
	return ledger.Decision{Verdict: ledger.Join, Owner: e.owner}
}

func (l *plainLedger) Start(time.Duration, api.AttemptID) ledger.StartDecision {
	return ledger.StartDecision{Run: true}
}

func (l *plainLedger) Refuse(_ time.Duration, owner api.AttemptID, f api.Failure) ledger.Release {
	f.Run = api.NotRun
	delete(l.entries, l.keys[owner])
	return ledger.Release{Failure: &f}
}

func (l *plainLedger) Complete(_ time.Duration, owner api.AttemptID, a ledger.Response) ledger.Release {
	l.entries[l.keys[owner]].outcome = api.Outcome{Run: api.Ran, Done: true, Status: a.Status, Body: a.Body, BodyKept: true}
	return ledger.Release{}
}

func (l *plainLedger) Fail(now time.Duration, owner api.AttemptID, f api.Failure) ledger.Release {
	if f.Run == api.NotRun {
		return l.Refuse(now, owner, f)
	}
	l.entries[l.keys[owner]].outcome = api.Outcome{Run: f.Run, Done: true, Failure: &f}
	return ledger.Release{Failure: &f}
}

func (l *plainLedger) Query(_ time.Duration, q api.OutcomeQuery) api.Outcome {
	if e, ok := l.entries[q.Key]; ok {
		return e.outcome
	}
	return api.Outcome{Run: api.NotRun, Done: true, Failure: api.NewFailure(api.CodeNotFound, api.NotRun, "")}
}

func (l *plainLedger) SetList(time.Duration, []string) {}

func (l *plainLedger) ConfirmList(time.Duration) {}

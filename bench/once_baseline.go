package bench

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
)

// baselineLedger is the ledger of the baseline. It stores outcomes by key only, not
// by incarnation, and loses them on restart.
type baselineLedger struct {
	entries map[string]*baselineEntry
	keys    map[api.AttemptID]string
}

type baselineEntry struct {
	owner   api.AttemptID
	outcome api.Outcome
}

func newBaselineLedger() *baselineLedger {
	return &baselineLedger{entries: make(map[string]*baselineEntry), keys: make(map[api.AttemptID]string)}
}

func (l *baselineLedger) Admit(_ time.Duration, a ledger.Arrival) ledger.Decision {
	e, ok := l.entries[a.Key]
	switch {
	case !ok:
		l.entries[a.Key] = &baselineEntry{owner: a.AttemptID}
		l.keys[a.AttemptID] = a.Key
		return ledger.Decision{Verdict: ledger.Queue, Owner: a.AttemptID}
	case e.outcome.Done:
		return ledger.Decision{Verdict: ledger.Replay, Owner: e.owner, Outcome: e.outcome}
	case e.owner == a.AttemptID:
		return ledger.Decision{Verdict: ledger.Duplicate, Owner: e.owner}
	}
	return ledger.Decision{Verdict: ledger.Join, Owner: e.owner}
}

func (l *baselineLedger) Start(time.Duration, api.AttemptID) ledger.StartDecision {
	return ledger.StartDecision{Run: true}
}

func (l *baselineLedger) Refuse(_ time.Duration, owner api.AttemptID, f api.Failure) ledger.Release {
	f.Run = api.NotRun
	delete(l.entries, l.keys[owner])
	return ledger.Release{Failure: &f}
}

func (l *baselineLedger) Complete(_ time.Duration, owner api.AttemptID, a ledger.Response) ledger.Release {
	l.entries[l.keys[owner]].outcome = api.Outcome{Run: api.Ran, Done: true, Status: a.Status, Body: a.Body, BodyKept: true}
	return ledger.Release{}
}

func (l *baselineLedger) Fail(now time.Duration, owner api.AttemptID, f api.Failure) ledger.Release {
	if f.Run == api.NotRun {
		return l.Refuse(now, owner, f)
	}
	l.entries[l.keys[owner]].outcome = api.Outcome{Run: f.Run, Done: true, Failure: &f}
	return ledger.Release{Failure: &f}
}

func (l *baselineLedger) Query(_ time.Duration, q api.OutcomeQuery) api.Outcome {
	if e, ok := l.entries[q.Key]; ok {
		return e.outcome
	}
	return api.Outcome{Run: api.NotRun, Done: true, Failure: api.NewFailure(api.CodeNotFound, api.NotRun, "")}
}

func (l *baselineLedger) SetList(time.Duration, []string) {}

func (l *baselineLedger) ConfirmList(time.Duration) {}

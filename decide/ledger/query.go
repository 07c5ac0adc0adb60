package ledger

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// Query returns the outcome of a key or of one send. If the send has not
// arrived, Query first makes sure that it will never start.
func (l *Ledger) Query(now time.Duration, q api.OutcomeQuery) api.Outcome {
	l.Evict(now)
	key, err := idemkey.Parse(q.Key)
	if err != nil {
		return unknown(&api.Failure{Code: api.CodeKeyMalformed, Run: api.RunUnknown, Err: err})
	}
	s := sendInfo{key: key, scope: scopedKey{q.Member, q.Key}, incarnation: q.Incarnation, agentElapsed: q.AgentElapsed}
	e := l.entries[s.scope]
	if e != nil && e.phase == done {
		return e.outcome
	}
	if q.AttemptID == nil {
		return l.queryKey(now, s, e)
	}
	return l.querySend(now, s, e, *q.AttemptID)
}

// queryKey returns the outcome of a key without regard to a send. A send may
// still be in transit, so a missing entry does not prove that the key will not
// run.
func (l *Ledger) queryKey(now time.Duration, s sendInfo, e *entry) api.Outcome {
	if e != nil {
		return inProgress()
	}
	s.incarnation, s.agentElapsed = l.id.Incarnation, now
	if f := l.ruleOutRun(now, s); f != nil {
		return unknown(f)
	}
	return unknown(api.NewFailure(api.CodeNotFound, api.RunUnknown, "no send of this key has arrived"))
}

func (l *Ledger) querySend(now time.Duration, s sendInfo, e *entry, send api.AttemptID) api.Outcome {
	if o, ok := l.openBySend[send]; ok {
		if o != e {
			return unknown(api.NewFailure(api.CodeReplayed, api.RunUnknown, "the send ID is in use for another key"))
		}
		return inProgress()
	}
	failure := l.ruleOutRun(now, s)
	if failure == nil {
		t := tombstone{scope: s.scope, key: s.key, send: send, timestamp: s.timestamp()}
		if s.agentElapsed == 0 {
			// The query carries no agent time. The send was made before the query
			// arrived.
			t.timestamp = now
		}
		l.addTombstone(now, t)
	}
	if e != nil {
		return inProgress()
	}
	if failure != nil {
		return unknown(failure)
	}
	return api.Outcome{
		Run:     api.NotRun,
		Done:    true,
		Failure: api.NewFailure(api.CodeTombstoned, api.NotRun, "this send has not run and will not run"),
	}
}

func inProgress() api.Outcome {
	return unknown(api.NewFailure(api.CodeInProgress, api.RunUnknown, "the request is queued or running"))
}

func unknown(f *api.Failure) api.Outcome { return api.Outcome{Run: api.RunUnknown, Failure: f} }

package ledger

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// Query returns the outcome of a key or of one attempt. If the attempt has not
// arrived, Query first ensures that it will never start.
func (l *Ledger) Query(now time.Duration, q api.OutcomeQuery) api.Outcome {
	l.Evict(now)
	key, err := idemkey.Parse(q.Key)
	if err != nil {
		return unknown(&api.Failure{Code: api.CodeKeyMalformed, Run: api.RunUnknown, Err: err})
	}
	info := attemptInfo{key: key, scope: scopedKey{q.Member, q.Key}, incarnation: q.Incarnation, agentElapsed: q.AgentElapsed}
	e := l.entries[info.scope]
	if e != nil && e.phase == done {
		return e.outcome
	}
	if q.AttemptID == nil {
		return l.queryKey(now, info, e)
	}
	return l.queryAttempt(now, info, e, *q.AttemptID)
}

// queryKey returns the outcome of a key without an entry that is done. It never
// reports not_run, because an attempt may be in transit and run later.
func (l *Ledger) queryKey(now time.Duration, info attemptInfo, e *entry) api.Outcome {
	if e != nil {
		return inProgress()
	}
	info.incarnation, info.agentElapsed = l.id.Incarnation, now
	if f := l.ruleOutEarlierRun(now, info); f != nil {
		return unknown(f)
	}
	return unknown(api.NewFailure(api.CodeNotFound, api.RunUnknown, "no attempt with this key has arrived"))
}

// queryAttempt returns the outcome of one attempt of a key without an entry that is
// done.
func (l *Ledger) queryAttempt(now time.Duration, info attemptInfo, e *entry, id api.AttemptID) api.Outcome {
	if o, ok := l.openByAttempt[id]; ok {
		if o != e {
			return unknown(api.NewFailure(api.CodeReplayed, api.RunUnknown, "the attempt ID is in use for another key"))
		}
		return inProgress()
	}
	failure := l.ruleOutEarlierRun(now, info)
	if failure == nil {
		t := tombstone{scope: info.scope, key: info.key, attempt: id, timestamp: info.timestamp()}
		if info.agentElapsed == 0 {
			// The query carries no agent time. The attempt was made before the query
			// arrived, so now is an upper bound of its timestamp.
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
		Failure: api.NewFailure(api.CodeTombstoned, api.NotRun, "this attempt has not run and will not run"),
	}
}

func inProgress() api.Outcome {
	return unknown(api.NewFailure(api.CodeInProgress, api.RunUnknown, "the request is queued or running"))
}

func unknown(f *api.Failure) api.Outcome { return api.Outcome{Run: api.RunUnknown, Failure: f} }

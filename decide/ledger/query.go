package ledger

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// Query answers what became of a key or of one send. For a send it has not
// seen, it first makes sure that the send will never start.
func (l *Ledger) Query(now time.Duration, q api.OutcomeQuery) api.Outcome {
	l.Evict(now)
	key, err := idemkey.Parse(q.Key)
	if err != nil {
		return unknown(&api.Failure{Code: api.CodeKeyMalformed, Run: api.Unknown, Err: err})
	}
	c := claim{key: key, scope: scope{q.Member, q.Key}, incarnation: q.Incarnation, echo: q.AgentElapsed}
	e := l.entries[c.scope]
	if e != nil && e.phase == done {
		return e.outcome
	}
	if q.Send == nil {
		return l.queryKey(now, c, e)
	}
	return l.querySend(now, c, e, *q.Send)
}

// queryKey answers for a key alone. A send of it may still be on its way, so
// that absence proves nothing.
func (l *Ledger) queryKey(now time.Duration, c claim, e *entry) api.Outcome {
	if e != nil {
		return inProgress()
	}
	c.incarnation, c.echo = l.id.Incarnation, now
	if f := l.disprove(now, c); f != nil {
		return unknown(f)
	}
	return unknown(api.Fail(api.CodeNotFound, api.Unknown, "no send of this key has arrived"))
}

func (l *Ledger) querySend(now time.Duration, c claim, e *entry, send api.SendID) api.Outcome {
	if o, ok := l.open[send]; ok {
		if o != e {
			return unknown(api.Fail(api.CodeReplayed, api.Unknown, "the send id belongs to another key"))
		}
		return inProgress()
	}
	failure := l.disprove(now, c)
	if failure == nil {
		t := tombstone{scope: c.scope, key: c.key, send: send, stamp: c.stamp()}
		if c.echo == 0 {
			// The send was made before this query arrived.
			t.stamp = now
		}
		l.bury(now, t)
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
		Failure: api.Fail(api.CodeTombstoned, api.NotRun, "this send did not run and will not"),
	}
}

func inProgress() api.Outcome {
	return unknown(api.Fail(api.CodeInProgress, api.Unknown, "the request is queued or running"))
}

func unknown(f *api.Failure) api.Outcome { return api.Outcome{Run: api.Unknown, Failure: f} }

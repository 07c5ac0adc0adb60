package ledger

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Start checks an entry immediately before its request is sent to the upstream.
func (l *Ledger) Start(now time.Duration, owner api.AttemptID) StartDecision {
	e, ok := l.openByAttempt[owner]
	if !ok || e.phase != queued {
		return StartDecision{}
	}
	if f := l.checkStart(now, e); f != nil {
		return StartDecision{Release: l.release(now, e, f)}
	}
	e.phase = running
	return StartDecision{Run: true}
}

func (l *Ledger) checkStart(now time.Duration, e *entry) *api.Failure {
	switch {
	case e.incarnation != l.id.Incarnation:
		return api.NewFailure(api.CodeWrongIncarnation, api.NotRun, "the agent's incarnation changed while the request waited")
	case e.key.Bound != nil && now-e.key.Bound.Issued >= l.limits.Retention:
		return api.NewFailure(api.CodeKeyExpired, api.NotRun, "the key expired while the request waited")
	case now >= e.deadline():
		return api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed while the request waited")
	}
	return nil
}

// deadline returns the latest deadline of the attempts that were not canceled.
func (e *entry) deadline() time.Duration {
	var latest time.Duration
	for _, attached := range e.attempts {
		if !attached.canceled {
			latest = max(latest, attached.deadline)
		}
	}
	return latest
}

// Refuse removes an entry that has not started, because the queue was full or
// was drained. Another attempt may then use the key.
func (l *Ledger) Refuse(now time.Duration, owner api.AttemptID, f api.Failure) Release {
	e, ok := l.openByAttempt[owner]
	if !ok || e.phase != queued {
		return Release{}
	}
	f.Run = api.NotRun
	return l.release(now, e, &f)
}

// Cancel records that an attempt was canceled. An entry that has not started is
// removed when all of its attempts are canceled.
func (l *Ledger) Cancel(now time.Duration, id api.AttemptID) Release {
	e, ok := l.openByAttempt[id]
	if !ok {
		return Release{}
	}
	waiting := false
	for i := range e.attempts {
		if e.attempts[i].id == id {
			e.attempts[i].canceled = true
		}
		waiting = waiting || !e.attempts[i].canceled
	}
	if waiting || e.phase != queued {
		return Release{}
	}
	return l.release(now, e, api.NewFailure(api.CodeCanceled, api.NotRun, "all attempts were canceled"))
}

// Complete records a complete response. A response above Limits.ResponseBytes is
// recorded without headers and body.
func (l *Ledger) Complete(now time.Duration, owner api.AttemptID, a Response) Release {
	o := api.Outcome{Run: api.Ran, Done: true, Status: a.Status}
	if size := responseSize(a); size <= l.limits.ResponseBytes {
		o.Headers, o.Body, o.BodyKept = a.Headers, a.Body, true
	}
	return l.finish(now, owner, o)
}

// Fail records the failure of a run. The key is released if the failure proves
// that the upstream never received the request.
func (l *Ledger) Fail(now time.Duration, owner api.AttemptID, f api.Failure) Release {
	e, ok := l.openByAttempt[owner]
	if !ok || e.phase != running {
		return Release{}
	}
	if f.Run == api.NotRun {
		return l.release(now, e, &f)
	}
	return l.finish(now, owner, api.Outcome{Run: f.Run, Done: true, Failure: &f})
}

func (l *Ledger) finish(now time.Duration, owner api.AttemptID, o api.Outcome) Release {
	e, ok := l.openByAttempt[owner]
	if !ok || e.phase != running {
		return Release{}
	}
	size := 0
	if o.BodyKept {
		size = responseSize(Response{Headers: o.Headers, Body: o.Body})
	}
	l.bytes += size - e.bytes
	e.bytes, e.phase, e.outcome, e.closedAt = size, done, o, now
	l.retain(record{expiresAt: now + l.limits.retentionOf(e.key), closedAt: now, entry: e})
	return Release{Attempts: l.detach(e), Failure: o.Failure}
}

// release removes an entry that did not run and adds tombstones for its attempts.
func (l *Ledger) release(now time.Duration, e *entry, f *api.Failure) Release {
	ids := l.detach(e)
	l.remove(e)
	for _, attached := range e.attempts {
		l.addTombstone(now, tombstone{scope: e.scope, key: e.key, attempt: attached.id, timestamp: attached.timestamp})
	}
	return Release{Attempts: ids, Failure: f}
}

// detach returns the attempts of an entry and removes them from the open attempts.
func (l *Ledger) detach(e *entry) []api.AttemptID {
	ids := make([]api.AttemptID, 0, len(e.attempts))
	for _, attached := range e.attempts {
		delete(l.openByAttempt, attached.id)
		ids = append(ids, attached.id)
	}
	return ids
}

func (l *Ledger) remove(e *entry) {
	delete(l.entries, e.scope)
	l.bytes -= e.bytes
	l.member(e.scope.member).entries--
}

// responseSize returns the size of a response in the ledger in bytes.
func responseSize(a Response) int {
	size := len(a.Body)
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

package ledger

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Start checks an entry immediately before its request is sent to the upstream.
func (l *Ledger) Start(now time.Duration, owner api.AttemptID) StartDecision {
	e, ok := l.openBySend[owner]
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

// deadline returns the latest deadline of the sends that were not canceled.
func (e *entry) deadline() time.Duration {
	var latest time.Duration
	for _, w := range e.sends {
		if !w.canceled {
			latest = max(latest, w.deadline)
		}
	}
	return latest
}

// Refuse removes an entry that has not started, because the queue was full or
// was drained. The key can then be used by another send.
func (l *Ledger) Refuse(now time.Duration, owner api.AttemptID, f api.Failure) Release {
	e, ok := l.openBySend[owner]
	if !ok || e.phase != queued {
		return Release{}
	}
	f.Run = api.NotRun
	return l.release(now, e, &f)
}

// Cancel records that a send was canceled. An entry that has not started is
// removed when all of its sends are canceled.
func (l *Ledger) Cancel(now time.Duration, send api.AttemptID) Release {
	e, ok := l.openBySend[send]
	if !ok {
		return Release{}
	}
	waiting := false
	for i := range e.sends {
		if e.sends[i].send == send {
			e.sends[i].canceled = true
		}
		waiting = waiting || !e.sends[i].canceled
	}
	if waiting || e.phase != queued {
		return Release{}
	}
	return l.release(now, e, api.NewFailure(api.CodeCanceled, api.NotRun, "all sends were canceled"))
}

// Complete records a complete answer.
func (l *Ledger) Complete(now time.Duration, owner api.AttemptID, a Answer) Release {
	o := api.Outcome{Run: api.Ran, Done: true, Status: a.Status}
	if size := answerSize(a); size <= l.limits.AnswerBytes {
		o.Headers, o.Body, o.BodyKept = a.Headers, a.Body, true
	}
	return l.finish(now, owner, o)
}

// Fail records the failure of a run. The key is released if the failure proves
// that the upstream never received the request.
func (l *Ledger) Fail(now time.Duration, owner api.AttemptID, f api.Failure) Release {
	e, ok := l.openBySend[owner]
	if !ok || e.phase != running {
		return Release{}
	}
	if f.Run == api.NotRun {
		return l.release(now, e, &f)
	}
	return l.finish(now, owner, api.Outcome{Run: f.Run, Done: true, Failure: &f})
}

func (l *Ledger) finish(now time.Duration, owner api.AttemptID, o api.Outcome) Release {
	e, ok := l.openBySend[owner]
	if !ok || e.phase != running {
		return Release{}
	}
	size := 0
	if o.BodyKept {
		size = answerSize(Answer{Headers: o.Headers, Body: o.Body})
	}
	l.bytes += size - e.bytes
	e.bytes, e.phase, e.outcome, e.closedAt = size, done, o, now
	l.retain(record{expiresAt: now + l.limits.retentionOf(e.key), closedAt: now, entry: e})
	return Release{Sends: l.detach(e), Failure: o.Failure}
}

// release removes an entry that did not run and adds tombstones for its sends.
func (l *Ledger) release(now time.Duration, e *entry, f *api.Failure) Release {
	sends := l.detach(e)
	l.remove(e)
	for _, w := range e.sends {
		l.addTombstone(now, tombstone{scope: e.scope, key: e.key, send: w.send, timestamp: w.timestamp})
	}
	return Release{Sends: sends, Failure: f}
}

// detach returns the sends of an entry and removes them from the open sends.
func (l *Ledger) detach(e *entry) []api.AttemptID {
	sends := make([]api.AttemptID, 0, len(e.sends))
	for _, w := range e.sends {
		delete(l.openBySend, w.send)
		sends = append(sends, w.send)
	}
	return sends
}

func (l *Ledger) remove(e *entry) {
	delete(l.entries, e.scope)
	l.bytes -= e.bytes
	l.member(e.scope.member).entries--
}

// answerSize returns the bytes that an answer takes in the ledger.
func answerSize(a Answer) int {
	size := len(a.Body)
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

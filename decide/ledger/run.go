package ledger

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Start checks an entry immediately before its request goes to the upstream.
func (l *Ledger) Start(now time.Duration, owner api.SendID) Start {
	e, ok := l.open[owner]
	if !ok || e.phase != queued {
		return Start{}
	}
	if f := l.checkStart(now, e); f != nil {
		return Start{Release: l.release(now, e, f)}
	}
	e.phase = running
	return Start{Run: true}
}

func (l *Ledger) checkStart(now time.Duration, e *entry) *api.Failure {
	switch {
	case e.incarnation != l.id.Incarnation:
		return api.Fail(api.CodeWrongIncarnation, api.NotRun, "the incarnation ended while the request waited")
	case e.key.Bound != nil && now-e.key.Bound.Issued >= l.limits.Retention:
		return api.Fail(api.CodeKeyExpired, api.NotRun, "the key expired while the request waited")
	case now >= e.deadline():
		return api.Fail(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed while the request waited")
	}
	return nil
}

// deadline is that of the send that waits longest.
func (e *entry) deadline() time.Duration {
	var latest time.Duration
	for _, w := range e.sends {
		if !w.canceled {
			latest = max(latest, w.deadline)
		}
	}
	return latest
}

// Refuse gives up an entry that has not started: its queue was full, or it was
// drained. The key is free again for another send.
func (l *Ledger) Refuse(now time.Duration, owner api.SendID, f api.Failure) Release {
	e, ok := l.open[owner]
	if !ok || e.phase != queued {
		return Release{}
	}
	f.Run = api.NotRun
	return l.release(now, e, &f)
}

// Cancel notes that nobody waits for a send any more. An entry that has not
// started is given up with the last of its sends.
func (l *Ledger) Cancel(now time.Duration, send api.SendID) Release {
	e, ok := l.open[send]
	if !ok {
		return Release{}
	}
	waits := false
	for i := range e.sends {
		if e.sends[i].send == send {
			e.sends[i].canceled = true
		}
		waits = waits || !e.sends[i].canceled
	}
	if waits || e.phase != queued {
		return Release{}
	}
	return l.release(now, e, api.Fail(api.CodeCanceled, api.NotRun, "all sends were canceled"))
}

// Complete records a whole answer.
func (l *Ledger) Complete(now time.Duration, owner api.SendID, a Answer) Release {
	o := api.Outcome{Run: api.Ran, Done: true, Status: a.Status}
	if size := answerBytes(a); size <= l.limits.AnswerBytes {
		o.Headers, o.Body, o.BodyKept = a.Headers, a.Body, true
	}
	return l.finish(now, owner, o)
}

// Fail records the failure of a run. A failure that proves that the upstream
// never got the request releases the key.
func (l *Ledger) Fail(now time.Duration, owner api.SendID, f api.Failure) Release {
	e, ok := l.open[owner]
	if !ok || e.phase != running {
		return Release{}
	}
	if f.Run == api.NotRun {
		return l.release(now, e, &f)
	}
	return l.finish(now, owner, api.Outcome{Run: f.Run, Done: true, Failure: &f})
}

func (l *Ledger) finish(now time.Duration, owner api.SendID, o api.Outcome) Release {
	e, ok := l.open[owner]
	if !ok || e.phase != running {
		return Release{}
	}
	size := 0
	if o.BodyKept {
		size = answerBytes(Answer{Headers: o.Headers, Body: o.Body})
	}
	l.bytes += size - e.bytes
	e.bytes, e.phase, e.outcome, e.closed = size, done, o, now
	l.retain(record{expires: now + l.limits.keep(e.key), closed: now, entry: e})
	return Release{Sends: l.detach(e), Failure: o.Failure}
}

// release frees the key of an entry that did not run and buries its sends.
func (l *Ledger) release(now time.Duration, e *entry, f *api.Failure) Release {
	sends := l.detach(e)
	l.remove(e)
	for _, w := range e.sends {
		l.bury(now, tombstone{scope: e.scope, key: e.key, send: w.send, stamp: w.stamp})
	}
	return Release{Sends: sends, Failure: f}
}

// detach returns the sends of an entry, which no longer wait for it.
func (l *Ledger) detach(e *entry) []api.SendID {
	sends := make([]api.SendID, 0, len(e.sends))
	for _, w := range e.sends {
		delete(l.open, w.send)
		sends = append(sends, w.send)
	}
	return sends
}

func (l *Ledger) remove(e *entry) {
	delete(l.entries, e.scope)
	l.bytes -= e.bytes
	l.member(e.scope.member).entries--
}

// answerBytes is the space that an answer takes in the ledger.
func answerBytes(a Answer) int {
	size := len(a.Body)
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

package ledger

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// Arrive decides about an order that reached the agent.
func (l *Ledger) Arrive(now time.Duration, a Arrival) Decision {
	l.Evict(now)
	key, err := idemkey.Parse(a.Key)
	if err != nil {
		return refuse(&api.Failure{Code: api.CodeKeyMalformed, Run: api.NotRun, Err: err})
	}
	c := claim{key: key, scope: scope{a.Member, a.Key}, incarnation: a.Incarnation, echo: a.AgentElapsed}
	if o, ok := l.open[a.Send]; ok && o.scope != c.scope {
		return refuse(api.Fail(api.CodeReplayed, api.Unknown, "the send id belongs to another key"))
	}
	e := l.entries[c.scope]
	if _, ok := l.tombstones[a.Send]; ok {
		return refuse(api.Fail(api.CodeTombstoned, l.unlessRun(now, c, e), "this send was refused before"))
	}
	if e != nil {
		return l.arriveAgain(now, a, c, e)
	}
	return l.arriveFirst(now, a, c)
}

// arriveFirst handles a key that has no entry.
func (l *Ledger) arriveFirst(now time.Duration, a Arrival, c claim) Decision {
	if f := l.disprove(now, c); f != nil {
		if f.Code == api.CodeKeyNotBound {
			// The caller may go on with the fresh key, so that no late copy of
			// this send may run once the evidence is better.
			l.bury(now, tombstone{scope: c.scope, key: c.key, send: a.Send, stamp: c.stamp()})
			f.BoundKey = l.freshKey(now, a.Random)
		}
		return refuse(f)
	}
	if l.underFloor(a.Member, c.stamp()) {
		return refuse(api.Fail(api.CodeTombstoned, api.NotRun, "sends of this age are refused, send again"))
	}
	t := tombstone{scope: c.scope, key: c.key, send: a.Send, stamp: c.stamp()}
	if now >= a.Deadline {
		l.bury(now, t)
		return refuse(api.Fail(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed before the request arrived"))
	}
	if l.full(a.Member) {
		l.bury(now, t)
		return refuse(api.Fail(api.CodeLedgerFull, api.NotRun, "no room to record another outcome"))
	}
	l.add(a, c)
	return Decision{Verdict: Queue, Owner: a.Send}
}

func (l *Ledger) add(a Arrival, c claim) {
	e := &entry{
		scope:       c.scope,
		key:         c.key,
		bodyHash:    a.BodyHash,
		incarnation: l.id.Incarnation,
		bytes:       l.limits.AnswerBytes,
		sends:       []waiting{{send: a.Send, stamp: c.stamp(), deadline: a.Deadline}},
	}
	l.entries[c.scope] = e
	l.open[a.Send] = e
	l.bytes += e.bytes
	l.member(a.Member).entries++
	l.counts.EntriesMax = max(l.counts.EntriesMax, len(l.entries))
	l.counts.BytesMax = max(l.counts.BytesMax, l.bytes)
}

// arriveAgain handles a key that has an entry.
func (l *Ledger) arriveAgain(now time.Duration, a Arrival, c claim, e *entry) Decision {
	if e.answers(a.Send) && a.BodyHash == e.bodyHash {
		return Decision{Verdict: Duplicate, Owner: e.sends[0].send}
	}
	if a.BodyHash != e.bodyHash {
		return l.refuseReused(now, a, c)
	}
	if e.phase == done {
		return Decision{Verdict: Replay, Owner: e.sends[0].send, Outcome: e.outcome}
	}
	if f := l.mayJoin(now, a, c, e); f != nil {
		return refuse(f)
	}
	e.sends = append(e.sends, waiting{send: a.Send, stamp: c.stamp(), deadline: a.Deadline})
	l.open[a.Send] = e
	return Decision{Verdict: Join, Owner: e.sends[0].send}
}

// answers reports whether the answer of the entry went or will go to a send. A
// copy of such a send gets no replay, because the recorded answer is cut into
// other chunks than the one that is under way.
func (e *entry) answers(send api.SendID) bool {
	return slices.ContainsFunc(e.sends, func(w waiting) bool { return w.send == send })
}

// mayJoin refuses sends that must not keep an entry alive. A send that could
// not open an entry may be a copy of one whose tombstone was evicted.
func (l *Ledger) mayJoin(now time.Duration, a Arrival, c claim, e *entry) *api.Failure {
	switch {
	case l.disprove(now, c) != nil:
		return api.Fail(api.CodeInProgress, api.Unknown, "the key is in progress and this send came too late to wait for it")
	case l.underFloor(a.Member, c.stamp()):
		return api.Fail(api.CodeTombstoned, api.Unknown, "sends of this age are refused, the key is in progress")
	case now >= a.Deadline:
		return api.Fail(api.CodeDeadlineExceeded, api.Unknown, "the key is in progress")
	case len(e.sends) >= l.limits.JoinedSends:
		return api.Fail(api.CodeInProgress, api.Unknown, "too many sends wait for this key")
	}
	return nil
}

// refuseReused refuses a key that came with another body. The body of this
// send did not run under the key, unless an earlier entry may have been evicted.
func (l *Ledger) refuseReused(now time.Duration, a Arrival, c claim) Decision {
	run := api.Unknown
	if _, live := l.open[a.Send]; !live && l.disprove(now, c) == nil {
		l.bury(now, tombstone{scope: c.scope, key: c.key, send: a.Send, stamp: c.stamp()})
		run = api.NotRun
	}
	return refuse(api.Fail(api.CodeKeyReused, run, "the key was used for another request"))
}

func (l *Ledger) freshKey(now time.Duration, random [idemkey.RandomBytes]byte) string {
	b, err := idemkey.New(l.id.Upstream, l.id.Incarnation, now, random)
	if err != nil {
		return ""
	}
	return b.String()
}

func refuse(f *api.Failure) Decision { return Decision{Verdict: Refuse, Failure: f} }

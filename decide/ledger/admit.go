package ledger

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// Admit decides how to handle an order that arrived at the agent.
func (l *Ledger) Admit(now time.Duration, a Arrival) Decision {
	l.Evict(now)
	key, err := idemkey.Parse(a.Key)
	if err != nil {
		return refuse(&api.Failure{Code: api.CodeKeyMalformed, Run: api.NotRun, Err: err})
	}
	s := sendInfo{key: key, scope: scopedKey{a.Member, a.Key}, incarnation: a.Incarnation, agentElapsed: a.AgentElapsed}
	if o, ok := l.openBySend[a.Send]; ok && o.scope != s.scope {
		return refuse(api.NewFailure(api.CodeReplayed, api.RunUnknown, "the send ID is in use for another key"))
	}
	e := l.entries[s.scope]
	if _, ok := l.tombstones[a.Send]; ok {
		return refuse(api.NewFailure(api.CodeTombstoned, l.runStateOfRefusal(now, s, e), "this send was already refused"))
	}
	if e != nil {
		return l.admitExisting(now, a, s, e)
	}
	return l.admitNew(now, a, s)
}

// admitNew handles an arrival whose key has no entry.
func (l *Ledger) admitNew(now time.Duration, a Arrival, s sendInfo) Decision {
	if f := l.ruleOutRun(now, s); f != nil {
		if f.Code == api.CodeKeyNotBound {
			// The caller may continue with the new key. The tombstone keeps a
			// late copy of this send from running once the evidence suffices.
			l.addTombstone(now, tombstone{scope: s.scope, key: s.key, send: a.Send, timestamp: s.timestamp()})
			f.BoundKey = l.newBoundKey(now, a.Random)
		}
		return refuse(f)
	}
	if l.belowFloor(a.Member, s.timestamp()) {
		return refuse(api.NewFailure(api.CodeTombstoned, api.NotRun, "sends of this age are refused; send the request again"))
	}
	t := tombstone{scope: s.scope, key: s.key, send: a.Send, timestamp: s.timestamp()}
	if now >= a.Deadline {
		l.addTombstone(now, t)
		return refuse(api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed before the request arrived"))
	}
	if l.isFull(a.Member) {
		l.addTombstone(now, t)
		return refuse(api.NewFailure(api.CodeLedgerFull, api.NotRun, "the ledger is full and cannot record another outcome"))
	}
	l.add(a, s)
	return Decision{Verdict: Queue, Owner: a.Send}
}

func (l *Ledger) add(a Arrival, s sendInfo) {
	e := &entry{
		scope:       s.scope,
		key:         s.key,
		bodyHash:    a.BodyHash,
		incarnation: l.id.Incarnation,
		bytes:       l.limits.AnswerBytes,
		sends:       []attachedSend{{send: a.Send, timestamp: s.timestamp(), deadline: a.Deadline}},
	}
	l.entries[s.scope] = e
	l.openBySend[a.Send] = e
	l.bytes += e.bytes
	l.member(a.Member).entries++
	l.counts.EntriesMax = max(l.counts.EntriesMax, len(l.entries))
	l.counts.BytesMax = max(l.counts.BytesMax, l.bytes)
}

// admitExisting handles an arrival whose key has an entry.
func (l *Ledger) admitExisting(now time.Duration, a Arrival, s sendInfo, e *entry) Decision {
	if e.hasSend(a.Send) && a.BodyHash == e.bodyHash {
		return Decision{Verdict: Duplicate, Owner: e.sends[0].send}
	}
	if a.BodyHash != e.bodyHash {
		return l.refuseReusedKey(now, a, s)
	}
	if e.phase == done {
		return Decision{Verdict: Replay, Owner: e.sends[0].send, Outcome: e.outcome}
	}
	if f := l.checkJoin(now, a, s, e); f != nil {
		return refuse(f)
	}
	e.sends = append(e.sends, attachedSend{send: a.Send, timestamp: s.timestamp(), deadline: a.Deadline})
	l.openBySend[a.Send] = e
	return Decision{Verdict: Join, Owner: e.sends[0].send}
}

// hasSend reports whether a send is attached to the entry. A copy of such a
// send is not answered with a replay, because the recorded answer is divided
// into other chunks than the answer that the first copy receives.
func (e *entry) hasSend(send api.AttemptID) bool {
	return slices.ContainsFunc(e.sends, func(w attachedSend) bool { return w.send == send })
}

// checkJoin returns the failure for a send that must not join an entry. A send
// that could not create an entry is refused as well, because it may be a copy
// of one whose tombstone was evicted.
func (l *Ledger) checkJoin(now time.Duration, a Arrival, s sendInfo, e *entry) *api.Failure {
	switch {
	case l.ruleOutRun(now, s) != nil:
		return api.NewFailure(api.CodeInProgress, api.RunUnknown, "the key is in progress and this send arrived too late to wait for it")
	case l.belowFloor(a.Member, s.timestamp()):
		return api.NewFailure(api.CodeTombstoned, api.RunUnknown, "sends of this age are refused; the key is in progress")
	case now >= a.Deadline:
		return api.NewFailure(api.CodeDeadlineExceeded, api.RunUnknown, "the deadline passed before the request arrived; the key is in progress")
	case len(e.sends) >= l.limits.JoinedSends:
		return api.NewFailure(api.CodeInProgress, api.RunUnknown, "too many sends wait for this key")
	}
	return nil
}

// refuseReusedKey refuses a send whose body differs from the first body of its
// key. This body did not run under the key, unless an earlier entry may have
// been evicted.
func (l *Ledger) refuseReusedKey(now time.Duration, a Arrival, s sendInfo) Decision {
	run := api.RunUnknown
	if _, open := l.openBySend[a.Send]; !open && l.ruleOutRun(now, s) == nil {
		l.addTombstone(now, tombstone{scope: s.scope, key: s.key, send: a.Send, timestamp: s.timestamp()})
		run = api.NotRun
	}
	return refuse(api.NewFailure(api.CodeKeyReused, run, "the key was already used for another request"))
}

func (l *Ledger) newBoundKey(now time.Duration, random [idemkey.RandomBytes]byte) string {
	b, err := idemkey.New(l.id.Upstream, l.id.Incarnation, now, random)
	if err != nil {
		return ""
	}
	return b.String()
}

func refuse(f *api.Failure) Decision { return Decision{Verdict: Refuse, Failure: f} }

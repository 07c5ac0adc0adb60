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
	info := attemptInfo{key: key, scope: scopedKey{a.Member, a.Key}, incarnation: a.Incarnation, agentElapsed: a.AgentElapsed}
	if o, ok := l.openByAttempt[a.AttemptID]; ok && o.scope != info.scope {
		return refuse(api.NewFailure(api.CodeReplayed, api.RunUnknown, "the attempt ID is in use for another key"))
	}
	e := l.entries[info.scope]
	if _, ok := l.tombstones[a.AttemptID]; ok {
		return refuse(api.NewFailure(api.CodeTombstoned, l.runStateOfRefusal(now, info, e), "this attempt was already refused"))
	}
	if e != nil {
		return l.admitExisting(now, a, info, e)
	}
	return l.admitNew(now, a, info)
}

// admitNew handles an arrival whose key has no entry.
func (l *Ledger) admitNew(now time.Duration, a Arrival, info attemptInfo) Decision {
	if f := l.ruleOutEarlierRun(now, info); f != nil {
		if f.Code == api.CodeKeyNotBound {
			// The caller may retry under the new key. The tombstone prevents a late
			// copy of this attempt from running once there is enough evidence.
			l.addTombstone(now, tombstone{scope: info.scope, key: info.key, attempt: a.AttemptID, timestamp: info.timestamp()})
			f.BoundKey = l.newBoundKey(now, a.Random)
		}
		return refuse(f)
	}
	if l.belowFloor(a.Member, info.timestamp()) {
		return refuse(api.NewFailure(api.CodeTombstoned, api.NotRun, "the attempt is too old to be accepted; send the request again"))
	}
	t := tombstone{scope: info.scope, key: info.key, attempt: a.AttemptID, timestamp: info.timestamp()}
	if now >= a.Deadline {
		l.addTombstone(now, t)
		return refuse(api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed before the request arrived"))
	}
	if l.isFull(a.Member) {
		l.addTombstone(now, t)
		return refuse(api.NewFailure(api.CodeLedgerFull, api.NotRun, "the ledger is full and cannot record another outcome"))
	}
	l.add(a, info)
	return Decision{Verdict: Queue, Owner: a.AttemptID}
}

func (l *Ledger) add(a Arrival, info attemptInfo) {
	e := &entry{
		scope:       info.scope,
		key:         info.key,
		bodyHash:    a.BodyHash,
		incarnation: l.id.Incarnation,
		bytes:       l.limits.ResponseBytes,
		attempts:    []attachedAttempt{{id: a.AttemptID, timestamp: info.timestamp(), deadline: a.Deadline}},
	}
	l.entries[info.scope] = e
	l.openByAttempt[a.AttemptID] = e
	l.bytes += e.bytes
	l.member(a.Member).entries++
	l.counts.EntriesMax = max(l.counts.EntriesMax, len(l.entries))
	l.counts.BytesMax = max(l.counts.BytesMax, l.bytes)
}

// admitExisting handles an arrival whose key has an entry.
func (l *Ledger) admitExisting(now time.Duration, a Arrival, info attemptInfo, e *entry) Decision {
	if e.hasAttempt(a.AttemptID) && a.BodyHash == e.bodyHash {
		return Decision{Verdict: Duplicate, Owner: e.attempts[0].id}
	}
	if a.BodyHash != e.bodyHash {
		return l.refuseReusedKey(now, a, info)
	}
	if e.phase == done {
		return Decision{Verdict: Replay, Owner: e.attempts[0].id, Outcome: e.outcome}
	}
	if f := l.checkJoin(now, a, info, e); f != nil {
		return refuse(f)
	}
	e.attempts = append(e.attempts, attachedAttempt{id: a.AttemptID, timestamp: info.timestamp(), deadline: a.Deadline})
	l.openByAttempt[a.AttemptID] = e
	return Decision{Verdict: Join, Owner: e.attempts[0].id}
}

// hasAttempt reports whether an attempt is attached to the entry. A copy of such
// an attempt is dropped instead of receiving a replay, because the recorded response
// is split into chunks differently.
func (e *entry) hasAttempt(id api.AttemptID) bool {
	return slices.ContainsFunc(e.attempts, func(a attachedAttempt) bool { return a.id == id })
}

// checkJoin returns the failure of an attempt that must not join an entry, or nil.
// It also refuses an attempt that could not create an entry, because it may be a
// copy of an attempt whose tombstone was evicted.
func (l *Ledger) checkJoin(now time.Duration, a Arrival, info attemptInfo, e *entry) *api.Failure {
	switch {
	case l.ruleOutEarlierRun(now, info) != nil:
		return api.NewFailure(api.CodeInProgress, api.RunUnknown, "the key is in progress and this attempt arrived too late to wait for it")
	case l.belowFloor(a.Member, info.timestamp()):
		return api.NewFailure(api.CodeTombstoned, api.RunUnknown, "the attempt is too old to be accepted; the key is in progress")
	case now >= a.Deadline:
		return api.NewFailure(api.CodeDeadlineExceeded, api.RunUnknown, "the deadline passed before the request arrived; the key is in progress")
	case len(e.attempts) >= l.limits.JoinedAttempts:
		return api.NewFailure(api.CodeInProgress, api.RunUnknown, "too many attempts wait for this key")
	}
	return nil
}

// refuseReusedKey refuses an attempt whose body differs from the body of the
// entry. The run state is not_run unless the body may have run under an earlier
// entry that was evicted.
func (l *Ledger) refuseReusedKey(now time.Duration, a Arrival, info attemptInfo) Decision {
	run := api.RunUnknown
	if _, open := l.openByAttempt[a.AttemptID]; !open && l.ruleOutEarlierRun(now, info) == nil {
		l.addTombstone(now, tombstone{scope: info.scope, key: info.key, attempt: a.AttemptID, timestamp: info.timestamp()})
		run = api.NotRun
	}
	return refuse(api.NewFailure(api.CodeKeyReused, run, "the key was already used for another request"))
}

// newBoundKey returns a new key that is bound to this upstream, or an empty string
// if the upstream's name or the time is not valid in a key.
func (l *Ledger) newBoundKey(now time.Duration, random [idemkey.RandomBytes]byte) string {
	b, err := idemkey.New(l.id.Upstream, l.id.Incarnation, now, random)
	if err != nil {
		return ""
	}
	return b.String()
}

func refuse(f *api.Failure) Decision { return Decision{Verdict: Refuse, Failure: f} }

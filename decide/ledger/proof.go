package ledger

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// claim is what an order or a query says about a send.
type claim struct {
	key         idemkey.Key
	scope       scope
	incarnation api.Incarnation
	// echo is the agent's elapsed time that the order carries.
	echo time.Duration
}

// stamp dates a send on the agent's clock, never later than it was made. Each
// copy of a send has the same stamp.
func (c claim) stamp() time.Duration {
	if c.key.Bound != nil {
		return max(c.echo, c.key.Bound.Issued)
	}
	return c.echo
}

// disprove returns nil if no run of a key without an entry can have happened,
// or the refusal to give if one may have.
func (l *Ledger) disprove(now time.Duration, c claim) *api.Failure {
	if c.incarnation != l.id.Incarnation {
		return api.Fail(api.CodeWrongIncarnation, api.Unknown, "the order is for another incarnation")
	}
	if c.stamp() > now {
		return api.Fail(api.CodeKeyMalformed, api.Unknown, "the order is dated after the agent's own time")
	}
	if c.key.Bound != nil {
		return l.disproveBound(now, *c.key.Bound)
	}
	return l.disproveCallerMade(now, c)
}

// disproveBound relies on the time in the key: a key within the retention that
// ran would still have its entry.
func (l *Ledger) disproveBound(now time.Duration, b idemkey.Bound) *api.Failure {
	switch {
	case b.Upstream != l.id.Upstream:
		return api.Fail(api.CodeWrongUpstream, api.Unknown, "the key is bound to another upstream")
	case b.Incarnation != l.id.Incarnation:
		return api.Fail(api.CodeWrongIncarnation, api.Unknown, "the key is bound to another incarnation")
	case now-b.Issued >= l.limits.Retention, l.marks.coverBound(b.Issued):
		return api.Fail(api.CodeKeyExpired, api.Unknown, "the key is older than the retention of outcomes")
	}
	return nil
}

// disproveCallerMade relies on the ages of incarnation and list when the
// router made the send.
func (l *Ledger) disproveCallerMade(now time.Duration, c claim) *api.Failure {
	home, ok := idemkey.Home(c.scope.member, c.scope.key, l.list.names)
	if !ok || home != l.id.Upstream {
		return api.Fail(api.CodeWrongUpstream, api.Unknown, "the key has its home at another upstream")
	}
	evidence := idemkey.Evidence{
		IncarnationAge: c.echo - l.started,
		ListAge:        c.echo - l.list.since,
		ConfirmedAge:   c.echo - l.list.confirmed,
		ResendWindow:   l.limits.ResendWindow,
		ListLag:        l.limits.ListLag,
		Deduplicates:   l.limits.Deduplicates,
	}
	fresh := c.echo > 0 && now-c.echo <= l.limits.SendAge
	if !fresh || !evidence.RulesOut() || l.marks.coverCaller(c.echo, l.limits.ResendWindow) {
		return api.Fail(api.CodeKeyNotBound, api.Unknown, "an earlier run cannot be ruled out")
	}
	return nil
}

// unlessRun returns not_run for a send that will not start, unless its key may
// have run through another send.
func (l *Ledger) unlessRun(now time.Duration, c claim, e *entry) api.RunState {
	if e != nil || l.disprove(now, c) != nil {
		return api.Unknown
	}
	return api.NotRun
}

package ledger

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// sendInfo holds the fields of an order or a query that describe a send.
type sendInfo struct {
	key         idemkey.Key
	scope       scopedKey
	incarnation api.Incarnation
	// agentElapsed is the elapsed time of the agent that the order carries.
	agentElapsed time.Duration
}

// timestamp returns a time on the agent's clock at or before the moment when
// the router made the send. It is equal for all copies of a send.
func (s sendInfo) timestamp() time.Duration {
	if s.key.Bound != nil {
		return max(s.agentElapsed, s.key.Bound.Issued)
	}
	return s.agentElapsed
}

// ruleOutRun returns nil if a key without an entry cannot have run, or the
// failure to refuse the send with if it may have run.
func (l *Ledger) ruleOutRun(now time.Duration, s sendInfo) *api.Failure {
	if s.incarnation != l.id.Incarnation {
		return api.NewFailure(api.CodeWrongIncarnation, api.RunUnknown, "the order is for another incarnation")
	}
	if s.timestamp() > now {
		return api.NewFailure(api.CodeKeyMalformed, api.RunUnknown, "the timestamp of the order is later than the agent's clock")
	}
	if s.key.Bound != nil {
		return l.ruleOutRunOfBound(now, *s.key.Bound)
	}
	return l.ruleOutRunOfCallerMade(now, s)
}

// ruleOutRunOfBound checks the issue time in a bound key. A key that ran and is
// younger than the retention would still have an entry.
func (l *Ledger) ruleOutRunOfBound(now time.Duration, b idemkey.Bound) *api.Failure {
	switch {
	case b.Upstream != l.id.Upstream:
		return api.NewFailure(api.CodeWrongUpstream, api.RunUnknown, "the key is bound to another upstream")
	case b.Incarnation != l.id.Incarnation:
		return api.NewFailure(api.CodeWrongIncarnation, api.RunUnknown, "the key is bound to another incarnation")
	case now-b.Issued >= l.limits.Retention, l.evicted.coversBound(b.Issued):
		return api.NewFailure(api.CodeKeyExpired, api.RunUnknown, "the key is older than the retention of outcomes")
	}
	return nil
}

// ruleOutRunOfCallerMade checks the ages of the incarnation and of the upstream
// list at the time when the router made the send.
func (l *Ledger) ruleOutRunOfCallerMade(now time.Duration, s sendInfo) *api.Failure {
	home, ok := idemkey.Home(s.scope.member, s.scope.key, l.upstreams.names)
	if !ok || home != l.id.Upstream {
		return api.NewFailure(api.CodeWrongUpstream, api.RunUnknown, "the key belongs to another upstream")
	}
	evidence := idemkey.Evidence{
		IncarnationAge: s.agentElapsed - l.startedAt,
		ListAge:        s.agentElapsed - l.upstreams.changedAt,
		ConfirmedAge:   s.agentElapsed - l.upstreams.confirmedAt,
		ResendWindow:   l.limits.ResendWindow,
		ListLag:        l.limits.ListLag,
		Deduplicates:   l.limits.Deduplicates,
	}
	recent := s.agentElapsed > 0 && now-s.agentElapsed <= l.limits.SendAge
	if !recent || !evidence.RulesOutEarlierRun() || l.evicted.coversCallerMade(s.agentElapsed, l.limits.ResendWindow) {
		return api.NewFailure(api.CodeKeyNotBound, api.RunUnknown, "an earlier run of the key cannot be ruled out")
	}
	return nil
}

// runStateOfRefusal returns not_run for a send that will not start, unless its
// key may have run through another send.
func (l *Ledger) runStateOfRefusal(now time.Duration, s sendInfo, e *entry) api.RunState {
	if e != nil || l.ruleOutRun(now, s) != nil {
		return api.RunUnknown
	}
	return api.NotRun
}

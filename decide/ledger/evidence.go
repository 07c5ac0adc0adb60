package ledger

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// attemptInfo holds the fields of an order or a query that describe an attempt.
type attemptInfo struct {
	key         idemkey.Key
	scope       scopedKey
	incarnation api.Incarnation
	// agentElapsed is the agent's elapsed time in the order or query.
	agentElapsed time.Duration
}

// timestamp returns a time on the agent's clock at or before the time when the
// router made the attempt. It is equal for all copies of an attempt.
func (info attemptInfo) timestamp() time.Duration {
	if info.key.Bound != nil {
		return max(info.agentElapsed, info.key.Bound.Issued)
	}
	return info.agentElapsed
}

// ruleOutEarlierRun returns nil if a key without an entry cannot have run, or the
// failure for the attempt if the key may have run.
func (l *Ledger) ruleOutEarlierRun(now time.Duration, info attemptInfo) *api.Failure {
	if info.incarnation != l.id.Incarnation {
		return api.NewFailure(api.CodeWrongIncarnation, api.RunUnknown, "the order is for another incarnation")
	}
	if info.timestamp() > now {
		return api.NewFailure(api.CodeKeyMalformed, api.RunUnknown, "the timestamp of the attempt is later than the agent's clock")
	}
	if info.key.Bound != nil {
		return l.ruleOutEarlierRunOfBound(now, *info.key.Bound)
	}
	return l.ruleOutEarlierRunOfCallerMade(now, info)
}

// ruleOutEarlierRunOfBound checks the issue time in a bound key. A key that ran
// and is younger than the retention would still have an entry.
func (l *Ledger) ruleOutEarlierRunOfBound(now time.Duration, b idemkey.Bound) *api.Failure {
	switch {
	case b.Upstream != l.id.Upstream:
		return api.NewFailure(api.CodeWrongUpstream, api.RunUnknown, "the key is bound to another upstream")
	case b.Incarnation != l.id.Incarnation:
		return api.NewFailure(api.CodeWrongIncarnation, api.RunUnknown, "the key is bound to another incarnation")
	case now-b.Issued >= l.limits.Retention, l.evicted.mayHaveEvictedBound(b.Issued):
		return api.NewFailure(api.CodeKeyExpired, api.RunUnknown, "the key is older than the retention of outcomes")
	}
	return nil
}

// ruleOutEarlierRunOfCallerMade checks the ages of the incarnation and of the
// upstream list at the time when the router made the attempt.
func (l *Ledger) ruleOutEarlierRunOfCallerMade(now time.Duration, info attemptInfo) *api.Failure {
	home, ok := idemkey.Home(info.scope.member, info.scope.key, l.upstreams.names)
	if !ok || home != l.id.Upstream {
		return api.NewFailure(api.CodeWrongUpstream, api.RunUnknown, "the key belongs to another upstream")
	}
	evidence := idemkey.Evidence{
		IncarnationAge: info.agentElapsed - l.startedAt,
		ListAge:        info.agentElapsed - l.upstreams.changedAt,
		ConfirmedAge:   info.agentElapsed - l.upstreams.confirmedAt,
		ResendWindow:   l.limits.ResendWindow,
		ListLag:        l.limits.ListLag,
		Deduplicates:   l.limits.Deduplicates,
	}
	recent := info.agentElapsed > 0 && now-info.agentElapsed <= l.limits.AttemptAge
	if !recent || !evidence.RulesOutEarlierRun() || l.evicted.mayHaveEvictedCallerMade(info.agentElapsed, l.limits.ResendWindow) {
		return api.NewFailure(api.CodeKeyNotBound, api.RunUnknown, "an earlier run of the key cannot be ruled out")
	}
	return nil
}

// runStateOfRefusal returns the run state of an attempt that will not start: not_run,
// or unknown if its key may have run in another attempt.
func (l *Ledger) runStateOfRefusal(now time.Duration, info attemptInfo, e *entry) api.RunState {
	if e != nil || l.ruleOutEarlierRun(now, info) != nil {
		return api.RunUnknown
	}
	return api.NotRun
}

package idemkey

import (
	"time"

	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

// Home returns the upstream that owns a caller-made key, by rendezvous hashing
// over the configured upstreams of the service. The order of the list does not
// matter. The result is false only for an empty list.
func Home(member, key string, upstreams []string) (string, bool) {
	top := rendezvous.KeyOf(member, key).Top(1, upstreams)
	if len(top) == 0 {
		return "", false
	}
	return top[0], true
}

// Evidence holds the facts by which an agent decides whether a caller-made key
// that is not in its ledger may have run. Ages are measured at the time when the
// router made the attempt, not at its arrival, so that a delay in transit does not
// count as evidence.
type Evidence struct {
	// IncarnationAge is the time since the agent started with an empty ledger.
	IncarnationAge time.Duration
	// ListAge is the time since the agent received the service's current list
	// of upstreams.
	ListAge time.Duration
	// ConfirmedAge is the time since the platform or a peer last confirmed that the
	// agent's configuration is the latest.
	ConfirmedAge time.Duration
	// ResendWindow is the time within which callers resend, or zero if it is
	// not configured.
	ResendWindow time.Duration
	// ListLag is the longest time until all processes have applied a new list.
	ListLag time.Duration
	// Deduplicates is true if the upstream itself detects repeated keys.
	Deduplicates bool
}

// RulesOutEarlierRun reports whether the key cannot have run within the resend
// window. The list must be older than the window by ListLag, because for that long
// a process with the previous list may have run the key at its previous home.
func (e Evidence) RulesOutEarlierRun() bool {
	if e.Deduplicates {
		return true
	}
	return e.ResendWindow > 0 &&
		e.IncarnationAge >= e.ResendWindow &&
		e.ListAge >= e.ResendWindow+e.ListLag &&
		e.ConfirmedAge <= e.ListLag
}

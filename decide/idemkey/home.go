package idemkey

import (
	"time"

	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

// Home returns the upstream that a caller-made key belongs to, by rendezvous
// hashing over the configured upstreams of the service. The order of the list
// does not matter; it is false only for an empty list.
func Home(member, key string, upstreams []string) (string, bool) {
	best := rendezvous.KeyOf(member, key).Top(1, upstreams)
	if len(best) == 0 {
		return "", false
	}
	return best[0], true
}

// Evidence is what an agent knows when a caller-made key arrives that is not
// in its ledger. Ages are taken at the moment when the router made the send,
// so that a send that was held up on the way is not judged by its arrival.
type Evidence struct {
	// IncarnationAge is the time since the agent started with an empty ledger.
	IncarnationAge time.Duration
	// ListAge is the time since the agent learned of the service's present
	// list of upstreams.
	ListAge time.Duration
	// ConfirmedAge is the time since the platform or a peer last confirmed
	// that the agent's configuration is the newest.
	ConfirmedAge time.Duration
	// ResendWindow is the time within which callers resend, zero if none is set.
	ResendWindow time.Duration
	// ListLag bounds the time that a new list takes to be in force everywhere.
	ListLag time.Duration
	// Deduplicates is true if the upstream recognises repeated keys itself.
	Deduplicates bool
}

// RulesOutEarlierRun reports whether no other run of the key can have happened within
// the resend window. The list must be older by ListLag as well: until then
// another process may have run the key at its home under the former list.
func (e Evidence) RulesOutEarlierRun() bool {
	if e.Deduplicates {
		return true
	}
	return e.ResendWindow > 0 &&
		e.IncarnationAge >= e.ResendWindow &&
		e.ListAge >= e.ResendWindow+e.ListLag &&
		e.ConfirmedAge <= e.ListLag
}

package ledger

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// Identity identifies the agent that owns a ledger.
type Identity struct {
	Upstream    string
	Incarnation api.Incarnation
}

// Limits holds the size limits and retention periods of a ledger.
type Limits struct {
	// Entries limits the number of recorded keys.
	Entries int
	// MemberEntries limits the recorded keys of one member. Zero sets no limit
	// per member.
	MemberEntries int
	// MemberTombstones limits the tombstones of one member.
	MemberTombstones int
	// JoinedAttempts limits the attempts that wait for one key.
	JoinedAttempts int
	// Bytes limits the total size of recorded responses, ResponseBytes the size of
	// one.
	Bytes         int
	ResponseBytes int
	// Retention is how long an outcome is kept after completion.
	Retention time.Duration
	// AttemptAge is the longest time between the last report that a router
	// received from the agent and the arrival of an attempt with a caller-made
	// key.
	AttemptAge time.Duration
	// ResendWindow, ListLag and Deduplicates have the same meaning as in
	// idemkey.Evidence.
	ResendWindow time.Duration
	ListLag      time.Duration
	Deduplicates bool
}

// memberEntryDivisor limits one member to a quarter of the keys.
const memberEntryDivisor = 4

// MemberEntries returns the limit for one member in a ledger with the given limit of keys.
func MemberEntries(entries int) int { return max(entries/memberEntryDivisor, 1) }

// retentionOf returns how long the outcome of a key is kept. A caller-made key
// carries no timestamp, so its entry must also outlast the resend window and
// the delay of the last attempt within it.
func (l Limits) retentionOf(k idemkey.Key) time.Duration {
	if k.Bound != nil {
		return l.Retention
	}
	return max(l.Retention, l.ResendWindow+l.AttemptAge)
}

// Arrival is a non-idempotent order that arrived at the agent.
type Arrival struct {
	AttemptID api.AttemptID
	Member    string
	Key       string
	BodyHash  uint64
	// Incarnation is the agent incarnation that the order is addressed to.
	Incarnation api.Incarnation
	// AgentElapsed is the agent's elapsed time in the order: the latest one that
	// the router had received.
	AgentElapsed time.Duration
	// Deadline is the agent's elapsed time at which the request expires.
	Deadline time.Duration
	// Random is the random part of the new key returned with key_not_bound.
	Random [idemkey.RandomBytes]byte
}

// Verdict is the action to take for an arrival.
type Verdict int

const (
	// Refuse fails the attempt with Decision.Failure.
	Refuse Verdict = iota
	// Queue accepts the attempt as the owner of a new entry.
	Queue
	// Join makes the attempt wait for the outcome of the entry.
	Join
	// Replay sends the recorded outcome in response to the attempt.
	Replay
	// Duplicate drops a copy of an attempt that is already attached to the entry.
	Duplicate
)

// Decision is the result of Admit.
type Decision struct {
	Verdict Verdict
	// Owner is the attempt that owns the entry. It is not set for Refuse.
	Owner api.AttemptID
	// Failure is set for Refuse.
	Failure *api.Failure
	// Outcome is set for Replay.
	Outcome api.Outcome
}

// Release lists the attempts that receive the same outcome. It is empty if the
// event did not apply, for instance because the entry was already released.
type Release struct {
	Attempts []api.AttemptID
	// Failure is nil for a complete response.
	Failure *api.Failure
}

// StartDecision reports whether an entry may start now.
type StartDecision struct {
	Run bool
	// Release lists the refused attempts if Run is false.
	Release Release
}

// Response is a complete response from the upstream.
type Response struct {
	Status  int
	Headers []api.Header
	Body    []byte
}

// Counts holds current sizes and totals for metrics.
type Counts struct {
	Entries    int
	Tombstones int
	Bytes      int
	Evicted    uint64
	// FloorsRaised counts the tombstones beyond MemberTombstones, which raised the
	// member's floor instead.
	FloorsRaised uint64
	// EntriesMax and BytesMax are the highest sizes reached.
	EntriesMax int
	BytesMax   int
}

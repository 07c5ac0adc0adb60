package ledger

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// Identity says whose ledger it is.
type Identity struct {
	Upstream    string
	Incarnation api.Incarnation
}

// Limits are the bounds and periods of a ledger.
type Limits struct {
	// Entries bounds the keys that are remembered.
	Entries int
	// MemberEntries bounds the keys of one member, zero for no bound of its own.
	MemberEntries int
	// MemberTombstones bounds the tombstones of one member.
	MemberTombstones int
	// JoinedSends bounds the sends that wait for one key.
	JoinedSends int
	// Bytes bounds the recorded answers in total, AnswerBytes a single one.
	Bytes       int
	AnswerBytes int
	// Retention is the time for which an outcome is kept after completion.
	Retention time.Duration
	// SendAge bounds the time between a router's last report from the agent
	// and the arrival of a send under a caller-made key.
	SendAge time.Duration
	// ResendWindow, ListLag and Deduplicates are as in idemkey.Evidence.
	ResendWindow time.Duration
	ListLag      time.Duration
	Deduplicates bool
}

// keep returns how long the outcome of a key is kept. A caller-made key
// carries no time, so that its entry must also outlast the resend window and the
// delay of the last send within it.
func (l Limits) keep(k idemkey.Key) time.Duration {
	if k.Bound != nil {
		return l.Retention
	}
	return max(l.Retention, l.ResendWindow+l.SendAge)
}

// Arrival is a non-idempotent order that reached the agent.
type Arrival struct {
	Send     api.SendID
	Member   string
	Key      string
	BodyHash uint64
	// Incarnation is the agent's incarnation that the order is for.
	Incarnation api.Incarnation
	// AgentElapsed is the agent's elapsed time that the order carries.
	AgentElapsed time.Duration
	// Deadline is on the agent's clock.
	Deadline time.Duration
	// Random makes the fresh key that key_not_bound offers.
	Random [idemkey.RandomBytes]byte
}

// Verdict is what to do with an arrival.
type Verdict int

const (
	// Refuse answers the send with the failure.
	Refuse Verdict = iota
	// Queue accepts the send as the owner of a new entry.
	Queue
	// Join lets the send wait for the outcome of the entry's owner.
	Join
	// Replay answers the send with the recorded outcome.
	Replay
	// Duplicate drops a copy of a send that the entry answers already.
	Duplicate
)

// Decision is the answer to an arrival.
type Decision struct {
	Verdict Verdict
	// Owner is the send that Queue, Join and Duplicate wait for.
	Owner api.SendID
	// Failure is set for Refuse.
	Failure *api.Failure
	// Outcome is set for Replay.
	Outcome api.Outcome
}

// Release tells which sends get the same outcome. It is empty if the event did
// not apply, for instance because the entry was released before.
type Release struct {
	Sends []api.SendID
	// Failure is nil for a whole answer.
	Failure *api.Failure
}

// Start answers whether an entry may start now.
type Start struct {
	Run bool
	// Release holds the refused sends if Run is false.
	Release Release
}

// Answer is a whole answer of the upstream.
type Answer struct {
	Status  int
	Headers []api.Header
	Body    []byte
}

// Counts are present sizes and totals, for metrics.
type Counts struct {
	Entries    int
	Tombstones int
	Bytes      int
	Evicted    uint64
	// FloorsRaised counts tombstones that found no room.
	FloorsRaised uint64
	// EntriesMax and BytesMax are the highest sizes seen.
	EntriesMax int
	BytesMax   int
}

package expertmap

import (
	"cmp"

	"github.com/mulberryfork/mulberryfork/api"
)

// Token is the fencing token of a proposal or a session. The incarnation of
// the proposer makes it unique.
type Token struct {
	// Revision is the platform's configuration revision.
	Revision uint64
	// Counter exceeds the counter of every token the proposer has seen.
	Counter uint64
	// Proposer is the incarnation of the proposer.
	Proposer api.Incarnation
}

// Compare compares tokens by revision, counter and proposer. The higher token takes
// precedence.
func (t Token) Compare(u Token) int {
	return cmp.Or(
		cmp.Compare(t.Revision, u.Revision),
		cmp.Compare(t.Counter, u.Counter),
		cmp.Compare(t.Proposer, u.Proposer),
	)
}

// IsZero reports whether the token is unset.
func (t Token) IsZero() bool { return t == Token{} }

// MapID identifies the content of an expert map.
type MapID uint64

// Session is an incarnation of the group's collective communication. A rank runs
// steps only with ranks of the same session.
type Session struct {
	Token Token
	// Map is the initial map of the session.
	Map MapID
	// Start is the first step of the session.
	Start uint64
}

// Proposal proposes to switch the expert map at a given step of a session.
type Proposal struct {
	Token   Token
	Session Token
	Map     MapID
	// Step is the switch step: the first step on the new map.
	Step uint64
	// Voters holds, for each rank, the incarnation of the agent that may vote.
	// A restarted agent does not vote on proposals sent to its predecessor.
	Voters []api.Incarnation
}

// Version is an active map and the token that activated it.
type Version struct {
	Token Token
	Map   MapID
}

// EngineState is the session and map state that an engine reports.
type EngineState struct {
	// Process is the incarnation of the engine process.
	Process uint64
	// ChecksFencing is true if the engine rejects orders with a stale token.
	ChecksFencing bool
	Fence         Token
	Session       Session
	// Step is the last step the engine entered.
	Step   uint64
	Active Version
	// Prepared is the proposal whose map is staged. The engine does not enter its
	// switch step until the outcome is known. The token is zero if no map is
	// staged.
	Prepared Proposal
	// Committed is true if the prepared proposal is committed.
	Committed bool
}

// Vote is a rank's vote on a proposal, or its reason for not voting.
type Vote uint8

const (
	// VoteNone means that the report contains no vote.
	VoteNone Vote = iota
	// VoteYes means that the engine is prepared.
	VoteYes
	// VoteNo means that the rank has not prepared the proposal and never will,
	// or that it knows the proposal to be aborted.
	VoteNo
	// VoteCommitted means that the rank knows the proposal to be committed.
	VoteCommitted
	// VoteUnknown means that an earlier yes vote, or an order in flight that
	// would prepare the engine, cannot be ruled out. The group then forms a
	// new session.
	VoteUnknown
	// VoteLeftSession means that the rank is not in the proposal's session.
	VoteLeftSession
)

// Report is the state that a rank sends to a proposer.
type Report struct {
	Rank        int
	Incarnation api.Incarnation
	Engine      EngineState
	// VotedOn is the token of the proposal that the vote is for.
	VotedOn Token
	Vote    Vote
	// Loaded is the requested map if its weights are loaded, otherwise zero.
	Loaded MapID
	// Round is copied from the request.
	Round uint64
}

// Kind is the type of a message.
type Kind uint8

// Message types.
const (
	// KindLoad asks a rank to load the weights of a map. Without a map, it only asks
	// for a report.
	KindLoad Kind = iota + 1
	// KindPrepare asks a rank for its vote.
	KindPrepare
	// KindQuery asks for the vote or the outcome. A rank that has not voted
	// then votes no.
	KindQuery
	// KindCommit and KindAbort announce the outcome.
	KindCommit
	KindAbort
	// KindJoin asks a rank to leave its session for a new one.
	KindJoin
	// KindReport is the response to KindLoad, KindPrepare, KindQuery and
	// KindJoin.
	KindReport
)

// Message is a message between two agents of a group. From and To are ranks.
type Message struct {
	Kind     Kind
	From, To int
	Round    uint64
	Proposal Proposal
	// Session and Target are set for KindJoin. Target is the incarnation of
	// the receiving agent.
	Session Session
	Target  api.Incarnation
	// Map is the map to load for KindLoad, zero for none.
	Map    MapID
	Report Report
}

// OrderKind is the type of an order.
type OrderKind uint8

// Order types.
const (
	// OrderPrepare stages a map and blocks the engine before the switch step.
	OrderPrepare OrderKind = iota + 1
	// OrderCommit lets the engine enter the switch step with the staged map.
	OrderCommit
	// OrderAbort discards the staged map.
	OrderAbort
	// OrderJoin moves the engine to a session.
	OrderJoin
	// OrderFence raises the engine's fencing token.
	OrderFence
)

// Order is a command from an agent to its engine.
type Order struct {
	Kind OrderKind
	// Seq numbers the orders of an agent process.
	Seq   uint64
	Agent api.Incarnation
	// Process is the incarnation of the engine process that the order is for. An
	// order is dropped when its connection closes, so a restarted engine never
	// executes an order to its predecessor.
	Process  uint64
	Proposal Proposal
	Session  Session
	Token    Token
}

// Action is a side effect that a state machine requests from its caller.
type Action interface{ action() }

// Send sends a message to the agent of rank Message.To.
type Send struct{ Message Message }

// Command sends an order to the engine. The caller then passes the engine's
// new state back to the state machine of the rank.
type Command struct{ Order Order }

// LoadWeights loads the weights of a map. The caller calls WeightsLoaded when
// they are loaded.
type LoadWeights struct{ Map MapID }

// ResolveNeeded asks the local proposer to resolve a proposal in doubt.
type ResolveNeeded struct{ Proposal Proposal }

// SessionNeeded asks the local proposer to form a new session.
type SessionNeeded struct{}

// Finished reports the result of a proposer's operation.
type Finished struct {
	Result   Result
	Proposal Proposal
	Session  Session
}

// Result is the result of a proposer's operation.
type Result uint8

// Results of an operation.
const (
	ResultCommitted Result = iota + 1
	ResultAborted
	// ResultAbandoned means that the operation ended without an outcome or a
	// new session.
	ResultAbandoned
	ResultSessionFormed
)

func (Send) action()          {}
func (Command) action()       {}
func (LoadWeights) action()   {}
func (ResolveNeeded) action() {}
func (SessionNeeded) action() {}
func (Finished) action()      {}

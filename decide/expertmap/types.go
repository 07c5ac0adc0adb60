package expertmap

import (
	"cmp"

	"github.com/mulberryfork/mulberryfork/api"
)

// Token is the fencing token of one proposal or session. It is unique because
// it contains the incarnation of the proposer that drew it.
type Token struct {
	// Revision is the platform's configuration revision.
	Revision uint64
	// Counter is larger than that of every token the proposer has seen.
	Counter uint64
	// Proposer is the incarnation of the proposing process.
	Proposer api.Incarnation
}

// Compare orders tokens; the higher one takes precedence.
func (t Token) Compare(u Token) int {
	return cmp.Or(
		cmp.Compare(t.Revision, u.Revision),
		cmp.Compare(t.Counter, u.Counter),
		cmp.Compare(t.Proposer, u.Proposer),
	)
}

// IsZero says whether no token is set.
func (t Token) IsZero() bool { return t == Token{} }

// MapID identifies the content of an expert map.
type MapID uint64

// Session is one formation of the group's collective, the group incarnation.
// The ranks run steps only with ranks of the same session.
type Session struct {
	Token Token
	// Map is the map with which the session starts.
	Map MapID
	// Start is the first step of the session.
	Start uint64
}

// Proposal is a change of the expert map at an agreed step of a session.
type Proposal struct {
	Token   Token
	Session Token
	Map     MapID
	// Step is the first step that runs on the map.
	Step uint64
	// Targets are the incarnations of the ranks' agents that may vote. A
	// restarted agent does not vote on proposals made to its predecessor.
	Targets []api.Incarnation
}

// Version is a map in force, and the token under which it came into force.
type Version struct {
	Token Token
	Map   MapID
}

// GateState is what an engine reports about its session and its map.
type GateState struct {
	// Process is the incarnation of the engine process.
	Process uint64
	// ChecksFencing is true if the engine refuses orders with a stale token.
	ChecksFencing bool
	Fence         Token
	Session       Session
	// Step is the last step that the engine entered.
	Step   uint64
	Active Version
	// Held is the proposal whose switch step the engine does not enter before
	// it knows the outcome; its token is zero if there is none.
	Held Proposal
	// Committed is true if the held proposal is known to be committed.
	Committed bool
}

// Vote is a rank's answer about one proposal.
type Vote uint8

const (
	// VoteNone means that the report answers no question.
	VoteNone Vote = iota
	// VoteYes means that the engine holds at the switch step.
	VoteYes
	// VoteNo means that this rank never held the proposal and never will, or
	// that it learned of such a rank.
	VoteNo
	// VoteCommitted means that the rank knows that the proposal is committed.
	VoteCommitted
	// VoteLost means that the vote of a predecessor of this agent cannot be
	// ruled out. The group forms a new session.
	VoteLost
	// VoteMoved means that the rank has left the proposal's session.
	VoteMoved
)

// Report is a rank's state as told to a proposer.
type Report struct {
	Rank        int
	Incarnation api.Incarnation
	Gate        GateState
	// About is the token of the proposal that the vote answers.
	About Token
	Vote  Vote
	// Loaded is the map whose weights the report confirms.
	Loaded MapID
	// Round echoes the round of the question.
	Round uint64
}

// Kind is the kind of a message.
type Kind uint8

// Kinds of message.
const (
	// KindLoad asks a rank to load the weights of a map.
	KindLoad Kind = iota + 1
	// KindPrepare asks a rank for its vote.
	KindPrepare
	// KindQuery asks for the vote or the outcome. A rank that has not voted
	// votes no.
	KindQuery
	// KindCommit and KindAbort tell the outcome.
	KindCommit
	KindAbort
	// KindJoin asks a rank to leave its session for a new one.
	KindJoin
	// KindReport answers Load, Prepare, Query and Join.
	KindReport
)

// Message passes between the agents of a group. From and To are ranks.
type Message struct {
	Kind     Kind
	From, To int
	Round    uint64
	Proposal Proposal
	// Session and Target are set in a Join.
	Session Session
	Target  api.Incarnation
	// Map is set in a Load.
	Map    MapID
	Report Report
}

// OrderKind is the kind of an order to an engine.
type OrderKind uint8

// Kinds of order to an engine.
const (
	// OrderHold stages a map and holds the engine before its switch step.
	OrderHold OrderKind = iota + 1
	// OrderCommit lets the engine enter the switch step on the staged map.
	OrderCommit
	// OrderDrop discards the staged map.
	OrderDrop
	// OrderJoin takes the engine into a session.
	OrderJoin
	// OrderFence raises the engine's fencing token.
	OrderFence
)

// Order goes from an agent to its engine.
type Order struct {
	Kind OrderKind
	// Seq counts the orders of one agent process.
	Seq   uint64
	Agent api.Incarnation
	// Process is the engine process that the order is for: an order ends with
	// the connection on which it was sent.
	Process  uint64
	Proposal Proposal
	Session  Session
	Token    Token
}

// Action is what the caller of a state machine has to do.
type Action interface{ action() }

// Send delivers a message to the agent of rank Message.To.
type Send struct{ Message Message }

// Command passes an order to the engine; the caller reports the engine's
// state afterwards through Rank.Acknowledge.
type Command struct{ Order Order }

// LoadWeights loads the weights of a map; the caller reports the end through
// Rank.WeightsLoaded.
type LoadWeights struct{ Map MapID }

// SettleNeeded asks the local proposer to find the outcome of a proposal.
type SettleNeeded struct{ Proposal Proposal }

// ReformNeeded asks the local proposer to form a new session.
type ReformNeeded struct{}

// Finished tells what became of a proposal or of a reformation.
type Finished struct {
	Result   Result
	Proposal Proposal
	Session  Session
}

// Result is the end of a proposer's undertaking.
type Result uint8

// Results of an undertaking.
const (
	ResultCommitted Result = iota + 1
	ResultAborted
	// ResultAbandoned means that no rank was asked for a vote.
	ResultAbandoned
	ResultFormed
)

func (Send) action()         {}
func (Command) action()      {}
func (LoadWeights) action()  {}
func (SettleNeeded) action() {}
func (ReformNeeded) action() {}
func (Finished) action()     {}

package expertmap

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// maxLoadedMaps is the maximum number of maps, in addition to the active one, whose
// weights a rank keeps in memory.
const maxLoadedMaps = 2

// ParticipantConfig holds the settings of a rank's state machine.
type ParticipantConfig struct {
	Self        int
	Incarnation api.Incarnation
	// ResolveAfter is how long a prepared rank waits for the outcome before it
	// asks its proposer to determine it.
	ResolveAfter time.Duration
	// StallAfter is the time without a new step after which rank 0 checks that all
	// ranks are in the same session. Rank r waits r+1 times as long, so that the
	// ranks of an idle group do not all poll it at once.
	StallAfter time.Duration
	// OrderTimeout is the retry interval of an unanswered order.
	OrderTimeout time.Duration
}

// Participant is the state machine of a rank's agent. It alone sends orders to its
// engine and has at most one order in flight.
type Participant struct {
	cfg    ParticipantConfig
	engine EngineState
	// highestVoted is the highest token that this rank has voted on. It votes no on
	// proposals with a lower token.
	highestVoted Token
	loaded       []MapID
	seq          uint64

	orderPending bool
	order        Order
	orderSentAt  time.Duration
	// requester and requestRound are the rank and the round of the request that
	// is answered when the order is acknowledged.
	requester    int
	requestRound uint64

	// preparedAt is when the engine was first seen with the prepared proposal.
	// Tick resets it when it asks for the outcome.
	preparedAt time.Duration
	// orderedProposal is the last proposal the engine was ordered to prepare.
	orderedProposal Proposal
	// progressAt is when the engine last entered a step or a session. Tick
	// resets it when it checks the sessions.
	progressAt time.Duration
	// aborted is the token of the last proposal known to be aborted.
	aborted Token
	// orderedSession is the token of the newest session the engine was ordered
	// to join.
	orderedSession Token
}

// noRequester marks an order that answers no request.
const noRequester = -1

// NewParticipant returns the state machine of an agent that has just read its engine's
// state. A proposal prepared there stays prepared, since an earlier agent may
// have sent a yes vote on it.
func NewParticipant(cfg ParticipantConfig, engine EngineState, now time.Duration) Participant {
	return Participant{
		cfg: cfg, engine: engine, highestVoted: engine.Fence, preparedAt: now, progressAt: now,
		requester: noRequester, orderedSession: engine.Session.Token,
	}
}

// EngineState returns the last reported state of the engine.
func (r *Participant) EngineState() EngineState { return r.engine }

// Incarnation returns the incarnation of the agent process.
func (r *Participant) Incarnation() api.Incarnation { return r.cfg.Incarnation }

// InDoubt reports whether the engine is prepared and the outcome unknown.
func (r *Participant) InDoubt() bool { return !r.engine.Prepared.Token.IsZero() && !r.engine.Committed }

// Receive handles a message from a proposer.
func (r *Participant) Receive(now time.Duration, m Message) []Action {
	switch m.Kind {
	case KindLoad:
		return r.load(m)
	case KindPrepare:
		return r.prepare(now, m)
	case KindQuery:
		return r.query(now, m)
	case KindCommit:
		return r.applyOutcome(now, m, OrderCommit)
	case KindAbort:
		return r.applyOutcome(now, m, OrderAbort)
	case KindJoin:
		return r.join(now, m)
	}
	return nil
}

func (r *Participant) load(m Message) []Action {
	var actions []Action
	if m.Map != 0 && !r.hasLoaded(m.Map) {
		actions = append(actions, LoadWeights{Map: m.Map})
	}
	return append(actions, r.report(m.From, m.Round, Token{}, VoteNone, m.Map))
}

// WeightsLoaded records that the weights of a map are loaded. If there are more
// than maxLoadedMaps, it drops the map that was loaded first.
func (r *Participant) WeightsLoaded(id MapID) {
	if r.hasLoaded(id) {
		return
	}
	if len(r.loaded) == maxLoadedMaps {
		r.loaded = r.loaded[1:]
	}
	r.loaded = append(slices.Clip(r.loaded), id)
}

func (r *Participant) hasLoaded(id MapID) bool {
	return id == r.engine.Active.Map || slices.Contains(r.loaded, id)
}

func (r *Participant) prepare(now time.Duration, m Message) []Action {
	p := m.Proposal
	if r.orderPending {
		return nil
	}
	if v := r.determinedVote(p); v != VoteNone {
		return r.replyVote(now, m, v)
	}
	if r.InDoubt() || r.engine.Committed || r.prepareInFlight() {
		// The rank does not vote. The report shows the other proposal, which must be
		// resolved first.
		return []Action{r.report(m.From, m.Round, Token{}, VoteNone, 0)}
	}
	if p.Step <= r.engine.Step || !r.hasLoaded(p.Map) {
		return r.voteNo(m)
	}
	r.highestVoted, r.orderedProposal = p.Token, p
	return r.sendOrder(now, Order{Kind: OrderPrepare, Proposal: p}, m)
}

// query reports the vote on a proposal. A rank that has not voted yet votes no, so
// that it cannot vote yes later.
func (r *Participant) query(now time.Duration, m Message) []Action {
	if r.orderPending {
		return nil
	}
	if v := r.determinedVote(m.Proposal); v != VoteNone {
		return r.replyVote(now, m, v)
	}
	return r.voteNo(m)
}

// replyVote reports a determined vote. If the vote is unknown and the engine
// checks fencing tokens, it first fences the proposal, which makes the vote
// definite.
func (r *Participant) replyVote(now time.Duration, m Message, v Vote) []Action {
	p := m.Proposal
	if v == VoteUnknown && r.engine.ChecksFencing {
		return r.sendOrder(now, Order{Kind: OrderFence, Proposal: p, Token: p.Token}, m)
	}
	return []Action{r.report(m.From, m.Round, p.Token, v, 0)}
}

// determinedVote returns the vote on a proposal if it is already determined, or
// VoteNone if this agent is free to vote.
func (r *Participant) determinedVote(p Proposal) Vote {
	switch {
	case r.engine.Active.Token == p.Token, r.engine.Prepared.Token == p.Token && r.engine.Committed:
		return VoteCommitted
	case r.aborted == p.Token:
		return VoteNo
	case r.engine.Prepared.Token == p.Token:
		return VoteYes
	case p.Session != r.engine.Session.Token:
		return VoteLeftSession
	case p.Voters[r.cfg.Self] != r.cfg.Incarnation:
		return r.noOrUnknown(p)
	case p.Token == r.orderedProposal.Token && r.prepareInFlight():
		return VoteUnknown
	case p.Token.Compare(r.highestVoted) <= 0:
		return VoteNo
	}
	return VoteNone
}

// noOrUnknown returns the vote on a proposal for which a prepare order may be in
// flight: VoteNo if the switch step has passed or the fence rejects the order,
// otherwise VoteUnknown.
func (r *Participant) noOrUnknown(p Proposal) Vote {
	fenced := r.engine.ChecksFencing && p.Token.Compare(r.engine.Fence) <= 0
	if fenced || r.engine.Step >= p.Step {
		return VoteNo
	}
	return VoteUnknown
}

// prepareInFlight reports whether a copy of the last prepare order may still
// take effect although the engine rejected another copy.
func (r *Participant) prepareInFlight() bool {
	p := r.orderedProposal
	return !p.Token.IsZero() &&
		p.Session == r.engine.Session.Token &&
		p.Token != r.engine.Prepared.Token &&
		p.Token != r.engine.Active.Token &&
		p.Token != r.aborted &&
		r.noOrUnknown(p) == VoteUnknown
}

func (r *Participant) voteNo(m Message) []Action {
	if r.highestVoted.Compare(m.Proposal.Token) < 0 {
		r.highestVoted = m.Proposal.Token
	}
	return []Action{r.report(m.From, m.Round, m.Proposal.Token, VoteNo, 0)}
}

func (r *Participant) applyOutcome(now time.Duration, m Message, kind OrderKind) []Action {
	if r.orderPending || !r.InDoubt() || r.engine.Prepared.Token != m.Proposal.Token {
		return nil
	}
	if kind == OrderAbort {
		r.aborted = m.Proposal.Token
	}
	return r.sendOrder(now, Order{Kind: kind, Proposal: m.Proposal}, Message{From: noRequester})
}

func (r *Participant) join(now time.Duration, m Message) []Action {
	if r.orderPending {
		return nil
	}
	if m.Target != r.cfg.Incarnation || m.Session.Token.Compare(r.engine.Session.Token) <= 0 {
		return []Action{r.report(m.From, m.Round, Token{}, VoteNone, 0)}
	}
	if !r.hasLoaded(m.Session.Map) {
		return []Action{LoadWeights{Map: m.Session.Map}}
	}
	r.orderedSession = m.Session.Token
	return r.sendOrder(now, Order{Kind: OrderJoin, Session: m.Session}, m)
}

func (r *Participant) sendOrder(now time.Duration, o Order, m Message) []Action {
	r.seq++
	o.Seq, o.Agent, o.Process = r.seq, r.cfg.Incarnation, r.engine.Process
	r.orderPending, r.order, r.orderSentAt = true, o, now
	r.requester, r.requestRound = m.From, m.Round
	return []Action{Command{Order: o}}
}

// OrderDone handles the engine's acknowledgment of the order with number seq, which
// contains the state after the order. If a proposer's request caused the order, it
// reports to that proposer. The acknowledgment of an earlier order is ignored.
func (r *Participant) OrderDone(now time.Duration, seq uint64, engine EngineState) []Action {
	if !r.orderPending || seq != r.seq {
		return nil
	}
	r.orderPending = false
	o, requester, round := r.order, r.requester, r.requestRound
	r.order, r.requester, r.requestRound = Order{}, noRequester, 0
	actions := r.Observe(now, engine)
	if requester == noRequester {
		return actions
	}
	votedOn, v := Token{}, VoteNone
	if o.Kind == OrderPrepare || o.Kind == OrderFence {
		votedOn, v = o.Proposal.Token, r.determinedVote(o.Proposal)
	}
	return append(actions, r.report(requester, round, votedOn, v, 0))
}

// Observe handles an engine state that is not a response to an order. Callers
// must pass states in the order in which the engine reported them.
func (r *Participant) Observe(now time.Duration, engine EngineState) []Action {
	if r.orderPending {
		return nil
	}
	if engine.Prepared.Token != r.engine.Prepared.Token {
		r.preparedAt = now
	}
	if engine.Step != r.engine.Step || engine.Session.Token != r.engine.Session.Token {
		r.progressAt = now
	}
	r.engine = engine
	if r.InDoubt() && engine.Prepared.Token == r.aborted {
		// A duplicate order prepared a proposal that is already aborted.
		return r.sendOrder(now, Order{Kind: OrderAbort, Proposal: engine.Prepared}, Message{From: noRequester})
	}
	return nil
}

// Tick resends an unanswered order, and asks the local proposer to resolve an
// overdue proposal or to form a session.
func (r *Participant) Tick(now time.Duration) []Action {
	switch {
	case r.orderPending && now-r.orderSentAt >= r.cfg.OrderTimeout:
		r.orderSentAt = now
		return []Action{Command{Order: r.order}}
	case r.orderPending:
		return nil
	case r.engine.Session.Token.IsZero(), r.engine.Session.Token.Compare(r.orderedSession) < 0:
		return []Action{SessionNeeded{}}
	case r.InDoubt() && now-r.preparedAt >= r.cfg.ResolveAfter:
		r.preparedAt = now
		return []Action{ResolveNeeded{Proposal: r.engine.Prepared}}
	case now-r.progressAt >= r.cfg.StallAfter*time.Duration(r.cfg.Self+1):
		r.progressAt = now
		return []Action{SessionNeeded{}}
	}
	return nil
}

func (r *Participant) report(to int, round uint64, votedOn Token, v Vote, loaded MapID) Action {
	rep := Report{
		Rank: r.cfg.Self, Incarnation: r.cfg.Incarnation, Engine: r.engine,
		VotedOn: votedOn, Vote: v, Round: round,
	}
	if loaded != 0 && r.hasLoaded(loaded) {
		rep.Loaded = loaded
	}
	return Send{Message: Message{Kind: KindReport, From: r.cfg.Self, To: to, Report: rep}}
}

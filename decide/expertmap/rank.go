package expertmap

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// loadedMaps bounds the staged maps whose weights a rank keeps in memory.
const loadedMaps = 2

// RankConfig holds the settings of a rank.
type RankConfig struct {
	Self        int
	Incarnation api.Incarnation
	// SettleAfter is how long a rank waits for an outcome before it asks.
	SettleAfter time.Duration
	// StallAfter is how long rank 0 sees no step before it checks that all
	// ranks are in one session. Rank r waits r+1 times as long, so that an idle
	// group is not surveyed by all ranks at once.
	StallAfter time.Duration
	// OrderTimeout is how long an order to the engine may be unanswered.
	OrderTimeout time.Duration
}

// Rank is the state machine of one rank's agent. It is the only sender of
// orders to its engine and has at most one order outstanding.
type Rank struct {
	cfg  RankConfig
	gate GateState
	// floor is the highest token voted on; lower ones get no.
	floor  Token
	loaded []MapID
	seq    uint64

	ordering  bool
	order     Order
	orderedAt time.Duration
	// asker and round are answered when the order is acknowledged.
	asker    int
	askRound uint64

	// heldAt is when the present hold was seen first.
	heldAt time.Duration
	// tried is the last proposal that the engine was ordered to hold.
	tried Proposal
	// progressAt is when the engine last entered a step or a session.
	progressAt time.Duration
	// dropped is the last proposal found aborted.
	dropped Token
	// joined is the newest session that the engine was ordered to join.
	joined Token
}

// noAsker marks an order that no other process waits for.
const noAsker = -1

// NewRank returns the state machine of an agent that has just read its
// engine's state. A hold found there is a vote that an earlier agent may have
// sent, so it stands.
func NewRank(cfg RankConfig, gate GateState, now time.Duration) Rank {
	return Rank{
		cfg: cfg, gate: gate, floor: gate.Fence, heldAt: now, progressAt: now,
		asker: noAsker, joined: gate.Session.Token,
	}
}

// Gate returns the engine's state as last reported.
func (r *Rank) Gate() GateState { return r.gate }

// Incarnation returns that of the agent process.
func (r *Rank) Incarnation() api.Incarnation { return r.cfg.Incarnation }

// InDoubt says whether the rank voted yes and does not know the outcome.
func (r *Rank) InDoubt() bool { return !r.gate.Held.Token.IsZero() && !r.gate.Committed }

// Receive handles a message to this rank.
func (r *Rank) Receive(now time.Duration, m Message) []Action {
	switch m.Kind {
	case KindLoad:
		return r.load(m)
	case KindPrepare:
		return r.prepare(now, m)
	case KindQuery:
		return r.query(now, m)
	case KindCommit:
		return r.outcome(now, m, OrderCommit)
	case KindAbort:
		return r.outcome(now, m, OrderDrop)
	case KindJoin:
		return r.join(now, m)
	}
	return nil
}

func (r *Rank) load(m Message) []Action {
	var actions []Action
	if m.Map != 0 && !r.hasLoaded(m.Map) {
		actions = append(actions, LoadWeights{Map: m.Map})
	}
	return append(actions, r.report(m.From, m.Round, Token{}, VoteNone, m.Map))
}

// WeightsLoaded records that the weights of a map are in memory.
func (r *Rank) WeightsLoaded(id MapID) {
	if r.hasLoaded(id) {
		return
	}
	if len(r.loaded) == loadedMaps {
		r.loaded = r.loaded[1:]
	}
	r.loaded = append(slices.Clip(r.loaded), id)
}

func (r *Rank) hasLoaded(id MapID) bool {
	return id == r.gate.Active.Map || slices.Contains(r.loaded, id)
}

func (r *Rank) prepare(now time.Duration, m Message) []Action {
	p := m.Proposal
	if r.ordering {
		return nil
	}
	if v := r.known(p); v != VoteNone {
		return r.answer(now, m, v)
	}
	if r.InDoubt() || r.gate.Committed || r.unresolved() {
		// No vote: the report shows the proposal that has to be settled first.
		return []Action{r.report(m.From, m.Round, Token{}, VoteNone, 0)}
	}
	if p.Step <= r.gate.Step || !r.hasLoaded(p.Map) {
		return r.refuse(m)
	}
	r.floor, r.tried = p.Token, p
	return r.command(now, Order{Kind: OrderHold, Proposal: p}, m)
}

// query answers for a proposal, and makes sure that a vote that was not given
// yet never will be.
func (r *Rank) query(now time.Duration, m Message) []Action {
	if r.ordering {
		return nil
	}
	if v := r.known(m.Proposal); v != VoteNone {
		return r.answer(now, m, v)
	}
	return r.refuse(m)
}

// answer reports a vote that stands. A lost vote becomes a definite one if the
// engine can be fenced.
func (r *Rank) answer(now time.Duration, m Message, v Vote) []Action {
	p := m.Proposal
	if v == VoteLost && r.gate.ChecksFencing {
		return r.command(now, Order{Kind: OrderFence, Proposal: p, Token: p.Token}, m)
	}
	return []Action{r.report(m.From, m.Round, p.Token, v, 0)}
}

// known returns the vote that stands, or VoteNone if this agent can still
// decide it.
func (r *Rank) known(p Proposal) Vote {
	switch {
	case r.gate.Active.Token == p.Token, r.gate.Held.Token == p.Token && r.gate.Committed:
		return VoteCommitted
	case r.dropped == p.Token:
		return VoteNo
	case r.gate.Held.Token == p.Token:
		return VoteYes
	case p.Session != r.gate.Session.Token:
		return VoteMoved
	case p.Targets[r.cfg.Self] != r.cfg.Incarnation:
		return r.excluded(p)
	case p.Token == r.tried.Token && r.unresolved():
		return VoteLost
	case p.Token.Compare(r.floor) <= 0:
		return VoteNo
	}
	return VoteNone
}

// excluded answers for a proposal that an order in flight may still stage. A
// passed switch step or a raised fence rules that out.
func (r *Rank) excluded(p Proposal) Vote {
	fenced := r.gate.ChecksFencing && p.Token.Compare(r.gate.Fence) <= 0
	if fenced || r.gate.Step >= p.Step {
		return VoteNo
	}
	return VoteLost
}

// unresolved says whether a copy of the last hold order may still take effect
// although the engine refused another copy.
func (r *Rank) unresolved() bool {
	p := r.tried
	return !p.Token.IsZero() &&
		p.Session == r.gate.Session.Token &&
		p.Token != r.gate.Held.Token &&
		p.Token != r.gate.Active.Token &&
		p.Token != r.dropped &&
		r.excluded(p) == VoteLost
}

func (r *Rank) refuse(m Message) []Action {
	if r.floor.Compare(m.Proposal.Token) < 0 {
		r.floor = m.Proposal.Token
	}
	return []Action{r.report(m.From, m.Round, m.Proposal.Token, VoteNo, 0)}
}

func (r *Rank) outcome(now time.Duration, m Message, kind OrderKind) []Action {
	if r.ordering || !r.InDoubt() || r.gate.Held.Token != m.Proposal.Token {
		return nil
	}
	if kind == OrderDrop {
		r.dropped = m.Proposal.Token
	}
	return r.command(now, Order{Kind: kind, Proposal: m.Proposal}, Message{From: noAsker})
}

func (r *Rank) join(now time.Duration, m Message) []Action {
	if r.ordering {
		return nil
	}
	if m.Target != r.cfg.Incarnation || m.Session.Token.Compare(r.gate.Session.Token) <= 0 {
		return []Action{r.report(m.From, m.Round, Token{}, VoteNone, 0)}
	}
	if !r.hasLoaded(m.Session.Map) {
		return []Action{LoadWeights{Map: m.Session.Map}}
	}
	r.joined = m.Session.Token
	return r.command(now, Order{Kind: OrderJoin, Session: m.Session}, m)
}

func (r *Rank) command(now time.Duration, o Order, m Message) []Action {
	r.seq++
	o.Seq, o.Agent, o.Process = r.seq, r.cfg.Incarnation, r.gate.Process
	r.ordering, r.order, r.orderedAt = true, o, now
	r.asker, r.askRound = m.From, m.Round
	return []Action{Command{Order: o}}
}

// Acknowledge takes the engine's state after it handled the order with that
// number.
func (r *Rank) Acknowledge(now time.Duration, seq uint64, g GateState) []Action {
	if !r.ordering || seq != r.seq {
		return nil
	}
	r.ordering = false
	o, asker, round := r.order, r.asker, r.askRound
	r.order, r.asker, r.askRound = Order{}, noAsker, 0
	actions := r.Observe(now, g)
	if asker == noAsker {
		return actions
	}
	about, v := Token{}, VoteNone
	if o.Kind == OrderHold || o.Kind == OrderFence {
		about, v = o.Proposal.Token, r.known(o.Proposal)
	}
	return append(actions, r.report(asker, round, about, v, 0))
}

// Observe takes the engine's state as it is reported without an order. The
// caller must not pass a state older than one already passed.
func (r *Rank) Observe(now time.Duration, g GateState) []Action {
	if r.ordering {
		return nil
	}
	if g.Held.Token != r.gate.Held.Token {
		r.heldAt = now
	}
	if g.Step != r.gate.Step || g.Session.Token != r.gate.Session.Token {
		r.progressAt = now
	}
	r.gate = g
	if r.InDoubt() && g.Held.Token == r.dropped {
		// A repeated order staged a proposal that is known to be aborted.
		return r.command(now, Order{Kind: OrderDrop, Proposal: g.Held}, Message{From: noAsker})
	}
	return nil
}

// Tick repeats an unanswered order and asks for an outcome that is overdue.
func (r *Rank) Tick(now time.Duration) []Action {
	switch {
	case r.ordering && now-r.orderedAt >= r.cfg.OrderTimeout:
		r.orderedAt = now
		return []Action{Command{Order: r.order}}
	case r.ordering:
		return nil
	case r.gate.Session.Token.IsZero(), r.gate.Session.Token.Compare(r.joined) < 0:
		return []Action{ReformNeeded{}}
	case r.InDoubt() && now-r.heldAt >= r.cfg.SettleAfter:
		r.heldAt = now
		return []Action{SettleNeeded{Proposal: r.gate.Held}}
	case now-r.progressAt >= r.cfg.StallAfter*time.Duration(r.cfg.Self+1):
		r.progressAt = now
		return []Action{ReformNeeded{}}
	}
	return nil
}

func (r *Rank) report(to int, round uint64, about Token, v Vote, loaded MapID) Action {
	rep := Report{
		Rank: r.cfg.Self, Incarnation: r.cfg.Incarnation, Gate: r.gate,
		About: about, Vote: v, Round: round,
	}
	if loaded != 0 && r.hasLoaded(loaded) {
		rep.Loaded = loaded
	}
	return Send{Message: Message{Kind: KindReport, From: r.cfg.Self, To: to, Report: rep}}
}

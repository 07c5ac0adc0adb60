package expertmap

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// ProposerConfig holds the settings of a proposer.
type ProposerConfig struct {
	Self, Ranks int
	Incarnation api.Incarnation
	// InitialMap is the map of the first session, used if no rank reports a
	// committed map.
	InitialMap MapID
	// LeadSteps is the number of steps from the newest reported step to the
	// switch step.
	LeadSteps uint64
	// LoadTimeout limits how long ranks may take to load the weights of a map.
	LoadTimeout time.Duration
	// VoteTimeout is how long a proposer waits for votes before it queries the
	// ranks for the outcome.
	VoteTimeout time.Duration
	// ResendInterval is the retry interval of unanswered requests.
	ResendInterval time.Duration
}

// loadResendFactor is the retry interval of load requests as a multiple of
// ResendInterval. Loading takes seconds, and no engine is blocked during that time.
const loadResendFactor = 10

type phase uint8

const (
	idle phase = iota
	loading
	preparing
	resolving
	// polling collects the state of all ranks before a session is formed.
	polling
	joining
)

// Proposer is a state machine that proposes a map, resolves a proposal in
// doubt or forms a session. Several proposers may be active at the same time.
type Proposer struct {
	cfg       ProposerConfig
	revision  uint64
	counter   uint64
	phase     phase
	round     uint64
	targetMap MapID
	proposal  Proposal
	session   Session
	// voteUnknown is true if a vote on the proposal cannot be determined.
	voteUnknown bool
	// reported marks the ranks that have reported in this round.
	reported []bool
	reports  []Report
	votes    []Vote

	deadline time.Duration
	resendAt time.Duration
}

// NewProposer returns an idle proposer.
func NewProposer(cfg ProposerConfig) Proposer {
	return Proposer{
		cfg: cfg,
		// The initial round differs from those of an earlier process of this agent,
		// so that reports to that process are ignored.
		round:    uint64(cfg.Incarnation),
		reported: make([]bool, cfg.Ranks),
		reports:  make([]Report, cfg.Ranks),
		votes:    make([]Vote, cfg.Ranks),
	}
}

// Busy reports whether an operation is in progress.
func (p *Proposer) Busy() bool { return p.phase != idle }

// SetRevision sets the platform's configuration revision used in new tokens.
// A lower revision is ignored.
func (p *Proposer) SetRevision(revision uint64) { p.revision = max(p.revision, revision) }

// Propose starts a switch of the group to the map id. It does nothing while
// another operation is in progress.
func (p *Proposer) Propose(now time.Duration, id MapID) []Action {
	if p.Busy() {
		return nil
	}
	p.targetMap = id
	return p.startPhase(now, loading, p.cfg.LoadTimeout)
}

// Resolve determines the outcome of a proposal that is in doubt at some rank. It
// interrupts the loading of weights and a poll; while votes are collected or a
// session forms, it does nothing.
func (p *Proposer) Resolve(now time.Duration, proposal Proposal) []Action {
	if p.phase != idle && p.phase != loading && p.phase != polling {
		return nil
	}
	p.proposal = proposal
	return p.startPhase(now, resolving, p.cfg.VoteTimeout)
}

// FormSession forms a new session if the ranks need one: if they are in different
// sessions, or if a proposal cannot be resolved. It interrupts the loading of
// weights; during any other operation, it does nothing.
func (p *Proposer) FormSession(now time.Duration) []Action {
	if p.phase != idle && p.phase != loading {
		return nil
	}
	return p.startPhase(now, polling, p.cfg.VoteTimeout)
}

func (p *Proposer) startPhase(now time.Duration, next phase, timeout time.Duration) []Action {
	p.phase = next
	p.round++
	clear(p.reported)
	clear(p.votes)
	if next != joining {
		clear(p.reports)
	}
	p.deadline = now + timeout
	return p.sendRequests(now)
}

// sendRequests sends the request of the current phase to every rank that has
// not answered it.
func (p *Proposer) sendRequests(now time.Duration) []Action {
	p.resendAt = now + p.cfg.ResendInterval
	if p.phase == loading {
		p.resendAt += (loadResendFactor - 1) * p.cfg.ResendInterval
	}
	var actions []Action
	for rank := range p.cfg.Ranks {
		if m, unanswered := p.request(rank); unanswered {
			m.From, m.To, m.Round = p.cfg.Self, rank, p.round
			actions = append(actions, Send{Message: m})
		}
	}
	return actions
}

func (p *Proposer) request(rank int) (Message, bool) {
	switch p.phase {
	case loading:
		return Message{Kind: KindLoad, Map: p.targetMap}, !p.ready(rank)
	case preparing:
		return Message{Kind: KindPrepare, Proposal: p.proposal}, p.votes[rank] == VoteNone
	case resolving:
		return Message{Kind: KindQuery, Proposal: p.proposal}, p.votes[rank] == VoteNone
	case polling:
		return Message{Kind: KindLoad}, !p.reported[rank]
	case joining:
		m := Message{Kind: KindJoin, Session: p.session, Target: p.reports[rank].Incarnation}
		return m, p.reports[rank].Engine.Session != p.session
	}
	return Message{}, false
}

func (p *Proposer) ready(rank int) bool {
	r := &p.reports[rank]
	return p.reported[rank] && r.Loaded == p.targetMap && r.Engine.Prepared.Token.IsZero()
}

// Receive handles a report. Reports of other rounds are ignored.
func (p *Proposer) Receive(now time.Duration, m Message) []Action {
	r := m.Report
	if m.Kind != KindReport || p.phase == idle || r.Round != p.round {
		return nil
	}
	p.observeTokens(r)
	p.reports[r.Rank], p.reported[r.Rank] = r, true
	voting := p.phase == preparing || p.phase == resolving
	if voting && r.VotedOn == p.proposal.Token {
		p.votes[r.Rank] = r.Vote
	}
	return p.advance(now)
}

// observeTokens raises the revision and the counter to the highest reported
// ones, so that the next token exceeds every token seen.
func (p *Proposer) observeTokens(r Report) {
	engine := &r.Engine
	for _, t := range [...]Token{engine.Fence, engine.Session.Token, engine.Active.Token, engine.Prepared.Token} {
		p.revision = max(p.revision, t.Revision)
		p.counter = max(p.counter, t.Counter)
	}
}

func (p *Proposer) nextToken() Token {
	p.counter++
	return Token{Revision: p.revision, Counter: p.counter, Proposer: p.cfg.Incarnation}
}

// Tick resends unanswered requests and ends a phase whose deadline has passed.
func (p *Proposer) Tick(now time.Duration) []Action {
	switch {
	case p.phase == idle:
		return nil
	case now >= p.deadline && p.phase == loading:
		return p.finish(ResultAbandoned)
	case now >= p.deadline && p.phase == preparing:
		return p.startPhase(now, resolving, p.cfg.VoteTimeout)
	case now >= p.deadline && p.phase == joining:
		// Poll again: a restarted rank has a new incarnation.
		return p.startPhase(now, polling, p.cfg.VoteTimeout)
	case now >= p.resendAt:
		return p.sendRequests(now)
	}
	return nil
}

func (p *Proposer) finish(result Result) []Action {
	finished := Finished{Result: result, Proposal: p.proposal, Session: p.session}
	p.phase, p.proposal, p.session, p.voteUnknown = idle, Proposal{}, Session{}, false
	clear(p.reported)
	clear(p.votes)
	clear(p.reports)
	return []Action{finished}
}

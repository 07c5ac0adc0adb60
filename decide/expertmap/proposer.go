package expertmap

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// ProposerConfig holds the settings of a proposer.
type ProposerConfig struct {
	Self, Ranks int
	Incarnation api.Incarnation
	// Initial is the map of the first session, while no rank knows another.
	Initial MapID
	// LeadSteps is the distance from the newest known step to the switch step.
	LeadSteps uint64
	// LoadTimeout bounds the loading of weights before a proposal is made.
	LoadTimeout time.Duration
	// VoteTimeout is how long a proposer waits for votes before it settles.
	VoteTimeout time.Duration
	// Resend is the interval at which unanswered questions are repeated.
	Resend time.Duration
}

// loadResend is the factor by which questions about weights are repeated less
// often: loading takes seconds, and no rank holds meanwhile.
const loadResend = 10

type phase uint8

const (
	idle phase = iota
	loading
	preparing
	settling
	// surveying collects fresh reports before a session is formed.
	surveying
	joining
)

// Proposer is the state machine of a process that changes the map, settles a
// proposal or forms a session. Several may act at the same time.
type Proposer struct {
	cfg      ProposerConfig
	revision uint64
	counter  uint64
	phase    phase
	round    uint64
	wish     MapID
	subject  Proposal
	session  Session
	// lost is true if votes on a proposal cannot be recovered.
	lost bool
	// fresh marks the ranks that reported in this round.
	fresh   []bool
	reports []Report
	votes   []Vote

	deadline time.Duration
	resendAt time.Duration
}

// NewProposer returns an idle proposer.
func NewProposer(cfg ProposerConfig) Proposer {
	return Proposer{
		cfg: cfg,
		// Reports to an earlier process of this agent are of other rounds.
		round:   uint64(cfg.Incarnation),
		fresh:   make([]bool, cfg.Ranks),
		reports: make([]Report, cfg.Ranks),
		votes:   make([]Vote, cfg.Ranks),
	}
}

// Busy says whether an undertaking is under way.
func (p *Proposer) Busy() bool { return p.phase != idle }

// SetRevision takes the platform's configuration revision for new tokens.
func (p *Proposer) SetRevision(revision uint64) { p.revision = max(p.revision, revision) }

// Propose starts to change the map of the group. It does nothing while busy.
func (p *Proposer) Propose(now time.Duration, id MapID) []Action {
	if p.Busy() {
		return nil
	}
	p.wish = id
	return p.begin(now, loading, p.cfg.LoadTimeout)
}

// Settle finds the outcome of a proposal that some rank holds.
func (p *Proposer) Settle(now time.Duration, subject Proposal) []Action {
	if p.phase != idle && p.phase != loading && p.phase != surveying {
		return nil
	}
	p.subject = subject
	return p.begin(now, settling, p.cfg.VoteTimeout)
}

// Reform forms a new session if the ranks need one.
func (p *Proposer) Reform(now time.Duration) []Action {
	if p.phase != idle && p.phase != loading {
		return nil
	}
	return p.begin(now, surveying, p.cfg.VoteTimeout)
}

func (p *Proposer) begin(now time.Duration, ph phase, limit time.Duration) []Action {
	p.phase = ph
	p.round++
	clear(p.fresh)
	clear(p.votes)
	if ph != joining {
		clear(p.reports)
	}
	p.deadline = now + limit
	return p.ask(now)
}

// ask sends the question of the phase to every rank that has not answered it.
func (p *Proposer) ask(now time.Duration) []Action {
	p.resendAt = now + p.cfg.Resend
	if p.phase == loading {
		p.resendAt += (loadResend - 1) * p.cfg.Resend
	}
	var actions []Action
	for rank := range p.cfg.Ranks {
		if m, open := p.question(rank); open {
			m.From, m.To, m.Round = p.cfg.Self, rank, p.round
			actions = append(actions, Send{Message: m})
		}
	}
	return actions
}

func (p *Proposer) question(rank int) (Message, bool) {
	switch p.phase {
	case loading:
		return Message{Kind: KindLoad, Map: p.wish}, !p.ready(rank)
	case preparing:
		return Message{Kind: KindPrepare, Proposal: p.subject}, p.votes[rank] == VoteNone
	case settling:
		return Message{Kind: KindQuery, Proposal: p.subject}, p.votes[rank] == VoteNone
	case surveying:
		return Message{Kind: KindLoad}, !p.fresh[rank]
	case joining:
		m := Message{Kind: KindJoin, Session: p.session, Target: p.reports[rank].Incarnation}
		return m, p.reports[rank].Gate.Session != p.session
	}
	return Message{}, false
}

func (p *Proposer) ready(rank int) bool {
	r := &p.reports[rank]
	return p.fresh[rank] && r.Loaded == p.wish && r.Gate.Held.Token.IsZero()
}

// Receive handles a report.
func (p *Proposer) Receive(now time.Duration, m Message) []Action {
	r := m.Report
	if m.Kind != KindReport || p.phase == idle || r.Round != p.round {
		return nil
	}
	p.learn(r)
	p.reports[r.Rank], p.fresh[r.Rank] = r, true
	voting := p.phase == preparing || p.phase == settling
	if voting && r.About == p.subject.Token {
		p.votes[r.Rank] = r.Vote
	}
	return p.advance(now)
}

// learn raises the counter above every token seen.
func (p *Proposer) learn(r Report) {
	g := &r.Gate
	for _, t := range [...]Token{g.Fence, g.Session.Token, g.Active.Token, g.Held.Token} {
		p.revision = max(p.revision, t.Revision)
		p.counter = max(p.counter, t.Counter)
	}
}

func (p *Proposer) draw() Token {
	p.counter++
	return Token{Revision: p.revision, Counter: p.counter, Proposer: p.cfg.Incarnation}
}

// Tick repeats questions and ends a phase whose time is up.
func (p *Proposer) Tick(now time.Duration) []Action {
	switch {
	case p.phase == idle:
		return nil
	case now >= p.deadline && p.phase == loading:
		return p.finish(ResultAbandoned)
	case now >= p.deadline && p.phase == preparing:
		return p.begin(now, settling, p.cfg.VoteTimeout)
	case now >= p.deadline && p.phase == joining:
		// A rank that restarted meanwhile has another incarnation.
		return p.begin(now, surveying, p.cfg.VoteTimeout)
	case now >= p.resendAt:
		return p.ask(now)
	}
	return nil
}

func (p *Proposer) finish(result Result) []Action {
	done := Finished{Result: result, Proposal: p.subject, Session: p.session}
	p.phase, p.subject, p.session, p.lost = idle, Proposal{}, Session{}, false
	clear(p.fresh)
	clear(p.votes)
	clear(p.reports)
	return []Action{done}
}

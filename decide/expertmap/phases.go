package expertmap

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// advance moves to the next phase once the reports allow it.
func (p *Proposer) advance(now time.Duration) []Action {
	switch p.phase {
	case loading:
		return p.afterLoad(now)
	case preparing, settling:
		return p.afterVote(now)
	case surveying:
		return p.afterSurvey(now)
	case joining:
		return p.afterJoin()
	}
	return nil
}

func (p *Proposer) afterLoad(now time.Duration) []Action {
	if held := p.inDoubt(); !held.Token.IsZero() {
		return p.Settle(now, held)
	}
	if slices.Contains(p.fresh, false) {
		return nil
	}
	if !p.uniform() {
		return p.afterSurvey(now)
	}
	for rank := range p.cfg.Ranks {
		if !p.ready(rank) {
			return nil
		}
	}
	p.subject = Proposal{
		Token: p.draw(), Session: p.reports[0].Gate.Session.Token, Map: p.wish,
		Step: p.newestStep() + p.cfg.LeadSteps, Targets: p.incarnations(),
	}
	return p.begin(now, preparing, p.cfg.VoteTimeout)
}

// uniform says whether all ranks reported the same session.
func (p *Proposer) uniform() bool {
	first := p.reports[0].Gate.Session
	for i := range p.reports {
		if p.reports[i].Gate.Session != first {
			return false
		}
	}
	return !first.Token.IsZero()
}

func (p *Proposer) newestStep() uint64 {
	var step uint64
	for i := range p.reports {
		step = max(step, p.reports[i].Gate.Step)
	}
	return step
}

func (p *Proposer) incarnations() []api.Incarnation {
	all := make([]api.Incarnation, p.cfg.Ranks)
	for i := range p.reports {
		all[i] = p.reports[i].Incarnation
	}
	return all
}

// afterVote derives the outcome from the votes. One no decides, because that
// rank never held the proposal; a commit needs the yes of every rank.
func (p *Proposer) afterVote(now time.Duration) []Action {
	switch {
	case slices.Contains(p.votes, VoteCommitted):
		return p.decide(KindCommit, ResultCommitted)
	case slices.Contains(p.votes, VoteNo):
		return p.decide(KindAbort, ResultAborted)
	case slices.Contains(p.votes, VoteLost), slices.Contains(p.votes, VoteMoved):
		p.lost = slices.Contains(p.votes, VoteLost)
		return p.begin(now, surveying, p.cfg.VoteTimeout)
	case !slices.ContainsFunc(p.votes, func(v Vote) bool { return v != VoteYes }):
		return p.decide(KindCommit, ResultCommitted)
	case p.phase == preparing && p.contended():
		return p.begin(now, settling, p.cfg.VoteTimeout)
	}
	return nil
}

// contended says whether a rank holds another proposal. Querying such a rank
// makes it vote no, so that this proposal gives way.
func (p *Proposer) contended() bool {
	for i := range p.reports {
		if p.fresh[i] && p.votes[i] == VoteNone {
			return true
		}
	}
	return false
}

func (p *Proposer) decide(kind Kind, result Result) []Action {
	actions := make([]Action, 0, p.cfg.Ranks+1)
	for rank := range p.cfg.Ranks {
		actions = append(actions, Send{Message: Message{
			Kind: kind, From: p.cfg.Self, To: rank, Round: p.round, Proposal: p.subject,
		}})
	}
	return append(actions, p.finish(result)...)
}

// afterSurvey forms a session if the ranks are in different ones, or if a
// rank is in doubt about a proposal whose votes are lost.
func (p *Proposer) afterSurvey(now time.Duration) []Action {
	if slices.Contains(p.fresh, false) {
		return nil
	}
	if held := p.inDoubt(); p.uniform() && (held.Token.IsZero() || !p.lost) {
		if held.Token.IsZero() {
			return p.finish(ResultAbandoned)
		}
		return p.Settle(now, held)
	}
	newest := p.newestVersion()
	p.session = Session{Token: p.draw(), Map: newest.Map, Start: p.newestStep() + 1}
	return p.begin(now, joining, p.cfg.LoadTimeout)
}

// inDoubt returns a proposal that a rank holds without knowing its outcome.
func (p *Proposer) inDoubt() Proposal {
	for i := range p.reports {
		if g := &p.reports[i].Gate; p.fresh[i] && !g.Held.Token.IsZero() && !g.Committed {
			return g.Held
		}
	}
	return Proposal{}
}

// newestVersion returns the newest map that is known to be committed.
func (p *Proposer) newestVersion() Version {
	newest := Version{Map: p.cfg.Initial}
	for i := range p.reports {
		g := &p.reports[i].Gate
		v := g.Active
		if g.Committed {
			v = Version{Token: g.Held.Token, Map: g.Held.Map}
		}
		if newest.Token.Compare(v.Token) < 0 {
			newest = v
		}
	}
	return newest
}

func (p *Proposer) afterJoin() []Action {
	joined := 0
	for i := range p.reports {
		switch c := p.reports[i].Gate.Session.Token.Compare(p.session.Token); {
		case c > 0:
			// Another proposer's session takes precedence.
			return p.finish(ResultAbandoned)
		case c == 0:
			joined++
		}
	}
	if joined < p.cfg.Ranks {
		return nil
	}
	return p.finish(ResultFormed)
}

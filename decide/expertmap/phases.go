package expertmap

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// advance enters the next phase if the reports received so far allow it.
func (p *Proposer) advance(now time.Duration) []Action {
	switch p.phase {
	case loading:
		return p.afterLoad(now)
	case preparing, resolving:
		return p.afterVote(now)
	case polling:
		return p.afterPoll(now)
	case joining:
		return p.afterJoin()
	}
	return nil
}

func (p *Proposer) afterLoad(now time.Duration) []Action {
	if prepared := p.inDoubt(); !prepared.Token.IsZero() {
		return p.Resolve(now, prepared)
	}
	if slices.Contains(p.reported, false) {
		return nil
	}
	if !p.sameSession() {
		return p.afterPoll(now)
	}
	for rank := range p.cfg.Ranks {
		if !p.ready(rank) {
			return nil
		}
	}
	p.proposal = Proposal{
		Token: p.nextToken(), Session: p.reports[0].Engine.Session.Token, Map: p.targetMap,
		Step: p.newestStep() + p.cfg.LeadSteps, Voters: p.incarnations(),
	}
	return p.startPhase(now, preparing, p.cfg.VoteTimeout)
}

// sameSession reports whether all ranks are in the same session.
func (p *Proposer) sameSession() bool {
	first := p.reports[0].Engine.Session
	for i := range p.reports {
		if p.reports[i].Engine.Session != first {
			return false
		}
	}
	return !first.Token.IsZero()
}

func (p *Proposer) newestStep() uint64 {
	var step uint64
	for i := range p.reports {
		step = max(step, p.reports[i].Engine.Step)
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

// afterVote derives the outcome from the votes. A single no vote aborts the
// proposal, because that rank has not prepared it and never will. A commit needs a
// yes vote from every rank.
func (p *Proposer) afterVote(now time.Duration) []Action {
	switch {
	case slices.Contains(p.votes, VoteCommitted):
		return p.decide(KindCommit, ResultCommitted)
	case slices.Contains(p.votes, VoteNo):
		return p.decide(KindAbort, ResultAborted)
	case slices.Contains(p.votes, VoteUnknown), slices.Contains(p.votes, VoteLeftSession):
		p.voteUnknown = slices.Contains(p.votes, VoteUnknown)
		return p.startPhase(now, polling, p.cfg.VoteTimeout)
	case !slices.ContainsFunc(p.votes, func(v Vote) bool { return v != VoteYes }):
		return p.decide(KindCommit, ResultCommitted)
	case p.phase == preparing && p.contended():
		return p.startPhase(now, resolving, p.cfg.VoteTimeout)
	}
	return nil
}

// contended reports whether a rank has not voted because another proposal is
// unresolved at that rank. The query in the phase resolving makes the rank vote no,
// which aborts this proposal.
func (p *Proposer) contended() bool {
	for i := range p.reports {
		if p.reported[i] && p.votes[i] == VoteNone {
			return true
		}
	}
	return false
}

func (p *Proposer) decide(kind Kind, result Result) []Action {
	actions := make([]Action, 0, p.cfg.Ranks+1)
	for rank := range p.cfg.Ranks {
		actions = append(actions, Send{Message: Message{
			Kind: kind, From: p.cfg.Self, To: rank, Round: p.round, Proposal: p.proposal,
		}})
	}
	return append(actions, p.finish(result)...)
}

// afterPoll forms a new session if the ranks are in different sessions, or if
// a rank is in doubt about a proposal that has an unknown vote. Otherwise it
// resolves the proposal in doubt, or ends the operation if there is none.
func (p *Proposer) afterPoll(now time.Duration) []Action {
	if slices.Contains(p.reported, false) {
		return nil
	}
	if prepared := p.inDoubt(); p.sameSession() && (prepared.Token.IsZero() || !p.voteUnknown) {
		if prepared.Token.IsZero() {
			return p.finish(ResultAbandoned)
		}
		return p.Resolve(now, prepared)
	}
	committed := p.newestCommitted()
	p.session = Session{Token: p.nextToken(), Map: committed.Map, Start: p.newestStep() + 1}
	return p.startPhase(now, joining, p.cfg.LoadTimeout)
}

// inDoubt returns a proposal that a rank has prepared without knowing the
// outcome, or the zero Proposal.
func (p *Proposer) inDoubt() Proposal {
	for i := range p.reports {
		if engine := &p.reports[i].Engine; p.reported[i] && !engine.Prepared.Token.IsZero() && !engine.Committed {
			return engine.Prepared
		}
	}
	return Proposal{}
}

// newestCommitted returns the committed map with the highest token.
func (p *Proposer) newestCommitted() Version {
	newest := Version{Map: p.cfg.InitialMap}
	for i := range p.reports {
		engine := &p.reports[i].Engine
		v := engine.Active
		if engine.Committed {
			v = Version{Token: engine.Prepared.Token, Map: engine.Prepared.Map}
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
		switch c := p.reports[i].Engine.Session.Token.Compare(p.session.Token); {
		case c > 0:
			// A session with a higher token takes precedence.
			return p.finish(ResultAbandoned)
		case c == 0:
			joined++
		}
	}
	if joined < p.cfg.Ranks {
		return nil
	}
	return p.finish(ResultSessionFormed)
}

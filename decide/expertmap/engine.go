package expertmap

import "slices"

// EngineModel models the engine behavior that the protocol requires: an engine
// stages one map at a time, does not stage a map for a step that it has
// already entered, commits and aborts a staged map by its token, and never
// rejoins a session that it has left.
type EngineModel struct {
	EngineState
	// LeftSessions lists the sessions this engine process has left.
	LeftSessions []Token
}

// NewEngineModel returns the model of a new engine process that is in no session.
func NewEngineModel(process uint64, checksFencing bool) EngineModel {
	return EngineModel{EngineState: EngineState{Process: process, ChecksFencing: checksFencing}}
}

// Apply executes an order. An invalid order is ignored; the agent detects this
// from the reported state.
func (e *EngineModel) Apply(o Order) {
	if o.Process != e.Process {
		return
	}
	switch o.Kind {
	case OrderPrepare:
		e.prepare(o.Proposal)
	case OrderCommit:
		e.Committed = e.Committed || e.isPrepared(o.Proposal.Token)
	case OrderAbort:
		if e.isPrepared(o.Proposal.Token) && !e.Committed {
			e.Prepared = Proposal{}
		}
	case OrderJoin:
		e.join(o.Session)
	case OrderFence:
		if e.ChecksFencing && e.Fence.Compare(o.Token) < 0 {
			e.Fence = o.Token
		}
	}
}

func (e *EngineModel) isPrepared(t Token) bool { return !t.IsZero() && e.Prepared.Token == t }

func (e *EngineModel) prepare(p Proposal) {
	switch {
	case !e.Prepared.Token.IsZero(),
		p.Session != e.Session.Token,
		p.Step <= e.Step,
		e.stale(p.Token):
		return
	}
	e.Prepared, e.Committed = p, false
	e.raiseFence(p.Token)
}

func (e *EngineModel) join(s Session) {
	if s.Token == e.Session.Token || slices.Contains(e.LeftSessions, s.Token) || e.stale(s.Token) {
		return
	}
	if !e.Session.Token.IsZero() {
		e.LeftSessions = append(slices.Clip(e.LeftSessions), e.Session.Token)
	}
	e.Session, e.Step = s, s.Start
	e.Active = Version{Token: s.Token, Map: s.Map}
	e.Prepared, e.Committed = Proposal{}, false
	e.raiseFence(s.Token)
}

func (e *EngineModel) stale(t Token) bool {
	return e.ChecksFencing && t.Compare(e.Fence) <= 0
}

func (e *EngineModel) raiseFence(t Token) {
	if e.ChecksFencing {
		e.Fence = t
	}
}

// Blocked reports whether the engine waits for an outcome before its next
// step.
func (e *EngineModel) Blocked() bool {
	return !e.Prepared.Token.IsZero() && !e.Committed && e.Step+1 >= e.Prepared.Step
}

// EnterStep enters the next step. The caller must ensure that every rank has
// entered the current step and that the engine is not blocked.
func (e *EngineModel) EnterStep() {
	e.Step++
	if e.Committed && e.Step >= e.Prepared.Step {
		e.Active = Version{Token: e.Prepared.Token, Map: e.Prepared.Map}
		e.Prepared, e.Committed = Proposal{}, false
	}
}

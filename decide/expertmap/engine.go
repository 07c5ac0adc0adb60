package expertmap

import "slices"

// Gate models the engine behavior that the protocol requires: an engine
// stages one map at a time, does not stage a map for a step that it has
// already entered, commits and aborts a staged map by its token, and never
// rejoins a session that it has left.
type Gate struct {
	GateState
	// LeftSessions lists the sessions this engine process has left.
	LeftSessions []Token
}

// NewGate returns the model of a new engine process that is in no session.
func NewGate(process uint64, checksFencing bool) Gate {
	return Gate{GateState: GateState{Process: process, ChecksFencing: checksFencing}}
}

// Apply executes an order. An invalid order is ignored; the agent detects this
// from the reported state.
func (e *Gate) Apply(o Order) {
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
			e.Held = Proposal{}
		}
	case OrderJoin:
		e.join(o.Session)
	case OrderFence:
		if e.ChecksFencing && e.Fence.Compare(o.Token) < 0 {
			e.Fence = o.Token
		}
	}
}

func (e *Gate) isPrepared(t Token) bool { return !t.IsZero() && e.Held.Token == t }

func (e *Gate) prepare(p Proposal) {
	switch {
	case !e.Held.Token.IsZero(),
		p.Session != e.Session.Token,
		p.Step <= e.Step,
		e.stale(p.Token):
		return
	}
	e.Held, e.Committed = p, false
	e.raiseFence(p.Token)
}

func (e *Gate) join(s Session) {
	if s.Token == e.Session.Token || slices.Contains(e.LeftSessions, s.Token) || e.stale(s.Token) {
		return
	}
	if !e.Session.Token.IsZero() {
		e.LeftSessions = append(slices.Clip(e.LeftSessions), e.Session.Token)
	}
	e.Session, e.Step = s, s.Start
	e.Active = Version{Token: s.Token, Map: s.Map}
	e.Held, e.Committed = Proposal{}, false
	e.raiseFence(s.Token)
}

func (e *Gate) stale(t Token) bool {
	return e.ChecksFencing && t.Compare(e.Fence) <= 0
}

func (e *Gate) raiseFence(t Token) {
	if e.ChecksFencing {
		e.Fence = t
	}
}

// Blocked reports whether the engine waits for an outcome before its next
// step.
func (e *Gate) Blocked() bool {
	return !e.Held.Token.IsZero() && !e.Committed && e.Step+1 >= e.Held.Step
}

// Enter enters the next step. The caller must ensure that every rank has
// entered the current step and that the engine is not blocked.
func (e *Gate) Enter() {
	e.Step++
	if e.Committed && e.Step >= e.Held.Step {
		e.Active = Version{Token: e.Held.Token, Map: e.Held.Map}
		e.Held, e.Committed = Proposal{}, false
	}
}

package expertmap

import "slices"

// Gate is the part of an engine that the protocol relies on. It states the
// contract: an engine holds one staged map at a time, refuses to stage one
// for a step that it has entered, activates and drops a staged map by its
// token, and cannot return to a session that it has left.
type Gate struct {
	GateState
	// Left lists the sessions that this engine process has left.
	Left []Token
}

// NewGate returns the gate of a new engine process, outside any session.
func NewGate(process uint64, checksFencing bool) Gate {
	return Gate{GateState: GateState{Process: process, ChecksFencing: checksFencing}}
}

// Apply carries out an order. An order that does not fit changes nothing; the
// agent learns so from the state.
func (g *Gate) Apply(o Order) {
	if o.Process != g.Process {
		return
	}
	switch o.Kind {
	case OrderHold:
		g.hold(o.Proposal)
	case OrderCommit:
		g.Committed = g.Committed || g.holds(o.Proposal.Token)
	case OrderDrop:
		if g.holds(o.Proposal.Token) && !g.Committed {
			g.Held = Proposal{}
		}
	case OrderJoin:
		g.join(o.Session)
	case OrderFence:
		if g.ChecksFencing && g.Fence.Compare(o.Token) < 0 {
			g.Fence = o.Token
		}
	}
}

func (g *Gate) holds(t Token) bool { return !t.IsZero() && g.Held.Token == t }

func (g *Gate) hold(p Proposal) {
	switch {
	case !g.Held.Token.IsZero(),
		p.Session != g.Session.Token,
		p.Step <= g.Step,
		g.stale(p.Token):
		return
	}
	g.Held, g.Committed = p, false
	g.raise(p.Token)
}

func (g *Gate) join(s Session) {
	if s.Token == g.Session.Token || slices.Contains(g.Left, s.Token) || g.stale(s.Token) {
		return
	}
	if !g.Session.Token.IsZero() {
		g.Left = append(slices.Clip(g.Left), g.Session.Token)
	}
	g.Session, g.Step = s, s.Start
	g.Active = Version{Token: s.Token, Map: s.Map}
	g.Held, g.Committed = Proposal{}, false
	g.raise(s.Token)
}

func (g *Gate) stale(t Token) bool {
	return g.ChecksFencing && t.Compare(g.Fence) <= 0
}

func (g *Gate) raise(t Token) {
	if g.ChecksFencing {
		g.Fence = t
	}
}

// Blocked says whether the engine holds before its next step.
func (g *Gate) Blocked() bool {
	return !g.Held.Token.IsZero() && !g.Committed && g.Step+1 >= g.Held.Step
}

// Enter enters the next step. The caller has made sure that every rank took
// part in the present one and that the gate is not blocked.
func (g *Gate) Enter() {
	g.Step++
	if g.Committed && g.Step >= g.Held.Step {
		g.Active = Version{Token: g.Held.Token, Map: g.Held.Map}
		g.Held, g.Committed = Proposal{}, false
	}
}

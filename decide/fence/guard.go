package fence

import (
	"fmt"

	"github.com/mulberryfork/mulberryfork/api"
)

// Order is what an agent judges of an order to its engine.
type Order struct {
	Token Token
	// Target is the incarnation of the agent that the proposer means.
	Target api.Incarnation
	// Content is a hash of what the engine is told to do.
	Content uint64
}

// Verdict says what an agent does with an order.
type Verdict int

const (
	// Refuse is for an order that is stale.
	Refuse Verdict = iota
	// Pass is for an order that goes to the engine.
	Pass
	// Repeat is for an order that was passed before under the same token.
	Repeat
	// ReadBack asks for the engine's own token first.
	ReadBack
)

// Guard is the agent's side. It checks for engines that ignore tokens, and
// spares engines that check them orders that they would refuse. The control
// goroutine owns it.
type Guard struct {
	self   api.Incarnation
	checks bool
	// floor is the least revision that an order may carry.
	floor   uint64
	high    Token
	content uint64
	// read is set once the engine's own token was read back.
	read bool
}

// NewGuard returns the guard of an agent that has just started. An engine that
// checks tokens also reports the highest one.
func NewGuard(self api.Incarnation, checks bool) *Guard { return &Guard{self: self, checks: checks} }

// Revision takes a configuration revision in force at the agent. Orders under
// older ones are refused from then on.
func (g *Guard) Revision(revision uint64) { g.floor = max(g.floor, revision) }

// EngineToken takes the highest token that the engine reports, nil for one that
// has none. What the agent passed before stays the least, since an engine that
// restarts has forgotten its token.
func (g *Guard) EngineToken(t *Token) {
	g.read = true
	if t != nil && t.Compare(g.high) > 0 {
		g.high, g.content = *t, 0
	}
}

// Admit judges an order. An engine that ignores tokens cannot tell what it
// obeyed before the agent's start, so an order that was meant for an earlier
// start of the agent is refused, and one under a revision older than that in
// force here.
func (g *Guard) Admit(o Order) (Verdict, *StaleTokenError) {
	if o.Target != g.self || o.Token.Revision < g.floor {
		return Refuse, g.stale(o.Token)
	}
	if g.checks && !g.read {
		return ReadBack, nil
	}
	switch c := o.Token.Compare(g.high); {
	case c == 0 && g.content == o.Content && o.Content != 0:
		return Repeat, nil
	case c <= 0:
		return Refuse, g.stale(o.Token)
	}
	g.high, g.content = o.Token, o.Content
	return Pass, nil
}

// High returns the highest token that the agent knows of.
func (g *Guard) High() Token { return g.high }

func (g *Guard) stale(t Token) *StaleTokenError {
	return &StaleTokenError{Token: t, High: g.high, Floor: g.floor}
}

// StaleTokenError reports an order that is older than what the engine obeyed,
// or meant for an earlier start of the agent.
type StaleTokenError struct {
	Token Token
	High  Token
	Floor uint64
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("stale fencing token %+v, the highest is %+v under revision %d", e.Token, e.High, e.Floor)
}

// Failure returns the refusal for the sender of the order.
func (e *StaleTokenError) Failure() *api.Failure {
	return &api.Failure{
		Code: api.CodeStaleFencingToken, Run: api.NotRun, Revision: e.Floor,
		Detail: "the order has a stale fencing token", Err: e,
	}
}

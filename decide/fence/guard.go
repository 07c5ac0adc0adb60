package fence

import (
	"fmt"

	"github.com/mulberryfork/mulberryfork/api"
)

// Order holds the parts of an order to an engine that an agent checks.
type Order struct {
	Token Token
	// Target is the incarnation of the agent that the order is for.
	Target api.Incarnation
	// ContentHash is a hash of the order's content. Zero disables the detection of
	// duplicates.
	ContentHash uint64
}

// Verdict is the decision of an agent about an order.
type Verdict int

const (
	// Reject means that the order is stale.
	Reject Verdict = iota
	// Forward means that the order is sent to the engine.
	Forward
	// Duplicate means that the order has already been forwarded with this token.
	Duplicate
	// ReadEngineToken means that the engine's token must be read first.
	ReadEngineToken
)

// Guard checks the tokens of orders at an agent. It protects engines that ignore
// tokens, and saves engines that check them from orders they would reject. The
// control goroutine owns it.
type Guard struct {
	self         api.Incarnation
	engineChecks bool
	// minRevision is the lowest accepted revision of an order.
	minRevision uint64
	highest     Token
	highestHash uint64
	// engineTokenRead is true after the engine's token has been read.
	engineTokenRead bool
}

// NewGuard returns the guard of an agent that has just started, with its
// incarnation. engineChecks is true if the engine checks tokens; it then also
// reports the highest one.
func NewGuard(self api.Incarnation, engineChecks bool) *Guard {
	return &Guard{self: self, engineChecks: engineChecks}
}

// ObserveRevision records the configuration revision active at the agent. Orders
// with an older revision are then rejected.
func (g *Guard) ObserveRevision(revision uint64) { g.minRevision = max(g.minRevision, revision) }

// ObserveEngineToken records the token that the engine reports, nil if it has
// none. It never lowers the highest token known to the agent, since a restarted
// engine has lost its token.
func (g *Guard) ObserveEngineToken(t *Token) {
	g.engineTokenRead = true
	if t != nil && t.Compare(g.highest) > 0 {
		g.highest, g.highestHash = *t, 0
	}
}

// Admit decides whether an order is forwarded to the engine. Orders for an earlier
// incarnation of the agent are rejected, because an engine that ignores tokens
// cannot report which orders it applied before the agent started. Orders with a
// revision older than the active one are rejected too. The error is nil unless the
// verdict is Reject.
func (g *Guard) Admit(o Order) (Verdict, *StaleTokenError) {
	if o.Target != g.self || o.Token.Revision < g.minRevision {
		return Reject, g.stale(o.Token)
	}
	if g.engineChecks && !g.engineTokenRead {
		return ReadEngineToken, nil
	}
	switch c := o.Token.Compare(g.highest); {
	case c == 0 && g.highestHash == o.ContentHash && o.ContentHash != 0:
		return Duplicate, nil
	case c <= 0:
		return Reject, g.stale(o.Token)
	}
	g.highest, g.highestHash = o.Token, o.ContentHash
	return Forward, nil
}

// Highest returns the highest token known to the agent.
func (g *Guard) Highest() Token { return g.highest }

func (g *Guard) stale(t Token) *StaleTokenError {
	return &StaleTokenError{Token: t, Highest: g.highest, MinRevision: g.minRevision}
}

// StaleTokenError reports an order whose token or revision is too old, or that is
// for an earlier incarnation of the agent.
type StaleTokenError struct {
	Token       Token
	Highest     Token
	MinRevision uint64
}

func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("stale fencing token %+v: highest token %+v, minimum revision %d", e.Token, e.Highest, e.MinRevision)
}

// Failure returns the error response for the sender of the order.
func (e *StaleTokenError) Failure() *api.Failure {
	return &api.Failure{
		Code: api.CodeStaleFencingToken, Run: api.NotRun, Revision: e.MinRevision,
		Detail: "the order has a stale fencing token", Err: e,
	}
}

// Package fence implements fencing tokens for orders to an engine, without
// persistent state. A token consists of the platform's configuration revision,
// the incarnation of the proposer and a counter, compared in this order. An agent
// checks each order against the highest token it knows. After its start, it first
// reads the highest token of its engine, if the engine reports one.
package fence

import (
	"cmp"
	"fmt"

	"github.com/mulberryfork/mulberryfork/api"
)

// Token is the fencing token of an order.
type Token struct {
	// Revision is the configuration revision active at the proposer.
	Revision uint64
	// Incarnation is the incarnation of the proposer.
	Incarnation api.Incarnation
	// Counter increases with each token issued at a revision.
	Counter uint64
}

// Compare compares tokens by revision, incarnation and counter.
func (t Token) Compare(o Token) int {
	return cmp.Or(
		cmp.Compare(t.Revision, o.Revision),
		cmp.Compare(t.Incarnation, o.Incarnation),
		cmp.Compare(t.Counter, o.Counter),
	)
}

// Proposer issues tokens. The control goroutine owns it.
type Proposer struct {
	incarnation api.Incarnation
	lastToken   Token
	// highestSeen is the highest token observed from other proposers.
	highestSeen Token
}

// NewProposer returns the proposer of a process with the given incarnation.
func NewProposer(incarnation api.Incarnation) *Proposer {
	return &Proposer{incarnation: incarnation}
}

// Observe records a token of another proposer, received in a rejection or read
// from an engine.
func (p *Proposer) Observe(t Token) {
	if t.Compare(p.highestSeen) > 0 {
		p.highestSeen = t
	}
}

// NextToken returns a token at the given configuration revision that is higher than
// all tokens issued by this proposer. It fails with an OutrankedError if a proposer
// with a higher incarnation has issued a token at the same revision: no token of
// this proposer would be accepted until a newer revision is active, and the other
// proposer must send the orders. It also fails with an OutrankedError if a higher
// revision has been seen.
func (p *Proposer) NextToken(revision uint64) (Token, error) {
	t := Token{Revision: revision, Incarnation: p.incarnation}
	if p.lastToken.Revision == revision {
		t.Counter = p.lastToken.Counter
	}
	t.Counter++
	if p.lastToken.Revision > revision || p.highestSeen.Revision > revision ||
		(p.highestSeen.Revision == revision && p.highestSeen.Incarnation > p.incarnation) {
		return Token{}, &OutrankedError{Token: t, Seen: p.highest()}
	}
	p.lastToken = t
	return t, nil
}

func (p *Proposer) highest() Token {
	if p.lastToken.Compare(p.highestSeen) > 0 {
		return p.lastToken
	}
	return p.highestSeen
}

// OutrankedError reports that a proposer cannot issue a token higher than those
// it has seen. Token is the one it would have issued, Seen the highest one.
type OutrankedError struct {
	Token Token
	Seen  Token
}

func (e *OutrankedError) Error() string {
	return fmt.Sprintf("fencing token %+v is not higher than %+v", e.Token, e.Seen)
}

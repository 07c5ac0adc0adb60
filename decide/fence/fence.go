// Package fence orders the proposers of orders to an engine without written
// state. A token is made of the platform's revision, the incarnation of the
// proposer and a counter; tokens are compared field by field. An agent admits
// each order against the highest token that it knows of, which it reads back
// from engines that report theirs.
package fence

import (
	"cmp"
	"fmt"

	"github.com/mulberryfork/mulberryfork/api"
)

// Token is a fencing token.
type Token struct {
	// Revision is the configuration revision in force at the proposer.
	Revision uint64
	// Incarnation is that of the proposer.
	Incarnation api.Incarnation
	// Counter grows with each order of the proposer.
	Counter uint64
}

// Compare orders two tokens.
func (t Token) Compare(o Token) int {
	return cmp.Or(
		cmp.Compare(t.Revision, o.Revision),
		cmp.Compare(t.Incarnation, o.Incarnation),
		cmp.Compare(t.Counter, o.Counter),
	)
}

// Proposer draws tokens. The control goroutine owns it.
type Proposer struct {
	incarnation api.Incarnation
	last        Token
	// seen is the highest token that this process heard of.
	seen Token
}

// NewProposer returns a proposer for one start of a process.
func NewProposer(incarnation api.Incarnation) *Proposer {
	return &Proposer{incarnation: incarnation}
}

// Seen takes a token of another proposer, from a refusal or a read back.
func (p *Proposer) Seen(t Token) {
	if t.Compare(p.seen) > 0 {
		p.seen = t
	}
}

// Draw returns a token above all that this proposer drew. It fails if another
// proposer with a higher incarnation has drawn at the same revision: this one
// then has no token that would be accepted, and must leave the orders to the
// other until a newer revision is in force. A revision that falls behind one
// that was seen fails too.
func (p *Proposer) Draw(revision uint64) (Token, error) {
	t := Token{Revision: revision, Incarnation: p.incarnation}
	if p.last.Revision == revision {
		t.Counter = p.last.Counter
	}
	t.Counter++
	if p.last.Revision > revision || p.seen.Revision > revision ||
		(p.seen.Revision == revision && p.seen.Incarnation > p.incarnation) {
		return Token{}, &OutrankedError{Token: t, Seen: p.highest()}
	}
	p.last = t
	return t, nil
}

func (p *Proposer) highest() Token {
	if p.last.Compare(p.seen) > 0 {
		return p.last
	}
	return p.seen
}

// OutrankedError reports a proposer that cannot draw a token above those that
// it has seen.
type OutrankedError struct {
	Token Token
	Seen  Token
}

func (e *OutrankedError) Error() string {
	return fmt.Sprintf("token %+v does not exceed %+v", e.Token, e.Seen)
}

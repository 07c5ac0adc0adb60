package fence

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/api"
)

// TestProposersAtOneRevision guards against two proposers that outrank each other in
// turn at the same revision, so that the engine applies orders of both.
func TestProposersAtOneRevision(t *testing.T) {
	low, high := NewProposer(3), NewProposer(7)
	first, err := low.NextToken(5)
	if err != nil {
		t.Fatal(err)
	}
	second, err := high.NextToken(5)
	if err != nil || second.Compare(first) <= 0 {
		t.Fatalf("%+v after %+v: %v", second, first, err)
	}
	low.Observe(second)
	var outranked *OutrankedError
	if _, err := low.NextToken(5); !errors.As(err, &outranked) {
		t.Errorf("outranked proposer issued a token: %v", err)
	}
	if third, err := low.NextToken(6); err != nil || third.Compare(second) <= 0 {
		t.Errorf("token %+v at a newer revision: %v", third, err)
	}
	if _, err := low.NextToken(5); !errors.As(err, &outranked) {
		t.Errorf("proposer issued a token at an older revision: %v", err)
	}
}

// engine simulates an engine. If it checks tokens, it rejects orders with a token
// lower than the last one.
type engine struct {
	checksTokens bool
	lastToken    *Token
	applied      []Order
}

func (e *engine) apply(o Order) {
	if e.checksTokens && e.lastToken != nil && o.Token.Compare(*e.lastToken) < 0 {
		return
	}
	e.lastToken = &o.Token
	e.applied = append(e.applied, o)
}

// model consists of two proposers, an agent and its engine, each of which may
// restart, and orders that may be delayed, lost and duplicated.
type model struct {
	proposers [2]*Proposer
	starts    api.Incarnation
	revision  uint64
	agent     api.Incarnation
	guard     *Guard
	engine    *engine
	orders    []Order
	lastHash  uint64
	issued    map[Token]bool
}

func (m *model) newIncarnation() api.Incarnation {
	m.starts++
	// Incarnations are random: that of a later start may be lower.
	return m.starts * 2654435761 % 1000003
}

func (m *model) restartAgent() {
	m.agent = m.newIncarnation()
	m.guard = NewGuard(m.agent, m.engine.checksTokens)
	m.guard.ObserveRevision(m.revision)
}

func (m *model) propose(t *rapid.T) {
	p := m.proposers[rapid.IntRange(0, 1).Draw(t, "proposer")]
	token, err := p.NextToken(m.revision)
	if err != nil {
		return
	}
	if m.issued[token] {
		t.Fatalf("token %+v issued twice", token)
	}
	m.issued[token] = true
	m.lastHash++
	m.orders = append(m.orders, Order{Token: token, Target: m.agent, ContentHash: m.lastHash})
}

// deliver delivers to the agent any order that was ever sent.
func (m *model) deliver(t *rapid.T) {
	if len(m.orders) == 0 {
		return
	}
	o := rapid.SampledFrom(m.orders).Draw(t, "order")
	verdict, stale := m.guard.Admit(o)
	if verdict == ReadEngineToken {
		m.guard.ObserveEngineToken(m.engine.lastToken)
		verdict, stale = m.guard.Admit(o)
	}
	if (verdict == Reject) != (stale != nil) {
		t.Fatalf("verdict %d with %v", verdict, stale)
	}
	if verdict == Reject && o.Target == m.agent && o.Token.Compare(m.guard.Highest()) > 0 && o.Token.Revision == m.revision {
		t.Fatalf("rejected the newest order %+v", o)
	}
	if verdict != Forward {
		return
	}
	if o.Target != m.agent || o.Token.Revision < m.revision {
		t.Fatalf("forwarded %+v to the engine of agent %d at revision %d", o, m.agent, m.revision)
	}
	m.engine.apply(o)
}

// check fails if the engine applied an order whose token is not higher than the
// previous one. If the engine ignores tokens, this is not guaranteed across restarts
// of the agent.
func (m *model) check(t *rapid.T) {
	for i := 1; i < len(m.engine.applied); i++ {
		a, b := m.engine.applied[i-1], m.engine.applied[i]
		if (m.engine.checksTokens || a.Target == b.Target) && b.Token.Compare(a.Token) <= 0 {
			t.Fatalf("applied %+v after %+v", b, a)
		}
	}
}

// TestEngineAppliesTokensInOrder guards against an engine that applies a stale
// order after a newer one, despite restarts, delays and duplicates.
func TestEngineAppliesTokensInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{revision: 1, issued: map[Token]bool{}, engine: &engine{checksTokens: rapid.Bool().Draw(t, "checks")}}
		for i := range m.proposers {
			m.proposers[i] = NewProposer(m.newIncarnation())
		}
		m.restartAgent()
		t.Repeat(map[string]func(*rapid.T){
			"propose": m.propose,
			"deliver": m.deliver,
			"again":   m.deliver,
			"revision": func(*rapid.T) {
				m.revision++
				m.guard.ObserveRevision(m.revision)
			},
			"hear": func(t *rapid.T) {
				m.proposers[rapid.IntRange(0, 1).Draw(t, "proposer")].Observe(m.guard.Highest())
			},
			"restart proposer": func(t *rapid.T) {
				m.proposers[rapid.IntRange(0, 1).Draw(t, "proposer")] = NewProposer(m.newIncarnation())
			},
			"restart agent":  func(*rapid.T) { m.restartAgent() },
			"restart engine": func(*rapid.T) { m.engine = &engine{checksTokens: m.engine.checksTokens} },
			"":               m.check,
		})
	})
}

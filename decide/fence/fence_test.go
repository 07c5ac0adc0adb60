package fence

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/api"
)

// TestProposersAtOneRevision guards against two processes that both believe
// their orders to be the newest.
func TestProposersAtOneRevision(t *testing.T) {
	low, high := NewProposer(3), NewProposer(7)
	first, err := low.Draw(5)
	if err != nil {
		t.Fatal(err)
	}
	second, err := high.Draw(5)
	if err != nil || second.Compare(first) <= 0 {
		t.Fatalf("%+v after %+v: %v", second, first, err)
	}
	low.Seen(second)
	var outranked *OutrankedError
	if _, err := low.Draw(5); !errors.As(err, &outranked) {
		t.Errorf("an outranked proposer draws: %v", err)
	}
	if third, err := low.Draw(6); err != nil || third.Compare(second) <= 0 {
		t.Errorf("%+v under a newer revision: %v", third, err)
	}
	if _, err := low.Draw(5); !errors.As(err, &outranked) {
		t.Errorf("a proposer draws under an older revision: %v", err)
	}
}

// engine is a simple engine: one that checks tokens refuses lower ones.
type engine struct {
	checks bool
	last   *Token
	obeyed []Order
}

func (e *engine) order(o Order) {
	if e.checks && e.last != nil && o.Token.Compare(*e.last) < 0 {
		return
	}
	e.last = &o.Token
	e.obeyed = append(e.obeyed, o)
}

// world is two proposers, an agent and its engine, each of which may restart,
// and orders that are delayed, lost and duplicated.
type world struct {
	proposers [2]*Proposer
	fresh     api.Incarnation
	revision  uint64
	agent     api.Incarnation
	guard     *Guard
	engine    *engine
	orders    []Order
	content   uint64
	drawn     map[Token]bool
}

func (w *world) start() api.Incarnation {
	w.fresh++
	// Incarnations are random, so that a later start may rank lower.
	return w.fresh * 2654435761 % 1000003
}

func (w *world) restartAgent() {
	w.agent = w.start()
	w.guard = NewGuard(w.agent, w.engine.checks)
	w.guard.Revision(w.revision)
}

func (w *world) propose(t *rapid.T) {
	p := w.proposers[rapid.IntRange(0, 1).Draw(t, "proposer")]
	token, err := p.Draw(w.revision)
	if err != nil {
		return
	}
	if w.drawn[token] {
		t.Fatalf("token %+v drawn twice", token)
	}
	w.drawn[token] = true
	w.content++
	w.orders = append(w.orders, Order{Token: token, Target: w.agent, Content: w.content})
}

// deliver hands any order that was ever sent to the agent.
func (w *world) deliver(t *rapid.T) {
	if len(w.orders) == 0 {
		return
	}
	o := rapid.SampledFrom(w.orders).Draw(t, "order")
	verdict, stale := w.guard.Admit(o)
	if verdict == ReadBack {
		w.guard.EngineToken(w.engine.last)
		verdict, stale = w.guard.Admit(o)
	}
	if (verdict == Refuse) != (stale != nil) {
		t.Fatalf("verdict %d with %v", verdict, stale)
	}
	if verdict == Refuse && o.Target == w.agent && o.Token.Compare(w.guard.High()) > 0 && o.Token.Revision == w.revision {
		t.Fatalf("refused the newest order %+v", o)
	}
	if verdict != Pass {
		return
	}
	if o.Target != w.agent || o.Token.Revision < w.revision {
		t.Fatalf("passed %+v to agent %d under revision %d", o, w.agent, w.revision)
	}
	w.engine.order(o)
}

// check holds over one start of agent and engine, and over starts of the agent
// where the engine checks.
func (w *world) check(t *rapid.T) {
	for i := 1; i < len(w.engine.obeyed); i++ {
		a, b := w.engine.obeyed[i-1], w.engine.obeyed[i]
		if (w.engine.checks || a.Target == b.Target) && b.Token.Compare(a.Token) <= 0 {
			t.Fatalf("obeyed %+v after %+v", b, a)
		}
	}
}

// TestEngineObeysTokensInOrder guards against an engine that obeys a stale
// order after a newer one, through restarts, delays and duplicates.
func TestEngineObeysTokensInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{revision: 1, drawn: map[Token]bool{}, engine: &engine{checks: rapid.Bool().Draw(t, "checks")}}
		for i := range w.proposers {
			w.proposers[i] = NewProposer(w.start())
		}
		w.restartAgent()
		t.Repeat(map[string]func(*rapid.T){
			"propose": w.propose,
			"deliver": w.deliver,
			"again":   w.deliver,
			"revision": func(*rapid.T) {
				w.revision++
				w.guard.Revision(w.revision)
			},
			"hear": func(t *rapid.T) {
				w.proposers[rapid.IntRange(0, 1).Draw(t, "proposer")].Seen(w.guard.High())
			},
			"restart proposer": func(t *rapid.T) {
				w.proposers[rapid.IntRange(0, 1).Draw(t, "proposer")] = NewProposer(w.start())
			},
			"restart agent":  func(*rapid.T) { w.restartAgent() },
			"restart engine": func(*rapid.T) { w.engine = &engine{checks: w.engine.checks} },
			"":               w.check,
		})
	})
}

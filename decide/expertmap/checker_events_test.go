package expertmap

import (
	"cmp"
	"fmt"
	"slices"
)

func (c *checker) expand(w world) {
	for _, id := range w.net {
		it := c.items.values[id]
		switch {
		case it.order:
			c.lateOrder(w, it.node, id)
		case it.m.Kind == KindReport:
			c.stepProposer(w, it.node, id+1, func(p *Proposer) []Action { return p.Receive(0, it.m) })
		default:
			c.stepRank(w, it.node, id+1, func(r *Rank) []Action { return r.Receive(0, it.m) })
			c.dieOrdering(w, it.node, it.m)
		}
	}
	for i := range checkedRanks {
		c.enter(w, i)
		c.restart(w, i, false)
		c.tickRank(w, i)
	}
	for n := range checkedProposers {
		if c.mayBegin(w, n) {
			c.stepProposer(w, n, 0, func(p *Proposer) []Action { return p.Tick(0) })
		}
	}
}

// mayBegin bounds the rounds that timers may start.
func (c *checker) mayBegin(w world, n int) bool {
	p := &c.proposers.values[w.proposers[n]]
	begun := p.round - uint64(p.cfg.Incarnation)
	if !slices.Contains(c.b.settlers, n) {
		return false
	}
	if n < len(c.b.proposals) && p.cfg.Incarnation == incarnation(n, 0) {
		begun -= initialRounds
	}
	return begun < c.b.rounds
}

// stepRank lets a rank handle an event. The engine carries out the order that
// results and answers at once; the order stays deliverable as a late copy.
// Views that lag behind the engine are left to TestRandomFaults.
func (c *checker) stepRank(w world, i int, event uint32, f func(*Rank) []Action) {
	k := [4]uint32{0, w.ranks[i], w.gates[i], event}
	e, ok := c.memo[k]
	if !ok {
		e = c.rankEffect(&w, i, f)
		c.memo[k] = e
	}
	c.apply(w, i, e)
}

func (c *checker) rankEffect(w *world, i int, f func(*Rank) []Action) effect {
	g, r := c.gates.values[w.gates[i]], c.ranks.values[w.ranks[i]]
	was := g.Session.Token
	var e effect
	actions := f(&r)
	for len(actions) > 0 {
		e.sent = c.send(e.sent, actions)
		var next []Action
		for _, a := range actions {
			if o, ok := a.(Command); ok {
				g.Apply(o.Order)
				next = append(next, r.Acknowledge(0, o.Order.Seq, g.GateState)...)
			}
		}
		actions = next
	}
	e.gate, e.state, e.joined = c.gates.id(g), c.ranks.id(r), g.Session.Token != was
	return e
}

func (c *checker) apply(w world, i int, e effect) {
	w.gates[i], w.ranks[i] = e.gate, e.state
	if g := &c.gates.values[e.gate]; e.joined {
		c.formed++
		w.history = c.record(w.history, g.Session.Token, g.Step, i, g.Active.Map)
	}
	c.emit(w, e.sent)
}

// lateOrder delivers a copy of an order, also one of a dead agent.
func (c *checker) lateOrder(w world, i int, id uint32) {
	if int(w.late) >= c.b.late {
		return
	}
	w.late++
	g := c.gates.values[w.gates[i]]
	before := w.gates[i]
	g.Apply(c.items.values[id].o)
	w.gates[i] = c.gates.id(g)
	if w.gates[i] == before {
		return
	}
	if was := c.gates.values[before].Session.Token; g.Session.Token != was {
		c.formed++
		w.history = c.record(w.history, g.Session.Token, g.Step, i, g.Active.Map)
	}
	c.observe(w, i)
}

// dieOrdering restarts an agent whose order is still on its way.
func (c *checker) dieOrdering(w world, i int, m Message) {
	if int(w.agents) >= c.b.agentRestarts {
		return
	}
	r := c.ranks.values[w.ranks[i]]
	sent := c.send(nil, r.Receive(0, m))
	if !r.ordering {
		return
	}
	for _, id := range sent {
		w.net = include(w.net, id)
	}
	c.restart(w, i, true)
}

func (c *checker) stepProposer(w world, n int, event uint32, f func(*Proposer) []Action) {
	k := [4]uint32{1, w.proposers[n], event}
	e, ok := c.memo[k]
	if !ok {
		p := c.proposers.values[w.proposers[n]]
		p.fresh, p.reports, p.votes = slices.Clone(p.fresh), slices.Clone(p.reports), slices.Clone(p.votes)
		actions := f(&p)
		if yes := countYes(p.votes); c.v.majority && p.phase == preparing && yes == 2 {
			actions = append(actions, p.decide(KindCommit, ResultCommitted)...)
		}
		e.sent = c.send(nil, actions)
		e.state = c.proposers.id(p)
		c.memo[k] = e
	}
	w.proposers[n] = e.state
	c.emit(w, e.sent)
}

func countYes(votes []Vote) (yes int) {
	for _, v := range votes {
		if v == VoteYes {
			yes++
		}
	}
	return yes
}

func (c *checker) emit(w world, sent []uint32) {
	for _, id := range sent {
		w.net = include(w.net, id)
	}
	c.add(w)
}

// spent says whether an item can have no effect any more.
func (c *checker) spent(w *world, id uint32) bool {
	it := &c.items.values[id]
	g, p := &c.gates.values[w.gates[it.node]], it.o.Proposal
	switch {
	case it.order:
		passed := p.Session != g.Session.Token || g.Step >= p.Step && g.Held.Token != p.Token
		return it.o.Process != g.Process || it.o.Kind < OrderJoin && passed
	case it.m.Kind == KindReport:
		return c.deaf(w, it.node, it.m.Report.Round)
	case it.m.Kind == KindCommit || it.m.Kind == KindAbort || !c.deaf(w, it.m.From, it.m.Round):
		return false
	case it.m.Kind == KindJoin:
		return it.m.Session.Token.Compare(g.Session.Token) <= 0
	}
	// The question would change nothing but its asker's knowledge.
	v := c.ranks.values[w.ranks[it.node]].known(it.m.Proposal)
	return it.m.Kind == KindLoad || v != VoteNone && v != VoteLost
}

// deaf says whether a proposer ignores the reports of a round for good.
func (c *checker) deaf(w *world, n int, round uint64) bool {
	p := &c.proposers.values[w.proposers[n]]
	return p.round != round || p.phase == idle
}

func (c *checker) record(history uint32, session Token, step uint64, rank int, id MapID) uint32 {
	h := slices.Clone(c.histories.values[history])
	same := func(e entry) bool { return e.session == session && e.step == step }
	if !slices.ContainsFunc(h, same) {
		h = append(h, entry{session: session, step: step})
		slices.SortFunc(h, func(a, b entry) int {
			return cmp.Or(a.session.Compare(b.session), cmp.Compare(a.step, b.step))
		})
	}
	at := slices.IndexFunc(h, same)
	h[at].maps[rank] = id
	for _, other := range h[at].maps {
		if other != 0 && other != id {
			c.mixed = fmt.Sprintf("session %v step %d: maps %v", session, step, h[at].maps)
		}
	}
	return c.histories.id(h)
}

// enter lets an engine into its next step once all ranks took part in this one.
func (c *checker) enter(w world, i int) {
	g := c.gates.values[w.gates[i]]
	if g.Session.Token.IsZero() || g.Step >= c.b.steps || g.Blocked() && !c.v.noHold {
		return
	}
	for _, e := range c.histories.values[w.history] {
		if e.session == g.Session.Token && e.step == g.Step && slices.Contains(e.maps[:], 0) {
			return
		}
	}
	before := g.Active.Map
	g.Enter()
	if g.Active.Map != before {
		c.switched++
	}
	w.gates[i] = c.gates.id(g)
	w.history = c.record(w.history, g.Session.Token, g.Step, i, g.Active.Map)
	c.observe(w, i)
}

func (c *checker) observe(w world, i int) {
	c.stepRank(w, i, 0, func(r *Rank) []Action { return r.Observe(0, c.gates.values[w.gates[i]].GateState) })
}

// tickRank lets the timers of a rank fire, which its own proposer serves.
func (c *checker) tickRank(w world, i int) {
	if i >= checkedProposers || !c.mayBegin(w, i) {
		return
	}
	r := c.ranks.values[w.ranks[i]]
	for _, a := range r.Tick(0) {
		switch a := a.(type) {
		case SettleNeeded:
			c.stepProposer(w, i, 1<<30+w.ranks[i], func(p *Proposer) []Action { return p.Settle(0, a.Proposal) })
		case ReformNeeded:
			c.stepProposer(w, i, 1<<31, func(p *Proposer) []Action { return p.Reform(0) })
		}
	}
}

// restart replaces an agent that reads its engine's state, or the agent and
// the engine of a rank together.
func (c *checker) restart(w world, i int, ordering bool) {
	again := func(w world, g Gate) {
		w.gates[i] = c.gates.id(g)
		w.ranks[i] = c.ranks.id(c.newRank(i, w.agents+w.crashs, g))
		if i < checkedProposers {
			w.proposers[i] = c.proposers.id(proposerFor(i, w.agents+w.crashs))
		}
		c.add(w)
	}
	g := c.gates.values[w.gates[i]]
	if int(w.agents) < c.b.agentRestarts && (!c.b.inFlight || ordering && i == checkedRanks-1) {
		v := w
		v.agents++
		again(v, g)
	}
	if int(w.crashs) < c.b.rankRestarts {
		v := w
		v.crashs++
		again(v, NewGate(g.Process+checkedRanks, c.b.fencing))
	}
}

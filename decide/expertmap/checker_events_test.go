package expertmap

import (
	"cmp"
	"fmt"
	"slices"
)

func (c *checker) expand(s modelState) {
	for _, id := range s.inFlight {
		it := c.items.values[id]
		switch {
		case it.isOrder:
			c.deliverLateOrder(s, it.receiver, id)
		case it.message.Kind == KindReport:
			c.stepProposer(s, it.receiver, id+1, func(p *Proposer) []Action { return p.Receive(0, it.message) })
		default:
			c.stepRank(s, it.receiver, id+1, func(r *Participant) []Action { return r.Receive(0, it.message) })
			c.restartWithOrderInFlight(s, it.receiver, it.message)
		}
	}
	for i := range checkedRanks {
		c.enterStep(s, i)
		c.restart(s, i, false)
		c.tickRank(s, i)
	}
	for n := range checkedProposers {
		if c.timersEnabled(s, n) {
			c.stepProposer(s, n, 0, func(p *Proposer) []Action { return p.Tick(0) })
		}
	}
}

// timersEnabled reports whether the bounds allow the timers of proposer n to start
// another round.
func (c *checker) timersEnabled(s modelState, n int) bool {
	p := &c.proposers.values[s.proposers[n]]
	started := p.round - uint64(p.cfg.Incarnation)
	if !slices.Contains(c.bounds.timerProposers, n) {
		return false
	}
	if n < len(c.bounds.proposedMaps) && p.cfg.Incarnation == incarnation(n, 0) {
		started -= initialRounds
	}
	return started < c.bounds.maxTimerRounds
}

// stepRank lets a rank handle an event. The engine executes and acknowledges a
// resulting order at once; the order stays in flight as a late duplicate.
// TestRandomFaults covers delayed acknowledgements and engine reports.
func (c *checker) stepRank(s modelState, i int, event uint32, f func(*Participant) []Action) {
	key := [4]uint32{0, s.ranks[i], s.engines[i], event}
	next, ok := c.transitions[key]
	if !ok {
		next = c.rankTransition(&s, i, f)
		c.transitions[key] = next
	}
	c.apply(s, i, next)
}

func (c *checker) rankTransition(s *modelState, i int, f func(*Participant) []Action) transition {
	engine, r := c.engines.values[s.engines[i]], c.ranks.values[s.ranks[i]]
	before := engine.Session.Token
	var result transition
	actions := f(&r)
	for len(actions) > 0 {
		result.sentItems = c.send(result.sentItems, actions)
		var next []Action
		for _, a := range actions {
			if o, ok := a.(Command); ok {
				engine.Apply(o.Order)
				next = append(next, r.OrderDone(0, o.Order.Seq, engine.EngineState)...)
			}
		}
		actions = next
	}
	result.engine, result.state, result.joinedSession = c.engines.id(engine), c.ranks.id(r), engine.Session.Token != before
	return result
}

func (c *checker) apply(s modelState, i int, next transition) {
	s.engines[i], s.ranks[i] = next.engine, next.state
	if engine := &c.engines.values[next.engine]; next.joinedSession {
		c.sessionJoins++
		s.history = c.record(s.history, engine.Session.Token, engine.Step, i, engine.Active.Map)
	}
	c.addSuccessor(s, next.sentItems)
}

// deliverLateOrder delivers a duplicate of an order, possibly of a dead agent.
func (c *checker) deliverLateOrder(s modelState, i int, id uint32) {
	if int(s.lateOrders) >= c.bounds.maxLateOrders {
		return
	}
	s.lateOrders++
	engine := c.engines.values[s.engines[i]]
	before := s.engines[i]
	engine.Apply(c.items.values[id].order)
	s.engines[i] = c.engines.id(engine)
	if s.engines[i] == before {
		return
	}
	if oldSession := c.engines.values[before].Session.Token; engine.Session.Token != oldSession {
		c.sessionJoins++
		s.history = c.record(s.history, engine.Session.Token, engine.Step, i, engine.Active.Map)
	}
	c.observe(s, i)
}

// restartWithOrderInFlight restarts an agent before its engine receives the
// order that results from a message.
func (c *checker) restartWithOrderInFlight(s modelState, i int, m Message) {
	if int(s.agentRestarts) >= c.bounds.maxAgentRestarts {
		return
	}
	r := c.ranks.values[s.ranks[i]]
	sent := c.send(nil, r.Receive(0, m))
	if !r.orderPending {
		return
	}
	for _, id := range sent {
		s.inFlight = insertID(s.inFlight, id)
	}
	c.restart(s, i, true)
}

func (c *checker) stepProposer(s modelState, n int, event uint32, f func(*Proposer) []Action) {
	key := [4]uint32{1, s.proposers[n], event}
	next, ok := c.transitions[key]
	if !ok {
		p := c.proposers.values[s.proposers[n]]
		p.reported, p.reports, p.votes = slices.Clone(p.reported), slices.Clone(p.reports), slices.Clone(p.votes)
		actions := f(&p)
		if yes := countYes(p.votes); c.mutant.majorityCommits && p.phase == preparing && yes == 2 {
			actions = append(actions, p.decide(KindCommit, ResultCommitted)...)
		}
		next.sentItems = c.send(nil, actions)
		next.state = c.proposers.id(p)
		c.transitions[key] = next
	}
	s.proposers[n] = next.state
	c.addSuccessor(s, next.sentItems)
}

func countYes(votes []Vote) (yes int) {
	for _, v := range votes {
		if v == VoteYes {
			yes++
		}
	}
	return yes
}

func (c *checker) addSuccessor(s modelState, items []uint32) {
	for _, id := range items {
		s.inFlight = insertID(s.inFlight, id)
	}
	c.add(s)
}

// hasNoEffect reports whether delivering an item can no longer change the state.
// Such items are removed, which keeps the state space small.
func (c *checker) hasNoEffect(s *modelState, id uint32) bool {
	it := &c.items.values[id]
	engine, p := &c.engines.values[s.engines[it.receiver]], it.order.Proposal
	switch {
	case it.isOrder:
		passed := p.Session != engine.Session.Token || engine.Step >= p.Step && engine.Prepared.Token != p.Token
		return it.order.Process != engine.Process || it.order.Kind < OrderJoin && passed
	case it.message.Kind == KindReport:
		return c.ignoresRound(s, it.receiver, it.message.Report.Round)
	case it.message.Kind == KindCommit || it.message.Kind == KindAbort || !c.ignoresRound(s, it.message.From, it.message.Round):
		return false
	case it.message.Kind == KindJoin:
		return it.message.Session.Token.Compare(engine.Session.Token) <= 0
	}
	// The request would only produce a report that its proposer ignores.
	v := c.ranks.values[s.ranks[it.receiver]].determinedVote(it.message.Proposal)
	return it.message.Kind == KindLoad || v != VoteNone && v != VoteUnknown
}

// ignoresRound reports whether a proposer will ignore all reports of a round.
func (c *checker) ignoresRound(s *modelState, n int, round uint64) bool {
	p := &c.proposers.values[s.proposers[n]]
	return p.round != round || p.phase == idle
}

// record adds a rank's entry into a step to a history, and reports a violation
// if another rank entered the step with another map.
func (c *checker) record(history uint32, session Token, step uint64, rank int, id MapID) uint32 {
	h := slices.Clone(c.histories.values[history])
	same := func(e stepRecord) bool { return e.session == session && e.step == step }
	if !slices.ContainsFunc(h, same) {
		h = append(h, stepRecord{session: session, step: step})
		slices.SortFunc(h, func(a, b stepRecord) int {
			return cmp.Or(a.session.Compare(b.session), cmp.Compare(a.step, b.step))
		})
	}
	index := slices.IndexFunc(h, same)
	h[index].maps[rank] = id
	for _, other := range h[index].maps {
		if other != 0 && other != id {
			c.violation = fmt.Sprintf("session %v step %d: maps %v", session, step, h[index].maps)
		}
	}
	return c.histories.id(h)
}

// enterStep enters the next step of an engine once all ranks have entered the
// current one.
func (c *checker) enterStep(s modelState, i int) {
	engine := c.engines.values[s.engines[i]]
	if engine.Session.Token.IsZero() || engine.Step >= c.bounds.maxStep || engine.Blocked() && !c.mutant.neverBlocks {
		return
	}
	for _, e := range c.histories.values[s.history] {
		if e.session == engine.Session.Token && e.step == engine.Step && slices.Contains(e.maps[:], 0) {
			return
		}
	}
	before := engine.Active.Map
	engine.EnterStep()
	if engine.Active.Map != before {
		c.mapSwitches++
	}
	s.engines[i] = c.engines.id(engine)
	s.history = c.record(s.history, engine.Session.Token, engine.Step, i, engine.Active.Map)
	c.observe(s, i)
}

func (c *checker) observe(s modelState, i int) {
	c.stepRank(s, i, 0, func(r *Participant) []Action { return r.Observe(0, c.engines.values[s.engines[i]].EngineState) })
}

// tickRank fires the timers of a rank and passes the requests to its proposer.
func (c *checker) tickRank(s modelState, i int) {
	if i >= checkedProposers || !c.timersEnabled(s, i) {
		return
	}
	r := c.ranks.values[s.ranks[i]]
	for _, a := range r.Tick(0) {
		switch a := a.(type) {
		case ResolveNeeded:
			c.stepProposer(s, i, 1<<30+s.ranks[i], func(p *Proposer) []Action { return p.Resolve(0, a.Proposal) })
		case SessionNeeded:
			c.stepProposer(s, i, 1<<31, func(p *Proposer) []Action { return p.FormSession(0) })
		}
	}
}

// restart restarts the agent of a rank, which then reads its engine's state, or
// the agent and the engine together. orderInFlight is true if the agent has just
// sent an order.
func (c *checker) restart(s modelState, i int, orderInFlight bool) {
	addRestarted := func(s modelState, engine EngineModel) {
		s.engines[i] = c.engines.id(engine)
		s.ranks[i] = c.ranks.id(c.newRank(i, s.agentRestarts+s.rankRestarts, engine))
		if i < checkedProposers {
			s.proposers[i] = c.proposers.id(proposerFor(i, s.agentRestarts+s.rankRestarts))
		}
		c.add(s)
	}
	engine := c.engines.values[s.engines[i]]
	if int(s.agentRestarts) < c.bounds.maxAgentRestarts && (!c.bounds.restartOnlyInFlight || orderInFlight && i == checkedRanks-1) {
		next := s
		next.agentRestarts++
		addRestarted(next, engine)
	}
	if int(s.rankRestarts) < c.bounds.maxRankRestarts {
		next := s
		next.rankRestarts++
		addRestarted(next, NewEngineModel(engine.Process+checkedRanks, c.bounds.fencing))
	}
}

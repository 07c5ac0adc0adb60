package expertmap

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// group is a running group with timers, connections and an unreliable network.
// Unlike the checker it delivers an engine's answers late.
type group struct {
	t         *rapid.T
	now       time.Duration
	gates     [checkedRanks]Gate
	ranks     [checkedRanks]Rank
	proposers [checkedRanks]Proposer
	paused    [checkedRanks]bool
	net       []Message
	orders    []Order
	// views are the answers of each engine, in order. A zero seq is a report
	// without an order.
	views      [checkedRanks][]view
	history    map[Token]map[uint64]*entry
	generation uint8
	fencing    bool
	lastMap    MapID
}

type view struct {
	seq  uint64
	gate GateState
}

const (
	testSettle = 200 * time.Millisecond
	testResend = 50 * time.Millisecond
)

func newGroup(t *rapid.T) *group {
	s := &group{t: t, history: map[Token]map[uint64]*entry{}, lastMap: 1}
	s.fencing = rapid.Bool().Draw(t, "fencing")
	first := Session{Token: Token{Counter: 1}, Map: 1, Start: 1}
	for i := range checkedRanks {
		s.gates[i] = NewGate(uint64(i+1), s.fencing)
		s.gates[i].Apply(Order{Kind: OrderJoin, Process: uint64(i + 1), Session: first})
		s.record(i)
		s.startAgent(i)
	}
	return s
}

func (s *group) startAgent(i int) {
	inc := incarnation(i, s.generation)
	s.ranks[i] = NewRank(RankConfig{
		Self: i, Incarnation: inc, SettleAfter: testSettle, StallAfter: testSettle, OrderTimeout: testResend,
	}, s.gates[i].GateState, s.now)
	s.proposers[i] = NewProposer(ProposerConfig{
		Self: i, Ranks: checkedRanks, Incarnation: inc, Initial: 1, LeadSteps: 2,
		LoadTimeout: 4 * testSettle, VoteTimeout: testSettle, Resend: testResend,
	})
	s.views[i] = nil
}

func (s *group) record(i int) {
	g := &s.gates[i]
	steps := s.history[g.Session.Token]
	if steps == nil {
		steps = map[uint64]*entry{}
		s.history[g.Session.Token] = steps
	}
	e := steps[g.Step]
	if e == nil {
		e = &entry{}
		steps[g.Step] = e
	}
	e.maps[i] = g.Active.Map
	for _, id := range e.maps {
		if id != 0 && id != g.Active.Map {
			s.t.Fatalf("session %v step %d runs on maps %v", g.Session.Token, g.Step, e.maps)
		}
	}
}

func (s *group) do(i int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			s.net = append(s.net, a.Message)
		case Command:
			s.orders = append(s.orders, a.Order)
		case LoadWeights:
			s.ranks[i].WeightsLoaded(a.Map)
		case SettleNeeded:
			s.do(i, s.proposers[i].Settle(s.now, a.Proposal))
		case ReformNeeded:
			s.do(i, s.proposers[i].Reform(s.now))
		}
	}
}

func (s *group) deliver(at int, keep bool) {
	m := s.net[at]
	if s.paused[m.To] {
		return
	}
	if !keep {
		s.net = slices.Delete(s.net, at, at+1)
	}
	if m.Kind == KindReport {
		s.do(m.To, s.proposers[m.To].Receive(s.now, m))
	} else {
		s.do(m.To, s.ranks[m.To].Receive(s.now, m))
	}
}

func (s *group) applyOrder(at int, keep bool) {
	o := s.orders[at]
	if !keep {
		s.orders = slices.Delete(s.orders, at, at+1)
	}
	i := int(o.Process-1) % checkedRanks
	was := s.gates[i].Session.Token
	s.gates[i].Apply(o)
	if s.gates[i].Session.Token != was {
		s.record(i)
	}
	if o.Agent == s.ranks[i].cfg.Incarnation && o.Process == s.gates[i].Process {
		s.views[i] = append(s.views[i], view{seq: o.Seq, gate: s.gates[i].GateState})
	}
}

func (s *group) takeView(i int) {
	if s.paused[i] || len(s.views[i]) == 0 {
		return
	}
	v := s.views[i][0]
	s.views[i] = s.views[i][1:]
	if v.seq == 0 {
		s.do(i, s.ranks[i].Observe(s.now, v.gate))
	} else {
		s.do(i, s.ranks[i].Acknowledge(s.now, v.seq, v.gate))
	}
}

func (s *group) step(i int) {
	g := &s.gates[i]
	if g.Session.Token.IsZero() || g.Blocked() {
		return
	}
	if e := s.history[g.Session.Token][g.Step]; slices.Contains(e.maps[:], 0) {
		return
	}
	g.Enter()
	s.record(i)
	s.views[i] = append(s.views[i], view{gate: g.GateState})
}

func (s *group) tick(d time.Duration) {
	s.now += d
	for i := range checkedRanks {
		if !s.paused[i] {
			s.do(i, s.ranks[i].Tick(s.now))
			s.do(i, s.proposers[i].Tick(s.now))
		}
	}
}

func (s *group) restart(i int, engine bool) {
	s.generation++
	if engine {
		s.gates[i] = NewGate(s.gates[i].Process+checkedRanks, s.fencing)
	}
	s.startAgent(i)
}

// settle heals the network and runs until the group has passed some steps.
func (s *group) settle() {
	s.paused = [checkedRanks]bool{}
	start := s.gates[0].Step
	for range 400 {
		s.tick(testResend)
		for len(s.net) > 0 {
			s.deliver(0, false)
		}
		for len(s.orders) > 0 {
			s.applyOrder(0, false)
		}
		for i := range checkedRanks {
			s.views[i] = append(s.views[i], view{gate: s.gates[i].GateState})
			for len(s.views[i]) > 0 {
				s.takeView(i)
			}
			s.step(i)
		}
	}
	for i := range checkedRanks {
		if g := &s.gates[i]; g.Step < start+10 || g.Active != s.gates[0].Active {
			s.t.Fatalf("group does not run on after healing: rank %d %+v", i, g.GateState)
		}
	}
}

// Guards against a step on two maps, and against a group that stays blocked
// once every agent can be reached again.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newGroup(t)
		rank := rapid.IntRange(0, checkedRanks-1)
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "at") }
		commands := map[string]func(*rapid.T){
			"deliver": func(*rapid.T) {
				for range 3 {
					if len(s.net) > 0 {
						s.deliver(pick(len(s.net)), false)
					}
				}
			},
			"order": func(*rapid.T) {
				for range 2 {
					if len(s.orders) > 0 {
						s.applyOrder(pick(len(s.orders)), rapid.Bool().Draw(t, "again"))
					}
				}
			},
			"duplicate": func(*rapid.T) {
				if len(s.net) > 0 {
					s.deliver(pick(len(s.net)), true)
				}
			},
			"lose": func(*rapid.T) {
				if len(s.net) > 0 {
					at := pick(len(s.net))
					s.net = slices.Delete(s.net, at, at+1)
				}
			},
			"propose": func(*rapid.T) {
				s.lastMap++
				n := rank.Draw(t, "proposer")
				s.do(n, s.proposers[n].Propose(s.now, s.lastMap))
			},
			"view":  func(*rapid.T) { s.takeView(rank.Draw(t, "rank")) },
			"views": func(*rapid.T) { s.takeView(rank.Draw(t, "rank")) },
			"step":  func(*rapid.T) { s.step(rank.Draw(t, "rank")) },
			"tick":  func(*rapid.T) { s.tick(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond) },
			"pause": func(*rapid.T) { i := rank.Draw(t, "rank"); s.paused[i] = !s.paused[i] },
			"restart": func(*rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "rarely") == 0 {
					s.restart(rank.Draw(t, "rank"), rapid.Bool().Draw(t, "engine"))
				}
			},
		}
		t.Repeat(commands)
		s.settle()
	})
}

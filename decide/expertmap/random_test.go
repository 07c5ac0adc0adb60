package expertmap

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// group is a running group with timers, connections and an unreliable network.
// Unlike the checker, it delays the reports of engines.
type group struct {
	t         *rapid.T
	now       time.Duration
	engines   [checkedRanks]EngineModel
	ranks     [checkedRanks]Participant
	proposers [checkedRanks]Proposer
	paused    [checkedRanks]bool
	messages  []Message
	orders    []Order
	// engineReports holds the undelivered reports of each engine, oldest first.
	// A zero seq marks a report that acknowledges no order.
	engineReports [checkedRanks][]engineReport
	history       map[Token]map[uint64]*stepRecord
	generation    uint8
	fencing       bool
	lastMap       MapID
}

type engineReport struct {
	seq   uint64
	state EngineState
}

const (
	testVoteTimeout    = 200 * time.Millisecond
	testResendInterval = 50 * time.Millisecond
)

func newGroup(t *rapid.T) *group {
	s := &group{t: t, history: map[Token]map[uint64]*stepRecord{}, lastMap: 1}
	s.fencing = rapid.Bool().Draw(t, "fencing")
	first := Session{Token: Token{Counter: 1}, Map: 1, Start: 1}
	for i := range checkedRanks {
		s.engines[i] = NewEngineModel(uint64(i+1), s.fencing)
		s.engines[i].Apply(Order{Kind: OrderJoin, Process: uint64(i + 1), Session: first})
		s.record(i)
		s.startAgent(i)
	}
	return s
}

func (s *group) startAgent(i int) {
	inc := incarnation(i, s.generation)
	s.ranks[i] = NewParticipant(ParticipantConfig{
		Self: i, Incarnation: inc, ResolveAfter: testVoteTimeout, StallAfter: testVoteTimeout, OrderTimeout: testResendInterval,
	}, s.engines[i].EngineState, s.now)
	s.proposers[i] = NewProposer(ProposerConfig{
		Self: i, Ranks: checkedRanks, Incarnation: inc, InitialMap: 1, LeadSteps: 2,
		LoadTimeout: 4 * testVoteTimeout, VoteTimeout: testVoteTimeout, ResendInterval: testResendInterval,
	})
	s.engineReports[i] = nil
}

func (s *group) record(i int) {
	engine := &s.engines[i]
	steps := s.history[engine.Session.Token]
	if steps == nil {
		steps = map[uint64]*stepRecord{}
		s.history[engine.Session.Token] = steps
	}
	e := steps[engine.Step]
	if e == nil {
		e = &stepRecord{}
		steps[engine.Step] = e
	}
	e.maps[i] = engine.Active.Map
	for _, id := range e.maps {
		if id != 0 && id != engine.Active.Map {
			s.t.Fatalf("session %v step %d runs on maps %v", engine.Session.Token, engine.Step, e.maps)
		}
	}
}

func (s *group) perform(i int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			s.messages = append(s.messages, a.Message)
		case Command:
			s.orders = append(s.orders, a.Order)
		case LoadWeights:
			s.ranks[i].WeightsLoaded(a.Map)
		case ResolveNeeded:
			s.perform(i, s.proposers[i].Resolve(s.now, a.Proposal))
		case SessionNeeded:
			s.perform(i, s.proposers[i].FormSession(s.now))
		}
	}
}

func (s *group) deliver(index int, duplicate bool) {
	m := s.messages[index]
	if s.paused[m.To] {
		return
	}
	if !duplicate {
		s.messages = slices.Delete(s.messages, index, index+1)
	}
	if m.Kind == KindReport {
		s.perform(m.To, s.proposers[m.To].Receive(s.now, m))
	} else {
		s.perform(m.To, s.ranks[m.To].Receive(s.now, m))
	}
}

func (s *group) applyOrder(index int, duplicate bool) {
	o := s.orders[index]
	if !duplicate {
		s.orders = slices.Delete(s.orders, index, index+1)
	}
	i := int(o.Process-1) % checkedRanks
	oldSession := s.engines[i].Session.Token
	s.engines[i].Apply(o)
	if s.engines[i].Session.Token != oldSession {
		s.record(i)
	}
	if o.Agent == s.ranks[i].cfg.Incarnation && o.Process == s.engines[i].Process {
		s.engineReports[i] = append(s.engineReports[i], engineReport{seq: o.Seq, state: s.engines[i].EngineState})
	}
}

func (s *group) deliverEngineReport(i int) {
	if s.paused[i] || len(s.engineReports[i]) == 0 {
		return
	}
	report := s.engineReports[i][0]
	s.engineReports[i] = s.engineReports[i][1:]
	if report.seq == 0 {
		s.perform(i, s.ranks[i].Observe(s.now, report.state))
	} else {
		s.perform(i, s.ranks[i].OrderDone(s.now, report.seq, report.state))
	}
}

func (s *group) enterStep(i int) {
	engine := &s.engines[i]
	if engine.Session.Token.IsZero() || engine.Blocked() {
		return
	}
	if e := s.history[engine.Session.Token][engine.Step]; slices.Contains(e.maps[:], 0) {
		return
	}
	engine.EnterStep()
	s.record(i)
	s.engineReports[i] = append(s.engineReports[i], engineReport{state: engine.EngineState})
}

func (s *group) tick(d time.Duration) {
	s.now += d
	for i := range checkedRanks {
		if !s.paused[i] {
			s.perform(i, s.ranks[i].Tick(s.now))
			s.perform(i, s.proposers[i].Tick(s.now))
		}
	}
}

func (s *group) restart(i int, engine bool) {
	s.generation++
	if engine {
		s.engines[i] = NewEngineModel(s.engines[i].Process+checkedRanks, s.fencing)
	}
	s.startAgent(i)
}

// runWithoutFaults resumes all agents, runs the group without faults and checks
// that it progresses on one map.
func (s *group) runWithoutFaults() {
	s.paused = [checkedRanks]bool{}
	start := s.engines[0].Step
	for range 400 {
		s.tick(testResendInterval)
		for len(s.messages) > 0 {
			s.deliver(0, false)
		}
		for len(s.orders) > 0 {
			s.applyOrder(0, false)
		}
		for i := range checkedRanks {
			s.engineReports[i] = append(s.engineReports[i], engineReport{state: s.engines[i].EngineState})
			for len(s.engineReports[i]) > 0 {
				s.deliverEngineReport(i)
			}
			s.enterStep(i)
		}
	}
	for i := range checkedRanks {
		if engine := &s.engines[i]; engine.Step < start+10 || engine.Active != s.engines[0].Active {
			s.t.Fatalf("group does not progress without faults: rank %d %+v", i, engine.EngineState)
		}
	}
}

// TestRandomFaults guards against a step that runs on two maps, and against a
// group that stays blocked after all agents are reachable again.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newGroup(t)
		rank := rapid.IntRange(0, checkedRanks-1)
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "at") }
		commands := map[string]func(*rapid.T){
			"deliver": func(*rapid.T) {
				for range 3 {
					if len(s.messages) > 0 {
						s.deliver(pick(len(s.messages)), false)
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
				if len(s.messages) > 0 {
					s.deliver(pick(len(s.messages)), true)
				}
			},
			"lose": func(*rapid.T) {
				if len(s.messages) > 0 {
					at := pick(len(s.messages))
					s.messages = slices.Delete(s.messages, at, at+1)
				}
			},
			"propose": func(*rapid.T) {
				s.lastMap++
				n := rank.Draw(t, "proposer")
				s.perform(n, s.proposers[n].Propose(s.now, s.lastMap))
			},
			"view":  func(*rapid.T) { s.deliverEngineReport(rank.Draw(t, "rank")) },
			"views": func(*rapid.T) { s.deliverEngineReport(rank.Draw(t, "rank")) },
			"step":  func(*rapid.T) { s.enterStep(rank.Draw(t, "rank")) },
			"tick":  func(*rapid.T) { s.tick(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond) },
			"pause": func(*rapid.T) { i := rank.Draw(t, "rank"); s.paused[i] = !s.paused[i] },
			"restart": func(*rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "rarely") == 0 {
					s.restart(rank.Draw(t, "rank"), rapid.Bool().Draw(t, "engine"))
				}
			},
		}
		t.Repeat(commands)
		s.runWithoutFaults()
	})
}

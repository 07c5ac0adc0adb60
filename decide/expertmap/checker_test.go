package expertmap

import (
	"encoding/binary"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	checkedRanks     = 3
	checkedProposers = 2
)

// initialRounds is the number of rounds a proposer has started when it has just
// requested votes.
const initialRounds = 2

// item is a message or an order in flight. Delivery does not remove it, which
// models loss, duplication, delay, reordering and paused processes.
type item struct {
	order bool
	node  int
	m     Message
	o     Order
}

// bounds limits the explored state space.
type bounds struct {
	proposals     []MapID
	agentRestarts int
	// restartInFlight allows agent restarts only for the last rank and only with
	// an order in flight.
	restartInFlight bool
	// lateOrders is the maximum number of late duplicates of orders that
	// take effect.
	lateOrders   int
	rankRestarts int
	maxStep      uint64
	// timerProposers are the proposers whose timers run.
	timerProposers []int
	// timerRounds is the maximum number of rounds that timers start for each
	// proposer.
	timerRounds uint64
	fencing     bool
	// stallTimers allows the stall timers of the ranks to fire at any time.
	stallTimers bool
	maxStates   int
}

// mutant is a faulty variant of the protocol.
type mutant struct {
	// majorityCommits lets a proposer commit with two yes votes of three.
	majorityCommits bool
	// neverBlocks lets engines enter the switch step while in doubt.
	neverBlocks bool
	// unknownIsNo lets a restarted agent vote no where its vote is unknown.
	unknownIsNo bool
}

// modelState is a state of the model. Its parts are indexes into the tables of
// the checker.
type modelState struct {
	engines, ranks              [checkedRanks]uint32
	proposers                   [checkedProposers]uint32
	history                     uint32
	agentRestarts, rankRestarts uint8
	// lateOrders counts the late duplicates of orders that took effect.
	lateOrders uint8
	inFlight   []uint32
	// depth is the number of events since the initial state.
	depth int
}

func (s *modelState) key() uint64 {
	b := make([]byte, 0, 4*(10+len(s.inFlight)))
	for _, ids := range [][]uint32{s.engines[:], s.ranks[:], s.proposers[:], {s.history}, s.inFlight} {
		for _, id := range ids {
			b = binary.LittleEndian.AppendUint32(b, id)
		}
	}
	return xxhash.Sum64(append(b, s.agentRestarts, s.rankRestarts, s.lateOrders))
}

// internTable interns values, keyed by their formatted form.
type internTable[T any] struct {
	ids    map[string]uint32
	values []T
}

func (t *internTable[T]) id(v T) uint32 {
	if t.ids == nil {
		t.ids = make(map[string]uint32)
	}
	k := fmt.Sprintf("%+v", v)
	id, ok := t.ids[k]
	if !ok {
		id = uint32(len(t.values))
		t.ids[k] = id
		t.values = append(t.values, v)
	}
	return id
}

// stepEntry records the map with which each rank entered a step of a session,
// zero for a rank that has not entered it.
type stepEntry struct {
	session Token
	step    uint64
	maps    [checkedRanks]MapID
}

type transition struct {
	state uint32
	// engine and joined are set for transitions of ranks only.
	engine    uint32
	joined    bool
	sentItems []uint32
}

type checker struct {
	bounds      bounds
	mutant      mutant
	engines     internTable[EngineModel]
	ranks       internTable[Participant]
	proposers   internTable[Proposer]
	items       internTable[item]
	histories   internTable[[]stepEntry]
	transitions map[[4]uint32]transition

	visited   map[uint64]struct{}
	queue     []modelState
	violation string
	joins     int
	switches  int
	// depth is the depth of the last expanded state.
	depth int
}

func explore(b bounds, m mutant) *checker {
	c := &checker{bounds: b, mutant: m, transitions: make(map[[4]uint32]transition), visited: make(map[uint64]struct{})}
	c.add(c.initial())
	for len(c.queue) > 0 && c.violation == "" && len(c.visited) < b.maxStates {
		s := c.queue[0]
		c.queue = c.queue[1:]
		c.depth = s.depth
		s.depth++
		c.expand(s)
	}
	return c
}

func (c *checker) add(s modelState) {
	s.inFlight = slices.DeleteFunc(slices.Clone(s.inFlight), func(id uint32) bool { return c.hasNoEffect(&s, id) })
	k := s.key()
	if _, ok := c.visited[k]; !ok {
		c.visited[k] = struct{}{}
		c.queue = append(c.queue, s)
	}
}

func proposerFor(node int, generation uint8) Proposer {
	return NewProposer(ProposerConfig{
		Self: node, Ranks: checkedRanks, Incarnation: incarnation(node, generation), InitialMap: 1, LeadSteps: 1,
	})
}

func incarnation(node int, generation uint8) api.Incarnation {
	return api.Incarnation(100*(node+1)) + 10*api.Incarnation(generation)
}

// initial returns a running group in which each proposer that has a map to
// propose has just requested votes.
func (c *checker) initial() modelState {
	var s modelState
	session := Session{Token: Token{Counter: 1}, Map: 1, Start: 1}
	entry := stepEntry{session: session.Token, step: 1}
	for i := range checkedRanks {
		engine := NewEngineModel(uint64(i+1), c.bounds.fencing)
		engine.Apply(Order{Kind: OrderJoin, Process: engine.Process, Session: session})
		entry.maps[i] = session.Map
		s.engines[i] = c.engines.id(engine)
		s.ranks[i] = c.ranks.id(c.newRank(i, 0, engine))
	}
	s.history = c.histories.id([]stepEntry{entry})
	for n := range checkedProposers {
		p := proposerFor(n, 0)
		if n < len(c.bounds.proposals) {
			p.Propose(0, c.bounds.proposals[n])
			for i := range checkedRanks {
				r := c.ranks.values[s.ranks[i]]
				actions := r.Receive(0, Message{Kind: KindLoad, From: n, To: i, Round: p.round, Map: p.targetMap})
				s.inFlight = c.send(s.inFlight, p.Receive(0, actions[0].(Send).Message))
			}
		}
		s.proposers[n] = c.proposers.id(p)
	}
	return s
}

func (c *checker) newRank(node int, generation uint8, engine EngineModel) Participant {
	cfg := ParticipantConfig{Self: node, Incarnation: incarnation(node, generation), StallAfter: time.Hour}
	if c.bounds.stallTimers {
		cfg.StallAfter = 0
	}
	r := NewParticipant(cfg, engine.EngineState, 0)
	r.loaded = append([]MapID{1}, c.bounds.proposals...)
	return r
}

func (c *checker) send(ids []uint32, actions []Action) []uint32 {
	for _, a := range actions {
		var it item
		switch a := a.(type) {
		case Send:
			it = item{node: a.Message.To, m: a.Message}
			if it.m.Report.Vote != VoteNone {
				// Proposers use only the vote of such a report.
				it.m.Report.Engine = EngineState{}
			}
			if c.mutant.unknownIsNo && it.m.Report.Vote == VoteUnknown {
				it.m.Report.Vote = VoteNo
			}
			if it.m.Kind == KindCommit || it.m.Kind == KindAbort {
				it.m.From, it.m.Round = 0, 0
			}
			if it.m.Kind == KindReport && it.node >= checkedProposers {
				continue
			}
		case Command:
			it = item{order: true, node: int(a.Order.Process-1) % checkedRanks, o: a.Order}
		default:
			continue
		}
		ids = insertID(ids, c.items.id(it))
	}
	return ids
}

func insertID(set []uint32, id uint32) []uint32 {
	index, found := slices.BinarySearch(set, id)
	if found {
		return set
	}
	return slices.Insert(slices.Clone(set), index, id)
}

var states = flag.Int("states", 150_000, "maximum number of states that the model checker visits for each set of bounds")

// stateLimit returns the maximum number of states of a run. It is lower under
// the race detector, which makes each state many times slower.
func stateLimit() int {
	if testing.Short() || raceDetector {
		return *states / 10
	}
	return *states
}

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

// initialRounds is the number of rounds, for loading and for votes, that a proposer
// with a map to propose has started in the initial state.
const initialRounds = 2

// inFlightItem is a message or an order in flight. Delivery does not remove it, which
// models loss, duplication, delay, reordering and paused processes.
type inFlightItem struct {
	isOrder  bool
	receiver int
	message  Message
	order    Order
}

// bounds limits the explored state space.
type bounds struct {
	proposedMaps     []MapID
	maxAgentRestarts int
	// restartOnlyInFlight limits agent restarts to the last rank while an order is in
	// flight.
	restartOnlyInFlight bool
	// maxLateOrders is the maximum number of late duplicate orders that change an
	// engine's state.
	maxLateOrders   int
	maxRankRestarts int
	maxStep         uint64
	// timerProposers are the proposers whose timers run.
	timerProposers []int
	// maxTimerRounds is the maximum number of rounds that timers start for each
	// proposer.
	maxTimerRounds uint64
	fencing        bool
	// stallTimers allows the stall timers of the ranks to fire at any time.
	stallTimers bool
	maxStates   int
}

// mutant is a faulty variant of the protocol.
type mutant struct {
	// majorityCommits lets a proposer commit with two yes votes of three.
	majorityCommits bool
	// neverBlocks lets engines enter the switch step before they know the outcome
	// of the proposal.
	neverBlocks bool
	// unknownIsNo makes a restarted agent report VoteNo instead of VoteUnknown.
	unknownIsNo bool
}

// modelState is a state of the model. All values of type uint32 are IDs in the
// checker's intern tables.
type modelState struct {
	engines, ranks              [checkedRanks]uint32
	proposers                   [checkedProposers]uint32
	history                     uint32
	agentRestarts, rankRestarts uint8
	// lateOrders counts the late duplicate orders that changed an engine's state.
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

// stepRecord holds the map that each rank used when it entered a step of a session.
// The map is 0 for a rank that has not entered the step.
type stepRecord struct {
	session Token
	step    uint64
	maps    [checkedRanks]MapID
}

// transition is the result of an event at a rank or proposer.
type transition struct {
	// state is the ID of the rank or proposer after the event.
	state uint32
	// engine and joinedSession are set for ranks only: the ID of the engine after the
	// event, and whether the engine joined another session.
	engine        uint32
	joinedSession bool
	sentItems     []uint32
}

type checker struct {
	bounds    bounds
	mutant    mutant
	engines   internTable[EngineModel]
	ranks     internTable[Participant]
	proposers internTable[Proposer]
	items     internTable[inFlightItem]
	histories internTable[[]stepRecord]
	// transitions caches transitions. A key holds 0 and the rank, engine and event,
	// or 1 and the proposer and event.
	transitions map[[4]uint32]transition

	visited      map[uint64]struct{}
	queue        []modelState
	violation    string
	sessionJoins int
	mapSwitches  int
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

func proposerFor(node int, restarts uint8) Proposer {
	return NewProposer(ProposerConfig{
		Self: node, Ranks: checkedRanks, Incarnation: incarnation(node, restarts), InitialMap: 1, LeadSteps: 1,
	})
}

// incarnation returns the incarnation of a node's agent after a number of restarts.
// Proposers number their rounds from it, so the gap of 10 keeps the rounds of
// successive incarnations distinct.
func incarnation(node int, restarts uint8) api.Incarnation {
	return api.Incarnation(100*(node+1)) + 10*api.Incarnation(restarts)
}

// initial returns the initial state: all ranks run in one session, and each proposer
// with a map to propose has sent its vote requests.
func (c *checker) initial() modelState {
	var s modelState
	session := Session{Token: Token{Counter: 1}, Map: 1, Start: 1}
	initialStep := stepRecord{session: session.Token, step: 1}
	for i := range checkedRanks {
		engine := NewEngineModel(uint64(i+1), c.bounds.fencing)
		engine.Apply(Order{Kind: OrderJoin, Process: engine.Process, Session: session})
		initialStep.maps[i] = session.Map
		s.engines[i] = c.engines.id(engine)
		s.ranks[i] = c.ranks.id(c.newRank(i, 0, engine))
	}
	s.history = c.histories.id([]stepRecord{initialStep})
	for n := range checkedProposers {
		p := proposerFor(n, 0)
		if n < len(c.bounds.proposedMaps) {
			p.Propose(0, c.bounds.proposedMaps[n])
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

func (c *checker) newRank(node int, restarts uint8, engine EngineModel) Participant {
	cfg := ParticipantConfig{Self: node, Incarnation: incarnation(node, restarts), StallAfter: time.Hour}
	if c.bounds.stallTimers {
		cfg.StallAfter = 0
	}
	r := NewParticipant(cfg, engine.EngineState, 0)
	r.loaded = append([]MapID{1}, c.bounds.proposedMaps...)
	return r
}

func (c *checker) send(ids []uint32, actions []Action) []uint32 {
	for _, a := range actions {
		var it inFlightItem
		switch a := a.(type) {
		case Send:
			it = inFlightItem{receiver: a.Message.To, message: a.Message}
			if it.message.Report.Vote != VoteNone {
				// Proposers use only the vote of a report with a vote. Clearing the
				// engine state merges equivalent states.
				it.message.Report.Engine = EngineState{}
			}
			if c.mutant.unknownIsNo && it.message.Report.Vote == VoteUnknown {
				it.message.Report.Vote = VoteNo
			}
			if it.message.Kind == KindCommit || it.message.Kind == KindAbort {
				it.message.From, it.message.Round = 0, 0
			}
			if it.message.Kind == KindReport && it.receiver >= checkedProposers {
				continue
			}
		case Command:
			it = inFlightItem{isOrder: true, receiver: int(a.Order.Process-1) % checkedRanks, order: a.Order}
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

var maxStatesFlag = flag.Int("states", 150_000, "maximum number of states that the model checker visits for each set of bounds")

// stateLimit returns the maximum number of states of a run. It is lower in short
// mode and under the race detector, which makes each state many times slower.
func stateLimit() int {
	if testing.Short() || raceDetector {
		return *maxStatesFlag / 10
	}
	return *maxStatesFlag
}

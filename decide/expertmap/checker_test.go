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

// initialRounds are those of a proposer that has asked for votes.
const initialRounds = 2

// item is a message or an order that was sent. Items stay deliverable, which
// covers loss, duplication, delay and reordering, and pauses of any process.
type item struct {
	order bool
	node  int
	m     Message
	o     Order
}

// bounds limit one exploration.
type bounds struct {
	proposals     []MapID
	agentRestarts int
	// inFlight restarts only the last rank's agent, with an order on its way.
	inFlight bool
	// late bounds the copies of orders that take effect late.
	late         int
	rankRestarts int
	steps        uint64
	// settlers are the proposers whose timers run.
	settlers []int
	// rounds bounds the rounds that the timers of each proposer start.
	rounds  uint64
	fencing bool
	// stalls lets ranks survey the group at any time.
	stalls bool
	states int
}

// variant plants a fault in the protocol.
type variant struct {
	// majority commits with two yes votes of three.
	majority bool
	// noHold lets engines enter the switch step in doubt.
	noHold bool
	// lostIsNo lets a restarted agent vote no for its predecessor.
	lostIsNo bool
}

// world is a state in interned form.
type world struct {
	gates, ranks   [checkedRanks]uint32
	proposers      [checkedProposers]uint32
	history        uint32
	agents, crashs uint8
	// late counts the late copies of orders that took effect.
	late uint8
	net  []uint32
	// depth is the number of events since the initial state.
	depth int
}

func (w *world) key() uint64 {
	b := make([]byte, 0, 4*(10+len(w.net)))
	for _, ids := range [][]uint32{w.gates[:], w.ranks[:], w.proposers[:], {w.history}, w.net} {
		for _, id := range ids {
			b = binary.LittleEndian.AppendUint32(b, id)
		}
	}
	return xxhash.Sum64(append(b, w.agents, w.crashs, w.late))
}

// table interns values by their printed form.
type table[T any] struct {
	ids    map[string]uint32
	values []T
}

func (t *table[T]) id(v T) uint32 {
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

// entry records that ranks entered a step of a session, with their maps.
type entry struct {
	session Token
	step    uint64
	maps    [checkedRanks]MapID
}

type effect struct {
	state uint32
	// gate and session are set for orders only.
	gate   uint32
	joined bool
	sent   []uint32
}

type checker struct {
	b         bounds
	v         variant
	gates     table[Gate]
	ranks     table[Rank]
	proposers table[Proposer]
	items     table[item]
	histories table[[]entry]
	memo      map[[4]uint32]effect

	seen     map[uint64]struct{}
	queue    []world
	mixed    string
	formed   int
	switched int
	// depth is that of the state expanded last.
	depth int
}

func explore(b bounds, v variant) *checker {
	c := &checker{b: b, v: v, memo: make(map[[4]uint32]effect), seen: make(map[uint64]struct{})}
	c.add(c.initial())
	for len(c.queue) > 0 && c.mixed == "" && len(c.seen) < b.states {
		w := c.queue[0]
		c.queue = c.queue[1:]
		c.depth = w.depth
		w.depth++
		c.expand(w)
	}
	return c
}

func (c *checker) add(w world) {
	w.net = slices.DeleteFunc(slices.Clone(w.net), func(id uint32) bool { return c.spent(&w, id) })
	k := w.key()
	if _, ok := c.seen[k]; !ok {
		c.seen[k] = struct{}{}
		c.queue = append(c.queue, w)
	}
}

func proposerFor(node int, generation uint8) Proposer {
	return NewProposer(ProposerConfig{
		Self: node, Ranks: checkedRanks, Incarnation: incarnation(node, generation), Initial: 1, LeadSteps: 1,
	})
}

func incarnation(node int, generation uint8) api.Incarnation {
	return api.Incarnation(100*(node+1)) + 10*api.Incarnation(generation)
}

// initial is a running group in which each proposer has just asked for votes.
func (c *checker) initial() world {
	var w world
	s := Session{Token: Token{Counter: 1}, Map: 1, Start: 1}
	first := entry{session: s.Token, step: 1}
	for i := range checkedRanks {
		g := NewGate(uint64(i+1), c.b.fencing)
		g.Apply(Order{Kind: OrderJoin, Process: g.Process, Session: s})
		first.maps[i] = s.Map
		w.gates[i] = c.gates.id(g)
		w.ranks[i] = c.ranks.id(c.newRank(i, 0, g))
	}
	w.history = c.histories.id([]entry{first})
	for n := range checkedProposers {
		p := proposerFor(n, 0)
		if n < len(c.b.proposals) {
			p.Propose(0, c.b.proposals[n])
			for i := range checkedRanks {
				r := c.ranks.values[w.ranks[i]]
				acts := r.Receive(0, Message{Kind: KindLoad, From: n, To: i, Round: p.round, Map: p.wish})
				w.net = c.send(w.net, p.Receive(0, acts[0].(Send).Message))
			}
		}
		w.proposers[n] = c.proposers.id(p)
	}
	return w
}

func (c *checker) newRank(node int, generation uint8, g Gate) Rank {
	cfg := RankConfig{Self: node, Incarnation: incarnation(node, generation), StallAfter: time.Hour}
	if c.b.stalls {
		cfg.StallAfter = 0
	}
	r := NewRank(cfg, g.GateState, 0)
	r.loaded = append([]MapID{1}, c.b.proposals...)
	return r
}

func (c *checker) send(net []uint32, actions []Action) []uint32 {
	for _, a := range actions {
		var it item
		switch a := a.(type) {
		case Send:
			it = item{node: a.Message.To, m: a.Message}
			if it.m.Report.Vote != VoteNone {
				// Proposers read the vote alone.
				it.m.Report.Gate = GateState{}
			}
			if c.v.lostIsNo && it.m.Report.Vote == VoteLost {
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
		net = include(net, c.items.id(it))
	}
	return net
}

func include(set []uint32, id uint32) []uint32 {
	at, found := slices.BinarySearch(set, id)
	if found {
		return set
	}
	return slices.Insert(slices.Clone(set), at, id)
}

var states = flag.Int("states", 150_000, "states that the model check visits for each set of bounds")

// checkedStates is the number of states that a run visits. The race detector
// makes each state many times slower.
func checkedStates() int {
	if testing.Short() || raceDetector {
		return *states / 10
	}
	return *states
}

package bench

import (
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/bench/timeline"
	"github.com/mulberryfork/mulberryfork/decide/expertmap"
	"github.com/mulberryfork/mulberryfork/decide/placement"
)

// groupShape is the shape of the modelled group. The real group is larger; the
// placement experiment covers its size.
var groupShape = placement.Shape{Ranks: 32, Experts: 64, Layers: 8, Slots: 4, RanksPerVM: 4}

const (
	// baseStep is the part of the step time that does not depend on the map.
	// expertStep is the time of the experts in a step under perfect balance.
	baseStep   = 10 * time.Millisecond
	expertStep = 30 * time.Millisecond
	// groupRateMBps is the group's share of the weight store's bandwidth.
	groupRateMBps = 1000.0
	groupExpertMB = 20.0
	// loadSlowdown is the fraction by which steps slow down while weights load.
	loadSlowdown        = 0.02
	groupTick           = 20 * time.Millisecond
	groupLeadSteps      = 8
	groupTimeout        = 200 * time.Millisecond
	groupResendInterval = 20 * time.Millisecond

	lossRate        = 0.02
	duplicateRate   = 0.01
	longDelayRate   = 0.01
	maxMessageDelay = 2 * time.Millisecond
	maxLongDelay    = 100 * time.Millisecond
	maxOrderDelay   = time.Millisecond
)

// expertGroup simulates a group of ranks. Its agents run the tested protocol for
// switching expert maps over an unreliable network.
type expertGroup struct {
	events       timeline.Timeline
	rng          *rand.Rand
	load         popularity
	faults       bool
	engines      []expertmap.EngineModel
	participants []expertmap.Participant
	proposers    []expertmap.Proposer
	maps         []placement.Map
	// loadedMaps lists the maps whose weights each engine has loaded. A restart of its
	// agent does not unload them.
	loadedMaps [][]expertmap.MapID
	// partitionedUntil and pausedUntil hold the ends of the partition and of the
	// pause of each agent.
	partitionedUntil, pausedUntil []time.Duration
	loadingUntil                  time.Duration
	loadsStarted                  map[[2]uint64]bool
	lastIncarnation               api.Incarnation
	lastProcessID                 uint64

	running bool
	// lastStep is the last finished step, lastStepAt its finish time.
	lastStep   stepKey
	lastStepAt time.Duration
	// crashed is true from the restart of an engine to the next step.
	crashed bool
	// skew is the load skew of the map skewMap at the time skewAt, in units of
	// loadResolution.
	skew             float64
	skewAt           time.Duration
	skewMap          expertmap.MapID
	stats            groupStats
	onSwitchFinished func(expertmap.Finished)
}

type groupStats struct {
	steps, mixedSteps, switches, stalledSteps int
	loadingTime, stallTime                    time.Duration
	longestStall, longestCrashStall           time.Duration
	skew                                      []float64
	weightsLoaded                             int
}

func newExpertGroup(seed uint64, load popularity, first placement.Map, faults bool) *expertGroup {
	g := &expertGroup{
		rng: rand.New(rand.NewPCG(seed, 4)), load: load, faults: faults,
		maps: []placement.Map{{}, first}, loadsStarted: make(map[[2]uint64]bool),
	}
	n := first.Shape.Ranks
	g.engines, g.participants = make([]expertmap.EngineModel, n), make([]expertmap.Participant, n)
	g.proposers = make([]expertmap.Proposer, n)
	g.loadedMaps = make([][]expertmap.MapID, n)
	g.partitionedUntil, g.pausedUntil = make([]time.Duration, n), make([]time.Duration, n)
	session := expertmap.Session{Token: expertmap.Token{Counter: 1}, Map: 1, Start: 1}
	for i := range n {
		g.startEngine(i)
		g.engines[i].Apply(expertmap.Order{Kind: expertmap.OrderJoin, Process: g.engines[i].Process, Session: session})
		g.startAgent(i)
	}
	g.events.Every(groupTick, groupTick, g.tick)
	g.runStep()
	return g
}

func (g *expertGroup) startEngine(i int) {
	g.lastProcessID++
	g.loadedMaps[i] = nil
	// Engines with odd numbers ignore fencing tokens.
	g.engines[i] = expertmap.NewEngineModel(g.lastProcessID<<16|uint64(i), i%2 == 0)
}

func (g *expertGroup) startAgent(i int) {
	g.lastIncarnation += 1 << 32
	incarnation := g.lastIncarnation + api.Incarnation(i)
	g.participants[i] = expertmap.NewParticipant(expertmap.ParticipantConfig{
		Self: i, Incarnation: incarnation, ResolveAfter: groupTimeout,
		StallAfter: 5 * groupTimeout, OrderTimeout: groupResendInterval,
	}, g.engines[i].EngineState, g.events.Now())
	for _, id := range g.loadedMaps[i] {
		g.participants[i].WeightsLoaded(id)
	}
	g.proposers[i] = expertmap.NewProposer(expertmap.ProposerConfig{
		Self: i, Ranks: len(g.engines), Incarnation: incarnation, InitialMap: 1, LeadSteps: groupLeadSteps,
		LoadTimeout: time.Hour, VoteTimeout: groupTimeout, ResendInterval: groupResendInterval,
	})
}

func (g *expertGroup) tick() {
	now := g.events.Now()
	for i := range g.participants {
		if g.pausedUntil[i] <= now {
			g.execute(i, g.participants[i].Tick(now))
			g.execute(i, g.proposers[i].Tick(now))
		}
	}
}

func (g *expertGroup) execute(i int, actions []expertmap.Action) {
	now := g.events.Now()
	for _, a := range actions {
		switch a := a.(type) {
		case expertmap.Send:
			g.send(a.Message)
		case expertmap.Command:
			g.command(i, a.Order)
		case expertmap.LoadWeights:
			g.loadWeights(i, a.Map)
		case expertmap.ResolveNeeded:
			g.execute(i, g.proposers[i].Resolve(now, a.Proposal))
		case expertmap.SessionNeeded:
			g.execute(i, g.proposers[i].FormSession(now))
		case expertmap.Finished:
			if g.onSwitchFinished != nil && i == 0 {
				g.onSwitchFinished(a)
			}
		}
	}
}

func (g *expertGroup) send(m expertmap.Message) {
	copies := 1
	if g.faults && m.From != m.To {
		if g.rng.Float64() < lossRate {
			copies = 0
		} else if g.rng.Float64() < duplicateRate {
			copies = 2
		}
	}
	for range copies {
		d := time.Duration(g.rng.Int64N(int64(maxMessageDelay)))
		if g.faults && g.rng.Float64() < longDelayRate {
			d += time.Duration(g.rng.Int64N(int64(maxLongDelay)))
		}
		g.events.After(d, func() { g.deliver(m) })
	}
}

func (g *expertGroup) deliver(m expertmap.Message) {
	now := g.events.Now()
	if m.From != m.To && (g.partitionedUntil[m.From] > now || g.partitionedUntil[m.To] > now) {
		return
	}
	if g.pausedUntil[m.To] > now {
		g.events.At(g.pausedUntil[m.To], func() { g.deliver(m) })
		return
	}
	if m.Kind == expertmap.KindReport {
		g.execute(m.To, g.proposers[m.To].Receive(now, m))
	} else {
		g.execute(m.To, g.participants[m.To].Receive(now, m))
	}
}

// command delivers an order to an engine, and then the engine's state to its agent.
func (g *expertGroup) command(i int, o expertmap.Order) {
	g.events.After(time.Duration(g.rng.Int64N(int64(maxOrderDelay))), func() {
		g.engines[i].Apply(o)
		g.events.After(time.Duration(g.rng.Int64N(int64(maxOrderDelay))), func() { g.acknowledge(i, o) })
		g.enterSteps()
	})
}

func (g *expertGroup) acknowledge(i int, o expertmap.Order) {
	if g.pausedUntil[i] > g.events.Now() {
		g.events.At(g.pausedUntil[i], func() { g.acknowledge(i, o) })
		return
	}
	if o.Agent == g.participants[i].Incarnation() && o.Process == g.engines[i].Process {
		g.execute(i, g.participants[i].OrderDone(g.events.Now(), o.Seq, g.engines[i].EngineState))
	}
}

// loadWeights loads the weights of a map that a rank does not hold yet. The ranks
// share the bandwidth that the weight store grants the group.
func (g *expertGroup) loadWeights(i int, id expertmap.MapID) {
	process := g.engines[i].Process
	key := [2]uint64{uint64(id), process}
	if g.loadsStarted[key] {
		return
	}
	g.loadsStarted[key] = true
	weights := groupShape.Layers * groupShape.Slots
	if active := g.engines[i].Active.Map; active != 0 {
		weights = g.maps[id].WeightsToLoad(g.maps[active])
	}
	loadTime := time.Duration(float64(weights) * groupExpertMB / groupRateMBps * float64(time.Second))
	g.loadingUntil = max(g.loadingUntil, g.events.Now()+loadTime)
	g.events.After(loadTime, func() {
		if g.engines[i].Process == process {
			g.loadedMaps[i] = append(g.loadedMaps[i], id)
			g.participants[i].WeightsLoaded(id)
		}
	})
}

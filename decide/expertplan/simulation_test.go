package expertplan_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/expertplan"
	"github.com/mulberryfork/mulberryfork/decide/placement"
	"github.com/mulberryfork/mulberryfork/decide/rankpacing"
)

const (
	// simulatedShift is the fraction of choices that a shift moves, and simulatedNoise
	// the relative deviation of an expert's choices by one request. Both give the
	// distances between samples that were measured on the users' engines.
	simulatedShift = 0.19
	simulatedNoise = 0.63
	simulatedPass  = 100 * time.Millisecond
	simulatedTick  = 10 * time.Millisecond
	requestsOnRank = 8
	// minSampleInterval bounds the time that the simulation of a small group takes.
	minSampleInterval = 100 * time.Millisecond
)

// simulation runs the planner of a group, without a network, through shifts of demand.
type simulation struct {
	random *rand.Rand
	// shiftRandom draws the demands, so that they are the same for all planners.
	shiftRandom *rand.Rand
	engine      api.EngineProfile
	pacing      rankpacing.Group
	loads       placement.Loads
	now         time.Duration
	counts      []uint64
	pending     []float64
	current     [][][]int
	// change is the change in progress. It is held and switched from switchAt on and takes
	// effect at doneAt, 0 if there is none.
	change           expertplan.Change
	switchAt, doneAt time.Duration
	// loss is the sum over time of the imbalance beyond 1, slow the time with passes that
	// take over twice as long as with an even load, and copies the experts copied.
	loss, slow float64
	copies     int
	// present is the imbalance of the map in use, 0 after a change of it or of demand.
	present float64
}

func newSimulation(ranks int, engine api.EngineProfile, seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 3)), shiftRandom: rand.New(rand.NewPCG(seed, 4)), engine: engine,
		pacing: rankpacing.Group{Ranks: ranks, Layers: engine.Layers, Experts: engine.Experts, LinkMbps: 8, CPUShare: 0.24},
		counts: make([]uint64, engine.Layers*engine.Experts), pending: make([]float64, engine.Layers*engine.Experts),
	}
	for range engine.Layers {
		layer := make([]float64, engine.Experts)
		for e := range layer {
			layer[e] = math.Exp(0.5 * s.shiftRandom.NormFloat64())
		}
		s.loads = append(s.loads, scaled(layer, 1))
	}
	return s
}

// scaled scales a layer in place to a sum.
func scaled(layer []float64, sum float64) []float64 {
	total := 0.0
	for _, x := range layer {
		total += x
	}
	for e := range layer {
		layer[e] *= sum / total
	}
	return layer
}

// shift moves a part of the choices of each layer to some of its experts.
func (s *simulation) shift() {
	s.present = 0
	for _, layer := range s.loads {
		scaled(layer, 1-simulatedShift)
		popular := max(3, s.engine.Experts/16)
		for range popular {
			layer[s.shiftRandom.IntN(len(layer))] += simulatedShift / float64(popular)
		}
	}
}

// planner is the decision under test, or the previous one.
type planner interface {
	observe(s *simulation)
	// propose returns the change to begin, for a group that prepares change or is idle.
	propose(s *simulation, preparing bool) (expertplan.Plan, bool)
}

// run simulates until a time.
func (s *simulation) run(p planner, until time.Duration) {
	interval := max(s.pacing.CountsInterval(), minSampleInterval)
	for ; s.now < until; s.now += simulatedTick {
		if s.doneAt > 0 && s.now >= s.doneAt {
			s.current, s.doneAt, s.present = s.change.Plan.Map, 0, 0
		}
		s.choose(1)
		if s.now%max(interval.Round(simulatedTick), simulatedTick) == 0 {
			s.sample()
			p.observe(s)
		}
		s.propose(p)
		imbalance := s.trueImbalance()
		s.loss += (imbalance - 1) * simulatedTick.Seconds()
		if imbalance > 2 {
			s.slow += simulatedTick.Seconds()
		}
	}
}

// choose makes choices by the present demand.
func (s *simulation) choose(times float64) {
	for l, layer := range s.loads {
		for e, x := range layer {
			s.pending[l*s.engine.Experts+e] += times * x
		}
	}
}

func (s *simulation) running() int { return requestsOnRank * s.pacing.CountedRanks() }

// sample adds the choices since the last sample, with their noise, to the counts.
func (s *simulation) sample() { s.sampleWithNoise(simulatedNoise) }

func (s *simulation) sampleWithNoise(noise float64) {
	deviation := noise / math.Sqrt(float64(s.running()))
	for i, x := range s.pending {
		s.counts[i] += uint64(1e5 * x * max(0, 1+deviation*s.random.NormFloat64()))
		s.pending[i] = 0
	}
}

func (s *simulation) propose(p planner) {
	preparing := s.doneAt > 0 && s.now < s.switchAt
	if s.doneAt > 0 && !preparing {
		return
	}
	plan, ok := p.propose(s, preparing)
	if !ok {
		return
	}
	s.change = expertplan.Change{Plan: plan, BegunAt: s.now}
	s.switchAt = s.now + s.pacing.PrepareTime() + time.Duration(plan.CopiesPerRank)*s.engine.CopyTime
	s.doneAt = s.switchAt + s.pacing.SwitchTime(simulatedPass)
	s.copies += plan.Copies
}

// trueImbalance returns the imbalance of the map in use under the demand without noise.
func (s *simulation) trueImbalance() float64 {
	if s.present == 0 {
		s.present = s.imbalanceOf(s.current, s.loads)
	}
	return s.present
}

func (s *simulation) imbalanceOf(m [][][]int, loads placement.Loads) float64 {
	sum := 0.0
	for l, ranks := range m {
		holders := make([]float64, s.engine.Experts)
		for _, experts := range ranks {
			for _, e := range experts {
				holders[e]++
			}
		}
		most, total := 0.0, 0.0
		for _, experts := range ranks {
			load := 0.0
			for _, e := range experts {
				load += loads[l][e] / holders[e]
			}
			most, total = max(most, load), total+load
		}
		sum += most / total * float64(len(ranks))
	}
	return sum / float64(len(m))
}

// present is the decision under test.
type present struct {
	state *expertplan.State
	// seen and confirmed count the shifts that it saw.
	seen, confirmed int
}

func newPresent(ranks int, engine api.EngineProfile) *present {
	return &present{state: expertplan.New(ranks, engine)}
}

func (p *present) observe(s *simulation) {
	p.state.SetTimes(s.pacing.PrepareTime(), s.pacing.SwitchTime(simulatedPass))
	p.state.SetMap(s.current)
	all := make([][]uint64, s.pacing.Ranks)
	all[0] = append([]uint64(nil), s.counts...)
	switch p.state.Observe(s.now, 1, all, s.running()) {
	case expertplan.ShiftSeen:
		p.seen++
	case expertplan.ShiftConfirmed:
		p.confirmed++
	}
}

func (p *present) propose(s *simulation, preparing bool) (expertplan.Plan, bool) {
	if preparing {
		return p.state.Replacement(s.now, s.current, s.change)
	}
	return p.state.Plan(s.current)
}

// previous is the decision before small first changes: it detects a shift by a fixed
// bound, skips the sample that shows it, and then makes one change with all copies that a
// rank has time for.
type previous struct {
	shares       placement.Loads
	last         []uint64
	meanDistance float64
	skip         bool
	plan         expertplan.Plan
	planned      bool
}

func (p *previous) observe(s *simulation) {
	loads := make(placement.Loads, s.engine.Layers)
	for l := range loads {
		loads[l] = make([]float64, s.engine.Experts)
		for e := range loads[l] {
			i := l*s.engine.Experts + e
			loads[l][e] = float64(s.counts[i])
			if p.last != nil {
				loads[l][e] -= float64(p.last[i])
			}
		}
		scaled(loads[l], 1)
	}
	p.last = append([]uint64(nil), s.counts...)
	distance := 0.0
	for l := range p.shares {
		for e := range p.shares[l] {
			distance += math.Abs(p.shares[l][e]-loads[l][e]) / 2 / float64(len(loads))
		}
	}
	p.skip = !p.skip && distance > max(2.2*p.meanDistance, 0.16)
	if !p.skip {
		p.meanDistance += 0.1 * (distance - p.meanDistance)
	}
	// With this many requests, the estimate is nearly the last sample.
	p.shares, p.planned = loads, false
}

func (p *previous) propose(s *simulation, preparing bool) (expertplan.Plan, bool) {
	if p.shares == nil || p.skip {
		return expertplan.Plan{}, false
	}
	if !p.planned {
		p.plan, p.planned = p.update(s), true
	}
	copyTime := time.Duration(p.plan.CopiesPerRank) * s.engine.CopyTime
	worthwhile := p.plan.Before-p.plan.After >= (0.15*copyTime.Seconds()+0.04)/0.55*p.plan.Before
	if preparing && s.imbalanceOf(s.change.Plan.Map, p.shares) < 1.3*p.plan.After {
		return p.plan, false
	}
	return p.plan, worthwhile
}

func (p *previous) update(s *simulation) expertplan.Plan {
	shape := placement.Shape{Ranks: s.pacing.Ranks, Experts: s.engine.Experts, Layers: s.engine.Layers, Slots: s.engine.SlotsPerRank, RanksPerVM: 1}
	before := placement.Map{Shape: shape}
	for _, ranks := range s.current {
		for _, experts := range ranks {
			for k := range shape.Slots {
				before.Slots = append(before.Slots, int16(experts[k%len(experts)]))
			}
		}
	}
	n := max(1, int(250*time.Millisecond/s.engine.CopyTime))
	after, err := placement.UpdateInRounds(before, p.shares, []float64{1.2, 0.8, 0.55, 0.4, 0.28, 0.18, 0.1, 0.05},
		placement.Limits{Total: n * shape.Ranks, PerRank: n, PerRankLayer: s.engine.StagedPerRank})
	if err != nil {
		panic(err)
	}
	plan := expertplan.Plan{Copies: after.WeightsToLoad(before), CopiesPerRank: n}
	for l := range shape.Layers {
		plan.Map = append(plan.Map, nil)
		for r := range shape.Ranks {
			experts := []int{}
			seen := map[int16]bool{}
			for _, e := range after.Layer(l)[r*shape.Slots : (r+1)*shape.Slots] {
				if !seen[e] {
					experts = append(experts, int(e))
				}
				seen[e] = true
			}
			plan.Map[l] = append(plan.Map[l], experts)
		}
	}
	plan.Before, plan.After = s.imbalanceOf(s.current, p.shares), s.imbalanceOf(plan.Map, p.shares)
	return plan
}

// fitted returns a simulation whose map fits the demand.
func fitted(t *testing.T, ranks int, engine api.EngineProfile, seed uint64) *simulation {
	t.Helper()
	s := newSimulation(ranks, engine, seed)
	shape := placement.Shape{Ranks: ranks, Experts: engine.Experts, Layers: engine.Layers, Slots: engine.SlotsPerRank, RanksPerVM: 1}
	m, err := placement.Plan(shape, s.loads)
	if err != nil {
		t.Fatal(err)
	}
	for l := range engine.Layers {
		s.current = append(s.current, nil)
		for r := range ranks {
			experts := []int{}
			seen := map[int16]bool{}
			for _, e := range m.Layer(l)[r*engine.SlotsPerRank : (r+1)*engine.SlotsPerRank] {
				if !seen[e] {
					experts = append(experts, int(e))
				}
				seen[e] = true
			}
			s.current[l] = append(s.current[l], experts)
		}
	}
	return s
}

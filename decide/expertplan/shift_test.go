package expertplan_test

import (
	"fmt"
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
	interval := s.pacing.CountsInterval()
	for ; s.now < until; s.now += simulatedTick {
		if s.doneAt > 0 && s.now >= s.doneAt {
			s.current, s.doneAt, s.present = s.change.Plan.Map, 0, 0
		}
		for l, layer := range s.loads {
			for e, x := range layer {
				s.pending[l*s.engine.Experts+e] += x
			}
		}
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

func (s *simulation) running() int { return requestsOnRank * s.pacing.CountedRanks() }

// sample adds the choices since the last sample, with their noise, to the counts.
func (s *simulation) sample() {
	deviation := simulatedNoise / math.Sqrt(float64(s.running()))
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
	plan, ok := p.state.Plan(s.current)
	if ok && preparing && !p.state.Replaces(s.now, plan, s.change) {
		return plan, false
	}
	return plan, ok
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

// outcome is what callers of a group notice of its shifts, per shift, and the experts
// copied for it.
type outcome struct {
	peak, loss, slow float64
	copies           int
}

// simulateShifts runs a group through shifts at random phases of its samples.
func simulateShifts(t *testing.T, ranks int, engine api.EngineProfile, p planner) outcome {
	t.Helper()
	const shifts = 5
	s := fitted(t, ranks, engine, 1)
	s.run(p, 3*time.Second)
	s.loss, s.slow, s.copies = 0, 0, 0
	var o outcome
	for range shifts {
		s.shift()
		o.peak += s.trueImbalance() / shifts
		s.run(p, s.now+3500*time.Millisecond+time.Duration(s.shiftRandom.IntN(300))*time.Millisecond)
	}
	o.loss, o.slow, o.copies = s.loss/shifts, s.slow/shifts, s.copies/shifts
	return o
}

// Guards against a shift that is seen too late or answered with a change that takes too
// long, in groups of any size: passes are then too long for callers for a second or more.
func TestShiftsCostLessThanBefore(t *testing.T) {
	cases := []struct {
		ranks, experts, slots int
		// maxLoss is the loss relative to that of the previous decision.
		maxLoss float64
	}{
		{12, 96, 11, 0.95}, {24, 96, 5, 0.85}, {24, 44, 2, 1.05}, {72, 144, 3, 0.85}, {72, 72, 3, 0.75}, {256, 256, 3, 0.85},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d ranks, %.1f copies", c.ranks, float64(c.ranks*c.slots)/float64(c.experts)), func(t *testing.T) {
			t.Parallel()
			engine := api.EngineProfile{Layers: 3, Experts: c.experts, SlotsPerRank: c.slots, StagedPerRank: 2, CopyTime: 16400 * time.Microsecond}
			before := simulateShifts(t, c.ranks, engine, &previous{})
			now := newPresent(c.ranks, engine)
			after := simulateShifts(t, c.ranks, engine, now)
			t.Logf("per shift: before %+v, now %+v", before, after)
			if after.loss > c.maxLoss*before.loss || after.slow > before.slow {
				t.Errorf("per shift: %+v, before %+v", after, before)
			}
			if now.seen != 5 || now.confirmed != 5 {
				t.Errorf("%d shifts seen, %d confirmed, want 5", now.seen, now.confirmed)
			}
			if x := now.state.ShiftImbalance(20 * time.Second); x < 0.85*after.peak || x > 1.15*after.peak {
				t.Errorf("expected imbalance %.2f, mean after the shifts %.2f", x, after.peak)
			}
		})
	}
}

// Guards against a value for the next shift where there are no shifts: of a group that has
// seen none, and of one whose demand has become stable. Batches would stay small for nothing.
func TestNoShiftIsExpectedWithoutShifts(t *testing.T) {
	engine := api.EngineProfile{Layers: 3, Experts: 96, SlotsPerRank: 5, StagedPerRank: 2, CopyTime: 16400 * time.Microsecond}
	s, p := fitted(t, 24, engine, 1), newPresent(24, engine)
	s.run(p, 5*time.Second)
	if x := p.state.ShiftImbalance(s.now); x != 0 || p.seen > 0 {
		t.Errorf("imbalance %.2f expected, %d shifts seen, before the first shift", x, p.seen)
	}
	for range 3 {
		s.shift()
		s.run(p, s.now+3*time.Second)
	}
	if x := p.state.ShiftImbalance(s.now); x < 1.2 {
		t.Errorf("imbalance %.2f expected after shifts", x)
	}
	s.run(p, s.now+12*time.Second)
	if x := p.state.ShiftImbalance(s.now); x != 0 {
		t.Errorf("imbalance %.2f expected 15 s after the last shift", x)
	}
}

package expertplan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// outcome is what callers of a group notice of its shifts, per shift, and the experts
// copied for it.
type outcome struct {
	peak, loss, slow float64
	copies           int
}

// simulateShifts runs a group through shifts at random phases of its samples.
func simulateShifts(t *testing.T, ranks int, engine api.EngineProfile, p planner) outcome {
	t.Helper()
	const shifts = 4
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
		ranks, experts, slots, layers int
		// maxLoss and maxCopies are relative to the previous decision.
		maxLoss, maxCopies float64
	}{
		{12, 96, 11, 3, 0.9, 1.5}, {24, 96, 5, 6, 0.85, 0.95}, {24, 44, 2, 3, 0.95, 1.1},
		{72, 144, 3, 6, 0.8, 0.75}, {72, 72, 3, 3, 0.8, 0.8}, {256, 256, 3, 2, 0.9, 1},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d ranks, %.1f copies", c.ranks, float64(c.ranks*c.slots)/float64(c.experts)), func(t *testing.T) {
			t.Parallel()
			engine := api.EngineProfile{Layers: c.layers, Experts: c.experts, SlotsPerRank: c.slots, StagedPerRank: 2, CopyTime: 16400 * time.Microsecond}
			before := simulateShifts(t, c.ranks, engine, &previous{})
			now := newPresent(c.ranks, engine)
			after := simulateShifts(t, c.ranks, engine, now)
			t.Logf("per shift: before %+v, now %+v", before, after)
			if after.loss > c.maxLoss*before.loss || after.slow > before.slow || float64(after.copies) > c.maxCopies*float64(before.copies) {
				t.Errorf("per shift: %+v, before %+v", after, before)
			}
			if now.seen != 4 || now.confirmed != 4 {
				t.Errorf("%d shifts seen, %d confirmed, want 4", now.seen, now.confirmed)
			}
			if x := now.state.ShiftImbalance(17 * time.Second); x < 0.85*after.peak || x > 1.15*after.peak {
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

// Guards against a shift that is not seen, or seen late, because it is spread over two
// samples: each differs from the one before by half as much as with a shift between them.
func TestShiftWithinSampleIsSeen(t *testing.T) {
	for _, ranks := range []int{12, 24, 72, 256} {
		for part := 0.1; part < 1; part += 0.2 {
			engine := api.EngineProfile{Layers: 3, Experts: 2 * ranks, SlotsPerRank: 3, StagedPerRank: 2, CopyTime: 16400 * time.Microsecond}
			s, p := fitted(t, ranks, engine, 1), newPresent(ranks, engine)
			sample := func(first, second float64) {
				s.choose(first)
				if second > 0 {
					s.shift()
					s.choose(second)
				}
				s.now += minSampleInterval
				s.sample()
				p.observe(s)
			}
			for range 20 {
				sample(10, 0)
			}
			sample(10*part, 10*(1-part))
			// With a tenth of the new demand, the next sample is the first one to show it.
			for range 2 {
				sample(10, 0)
			}
			if p.seen != 1 || p.confirmed != 1 {
				t.Errorf("%d ranks, shift after %.1f of the sample: %d seen, %d confirmed", ranks, part, p.seen, p.confirmed)
			}
		}
	}
}

// Guards against one unusual sample that replaces a good estimate for longer than until the
// next one, or counts as a shift that makes edges run smaller batches.
func TestUnusualSampleIsDismissed(t *testing.T) {
	engine := api.EngineProfile{Layers: 3, Experts: 96, SlotsPerRank: 5, StagedPerRank: 2, CopyTime: 16400 * time.Microsecond}
	s, p := fitted(t, 24, engine, 1), newPresent(24, engine)
	sample := func() {
		s.choose(10)
		s.now += minSampleInterval
		s.sample()
		p.observe(s)
	}
	for range 20 {
		sample()
	}
	usual, before := s.loads, p.state.Imbalance(s.current)
	s.loads = newSimulation(24, engine, 2).loads
	sample()
	s.loads = usual
	sample()
	if p.seen != 1 || p.confirmed != 0 || p.state.ShiftImbalance(s.now) != 0 {
		t.Errorf("%d shifts seen, %d confirmed, imbalance %.2f expected", p.seen, p.confirmed, p.state.ShiftImbalance(s.now))
	}
	if after := p.state.Imbalance(s.current); after > 1.05*before {
		t.Errorf("imbalance of the map in use is estimated as %.2f, before the sample as %.2f", after, before)
	}
}

package expertplan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Guards against shifts that are not seen, and shifts that are seen where there are none, at
// the sample intervals and numbers of counted ranks of groups of any size on the slowest link.
// In a large group, samples are so far apart that each shift raises the noise before the next.
func TestShiftsAreSeenAtAllSizes(t *testing.T) {
	const (
		runs, shiftsPerRun = 10, 10
		shiftInterval      = 3500 * time.Millisecond
	)
	for _, c := range []struct{ ranks, experts int }{{12, 96}, {24, 96}, {64, 256}, {72, 144}, {256, 256}, {256, 512}} {
		t.Run(fmt.Sprintf("%d ranks, %d experts", c.ranks, c.experts), func(t *testing.T) {
			t.Parallel()
			engine := api.EngineProfile{Layers: 3, Experts: c.experts, SlotsPerRank: 11, StagedPerRank: 2, CopyTime: 16400 * time.Microsecond}
			unwanted := 0
			for seed := range uint64(runs) {
				s, p := newSimulation(c.ranks, engine, seed), newPresent(c.ranks, engine)
				s.pacing.LinkMbps, s.pacing.Layers = 6, 12
				interval := max(s.pacing.CountsInterval(), s.pacing.ReadInterval())
				samples := int(shiftInterval / interval)
				sample := func(before, after float64) {
					s.choose(before)
					if after > 0 {
						s.shift()
						s.choose(after)
					}
					s.now += interval
					s.sample()
					p.observe(s)
				}
				unchanged := func() {
					for range samples {
						sample(10, 0)
					}
				}
				unchanged()
				for n := range shiftsPerRun {
					part := s.shiftRandom.Float64()
					sample(10*part, 10*(1-part))
					unchanged()
					if p.confirmed <= n {
						t.Fatalf("seed %d: shift %d of %d, after %.1f of a sample, not confirmed; %d samples of %v between shifts",
							seed, n+1, shiftsPerRun, part, samples, interval)
					}
				}
				unwanted += p.seen - shiftsPerRun
			}
			if unwanted > 0 {
				t.Errorf("%d shifts seen beyond those that happened", unwanted)
			}
		})
	}
}

// Guards against noise that stays too low after it has risen for good, as with requests of
// more kinds: every other sample would then count as a shift.
func TestRisenNoiseIsLearned(t *testing.T) {
	engine := api.EngineProfile{Layers: 3, Experts: 96, SlotsPerRank: 5, StagedPerRank: 2, CopyTime: 16400 * time.Microsecond}
	s, p := fitted(t, 24, engine, 1), newPresent(24, engine)
	sample := func(noise float64) {
		s.choose(10)
		s.now += minSampleInterval
		s.sampleWithNoise(noise)
		p.observe(s)
	}
	for range 40 {
		sample(simulatedNoise)
	}
	for range 40 {
		sample(2.5 * simulatedNoise)
	}
	before := p.seen
	for range 40 {
		sample(2.5 * simulatedNoise)
	}
	if p.seen > before {
		t.Errorf("%d shifts seen 4 s and more after the noise has risen", p.seen-before)
	}
}

package expertplan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Guards against a map that is kept although the next shift makes passes too long for callers,
// and against changes without a gain: the larger a group, the more a shift raises its
// imbalance.
func TestShortPassesSurviveShifts(t *testing.T) {
	const (
		pause = 120 * time.Millisecond
		half  = pause / 2
		steps = 7
	)
	for _, c := range []struct {
		ranks, experts, slots int
		stepTime              time.Duration
		// least is the least time below which passes must count as short.
		least time.Duration
	}{
		{12, 96, 11, 0, half}, {24, 96, 5, 5850 * time.Microsecond, half}, {72, 144, 3, 4840 * time.Microsecond, half},
		{64, 256, 6, 0, 50 * time.Millisecond}, {72, 144, 3, 0, 40 * time.Millisecond},
		{256, 256, 3, 0, 30 * time.Millisecond}, {256, 256, 3, 4840 * time.Microsecond, 50 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d ranks, step time %v", c.ranks, c.stepTime), func(t *testing.T) {
			t.Parallel()
			engine := api.EngineProfile{
				Layers: 3, Experts: c.experts, SlotsPerRank: c.slots, StagedPerRank: 2, CopyTime: 16400 * time.Microsecond,
				StepTime: c.stepTime, StepsPerPass: steps, ExpertShare: 0.85,
			}
			s, p := fitted(t, c.ranks, engine, 1), newPresent(c.ranks, engine)
			if first := p.state.ShortPass(0, pause); first != half {
				t.Errorf("passes of up to %v are short before the first shift, want %v", first, half)
			}
			p.state.SetSpare(true)
			const shifts = 6
			before, after := 0.0, 0.0
			for range shifts {
				s.run(p, s.now+3500*time.Millisecond+time.Duration(s.shiftRandom.IntN(300))*time.Millisecond)
				before += workAt(s.trueImbalance()) / shifts
				s.shift()
				after += workAt(s.trueImbalance()) / shifts
			}
			s.run(p, s.now+time.Second)
			short := p.state.ShortPass(s.now, pause)
			fixed := steps * c.stepTime
			long := fixed + time.Duration(float64(short-fixed)*after/before)
			t.Logf("passes of %v are short, and take %v after a shift", short, long)
			if long > pause {
				t.Errorf("passes of %v are short, and take %v after a shift", short, long)
			}
			if short < c.least {
				t.Errorf("only passes of up to %v are short, want %v", short, c.least)
			}
		})
	}
}

// workAt returns the time of the work for tokens at an imbalance of its experts.
func workAt(imbalance float64) float64 { return 0.15 + 0.85*imbalance }

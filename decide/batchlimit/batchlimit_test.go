package batchlimit_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/batchlimit"
)

var model = batchlimit.Model{StepTime: 4550 * time.Microsecond, RequestTime: 1990 * time.Microsecond, StepsPerPass: 6}

func TestLimit(t *testing.T) {
	const slots = 6
	pass := func(n int) time.Duration { return 6 * (model.StepTime + time.Duration(n)*model.RequestTime) }
	for _, c := range []struct {
		name     string
		observed time.Duration
		running  int
		want     int
	}{
		{"unknown pass time", 0, 6, slots},
		{"as expected", pass(6), 6, slots},
		{"twice as long with full batches", 2 * pass(6), 6, 5},
		{"three times as long", 3 * pass(6), 6, 2},
		{"three times as long with small batches", 3 * pass(2), 2, 2},
		{"too slow for any batch", 12 * pass(6), 6, slots},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := model.Limit(slots, batchlimit.Group{PassTime: c.observed, Fullest: c.running}, 200*time.Millisecond); got != c.want {
				t.Errorf("limit %d, want %d", got, c.want)
			}
		})
	}
}

const (
	playedRanks  = 64
	playedSlots  = 6
	playedEvents = 15
	maxPause     = 200 * time.Millisecond
	firstTarget  = 600 * time.Millisecond
)

// played is what the callers of a simulated group get.
type played struct{ inTime, late, refused int }

// worth counts a late response half, as both users do.
func (p played) worth() float64 { return float64(p.inTime) + 0.5*float64(p.late) }

// play simulates a group for 30 s. passTime returns the time of a pass with n requests on the
// fullest rank, and perSecond is the rate of requests. A request is placed on the rank with
// the fewest; it is refused if that has as many as limit returns. One may wait for a full
// batch.
func play(passTime func(now time.Duration, n int) time.Duration, perSecond float64, limit func(observed time.Duration, running int) int) played {
	type request struct {
		arrived time.Duration
		events  int
		late    bool
	}
	var result played
	random := rand.New(rand.NewPCG(1, 0))
	running, waiting := make([][]*request, playedRanks), make([][]*request, playedRanks)
	next, observed, fullest := time.Duration(0), time.Duration(0), 0
	for now := time.Duration(0); now < 30*time.Second; {
		fullest = 0
		for r := range running {
			for len(waiting[r]) > 0 && len(running[r]) < playedSlots {
				running[r], waiting[r] = append(running[r], waiting[r][0]), waiting[r][1:]
			}
			fullest = max(fullest, len(running[r]))
		}
		pass := passTime(now, max(fullest, 1))
		observed = pass
		now += pass
		for r := range running {
			kept := running[r][:0]
			for _, q := range running[r] {
				q.late = q.late || pass > maxPause || q.events == 0 && now-q.arrived > firstTarget
				if q.events++; q.events < playedEvents {
					kept = append(kept, q)
					continue
				}
				if q.late {
					result.late++
				} else {
					result.inTime++
				}
			}
			running[r] = kept
		}
		for ; next < now; next += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
			best := 0
			for r := range running {
				if len(running[r])+len(waiting[r]) < len(running[best])+len(waiting[best]) {
					best = r
				}
			}
			places := limit(observed, fullest)
			if places == playedSlots {
				places++
			}
			if len(running[best])+len(waiting[best]) >= places {
				result.refused++
				continue
			}
			waiting[best] = append(waiting[best], &request{arrived: next})
		}
	}
	return result
}

// Plays four loads against the rule that fills every slot. Guards against groups whose
// callers are all late because each pass takes too long, and against refusals on a calm
// day.
func TestCallersGetMoreInTime(t *testing.T) {
	calm := func(time.Duration) float64 { return 1.3 }
	tripled := func(now time.Duration) float64 {
		if now > 5*time.Second && now < 25*time.Second {
			return 2.9
		}
		return 1.3
	}
	powerLoss := func(now time.Duration) float64 {
		if now < 3*time.Second {
			return 2.9
		}
		return 1.3
	}
	for _, c := range []struct {
		name      string
		slowdown  func(time.Duration) float64
		perSecond float64
		// minGain is the least ratio of the worth to that of full batches.
		minGain float64
	}{
		{"calm", calm, 130, 1},
		{"steps three times as long for 20 s", tripled, 130, 1.1},
		{"return after a power loss", powerLoss, 130, 1},
		{"triple demand", calm, 390, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			passTime := func(now time.Duration, n int) time.Duration {
				return time.Duration(c.slowdown(now) * float64(6*(model.StepTime+time.Duration(n)*model.RequestTime)))
			}
			full := play(passTime, c.perSecond, func(time.Duration, int) int { return playedSlots })
			limited := play(passTime, c.perSecond, func(observed time.Duration, running int) int {
				return model.Limit(playedSlots, batchlimit.Group{PassTime: observed, Fullest: running}, maxPause)
			})
			t.Logf("full batches %+v, limited %+v", full, limited)
			if limited.worth() < c.minGain*full.worth() {
				t.Errorf("worth %.0f, with full batches %.0f, want at least %.2f times that", limited.worth(), full.worth(), c.minGain)
			}
			if c.name == "calm" && limited.refused > full.refused {
				t.Errorf("%d refused on a calm day", limited.refused)
			}
		})
	}
}

// Plays demand that shifts every 3.3 s: for a part of that time the fullest rank has three
// times the mean load. Guards against batches that fill every slot before a shift, so that
// every stream has a pause that its caller does not accept, and against the loss of requests
// where shifts are harmless.
func TestBatchesLeaveRoomForTheNextShift(t *testing.T) {
	const shiftInterval, imbalanceAtShift = 3300 * time.Millisecond, 3.0
	experts := model
	experts.ExpertShare = 0.85
	for _, c := range []struct {
		name      string
		fitsAfter time.Duration
		perSecond float64
		// published is the imbalance that the leader publishes.
		published float64
		minGain   float64
	}{
		{"shifts", 800 * time.Millisecond, 190, imbalanceAtShift, 1},
		{"shifts and more requests than places", 800 * time.Millisecond, 300, imbalanceAtShift, 1.3},
		{"no shift seen yet", 800 * time.Millisecond, 190, 0, 1},
		{"few requests", 800 * time.Millisecond, 60, imbalanceAtShift, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			passTime := func(now time.Duration, n int) time.Duration {
				factor := 1.0
				if now%shiftInterval < c.fitsAfter {
					factor = 1 - experts.ExpertShare + experts.ExpertShare*imbalanceAtShift
				}
				return time.Duration(6 * (float64(experts.StepTime) + factor*float64(n)*float64(experts.RequestTime)))
			}
			full := play(passTime, c.perSecond, func(time.Duration, int) int { return playedSlots })
			limited := play(passTime, c.perSecond, func(observed time.Duration, running int) int {
				return experts.Limit(playedSlots, batchlimit.Group{PassTime: observed, Fullest: running, ShiftImbalance: c.published}, maxPause)
			})
			t.Logf("full batches %+v, limited %+v", full, limited)
			if limited.worth() < c.minGain*full.worth() {
				t.Errorf("worth %.0f, with full batches %.0f, want at least %.2f times that", limited.worth(), full.worth(), c.minGain)
			}
			if c.published > 0 && limited.late > 0 {
				t.Errorf("%d responses are late", limited.late)
			}
		})
	}
}

// Guards against a limit that does not follow from the size of the batch and the accepted
// pause, and against one that gives up most of the capacity.
func TestShiftLimit(t *testing.T) {
	engine := batchlimit.Model{
		StepTime: 4840 * time.Microsecond, RequestTime: 435 * time.Microsecond, StepsPerPass: 7,
		ExpertShare: 0.85, ReadTime: 11160 * time.Microsecond, AnswerTokens: 158,
	}
	for _, c := range []struct {
		name      string
		imbalance float64
		maxPause  time.Duration
		want      int
	}{
		{"no shift expected", 0, 120 * time.Millisecond, 10},
		{"small shift", 1.5, 120 * time.Millisecond, 10},
		{"usual shift", 3, 120 * time.Millisecond, 6},
		{"long pauses accepted", 3, 200 * time.Millisecond, 10},
		{"too little capacity left", 9, 120 * time.Millisecond, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := engine.Limit(10, batchlimit.Group{ShiftImbalance: c.imbalance}, c.maxPause); got != c.want {
				t.Errorf("limit %d, want %d", got, c.want)
			}
		})
	}
}

// Guards against prompts that are read together and make a pass longer than the accepted pause
// more often than once in fifty passes, and against groups that take less than two in five passes. Plays
// ranks that get the mean number of prompts at random.
func TestPromptsReadTogetherFitThePause(t *testing.T) {
	m := batchlimit.Model{StepTime: 5850 * time.Microsecond, RequestTime: 600 * time.Microsecond, StepsPerPass: 6, ReadTime: 10 * time.Millisecond}
	random := rand.New(rand.NewPCG(1, 1))
	for _, ranks := range []int{12, 24, 64, 72, 256} {
		for _, pass := range []time.Duration{50 * time.Millisecond, 71 * time.Millisecond, 90 * time.Millisecond} {
			mean := m.Reads(pass, ranks, 120*time.Millisecond)
			long, passes := 0, 200_000/ranks
			for range passes {
				fullest := 0
				for range ranks {
					n := 0
					for left := random.ExpFloat64(); left < mean; left += random.ExpFloat64() {
						n++
					}
					fullest = max(fullest, n)
				}
				if pass+time.Duration(fullest)*m.ReadTime > 120*time.Millisecond {
					long++
				}
			}
			if float64(long) > 0.02*float64(passes) || mean*float64(ranks) < 0.4 {
				t.Errorf("%d ranks, passes of %v: %.3f prompts on a rank make %d of %d passes too long", ranks, pass, mean, long, passes)
			}
		}
	}
	if mean := m.Reads(0, 24, 120*time.Millisecond); !math.IsInf(mean, 1) {
		t.Errorf("%v prompts for an unknown pass time, want no bound", mean)
	}
}

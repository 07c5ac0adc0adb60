package batchlimit_test

import (
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

// play simulates a group for 30 s. slowdown is the factor of the time of a pass, and
// perSecond the rate of requests. A request is placed on the rank with the fewest; it is
// refused if that has as many as limit returns. One may wait for a full batch.
func play(slowdown func(now time.Duration) float64, perSecond float64, limit func(observed time.Duration, running int) int) played {
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
		pass := time.Duration(slowdown(now) * float64(6*(model.StepTime+time.Duration(max(fullest, 1))*model.RequestTime)))
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
			full := play(c.slowdown, c.perSecond, func(time.Duration, int) int { return playedSlots })
			limited := play(c.slowdown, c.perSecond, func(observed time.Duration, running int) int {
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

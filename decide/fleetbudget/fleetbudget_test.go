package fleetbudget_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/fleetbudget"
)

// Guards against a sum of repeats over all processes beyond the bound that they
// share, in any window, with uneven load and processes that start anew.
func TestTheSumOfAllProcessesKeepsToTheBound(t *testing.T) {
	for _, c := range []struct{ processes, sharers int }{{10, 24}, {32, 32}, {75, 75}} {
		t.Run(strconv.Itoa(c.processes), func(t *testing.T) { keepsToTheBound(t, c.processes, c.sharers) })
	}
}

func keepsToTheBound(t *testing.T, processes, sharers int) {
	const (
		window = 10 * time.Second
		ratio  = 0.2
		extra  = 184
	)
	options := fleetbudget.Options{Ratio: ratio, Extra: extra, Window: window}
	random := rand.New(rand.NewPCG(1, 1))
	begin := func() *fleetbudget.State {
		s := fleetbudget.New(options)
		s.SetSharers(sharers)
		return s
	}
	states := make([]*fleetbudget.State, processes)
	for i := range states {
		states[i] = begin()
	}
	var requests, repeats []time.Duration
	for now := time.Duration(0); now < time.Minute; now += 5 * time.Millisecond {
		if random.IntN(2000) == 0 {
			states[random.IntN(processes)] = begin()
		}
		// Two processes get most requests, as a platform's hash deals them.
		i := min(random.IntN(processes), random.IntN(processes))
		if random.IntN(3) == 0 {
			states[i].Request(now, "s")
			requests = append(requests, now)
		}
		if states[random.IntN(processes)].Repeat(now, "s") {
			repeats = append(repeats, now)
		}
	}
	for _, begin := range repeats {
		if n, allowed := within(repeats, begin, window), ratio*float64(within(requests, begin, window))+extra; float64(n) > allowed {
			t.Fatalf("%d repeats from %v, %.0f allowed", n, begin, allowed)
		}
	}
	if len(repeats) < 100 {
		t.Errorf("%d repeats: the budget is not used", len(repeats))
	}
}

func within(times []time.Duration, begin, window time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= begin && at < begin+window {
			n++
		}
	}
	return n
}

// Guards against a process that repeats without knowing how many share the
// number beside the part of its requests.
func TestAProcessThatCountedNobodyTakesNoShare(t *testing.T) {
	s := fleetbudget.New(fleetbudget.Options{Ratio: 0.2, Extra: 480, Window: 10 * time.Second})
	for range 10 {
		s.Request(time.Second, "s")
	}
	repeats := 0
	for s.Repeat(time.Second, "s") {
		repeats++
	}
	if repeats != 2 {
		t.Errorf("%d repeats of 10 requests", repeats)
	}
}

// Guards against one service that uses up the repeats of another.
func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	s := fleetbudget.New(fleetbudget.Options{Extra: 48, Window: 10 * time.Second})
	s.SetSharers(24)
	for s.Repeat(time.Second, "a") {
	}
	if !s.Repeat(time.Second, "b") {
		t.Error("no repeat left")
	}
	if s.Repeat(9*time.Second, "a") || !s.Repeat(25*time.Second, "a") {
		t.Error("the window is not kept")
	}
}

// Guards against a burst of repeats that is measured by the requests of more
// than one window: the sum over all processes was 792 where 785 were allowed.
func TestABurstIsMeasuredByOneWindow(t *testing.T) {
	const perSecond, window = 100, 10 * time.Second
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		s := fleetbudget.New(fleetbudget.Options{Ratio: 0.2, Window: window})
		end := 30*time.Second + phase
		for now := time.Duration(0); now < end; now += time.Second / perSecond {
			s.Request(now, "s")
		}
		repeats := 0
		for s.Repeat(end, "s") {
			repeats++
		}
		if most := int(0.2 * perSecond * window.Seconds()); repeats > most || repeats < most*8/10 {
			t.Errorf("phase %v: %d repeats, allowed %d", phase, repeats, most)
		}
	}
}

package fleetbudget_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/fleetbudget"
)

// Guards against a fleet whose processes together send more retries in a window
// than the shared budget allows, under uneven load and with process restarts.
func TestRetriesOfAllProcessesStayWithinTheBound(t *testing.T) {
	for _, c := range []struct{ processes, configured int }{{10, 24}, {32, 32}, {75, 75}} {
		t.Run(strconv.Itoa(c.processes), func(t *testing.T) { checkBound(t, c.processes, c.configured) })
	}
}

func checkBound(t *testing.T, processes, configured int) {
	const (
		window = 10 * time.Second
		ratio  = 0.2
		extra  = 184
	)
	options := fleetbudget.Options{Ratio: ratio, ExtraRetries: extra, Window: window}
	random := rand.New(rand.NewPCG(1, 1))
	start := func() *fleetbudget.State {
		s := fleetbudget.New(options)
		s.SetProcessCount(configured)
		return s
	}
	states := make([]*fleetbudget.State, processes)
	for i := range states {
		states[i] = start()
	}
	var requests, retries []time.Duration
	for now := time.Duration(0); now < time.Minute; now += 5 * time.Millisecond {
		if random.IntN(2000) == 0 {
			states[random.IntN(processes)] = start()
		}
		// Processes with a low index get more requests, because the platform's hash
		// is uneven too: it sends most requests to two processes.
		i := min(random.IntN(processes), random.IntN(processes))
		if random.IntN(3) == 0 {
			states[i].RecordRequest(now, "s")
			requests = append(requests, now)
		}
		if states[random.IntN(processes)].TakeRetry(now, "s") {
			retries = append(retries, now)
		}
	}
	for _, begin := range retries {
		if n, allowed := countWithin(retries, begin, window), ratio*float64(countWithin(requests, begin, window))+extra; float64(n) > allowed {
			t.Fatalf("%d retries in the window from %v, %.0f allowed", n, begin, allowed)
		}
	}
	if len(retries) < 100 {
		t.Errorf("%d retries, want at least 100", len(retries))
	}
}

func countWithin(times []time.Duration, begin, window time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= begin && at < begin+window {
			n++
		}
	}
	return n
}

// Guards against a process that makes extra retries before it knows the number of
// processes in the fleet.
func TestNoExtraRetriesWithUnknownProcessCount(t *testing.T) {
	s := fleetbudget.New(fleetbudget.Options{Ratio: 0.2, ExtraRetries: 480, Window: 10 * time.Second})
	for range 10 {
		s.RecordRequest(time.Second, "s")
	}
	retries := 0
	for s.TakeRetry(time.Second, "s") {
		retries++
	}
	if retries != 2 {
		t.Errorf("%d retries for 10 requests, want 2", retries)
	}
}

// Guards against a service that uses up the retries of another.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	s := fleetbudget.New(fleetbudget.Options{ExtraRetries: 48, Window: 10 * time.Second})
	s.SetProcessCount(24)
	for s.TakeRetry(time.Second, "a") {
	}
	if !s.TakeRetry(time.Second, "b") {
		t.Error("no retry left for the other service")
	}
	if s.TakeRetry(9*time.Second, "a") || !s.TakeRetry(25*time.Second, "a") {
		t.Error("retries must become available only after the window")
	}
}

// Guards against a burst of retries whose budget includes requests older than one
// window. With that fault, all processes together made 792 retries where 785 were
// allowed.
func TestBurstIsMeasuredByOneWindow(t *testing.T) {
	const perSecond, window = 100, 10 * time.Second
	for phase := time.Duration(0); phase < time.Second; phase += 100 * time.Millisecond {
		s := fleetbudget.New(fleetbudget.Options{Ratio: 0.2, Window: window})
		end := 30*time.Second + phase
		for now := time.Duration(0); now < end; now += time.Second / perSecond {
			s.RecordRequest(now, "s")
		}
		retries := 0
		for s.TakeRetry(end, "s") {
			retries++
		}
		if most := int(0.2 * perSecond * window.Seconds()); retries > most || retries < most*8/10 {
			t.Errorf("phase %v: %d retries, allowed %d", phase, retries, most)
		}
	}
}

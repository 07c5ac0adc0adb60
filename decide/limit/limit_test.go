package limit

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"pgregory.net/rapid"
)

// usage returns the usage of a response whose time to first token is ten steps.
func usage(step time.Duration, tokens uint32) api.Usage {
	first := 10 * step
	return api.Usage{GeneratedTokens: tokens, FirstChunk: first, Total: first + time.Duration(tokens-1)*step}
}

// simulateClosedLoop runs a closed-loop load against an engine whose step time
// grows with the batch, and returns the mean request bound of the last minute.
func simulateClosedLoop(s *State, base, perRequest time.Duration) int {
	const tokens = 20
	type running struct{ started, ends time.Duration }
	const end, tick = 5 * time.Minute, 10 * time.Millisecond
	var batch []running
	sum := 0
	for now := time.Duration(0); now < end; now += tick {
		if now >= end-time.Minute {
			sum += s.Bounds().Requests
		}
		remaining := batch[:0]
		for _, r := range batch {
			if r.ends > now {
				remaining = append(remaining, r)
				continue
			}
			step := (r.ends - r.started) / (tokens + 9)
			s.End(now, Completion{Started: r.started, Cost: 100, Usage: usage(step, tokens)})
		}
		batch = remaining
		for s.Fits(100) {
			s.Start(100)
			step := base + time.Duration(len(batch)+1)*perRequest
			batch = append(batch, running{now, now + (tokens+9)*step})
		}
	}
	return sum / int(time.Minute/tick)
}

// TestBoundsSettleBelowTarget guards against bounds that stay at a ceiling under
// which the engine is overloaded, and against bounds that collapse.
func TestBoundsSettleBelowTarget(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name    string
		o       Options
		perReq  time.Duration
		lowest  int
		highest int
	}{
		{"no overload at the ceiling", Options{MaxRequests: 64, MaxTokens: 6400, StepTarget: 49 * ms}, ms / 4, 64, 64},
		{"target at 29 requests", Options{MaxRequests: 64, MaxTokens: 6400, StepTarget: 49 * ms}, ms, 20, 31},
		{"first token at 10 requests", Options{MaxRequests: 64, MaxTokens: 6400, StepTarget: 49 * ms, FirstTokenTarget: 300 * ms}, ms, 6, 12},
		{"fixed", Options{MaxRequests: 64, MaxTokens: 6400, StepTarget: 49 * ms, Fixed: true}, ms, 64, 64},
	}
	for _, c := range cases {
		if got := simulateClosedLoop(New(c.o), 20*ms, c.perReq); got < c.lowest || got > c.highest {
			t.Errorf("%s: %d requests, want %d to %d", c.name, got, c.lowest, c.highest)
		}
	}
}

// TestUntestedCeilingLimitsBurst guards against a burst that fills an untested
// ceiling, and against an overload that is not detected because no request
// completes.
func TestUntestedCeilingLimitsBurst(t *testing.T) {
	s := New(Options{MaxRequests: 256, MaxTokens: 25600, StepTarget: 49 * time.Millisecond})
	for s.Fits(100) {
		s.Start(100)
	}
	if got := s.InFlight().Requests; got > 32 {
		t.Errorf("%d requests started under an untested ceiling", got)
	}
	estimate := s.EstimateServiceTime(Arrival{OutputTokens: 100})
	s.End(0, Completion{Cost: 100, Usage: usage(40*time.Millisecond, 5)})
	for now := time.Duration(0); now < 10*time.Second; now += 250 * time.Millisecond {
		for range s.InFlight().Requests {
			s.Progress(now, 2, 250*time.Millisecond)
		}
	}
	if got := s.Bounds().Requests; got > 16 {
		t.Errorf("bound of %d requests after 10 s of slow steps", got)
	}
	if got := s.EstimateServiceTime(Arrival{OutputTokens: 100}); got < 2*estimate || got < 8*time.Second {
		t.Errorf("estimated service time %v does not reflect slow steps", got)
	}
}

// TestCheckDeadline guards against queueing requests that will miss their
// deadline, and against refusing requests that would meet it.
func TestCheckDeadline(t *testing.T) {
	cases := []struct {
		name     string
		running  int
		a        Arrival
		code     api.Code
		retryMin time.Duration
	}{
		{"idle accepts anything", 0, Arrival{Cost: 100, DeadlineLeft: time.Millisecond}, "", 0},
		{"fits", 4, Arrival{Cost: 100, OutputTokens: 10, DeadlineLeft: 300 * time.Millisecond}, "", 0},
		{"deadline shorter than run time", 4, Arrival{Cost: 100, OutputTokens: 10, DeadlineLeft: 100 * time.Millisecond}, api.CodeDeadlineExceeded, 0},
		{"queue and run time within deadline", 10, Arrival{Cost: 100, OutputTokens: 10, QueuedRequests: 9, QueuedTokens: 900, DeadlineLeft: 500 * time.Millisecond}, "", 0},
		{"queue and run time exceed deadline", 10, Arrival{Cost: 100, OutputTokens: 10, QueuedRequests: 99, QueuedTokens: 9900, DeadlineLeft: 500 * time.Millisecond}, api.CodeOverloaded, time.Second},
		{"limit of a cold start", 2, Arrival{Cost: 100, OutputTokens: 10, QueuedRequests: 9, RunLimit: 2, DeadlineLeft: 500 * time.Millisecond}, api.CodeOverloaded, time.Second},
		{"few large requests ahead", 10, Arrival{Cost: 100, OutputTokens: 10, QueuedRequests: 2, QueuedTokens: 99000, DeadlineLeft: 500 * time.Millisecond}, api.CodeOverloaded, 10 * time.Second},
	}
	for _, c := range cases {
		s := New(Options{MaxRequests: 10, MaxTokens: 1000, StepTarget: time.Second, Fixed: true})
		s.Start(100)
		s.End(0, Completion{Cost: 100, Usage: usage(10*time.Millisecond, 11)})
		for range c.running {
			s.Start(100)
		}
		f := s.CheckDeadline(c.a, 0)
		if (f == nil) != (c.code == "") || (f != nil && (f.Code != c.code || f.Run != api.NotRun || f.RetryAfter < c.retryMin)) {
			t.Errorf("%s: %+v", c.name, f)
		}
	}
}

// TestInFlightAccountingAndBounds guards against wrong in-flight counts, requests
// admitted above the bounds, bounds outside their range, and reductions without
// overload, for any sequence of completions, failures and engine refusals.
func TestInFlightAccountingAndBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{MaxRequests: rapid.IntRange(1, 20).Draw(t, "requests"), MaxTokens: 500, StepTarget: 50 * time.Millisecond}
		s := New(o)
		var now time.Duration
		var running []Completion
		sum := func() (tokens uint64) {
			for _, r := range running {
				tokens += uint64(r.Cost)
			}
			return tokens
		}
		end := func(t *rapid.T, change func(*Completion)) {
			if len(running) == 0 {
				t.Skip("no request is running")
			}
			c := running[0]
			running = running[1:]
			change(&c)
			s.End(now, c)
		}
		before, overloaded := s.Bounds(), false
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				cost := rapid.Uint32Range(1, 600).Draw(t, "cost")
				b := s.Bounds()
				want := len(running) == 0 || (len(running) < b.Requests && sum()+uint64(cost) <= b.Tokens)
				if s.Fits(cost) != want {
					t.Fatalf("fits %v with %d running, %d tokens, bounds %v", !want, len(running), sum(), b)
				}
				if want {
					s.Start(cost)
					running = append(running, Completion{Started: now, Cost: cost})
				}
			},
			"good": func(t *rapid.T) {
				end(t, func(c *Completion) { c.Usage = usage(40*time.Millisecond, 5) })
				if s.Bounds().Tokens < before.Tokens && !overloaded {
					t.Fatalf("bounds reduced without overload: %v to %v", before, s.Bounds())
				}
			},
			"slow": func(t *rapid.T) {
				overloaded = true
				end(t, func(c *Completion) { c.Usage = usage(time.Second, 5) })
			},
			"fail": func(t *rapid.T) { end(t, func(c *Completion) { c.Failed = true }) },
			"refuse": func(t *rapid.T) {
				overloaded = true
				end(t, func(c *Completion) { c.Refused = true })
			},
			"pause": func(*rapid.T) { now += time.Second },
			"": func(t *rapid.T) {
				b := s.Bounds()
				if b.Requests < 1 || b.Requests > o.MaxRequests || b.Tokens < 1 || b.Tokens > o.MaxTokens {
					t.Fatalf("bounds %v out of range", b)
				}
				if got := s.InFlight(); got.Requests != len(running) || got.Tokens != sum() {
					t.Fatalf("in flight %v, want %d, %d", got, len(running), sum())
				}
				before, overloaded = b, overloaded && s.window.samples > 0
			},
		})
	})
}

// TestColdRequestsNeedNoWarmUp guards against refusing requests within the
// configured cold-start capacity.
func TestColdRequestsNeedNoWarmUp(t *testing.T) {
	s := New(Options{MaxRequests: 1000, MaxTokens: 1 << 30, ColdRequests: 700})
	if b := s.Bounds(); b.Requests != 700 {
		t.Errorf("bounds %+v before any load, want the configured 700 requests", b)
	}
}

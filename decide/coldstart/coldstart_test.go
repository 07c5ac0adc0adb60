package coldstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var params = Params{ColdRequests: 4, MaxRequests: 32, MaxTokens: 3200, Gain: 1, StepBound: 50 * time.Millisecond}

// model checks the limit against a simple upper bound: ColdRequests plus one for
// each request completed since the last reset.
type model struct {
	t       *rapid.T
	s       *State
	running []Ticket
	// completions is the number of requests started and completed since the last
	// reset. Each raises the limit by at most 1, the gain in params.
	completions int
	resets      uint64
}

func (m *model) Check(t *rapid.T) {
	if m.s.InFlight() != len(m.running) {
		t.Fatalf("InFlight returns %d, want %d", m.s.InFlight(), len(m.running))
	}
	if l := m.s.Limit(); l < params.ColdRequests || l > params.MaxRequests {
		t.Fatalf("limit %d is outside its bounds", l)
	}
	if m.s.Resets() != m.resets {
		m.resets, m.completions = m.s.Resets(), 0
	}
	if m.s.Limit() > params.ColdRequests+m.completions {
		t.Fatalf("limit %d after %d completions", m.s.Limit(), m.completions)
	}
}

func (m *model) endRequest(t *rapid.T, completed bool) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "request")
	ticket := m.running[i]
	m.running = append(m.running[:i:i], m.running[i+1:]...)
	if completed && ticket.epoch == m.s.epoch {
		m.completions++
	}
	m.s.End(ticket, completed)
}

func (m *model) checkReset(t *rapid.T, signal func()) {
	signal()
	if m.s.Limit() != params.ColdRequests {
		t.Fatalf("limit %d after a reset, want the cold limit", m.s.Limit())
	}
}

// Guards against the overload of a cold upstream by a limit that rises without
// completed requests, or that is not reset when the engine restarts or loses its
// state.
func TestOnlyCompletionsRaiseLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, s: New(params)}
		m.s.ObserveIncarnation(1)
		incarnation := uint64(1)
		start := func(t *rapid.T) {
			if m.s.CanStart(50) {
				m.running = append(m.running, m.s.Start(50))
				if len(m.running) > m.s.Limit() {
					t.Fatalf("%d in flight, limit %d", len(m.running), m.s.Limit())
				}
			}
		}
		step := func(t *rapid.T) {
			ms := rapid.IntRange(10, 200).Draw(t, "ms")
			m.s.ObserveStepTime(len(m.running), time.Duration(ms)*time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": start, "start2": start, "start3": start,
			"complete":  func(t *rapid.T) { m.endRequest(t, true) },
			"complete2": func(t *rapid.T) { m.endRequest(t, true) },
			"fail":      func(t *rapid.T) { m.endRequest(t, false) },
			"step":      step,
			"restart": func(t *rapid.T) {
				incarnation++
				m.checkReset(t, func() { m.s.ObserveIncarnation(incarnation) })
			},
			"lost":  func(t *rapid.T) { m.checkReset(t, m.s.ObserveStateLoss) },
			"again": func(*rapid.T) { m.s.ObserveIncarnation(incarnation) },
			"":      m.Check,
		})
	})
}

// warmState returns a state whose limit is MaxRequests, with that many requests in
// flight.
func warmState(t *testing.T) (*State, []Ticket) {
	t.Helper()
	s := New(params)
	s.ObserveIncarnation(1)
	var running []Ticket
	for range 400 {
		for s.CanStart(0) {
			running = append(running, s.Start(0))
		}
		s.ObserveStepTime(len(running), 20*time.Millisecond+time.Duration(len(running))*500*time.Microsecond)
		if s.Cold() {
			s.End(running[0], true)
			running = running[1:]
		}
	}
	if s.Cold() || len(running) != params.MaxRequests {
		t.Fatalf("limit %d after 400 completions", s.Limit())
	}
	return s, running
}

// Guards against a cold upstream that is not detected, and against a reset of a
// warm one.
func TestColdUpstreamDetection(t *testing.T) {
	maxLoadStepTime := 36 * time.Millisecond
	cases := []struct {
		name   string
		signal func(s *State, running []Ticket)
		want   Reason
		cold   bool
	}{
		{"nothing", func(*State, []Ticket) {}, ReasonStart, false},
		{"same incarnation", func(s *State, _ []Ticket) { s.ObserveIncarnation(1) }, ReasonStart, false},
		{"new incarnation", func(s *State, _ []Ticket) { s.ObserveIncarnation(2) }, ReasonIncarnation, true},
		{"lost state", func(s *State, _ []Ticket) { s.ObserveStateLoss() }, ReasonStateLost, true},
		{"one long step", func(s *State, _ []Ticket) { s.ObserveStepTime(32, 3*maxLoadStepTime) }, ReasonStepTime, true},
		{"several longer steps", func(s *State, _ []Ticket) {
			for range recentSteps {
				s.ObserveStepTime(32, 2*maxLoadStepTime)
			}
		}, ReasonStepTime, true},
		{"first token", func(s *State, r []Ticket) {
			for range ReferenceSamples {
				s.ObserveFirstToken(r[31], 512, 100*time.Millisecond)
			}
			s.ObserveFirstToken(r[31], 512, time.Second)
		}, ReasonFirstTokenTime, true},
		// An uncached prompt takes longer than cached ones on a warm upstream too.
		{"first token of an uncached prompt", func(s *State, r []Ticket) {
			s.ObserveFirstToken(r[31], 2048, 300*time.Millisecond)
			for range 4 * ReferenceSamples {
				s.ObserveFirstToken(r[31], 2048, 25*time.Millisecond)
			}
			s.ObserveFirstToken(r[31], 2048, 300*time.Millisecond)
		}, ReasonStart, false},
		{"first token of a long prompt", func(s *State, r []Ticket) {
			for range ReferenceSamples {
				s.ObserveFirstToken(r[31], 512, 100*time.Millisecond)
			}
			s.ObserveFirstToken(r[31], 8192, time.Second)
		}, ReasonStart, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, running := warmState(t)
			c.signal(s, running)
			if s.Cold() != c.cold || s.Reason() != c.want {
				t.Errorf("cold %v, reason %q, want %v, %q", s.Cold(), s.Reason(), c.cold, c.want)
			}
			if c.cold && (s.Limit() != params.ColdRequests || s.CanStart(0)) {
				t.Errorf("limit %d, start allowed with 32 in flight: %v", s.Limit(), s.CanStart(0))
			}
		})
	}
}

// Guards against starting a request right after one step that took longer than
// StepBound, and against resetting the limit because of that step.
func TestStepTimeAboveBoundBlocksStarts(t *testing.T) {
	s, running := warmState(t)
	s.End(running[0], true)
	s.ObserveStepTime(31, 60*time.Millisecond)
	if s.CanStart(0) {
		t.Error("start allowed right after a step longer than the bound")
	}
	s.ObserveStepTime(31, 36*time.Millisecond)
	if !s.CanStart(0) {
		t.Errorf("no start allowed after a step shorter than the bound, limit %d", s.Limit())
	}
}

// Guards against a limit raised by requests that started before the upstream
// restarted, or by requests that ran while it was nearly idle.
func TestStaleOrIdleCompletionsDoNotRaiseLimit(t *testing.T) {
	s := New(params)
	s.ObserveIncarnation(1)
	stale := s.Start(0)
	s.ObserveIncarnation(2)
	s.End(stale, true)
	for range 50 {
		s.End(s.Start(0), true)
	}
	if s.Limit() != params.ColdRequests {
		t.Errorf("limit %d, want the cold limit", s.Limit())
	}
}

// Guards against raising the limit while steps take longer than they did at the cold
// limit. Without a configured step bound, the step time at the cold limit is the bound.
func TestUnknownStepBoundIsLearnedAtColdLimit(t *testing.T) {
	p := params
	p.StepBound = 0
	s := New(p)
	for range 200 {
		var running []Ticket
		for s.CanStart(0) {
			running = append(running, s.Start(0))
		}
		s.ObserveStepTime(len(running), time.Duration(10*len(running))*time.Millisecond)
		for _, r := range running {
			s.End(r, true)
		}
	}
	if s.Limit() > params.ColdRequests+1 {
		t.Errorf("limit %d, want at most one above the cold limit", s.Limit())
	}
}

// Guards against a limit that counts requests but not tokens: a few long prompts
// would fill the memory of a cold upstream.
func TestTokensInFlightAreBounded(t *testing.T) {
	s := New(params)
	if !s.CanStart(10_000) {
		t.Error("a request above the token limit may not start on an idle upstream")
	}
	s.Start(350)
	if s.CanStart(51) || !s.CanStart(50) {
		t.Errorf("limit of %d tokens not applied", s.LimitTokens())
	}
}

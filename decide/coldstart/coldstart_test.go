package coldstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var params = Params{ColdRequests: 4, MaxRequests: 32, MaxTokens: 3200, Gain: 1, StepBound: 50 * time.Millisecond}

// model is the oracle: what the agent may have in flight by the simplest rule.
type model struct {
	t       *rapid.T
	s       *State
	running []Ticket
	// earned counts completions since the last fall; late ones count too, so
	// it bounds the limit from above.
	earned int
	falls  uint64
}

func (m *model) Check(t *rapid.T) {
	if m.s.InFlight() != len(m.running) {
		t.Fatalf("in flight %d, started and not ended %d", m.s.InFlight(), len(m.running))
	}
	if l := m.s.Limit(); l < params.ColdRequests || l > params.MaxRequests {
		t.Fatalf("limit %d outside its bounds", l)
	}
	if m.s.Falls() != m.falls {
		m.falls, m.earned = m.s.Falls(), 0
	}
	if m.s.Limit() > params.ColdRequests+m.earned {
		t.Fatalf("limit %d after %d completions", m.s.Limit(), m.earned)
	}
}

func (m *model) end(t *rapid.T, completed bool) {
	if len(m.running) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.running)-1).Draw(t, "request")
	ticket := m.running[at]
	m.running = append(m.running[:at:at], m.running[at+1:]...)
	if completed && ticket.epoch == m.s.epoch {
		m.earned++
	}
	m.s.End(ticket, completed)
}

func (m *model) fall(t *rapid.T, signal func()) {
	signal()
	if m.s.Limit() != params.ColdRequests {
		t.Fatalf("limit %d right after a sign of a cold upstream", m.s.Limit())
	}
}

// A limit that rises by itself, or that survives a new engine incarnation,
// overloads a cold upstream (promise P2).
func TestLimitIsEarned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, s: New(params)}
		m.s.Incarnation(1)
		incarnation := uint64(1)
		start := func(t *rapid.T) {
			if m.s.MayStart(50) {
				m.running = append(m.running, m.s.Start(50))
				if len(m.running) > m.s.Limit() {
					t.Fatalf("%d in flight over a limit of %d", len(m.running), m.s.Limit())
				}
			}
		}
		step := func(t *rapid.T) {
			ms := rapid.IntRange(10, 200).Draw(t, "ms")
			m.s.StepTime(len(m.running), time.Duration(ms)*time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": start, "start2": start, "start3": start,
			"complete":  func(t *rapid.T) { m.end(t, true) },
			"complete2": func(t *rapid.T) { m.end(t, true) },
			"fail":      func(t *rapid.T) { m.end(t, false) },
			"step":      step,
			"restart": func(t *rapid.T) {
				incarnation++
				m.fall(t, func() { m.s.Incarnation(incarnation) })
			},
			"lost":  func(t *rapid.T) { m.fall(t, m.s.StateLost) },
			"again": func(*rapid.T) { m.s.Incarnation(incarnation) },
			"":      m.Check,
		})
	})
}

// warm returns a state at its ceiling with all of it in flight.
func warm(t *testing.T) (*State, []Ticket) {
	t.Helper()
	s := New(params)
	s.Incarnation(1)
	var running []Ticket
	for range 400 {
		for s.MayStart(0) {
			running = append(running, s.Start(0))
		}
		s.StepTime(len(running), 20*time.Millisecond+time.Duration(len(running))*500*time.Microsecond)
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

func TestSignsOfAColdUpstream(t *testing.T) {
	full := 36 * time.Millisecond
	cases := []struct {
		name string
		sign func(s *State, running []Ticket)
		want Reason
		cold bool
	}{
		{"nothing", func(*State, []Ticket) {}, ReasonStart, false},
		{"same incarnation", func(s *State, _ []Ticket) { s.Incarnation(1) }, ReasonStart, false},
		{"new incarnation", func(s *State, _ []Ticket) { s.Incarnation(2) }, ReasonIncarnation, true},
		{"lost state", func(s *State, _ []Ticket) { s.StateLost() }, ReasonStateLost, true},
		{"one long step", func(s *State, _ []Ticket) { s.StepTime(32, 3*full) }, ReasonStepTime, true},
		{"several longer steps", func(s *State, _ []Ticket) {
			for range stepRecent {
				s.StepTime(32, 2*full)
			}
		}, ReasonStepTime, true},
		{"first token", func(s *State, r []Ticket) {
			for range ReferenceSamples {
				s.FirstToken(r[31], 512, 100*time.Millisecond)
			}
			s.FirstToken(r[31], 512, time.Second)
		}, ReasonFirstTokenTime, true},
		// The usual mix of prompts in and out of the prefix cache.
		{"first token of an uncached prompt", func(s *State, r []Ticket) {
			s.FirstToken(r[31], 2048, 300*time.Millisecond)
			for range 4 * ReferenceSamples {
				s.FirstToken(r[31], 2048, 25*time.Millisecond)
			}
			s.FirstToken(r[31], 2048, 300*time.Millisecond)
		}, ReasonStart, false},
		{"first token of a long prompt", func(s *State, r []Ticket) {
			for range ReferenceSamples {
				s.FirstToken(r[31], 512, 100*time.Millisecond)
			}
			s.FirstToken(r[31], 8192, time.Second)
		}, ReasonStart, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, running := warm(t)
			c.sign(s, running)
			if s.Cold() != c.cold || s.Reason() != c.want {
				t.Errorf("cold %v for %q, want %v for %q", s.Cold(), s.Reason(), c.cold, c.want)
			}
			if c.cold && (s.Limit() != params.ColdRequests || s.MayStart(0)) {
				t.Errorf("limit %d, a start with 32 in flight allowed: %v", s.Limit(), s.MayStart(0))
			}
		})
	}
}

// A stall of one step must stop new starts, but must not cost the whole ramp.
func TestStepAboveTheBoundHoldsStarts(t *testing.T) {
	s, running := warm(t)
	s.End(running[0], true)
	s.StepTime(31, 60*time.Millisecond)
	if s.MayStart(0) {
		t.Error("a start right after a step above the bound")
	}
	s.StepTime(31, 36*time.Millisecond)
	if !s.MayStart(0) {
		t.Errorf("no start after a step in line, limit %d", s.Limit())
	}
}

// Completions of requests that ran before the upstream restarted say nothing
// about the new incarnation, and an idle limit says nothing about a busy one.
func TestWhatEarnsNothing(t *testing.T) {
	s := New(params)
	s.Incarnation(1)
	old := s.Start(0)
	s.Incarnation(2)
	s.End(old, true)
	for range 50 {
		s.End(s.Start(0), true)
	}
	if s.Limit() != params.ColdRequests {
		t.Errorf("limit %d", s.Limit())
	}
}

// Without a bound, the limit must stay where steps are as short as when cold.
func TestUnknownBoundIsLearnedAtTheColdLimit(t *testing.T) {
	p := params
	p.StepBound = 0
	s := New(p)
	for range 200 {
		var running []Ticket
		for s.MayStart(0) {
			running = append(running, s.Start(0))
		}
		s.StepTime(len(running), time.Duration(10*len(running))*time.Millisecond)
		for _, r := range running {
			s.End(r, true)
		}
	}
	if s.Limit() > params.ColdRequests+1 {
		t.Errorf("limit %d, though steps grow with every request", s.Limit())
	}
}

// A token bound that counts only requests would let a few long prompts fill
// the memory of a cold upstream.
func TestTokensInFlightAreBounded(t *testing.T) {
	s := New(params)
	if !s.MayStart(10_000) {
		t.Error("a request above the bound never runs")
	}
	s.Start(350)
	if s.MayStart(51) || !s.MayStart(50) {
		t.Errorf("bound of %d tokens not kept", s.LimitTokens())
	}
}

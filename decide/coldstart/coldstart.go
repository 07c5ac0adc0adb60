package coldstart

import (
	"cmp"
	"time"
)

const (
	// DefaultGain is what an upstream that states nothing is taken to bear more
	// for each completed request.
	DefaultGain = 0.5
	// GainMargin is the part of the stated gain that the limit uses.
	GainMargin = 0.95
	// HoldOver is how far one step may exceed the bound before starts above
	// the cold limit wait for a step that is in line. The noise of a step and
	// the prompt of a new request stay below it.
	HoldOver = 1.1
	// PressedPart of the limit must be in use when a request starts or ends
	// for its completion to say something about that limit.
	PressedPart = 0.75
	// StepMargin keeps the predicted step time below its bound, for the noise
	// of the measurement.
	StepMargin = 0.94
	// FirstTokenSlack is how far a first token may exceed the usual time for a
	// prompt of its length.
	FirstTokenSlack = 4.0
	// ReferenceSamples are seen before first tokens are judged, and before the
	// step time at the cold limit becomes the bound.
	ReferenceSamples = 8
	// MinPromptTokens is the length below which a prompt costs a fixed time.
	MinPromptTokens = 256
)

// Params describes an upstream, from the configuration.
type Params struct {
	// ColdRequests is the concurrent work that it bears when cold.
	ColdRequests int
	// MaxRequests and MaxTokens are its ceilings.
	MaxRequests int
	MaxTokens   int
	// Gain is the number of requests that it bears more for each completed
	// one while it warms, 0 for DefaultGain.
	Gain float64
	// StepBound is the step time that callers accept. If it is 0, the step
	// time at the cold limit is the bound: it is known to be borne, but may
	// keep the upstream below its ceiling.
	StepBound time.Duration
	// FirstTokenBound is a first-token time beyond which the upstream counts
	// as cold whatever the prompt, 0 if unknown.
	FirstTokenBound time.Duration
}

// Reason says why the upstream counts as cold.
type Reason string

// Reasons for a return to the cold limit.
const (
	ReasonStart          Reason = "agent_start"
	ReasonIncarnation    Reason = "engine_incarnation"
	ReasonStateLost      Reason = "engine_state_lost"
	ReasonStepTime       Reason = "step_time"
	ReasonFirstTokenTime Reason = "first_token_time"
)

// Ticket is one start. The caller returns it with the end.
type Ticket struct {
	epoch   uint64
	pressed bool
	tokens  int
}

// State is what the agent knows about the warmth of its upstream.
type State struct {
	params      Params
	limit       float64
	epoch       uint64
	reason      Reason
	incarnation uint64
	inFlight    int
	tokens      int
	step        stepTimes
	first       firstTokens
	// stepCap is the number of requests that the measured step time allows,
	// 0 until a step was seen.
	stepCap float64
	// held is set after a step above the bound.
	held  bool
	falls uint64
}

// New returns the state of an agent that has just started: whatever its
// upstream did before is unknown, so it is cold.
func New(p Params) *State {
	s := &State{params: sane(p)}
	s.cold(ReasonStart)
	s.falls = 0
	return s
}

func sane(p Params) Params {
	p.MaxRequests = max(p.MaxRequests, 1)
	p.ColdRequests = min(max(p.ColdRequests, 1), p.MaxRequests)
	p.Gain = cmp.Or(p.Gain, DefaultGain)
	return p
}

// Configure takes new parameters. A higher ceiling is earned like the rest.
func (s *State) Configure(p Params) {
	s.params = sane(p)
	s.limit = min(max(s.limit, float64(s.params.ColdRequests)), float64(s.params.MaxRequests))
	if p.StepBound > 0 {
		s.step.bound = p.StepBound
	}
}

// Limit returns the number of requests that may be in flight.
func (s *State) Limit() int {
	if s.held {
		return s.params.ColdRequests
	}
	return int(s.limit)
}

// LimitTokens returns the bound of tokens in flight, in proportion to the
// limit. Zero means that there is none.
func (s *State) LimitTokens() int {
	return int(float64(s.params.MaxTokens) * float64(s.Limit()) / float64(s.params.MaxRequests))
}

// InFlight returns the requests started and not ended.
func (s *State) InFlight() int { return s.inFlight }

// Cold says whether the limit is still below the ceiling.
func (s *State) Cold() bool { return s.Limit() < s.params.MaxRequests }

// Reason returns why the upstream was last taken as cold.
func (s *State) Reason() Reason { return s.reason }

// Falls counts the returns to the cold limit since the agent's start.
func (s *State) Falls() uint64 { return s.falls }

// MayStart says whether one more request fits. A request above the token
// bound runs alone rather than never.
func (s *State) MayStart(tokens int) bool {
	if s.inFlight >= s.Limit() {
		return false
	}
	bound := s.LimitTokens()
	return bound == 0 || s.inFlight == 0 || s.tokens+tokens <= bound
}

// Start counts a request that the caller is about to start.
func (s *State) Start(tokens int) Ticket {
	s.inFlight++
	s.tokens += tokens
	return Ticket{epoch: s.epoch, pressed: s.pressed(), tokens: tokens}
}

func (s *State) pressed() bool {
	return float64(s.inFlight) >= PressedPart*float64(s.Limit())
}

// End counts the end of a request, once for each ticket. Only a request that
// completed, that started since the upstream was last taken as cold, and that
// ran near the limit earns a rise.
func (s *State) End(t Ticket, completed bool) {
	pressed := t.pressed || s.pressed()
	s.inFlight--
	s.tokens -= t.tokens
	if !completed || t.epoch != s.epoch || !pressed {
		return
	}
	next := s.limit + GainMargin*s.params.Gain
	if s.step.samples > 0 {
		next = min(next, max(s.stepCap, s.limit))
	}
	s.limit = min(next, float64(s.params.MaxRequests))
}

// Incarnation takes the incarnation that the engine reports. The first one
// after the agent's start changes nothing: the upstream is cold already.
func (s *State) Incarnation(id uint64) {
	before := s.incarnation
	s.incarnation = id
	if before != 0 && before != id {
		s.cold(ReasonIncarnation)
	}
}

// StateLost takes notice that the engine lost its cache, its weights or its
// compiled state without a restart, or that its connection was refused.
func (s *State) StateLost() { s.cold(ReasonStateLost) }

// StepTime takes the duration of an engine step with a number of running
// requests.
func (s *State) StepTime(running int, took time.Duration) {
	if running <= 0 {
		return
	}
	if s.step.observe(running, took) {
		s.cold(ReasonStepTime)
		return
	}
	if s.step.bound == 0 {
		s.learnBound()
		return
	}
	s.held = float64(took) > HoldOver*float64(s.step.bound)
	if float64(running) >= PressedPart*float64(s.Limit()) {
		s.stepCap = s.step.allowed()
		s.yield()
	}
}

// learnBound takes the step time at the cold limit as the bound.
func (s *State) learnBound() {
	pressed := s.step.refRunning >= PressedPart*float64(s.params.ColdRequests)
	if pressed && s.step.samples >= ReferenceSamples {
		s.step.bound = time.Duration(s.step.refTook)
	}
}

// yield lowers the limit to what the step time allows when steps have become
// longer than callers accept, though not as long as those of a cold upstream.
func (s *State) yield() {
	if s.step.refTook > float64(s.step.bound) && s.stepCap < s.limit {
		s.limit = max(s.stepCap, float64(s.params.ColdRequests))
	}
}

// FirstToken takes the time from the start of a request to its first token.
func (s *State) FirstToken(t Ticket, promptTokens int, took time.Duration) {
	if t.epoch != s.epoch {
		return
	}
	beyond := s.params.FirstTokenBound > 0 && took > s.params.FirstTokenBound
	if s.first.observe(promptTokens, took) || beyond {
		s.cold(ReasonFirstTokenTime)
	}
}

// cold returns to the cold limit. What runs goes on; nothing starts until the
// work in flight is below the limit.
func (s *State) cold(r Reason) {
	s.epoch++
	s.reason = r
	s.falls++
	s.limit = float64(s.params.ColdRequests)
	s.step = stepTimes{bound: s.params.StepBound}
	s.first = firstTokens{}
	s.stepCap, s.held = 0, false
}

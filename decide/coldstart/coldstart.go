package coldstart

import (
	"cmp"
	"time"
)

const (
	// DefaultGain is the Gain of an upstream that is configured without one.
	DefaultGain = 0.5
	// GainMargin is the fraction of the configured gain by which a completed request
	// raises the limit.
	GainMargin = 0.95
	// HoldFactor is the multiple of the step time bound above which a step lowers
	// the effective limit to the cold limit, until a step takes less time. Noise
	// and the prompt of a new request lengthen a step by less.
	HoldFactor = 1.1
	// NearLimitFraction is the fraction of the limit that must be in flight when a
	// request starts or ends for its completion to raise the limit.
	NearLimitFraction = 0.75
	// StepMargin is the fraction of the step time bound that the predicted step time
	// may reach, so that steps stay below the bound despite measurement noise.
	StepMargin = 0.94
	// FirstTokenSlack is the multiple of the usual time to first token, for a
	// prompt of the same length, above which the upstream counts as cold.
	FirstTokenSlack = 4.0
	// ReferenceSamples is the number of samples needed before the time to first
	// token is checked, and before the step time at the cold limit becomes the
	// bound.
	ReferenceSamples = 8
	// MinPromptTokens is the length below which the processing time of a prompt
	// does not depend on its length.
	MinPromptTokens = 256
)

// Params describes an upstream as configured.
type Params struct {
	// ColdRequests is the number of concurrent requests that a cold upstream can
	// handle.
	ColdRequests int
	// MaxRequests and MaxTokens are the limits of a warm upstream. MaxTokens is 0
	// if there is none.
	MaxRequests int
	MaxTokens   int
	// Gain is the increase in capacity per completed request while the upstream
	// warms up, in concurrent requests. 0 means DefaultGain.
	Gain float64
	// StepBound is the step time that callers accept. If it is 0, the step time
	// measured at the cold limit is the bound. That is known to be safe, but may
	// keep the limit below MaxRequests.
	StepBound time.Duration
	// FirstTokenBound is the time to first token above which the upstream counts
	// as cold regardless of the prompt length, 0 if unknown.
	FirstTokenBound time.Duration
}

// Reason is the reason why the upstream counts as cold.
type Reason string

// Reasons for a reset to the cold limit.
const (
	ReasonStart          Reason = "agent_start"
	ReasonIncarnation    Reason = "engine_incarnation"
	ReasonStateLost      Reason = "engine_state_lost"
	ReasonStepTime       Reason = "step_time"
	ReasonFirstTokenTime Reason = "first_token_time"
)

// Ticket identifies a started request. The caller passes it to End.
type Ticket struct {
	epoch     uint64
	nearLimit bool
	tokens    int
}

// State holds the limits of one upstream and the work in flight on it.
type State struct {
	params Params
	limit  float64
	// epoch changes with each reset. Requests that started in an earlier epoch do not
	// raise the limit.
	epoch           uint64
	reason          Reason
	incarnation     uint64
	inFlight        int
	tokensInFlight  int
	stepTimes       stepTimes
	firstTokenTimes firstTokenTimes
	// stepLimit is the number of requests that the measured step time allows, 0
	// before the first measurement.
	stepLimit float64
	// startsHeld is set after a step above HoldFactor times the bound. The limit is
	// then ColdRequests.
	startsHeld bool
	resets     uint64
}

// New returns the state of an agent that has just started. The history of its
// upstream is unknown, so the upstream counts as cold.
func New(p Params) *State {
	s := &State{params: withDefaults(p)}
	s.reset(ReasonStart)
	s.resets = 0
	return s
}

// withDefaults returns the parameters with valid limits and a gain.
func withDefaults(p Params) Params {
	p.MaxRequests = max(p.MaxRequests, 1)
	p.ColdRequests = min(max(p.ColdRequests, 1), p.MaxRequests)
	p.Gain = cmp.Or(p.Gain, DefaultGain)
	return p
}

// Configure sets new parameters. A higher MaxRequests does not raise the current
// limit; only completed requests do.
func (s *State) Configure(p Params) {
	s.params = withDefaults(p)
	s.limit = min(max(s.limit, float64(s.params.ColdRequests)), float64(s.params.MaxRequests))
	if p.StepBound > 0 {
		s.stepTimes.bound = p.StepBound
	}
}

// Limit returns the number of requests that may be in flight.
func (s *State) Limit() int {
	if s.startsHeld {
		return s.params.ColdRequests
	}
	return int(s.limit)
}

// LimitTokens returns the maximum number of tokens in flight, in proportion to Limit.
// Zero means no limit.
func (s *State) LimitTokens() int {
	return int(float64(s.params.MaxTokens) * float64(s.Limit()) / float64(s.params.MaxRequests))
}

// InFlight returns the number of requests in flight.
func (s *State) InFlight() int { return s.inFlight }

// Cold reports whether the limit is still below MaxRequests.
func (s *State) Cold() bool { return s.Limit() < s.params.MaxRequests }

// Reason returns the reason of the last reset to the cold limit.
func (s *State) Reason() Reason { return s.reason }

// Resets returns the number of resets to the cold limit since the agent started.
func (s *State) Resets() uint64 { return s.resets }

// CanStart reports whether one more request with the given number of tokens is within
// the limits. A request above the token limit may run alone, since otherwise it
// would never run.
func (s *State) CanStart(tokens int) bool {
	if s.inFlight >= s.Limit() {
		return false
	}
	limit := s.LimitTokens()
	return limit == 0 || s.inFlight == 0 || s.tokensInFlight+tokens <= limit
}

// Start records a request that the caller is about to start.
func (s *State) Start(tokens int) Ticket {
	s.inFlight++
	s.tokensInFlight += tokens
	return Ticket{epoch: s.epoch, nearLimit: s.nearLimit(), tokens: tokens}
}

func (s *State) nearLimit() bool {
	return float64(s.inFlight) >= NearLimitFraction*float64(s.Limit())
}

// End records the end of a request. It must be called once per ticket. It raises
// the limit only if the request completed, started after the last reset, and ran
// while the work in flight was near the limit.
func (s *State) End(t Ticket, completed bool) {
	nearLimit := t.nearLimit || s.nearLimit()
	s.inFlight--
	s.tokensInFlight -= t.tokens
	if !completed || t.epoch != s.epoch || !nearLimit {
		return
	}
	next := s.limit + GainMargin*s.params.Gain
	if s.stepTimes.samples > 0 {
		next = min(next, max(s.stepLimit, s.limit))
	}
	s.limit = min(next, float64(s.params.MaxRequests))
}

// ObserveIncarnation records the incarnation that the engine reports. A new one resets
// the limit, except for the first one after the agent's start, when the upstream
// already counts as cold.
func (s *State) ObserveIncarnation(id uint64) {
	previous := s.incarnation
	s.incarnation = id
	if previous != 0 && previous != id {
		s.reset(ReasonIncarnation)
	}
}

// ObserveStateLoss resets the limit because the engine lost its cache, its weights or
// its compiled state without a restart, or because it refused a connection.
func (s *State) ObserveStateLoss() { s.reset(ReasonStateLost) }

// ObserveStepTime records the duration of an engine step with the given number of
// running requests. It resets the limit if the step is as slow as on a cold upstream.
func (s *State) ObserveStepTime(running int, duration time.Duration) {
	if running <= 0 {
		return
	}
	if s.stepTimes.observe(running, duration) {
		s.reset(ReasonStepTime)
		return
	}
	if s.stepTimes.bound == 0 {
		s.learnBound()
		return
	}
	s.startsHeld = float64(duration) > HoldFactor*float64(s.stepTimes.bound)
	if float64(running) >= NearLimitFraction*float64(s.Limit()) {
		s.stepLimit = s.stepTimes.maxRunning()
		s.lowerLimit()
	}
}

// learnBound sets the bound to the step time at the cold limit.
func (s *State) learnBound() {
	nearLimit := s.stepTimes.refRunning >= NearLimitFraction*float64(s.params.ColdRequests)
	if nearLimit && s.stepTimes.samples >= ReferenceSamples {
		s.stepTimes.bound = time.Duration(s.stepTimes.refTime)
	}
}

// lowerLimit lowers the limit to stepLimit if steps take longer than callers accept
// but not as long as on a cold upstream.
func (s *State) lowerLimit() {
	if s.stepTimes.refTime > float64(s.stepTimes.bound) && s.stepLimit < s.limit {
		s.limit = max(s.stepLimit, float64(s.params.ColdRequests))
	}
}

// ObserveFirstToken records the time to first token of a request. It resets the limit
// if the upstream was as slow as a cold one.
func (s *State) ObserveFirstToken(t Ticket, promptTokens int, elapsed time.Duration) {
	if t.epoch != s.epoch {
		return
	}
	aboveBound := s.params.FirstTokenBound > 0 && elapsed > s.params.FirstTokenBound
	if s.firstTokenTimes.observe(promptTokens, elapsed) || aboveBound {
		s.reset(ReasonFirstTokenTime)
	}
}

// reset lowers the limit to that of a cold upstream. Running requests continue, and
// none starts until the work in flight is below the limit.
func (s *State) reset(r Reason) {
	s.epoch++
	s.reason = r
	s.resets++
	s.limit = float64(s.params.ColdRequests)
	s.stepTimes = stepTimes{bound: s.params.StepBound}
	s.firstTokenTimes = firstTokenTimes{}
	s.stepLimit, s.startsHeld = 0, false
}

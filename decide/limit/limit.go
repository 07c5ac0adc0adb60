// Package limit implements an adaptive concurrency limit for one upstream, in
// requests and in tokens. The bounds adapt to the time between tokens and the
// time to first token, up to the configured ceilings.
package limit

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Options configures a State.
type Options struct {
	// MaxRequests and MaxTokens are the ceilings of the bounds.
	MaxRequests int
	MaxTokens   uint64
	// StepTarget is the time between tokens above which the upstream is
	// overloaded. If zero, it is learned at low utilization.
	StepTarget time.Duration
	// FirstTokenTarget is the time to first token above which the upstream is
	// overloaded. Zero disables this check.
	FirstTokenTarget time.Duration
	// ColdRequests is the number of concurrent requests that the upstream can
	// serve in cold start, before any load was observed.
	ColdRequests int
	// Fixed keeps the bounds at the ceilings.
	Fixed bool
}

// Bounds holds an amount of concurrent work: a limit or the work in flight.
type Bounds struct {
	Requests int
	Tokens   uint64
}

// State holds the concurrency limit of one upstream.
type State struct {
	options Options
	// fraction is the adaptive limit as a fraction of both ceilings.
	// effectiveFraction may return a lower one.
	fraction float64
	// testedFraction is the largest utilization of the ceilings that was served
	// without overload.
	testedFraction float64
	requests       int
	tokens         uint64
	window         window
	// reducedAt is the time of the last reduction. Requests that started earlier
	// ran under the previous bounds, so their samples are ignored.
	reducedAt time.Duration
	// baseline is the learned time between tokens without overload.
	baseline     time.Duration
	serviceTimes serviceTimes
}

// New returns a state in cold start.
func New(o Options) *State {
	s := &State{fraction: 1, reducedAt: -1}
	s.Configure(o)
	return s
}

// Configure sets new options. Learned values are kept.
func (s *State) Configure(o Options) {
	o.MaxRequests = max(o.MaxRequests, 1)
	o.MaxTokens = max(o.MaxTokens, 1)
	s.options = o
}

// Bounds returns the current bounds.
func (s *State) Bounds() Bounds {
	fraction := s.effectiveFraction()
	return Bounds{
		Requests: max(int(fraction*float64(s.options.MaxRequests)), 1),
		Tokens:   max(uint64(fraction*float64(s.options.MaxTokens)), 1),
	}
}

// effectiveFraction returns the fraction of the ceilings that applies now: s.fraction,
// limited in cold start and until enough load has been served without overload, or 1
// for fixed bounds.
func (s *State) effectiveFraction() float64 {
	if s.options.Fixed {
		return 1
	}
	cold := float64(max(s.options.ColdRequests, coldStartRequests))
	start := min(max(coldStartFraction, cold/float64(s.options.MaxRequests)), 1)
	return min(s.fraction, max(start, untestedGrowth*s.testedFraction))
}

// InFlight returns the work in flight.
func (s *State) InFlight() Bounds { return Bounds{Requests: s.requests, Tokens: s.tokens} }

// Fits reports whether a request may start now. A request larger than the token
// bound may start if nothing else is in flight; otherwise it could never run.
func (s *State) Fits(cost uint32) bool {
	b := s.Bounds()
	if s.requests == 0 {
		return true
	}
	return s.requests < b.Requests && s.tokens+uint64(cost) <= b.Tokens
}

// Start adds a started request to the work in flight.
func (s *State) Start(cost uint32) {
	s.requests++
	s.tokens += uint64(cost)
	b := s.Bounds()
	s.window.utilization = max(s.window.utilization, s.utilization(b))
	s.window.ceilingUtilization = max(s.window.ceilingUtilization, s.utilization(Bounds{Requests: s.options.MaxRequests, Tokens: s.options.MaxTokens}))
}

// utilization returns the work in flight as a fraction of bounds.
func (s *State) utilization(b Bounds) float64 {
	return max(float64(s.requests)/float64(b.Requests), float64(s.tokens)/float64(b.Tokens))
}

// Completion describes the end of a started request.
type Completion struct {
	Started time.Duration
	Cost    uint32
	Usage   api.Usage
	// Failed excludes the times of the request from the samples, for instance if
	// it was canceled.
	Failed bool
	// Refused is true if the engine refused the request because of overload.
	Refused bool
}

// End removes a finished request from the work in flight and adapts the bounds.
func (s *State) End(now time.Duration, c Completion) {
	s.requests = max(s.requests-1, 0)
	s.tokens -= min(uint64(c.Cost), s.tokens)
	if !c.Failed && !c.Refused {
		s.serviceTimes.observe(c)
	}
	if c.Started >= s.reducedAt && (!c.Failed || c.Refused) {
		s.window.addCompletion(c, s.stepTarget(c.Usage))
		s.closeWindow(now)
	}
}

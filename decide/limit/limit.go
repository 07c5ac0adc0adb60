// Package limit bounds the concurrent work of one upstream in requests and in
// tokens. The bounds adapt below configured ceilings to the step and
// first-token times of completed requests.
package limit

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Options configures a State.
type Options struct {
	// MaxRequests and MaxTokens are the ceilings.
	MaxRequests int
	MaxTokens   uint64
	// StepTarget is the time between tokens above which the upstream counts
	// as overloaded. Zero learns it from windows of low use.
	StepTarget time.Duration
	// FirstTokenTarget bounds the time from start to first token; zero ignores it.
	FirstTokenTarget time.Duration
	// ColdRequests is the concurrent work that the upstream is known to bear
	// without having been tested.
	ColdRequests int
	// Fixed keeps the bounds at the ceilings.
	Fixed bool
}

// Bounds are the present bounds of concurrent work.
type Bounds struct {
	Requests int
	Tokens   uint64
}

// State is the limit of one upstream.
type State struct {
	options Options
	// fraction scales both ceilings.
	fraction float64
	// testedFraction is the largest part of the ceilings that was carried well.
	testedFraction float64
	requests       int
	tokens         uint64
	window         window
	// reducedAt is the time of the last reduction. Requests started before it ran
	// under the old bounds and say nothing about the new ones.
	reducedAt time.Duration
	baseline  time.Duration
	times     serviceTimes
}

// New returns a state that has not yet seen load.
func New(o Options) *State {
	s := &State{fraction: 1, reducedAt: -1}
	s.Configure(o)
	return s
}

// Configure takes new ceilings and targets and keeps what was learned.
func (s *State) Configure(o Options) {
	o.MaxRequests = max(o.MaxRequests, 1)
	o.MaxTokens = max(o.MaxTokens, 1)
	s.options = o
}

// Bounds returns the present bounds.
func (s *State) Bounds() Bounds {
	part := s.effectiveFraction()
	return Bounds{
		Requests: max(int(part*float64(s.options.MaxRequests)), 1),
		Tokens:   max(uint64(part*float64(s.options.MaxTokens)), 1),
	}
}

// effectiveFraction is the part of the ceilings that bounds the work.
func (s *State) effectiveFraction() float64 {
	if s.options.Fixed {
		return 1
	}
	borne := float64(max(s.options.ColdRequests, coldStartRequests))
	start := min(max(coldStartFraction, borne/float64(s.options.MaxRequests)), 1)
	return min(s.fraction, max(start, untestedGrowth*s.testedFraction))
}

// InFlight returns the work that was started and has not ended.
func (s *State) InFlight() Bounds { return Bounds{Requests: s.requests, Tokens: s.tokens} }

// Fits says whether a request may start now. A request larger than the token
// bound may start alone, or it would never run.
func (s *State) Fits(cost uint32) bool {
	b := s.Bounds()
	if s.requests == 0 {
		return true
	}
	return s.requests < b.Requests && s.tokens+uint64(cost) <= b.Tokens
}

// Start counts a request that was started.
func (s *State) Start(cost uint32) {
	s.requests++
	s.tokens += uint64(cost)
	b := s.Bounds()
	s.window.utilization = max(s.window.utilization, s.utilization(b))
	s.window.ceilingUtilization = max(s.window.ceilingUtilization, s.utilization(Bounds{Requests: s.options.MaxRequests, Tokens: s.options.MaxTokens}))
}

// utilization is the work in flight as a part of bounds.
func (s *State) utilization(b Bounds) float64 {
	return max(float64(s.requests)/float64(b.Requests), float64(s.tokens)/float64(b.Tokens))
}

// Completion tells how a started request ended.
type Completion struct {
	Started time.Duration
	Cost    uint32
	Usage   api.Usage
	// Failed excludes the times from the samples, as for a canceled request.
	Failed bool
	// Refused is true if the engine itself refused for overload.
	Refused bool
}

// End counts the end of a request and adapts the bounds.
func (s *State) End(now time.Duration, c Completion) {
	s.requests = max(s.requests-1, 0)
	s.tokens -= min(uint64(c.Cost), s.tokens)
	if !c.Failed && !c.Refused {
		s.times.observe(c)
	}
	if c.Started >= s.reducedAt && (!c.Failed || c.Refused) {
		s.window.addCompletion(c, s.stepTarget(c.Usage))
		s.closeWindow(now)
	}
}

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
	o Options
	// part scales both ceilings.
	part float64
	// tested is the largest part of the ceilings that was carried well.
	tested   float64
	requests int
	tokens   uint64
	window   window
	// cutAt is the time of the last reduction. Requests started before it ran
	// under the old bounds and say nothing about the new ones.
	cutAt    time.Duration
	baseline time.Duration
	times    times
}

// New returns a state that has not yet seen load.
func New(o Options) *State {
	s := &State{part: 1, cutAt: -1}
	s.Configure(o)
	return s
}

// Configure takes new ceilings and targets and keeps what was learned.
func (s *State) Configure(o Options) {
	o.MaxRequests = max(o.MaxRequests, 1)
	o.MaxTokens = max(o.MaxTokens, 1)
	s.o = o
}

// Bounds returns the present bounds.
func (s *State) Bounds() Bounds {
	part := s.inForce()
	return Bounds{
		Requests: max(int(part*float64(s.o.MaxRequests)), 1),
		Tokens:   max(uint64(part*float64(s.o.MaxTokens)), 1),
	}
}

// inForce is the part of the ceilings that bounds the work.
func (s *State) inForce() float64 {
	if s.o.Fixed {
		return 1
	}
	borne := float64(max(s.o.ColdRequests, startRequests))
	start := min(max(startPart, borne/float64(s.o.MaxRequests)), 1)
	return min(s.part, max(start, headroom*s.tested))
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
	s.window.use = max(s.window.use, s.used(b))
	s.window.load = max(s.window.load, s.used(Bounds{Requests: s.o.MaxRequests, Tokens: s.o.MaxTokens}))
}

// used is the work in flight as a part of bounds.
func (s *State) used(b Bounds) float64 {
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
	if c.Started >= s.cutAt && (!c.Failed || c.Refused) {
		s.window.completed(c, s.target(c.Usage))
		s.closeWindow(now)
	}
}

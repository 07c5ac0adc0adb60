// Package limit bounds the concurrent work of one upstream in requests and in
// tokens. The bounds adapt below configured ceilings to the step and
// first-token times of completed requests.
package limit

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// windowSamples and windowTime are the least size of a control window.
	windowSamples = 8
	windowTime    = 250 * time.Millisecond
	// growStep is the part of the ceiling added after a good, busy window.
	growStep = 0.02
	// largestCut bounds one reduction.
	largestCut = 0.5
	// floorPart is the least part of the ceilings.
	floorPart = 0.05
	// busyPart is the use of the bounds above which a window may raise them.
	busyPart = 0.8
	// idlePart is the use below which the learned baseline may rise.
	idlePart = 0.5
	// baselineRise is the rise of the baseline per window of low use.
	baselineRise = 1.02
	// learnedFactor is the slowdown against the baseline that counts as
	// overload where no target is configured.
	learnedFactor = 2.0
	// leastTarget is the least learned target. Shorter times are no overload
	// that a caller can notice; a call of 0.2 ms doubles with any other load.
	leastTarget = 20 * time.Millisecond
	// largestRatio bounds one sample, so that a single slow answer does not
	// outweigh a window. A refusal by the engine counts as much.
	largestRatio = 1 / largestCut
	// smoothing is the weight of a new sample in averages.
	smoothing = 0.1
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
	part     float64
	requests int
	tokens   uint64
	window   window
	// cutAt is the time of the last reduction. Requests started before it ran
	// under the old bounds and say nothing about the new ones.
	cutAt    time.Duration
	baseline time.Duration
	times    times
}

// window collects the samples of one control step.
type window struct {
	since time.Duration
	n     int
	ratio float64
	step  time.Duration
	use   float64
}

// New returns a state at its ceilings. The cold start keeps an upstream whose
// strength is unknown below them.
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
	return Bounds{
		Requests: max(int(s.part*float64(s.o.MaxRequests)), 1),
		Tokens:   max(uint64(s.part*float64(s.o.MaxTokens)), 1),
	}
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
	use := max(float64(s.requests)/float64(b.Requests), float64(s.tokens)/float64(b.Tokens))
	s.window.use = max(s.window.use, use)
}

// Completion tells how a started request ended.
type Completion struct {
	Started time.Duration
	Cost    uint32
	Usage   api.Usage
	// Failed excludes the times from the samples.
	Failed bool
	// Refused is true if the engine itself refused for overload.
	Refused bool
}

// End counts the end of a request and adapts the bounds.
func (s *State) End(now time.Duration, c Completion) {
	s.requests = max(s.requests-1, 0)
	s.tokens -= min(uint64(c.Cost), s.tokens)
	if c.Refused {
		s.sample(now, c.Started, largestRatio, 0)
		return
	}
	if c.Failed {
		return
	}
	s.times.observe(c)
	if step := stepTime(c.Usage); step > 0 {
		s.sample(now, c.Started, s.ratio(step, c.Usage), step)
	}
}

// stepTime is the time between tokens of an answer, or the whole time of a
// call that generates none.
func stepTime(u api.Usage) time.Duration {
	switch {
	case u.GeneratedTokens >= 2:
		return (u.Total - u.FirstChunk) / time.Duration(u.GeneratedTokens-1)
	case u.GeneratedTokens == 0:
		return u.Total
	}
	return 0
}

// ratio compares a request with its targets; above 1 means overload.
func (s *State) ratio(step time.Duration, u api.Usage) float64 {
	target := s.o.StepTarget
	if target <= 0 {
		if s.baseline == 0 {
			s.baseline = step
		}
		target = max(time.Duration(float64(s.baseline)*learnedFactor), leastTarget)
	}
	ratio := float64(step) / float64(max(target, 1))
	if s.o.FirstTokenTarget > 0 {
		ratio = max(ratio, float64(u.FirstChunk)/float64(s.o.FirstTokenTarget))
	}
	return min(ratio, largestRatio)
}

func (s *State) sample(now, started time.Duration, ratio float64, step time.Duration) {
	if started < s.cutAt {
		return
	}
	w := &s.window
	w.n++
	w.ratio += ratio
	w.step += step
	if w.n < windowSamples || now-w.since < windowTime {
		return
	}
	s.adapt(now, ratioOf(w), w)
	s.window = window{since: now}
}

func ratioOf(w *window) float64 { return w.ratio / float64(w.n) }

// adapt cuts the bounds in proportion to the overload and raises them by a
// fixed step after a good window that used them.
func (s *State) adapt(now time.Duration, ratio float64, w *window) {
	s.learn(w)
	if s.o.Fixed {
		return
	}
	switch {
	case ratio > 1:
		s.part = max(s.part*max(1/ratio, largestCut), floorPart)
		s.cutAt = now
	case w.use >= busyPart:
		s.part = min(s.part+growStep, 1)
	}
}

// learn moves the baseline down at any time and up only while the upstream is
// lightly used, so that a long overload does not become the normal state.
func (s *State) learn(w *window) {
	mean := w.step / time.Duration(w.n)
	switch {
	case mean <= 0:
	case mean < s.baseline:
		s.baseline = mean
	case w.use < idlePart:
		s.baseline = min(mean, time.Duration(float64(s.baseline)*baselineRise))
	}
}

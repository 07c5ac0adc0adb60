package limit

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// windowSamples and windowTime are the least size of a control window.
	windowSamples = 8
	windowTime    = time.Second
	// growFactor raises the bounds after a good, busy window.
	growFactor = 1.05
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
	learnedFactor = 2
	// leastTarget is the least learned target. Shorter times are no overload
	// that a caller can notice; a call of 0.2 ms doubles with any other load.
	leastTarget = 20 * time.Millisecond
	// largestRatio is the overload that leads to the largest cut. A refusal
	// by the engine counts as much.
	largestRatio = 1 / largestCut
	// startPart and startRequests are the bounds, whichever is larger, before
	// any load was tested.
	startPart     = 0.125
	startRequests = 4
	// headroom bounds the limits to a multiple of the load that was carried
	// well. An untested ceiling would let a burst after an outage fill the
	// batch far above what meets any deadline.
	headroom = 2.0
	// smoothing is the weight of a new sample in averages.
	smoothing = 0.1
)

// window collects the samples of one control step.
type window struct {
	since time.Duration
	n     int
	// spent is the time of generating tokens.
	spent  time.Duration
	tokens int
	// first sums up the times to the first token of firsts requests.
	first   time.Duration
	firsts  int
	refused int
	// use is the largest use of the bounds, load that of the ceilings.
	use  float64
	load float64
}

// completed adds a finished request. Its time is bounded, so that a single
// slow answer does not outweigh the window.
func (w *window) completed(c Completion, target time.Duration) {
	u := c.Usage
	w.n++
	switch {
	case c.Refused:
		w.refused++
		return
	case u.GeneratedTokens >= 2:
		n := int(u.GeneratedTokens - 1)
		w.spent += min(u.Total-u.FirstChunk, time.Duration(n)*target*largestRatio)
		w.tokens += n
	case u.GeneratedTokens == 0:
		w.spent += min(u.Total, target*largestRatio)
		w.tokens++
	}
	if u.GeneratedTokens > 0 {
		w.first += u.FirstChunk
		w.firsts++
	}
}

// step is the mean time between tokens.
func (w *window) step() time.Duration { return w.spent / time.Duration(max(w.tokens, 1)) }

// Progress takes a sample from a request that is still running: the tokens
// that it generated in the last interval. A request that reaches its deadline
// never completes, so completions alone would hide an overload. Samples are
// ignored while the work in flight is above bounds that were just cut.
func (s *State) Progress(now time.Duration, tokens int, interval time.Duration) {
	s.times.progress(interval / time.Duration(max(tokens, 1)))
	if s.used(s.Bounds()) > 1 {
		return
	}
	s.window.n++
	s.window.spent += interval
	s.window.tokens += tokens
	s.closeWindow(now)
}

// target is the configured time between tokens, or a multiple of the learned
// baseline, which starts with the first sample.
func (s *State) target(u api.Usage) time.Duration {
	if s.o.StepTarget > 0 {
		return s.o.StepTarget
	}
	if s.baseline == 0 {
		s.baseline = stepTime(u)
	}
	return max(s.baseline*learnedFactor, leastTarget)
}

// ratio compares a window with the targets; above 1 means overload.
func (s *State) ratio(w *window) float64 {
	r := float64(w.step()) / float64(s.target(api.Usage{Total: w.step()}))
	if s.o.FirstTokenTarget > 0 && w.firsts > 0 {
		mean := w.first / time.Duration(w.firsts)
		r = max(r, float64(mean)/float64(s.o.FirstTokenTarget))
	}
	refused := float64(w.refused) / float64(w.n)
	return min(r, largestRatio)*(1-refused) + largestRatio*refused
}

// closeWindow adapts the bounds at the end of a window: it cuts them in
// proportion to the overload, and raises them by a fixed factor after a good
// window that used them.
func (s *State) closeWindow(now time.Duration) {
	w := s.window
	if w.n < windowSamples || now-w.since < windowTime {
		return
	}
	s.window = window{since: now}
	ratio := s.ratio(&w)
	s.learn(&w)
	if ratio <= 1 {
		s.tested = max(s.tested, min(w.load, 1))
	}
	switch {
	case s.o.Fixed:
	case ratio > 1:
		s.part = max(s.inForce()*max(1/ratio, largestCut), floorPart)
		s.tested = min(s.tested, s.part)
		s.cutAt = now
	case w.use >= busyPart:
		s.part = min(s.part*growFactor, 1)
	}
}

// learn moves the baseline down at any time and up only while the upstream is
// lightly used, so that a long overload does not become the normal state.
func (s *State) learn(w *window) {
	mean := w.step()
	switch {
	case mean <= 0:
	case mean < s.baseline:
		s.baseline = mean
	case w.use < idlePart:
		s.baseline = min(mean, time.Duration(float64(s.baseline)*baselineRise))
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

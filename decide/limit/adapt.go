package limit

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// minWindowSamples and windowTime are the least size of a control window.
	minWindowSamples = 8
	minWindowTime    = time.Second
	// increaseFactor raises the bounds after a good, busy window.
	increaseFactor = 1.05
	// minDecreaseFactor bounds one reduction.
	minDecreaseFactor = 0.5
	// minFraction is the least part of the ceilings.
	minFraction = 0.05
	// busyUtilization is the use of the bounds above which a window may raise them.
	busyUtilization = 0.8
	// idleUtilization is the use below which the learned baseline may rise.
	idleUtilization = 0.5
	// baselineGrowth is the rise of the baseline per window of low use.
	baselineGrowth = 1.02
	// learnedTargetFactor is the slowdown against the baseline that counts as
	// overload where no target is configured.
	learnedTargetFactor = 2
	// minLearnedTarget is the least learned target. Shorter times are no overload
	// that a caller can notice; a call of 0.2 ms doubles with any other load.
	minLearnedTarget = 20 * time.Millisecond
	// maxOverloadRatio is the overload that leads to the largest cut. A refusal
	// by the engine counts as much.
	maxOverloadRatio = 1 / minDecreaseFactor
	// coldStartFraction and startRequests are the bounds, whichever is larger, before
	// any load was tested.
	coldStartFraction = 0.125
	coldStartRequests = 4
	// untestedGrowth bounds the limits to a multiple of the load that was carried
	// well. An untested ceiling would let a burst after an outage fill the
	// batch far above what meets any deadline.
	untestedGrowth = 2.0
	// smoothing is the weight of a new sample in averages.
	smoothing = 0.1
)

// window collects the samples of one control step.
type window struct {
	openedAt time.Duration
	samples  int
	// stepTime is the time of generating tokens.
	stepTime time.Duration
	steps    int
	// firstTokenTime sums up the times to the first token of firsts requests.
	firstTokenTime time.Duration
	firstTokens    int
	refused        int
	// utilization is the largest use of the bounds, load that of the ceilings.
	utilization        float64
	ceilingUtilization float64
}

// addCompletion adds a finished request. Its time is bounded, so that a single
// slow answer does not outweigh the window.
func (w *window) addCompletion(c Completion, target time.Duration) {
	u := c.Usage
	w.samples++
	switch {
	case c.Refused:
		w.refused++
		return
	case u.GeneratedTokens >= 2:
		n := int(u.GeneratedTokens - 1)
		w.stepTime += min(u.Total-u.FirstChunk, time.Duration(n)*target*maxOverloadRatio)
		w.steps += n
	case u.GeneratedTokens == 0:
		w.stepTime += min(u.Total, target*maxOverloadRatio)
		w.steps++
	}
	if u.GeneratedTokens > 0 {
		w.firstTokenTime += u.FirstChunk
		w.firstTokens++
	}
}

// meanStep is the mean time between tokens.
func (w *window) meanStep() time.Duration { return w.stepTime / time.Duration(max(w.steps, 1)) }

// Progress takes a sample from a request that is still running: the tokens
// that it generated in the last interval. A request that reaches its deadline
// never completes, so completions alone would hide an overload. Samples are
// ignored while the work in flight is above bounds that were just cut.
func (s *State) Progress(now time.Duration, tokens int, interval time.Duration) {
	s.times.observeStep(interval / time.Duration(max(tokens, 1)))
	if s.utilization(s.Bounds()) > 1 {
		return
	}
	s.window.samples++
	s.window.stepTime += interval
	s.window.steps += tokens
	s.closeWindow(now)
}

// stepTarget is the configured time between tokens, or a multiple of the learned
// baseline, which starts with the first sample.
func (s *State) stepTarget(u api.Usage) time.Duration {
	if s.options.StepTarget > 0 {
		return s.options.StepTarget
	}
	if s.baseline == 0 {
		s.baseline = stepTime(u)
	}
	return max(s.baseline*learnedTargetFactor, minLearnedTarget)
}

// overloadRatio compares a window with the targets; above 1 means overload.
func (s *State) overloadRatio(w *window) float64 {
	r := float64(w.meanStep()) / float64(s.stepTarget(api.Usage{Total: w.meanStep()}))
	if s.options.FirstTokenTarget > 0 && w.firstTokens > 0 {
		mean := w.firstTokenTime / time.Duration(w.firstTokens)
		r = max(r, float64(mean)/float64(s.options.FirstTokenTarget))
	}
	refused := float64(w.refused) / float64(w.samples)
	return min(r, maxOverloadRatio)*(1-refused) + maxOverloadRatio*refused
}

// closeWindow adapts the bounds at the end of a window: it cuts them in
// proportion to the overload, and raises them by a fixed factor after a good
// window that used them.
func (s *State) closeWindow(now time.Duration) {
	w := s.window
	if w.samples < minWindowSamples || now-w.openedAt < minWindowTime {
		return
	}
	s.window = window{openedAt: now}
	ratio := s.overloadRatio(&w)
	s.updateBaseline(&w)
	if ratio <= 1 {
		s.testedFraction = max(s.testedFraction, min(w.ceilingUtilization, 1))
	}
	switch {
	case s.options.Fixed:
	case ratio > 1:
		s.fraction = max(s.effectiveFraction()*max(1/ratio, minDecreaseFactor), minFraction)
		s.testedFraction = min(s.testedFraction, s.fraction)
		s.reducedAt = now
	case w.utilization >= busyUtilization:
		s.fraction = min(s.fraction*increaseFactor, 1)
	}
}

// updateBaseline moves the baseline down at any time and up only while the upstream is
// lightly used, so that a long overload does not become the normal state.
func (s *State) updateBaseline(w *window) {
	mean := w.meanStep()
	switch {
	case mean <= 0:
	case mean < s.baseline:
		s.baseline = mean
	case w.utilization < idleUtilization:
		s.baseline = min(mean, time.Duration(float64(s.baseline)*baselineGrowth))
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

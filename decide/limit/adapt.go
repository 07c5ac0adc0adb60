package limit

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// minWindowSamples and minWindowTime are the minimum size of a control
	// window.
	minWindowSamples = 8
	minWindowTime    = time.Second
	// increaseFactor multiplies the bounds after a busy window without overload.
	increaseFactor = 1.05
	// minDecreaseFactor limits how far one window reduces the bounds.
	minDecreaseFactor = 0.5
	// minFraction is the smallest fraction of the ceilings to which the bounds are
	// reduced.
	minFraction = 0.05
	// busyUtilization is the utilization of the bounds from which a window may
	// raise them.
	busyUtilization = 0.8
	// idleUtilization is the utilization below which the learned baseline may
	// rise.
	idleUtilization = 0.5
	// baselineGrowth limits the growth of the baseline per window of low
	// utilization.
	baselineGrowth = 1.02
	// learnedTargetFactor times the baseline is the target for the step time if none
	// is configured.
	learnedTargetFactor = 2
	// minLearnedTarget is the smallest learned target. Callers do not notice
	// shorter times; the time of a 0.2 ms call doubles under any other load.
	minLearnedTarget = 20 * time.Millisecond
	// maxOverloadRatio is the overload ratio that causes the largest reduction. A
	// refusal by the engine counts as this ratio.
	maxOverloadRatio = 1 / minDecreaseFactor
	// coldStartFraction of the ceilings or coldStartRequests, whichever is larger,
	// bounds the work in flight during cold start.
	coldStartFraction = 0.125
	coldStartRequests = 4
	// untestedGrowth limits the bounds to a multiple of the load served without
	// overload so far. With an untested ceiling, a burst after an outage could
	// fill the batch so far that no request meets its deadline.
	untestedGrowth = 2.0
	// smoothing is the weight of a new sample in moving averages.
	smoothing = 0.1
)

// window collects the samples of one control interval.
type window struct {
	openedAt time.Duration
	samples  int
	// stepTimeSum is the total time of the generation steps.
	stepTimeSum time.Duration
	steps       int
	// firstTokenSum is the sum of the times to first token of firstTokens
	// requests.
	firstTokenSum time.Duration
	firstTokens   int
	refused       int
	// utilization is the highest utilization of the bounds in this window,
	// ceilingUtilization that of the ceilings.
	utilization        float64
	ceilingUtilization float64
}

// addCompletion adds the sample of a finished request. Its step time is capped,
// so that a single slow response does not dominate the window.
func (w *window) addCompletion(c Completion, target time.Duration) {
	u := c.Usage
	w.samples++
	switch {
	case c.Refused:
		w.refused++
		return
	case u.GeneratedTokens >= 2:
		n := int(u.GeneratedTokens - 1)
		w.stepTimeSum += min(u.Total-u.FirstChunk, time.Duration(n)*target*maxOverloadRatio)
		w.steps += n
	case u.GeneratedTokens == 0:
		w.stepTimeSum += min(u.Total, target*maxOverloadRatio)
		w.steps++
	}
	if u.GeneratedTokens > 0 {
		w.firstTokenSum += u.FirstChunk
		w.firstTokens++
	}
}

// meanStep returns the mean time between tokens, zero without samples.
func (w *window) meanStep() time.Duration { return w.stepTimeSum / time.Duration(max(w.steps, 1)) }

// Progress adds a sample of a running request: the number of tokens that it
// generated in the last interval. A request that reaches its deadline never
// completes, so completions alone would hide an overload. While the work in flight
// still exceeds the bounds after a reduction, the sample only updates the service
// time estimates.
func (s *State) Progress(now time.Duration, tokens int, interval time.Duration) {
	s.serviceTimes.observeStep(interval / time.Duration(max(tokens, 1)))
	if s.utilization(s.Bounds()) > 1 {
		return
	}
	s.window.samples++
	s.window.stepTimeSum += interval
	s.window.steps += tokens
	s.closeWindow(now)
}

// stepTarget returns the configured target for the time between tokens, or a
// multiple of the learned baseline. The first sample initializes the baseline.
func (s *State) stepTarget(u api.Usage) time.Duration {
	if s.options.StepTarget > 0 {
		return s.options.StepTarget
	}
	if s.baseline == 0 {
		s.baseline = stepTime(u)
	}
	return max(s.baseline*learnedTargetFactor, minLearnedTarget)
}

// overloadRatio returns the ratio of the times in a window to their targets, where
// each refusal counts as maxOverloadRatio. A ratio above 1 means overload.
func (s *State) overloadRatio(w *window) float64 {
	r := float64(w.meanStep()) / float64(s.stepTarget(api.Usage{Total: w.meanStep()}))
	if s.options.FirstTokenTarget > 0 && w.firstTokens > 0 {
		mean := w.firstTokenSum / time.Duration(w.firstTokens)
		r = max(r, float64(mean)/float64(s.options.FirstTokenTarget))
	}
	refused := float64(w.refused) / float64(w.samples)
	return min(r, maxOverloadRatio)*(1-refused) + maxOverloadRatio*refused
}

// closeWindow adapts the bounds once the window is large enough: it reduces them
// in proportion to the overload, or raises them by a fixed factor after a busy
// window without overload.
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

// updateBaseline lowers the baseline at any time, but raises it only at low
// utilization, so that the baseline does not adapt to a long overload.
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

// stepTime returns the mean time between tokens of a response, or the total time of
// a call that generates no tokens. It is zero for a single token.
func stepTime(u api.Usage) time.Duration {
	switch {
	case u.GeneratedTokens >= 2:
		return (u.Total - u.FirstChunk) / time.Duration(u.GeneratedTokens-1)
	case u.GeneratedTokens == 0:
		return u.Total
	}
	return 0
}

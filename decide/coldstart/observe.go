package coldstart

import (
	"slices"
	"time"
)

const (
	// spikeFactor is the multiple of the expected step time above which a single
	// step counts as cold. It allows for steps that also process the prompt of a new
	// request, which take longer than others.
	spikeFactor = 2.5
	// driftFactor is the multiple of the expected step time above which the mean of
	// the last recentSteps steps counts as cold.
	driftFactor = 1.6
	recentSteps = 4
	// smoothing is the weight of a new sample in the reference for step times.
	smoothing = 1.0 / 8
	// referenceDecay is the largest fraction by which a single faster request lowers
	// the reference for times to first token.
	referenceDecay = 1.0 / 1024
)

// stepTimes compares step times with those expected from earlier steps.
type stepTimes struct {
	// bound is the longest step time that callers accept, 0 if not yet known.
	bound time.Duration
	// refTime is the smoothed step time in nanoseconds. refRunning is the smoothed
	// number of requests that were running in those steps.
	refTime    float64
	refRunning float64
	samples    int
	// slowdowns holds the most recent ratios of measured to expected step time.
	// perRequest holds the most recent step times, each divided by the number of
	// running requests.
	slowdowns  [recentSteps]float64
	perRequest [recentSteps]float64
}

// maxExpected returns the longest step time, in nanoseconds, that counts as normal for
// a number of running requests. Step time grows at most in proportion to that
// number. The result exceeds the bound only if the reference does.
func (t *stepTimes) maxExpected(running float64) float64 {
	e := t.refTime * max(1, running/t.refRunning)
	if t.bound > 0 {
		e = min(e, max(t.refTime, float64(t.bound)))
	}
	return e
}

// observe reports whether a step was as slow as on a cold upstream. If not, the step
// updates the reference.
func (t *stepTimes) observe(running int, duration time.Duration) (cold bool) {
	n, d := float64(running), float64(duration)
	if t.samples == 0 {
		t.refTime, t.refRunning = d, n
	}
	ratio := d / t.maxExpected(n)
	t.slowdowns[t.samples%recentSteps] = ratio
	t.perRequest[t.samples%recentSteps] = d / n
	t.samples++
	if t.samples > recentSteps && (ratio > spikeFactor || t.meanSlowdown() > driftFactor) {
		return true
	}
	t.refTime += smoothing * (d - t.refTime)
	t.refRunning += smoothing * (n - t.refRunning)
	return false
}

func (t *stepTimes) meanSlowdown() float64 {
	sum := 0.0
	for _, e := range t.slowdowns {
		sum += e
	}
	return sum / recentSteps
}

// maxRunning returns the number of running requests that keeps the step time below
// its bound. It uses the shortest of the last steps, because the prompt of a new
// request lengthens a step. It assumes that the step time is proportional to the
// number of requests. Since part of the step time is fixed, the result is below the
// actual number and approaches it as the limit rises.
func (t *stepTimes) maxRunning() float64 {
	recent := t.perRequest[:min(t.samples, recentSteps)]
	return StepMargin * float64(t.bound) / slices.Min(recent)
}

// firstTokenTimes compares times to first token, per prompt token, with those of
// earlier requests. The reference follows the slowest recent requests. With a mean,
// uncached prompts would look cold after a series of prompts in the engine's prefix
// cache, which are many times faster.
type firstTokenTimes struct {
	// perToken is the reference in nanoseconds per prompt token.
	perToken float64
	samples  int
}

// observe reports whether a request was as slow as on a cold upstream. If not, the
// request updates the reference.
func (f *firstTokenTimes) observe(promptTokens int, elapsed time.Duration) (cold bool) {
	cost := float64(elapsed) / float64(max(promptTokens, MinPromptTokens))
	if f.samples >= ReferenceSamples && cost > FirstTokenSlack*f.perToken {
		return true
	}
	f.samples++
	f.perToken = max(cost, f.perToken*(1-referenceDecay))
	return false
}

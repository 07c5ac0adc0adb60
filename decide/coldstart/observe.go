package coldstart

import (
	"slices"
	"time"
)

const (
	// spikeFactor is the multiple of the expected step time that a single step may
	// take. A step that also processes the prompt of a new request is longer than
	// others.
	spikeFactor = 2.5
	// driftFactor is the multiple of the expected step time that the last
	// recentSteps steps may take on average.
	driftFactor = 1.6
	recentSteps = 4
	// smoothing is the weight of a new sample in the reference for step times.
	smoothing = 1.0 / 8
	// referenceDecay is the fraction by which one faster request lowers the
	// reference for times to first token.
	referenceDecay = 1.0 / 1024
)

// stepTimes compares step times with those expected from earlier steps.
type stepTimes struct {
	// bound is the longest accepted step time, 0 if not yet known.
	bound time.Duration
	// refTime is the smoothed step time, in nanoseconds, and refRunning the
	// smoothed number of requests at which it was measured.
	refTime    float64
	refRunning float64
	samples    int
	// excess holds the last ratios of measured to expected step time, perRequest
	// the last step times divided by the number of running requests.
	excess     [recentSteps]float64
	perRequest [recentSteps]float64
}

// expected returns the longest step time consistent with the reference. Step time
// grows at most in proportion to the number of running requests.
func (t *stepTimes) expected(running float64) float64 {
	e := t.refTime * max(1, running/t.refRunning)
	if t.bound > 0 {
		e = min(e, max(t.refTime, float64(t.bound)))
	}
	return e
}

// observe adds a sample and reports whether the step was as slow as that of a cold
// upstream.
func (t *stepTimes) observe(running int, duration time.Duration) (cold bool) {
	n, d := float64(running), float64(duration)
	if t.samples == 0 {
		t.refTime, t.refRunning = d, n
	}
	ratio := d / t.expected(n)
	t.excess[t.samples%recentSteps] = ratio
	t.perRequest[t.samples%recentSteps] = d / n
	t.samples++
	if t.samples > recentSteps && (ratio > spikeFactor || t.meanExcess() > driftFactor) {
		return true
	}
	t.refTime += smoothing * (d - t.refTime)
	t.refRunning += smoothing * (n - t.refRunning)
	return false
}

func (t *stepTimes) meanExcess() float64 {
	sum := 0.0
	for _, e := range t.excess {
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

// firstTokens compares times to first token, per prompt token, with those of
// earlier requests. The reference follows the slowest of the last requests: a
// prompt in the engine's prefix cache is many times faster than an uncached one,
// so its time is no reference for uncached prompts.
type firstTokens struct {
	// perToken is the reference in nanoseconds per prompt token.
	perToken float64
	samples  int
}

// observe adds a sample and reports whether the request was as slow as on a cold
// upstream.
func (f *firstTokens) observe(promptTokens int, elapsed time.Duration) (cold bool) {
	cost := float64(elapsed) / float64(max(promptTokens, MinPromptTokens))
	if f.samples >= ReferenceSamples && cost > FirstTokenSlack*f.perToken {
		return true
	}
	f.samples++
	f.perToken = max(cost, f.perToken*(1-referenceDecay))
	return false
}

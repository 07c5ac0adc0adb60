package coldstart

import (
	"slices"
	"time"
)

const (
	// stepSpike is how far one step may exceed what is expected. A step that
	// also fills the prompt of a new request is longer than others.
	stepSpike = 2.5
	// stepDrift is how far the mean of stepRecent steps may exceed it.
	stepDrift  = 1.6
	stepRecent = 4
	// smoothing is the weight of a new observation.
	smoothing = 1.0 / 8
	// referenceDecay is the part of the reference of first tokens that one
	// faster request takes away.
	referenceDecay = 1.0 / 1024
)

// stepTimes judges step times against what the last ones lead to expect.
type stepTimes struct {
	bound time.Duration
	// refTook was seen with refRunning requests, smoothed.
	refTook    float64
	refRunning float64
	samples    int
	// excess holds the last ratios of seen to expected, perRequest the last
	// step times divided by the running requests.
	excess     [stepRecent]float64
	perRequest [stepRecent]float64
}

// expected returns the longest step time that is in line with the reference.
// Step time grows at most in proportion to the running requests.
func (t *stepTimes) expected(running float64) float64 {
	e := t.refTook * max(1, running/t.refRunning)
	if t.bound > 0 {
		e = min(e, max(t.refTook, float64(t.bound)))
	}
	return e
}

// observe reports whether the upstream steps as slowly as a cold one.
func (t *stepTimes) observe(running int, took time.Duration) (outOfLine bool) {
	n, d := float64(running), float64(took)
	if t.samples == 0 {
		t.refTook, t.refRunning = d, n
	}
	ratio := d / t.expected(n)
	t.excess[t.samples%stepRecent] = ratio
	t.perRequest[t.samples%stepRecent] = d / n
	t.samples++
	if t.samples > stepRecent && (ratio > stepSpike || t.meanExcess() > stepDrift) {
		return true
	}
	t.refTook += smoothing * (d - t.refTook)
	t.refRunning += smoothing * (n - t.refRunning)
	return false
}

func (t *stepTimes) meanExcess() float64 {
	sum := 0.0
	for _, e := range t.excess {
		sum += e
	}
	return sum / stepRecent
}

// allowed returns the requests that keep the step time below its bound, from
// the shortest of the last steps: the prompt of a new request lengthens some.
// It takes the step time as proportional to the requests; as part of it is
// fixed, the result lies below the true number and approaches it from there.
func (t *stepTimes) allowed() float64 {
	seen := t.perRequest[:min(t.samples, stepRecent)]
	return StepMargin * float64(t.bound) / slices.Min(seen)
}

// firstTokens judges first-token times by the length of the prompt. The
// reference follows the slow ones among the last requests: a prompt that the
// engine has in its prefix cache is many times faster, and says nothing about
// the time of one that it has not.
type firstTokens struct {
	perToken float64
	samples  int
}

func (f *firstTokens) observe(promptTokens int, took time.Duration) (outOfLine bool) {
	cost := float64(took) / float64(max(promptTokens, MinPromptTokens))
	if f.samples >= ReferenceSamples && cost > FirstTokenSlack*f.perToken {
		return true
	}
	f.samples++
	f.perToken = max(cost, f.perToken*(1-referenceDecay))
	return false
}

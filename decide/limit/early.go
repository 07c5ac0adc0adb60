package limit

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// minRetryAfter and maxRetryAfter limit the retry-after time before jitter.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// progressSmoothing is the weight of a running request's step time in the moving
	// average. It is small because every running request adds a sample in every
	// interval.
	progressSmoothing = 0.01
	// retryJitter is the largest fraction added to the retry-after time, so
	// that callers refused at the same time do not retry at the same time.
	retryJitter = 0.5
)

// serviceTimes holds moving averages of the times of completed requests, in
// nanoseconds. Running requests update step and total.
type serviceTimes struct {
	hasSamples bool
	firstToken float64
	step       float64
	total      float64
}

func (t *serviceTimes) observe(c Completion) {
	weight := smoothing
	if !t.hasSamples {
		weight, t.hasSamples = 1, true
	}
	update := func(value *float64, sample float64) { *value += (sample - *value) * weight }
	update(&t.total, float64(c.Usage.Total))
	if c.Usage.GeneratedTokens > 0 {
		update(&t.firstToken, float64(c.Usage.FirstChunk))
	}
	if c.Usage.GeneratedTokens >= 2 {
		update(&t.step, float64(stepTime(c.Usage)))
	}
}

// observeStep updates the step time from a running request and scales the total
// with it, so that the estimates reflect a slowdown before the slow requests
// complete.
func (t *serviceTimes) observeStep(step time.Duration) {
	if !t.hasSamples || t.step == 0 {
		return
	}
	old := t.step
	t.step += (float64(step) - t.step) * progressSmoothing
	t.total *= t.step / old
}

// Arrival describes a request to be queued or started.
type Arrival struct {
	Cost uint32
	// OutputTokens is the estimated number of tokens to generate, zero for a
	// plain call.
	OutputTokens uint32
	// QueuedRequests and QueuedTokens are the work queued ahead of this request.
	QueuedRequests int
	QueuedTokens   uint64
	// RunLimit bounds the requests that run at once if that is less than the bounds of the
	// State, as in a cold start. Zero means no other limit.
	RunLimit     int
	DeadlineLeft time.Duration
}

// EstimateWait estimates how long an arrival waits before it starts. It assumes
// that a full upstream completes all work in flight once per mean service time.
// It returns zero before any request has completed.
func (s *State) EstimateWait(a Arrival) time.Duration {
	if !s.serviceTimes.hasSamples {
		return 0
	}
	b := s.Bounds()
	if a.RunLimit > 0 {
		b.Requests = min(b.Requests, a.RunLimit)
	}
	requests := float64(s.requests+a.QueuedRequests+1) - float64(b.Requests)
	tokens := float64(s.tokens+a.QueuedTokens) + float64(a.Cost) - float64(b.Tokens)
	rounds := max(requests/float64(b.Requests), tokens/float64(b.Tokens), 0)
	return time.Duration(rounds * s.serviceTimes.total)
}

// EstimateServiceTime estimates the run time of an arrival.
func (s *State) EstimateServiceTime(a Arrival) time.Duration {
	if a.OutputTokens == 0 || s.serviceTimes.step == 0 {
		return time.Duration(s.serviceTimes.total)
	}
	return time.Duration(s.serviceTimes.firstToken + s.serviceTimes.step*float64(a.OutputTokens))
}

// CheckDeadline returns a failure if the arrival is expected to miss its deadline.
// The random number is in [0, 1) and sets the jitter of the retry-after time. An
// idle upstream accepts every request, because only a completed run can correct an
// estimate that is too high.
func (s *State) CheckDeadline(a Arrival, random float64) *api.Failure {
	if s.requests == 0 && a.QueuedRequests == 0 {
		return nil
	}
	wait, service := s.EstimateWait(a), s.EstimateServiceTime(a)
	if wait+service <= a.DeadlineLeft {
		return nil
	}
	if service > a.DeadlineLeft {
		return api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "the time left to the deadline is shorter than the expected run time")
	}
	f := api.NewFailure(api.CodeOverloaded, api.NotRun, "the expected queueing and run time exceed the time left to the deadline")
	f.RetryAfter = RetryAfter(wait+service-a.DeadlineLeft, random)
	return f
}

// RetryAfter returns the retry-after time for an expected wait for capacity: the
// wait within its limits, plus jitter. The random number is in [0, 1).
func RetryAfter(wait time.Duration, random float64) time.Duration {
	jitter := 1 + retryJitter*random
	return time.Duration(float64(min(max(wait, minRetryAfter), maxRetryAfter)) * jitter)
}

package limit

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// minRetryAfter and maxRetryAfter bound the advice to callers.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// progressSmoothing is small, because every running request gives a
	// sample in every interval.
	progressSmoothing = 0.01
	// retryJitter is the part by which the advice is spread, so that callers
	// refused together do not return together.
	retryJitter = 0.5
)

// serviceTimes are smoothed times of completed requests.
type serviceTimes struct {
	known      bool
	firstToken float64
	step       float64
	total      float64
}

func (t *serviceTimes) observe(c Completion) {
	weight := smoothing
	if !t.known {
		weight, t.known = 1, true
	}
	move := func(value *float64, sample float64) { *value += (sample - *value) * weight }
	move(&t.total, float64(c.Usage.Total))
	if c.Usage.GeneratedTokens > 0 {
		move(&t.firstToken, float64(c.Usage.FirstChunk))
	}
	if c.Usage.GeneratedTokens >= 2 {
		move(&t.step, float64(stepTime(c.Usage)))
	}
}

// observeStep moves the step time between completions. The total follows, so
// that a slow-down shows in the estimates before the slow requests end.
func (t *serviceTimes) observeStep(step time.Duration) {
	if !t.known || t.step == 0 {
		return
	}
	old := t.step
	t.step += (float64(step) - t.step) * progressSmoothing
	t.total *= t.step / old
}

// Arrival is a request that asks to wait or run.
type Arrival struct {
	Cost uint32
	// OutputTokens estimates the tokens to generate, 0 for a plain call.
	OutputTokens uint32
	// QueuedRequests and QueuedTokens are waiting before it.
	QueuedRequests int
	QueuedTokens   uint64
	DeadlineLeft   time.Duration
}

// EstimateWait estimates how long an arrival waits before it starts. A full upstream
// frees its bound once per mean service time.
func (s *State) EstimateWait(a Arrival) time.Duration {
	if !s.times.known {
		return 0
	}
	b := s.Bounds()
	requests := float64(s.requests+a.QueuedRequests+1) - float64(b.Requests)
	tokens := float64(s.tokens+a.QueuedTokens) + float64(a.Cost) - float64(b.Tokens)
	rounds := max(requests/float64(b.Requests), tokens/float64(b.Tokens), 0)
	return time.Duration(rounds * s.times.total)
}

// EstimateServiceTime estimates how long an arrival runs.
func (s *State) EstimateServiceTime(a Arrival) time.Duration {
	if a.OutputTokens == 0 || s.times.step == 0 {
		return time.Duration(s.times.total)
	}
	return time.Duration(s.times.firstToken + s.times.step*float64(a.OutputTokens))
}

// Refuse returns a failure if the deadline cannot be met, else nil. The random
// number is in [0, 1). An idle upstream refuses nothing, because only a run
// can correct an estimate that is too high.
func (s *State) Refuse(a Arrival, random float64) *api.Failure {
	if s.requests == 0 && a.QueuedRequests == 0 {
		return nil
	}
	wait, service := s.EstimateWait(a), s.EstimateServiceTime(a)
	if wait+service <= a.DeadlineLeft {
		return nil
	}
	if service > a.DeadlineLeft {
		return api.Fail(api.CodeDeadlineExceeded, api.NotRun, "the deadline is shorter than the expected run time")
	}
	f := api.Fail(api.CodeOverloaded, api.NotRun, "the queue is too long for the deadline")
	f.RetryAfter = RetryAfter(wait+service-a.DeadlineLeft, random)
	return f
}

// RetryAfter turns the time until there is room into advice to a caller.
func RetryAfter(room time.Duration, random float64) time.Duration {
	spread := 1 + retryJitter*random
	return time.Duration(float64(min(max(room, minRetryAfter), maxRetryAfter)) * spread)
}

// Package enginemodel models inference engines with continuous batching and a
// prefix cache in simulated time, for deterministic experiments.
package enginemodel

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/bench/timeline"
)

// BlockTokens is the number of prompt tokens in one cache block.
const BlockTokens = 64

// Speed holds the limits and step times of an engine.
type Speed struct {
	// MaxBatch bounds the requests in one step.
	MaxBatch int
	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int
	// PrefillBudget bounds the prompt tokens of one step.
	PrefillBudget int
	// The duration of a step is Step, plus StepPerRequest for each decoding
	// request, plus StepPerPromptToken for each prompt token.
	Step, StepPerRequest, StepPerPromptToken time.Duration
}

// DefaultSpeed decodes a batch of 64 requests in 40 ms per step and prefills 20,000
// prompt tokens per second.
var DefaultSpeed = Speed{
	MaxBatch: 64, CacheBlocks: 3000, PrefillBudget: 2048,
	Step: 14 * time.Millisecond, StepPerRequest: 400 * time.Microsecond, StepPerPromptToken: 50 * time.Microsecond,
}

// Job is one request at an engine.
type Job struct {
	Prefix       []uint64
	PromptTokens int
	OutputTokens int
	// FirstToken is called at the first token, Done at the end of the job. Done
	// gets false if the engine crashed or the job was canceled.
	FirstToken func()
	Done       func(complete bool)

	SubmittedAt, StartedAt, FirstTokenAt time.Duration
	CachedTokens                         int

	prefillLeft int
	generated   int
	ended       bool
}

// Generated returns the number of tokens generated so far.
func (j *Job) Generated() int { return j.generated }

// Engine is a modelled engine. It is not safe for concurrent use.
type Engine struct {
	events   *timeline.Timeline
	speed    Speed
	cache    *cache
	waiting  []*Job
	running  []*Job
	stepping bool
	// generation counts crashes. The end of a step that a crash interrupted is
	// ignored.
	generation int
	// StepTime is the duration of the last step.
	StepTime time.Duration
	// PromptTokens and CachedTokens are sums over all started jobs.
	PromptTokens, CachedTokens int
}

// NewEngine returns an idle engine with an empty cache.
func NewEngine(e *timeline.Timeline, s Speed) *Engine {
	return &Engine{events: e, speed: s, cache: newCache(s.CacheBlocks)}
}

// Submit queues a job.
func (e *Engine) Submit(j *Job) {
	j.SubmittedAt = e.events.Now()
	e.waiting = append(e.waiting, j)
	e.startStep()
}

// Cancel ends a waiting or running job. It does nothing if the job has ended.
func (e *Engine) Cancel(j *Job) {
	if j.ended {
		return
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(o *Job) bool { return o == j })
	e.running = slices.DeleteFunc(e.running, func(o *Job) bool { return o == j })
	j.finish(false)
}

// Crash ends all jobs and empties the cache.
func (e *Engine) Crash() {
	all := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	e.generation++
	e.stepping = false
	e.cache.clear()
	for _, j := range all {
		j.finish(false)
	}
}

// Load returns the numbers of running and waiting jobs.
func (e *Engine) Load() (running, waiting int) { return len(e.running), len(e.waiting) }

// CacheEvents returns the blocks added to and dropped from the cache since the last
// call, and the total number of such events.
func (e *Engine) CacheEvents() (added, dropped []uint64, total uint64) {
	added, dropped = e.cache.added, e.cache.dropped
	e.cache.added, e.cache.dropped = nil, nil
	return added, dropped, e.cache.eventCount
}

func (j *Job) finish(complete bool) {
	if j.ended {
		return
	}
	j.ended = true
	if j.Done != nil {
		j.Done(complete)
	}
}

func (e *Engine) startStep() {
	if e.stepping || len(e.waiting)+len(e.running) == 0 {
		return
	}
	e.stepping = true
	e.admit()
	tokens, done := e.prefill()
	decoding := 0
	for _, j := range e.running {
		if j.prefillLeft == 0 && !slices.Contains(done, j) {
			decoding++
		}
	}
	e.StepTime = e.speed.Step + time.Duration(decoding)*e.speed.StepPerRequest + time.Duration(tokens)*e.speed.StepPerPromptToken
	generation := e.generation
	e.events.After(e.StepTime, func() {
		if e.generation == generation {
			e.finishStep(done)
		}
	})
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.speed.MaxBatch {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.StartedAt = e.events.Now()
		j.CachedTokens = min(e.cache.cachedPrefixLen(j.Prefix)*BlockTokens, j.PromptTokens-1)
		j.prefillLeft = j.PromptTokens - j.CachedTokens
		e.PromptTokens += j.PromptTokens
		e.CachedTokens += j.CachedTokens
		e.running = append(e.running, j)
	}
}

// prefill assigns the prefill budget of a step to prompts in order of arrival. It
// returns the number of prompt tokens and the jobs whose prompts the step completes.
func (e *Engine) prefill() (tokens int, done []*Job) {
	for _, j := range e.running {
		if j.prefillLeft == 0 {
			continue
		}
		n := min(j.prefillLeft, e.speed.PrefillBudget-tokens)
		tokens += n
		j.prefillLeft -= n
		if j.prefillLeft == 0 {
			done = append(done, j)
		}
	}
	return tokens, done
}

func (e *Engine) finishStep(prefilled []*Job) {
	for _, j := range prefilled {
		if !j.ended {
			e.cache.touch(j.Prefix)
		}
	}
	for _, j := range slices.Clone(e.running) {
		if j.prefillLeft > 0 || j.ended {
			continue
		}
		j.generated++
		if j.generated == 1 {
			j.FirstTokenAt = e.events.Now()
			if j.FirstToken != nil {
				j.FirstToken()
			}
		}
	}
	e.finishCompletedJobs()
	e.stepping = false
	e.startStep()
}

func (e *Engine) finishCompletedJobs() {
	var ended []*Job
	e.running = slices.DeleteFunc(e.running, func(j *Job) bool {
		if j.generated < j.OutputTokens {
			return false
		}
		ended = append(ended, j)
		return true
	})
	for _, j := range ended {
		j.finish(true)
	}
}

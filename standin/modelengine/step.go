package modelengine

import (
	"slices"
	"time"
)

// job is a queued or running request.
type job struct {
	model, prompt  string
	key, requestID string
	priority       int
	arrival        uint64
	tokens         []string
	// resumeFrom is the number of tokens that the client already received; next is
	// the index of the next token to generate.
	resumeFrom, next int
	blocks           []uint64
	// uncachedBlocks is the number of prompt blocks still to be prefilled.
	uncachedBlocks int
	// output has capacity for all tokens, so that the step loop never blocks.
	output  chan string
	crashed chan struct{}
}

// submit queues a job. It returns false if the engine is down or if the job
// crashes it by overload in cold start.
func (e *Engine) submit(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		return false
	}
	concurrent := len(e.volatile.waiting) + len(e.volatile.batch)
	if e.volatile.cold && concurrent >= e.options.ColdConcurrency {
		e.overloadCrashes++
		e.crash()
		return false
	}
	e.volatile.arrivals++
	j.arrival = e.volatile.arrivals
	j.crashed = e.volatile.crashed
	e.volatile.waiting = append(e.volatile.waiting, j)
	e.sampleLoad()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

func (e *Engine) isDown() bool {
	select {
	case <-e.closed:
		return true
	default:
		return e.options.Clock.Now() < e.downUntil
	}
}

// cancel removes a job from the queue and the batch.
func (e *Engine) cancel(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	same := func(other *job) bool { return other == j }
	e.volatile.waiting = slices.DeleteFunc(e.volatile.waiting, same)
	e.volatile.batch = slices.DeleteFunc(e.volatile.batch, same)
	e.sampleLoad()
}

func (e *Engine) runSteps() {
	defer close(e.done)
	for {
		select {
		case <-e.closed:
			return
		case <-e.wake:
		}
		for e.runStep() {
		}
	}
}

// runStep runs one step of the batch. It returns false if there is nothing to do.
func (e *Engine) runStep() bool {
	e.mu.Lock()
	e.admit()
	if len(e.volatile.batch) == 0 {
		e.mu.Unlock()
		return false
	}
	e.volatile.stepTime = e.nextStepTime() + e.stall
	e.stall = 0
	stepTime, crashed := e.volatile.stepTime, e.volatile.crashed
	e.mu.Unlock()
	if !e.sleep(stepTime, crashed) {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.volatile.crashed == crashed {
		e.advance()
	}
	return true
}

// sleep waits for d. It returns false if the engine crashes or is closed first.
func (e *Engine) sleep(d time.Duration, crashed chan struct{}) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-crashed:
		return false
	}
}

// admit fills the batch from the queue, by priority and then by arrival.
func (e *Engine) admit() {
	slices.SortStableFunc(e.volatile.waiting, func(a, b *job) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return int(a.arrival) - int(b.arrival)
	})
	for len(e.volatile.waiting) > 0 && len(e.volatile.batch) < e.options.MaxBatch {
		j := e.volatile.waiting[0]
		e.volatile.waiting = e.volatile.waiting[1:]
		e.executions.add(j)
		if e.isPoison(j) {
			e.crash()
			return
		}
		j.uncachedBlocks = len(j.blocks) - e.volatile.cache.matchPrefix(j.blocks)
		e.volatile.batch = append(e.volatile.batch, j)
	}
}

// nextStepTime returns the duration of the next step, which the most loaded rank
// determines.
func (e *Engine) nextStepTime() time.Duration {
	load := make([]int, e.options.Ranks)
	for _, j := range e.volatile.batch {
		seed := mix(e.options.Seed, j.arrival)
		for k := range e.options.TopK {
			expert := mix(seed, uint64(j.next*e.options.TopK+k)) % uint64(e.options.Experts)
			load[e.volatile.managed.rankOf(int(expert))]++
		}
	}
	return e.options.StepBaseTime + time.Duration(slices.Max(load))*e.options.StepTimePerAssignment
}

// advance completes a step: each request in the batch has some prompt blocks
// prefilled or, if none are left, generates one token.
func (e *Engine) advance() {
	e.volatile.steps++
	e.volatile.managed.applyMap()
	running := e.volatile.batch[:0]
	for _, j := range e.volatile.batch {
		if j.uncachedBlocks > 0 {
			j.uncachedBlocks -= e.options.PrefillBlocks
			if j.uncachedBlocks <= 0 {
				e.addBlocks(j.blocks)
			}
			running = append(running, j)
			continue
		}
		if j.next < len(j.tokens) {
			j.output <- j.tokens[j.next]
			j.next++
		}
		if j.next < len(j.tokens) {
			running = append(running, j)
			continue
		}
		close(j.output)
		e.volatile.completions++
	}
	clear(e.volatile.batch[len(running):])
	e.volatile.batch = running
	if e.volatile.cold && e.volatile.completions >= e.options.WarmupCompletions {
		e.volatile.cold = false
	}
	e.sampleLoad()
}

package modelengine

import (
	"slices"
	"time"
)

// job is one request inside the engine.
type job struct {
	model, prompt  string
	key, requestID string
	priority       int
	arrival        uint64
	tokens         []string
	// first is the number of tokens that the client has; next moves on from it.
	first, next int
	blocks      []uint64
	// unread is the number of prompt blocks that prefill still has to read.
	unread int
	// out has room for all tokens, so that the step loop never waits.
	out   chan string
	ended chan struct{}
}

// submit queues a job. It returns false if the engine is down or falls over.
func (e *Engine) submit(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down() {
		return false
	}
	concurrent := len(e.life.waiting) + len(e.life.batch)
	if e.life.cold && concurrent >= e.options.ColdRequests {
		e.overloads++
		e.crash()
		return false
	}
	e.life.arrivals++
	j.arrival = e.life.arrivals
	j.ended = e.life.ended
	e.life.waiting = append(e.life.waiting, j)
	e.sampleLoad()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

func (e *Engine) down() bool {
	select {
	case <-e.closed:
		return true
	default:
		return e.options.Clock.Now() < e.downUntil
	}
}

// cancel removes a job whose client is gone.
func (e *Engine) cancel(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	same := func(other *job) bool { return other == j }
	e.life.waiting = slices.DeleteFunc(e.life.waiting, same)
	e.life.batch = slices.DeleteFunc(e.life.batch, same)
	e.sampleLoad()
}

func (e *Engine) loop() {
	defer close(e.done)
	for {
		select {
		case <-e.closed:
			return
		case <-e.wake:
		}
		for e.step() {
		}
	}
}

// step runs one step of the batch. It returns false if there is nothing to do.
func (e *Engine) step() bool {
	e.mu.Lock()
	e.admit()
	if len(e.life.batch) == 0 {
		e.mu.Unlock()
		return false
	}
	e.life.stepTime = e.duration() + e.stall
	e.stall = 0
	pause, ended := e.life.stepTime, e.life.ended
	e.mu.Unlock()
	if !e.sleep(pause, ended) {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life.ended == ended {
		e.advance()
	}
	return true
}

// sleep returns false if the engine crashed or was closed in the meantime.
func (e *Engine) sleep(d time.Duration, ended chan struct{}) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ended:
		return false
	}
}

// admit fills the batch from the queue: higher priority first, then arrival.
func (e *Engine) admit() {
	slices.SortStableFunc(e.life.waiting, func(a, b *job) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return int(a.arrival) - int(b.arrival)
	})
	for len(e.life.waiting) > 0 && len(e.life.batch) < e.options.MaxBatch {
		j := e.life.waiting[0]
		e.life.waiting = e.life.waiting[1:]
		e.executions.add(j)
		if e.poisoned(j) {
			e.crash()
			return
		}
		j.unread = len(j.blocks) - e.life.cache.touch(j.blocks)
		e.life.batch = append(e.life.batch, j)
	}
}

// duration is the time of the next step. All ranks wait for the hottest one.
func (e *Engine) duration() time.Duration {
	load := make([]int, e.options.Ranks)
	for _, j := range e.life.batch {
		seed := mix(e.options.Seed, j.arrival)
		for k := range e.options.TopK {
			expert := mix(seed, uint64(j.next*e.options.TopK+k)) % uint64(e.options.Experts)
			load[e.life.orders.rankOf(int(expert))]++
		}
	}
	return e.options.StepBase + time.Duration(slices.Max(load))*e.options.StepPerAssignment
}

// advance reads prompt blocks, then generates one token for each request.
func (e *Engine) advance() {
	e.life.steps++
	e.life.orders.applyMap()
	rest := e.life.batch[:0]
	for _, j := range e.life.batch {
		if j.unread > 0 {
			j.unread -= e.options.PrefillBlocks
			if j.unread <= 0 {
				e.learn(j.blocks)
			}
			rest = append(rest, j)
			continue
		}
		if j.next < len(j.tokens) {
			j.out <- j.tokens[j.next]
			j.next++
		}
		if j.next < len(j.tokens) {
			rest = append(rest, j)
			continue
		}
		close(j.out)
		e.life.completions++
	}
	clear(e.life.batch[len(rest):])
	e.life.batch = rest
	if e.life.cold && e.life.completions >= e.options.ColdCompletions {
		e.life.cold = false
	}
	e.sampleLoad()
}

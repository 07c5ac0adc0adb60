package kernel

import (
	"container/heap"
	"sync"
	"time"
)

// Loop is the control loop: one goroutine that owns the control state of a
// process. Handlers of mailboxes and timers run on it one at a time, so they
// share state without locks. The loop blocks while it has no events.
type Loop struct {
	clock Clock
	// capacity is the sum of the capacities of all mailboxes.
	capacity int
	// ready holds the mailbox of each posted event, in order. It is nil until Start.
	ready     chan dispatcher
	stop      chan struct{}
	done      chan struct{}
	stopOnce  sync.Once
	timers    timerHeap
	mailboxes []counterSource
}

type dispatcher interface {
	dispatch(now time.Duration)
}

type counterSource interface {
	Counters() MailboxCounters
}

// NewLoop returns a loop that is not yet running.
func NewLoop(clock Clock) *Loop {
	return &Loop{clock: clock, stop: make(chan struct{}), done: make(chan struct{})}
}

// Start starts the loop. All mailboxes must have been created before.
func (l *Loop) Start() {
	l.ready = make(chan dispatcher, l.capacity)
	go l.run()
}

// Stop stops the loop after the running handler returns. Later events are refused
// with LoopStoppedError.
func (l *Loop) Stop() {
	l.stopOnce.Do(func() { close(l.stop) })
	if l.ready != nil {
		<-l.done
	}
}

// Counters returns the counters of every mailbox.
func (l *Loop) Counters() []MailboxCounters {
	all := make([]MailboxCounters, 0, len(l.mailboxes))
	for _, m := range l.mailboxes {
		all = append(all, m.Counters())
	}
	return all
}

// After runs f on the loop after d. The returned function cancels the timer. Both
// must be called on the loop or before the loop starts.
func (l *Loop) After(d time.Duration, f func(now time.Duration)) (cancel func()) {
	t := &timer{due: l.clock.Now() + d, run: f}
	heap.Push(&l.timers, t)
	return func() { t.run = nil }
}

// Every runs f on the loop every d, measured from the end of one run to the start
// of the next. It must be called on the loop or before the loop starts.
func (l *Loop) Every(d time.Duration, f func(now time.Duration)) {
	var tick func(time.Duration)
	tick = func(now time.Duration) {
		f(now)
		l.After(d, tick)
	}
	l.After(d, tick)
}

func (l *Loop) run() {
	defer close(l.done)
	wake := time.NewTimer(l.untilNextTimer())
	defer wake.Stop()
	for {
		select {
		case <-l.stop:
			return
		case d := <-l.ready:
			d.dispatch(l.clock.Now())
		case <-wake.C:
		}
		l.runDueTimers()
		wake.Reset(l.untilNextTimer())
	}
}

// maxIdleWait is the timeout of the wake timer while the loop has no timers.
const maxIdleWait = time.Hour

func (l *Loop) untilNextTimer() time.Duration {
	if len(l.timers) == 0 {
		return maxIdleWait
	}
	return max(l.timers[0].due-l.clock.Now(), 0)
}

func (l *Loop) runDueTimers() {
	now := l.clock.Now()
	for len(l.timers) > 0 && l.timers[0].due <= now {
		t := heap.Pop(&l.timers).(*timer)
		if t.run != nil {
			t.run(now)
		}
	}
}

type timer struct {
	due time.Duration
	run func(now time.Duration)
}

type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(*timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

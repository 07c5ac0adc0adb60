// Package timeline schedules the events of an experiment in simulated time.
package timeline

import (
	"container/heap"
	"time"
)

// Timeline is a queue of events in order of simulated time. Events of the same time
// run in the order in which they were added, so that runs are deterministic. The
// zero value is an empty timeline at time 0.
type Timeline struct {
	now       time.Duration
	scheduled uint64
	events    eventHeap
}

// Now returns the simulated time.
func (t *Timeline) Now() time.Duration { return t.now }

// At adds an event. If when is in the past, the event is due now.
func (t *Timeline) At(when time.Duration, run func()) {
	t.scheduled++
	heap.Push(&t.events, event{max(when, t.now), t.scheduled, run})
}

// After adds an event that is due after d.
func (t *Timeline) After(d time.Duration, run func()) { t.At(t.now+d, run) }

// Every adds an event that is due at the time first and then again after each
// interval, without end.
func (t *Timeline) Every(first, interval time.Duration, run func()) {
	var repeat func()
	repeat = func() {
		run()
		t.After(interval, repeat)
	}
	t.At(first, repeat)
}

// Run runs the events up to and including the end time, and sets the simulated time
// to it. Later events stay queued.
func (t *Timeline) Run(end time.Duration) {
	for len(t.events) > 0 && t.events[0].due <= end {
		e := heap.Pop(&t.events).(event)
		t.now = e.due
		e.run()
	}
	t.now = end
}

type event struct {
	due time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

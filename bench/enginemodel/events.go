// Package enginemodel models engines with continuous batching and a prefix
// cache in simulated time, for experiments that must be deterministic.
package enginemodel

import (
	"container/heap"
	"time"
)

// Events runs functions in order of simulated time.
type Events struct {
	now  time.Duration
	next uint64
	heap eventHeap
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// Now returns the simulated time.
func (e *Events) Now() time.Duration { return e.now }

// After runs f once d has passed. Functions due together run in the order in
// which they were added.
func (e *Events) After(d time.Duration, f func()) {
	e.next++
	heap.Push(&e.heap, event{at: e.now + max(d, 0), order: e.next, run: f})
}

// Every runs f each d until the end of the run.
func (e *Events) Every(d time.Duration, f func()) {
	e.After(d, func() {
		f()
		e.Every(d, f)
	})
}

// Run handles events up to a time.
func (e *Events) Run(until time.Duration) {
	for len(e.heap) > 0 && e.heap[0].at <= until {
		next := heap.Pop(&e.heap).(event)
		e.now = next.at
		next.run()
	}
	e.now = until
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

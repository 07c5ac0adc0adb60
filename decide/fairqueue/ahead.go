package fairqueue

import (
	"math"
	"time"
)

// Work is a number of requests and their cost in tokens.
type Work struct {
	Requests int
	Tokens   uint64
}

// Ahead estimates the queued work that is served before a request that arrives now. It
// is at most what is queued: a request of a member with a short queue, or an urgent one,
// does not wait for all of it. The headroom that borrowers leave is not included.
func (q *Queue[T]) Ahead(now time.Duration, name string, priority int32) Work {
	m, ok := q.members[name]
	if !ok {
		return Work{Requests: len(q.entries), Tokens: q.waitingCost}
	}
	var ahead Work
	arrival := q.effectiveArrival(now, priority)
	for _, i := range m.queue.items {
		if i.effectiveArrival <= arrival {
			ahead.Requests++
			ahead.Tokens += uint64(i.entry.Cost)
		}
	}
	tag := m.startTag
	if m.queue.Len() == 0 {
		tag = max(tag, q.virtualTime)
	}
	tag += (float64(ahead.Tokens) - float64(q.level(priority))*q.config.AdvantageTokens) / m.weight
	for _, o := range q.members {
		if o == m || o.queue.Len() == 0 || o.effectiveTag >= tag {
			continue
		}
		fraction := min((tag-o.effectiveTag)*o.weight/float64(o.waitingCost), 1)
		ahead.Requests += int(math.Ceil(fraction * float64(o.queue.Len())))
		ahead.Tokens += uint64(math.Ceil(fraction * float64(o.waitingCost)))
	}
	return ahead
}

// Displace makes room for a request that arrives now if the queue of its member is full:
// it removes and returns the member's request that would be served last, if that would be
// served after the new one. Since it arrived earlier, it is then less urgent. Otherwise the
// result is false.
func (q *Queue[T]) Displace(now time.Duration, name string, priority int32) (Entry[T], bool) {
	m, ok := q.members[name]
	if !ok || m.removed || m.queue.Len() == 0 || m.queue.Len() < m.maxQueued {
		return Entry[T]{}, false
	}
	last := m.queue.items[0]
	for _, i := range m.queue.items {
		if arrivesBefore(last, i) {
			last = i
		}
	}
	if last.effectiveArrival <= q.effectiveArrival(now, priority) {
		return Entry[T]{}, false
	}
	q.removeItem(last)
	return last.entry, true
}

// effectiveArrival returns the arrival time of a request that arrives now, adjusted for its
// priority.
func (q *Queue[T]) effectiveArrival(now time.Duration, priority int32) time.Duration {
	return now - time.Duration(q.level(priority))*q.config.AgeStep
}

package fairqueue

import (
	"math"
	"time"
)

// usage is the exponentially decayed cost used by all members. Later costs are
// scaled up relative to epoch, which avoids decaying every sum on each charge.
type usage struct {
	total float64
	epoch time.Duration
}

// maxScaleHorizons is the number of usage horizons after which all sums are
// scaled down, so that they stay finite.
const maxScaleHorizons = 100

// charge adds a cost to the usage of a member. Corrections may be negative.
func (q *Queue[T]) charge(now time.Duration, m *member[T], cost float64) {
	if q.config.UsageHorizon <= 0 {
		return
	}
	age := float64(now-q.usage.epoch) / float64(q.config.UsageHorizon)
	if age > maxScaleHorizons {
		q.scaleDown(math.Exp(-age))
		q.usage.epoch, age = now, 0
	}
	cost = max(cost*math.Exp(age), -m.usage)
	m.usage += cost
	q.usage.total += cost
}

func (q *Queue[T]) scaleDown(factor float64) {
	for _, m := range q.members {
		m.usage *= factor
	}
	q.usage.total *= factor
}

// classify updates whether a member is borrowing, that is, whether its usage exceeds
// BorrowFactor times its share of the total usage. If this changed, classify
// removes the member from its heap; the caller, updatePosition, adds it to the other
// heap.
func (q *Queue[T]) classify(m *member[T]) {
	borrowing := q.config.Headroom > 0 &&
		m.usage*q.totalWeight > q.config.BorrowFactor*q.usage.total*m.weight
	if borrowing == m.borrowing {
		return
	}
	q.heapOf(m).remove(m)
	m.borrowing = borrowing
	if borrowing {
		q.runningWithinShare -= m.running
	} else {
		q.runningWithinShare += m.running
	}
}

func (q *Queue[T]) heapOf(m *member[T]) *indexedHeap[*member[T]] {
	if m.borrowing {
		return &q.borrowers
	}
	return &q.withinShare
}

// nextMember returns the member to serve next, or nil if none may start a
// request. free is the number of requests that the upstream can still start. A
// borrower must leave headroom in proportion to the square root of the number of
// running requests of the others, which is the size of its random fluctuation.
// The first borrower is classified again beforehand, because it may be within its
// share now that the others have used more.
func (q *Queue[T]) nextMember(free int) *member[T] {
	if free <= 0 {
		return nil
	}
	if q.borrowers.Len() > 0 {
		q.updatePosition(q.borrowers.items[0])
	}
	var first *member[T]
	if q.withinShare.Len() > 0 {
		first = q.withinShare.items[0]
	}
	if q.borrowers.Len() == 0 || float64(free-1) < q.config.Headroom*math.Sqrt(float64(q.runningWithinShare)) {
		return first
	}
	borrower := q.borrowers.items[0]
	if first == nil || q.borrowers.less(borrower, first) {
		return borrower
	}
	return first
}

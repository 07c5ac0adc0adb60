package fairqueue

import (
	"math"
	"time"
)

// usage weighs the cost taken by its age, with exponential decay. Instead of
// shrinking all sums, later costs are scaled up.
type usage struct {
	total float64
	base  time.Duration
}

// maxGrowth is the number of horizons after which the sums are scaled down.
const maxGrowth = 100

// charge adds cost to a member's usage; a correction may be negative.
func (q *Queue[T]) charge(now time.Duration, m *member[T], cost float64) {
	if q.config.UsageHorizon <= 0 {
		return
	}
	age := float64(now-q.usage.base) / float64(q.config.UsageHorizon)
	if age > maxGrowth {
		q.scaleDown(math.Exp(-age))
		q.usage.base, age = now, 0
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

// classify says anew whether a member used more than its share of what all
// members used, and moves it to the heap where it belongs.
func (q *Queue[T]) classify(m *member[T]) {
	borrows := q.config.Headroom > 0 &&
		m.usage*q.weights > q.config.BorrowFactor*q.usage.total*m.weight
	if borrows == m.borrows {
		return
	}
	q.heapOf(m).remove(m)
	m.borrows = borrows
	if borrows {
		q.running -= m.running
	} else {
		q.running += m.running
	}
}

func (q *Queue[T]) heapOf(m *member[T]) *ordered[*member[T]] {
	if m.borrows {
		return &q.borrowing
	}
	return &q.within
}

// next returns the member to serve. A borrower has to leave headroom, which is
// sized like the fluctuation of the running requests of the others. Usage is
// looked at again before a borrower is held back, because others used more
// since.
func (q *Queue[T]) next(free int) *member[T] {
	if free <= 0 {
		return nil
	}
	if q.borrowing.Len() > 0 {
		q.rerank(q.borrowing.items[0])
	}
	var first *member[T]
	if q.within.Len() > 0 {
		first = q.within.items[0]
	}
	if q.borrowing.Len() == 0 || float64(free-1) < q.config.Headroom*math.Sqrt(float64(q.running)) {
		return first
	}
	lent := q.borrowing.items[0]
	if first == nil || q.borrowing.less(lent, first) {
		return lent
	}
	return first
}

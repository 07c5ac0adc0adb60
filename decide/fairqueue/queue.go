package fairqueue

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Config holds what priorities are worth.
type Config struct {
	// AgeStep is the waiting time that makes up for one level of priority
	// within a member's queue.
	AgeStep time.Duration
	// MaxPriority bounds the levels, in both directions.
	MaxPriority int32
	// AdvantageTokens is how far one level moves a member ahead of others.
	AdvantageTokens float64
	// Headroom keeps room for members within their shares: a borrower starts
	// only if more than Headroom times the square root of the running requests
	// of the others could start after it. Zero lends all idle room.
	Headroom float64
	// UsageHorizon is the period over which a member's usage is weighed.
	UsageHorizon time.Duration
	// BorrowFactor is the multiple of its share above which a member borrows.
	BorrowFactor float64
}

// Entry is a request that waits.
type Entry[T any] struct {
	ID     api.SendID
	Member string
	// Cost is the estimate in tokens; it counts as at least one.
	Cost     uint32
	Priority int32
	Deadline time.Duration
	Value    T
}

// Queue is the state of one upstream. The control goroutine owns it.
type Queue[T any] struct {
	config  Config
	members map[string]*member[T]
	entries map[api.SendID]*item[T]
	// within and borrowing order the members that have entries, due all entries.
	within    ordered[*member[T]]
	borrowing ordered[*member[T]]
	due       ordered[*item[T]]
	virtual   float64
	arrived   uint64
	usage     usage
	weights   float64
	// waiting is the cost of all requests that wait.
	waiting uint64
	// running counts the running requests of members that do not borrow.
	running int
}

type member[T any] struct {
	name   string
	weight float64
	limit  int
	queue  ordered[*item[T]]
	// tag is the start tag of the next request.
	tag     float64
	rank    float64
	waiting uint64
	usage   float64
	running int
	// borrows says which of the two heaps the member belongs to.
	borrows bool
	removed bool
	place   int
}

type item[T any] struct {
	entry  Entry[T]
	member *member[T]
	// turn is the arrival time moved by the priority.
	turn     time.Duration
	arrival  uint64
	place    int
	duePlace int
}

// New returns a queue without members.
func New[T any](c Config) *Queue[T] {
	q := &Queue[T]{
		config:  c,
		members: make(map[string]*member[T]),
		entries: make(map[api.SendID]*item[T]),
	}
	for _, h := range []*ordered[*member[T]]{&q.within, &q.borrowing} {
		h.less = func(a, b *member[T]) bool {
			return a.rank < b.rank || (a.rank == b.rank && a.name < b.name)
		}
		h.place = func(m *member[T]) *int { return &m.place }
	}
	q.due = ordered[*item[T]]{
		less: func(a, b *item[T]) bool {
			return a.entry.Deadline < b.entry.Deadline ||
				(a.entry.Deadline == b.entry.Deadline && a.arrival < b.arrival)
		},
		place: func(i *item[T]) *int { return &i.duePlace },
	}
	return q
}

// minWeight keeps tags finite for a member without a share.
const minWeight = 1e-6

// SetMember adds a member or changes its weight and the bound of its queue.
// What already waits stays, even above a lower bound.
func (q *Queue[T]) SetMember(name string, weight float64, limit int) {
	m, ok := q.members[name]
	if !ok {
		m = &member[T]{name: name, place: absent, tag: q.virtual}
		m.queue = ordered[*item[T]]{less: sooner[T], place: func(i *item[T]) *int { return &i.place }}
		q.members[name] = m
	}
	q.weights -= m.weight
	m.weight, m.limit, m.removed = max(weight, minWeight), limit, false
	q.weights += m.weight
	q.rerank(m)
}

// RemoveMember refuses further requests of a member. What waits is still served.
func (q *Queue[T]) RemoveMember(name string) {
	m, ok := q.members[name]
	if !ok {
		return
	}
	m.removed = true
	q.forget(m)
}

func (q *Queue[T]) forget(m *member[T]) {
	if m.removed && m.queue.Len() == 0 && m.running == 0 {
		q.weights -= m.weight
		q.usage.total -= m.usage
		delete(q.members, m.name)
	}
}

func sooner[T any](a, b *item[T]) bool {
	return a.turn < b.turn || (a.turn == b.turn && a.arrival < b.arrival)
}

// Push adds a request, or refuses it as not run.
func (q *Queue[T]) Push(now time.Duration, e Entry[T]) *api.Failure {
	m, ok := q.members[e.Member]
	switch {
	case !ok || m.removed:
		return api.Fail(api.CodeForbidden, api.NotRun, "the member has no share of this upstream")
	case q.entries[e.ID] != nil:
		return api.Fail(api.CodeReplayed, api.Unknown, "the send is queued already")
	case now >= e.Deadline:
		return api.Fail(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed before the request was queued")
	case m.queue.Len() >= m.limit:
		q.rerank(m)
		return api.Fail(api.CodeQueueFull, api.NotRun, "the member's queue is full")
	}
	e.Cost = max(e.Cost, 1)
	q.arrived++
	i := &item[T]{entry: e, member: m, arrival: q.arrived}
	i.turn = now - time.Duration(q.level(e.Priority))*q.config.AgeStep
	if m.queue.Len() == 0 {
		m.tag = max(m.tag, q.virtual)
	}
	q.entries[e.ID] = i
	q.due.add(i)
	m.queue.add(i)
	m.waiting += uint64(e.Cost)
	q.waiting += uint64(e.Cost)
	q.rerank(m)
	return nil
}

// Peek returns the request that Pop would take.
func (q *Queue[T]) Peek(free int) (Entry[T], bool) {
	m := q.next(free)
	if m == nil {
		return Entry[T]{}, false
	}
	return m.queue.items[0].entry, true
}

// Pop takes the next request and charges its cost to the member. The upstream
// has room to start free more requests.
func (q *Queue[T]) Pop(now time.Duration, free int) (Entry[T], bool) {
	m := q.next(free)
	if m == nil {
		return Entry[T]{}, false
	}
	i := m.queue.items[0]
	q.virtual = max(q.virtual, m.tag)
	m.tag += float64(i.entry.Cost) / m.weight
	m.running++
	if !m.borrows {
		q.running++
	}
	q.charge(now, m, float64(i.entry.Cost))
	q.take(i)
	return i.entry, true
}

// Finish ends a request that was popped and replaces its estimated cost by the
// actual one.
func (q *Queue[T]) Finish(now time.Duration, name string, estimated, actual uint32) {
	m, ok := q.members[name]
	if !ok || m.running == 0 {
		return
	}
	m.running--
	if !m.borrows {
		q.running--
	}
	correction := float64(max(actual, 1)) - float64(max(estimated, 1))
	m.tag += correction / m.weight
	q.charge(now, m, correction)
	q.rerank(m)
	q.forget(m)
}

// Cancel removes a request that waits.
func (q *Queue[T]) Cancel(id api.SendID) (Entry[T], bool) {
	i, ok := q.entries[id]
	if !ok {
		return Entry[T]{}, false
	}
	q.take(i)
	return i.entry, true
}

// Expire removes the requests whose deadline has come.
func (q *Queue[T]) Expire(now time.Duration) []Entry[T] {
	var late []Entry[T]
	for q.due.Len() > 0 && q.due.items[0].entry.Deadline <= now {
		i := q.due.items[0]
		q.take(i)
		late = append(late, i.entry)
	}
	return late
}

// NextDeadline returns the earliest deadline of a request that waits.
func (q *Queue[T]) NextDeadline() (time.Duration, bool) {
	if q.due.Len() == 0 {
		return 0, false
	}
	return q.due.items[0].entry.Deadline, true
}

// Drain removes all requests, none of which was run, by deadline.
func (q *Queue[T]) Drain() []Entry[T] {
	all := make([]Entry[T], 0, q.due.Len())
	for q.due.Len() > 0 {
		i := q.due.items[0]
		q.take(i)
		all = append(all, i.entry)
	}
	return all
}

// Len returns the number of requests that wait.
func (q *Queue[T]) Len() int { return len(q.entries) }

// WaitingCost returns the cost of all requests that wait.
func (q *Queue[T]) WaitingCost() uint64 { return q.waiting }

// Waiting returns the cost of a member's requests that wait.
func (q *Queue[T]) Waiting(name string) uint64 {
	if m, ok := q.members[name]; ok {
		return m.waiting
	}
	return 0
}

func (q *Queue[T]) take(i *item[T]) {
	m := i.member
	delete(q.entries, i.entry.ID)
	q.due.remove(i)
	m.queue.remove(i)
	m.waiting -= uint64(i.entry.Cost)
	q.waiting -= uint64(i.entry.Cost)
	q.rerank(m)
	q.forget(m)
}

// rerank puts a member where its tag, its usage and the priority of its next
// request belong, or takes it out if nothing waits.
func (q *Queue[T]) rerank(m *member[T]) {
	q.classify(m)
	h := q.heapOf(m)
	if m.queue.Len() == 0 {
		h.remove(m)
		return
	}
	level := q.level(m.queue.items[0].entry.Priority)
	m.rank = m.tag - float64(level)*q.config.AdvantageTokens/m.weight
	if m.place == absent {
		h.add(m)
		return
	}
	h.update(m)
}

func (q *Queue[T]) level(priority int32) int32 {
	return min(max(priority, -q.config.MaxPriority), q.config.MaxPriority)
}

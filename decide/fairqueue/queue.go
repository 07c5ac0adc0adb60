package fairqueue

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Config holds the settings for priorities and borrowing.
type Config struct {
	// AgeStep is the waiting time that has the same effect as one priority level
	// within a member's queue.
	AgeStep time.Duration
	// MaxPriority is the highest priority level, -MaxPriority the lowest.
	MaxPriority int32
	// AdvantageTokens is the number of tokens by which one priority level moves
	// a member ahead of others.
	AdvantageTokens float64
	// Headroom reserves capacity for members within their shares: a borrower
	// starts a request only if at least Headroom times the square root of the
	// running requests of the others could start after it. With zero, members
	// may borrow all idle capacity.
	Headroom float64
	// UsageHorizon is the time constant of the exponential decay of usage. Zero
	// disables the tracking of usage.
	UsageHorizon time.Duration
	// BorrowFactor is the multiple of its share of usage above which a member
	// is borrowing.
	BorrowFactor float64
}

// Entry is a queued request.
type Entry[T any] struct {
	ID     api.AttemptID
	Member string
	// Cost is the estimated cost in tokens; zero counts as one.
	Cost     uint32
	Priority int32
	// Deadline is when the request expires, in the elapsed time that callers pass
	// as now.
	Deadline time.Duration
	Value    T
}

// Queue holds the queues of one upstream. The control goroutine owns it.
type Queue[T any] struct {
	config  Config
	members map[string]*member[T]
	entries map[api.AttemptID]*item[T]
	// withinShare and borrowers hold the members with queued entries, sorted by
	// effectiveTag; byDeadline holds all entries.
	withinShare  indexedHeap[*member[T]]
	borrowers    indexedHeap[*member[T]]
	byDeadline   indexedHeap[*item[T]]
	virtualTime  float64
	lastSequence uint64
	usage        usage
	totalWeight  float64
	// waitingCost is the total cost of all queued requests.
	waitingCost uint64
	// runningWithinShare counts the running requests of members that are not
	// borrowing.
	runningWithinShare int
}

type member[T any] struct {
	name      string
	weight    float64
	maxQueued int
	queue     indexedHeap[*item[T]]
	// startTag is the virtual start time of the member's next request.
	startTag float64
	// effectiveTag is startTag, adjusted for the priority of the next request.
	effectiveTag float64
	waitingCost  uint64
	// usage is the member's part of Queue.usage.total.
	usage   float64
	running int
	// borrowing selects the heap that holds the member: borrowers or
	// withinShare.
	borrowing bool
	removed   bool
	heapIndex int
}

type item[T any] struct {
	entry  Entry[T]
	member *member[T]
	// effectiveArrival is the arrival time, adjusted for the priority.
	effectiveArrival time.Duration
	sequence         uint64
	heapIndex        int
	deadlineIndex    int
}

// New returns a queue without members.
func New[T any](c Config) *Queue[T] {
	q := &Queue[T]{
		config:  c,
		members: make(map[string]*member[T]),
		entries: make(map[api.AttemptID]*item[T]),
	}
	for _, h := range []*indexedHeap[*member[T]]{&q.withinShare, &q.borrowers} {
		h.less = func(a, b *member[T]) bool {
			return a.effectiveTag < b.effectiveTag || (a.effectiveTag == b.effectiveTag && a.name < b.name)
		}
		h.index = func(m *member[T]) *int { return &m.heapIndex }
	}
	q.byDeadline = indexedHeap[*item[T]]{
		less: func(a, b *item[T]) bool {
			return a.entry.Deadline < b.entry.Deadline ||
				(a.entry.Deadline == b.entry.Deadline && a.sequence < b.sequence)
		},
		index: func(i *item[T]) *int { return &i.deadlineIndex },
	}
	return q
}

// minWeight keeps the start tag of a member with zero weight finite.
const minWeight = 1e-6

// SetMember adds a member, or changes its weight and the size limit of its
// queue. Queued requests stay, even if they exceed a lowered limit.
func (q *Queue[T]) SetMember(name string, weight float64, limit int) {
	m, ok := q.members[name]
	if !ok {
		m = &member[T]{name: name, heapIndex: notInHeap, startTag: q.virtualTime}
		m.queue = indexedHeap[*item[T]]{less: arrivesBefore[T], index: func(i *item[T]) *int { return &i.heapIndex }}
		q.members[name] = m
	}
	q.totalWeight -= m.weight
	m.weight, m.maxQueued, m.removed = max(weight, minWeight), limit, false
	q.totalWeight += m.weight
	q.updatePosition(m)
}

// RemoveMember refuses further requests of a member. Queued requests are still
// served.
func (q *Queue[T]) RemoveMember(name string) {
	m, ok := q.members[name]
	if !ok {
		return
	}
	m.removed = true
	q.removeIfIdle(m)
}

func (q *Queue[T]) removeIfIdle(m *member[T]) {
	if m.removed && m.queue.Len() == 0 && m.running == 0 {
		q.totalWeight -= m.weight
		q.usage.total -= m.usage
		delete(q.members, m.name)
	}
}

func arrivesBefore[T any](a, b *item[T]) bool {
	return a.effectiveArrival < b.effectiveArrival || (a.effectiveArrival == b.effectiveArrival && a.sequence < b.sequence)
}

// Push adds a request to the queue of its member. It returns the failure if the
// request is refused.
func (q *Queue[T]) Push(now time.Duration, e Entry[T]) *api.Failure {
	m, ok := q.members[e.Member]
	switch {
	case !ok || m.removed:
		return api.NewFailure(api.CodeForbidden, api.NotRun, "the member has no share of this upstream")
	case q.entries[e.ID] != nil:
		return api.NewFailure(api.CodeReplayed, api.RunUnknown, "the attempt is already queued")
	case now >= e.Deadline:
		return api.NewFailure(api.CodeDeadlineExceeded, api.NotRun, "the deadline passed before the request was queued")
	case m.queue.Len() >= m.maxQueued:
		q.updatePosition(m)
		return api.NewFailure(api.CodeQueueFull, api.NotRun, "the member's queue is full")
	}
	e.Cost = max(e.Cost, 1)
	q.lastSequence++
	i := &item[T]{entry: e, member: m, sequence: q.lastSequence, effectiveArrival: q.effectiveArrival(now, e.Priority)}
	if m.queue.Len() == 0 {
		m.startTag = max(m.startTag, q.virtualTime)
	}
	q.entries[e.ID] = i
	q.byDeadline.add(i)
	m.queue.add(i)
	m.waitingCost += uint64(e.Cost)
	q.waitingCost += uint64(e.Cost)
	q.updatePosition(m)
	return nil
}

// Peek returns the request that Pop would return for the same free, without
// removing it.
func (q *Queue[T]) Peek(free int) (Entry[T], bool) {
	m := q.nextMember(free)
	if m == nil {
		return Entry[T]{}, false
	}
	return m.queue.items[0].entry, true
}

// Pop removes and returns the next request and charges its cost to the member. free
// is the number of requests that the upstream can still start. The result is false
// if no request may start.
func (q *Queue[T]) Pop(now time.Duration, free int) (Entry[T], bool) {
	m := q.nextMember(free)
	if m == nil {
		return Entry[T]{}, false
	}
	i := m.queue.items[0]
	q.virtualTime = max(q.virtualTime, m.startTag)
	m.startTag += float64(i.entry.Cost) / m.weight
	m.running++
	if !m.borrowing {
		q.runningWithinShare++
	}
	q.charge(now, m, float64(i.entry.Cost))
	q.removeItem(i)
	return i.entry, true
}

// Finish records the end of a popped request and replaces its estimated cost
// by the actual one.
func (q *Queue[T]) Finish(now time.Duration, name string, estimated, actual uint32) {
	m, ok := q.members[name]
	if !ok || m.running == 0 {
		return
	}
	m.running--
	if !m.borrowing {
		q.runningWithinShare--
	}
	correction := float64(max(actual, 1)) - float64(max(estimated, 1))
	m.startTag += correction / m.weight
	q.charge(now, m, correction)
	q.updatePosition(m)
	q.removeIfIdle(m)
}

// Cancel removes and returns a queued request. The result is false if it is not
// queued.
func (q *Queue[T]) Cancel(id api.AttemptID) (Entry[T], bool) {
	i, ok := q.entries[id]
	if !ok {
		return Entry[T]{}, false
	}
	q.removeItem(i)
	return i.entry, true
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue[T]) Expire(now time.Duration) []Entry[T] {
	var expired []Entry[T]
	for q.byDeadline.Len() > 0 && q.byDeadline.items[0].entry.Deadline <= now {
		i := q.byDeadline.items[0]
		q.removeItem(i)
		expired = append(expired, i.entry)
	}
	return expired
}

// NextDeadline returns the earliest deadline of the queued requests, and false
// if there are none.
func (q *Queue[T]) NextDeadline() (time.Duration, bool) {
	if q.byDeadline.Len() == 0 {
		return 0, false
	}
	return q.byDeadline.items[0].entry.Deadline, true
}

// Drain removes all queued requests, none of which has started, and returns them
// in order of deadline.
func (q *Queue[T]) Drain() []Entry[T] {
	all := make([]Entry[T], 0, q.byDeadline.Len())
	for q.byDeadline.Len() > 0 {
		i := q.byDeadline.items[0]
		q.removeItem(i)
		all = append(all, i.entry)
	}
	return all
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return len(q.entries) }

// WaitingCost returns the total cost of all queued requests.
func (q *Queue[T]) WaitingCost() uint64 { return q.waitingCost }

// MemberWaitingCost returns the total cost of a member's queued requests.
func (q *Queue[T]) MemberWaitingCost(name string) uint64 {
	if m, ok := q.members[name]; ok {
		return m.waitingCost
	}
	return 0
}

func (q *Queue[T]) removeItem(i *item[T]) {
	m := i.member
	delete(q.entries, i.entry.ID)
	q.byDeadline.remove(i)
	m.queue.remove(i)
	m.waitingCost -= uint64(i.entry.Cost)
	q.waitingCost -= uint64(i.entry.Cost)
	q.updatePosition(m)
	q.removeIfIdle(m)
}

// updatePosition classifies a member and moves it to its position in the heaps after
// its usage, start tag or next request changed. It removes a member without queued
// requests from its heap.
func (q *Queue[T]) updatePosition(m *member[T]) {
	q.classify(m)
	h := q.heapOf(m)
	if m.queue.Len() == 0 {
		h.remove(m)
		return
	}
	level := q.level(m.queue.items[0].entry.Priority)
	m.effectiveTag = m.startTag - float64(level)*q.config.AdvantageTokens/m.weight
	if m.heapIndex == notInHeap {
		h.add(m)
		return
	}
	h.update(m)
}

func (q *Queue[T]) level(priority int32) int32 {
	return min(max(priority, -q.config.MaxPriority), q.config.MaxPriority)
}

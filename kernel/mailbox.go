package kernel

import (
	"context"
	"sync/atomic"
	"time"
)

// Policy says what becomes of an event whose mailbox is full.
type Policy int

const (
	// Wait holds the sender back until there is room.
	Wait Policy = iota
	// Drop refuses the event and counts it.
	Drop
	// Latest keeps only the newest event that was not handled yet.
	Latest
)

// MailboxCounters are totals since the start of the process.
type MailboxCounters struct {
	Name     string
	Posted   uint64
	Dropped  uint64
	Replaced uint64
	Waited   uint64
}

// Mailbox carries events of one type to the control loop.
type Mailbox[E any] struct {
	name   string
	policy Policy
	loop   *Loop
	events chan E
	latest atomic.Pointer[E]
	handle func(now time.Duration, e E)

	posted, dropped, replaced, waited atomic.Uint64
}

// NewMailbox adds a mailbox to a loop that has not started. Events are
// handled in the order in which they were posted, also across mailboxes.
func NewMailbox[E any](l *Loop, name string, capacity int, p Policy, handle func(now time.Duration, e E)) *Mailbox[E] {
	if p == Latest {
		capacity = 1
	}
	m := &Mailbox[E]{
		name:   name,
		policy: p,
		loop:   l,
		events: make(chan E, capacity),
		handle: handle,
	}
	// The shared channel holds one entry for each event in any mailbox, so
	// announcing an event never blocks.
	l.capacity += capacity
	l.boxes = append(l.boxes, m)
	return m
}

// Post hands an event to the loop. It must not be called from the loop itself
// on a mailbox whose policy is Wait.
func (m *Mailbox[E]) Post(ctx context.Context, e E) error {
	if m.loop.ready == nil || m.loop.stopped() {
		return &LoopStoppedError{Mailbox: m.name}
	}
	if m.policy == Latest {
		m.postLatest(e)
		return nil
	}
	select {
	case m.events <- e:
	default:
		if err := m.postFull(ctx, e); err != nil {
			return err
		}
	}
	m.posted.Add(1)
	m.loop.ready <- m
	return nil
}

func (m *Mailbox[E]) postLatest(e E) {
	m.posted.Add(1)
	if m.latest.Swap(&e) != nil {
		m.replaced.Add(1)
		return
	}
	m.loop.ready <- m
}

func (m *Mailbox[E]) postFull(ctx context.Context, e E) error {
	if m.policy == Drop {
		m.dropped.Add(1)
		return &MailboxFullError{Mailbox: m.name}
	}
	m.waited.Add(1)
	select {
	case m.events <- e:
		return nil
	case <-ctx.Done():
		return &CanceledError{Mailbox: m.name, Err: context.Cause(ctx)}
	case <-m.loop.stop:
		return &LoopStoppedError{Mailbox: m.name}
	}
}

// Counters returns the totals of this mailbox.
func (m *Mailbox[E]) Counters() MailboxCounters {
	return MailboxCounters{
		Name:     m.name,
		Posted:   m.posted.Load(),
		Dropped:  m.dropped.Load(),
		Replaced: m.replaced.Load(),
		Waited:   m.waited.Load(),
	}
}

func (m *Mailbox[E]) dispatch(now time.Duration) {
	if m.policy == Latest {
		if e := m.latest.Swap(nil); e != nil {
			m.handle(now, *e)
		}
		return
	}
	m.handle(now, <-m.events)
}

func (l *Loop) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// Call is an event that is answered. The handler may keep it and reply later,
// which is how a request waits in a queue without holding the loop.
type Call[Q, R any] struct {
	Query Q
	reply chan R
}

// Reply answers the call. Only the first reply counts.
func (c Call[Q, R]) Reply(r R) {
	select {
	case c.reply <- r:
	default:
	}
}

// Ask posts a call and waits for its reply. If ctx ends first the call may
// still be answered; a handler that keeps calls must be told by another event.
func Ask[Q, R any](ctx context.Context, m *Mailbox[Call[Q, R]], q Q) (R, error) {
	var zero R
	c := Call[Q, R]{Query: q, reply: make(chan R, 1)}
	if err := m.Post(ctx, c); err != nil {
		return zero, err
	}
	select {
	case r := <-c.reply:
		return r, nil
	case <-ctx.Done():
		return zero, &CanceledError{Mailbox: m.name, Err: context.Cause(ctx)}
	case <-m.loop.done:
		return zero, &LoopStoppedError{Mailbox: m.name}
	}
}

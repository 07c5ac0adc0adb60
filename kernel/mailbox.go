package kernel

import (
	"context"
	"sync/atomic"
	"time"
)

// OverflowPolicy determines the handling of an event posted to a full mailbox.
type OverflowPolicy int

const (
	// Wait blocks the sender until there is space.
	Wait OverflowPolicy = iota
	// Drop refuses the event with MailboxFullError and counts it.
	Drop
	// Latest replaces an event that is not handled yet by the new one, which is
	// handled at the position of the replaced event.
	Latest
)

// MailboxCounters counts the events of one mailbox since the start of the process.
type MailboxCounters struct {
	Name string
	// Posted counts the accepted events, including those replaced later.
	Posted uint64
	// Dropped counts the events refused by Drop.
	Dropped uint64
	// Replaced counts the events replaced by a newer one under Latest.
	Replaced uint64
	// Waited counts the events whose sender blocked under Wait, even if the sender
	// gave up.
	Waited uint64
}

// Mailbox carries events of one type to the control loop.
type Mailbox[E any] struct {
	name   string
	policy OverflowPolicy
	loop   *Loop
	events chan E
	latest atomic.Pointer[E]
	handle func(now time.Duration, e E)

	posted, dropped, replaced, waited atomic.Uint64
}

// NewMailbox adds a mailbox to a loop that has not started. The loop calls handle
// for each event in posting order across all mailboxes, except under Latest.
// The capacity is the number of events that the mailbox holds; it is 1 under Latest.
func NewMailbox[E any](l *Loop, name string, capacity int, p OverflowPolicy, handle func(now time.Duration, e E)) *Mailbox[E] {
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
	// The channel l.ready has space for the events of all mailboxes, so sending
	// to it never blocks.
	l.capacity += capacity
	l.mailboxes = append(l.mailboxes, m)
	return m
}

// Post sends an event to the loop. With the policy Wait it must not be called on
// the loop itself, which would deadlock if the mailbox is full. It returns
// MailboxFullError, CanceledError or LoopStoppedError if the event was not accepted.
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
		if err := m.postWhenFull(ctx, e); err != nil {
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

func (m *Mailbox[E]) postWhenFull(ctx context.Context, e E) error {
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

// Counters returns the counters of the mailbox.
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

// Call is an event that expects a reply. The handler may store the call and reply
// later, so that a request can wait in a queue without blocking the loop.
type Call[Q, R any] struct {
	Query Q
	reply chan R
}

// Reply sends the reply. It never blocks. Replies after the first are ignored.
func (c Call[Q, R]) Reply(r R) {
	select {
	case c.reply <- r:
	default:
	}
}

// Ask posts a call and waits for its reply. If ctx ends first, Ask returns
// CanceledError and the handler is not notified: a handler that stores calls needs
// another event to discard them.
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

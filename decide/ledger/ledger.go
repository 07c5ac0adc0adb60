package ledger

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// Ledger is the state of one agent. The control goroutine owns it.
type Ledger struct {
	id     Identity
	limits Limits
	// started is when this incarnation began with an empty ledger.
	started time.Duration
	list    upstreamList

	entries map[scope]*entry
	// open finds queued and running entries by each of their sends.
	open       map[api.SendID]*entry
	tombstones map[api.SendID]*tombstone
	members    map[string]*memberState
	closed     retained
	marks      evictionMarks
	bytes      int
	counts     Counts
}

// upstreamList is the service's list of configured upstreams.
type upstreamList struct {
	names     []string
	since     time.Duration
	confirmed time.Duration
}

// scope keeps the keys of members apart.
type scope struct{ member, key string }

type memberState struct {
	entries    int
	tombstones int
	floor      time.Duration
	hasFloor   bool
}

type phase int

const (
	queued phase = iota
	running
	done
)

type entry struct {
	scope       scope
	key         idemkey.Key
	bodyHash    uint64
	incarnation api.Incarnation
	phase       phase
	sends       []waiting
	// bytes is the reservation for the answer, then the size of it.
	bytes   int
	outcome api.Outcome
	closed  time.Duration
}

// waiting is a send that the entry will answer; the first is the owner.
type waiting struct {
	send     api.SendID
	stamp    time.Duration
	deadline time.Duration
	canceled bool
}

type tombstone struct {
	scope scope
	key   idemkey.Key
	send  api.SendID
	stamp time.Duration
}

// New returns an empty ledger of an agent that starts now.
func New(now time.Duration, id Identity, limits Limits) *Ledger {
	return &Ledger{
		id:         id,
		limits:     limits,
		started:    now,
		entries:    make(map[scope]*entry),
		open:       make(map[api.SendID]*entry),
		tombstones: make(map[api.SendID]*tombstone),
		members:    make(map[string]*memberState),
	}
}

// SetLimits replaces the limits. Outcomes that are recorded keep their period.
func (l *Ledger) SetLimits(limits Limits) { l.limits = limits }

// SetList states the service's configured upstreams, on each accepted
// configuration. An equal list keeps its age.
func (l *Ledger) SetList(now time.Duration, names []string) {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	if !slices.Equal(sorted, l.list.names) || l.list.names == nil {
		l.list.names, l.list.since = sorted, now
	}
	l.list.confirmed = now
}

// ConfirmList notes that the platform or a peer confirmed the configuration.
func (l *Ledger) ConfirmList(now time.Duration) { l.list.confirmed = max(l.list.confirmed, now) }

// Renew gives the agent a new incarnation, as after a VM was restored from an
// image. Whatever is queued under the former one will not start.
func (l *Ledger) Renew(now time.Duration, i api.Incarnation) {
	l.id.Incarnation, l.started = i, now
}

// Counts returns sizes and totals.
func (l *Ledger) Counts() Counts {
	c := l.counts
	c.Entries, c.Tombstones, c.Bytes = len(l.entries), len(l.tombstones), l.bytes
	return c
}

func (l *Ledger) member(name string) *memberState {
	m, ok := l.members[name]
	if !ok {
		m = &memberState{}
		l.members[name] = m
	}
	return m
}

// bury makes sure that a send never starts. It must only be called for a send
// that is not part of an open entry, or while that entry is removed.
func (l *Ledger) bury(now time.Duration, t tombstone) {
	if _, ok := l.tombstones[t.send]; ok {
		return
	}
	m := l.member(t.scope.member)
	if m.tombstones >= l.limits.MemberTombstones {
		if !m.hasFloor || t.stamp > m.floor {
			m.floor, m.hasFloor = t.stamp, true
		}
		l.counts.FloorsRaised++
		return
	}
	m.tombstones++
	l.tombstones[t.send] = &t
	l.retain(record{expires: now + l.limits.keep(t.key), closed: now, tombstone: &t})
}

// underFloor reports whether a send falls under a floor that was raised in
// place of a tombstone.
func (l *Ledger) underFloor(member string, stamp time.Duration) bool {
	m, ok := l.members[member]
	return ok && m.hasFloor && stamp <= m.floor
}

// full reports whether a further entry of the member finds no room.
func (l *Ledger) full(member string) bool {
	if len(l.entries) >= l.limits.Entries || l.bytes+l.limits.AnswerBytes > l.limits.Bytes {
		return true
	}
	m, ok := l.members[member]
	return ok && l.limits.MemberEntries > 0 && m.entries >= l.limits.MemberEntries
}

package ledger

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// Ledger holds the state of one agent. The control goroutine owns it.
type Ledger struct {
	id     Identity
	limits Limits
	// startedAt is the time at which this incarnation started with an empty
	// ledger.
	startedAt time.Duration
	upstreams upstreamList

	entries map[scopedKey]*entry
	// openByAttempt maps each attempt to its entry while the entry is queued or
	// running.
	openByAttempt map[api.AttemptID]*entry
	tombstones    map[api.AttemptID]*tombstone
	members       map[string]*memberState
	retained      recordHeap
	evicted       evictionWatermarks
	bytes         int
	counts        Counts
}

// upstreamList holds the configured upstreams of the service.
type upstreamList struct {
	names       []string
	changedAt   time.Duration
	confirmedAt time.Duration
}

// scopedKey is a key with its member, since two members may use the same key.
type scopedKey struct{ member, key string }

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
	scope       scopedKey
	key         idemkey.Key
	bodyHash    uint64
	incarnation api.Incarnation
	phase       phase
	attempts    []attachedAttempt
	// bytes is the space reserved for the response, and once the entry is done
	// the size of the recorded response.
	bytes    int
	outcome  api.Outcome
	closedAt time.Duration
}

// attachedAttempt is an attempt that receives the outcome of an entry. The first
// attempt of an entry is its owner.
type attachedAttempt struct {
	id        api.AttemptID
	timestamp time.Duration
	deadline  time.Duration
	canceled  bool
}

type tombstone struct {
	scope     scopedKey
	key       idemkey.Key
	attempt   api.AttemptID
	timestamp time.Duration
}

// New returns an empty ledger for an agent that starts now.
func New(now time.Duration, id Identity, limits Limits) *Ledger {
	return &Ledger{
		id:            id,
		limits:        limits,
		startedAt:     now,
		entries:       make(map[scopedKey]*entry),
		openByAttempt: make(map[api.AttemptID]*entry),
		tombstones:    make(map[api.AttemptID]*tombstone),
		members:       make(map[string]*memberState),
	}
}

// SetLimits replaces the limits. Recorded outcomes keep their expiry times.
func (l *Ledger) SetLimits(limits Limits) { l.limits = limits }

// SetList sets the configured upstreams of the service. It is called for each
// accepted configuration; an unchanged list keeps its age.
func (l *Ledger) SetList(now time.Duration, names []string) {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	if !slices.Equal(sorted, l.upstreams.names) || l.upstreams.names == nil {
		l.upstreams.names, l.upstreams.changedAt = sorted, now
	}
	l.upstreams.confirmedAt = now
}

// ConfirmList records that the platform or a peer confirmed the configuration.
func (l *Ledger) ConfirmList(now time.Duration) {
	l.upstreams.confirmedAt = max(l.upstreams.confirmedAt, now)
}

// SetIncarnation sets a new incarnation of the agent, for instance after a VM
// was restored from an image. Entries queued under the previous incarnation
// will not start.
func (l *Ledger) SetIncarnation(now time.Duration, i api.Incarnation) {
	l.id.Incarnation, l.startedAt = i, now
}

// Counts returns the current sizes and totals.
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

// addTombstone ensures that an attempt never starts. The attempt must not belong to
// an open entry, unless that entry is being removed.
func (l *Ledger) addTombstone(now time.Duration, t tombstone) {
	if _, ok := l.tombstones[t.attempt]; ok {
		return
	}
	m := l.member(t.scope.member)
	if m.tombstones >= l.limits.MemberTombstones {
		if !m.hasFloor || t.timestamp > m.floor {
			m.floor, m.hasFloor = t.timestamp, true
		}
		l.counts.FloorsRaised++
		return
	}
	m.tombstones++
	l.tombstones[t.attempt] = &t
	l.retain(record{expiresAt: now + l.limits.retentionOf(t.key), closedAt: now, tombstone: &t})
}

// belowFloor reports whether an attempt with the timestamp must not start because
// the member's floor was raised in place of a tombstone.
func (l *Ledger) belowFloor(member string, timestamp time.Duration) bool {
	m, ok := l.members[member]
	return ok && m.hasFloor && timestamp <= m.floor
}

// isFull reports whether a limit on entries or bytes prevents another entry for the
// member.
func (l *Ledger) isFull(member string) bool {
	if len(l.entries) >= l.limits.Entries || l.bytes+l.limits.ResponseBytes > l.limits.Bytes {
		return true
	}
	m, ok := l.members[member]
	return ok && l.limits.MemberEntries > 0 && m.entries >= l.limits.MemberEntries
}

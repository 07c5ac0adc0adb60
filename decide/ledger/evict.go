package ledger

import (
	"container/heap"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// record is a done entry or a tombstone, kept until it expires.
type record struct {
	expiresAt time.Duration
	// closedAt is when the entry was done or the tombstone was added.
	closedAt  time.Duration
	entry     *entry
	tombstone *tombstone
}

// evictionWatermarks holds the latest issue time of all evicted bound keys and the
// latest closing time of all evicted caller-made keys. Without them, an increase of
// the retention would make the ledger treat an evicted key as one that never ran.
type evictionWatermarks struct {
	boundIssuedAt, callerMadeClosedAt time.Duration
	hasBound, hasCallerMade           bool
}

func (m *evictionWatermarks) advance(k idemkey.Key, closedAt time.Duration) {
	if k.Bound != nil {
		m.boundIssuedAt, m.hasBound = max(m.boundIssuedAt, k.Bound.Issued), true
		return
	}
	m.callerMadeClosedAt, m.hasCallerMade = max(m.callerMadeClosedAt, closedAt), true
}

// mayHaveEvictedBound reports whether a bound key issued at the given time may have
// been evicted.
func (m *evictionWatermarks) mayHaveEvictedBound(issued time.Duration) bool {
	return m.hasBound && issued <= m.boundIssuedAt
}

// mayHaveEvictedCallerMade reports whether the caller-made key of an attempt made at
// madeAt may have been evicted. This is ruled out if the attempt was made at least
// a resend window after the latest closing time of an evicted caller-made key.
func (m *evictionWatermarks) mayHaveEvictedCallerMade(madeAt, resendWindow time.Duration) bool {
	return m.hasCallerMade && (madeAt <= m.callerMadeClosedAt || madeAt-m.callerMadeClosedAt < resendWindow)
}

func (l *Ledger) retain(r record) { heap.Push(&l.retained, r) }

// Evict removes entries and tombstones whose retention has expired.
func (l *Ledger) Evict(now time.Duration) {
	for len(l.retained) > 0 && l.retained[0].expiresAt <= now {
		r := heap.Pop(&l.retained).(record)
		l.counts.Evicted++
		if r.entry != nil {
			l.evicted.advance(r.entry.key, r.closedAt)
			l.remove(r.entry)
			continue
		}
		l.evicted.advance(r.tombstone.key, r.closedAt)
		delete(l.tombstones, r.tombstone.attempt)
		l.member(r.tombstone.scope.member).tombstones--
	}
}

// NextEviction returns the time at which the next record expires, and false if
// there is none.
func (l *Ledger) NextEviction() (time.Duration, bool) {
	if len(l.retained) == 0 {
		return 0, false
	}
	return l.retained[0].expiresAt, true
}

// recordHeap is a min-heap of records by expiry time.
type recordHeap []record

func (h recordHeap) Len() int           { return len(h) }
func (h recordHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h recordHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *recordHeap) Push(x any)        { *h = append(*h, x.(record)) }
func (h *recordHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = record{}
	*h = old[:len(old)-1]
	return last
}

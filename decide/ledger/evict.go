package ledger

import (
	"container/heap"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// record is a closed entry or a tombstone that is kept until it expires.
type record struct {
	expires   time.Duration
	closed    time.Duration
	entry     *entry
	tombstone *tombstone
}

// evictionMarks remember how recent the evicted records were. They keep a
// later increase of the retention from reviving keys that were forgotten.
type evictionMarks struct {
	bound, caller       time.Duration
	hasBound, hasCaller bool
}

func (m *evictionMarks) note(k idemkey.Key, closed time.Duration) {
	if k.Bound != nil {
		m.bound, m.hasBound = max(m.bound, k.Bound.Issued), true
		return
	}
	m.caller, m.hasCaller = max(m.caller, closed), true
}

// coverBound reports whether a bound key of that age may have been evicted.
func (m *evictionMarks) coverBound(issued time.Duration) bool {
	return m.hasBound && issued <= m.bound
}

// coverCaller reports whether a send of that time may repeat an evicted key.
func (m *evictionMarks) coverCaller(echo, window time.Duration) bool {
	return m.hasCaller && (echo <= m.caller || echo-m.caller < window)
}

func (l *Ledger) retain(r record) { heap.Push(&l.closed, r) }

// Evict forgets what has outlived its retention.
func (l *Ledger) Evict(now time.Duration) {
	for len(l.closed) > 0 && l.closed[0].expires <= now {
		r := heap.Pop(&l.closed).(record)
		l.counts.Evicted++
		if r.entry != nil {
			l.marks.note(r.entry.key, r.closed)
			l.remove(r.entry)
			continue
		}
		l.marks.note(r.tombstone.key, r.closed)
		delete(l.tombstones, r.tombstone.send)
		l.member(r.tombstone.scope.member).tombstones--
	}
}

// NextEviction returns when the next record expires, false if none is kept.
func (l *Ledger) NextEviction() (time.Duration, bool) {
	if len(l.closed) == 0 {
		return 0, false
	}
	return l.closed[0].expires, true
}

// retained is a heap of records, earliest expiry first.
type retained []record

func (h retained) Len() int           { return len(h) }
func (h retained) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h retained) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *retained) Push(x any)        { *h = append(*h, x.(record)) }
func (h *retained) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = record{}
	*h = old[:len(old)-1]
	return last
}

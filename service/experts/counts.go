package experts

import (
	"slices"
	"sync"

	"github.com/mulberryfork/mulberryfork/wire"
)

// told remembers the counts that a leader was sent last, so that the next
// answer holds only what was added.
type told struct {
	mu       sync.Mutex
	snapshot uint64
	counts   []uint64
}

// fill puts counts into a reply to a leader that has the snapshot since. The
// clock, in microseconds, numbers snapshots, so that those of an earlier start
// of this process are not taken for its own.
func (t *told) fill(reply *wire.RankReadReply, counts []uint64, since, clock uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if since != 0 && since == t.snapshot && grown(t.counts, counts) {
		reply.Base = since
		reply.State.Counts = make([]uint64, len(counts))
		for i := range counts {
			reply.State.Counts[i] = counts[i] - t.counts[i]
		}
	} else {
		reply.State.Counts = counts
	}
	t.snapshot, t.counts = max(clock, t.snapshot+1), counts
	reply.Snapshot = t.snapshot
}

// grown says whether no count is lower than before: those of a rank that
// started again are.
func grown(before, after []uint64) bool {
	if len(before) != len(after) {
		return false
	}
	for i := range before {
		if after[i] < before[i] {
			return false
		}
	}
	return true
}

// heard holds the counts of the ranks that a leader reads, by address.
type heard struct {
	mu    sync.Mutex
	ranks map[string]snapshot
}

type snapshot struct {
	number uint64
	counts []uint64
}

// since returns the snapshot that is held of a rank, 0 if none.
func (h *heard) since(address string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ranks[address].number
}

// take makes the counts of a reply whole. A reply to an earlier snapshot than
// the one held has none.
func (h *heard) take(address string, reply *wire.RankReadReply) {
	if reply.Snapshot == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.ranks[address]
	if reply.Base != 0 {
		if reply.Base != held.number || len(held.counts) != len(reply.State.Counts) {
			reply.State.Counts = nil
			return
		}
		whole := slices.Clone(held.counts)
		for i, added := range reply.State.Counts {
			whole[i] += added
		}
		reply.State.Counts = whole
	}
	if h.ranks == nil {
		h.ranks = make(map[string]snapshot)
	}
	h.ranks[address] = snapshot{number: reply.Snapshot, counts: reply.State.Counts}
}

package experts

import (
	"slices"
	"sync"

	"github.com/mulberryfork/mulberryfork/wire"
)

// countEncoder encodes the expert counts of the local rank as deltas against the
// snapshot that was last sent to a leader.
type countEncoder struct {
	mu           sync.Mutex
	lastSnapshot uint64
	lastCounts   []uint64
}

// encode writes counts into the reply: as a delta if the leader has the last
// snapshot and no count decreased, otherwise in full. since is the number of the
// leader's snapshot, 0 for none. clock is the Unix time in microseconds. It numbers
// the new snapshot, so that a restarted process does not reuse the numbers of its
// previous run.
func (e *countEncoder) encode(reply *wire.RankReadReply, counts []uint64, since, clock uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if since != 0 && since == e.lastSnapshot && nonDecreasing(e.lastCounts, counts) {
		reply.BaseSnapshot = since
		reply.State.Counts = make([]uint64, len(counts))
		for i := range counts {
			reply.State.Counts[i] = counts[i] - e.lastCounts[i]
		}
	} else {
		reply.State.Counts = counts
	}
	e.lastSnapshot, e.lastCounts = max(clock, e.lastSnapshot+1), counts
	reply.Snapshot = e.lastSnapshot
}

// nonDecreasing reports whether no count decreased. A decrease means that the rank
// restarted.
func nonDecreasing(before, after []uint64) bool {
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

// countDecoder reconstructs full counts from the replies of ranks. It keeps the
// last snapshot of each rank by address.
type countDecoder struct {
	mu        sync.Mutex
	snapshots map[string]countSnapshot
}

type countSnapshot struct {
	number uint64
	counts []uint64
}

// lastSnapshot returns the number of the last snapshot of a rank, 0 for none.
func (d *countDecoder) lastSnapshot(address string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshots[address].number
}

// decode replaces a delta in a reply by the full counts and keeps them as the
// rank's last snapshot. It clears the counts if the delta is against any snapshot
// other than the last one received.
func (d *countDecoder) decode(address string, reply *wire.RankReadReply) {
	if reply.Snapshot == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	base := d.snapshots[address]
	if reply.BaseSnapshot != 0 {
		if reply.BaseSnapshot != base.number || len(base.counts) != len(reply.State.Counts) {
			reply.State.Counts = nil
			return
		}
		counts := slices.Clone(base.counts)
		for i, increment := range reply.State.Counts {
			counts[i] += increment
		}
		reply.State.Counts = counts
	}
	if d.snapshots == nil {
		d.snapshots = make(map[string]countSnapshot)
	}
	d.snapshots[address] = countSnapshot{number: reply.Snapshot, counts: reply.State.Counts}
}

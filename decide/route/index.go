package route

import (
	"math"
	"time"
)

// maxHolders limits the upstreams remembered per block.
const maxHolders = 32

// heatHalfLife is the half-life of the measured use of a prefix.
const heatHalfLife = 10 * time.Second

// index maps block hashes to the upstreams that are expected to cache the
// block. It evicts the least recently written blocks first.
type index struct {
	maxEntries int
	entries    int
	evicted    uint64
	blocks     map[uint64]*block
	// recent is the head of a circular list, most recently written block first.
	recent block
}

type block struct {
	hash    uint64
	holders []holder
	// heat is the decayed use of the block at heatAt, in tokens.
	heat       float64
	heatAt     time.Duration
	prev, next *block
}

// holder is an upstream that is expected to cache a block.
type holder struct {
	up         *upstream
	generation uint32
	at         time.Duration
	// ticket is the send that added the entry. It is 0 once a cache event
	// confirmed it.
	ticket uint64
}

// match is the longest cached prefix on an upstream in the choice with the number
// serial. Matches of earlier choices are ignored.
type match struct {
	serial uint64
	blocks int
	stale  bool
}

func newIndex(maxEntries int) index {
	return index{maxEntries: maxEntries, blocks: make(map[uint64]*block)}
}

// put adds or confirms an entry. ticket is 0 for a cache event.
func (x *index) put(now time.Duration, h uint64, u *upstream, ticket uint64) {
	b := x.blocks[h]
	if b == nil {
		b = &block{hash: h}
		x.blocks[h] = b
	} else {
		b.unlink()
	}
	x.pushFront(b)
	b.put(now, u, ticket, &x.entries)
	for x.entries > x.maxEntries {
		x.evict(x.recent.prev)
	}
}

func (b *block) put(now time.Duration, u *upstream, ticket uint64, entries *int) {
	entry := holder{up: u, generation: u.cache.generation, at: now, ticket: ticket}
	oldest := 0
	for i := range b.holders {
		if b.holders[i].up == u {
			if b.holders[i].valid(now) && ticket != 0 {
				// A refused send must not retract what an earlier one added.
				entry.ticket = b.holders[i].ticket
			}
			b.holders[i] = entry
			return
		}
		if b.holders[i].at < b.holders[oldest].at {
			oldest = i
		}
	}
	if len(b.holders) >= maxHolders {
		b.holders[oldest] = entry
		return
	}
	b.holders = append(b.holders, entry)
	*entries++
}

// valid reports whether an entry may still be used.
func (h *holder) valid(now time.Duration) bool {
	c := &h.up.cache
	if h.up.removed || h.generation < c.minGeneration {
		return false
	}
	return h.generation == c.generation || now-h.at < staleTTL
}

// remove deletes an entry that the engine evicted.
func (x *index) remove(h uint64, u *upstream) {
	if b := x.blocks[h]; b != nil {
		x.removeIf(b, func(e *holder) bool { return e.up == u })
	}
}

// retract deletes the entries added by a send that did not run.
func (x *index) retract(prefix []uint64, u *upstream, ticket uint64) {
	for _, h := range prefix {
		if b := x.blocks[h]; b != nil {
			x.removeIf(b, func(e *holder) bool { return e.up == u && e.ticket == ticket })
		}
	}
}

func (x *index) removeIf(b *block, drop func(*holder) bool) {
	kept := b.holders[:0]
	for i := range b.holders {
		if !drop(&b.holders[i]) {
			kept = append(kept, b.holders[i])
		}
	}
	x.entries -= len(b.holders) - len(kept)
	clear(b.holders[len(kept):])
	b.holders = kept
	if len(kept) == 0 {
		b.unlink()
		delete(x.blocks, b.hash)
	}
}

// lookup sets the match of each upstream that holds a part of the prefix and
// returns the deepest block held by any upstream. Hashes are chained, so a
// block implies all blocks before it.
func (x *index) lookup(now time.Duration, prefix []uint64, serial uint64) *block {
	var deepest *block
	for i := len(prefix) - 1; i >= 0; i-- {
		b := x.blocks[prefix[i]]
		if b == nil {
			continue
		}
		for j := range b.holders {
			h := &b.holders[j]
			if h.up.match.serial == serial || !h.valid(now) {
				continue
			}
			stale := h.generation != h.up.cache.generation
			h.up.match = match{serial: serial, blocks: i + 1, stale: stale}
			if deepest == nil {
				deepest = b
			}
		}
	}
	return deepest
}

// addHeat adds the cost of a request, in tokens, to the decayed use of a block
// and returns the sum.
func (b *block) addHeat(now time.Duration, cost float64) float64 {
	age := float64(now-b.heatAt) / float64(heatHalfLife)
	b.heat = b.heat*math.Exp2(-age) + cost
	b.heatAt = now
	return b.heat
}

func (x *index) evict(b *block) {
	x.entries -= len(b.holders)
	x.evicted += uint64(len(b.holders))
	b.unlink()
	delete(x.blocks, b.hash)
}

func (x *index) pushFront(b *block) {
	head := &x.recent
	if head.next == nil {
		head.prev, head.next = head, head
	}
	b.prev, b.next = head, head.next
	b.next.prev, head.next = b, b
}

func (b *block) unlink() {
	b.prev.next, b.next.prev = b.next, b.prev
	b.prev, b.next = nil, nil
}

package modelengine

import (
	"container/list"
	"time"
)

// CacheEvent reports that a block was added to or evicted from the prefix cache.
type CacheEvent struct {
	// Seq numbers events from 1; a missing number means a lost event.
	Seq   uint64 `json:"seq"`
	Kind  string `json:"kind"`
	Block uint64 `json:"block"`

	visibleAt time.Duration
}

// Kinds of cache events.
const (
	CacheAdded   = "added"
	CacheEvicted = "dropped"
)

// maxCacheEvents is the length of the feed. Older events are dropped, which
// leaves a gap in Seq.
const maxCacheEvents = 4096

// cache is an LRU cache of prompt blocks.
type cache struct {
	capacity int
	recency  *list.List
	entries  map[uint64]*list.Element
	events   []CacheEvent
	seq      uint64
	// changed is closed when events are added.
	changed chan struct{}
}

func newCache(capacity int) *cache {
	return &cache{
		capacity: capacity,
		recency:  list.New(),
		entries:  map[uint64]*list.Element{},
		changed:  make(chan struct{}),
	}
}

// matchPrefix returns the length of the cached prefix in blocks and marks these
// blocks as recently used.
func (c *cache) matchPrefix(blocks []uint64) int {
	for i, b := range blocks {
		entry, ok := c.entries[b]
		if !ok {
			return i
		}
		c.recency.MoveToFront(entry)
	}
	return len(blocks)
}

// addBlocks adds blocks to the cache and publishes the resulting events. The lock
// must be held.
func (e *Engine) addBlocks(blocks []uint64) {
	c := e.volatile.cache
	for _, b := range blocks {
		if entry, ok := c.entries[b]; ok {
			c.recency.MoveToFront(entry)
			continue
		}
		c.entries[b] = c.recency.PushFront(b)
		e.publishCacheEvent(CacheAdded, b)
		if c.recency.Len() > c.capacity {
			oldest := c.recency.Remove(c.recency.Back()).(uint64)
			delete(c.entries, oldest)
			e.publishCacheEvent(CacheEvicted, oldest)
		}
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (e *Engine) publishCacheEvent(kind string, block uint64) {
	c := e.volatile.cache
	c.seq++
	if e.random.Float64() < e.options.CacheEventLoss {
		return
	}
	c.events = append(c.events, CacheEvent{
		Seq: c.seq, Kind: kind, Block: block,
		visibleAt: e.options.Clock.Now() + e.options.CacheEventLag,
	})
	if len(c.events) > maxCacheEvents {
		c.events = append([]CacheEvent(nil), c.events[len(c.events)-maxCacheEvents:]...)
	}
}

// eventsAfter returns the visible events after seq and the time at which the next
// event becomes visible.
func (c *cache) eventsAfter(seq uint64, now time.Duration) (events []CacheEvent, next time.Duration) {
	events = []CacheEvent{}
	for _, event := range c.events {
		if event.Seq <= seq {
			continue
		}
		if event.visibleAt > now {
			return events, event.visibleAt
		}
		events = append(events, event)
	}
	return events, 0
}

// cachedBlocks returns the given blocks that are cached.
func (c *cache) cachedBlocks(blocks []uint64) []uint64 {
	cached := []uint64{}
	for _, b := range blocks {
		if _, ok := c.entries[b]; ok {
			cached = append(cached, b)
		}
	}
	return cached
}

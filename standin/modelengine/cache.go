package modelengine

import (
	"container/list"
	"time"
)

// CacheEvent tells that a block entered or left the prefix cache.
type CacheEvent struct {
	// Seq counts events from 1; a number that is missing is a gap.
	Seq   uint64 `json:"seq"`
	Kind  string `json:"kind"`
	Block uint64 `json:"block"`

	visible time.Duration
}

// Kinds of cache events.
const (
	CacheAdded   = "added"
	CacheDropped = "dropped"
)

// maxCacheEvents bounds the feed; older events are lost, which shows as a gap.
const maxCacheEvents = 4096

// cache holds prompt blocks; the least recently used one is dropped first.
type cache struct {
	capacity int
	order    *list.List
	entries  map[uint64]*list.Element
	events   []CacheEvent
	seq      uint64
	// changed is closed when events were added.
	changed chan struct{}
}

func newCache(capacity int) *cache {
	return &cache{
		capacity: capacity,
		order:    list.New(),
		entries:  map[uint64]*list.Element{},
		changed:  make(chan struct{}),
	}
}

// touch marks the cached prefix as used and returns its length in blocks.
func (c *cache) touch(blocks []uint64) int {
	for i, b := range blocks {
		entry, ok := c.entries[b]
		if !ok {
			return i
		}
		c.order.MoveToFront(entry)
	}
	return len(blocks)
}

// learn adds blocks to the cache and publishes the events. The lock must be held.
func (e *Engine) learn(blocks []uint64) {
	c := e.life.cache
	for _, b := range blocks {
		if entry, ok := c.entries[b]; ok {
			c.order.MoveToFront(entry)
			continue
		}
		c.entries[b] = c.order.PushFront(b)
		e.publish(CacheAdded, b)
		if c.order.Len() > c.capacity {
			oldest := c.order.Remove(c.order.Back()).(uint64)
			delete(c.entries, oldest)
			e.publish(CacheDropped, oldest)
		}
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (e *Engine) publish(kind string, block uint64) {
	c := e.life.cache
	c.seq++
	if e.random.Float64() < e.options.CacheEventLoss {
		return
	}
	c.events = append(c.events, CacheEvent{
		Seq: c.seq, Kind: kind, Block: block,
		visible: e.options.Clock.Now() + e.options.CacheEventLag,
	})
	if len(c.events) > maxCacheEvents {
		c.events = append([]CacheEvent(nil), c.events[len(c.events)-maxCacheEvents:]...)
	}
}

// after returns the visible events behind seq, and when the next becomes visible.
func (c *cache) after(seq uint64, now time.Duration) (events []CacheEvent, next time.Duration) {
	events = []CacheEvent{}
	for _, event := range c.events {
		if event.Seq <= seq {
			continue
		}
		if event.visible > now {
			return events, event.visible
		}
		events = append(events, event)
	}
	return events, 0
}

// held returns those of the blocks that are cached.
func (c *cache) held(blocks []uint64) []uint64 {
	found := []uint64{}
	for _, b := range blocks {
		if _, ok := c.entries[b]; ok {
			found = append(found, b)
		}
	}
	return found
}

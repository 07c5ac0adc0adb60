package enginemodel

import "container/list"

// cache is a prefix cache with LRU eviction. Within one prompt the last block is
// evicted first.
type cache struct {
	capacity int
	lru      *list.List
	blocks   map[uint64]*list.Element
	// added and dropped hold the blocks of the events since the last call of
	// CacheEvents.
	added, dropped []uint64
	// eventCount is the total number of events.
	eventCount uint64
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, lru: list.New(), blocks: make(map[uint64]*list.Element)}
}

// cachedPrefixLen returns the number of leading blocks of a prompt that are cached.
func (c *cache) cachedPrefixLen(prefix []uint64) int {
	for i, h := range prefix {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(prefix)
}

// touch inserts the blocks of a prompt, or marks them as recently used, and evicts
// blocks above the capacity.
func (c *cache) touch(prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		if e := c.blocks[prefix[i]]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[prefix[i]] = c.lru.PushFront(prefix[i])
		c.added = append(c.added, prefix[i])
		c.eventCount++
	}
	for c.lru.Len() > c.capacity {
		last := c.lru.Back()
		h := c.lru.Remove(last).(uint64)
		delete(c.blocks, h)
		c.dropped = append(c.dropped, h)
		c.eventCount++
	}
}

func (c *cache) clear() {
	c.dropped = append(c.dropped, c.byRecency()...)
	c.eventCount += uint64(len(c.blocks))
	c.lru.Init()
	clear(c.blocks)
}

// byRecency returns the cached blocks, most recently used first.
func (c *cache) byRecency() []uint64 {
	all := make([]uint64, 0, c.lru.Len())
	for e := c.lru.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(uint64))
	}
	return all
}

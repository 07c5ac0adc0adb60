package enginemodel

import "container/list"

// cache is a prefix cache of limited memory. The block used least recently
// is evicted first; within one prompt that is the last block.
type cache struct {
	capacity int
	lru      *list.List
	blocks   map[uint64]*list.Element
	// added and dropped are the events since they were last taken.
	added, dropped []uint64
	// eventCount counts all events.
	eventCount uint64
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, lru: list.New(), blocks: make(map[uint64]*list.Element)}
}

// cachedPrefixLen returns how many leading blocks of a prompt are cached.
func (c *cache) cachedPrefixLen(prefix []uint64) int {
	for i, h := range prefix {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(prefix)
}

// touch inserts a prompt's blocks, or marks them as recently used.
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

// byRecency lists the cached blocks, most recently used first.
func (c *cache) byRecency() []uint64 {
	all := make([]uint64, 0, c.lru.Len())
	for e := c.lru.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(uint64))
	}
	return all
}

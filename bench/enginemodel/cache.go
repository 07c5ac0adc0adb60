package enginemodel

import "container/list"

// cache is a prefix cache of limited memory. The block used least recently
// is evicted first; within one prompt that is the last block.
type cache struct {
	capacity int
	recent   *list.List
	blocks   map[uint64]*list.Element
	// added and dropped are the events since they were last taken.
	added, dropped []uint64
	// events counts all events.
	events uint64
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, recent: list.New(), blocks: make(map[uint64]*list.Element)}
}

// held returns how many leading blocks of a prompt are cached.
func (c *cache) held(prefix []uint64) int {
	for i, h := range prefix {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(prefix)
}

// use inserts a prompt's blocks, or marks them as recently used.
func (c *cache) use(prefix []uint64) {
	for i := len(prefix) - 1; i >= 0; i-- {
		if e := c.blocks[prefix[i]]; e != nil {
			c.recent.MoveToFront(e)
			continue
		}
		c.blocks[prefix[i]] = c.recent.PushFront(prefix[i])
		c.added = append(c.added, prefix[i])
		c.events++
	}
	for c.recent.Len() > c.capacity {
		last := c.recent.Back()
		h := c.recent.Remove(last).(uint64)
		delete(c.blocks, h)
		c.dropped = append(c.dropped, h)
		c.events++
	}
}

func (c *cache) clear() {
	c.dropped = append(c.dropped, c.sorted()...)
	c.events += uint64(len(c.blocks))
	c.recent.Init()
	clear(c.blocks)
}

// sorted lists the cached blocks, most recently used first.
func (c *cache) sorted() []uint64 {
	all := make([]uint64, 0, c.recent.Len())
	for e := c.recent.Front(); e != nil; e = e.Next() {
		all = append(all, e.Value.(uint64))
	}
	return all
}

package route

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// staleTTL is how long unconfirmed index entries are used after a gap in the
	// cache events.
	staleTTL = 60 * time.Second
	// trustAfterGap is the initial weight of unconfirmed entries after a gap.
	trustAfterGap = 0.7
	// trustGain and trustLoss adjust that weight at each hit and miss.
	trustGain = 0.2
	trustLoss = 0.3
)

// cacheView tracks the cache events of one engine.
type cacheView struct {
	// seq is the CacheSeq of the last report, if known is set.
	known bool
	seq   uint64
	// generation is incremented at each gap. Entries of an earlier generation are
	// unconfirmed.
	generation uint32
	// minGeneration is the lowest generation that is still valid.
	minGeneration uint32
	// trust is the weight of unconfirmed entries, from 0 to 1.
	trust float64
}

func (c *cacheView) reset() {
	c.generation++
	c.minGeneration = c.generation
	c.known = false
}

func (c *cacheView) markGap(policy GapPolicy) {
	c.generation++
	c.trust = trustAfterGap
	if policy == GapDrop {
		c.minGeneration = c.generation
	}
}

// updateTrust adjusts the weight of unconfirmed entries by the cache result of
// a request that relied on one.
func (c *cacheView) updateTrust(use api.CacheUse, stale bool) {
	if !stale {
		return
	}
	switch use {
	case api.CacheHit:
		c.trust += (1 - c.trust) * trustGain
	case api.CacheMiss:
		c.trust *= 1 - trustLoss
	}
}

// applyCacheEvents applies the cache events of a report and detects gaps. A
// report whose sequence number is not new carries events that were already
// applied or skipped after a gap.
func (s *State) applyCacheEvents(now time.Duration, u *upstream, l api.Load) {
	events := uint64(len(l.PrefixAdded) + len(l.PrefixDropped))
	c := &u.cache
	if c.known && l.CacheSeq <= c.seq {
		return
	}
	if c.known && l.CacheSeq != c.seq+events {
		s.counters.Gaps++
		c.markGap(s.options.Gap)
	}
	c.known, c.seq = true, l.CacheSeq
	for _, h := range l.PrefixDropped {
		s.index.remove(h, u)
	}
	for _, h := range l.PrefixAdded {
		s.index.put(now, h, u, 0)
	}
}

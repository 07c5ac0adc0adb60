package route

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// staleTTL is how long unconfirmed index entries are served after a gap.
	staleTTL = 60 * time.Second
	// trustAfterGap is the weight of unconfirmed entries right after a gap.
	trustAfterGap = 0.7
	// trustGain and trustLoss move that weight at each hit and miss.
	trustGain = 0.2
	trustLoss = 0.3
)

// cacheView is what the router knows of the events of one engine's cache.
type cacheView struct {
	known bool
	seq   uint64
	// generation grows at each gap; entries of an earlier one are unconfirmed.
	generation uint32
	// minGeneration is the earliest generation that still counts.
	minGeneration uint32
	trust         float64
}

func (c *cacheView) reset() {
	c.generation++
	c.minGeneration = c.generation
	c.known = false
}

func (c *cacheView) markGap(rule GapPolicy) {
	c.generation++
	c.trust = trustAfterGap
	if rule == GapDrop {
		c.minGeneration = c.generation
	}
}

// updateTrust moves the trust in unconfirmed entries by the fate of one of them.
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

// applyCacheEvents applies the cache events of a report and detects gaps. A report
// whose number is not new carries events that were applied or given up.
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

// Package hedge derives, for each pool of upstreams, how long a send may wait
// for its first chunk before a second one is worth its cost.
package hedge

import (
	"slices"
	"time"
)

const (
	// MinThreshold keeps fast pools from hedging on scheduling delays.
	MinThreshold = 100 * time.Millisecond
	// MinSamples are needed before a quantile says anything about the tail.
	MinSamples = 100
	// maxSamples bounds the memory of a pool, so that old times fade.
	maxSamples = 512
	// recomputeInterval is the number of samples between two thresholds.
	recomputeInterval = 32
	// maxPools bounds the memory; further pools are not hedged.
	maxPools = 256
	// quantilePercent of the times are below the threshold.
	quantilePercent = 95
)

// State holds the last times to the first chunk of each pool.
type State struct {
	pools map[string]*pool
}

type pool struct {
	// times is a ring once it is full; next is the place of the oldest.
	times              []time.Duration
	oldest             int
	samplesSinceUpdate int
	threshold          time.Duration
}

// New returns a state without samples.
func New() *State { return &State{pools: make(map[string]*pool)} }

// Observe takes one time to the first chunk and says whether the threshold of
// the pool was computed anew.
func (s *State) Observe(name string, d time.Duration) bool {
	p := s.pools[name]
	if p == nil {
		if len(s.pools) >= maxPools {
			return false
		}
		p = &pool{}
		s.pools[name] = p
	}
	p.add(d)
	if len(p.times) < MinSamples || p.threshold > 0 && p.samplesSinceUpdate < recomputeInterval {
		return false
	}
	p.samplesSinceUpdate = 0
	sorted := slices.Sorted(slices.Values(p.times))
	rank := (len(sorted)*quantilePercent + 99) / 100
	p.threshold = max(sorted[rank-1], MinThreshold)
	return true
}

func (p *pool) add(d time.Duration) {
	p.samplesSinceUpdate++
	if len(p.times) < maxSamples {
		p.times = append(p.times, d)
		return
	}
	p.times[p.oldest] = d
	p.oldest = (p.oldest + 1) % maxSamples
}

// Thresholds returns the threshold of each pool that has enough samples.
func (s *State) Thresholds() map[string]time.Duration {
	out := make(map[string]time.Duration, len(s.pools))
	for name, p := range s.pools {
		if p.threshold > 0 {
			out[name] = p.threshold
		}
	}
	return out
}

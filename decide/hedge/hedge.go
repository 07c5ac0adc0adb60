// Package hedge computes the hedging threshold of each pool of upstreams: how long
// an attempt may wait for its first chunk before a second concurrent attempt is
// made. The threshold is a percentile of the recent times to first chunk.
package hedge

import (
	"slices"
	"time"
)

const (
	// MinThreshold is the smallest threshold. In a fast pool, a smaller one would
	// hedge requests that are late only because of scheduling delays.
	MinThreshold = 100 * time.Millisecond
	// MinSamples is the number of samples needed to estimate the percentile.
	MinSamples = 100
	// maxSamples limits the samples of a pool; newer ones replace the oldest.
	maxSamples = 512
	// recomputeInterval is the number of samples after which the threshold is
	// computed again.
	recomputeInterval = 32
	// maxPools limits memory use. Requests to further pools are not hedged.
	maxPools = 256
	// quantilePercent is the percentile of the samples that is the threshold.
	quantilePercent = 95
)

// State holds the most recent times to first chunk of each pool.
type State struct {
	pools map[string]*pool
}

type pool struct {
	// times is a ring buffer once it is full; oldest is the index of the
	// oldest sample.
	times              []time.Duration
	oldest             int
	samplesSinceUpdate int
	threshold          time.Duration
}

// New returns a state without samples.
func New() *State { return &State{pools: make(map[string]*pool)} }

// Observe adds one time to first chunk and reports whether the threshold of the
// pool was recomputed.
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
	thresholds := make(map[string]time.Duration, len(s.pools))
	for name, p := range s.pools {
		if p.threshold > 0 {
			thresholds[name] = p.threshold
		}
	}
	return thresholds
}

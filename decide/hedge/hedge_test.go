package hedge

import (
	"fmt"
	"testing"
	"time"
)

// TestThreshold guards against a threshold from too few samples, below the
// minimum, at a wrong percentile or from outdated samples, and against memory use
// that grows with the number of pools.
func TestThreshold(t *testing.T) {
	s := New()
	for i := 1; i < MinSamples; i++ {
		if s.Observe("p", time.Duration(i)*10*time.Millisecond) || len(s.Thresholds()) > 0 {
			t.Fatalf("threshold computed after %d samples", i)
		}
	}
	s.Observe("p", time.Second)
	if got := s.Thresholds()["p"]; got != 950*time.Millisecond {
		t.Errorf("threshold %v for samples from 10 ms to 1 s, want 950 ms", got)
	}
	for range maxSamples {
		s.Observe("p", time.Millisecond)
	}
	if got := s.Thresholds()["p"]; got != MinThreshold {
		t.Errorf("threshold %v for a fast pool, want the minimum", got)
	}
	for i := range 2 * maxPools {
		s.Observe(fmt.Sprint(i), time.Second)
	}
	if len(s.pools) > maxPools {
		t.Errorf("%d pools", len(s.pools))
	}
}

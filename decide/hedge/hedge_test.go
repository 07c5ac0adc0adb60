package hedge

import (
	"fmt"
	"testing"
	"time"
)

// Guards against hedging before the tail is known, below the least threshold,
// at another quantile, and against times that never fade.
func TestThreshold(t *testing.T) {
	s := New()
	for i := 1; i < MinSamples; i++ {
		if s.Observe("p", time.Duration(i)*10*time.Millisecond) || len(s.Thresholds()) > 0 {
			t.Fatalf("a threshold after %d samples", i)
		}
	}
	s.Observe("p", time.Second)
	if got := s.Thresholds()["p"]; got != 950*time.Millisecond {
		t.Errorf("threshold %v of 10 ms to 1 s", got)
	}
	for range maxSamples {
		s.Observe("p", time.Millisecond)
	}
	if got := s.Thresholds()["p"]; got != MinThreshold {
		t.Errorf("threshold %v of a fast pool", got)
	}
	for i := range 2 * maxPools {
		s.Observe(fmt.Sprint(i), time.Second)
	}
	if len(s.pools) > maxPools {
		t.Errorf("%d pools", len(s.pools))
	}
}

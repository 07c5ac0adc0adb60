package api_test

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Guards against gaps at the bound of a bucket that are counted on the wrong side
// of the threshold.
func TestGapHistogramCountsWithinThreshold(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		gap, bound time.Duration
		within     uint64
	}{
		{49 * ms, 49 * ms, 1},
		{49*ms + 1, 49 * ms, 0},
		{0, ms, 1},
		{64 * ms, 64 * ms, 1},
		{72 * ms, 72 * ms, 1},
		{70 * ms, 71 * ms, 0},
		{16384 * ms, 16384 * ms, 1},
		{16384*ms + 1, time.Hour, 0},
	}
	for _, c := range cases {
		var g api.GapHistogram
		g.Add(c.gap)
		if within, all := g.CountWithin(c.bound); within != c.within || all != 1 {
			t.Errorf("gap %v, bound %v: counted %d of %d gaps", c.gap, c.bound, within, all)
		}
	}
	for i := 1; i < api.GapBuckets-1; i++ {
		if api.GapBucketBound(i) <= api.GapBucketBound(i-1) {
			t.Errorf("bound of bucket %d is not above the previous one", i)
		}
	}
}

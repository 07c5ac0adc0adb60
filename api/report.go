package api

import "time"

// RequestSummary describes one finished request for the report on service levels.
type RequestSummary struct {
	Member  string
	Model   string
	Service string
	// Zone and Upstream are those of the last attempt, empty if the request never
	// left the router.
	Zone     string
	Upstream string
	// Streamed is true if the caller requested a stream of tokens.
	Streamed bool
	// FirstToken is the time from arrival to the first chunk, zero if there was
	// none.
	FirstToken time.Duration
	// Gaps is the histogram of the times between successive chunks, nil if there
	// were none. It must not be modified after the call.
	Gaps *GapHistogram
	// Status is the HTTP status of the response, zero if no head arrived.
	Status int
	// Failure is nil if and only if the response is complete.
	Failure *Failure
}

// SLORecorder collects finished requests for the report on service levels.
type SLORecorder interface {
	// RecordRequest must be called exactly once per request that was admitted or
	// refused for a guild member. It never blocks.
	RecordRequest(RequestSummary)
}

// Publisher publishes structured values in addition to the metrics.
type Publisher interface {
	// Publish adds a value that is read and encoded as JSON at each scrape. The
	// read function must not wait for the control loop.
	Publish(name string, read func() any)
}

const (
	// GapBuckets is the number of buckets of a GapHistogram.
	GapBuckets = 129
	// linearGapBuckets is the number of buckets that are 1 ms wide, up to 64 ms.
	linearGapBuckets = 64
	// gapBucketsPerOctave is the number of buckets per doubling of the gap above 64 ms.
	gapBucketsPerOctave = 8
)

// GapHistogram is a histogram of the times between successive chunks of one
// response. Buckets are 1 ms wide up to 64 ms; above, their width is at most an
// eighth of their lower bound. The last bucket holds all gaps above 16.384 s.
type GapHistogram [GapBuckets]uint32

// Add counts one gap.
func (g *GapHistogram) Add(d time.Duration) { g[gapBucketIndex(d)]++ }

// CountWithin returns the number of gaps that are certainly no longer than bound, and
// the number of all gaps. A bound inside a bucket is rounded down to the upper
// bound of the previous bucket.
func (g *GapHistogram) CountWithin(bound time.Duration) (within, all uint64) {
	for i, n := range g {
		all += uint64(n)
		if i < GapBuckets-1 && GapBucketBound(i) <= bound {
			within += uint64(n)
		}
	}
	return within, all
}

// GapBucketBound returns the inclusive upper bound of bucket i, which must be less
// than GapBuckets-1: the last bucket is unbounded.
func GapBucketBound(i int) time.Duration {
	if i < linearGapBuckets {
		return time.Duration(i+1) * time.Millisecond
	}
	octave, step := (i-linearGapBuckets)/gapBucketsPerOctave, (i-linearGapBuckets)%gapBucketsPerOctave
	base := linearGapBuckets * time.Millisecond << octave
	return base + base/gapBucketsPerOctave*time.Duration(step+1)
}

func gapBucketIndex(d time.Duration) int {
	low, high := 0, GapBuckets-1
	for low < high {
		middle := (low + high) / 2
		if d <= GapBucketBound(middle) {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

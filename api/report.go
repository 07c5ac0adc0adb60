package api

import "time"

// RequestEnd is what a front end tells the report about one request that ended.
type RequestEnd struct {
	Member  string
	Model   string
	Service string
	// Zone and Upstream are those that the last send went to, empty if the
	// request never left the router.
	Zone     string
	Upstream string
	// Streamed is true if the caller asked for a stream of tokens.
	Streamed bool
	// FirstToken is the time from arrival to the first chunk, zero without one.
	FirstToken time.Duration
	// Gaps counts the times between two chunks, nil without any. It must not be
	// changed after the call.
	Gaps *GapCounts
	// Status is the HTTP status of the answer, zero if no head arrived.
	Status int
	// Failure is nil if and only if the answer is whole.
	Failure *Failure
}

// Report takes the end of each request for the report on service levels.
type Report interface {
	// RequestEnded must be called once per request that was admitted or refused
	// for a guild member. It never blocks.
	RequestEnded(RequestEnd)
}

// Publisher publishes values that are more than a number.
type Publisher interface {
	// Publish adds a value that is read and encoded as JSON at each scrape. The
	// function must not wait for the control loop.
	Publish(name string, read func() any)
}

const (
	// GapBuckets is the number of buckets of a GapCounts.
	GapBuckets = 129
	// gapLinear is the number of buckets of 1 ms; after them each doubling has
	// gapPerOctave buckets.
	gapLinear    = 64
	gapPerOctave = 8
)

// GapCounts is a histogram of the times between two chunks of one request. Its
// buckets are 1 ms wide up to 64 ms and at most an eighth of their value above;
// the last one holds everything longer than 16.384 s.
type GapCounts [GapBuckets]uint32

// Add counts one gap.
func (g *GapCounts) Add(d time.Duration) { g[gapBucket(d)]++ }

// Count returns the number of gaps that are certainly at most the bound, and
// of all gaps. A bound between two edges counts as the lower edge.
func (g *GapCounts) Count(bound time.Duration) (within, all uint64) {
	for i, n := range g {
		all += uint64(n)
		if i < GapBuckets-1 && GapEdge(i) <= bound {
			within += uint64(n)
		}
	}
	return within, all
}

// GapEdge returns the longest gap that bucket i holds.
func GapEdge(i int) time.Duration {
	if i < gapLinear {
		return time.Duration(i+1) * time.Millisecond
	}
	octave, part := (i-gapLinear)/gapPerOctave, (i-gapLinear)%gapPerOctave
	base := gapLinear * time.Millisecond << octave
	return base + base/gapPerOctave*time.Duration(part+1)
}

func gapBucket(d time.Duration) int {
	low, high := 0, GapBuckets-1
	for low < high {
		middle := (low + high) / 2
		if d <= GapEdge(middle) {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

package burn

import "time"

// Bucket holds the counts of one time bucket.
type Bucket struct {
	Good  uint64
	Total uint64
	// Lost is the number of requests that ended without being counted.
	Lost uint64
	// Observed is the time during which the router was running.
	Observed time.Duration
}

func (b *Bucket) add(o Bucket) {
	b.Good += o.Good
	b.Total += o.Total
	b.Lost += o.Lost
	b.Observed += o.Observed
}

// ring holds the latest buckets of one tier.
type ring struct {
	width time.Duration
	// newest is the index of the newest bucket, counted from the start of the state.
	newest  int64
	buckets []Bucket
}

func newRing(t Tier) ring { return ring{width: t.Width, buckets: make([]Bucket, t.Keep+1)} }

// advanceTo advances the ring to a time and returns the bucket of that time. It
// clears the buckets that it reuses. The time must not be before the newest bucket.
func (r *ring) advanceTo(t time.Duration) *Bucket {
	index := int64(t / r.width)
	for range min(index-r.newest, int64(len(r.buckets))) {
		r.newest++
		*r.bucket(r.newest) = Bucket{}
	}
	r.newest = index
	return r.bucket(index)
}

func (r *ring) bucket(index int64) *Bucket { return &r.buckets[index%int64(len(r.buckets))] }

// addObserved adds a period to the observed time. The period must end in the newest
// bucket and must not be longer than one bucket.
func (r *ring) addObserved(from, to time.Duration) {
	boundary := to / r.width * r.width
	r.bucket(r.newest).Observed += to - max(from, boundary)
	if from < boundary && r.newest > 0 {
		r.bucket(r.newest - 1).Observed += boundary - from
	}
}

// newestFirst returns a copy of the buckets, newest first.
func (r *ring) newestFirst() []Bucket {
	out := make([]Bucket, len(r.buckets))
	for i := range out {
		if index := r.newest - int64(i); index >= 0 {
			out[i] = *r.bucket(index)
		}
	}
	return out
}

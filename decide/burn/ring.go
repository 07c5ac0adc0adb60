package burn

import "time"

// Bucket holds the counts of one time bucket.
type Bucket struct {
	Good  uint64
	Total uint64
	// Lost is the number of requests that ended without being counted.
	Lost uint64
	// Observed is the time during which the router ran.
	Observed time.Duration
}

func (b *Bucket) add(o Bucket) {
	b.Good += o.Good
	b.Total += o.Total
	b.Lost += o.Lost
	b.Observed += o.Observed
}

// ring holds the newest buckets of one tier.
type ring struct {
	width   time.Duration
	newest  int64
	buckets []Bucket
}

func newRing(t Tier) ring { return ring{width: t.Width, buckets: make([]Bucket, t.Keep+1)} }

// at returns the bucket of a time that is not before the newest one, and clears
// those that it replaces.
func (r *ring) at(t time.Duration) *Bucket {
	index := int64(t / r.width)
	for range min(index-r.newest, int64(len(r.buckets))) {
		r.newest++
		*r.bucket(r.newest) = Bucket{}
	}
	r.newest = index
	return r.bucket(index)
}

func (r *ring) bucket(index int64) *Bucket { return &r.buckets[index%int64(len(r.buckets))] }

// observe adds the time from one moment to another, which are at most one
// width apart.
func (r *ring) observe(from, to time.Duration) {
	edge := to / r.width * r.width
	r.bucket(r.newest).Observed += to - max(from, edge)
	if from < edge && r.newest > 0 {
		r.bucket(r.newest - 1).Observed += edge - from
	}
}

// list returns the buckets, newest first.
func (r *ring) list() []Bucket {
	out := make([]Bucket, len(r.buckets))
	for i := range out {
		if index := r.newest - int64(i); index >= 0 {
			out[i] = *r.bucket(index)
		}
	}
	return out
}

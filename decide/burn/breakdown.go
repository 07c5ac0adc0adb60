package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// badBucketWidth is the width of the buckets that count bad events by name,
	// badBucketsKept the number of complete buckets kept.
	badBucketWidth    = 10 * time.Minute
	badBucketsKept    = 36
	badBucketsPerHour = 6
	// maxNames limits the names counted per dimension, publishedNames the names
	// published per dimension. The counts of other names are summed.
	maxNames       = 512
	publishedNames = 32
	// OtherName is the name under which the other names are summed, NoName the zone
	// and upstream of requests that reached no upstream.
	OtherName = "(others)"
	NoName    = "(none)"
)

// Dimension is a request property by which bad events are grouped.
type Dimension string

// Dimensions.
const (
	ByMember   Dimension = "member"
	ByZone     Dimension = "zone"
	ByUpstream Dimension = "upstream"
	ByModel    Dimension = "model"
	ByService  Dimension = "service"
)

// Dimensions returns all dimensions in report order.
func Dimensions() []Dimension {
	return []Dimension{ByMember, ByZone, ByUpstream, ByModel, ByService}
}

// dimensionValue returns the name of a request in a dimension, empty if the
// dimension does not apply.
func dimensionValue(d Dimension, e api.RequestSummary) string {
	switch d {
	case ByMember:
		return e.Member
	case ByZone:
		return cmp.Or(e.Zone, NoName)
	case ByUpstream:
		return cmp.Or(e.Upstream, NoName)
	case ByModel:
		return e.Model
	default:
		return e.Service
	}
}

// BadCount holds the number of bad events of one name in the last hour and in
// the last six hours.
type BadCount struct {
	Name     string `json:"name"`
	Hour     uint64 `json:"hour"`
	SixHours uint64 `json:"six_hours"`
}

// badEvents counts bad events by dimension and name. Names without bad events
// use no memory.
type badEvents struct {
	// rings are in the order of Dimensions.
	rings [5]map[string]*badRing
}

// badRing counts the bad events of one name in time buckets.
type badRing struct {
	// newest is the index of the newest bucket, counted from the start of the state.
	newest  int64
	buckets [badBucketsKept + 1]uint32
}

func (b *badEvents) add(t time.Duration, e api.RequestSummary, bad uint64) {
	if bad == 0 {
		return
	}
	index := int64(t / badBucketWidth)
	for i, d := range Dimensions() {
		if name := dimensionValue(d, e); name != "" {
			b.ring(i, name, index).add(index, bad)
		}
	}
}

// ring returns the ring of a name, which it creates if needed, or the ring of
// OtherName if there are too many names.
func (b *badEvents) ring(dimension int, name string, index int64) *badRing {
	if b.rings[dimension] == nil {
		b.rings[dimension] = make(map[string]*badRing)
	}
	rings := b.rings[dimension]
	if r, ok := rings[name]; ok {
		return r
	}
	if len(rings) >= maxNames {
		b.expire(index)
	}
	if len(rings) >= maxNames {
		name = OtherName
	}
	if rings[name] == nil {
		rings[name] = &badRing{newest: index}
	}
	return rings[name]
}

// expire drops names without bad events in the last six hours.
func (b *badEvents) expire(index int64) {
	for _, rings := range b.rings {
		for name, r := range rings {
			if r.sum(index, badBucketsKept) == 0 {
				delete(rings, name)
			}
		}
	}
}

func (r *badRing) add(index int64, bad uint64) {
	for range min(index-r.newest, int64(len(r.buckets))) {
		r.newest++
		r.buckets[r.newest%int64(len(r.buckets))] = 0
	}
	r.newest = index
	r.buckets[index%int64(len(r.buckets))] += uint32(bad)
}

// sum returns the bad events in the current bucket and the given number of
// complete ones before it.
func (r *badRing) sum(index int64, complete int) uint64 {
	var total uint64
	for i := index; i >= max(index-int64(complete), 0); i-- {
		if i <= r.newest && i > r.newest-int64(len(r.buckets)) {
			total += uint64(r.buckets[i%int64(len(r.buckets))])
		}
	}
	return total
}

// list returns the names of one dimension, sorted by bad events, most first.
func (b *badEvents) list(dimension int, t time.Duration) []BadCount {
	index := int64(t / badBucketWidth)
	var all []BadCount
	for name, r := range b.rings[dimension] {
		if six := r.sum(index, badBucketsKept); six > 0 {
			all = append(all, BadCount{Name: name, Hour: r.sum(index, badBucketsPerHour), SixHours: six})
		}
	}
	return sortAndLimit(all)
}

// sortAndLimit sorts names by bad events and sums those beyond publishedNames
// under OtherName.
func sortAndLimit(all []BadCount) []BadCount {
	slices.SortFunc(all, compareBadCounts)
	if len(all) <= publishedNames {
		return all
	}
	rest := BadCount{Name: OtherName}
	kept := make([]BadCount, 0, publishedNames+1)
	for _, x := range all {
		if x.Name != OtherName && len(kept) < publishedNames {
			kept = append(kept, x)
			continue
		}
		rest.Hour += x.Hour
		rest.SixHours += x.SixHours
	}
	return append(kept, rest)
}

func compareBadCounts(a, b BadCount) int {
	return cmp.Or(cmp.Compare(b.SixHours, a.SixHours), cmp.Compare(b.Hour, a.Hour), cmp.Compare(a.Name, b.Name))
}

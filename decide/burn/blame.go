package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// blameWidth and blameKeep are the buckets of bad events by name.
	blameWidth = 10 * time.Minute
	blameKeep  = 36
	blameHour  = 6
	// maxNames bounds the names of one dimension with bad events, and
	// publishedNames those that are published; the rest is summed up.
	maxNames       = 512
	publishedNames = 32
	// OtherName stands for names that are summed up, NoName for requests that
	// reached no upstream.
	OtherName = "(others)"
	NoName    = "(none)"
)

// Dimension is a property of requests by which bad events are split.
type Dimension string

// Dimensions.
const (
	ByMember   Dimension = "member"
	ByZone     Dimension = "zone"
	ByUpstream Dimension = "upstream"
	ByModel    Dimension = "model"
	ByService  Dimension = "service"
)

// Dimensions returns all dimensions in the order of a report.
func Dimensions() []Dimension {
	return []Dimension{ByMember, ByZone, ByUpstream, ByModel, ByService}
}

func nameIn(d Dimension, e api.RequestEnd) string {
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

// Bad is the number of bad events of one name.
type Bad struct {
	Name     string `json:"name"`
	Hour     uint64 `json:"hour"`
	SixHours uint64 `json:"six_hours"`
}

// blame counts bad events by name; names without any take no memory.
type blame struct {
	names [5]map[string]*badRing
}

// badRing holds the bad events of one name in buckets.
type badRing struct {
	newest  int64
	buckets [blameKeep + 1]uint32
}

func (b *blame) add(t time.Duration, e api.RequestEnd, bad uint64) {
	if bad == 0 {
		return
	}
	index := int64(t / blameWidth)
	for i, d := range Dimensions() {
		if name := nameIn(d, e); name != "" {
			b.ring(i, name, index).add(index, bad)
		}
	}
}

func (b *blame) ring(dimension int, name string, index int64) *badRing {
	if b.names[dimension] == nil {
		b.names[dimension] = make(map[string]*badRing)
	}
	names := b.names[dimension]
	if r, ok := names[name]; ok {
		return r
	}
	if len(names) >= maxNames {
		b.forget(index)
	}
	if len(names) >= maxNames {
		name = OtherName
	}
	if names[name] == nil {
		names[name] = &badRing{newest: index}
	}
	return names[name]
}

// forget drops names whose bad events are all older than six hours.
func (b *blame) forget(index int64) {
	for _, names := range b.names {
		for name, r := range names {
			if r.sum(index, blameKeep) == 0 {
				delete(names, name)
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

// sum returns the bad events in the bucket being filled and a number of whole
// ones before it.
func (r *badRing) sum(index int64, whole int) uint64 {
	var total uint64
	for i := index; i >= max(index-int64(whole), 0); i-- {
		if i <= r.newest && i > r.newest-int64(len(r.buckets)) {
			total += uint64(r.buckets[i%int64(len(r.buckets))])
		}
	}
	return total
}

// list returns the names of one dimension with the most bad events first.
func (b *blame) list(dimension int, t time.Duration) []Bad {
	index := int64(t / blameWidth)
	var all []Bad
	for name, r := range b.names[dimension] {
		if six := r.sum(index, blameKeep); six > 0 {
			all = append(all, Bad{Name: name, Hour: r.sum(index, blameHour), SixHours: six})
		}
	}
	return fold(all)
}

// fold sorts names by their bad events and sums up those beyond the bound.
func fold(all []Bad) []Bad {
	slices.SortFunc(all, compareBad)
	if len(all) <= publishedNames {
		return all
	}
	rest := Bad{Name: OtherName}
	kept := make([]Bad, 0, publishedNames+1)
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

func compareBad(a, b Bad) int {
	return cmp.Or(cmp.Compare(b.SixHours, a.SixHours), cmp.Compare(b.Hour, a.Hour), cmp.Compare(a.Name, b.Name))
}

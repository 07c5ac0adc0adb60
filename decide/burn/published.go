package burn

import "time"

// Published holds the counts that one router publishes.
type Published struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Revision is the configuration revision that defines the objectives.
	Revision   uint64      `json:"revision"`
	Objectives []Objective `json:"objectives"`
}

// Objective holds one router's counts for one objective.
type Objective struct {
	Name       string           `json:"name"`
	Definition Definition       `json:"definition"`
	Tiers      []PublishedTier  `json:"tiers"`
	Bad        []PublishedNames `json:"bad,omitempty"`
}

// PublishedTier holds buckets of one width, newest first. The first is the current
// bucket. Empty buckets at the end are omitted.
type PublishedTier struct {
	WidthMs int64 `json:"width_ms"`
	// FilledMs is the time since the start of the current bucket.
	FilledMs int64 `json:"filled_ms"`
	// Buckets holds four numbers per bucket: good events, total events, lost
	// requests, and the observed time in milliseconds.
	Buckets [][4]uint64 `json:"buckets"`
}

// PublishedNames lists the names of one dimension that have bad events.
type PublishedNames struct {
	Dimension Dimension  `json:"dimension"`
	Names     []BadCount `json:"names"`
}

// Publish returns the current counts. The result shares no memory with the
// state.
func (s *State) Publish(now time.Duration) []Objective {
	s.Advance(now)
	t := now - s.start
	out := make([]Objective, len(s.series))
	for i, x := range s.series {
		out[i] = Objective{Name: x.name, Definition: x.definition}
		for j := range x.rings {
			out[i].Tiers = append(out[i].Tiers, publishRing(&x.rings[j], t))
		}
		for j, d := range Dimensions() {
			if names := x.badEvents.list(j, t); len(names) > 0 {
				out[i].Bad = append(out[i].Bad, PublishedNames{Dimension: d, Names: names})
			}
		}
	}
	return out
}

func publishRing(r *ring, t time.Duration) PublishedTier {
	out := PublishedTier{WidthMs: r.width.Milliseconds(), FilledMs: (t % r.width).Milliseconds()}
	used := 0
	buckets := r.newestFirst()
	for i, b := range buckets {
		if b != (Bucket{}) {
			used = i + 1
		}
	}
	for _, b := range buckets[:used] {
		out.Buckets = append(out.Buckets, [4]uint64{b.Good, b.Total, b.Lost, uint64(b.Observed.Milliseconds())})
	}
	return out
}

func (t PublishedTier) bucket(i int) Bucket {
	if i >= len(t.Buckets) {
		return Bucket{}
	}
	b := t.Buckets[i]
	return Bucket{Good: b[0], Total: b[1], Lost: b[2], Observed: time.Duration(b[3]) * time.Millisecond}
}

func (t PublishedTier) filled() time.Duration { return time.Duration(t.FilledMs) * time.Millisecond }

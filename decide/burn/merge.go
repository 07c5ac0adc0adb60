package burn

import (
	"cmp"
	"slices"
	"time"
)

// Source is the response of one router to a request for its counts.
type Source struct {
	Address string
	// Published is nil if the router could not be read.
	Published *Published
	// Reason is why it could not be read.
	Reason string
}

// Merge sums the counts of several routers. It uses the objectives of the highest
// configuration revision.
func Merge(sources []Source) Summary {
	sources = slices.Clone(sources)
	slices.SortFunc(sources, func(a, b Source) int { return cmp.Compare(a.Address, b.Address) })
	out := Summary{Routers: make([]Router, 0, len(sources)), Objectives: []ObjectiveSummary{}}
	for _, s := range sources {
		r := Router{Address: s.Address, Reason: s.Reason}
		if s.Published != nil {
			r.Read, r.Node, r.Zone, r.Revision = true, s.Published.Node, s.Published.Zone, s.Published.Revision
		}
		out.Routers = append(out.Routers, r)
	}
	for _, d := range latestDefinitions(sources) {
		out.Objectives = append(out.Objectives, mergeObjective(sources, d))
	}
	return out
}

type namedDefinition struct {
	name       string
	definition Definition
}

// latestDefinitions returns the objectives of the highest revision, sorted by
// name.
func latestDefinitions(sources []Source) []namedDefinition {
	read := slices.DeleteFunc(slices.Clone(sources), func(s Source) bool { return s.Published == nil })
	slices.SortStableFunc(read, func(a, b Source) int { return cmp.Compare(b.Published.Revision, a.Published.Revision) })
	var out []namedDefinition
	for _, s := range read {
		if s.Published.Revision != read[0].Published.Revision {
			break
		}
		for _, o := range s.Published.Objectives {
			if !slices.ContainsFunc(out, func(n namedDefinition) bool { return n.name == o.Name }) {
				out = append(out, namedDefinition{name: o.Name, definition: o.Definition})
			}
		}
	}
	slices.SortFunc(out, func(a, b namedDefinition) int { return cmp.Compare(a.name, b.name) })
	return out
}

// routerCounts holds one router's counts for an objective, nil if they are
// missing.
type routerCounts struct {
	source Source
	counts *Objective
}

func mergeObjective(sources []Source, n namedDefinition) ObjectiveSummary {
	out := ObjectiveSummary{Name: n.name, Definition: n.definition}
	parts := make([]routerCounts, len(sources))
	for i, s := range sources {
		parts[i].source = s
		var reason string
		if parts[i].counts, reason = countsOf(s, n); parts[i].counts == nil {
			out.Missing = append(out.Missing, Missing{Address: s.Address, Reason: reason})
		}
	}
	for _, w := range Windows() {
		out.Windows = append(out.Windows, mergeWindow(parts, w, n.definition))
	}
	for i := range Tiers() {
		out.Series = append(out.Series, mergeSeries(parts, i, n.definition))
	}
	for _, d := range Dimensions() {
		if names := mergeBadCounts(parts, d); len(names) > 0 {
			out.Breakdowns = append(out.Breakdowns, Breakdown{Dimension: d, Names: names})
		}
	}
	out.setStatus()
	return out
}

// countsOf returns a router's counts for an objective, or the reason why they
// cannot be included.
func countsOf(s Source, n namedDefinition) (*Objective, string) {
	if s.Published == nil {
		return nil, s.Reason
	}
	i := slices.IndexFunc(s.Published.Objectives, func(o Objective) bool { return o.Name == n.name })
	if i < 0 {
		return nil, "does not define the objective"
	}
	o := &s.Published.Objectives[i]
	if o.Definition != n.definition {
		return nil, "has another definition of the objective"
	}
	tiers := Tiers()
	if len(o.Tiers) != len(tiers) {
		return nil, "uses other time buckets"
	}
	for i, t := range o.Tiers {
		if t.WidthMs != tiers[i].Width.Milliseconds() || len(t.Buckets) > tiers[i].Keep+1 {
			return nil, "uses other time buckets"
		}
	}
	return o, ""
}

// mergeWindow sums the complete buckets of a window and the current one.
func mergeWindow(parts []routerCounts, w Window, d Definition) WindowSummary {
	width := Tiers()[w.tier].Width
	complete := int(w.Length / width)
	var sum Bucket
	var expected time.Duration
	for _, p := range parts {
		expected += w.Length
		if p.counts == nil {
			continue
		}
		t := p.counts.Tiers[w.tier]
		expected += t.filled()
		for i := range complete + 1 {
			sum.add(t.bucket(i))
		}
	}
	return WindowSummary{
		Name:      w.Name,
		Good:      sum.Good,
		Total:     sum.Total,
		Lost:      sum.Lost,
		Coverage:  fraction(sum.Observed, expected),
		Burn:      d.burnRate(sum),
		Threshold: min(w.threshold, d.maxThreshold()),
	}
}

// mergeSeries returns the summed buckets of one tier, newest first.
func mergeSeries(parts []routerCounts, tier int, d Definition) Series {
	t := Tiers()[tier]
	out := Series{Width: t.Width}
	filled := longestFilled(parts, tier)
	for i := range t.Keep + 1 {
		var sum Bucket
		var expected time.Duration
		for _, p := range parts {
			length := t.Width
			if i == 0 {
				length = filled
			}
			if p.counts != nil {
				sum.add(p.counts.Tiers[tier].bucket(i))
				if i == 0 {
					length = p.counts.Tiers[tier].filled()
				}
			}
			expected += length
		}
		point := Point{Burn: d.burnRate(sum), Coverage: fraction(sum.Observed, expected)}
		if expected == 0 {
			// The bucket has just begun, so no time is missing.
			point.Coverage = 1
		}
		out.Points = append(out.Points, point)
	}
	return out
}

// longestFilled returns the longest time since the start of a current bucket. It is
// the expected time of the routers whose counts are missing.
func longestFilled(parts []routerCounts, tier int) time.Duration {
	var longest time.Duration
	for _, p := range parts {
		if p.counts != nil {
			longest = max(longest, p.counts.Tiers[tier].filled())
		}
	}
	return longest
}

// mergeBadCounts sums the bad events of all routers by name, for one dimension, and
// adds the share of each name.
func mergeBadCounts(parts []routerCounts, d Dimension) []BadShare {
	sums := make(map[string]*BadCount)
	var total BadCount
	for _, p := range parts {
		if p.counts == nil {
			continue
		}
		for _, b := range p.counts.Bad {
			if b.Dimension != d {
				continue
			}
			for _, n := range b.Names {
				if sums[n.Name] == nil {
					sums[n.Name] = &BadCount{Name: n.Name}
				}
				sums[n.Name].Hour += n.Hour
				sums[n.Name].SixHours += n.SixHours
				total.SixHours += n.SixHours
			}
		}
	}
	counts := make([]BadCount, 0, len(sums))
	for _, n := range sums {
		counts = append(counts, *n)
	}
	return withShares(sortAndLimit(counts), total.SixHours)
}

// withShares adds each name's share of all bad events.
func withShares(counts []BadCount, total uint64) []BadShare {
	out := make([]BadShare, 0, len(counts))
	for _, n := range counts {
		out = append(out, BadShare{BadCount: n, Share: round(float64(n.SixHours) / float64(max(total, 1)))})
	}
	return out
}

package burn

import (
	"cmp"
	"slices"
	"time"
)

// Source is one router that a report was asked of.
type Source struct {
	Address string
	// Published is nil if the router could not be read.
	Published *Published
	// Reason says why it could not be read.
	Reason string
}

// Merge adds up what several routers published.
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
	for _, d := range definitions(sources) {
		out.Objectives = append(out.Objectives, mergeObjective(sources, d))
	}
	return out
}

type named struct {
	name       string
	definition Definition
}

// definitions returns each objective as the highest revision defines it.
func definitions(sources []Source) []named {
	read := slices.DeleteFunc(slices.Clone(sources), func(s Source) bool { return s.Published == nil })
	slices.SortStableFunc(read, func(a, b Source) int { return cmp.Compare(b.Published.Revision, a.Published.Revision) })
	var out []named
	for _, s := range read {
		if s.Published.Revision != read[0].Published.Revision {
			break
		}
		for _, o := range s.Published.Objectives {
			if !slices.ContainsFunc(out, func(n named) bool { return n.name == o.Name }) {
				out = append(out, named{name: o.Name, definition: o.Definition})
			}
		}
	}
	slices.SortFunc(out, func(a, b named) int { return cmp.Compare(a.name, b.name) })
	return out
}

// part is one router's share in an objective; nil counts are missing.
type part struct {
	source Source
	counts *Objective
}

func mergeObjective(sources []Source, n named) ObjectiveSummary {
	out := ObjectiveSummary{Name: n.name, Definition: n.definition}
	parts := make([]part, len(sources))
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
		if names := mergeNames(parts, d); len(names) > 0 {
			out.Blame = append(out.Blame, Blame{Dimension: d, Names: names})
		}
	}
	out.conclude()
	return out
}

func countsOf(s Source, n named) (*Objective, string) {
	if s.Published == nil {
		return nil, s.Reason
	}
	i := slices.IndexFunc(s.Published.Objectives, func(o Objective) bool { return o.Name == n.name })
	if i < 0 {
		return nil, "has no such objective"
	}
	o := &s.Published.Objectives[i]
	if o.Definition != n.definition {
		return nil, "defines the objective differently"
	}
	tiers := Tiers()
	if len(o.Tiers) != len(tiers) {
		return nil, "counts in other buckets"
	}
	for i, t := range o.Tiers {
		if t.WidthMs != tiers[i].Width.Milliseconds() || len(t.Buckets) > tiers[i].Keep+1 {
			return nil, "counts in other buckets"
		}
	}
	return o, ""
}

// mergeWindow sums the whole buckets of the window and the one being filled.
func mergeWindow(parts []part, w Window, d Definition) WindowSummary {
	width := Tiers()[w.tier].Width
	whole := int(w.Length / width)
	var sum Bucket
	var expected time.Duration
	for _, p := range parts {
		expected += w.Length
		if p.counts == nil {
			continue
		}
		t := p.counts.Tiers[w.tier]
		expected += t.filled()
		for i := range whole + 1 {
			sum.add(t.bucket(i))
		}
	}
	return WindowSummary{
		Name:      w.Name,
		Good:      sum.Good,
		Total:     sum.Total,
		Lost:      sum.Lost,
		Coverage:  portion(sum.Observed, expected),
		Burn:      d.burn(sum),
		Threshold: min(w.threshold, d.highest()),
	}
}

// mergeSeries lists the buckets of one tier, newest first.
func mergeSeries(parts []part, tier int, d Definition) Series {
	t := Tiers()[tier]
	out := Series{Width: t.Width}
	filled := longestFilled(parts, tier)
	for i := range t.Keep + 1 {
		var sum Bucket
		var expected time.Duration
		for _, p := range parts {
			whole := t.Width
			if i == 0 {
				whole = filled
			}
			if p.counts != nil {
				sum.add(p.counts.Tiers[tier].bucket(i))
				if i == 0 {
					whole = p.counts.Tiers[tier].filled()
				}
			}
			expected += whole
		}
		point := Point{Burn: d.burn(sum), Coverage: portion(sum.Observed, expected)}
		if expected == 0 {
			// A bucket that has just begun has nothing to miss.
			point.Coverage = 1
		}
		out.Points = append(out.Points, point)
	}
	return out
}

// longestFilled stands for the buckets being filled by routers that are missing.
func longestFilled(parts []part, tier int) time.Duration {
	var longest time.Duration
	for _, p := range parts {
		if p.counts != nil {
			longest = max(longest, p.counts.Tiers[tier].filled())
		}
	}
	return longest
}

func mergeNames(parts []part, d Dimension) []Blamed {
	sums := make(map[string]*Bad)
	var total Bad
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
					sums[n.Name] = &Bad{Name: n.Name}
				}
				sums[n.Name].Hour += n.Hour
				sums[n.Name].SixHours += n.SixHours
				total.SixHours += n.SixHours
			}
		}
	}
	all := make([]Bad, 0, len(sums))
	for _, n := range sums {
		all = append(all, *n)
	}
	return blamed(fold(all), total.SixHours)
}

func blamed(all []Bad, total uint64) []Blamed {
	out := make([]Blamed, 0, len(all))
	for _, n := range all {
		out = append(out, Blamed{Bad: n, Share: round(float64(n.SixHours) / float64(max(total, 1)))})
	}
	return out
}

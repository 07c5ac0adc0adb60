// Package burn counts good and total events for service-level objectives and
// works out how fast their error budgets burn.
//
// A router keeps a State, which counts in time buckets of bounded memory. What
// several routers publish of it is added up by Merge. Time in which a router
// did not run or was paused is missing, never good. Buckets are compared by age,
// so routers need no synchronised clocks.
package burn

import (
	"slices"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// longestSilence is the longest time between two calls that still counts as
// observed. A longer one means that the process was paused.
const longestSilence = 30 * time.Second

// Tier is a resolution at which events are kept.
type Tier struct {
	Width time.Duration
	// Keep is the number of whole buckets; the one being filled comes on top.
	Keep int
}

// Tiers returns the resolutions kept, finest first.
func Tiers() []Tier {
	return []Tier{
		{Width: time.Minute, Keep: 60},
		{Width: 10 * time.Minute, Keep: 36},
		{Width: 2 * time.Hour, Keep: 36},
	}
}

// Window is a time over which a burn rate is given.
type Window struct {
	Name   string
	Length time.Duration
	// tier is the index of the tier that it is formed from.
	tier int
	// threshold is the burn rate at which the window counts as burning.
	threshold float64
}

// Windows returns the windows, shortest first. The thresholds are those usual
// for an objective over 30 days: 2% of the budget in one hour, 5% in six hours,
// 10% in three days.
func Windows() []Window {
	return []Window{
		{Name: "5m", Length: 5 * time.Minute, tier: 0, threshold: 14.4},
		{Name: "1h", Length: time.Hour, tier: 0, threshold: 14.4},
		{Name: "6h", Length: 6 * time.Hour, tier: 1, threshold: 6},
		{Name: "3d", Length: 72 * time.Hour, tier: 2, threshold: 1},
	}
}

// State counts for all objectives of one router. The control loop owns it.
type State struct {
	begin time.Duration
	last  time.Duration
	// series are in order of name.
	series []*series
}

type series struct {
	name       string
	definition Definition
	rings      []ring
	blame      blame
}

// New returns a state without objectives.
func New(now time.Duration) *State { return &State{begin: now, last: now} }

// Configure sets the objectives. One whose definition changed starts anew, since
// its old counts answer another question.
func (s *State) Configure(now time.Duration, objectives map[string]api.Objective) {
	s.Advance(now)
	next := make([]*series, 0, len(objectives))
	for name, o := range objectives {
		d := definitionOf(o)
		i := slices.IndexFunc(s.series, func(x *series) bool { return x.name == name && x.definition == d })
		if i >= 0 {
			next = append(next, s.series[i])
			continue
		}
		next = append(next, newSeries(name, d))
	}
	slices.SortFunc(next, func(a, b *series) int { return strings.Compare(a.name, b.name) })
	s.series = next
}

func newSeries(name string, d Definition) *series {
	x := &series{name: name, definition: d}
	for _, t := range Tiers() {
		x.rings = append(x.rings, newRing(t))
	}
	return x
}

// Record counts the end of one request.
func (s *State) Record(now time.Duration, e api.RequestEnd) {
	s.Advance(now)
	for _, x := range s.series {
		good, total := x.definition.judge(e)
		if total == 0 {
			continue
		}
		for i := range x.rings {
			b := x.rings[i].at(now - s.begin)
			b.Good += good
			b.Total += total
		}
		x.blame.add(now-s.begin, e, total-good)
	}
}

// Lose notes requests that ended without being counted.
func (s *State) Lose(now time.Duration, requests uint64) {
	s.Advance(now)
	for _, x := range s.series {
		for i := range x.rings {
			x.rings[i].at(now - s.begin).Lost += requests
		}
	}
}

// Advance counts the time since the last call as observed, unless it was too
// long for a process that runs. It must be called at least every few seconds.
func (s *State) Advance(now time.Duration) {
	from, to := s.last-s.begin, now-s.begin
	s.last = now
	for _, x := range s.series {
		for i := range x.rings {
			x.rings[i].at(to)
			if to-from <= longestSilence {
				x.rings[i].observe(from, to)
			}
		}
	}
}

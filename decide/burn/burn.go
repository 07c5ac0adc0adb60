// Package burn counts good and total events of service-level objectives and
// computes the burn rates of their error budgets.
//
// Each router keeps a State, which counts events in a fixed number of time
// buckets. Merge sums the published counts of several routers. The coverage is the
// fraction of a window that the routers observed: downtime and pauses of a router
// lower it and never count as good.
// Buckets of different routers are matched by age, so routers need no synchronised
// clocks.
package burn

import (
	"slices"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// maxObservedGap is the longest time between two calls of State.Advance that
// counts as observed. A longer time means that the process was paused.
const maxObservedGap = 30 * time.Second

// Tier is a resolution at which events are counted, given by its bucket width.
type Tier struct {
	Width time.Duration
	// Keep is the number of complete buckets kept besides the current one.
	Keep int
}

// Tiers returns the tiers, finest first.
func Tiers() []Tier {
	return []Tier{
		{Width: time.Minute, Keep: 60},
		{Width: 10 * time.Minute, Keep: 36},
		{Width: 2 * time.Hour, Keep: 36},
	}
}

// Window is a period over which a burn rate is computed.
type Window struct {
	Name   string
	Length time.Duration
	// tier is the index of the tier whose buckets are summed.
	tier int
	// threshold is the lowest burn rate at which the window counts as burning.
	threshold float64
}

// Windows returns the windows, shortest first. The thresholds are the usual ones
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

// State holds the counts of one router for all objectives. The control loop
// owns it.
type State struct {
	start       time.Duration
	lastAdvance time.Duration
	// series are sorted by name.
	series []*series
}

// series holds the counts for one objective: a ring per tier, and the bad events
// by dimension.
type series struct {
	name       string
	definition Definition
	rings      []ring
	badEvents  badEvents
}

// New returns a state without objectives.
func New(now time.Duration) *State { return &State{start: now, lastAdvance: now} }

// Configure sets the objectives. An objective whose definition changed starts
// again from zero, since its old counts measured something else.
func (s *State) Configure(now time.Duration, objectives map[string]api.Objective) {
	s.Advance(now)
	configured := make([]*series, 0, len(objectives))
	for name, o := range objectives {
		d := definitionOf(o)
		i := slices.IndexFunc(s.series, func(x *series) bool { return x.name == name && x.definition == d })
		if i >= 0 {
			configured = append(configured, s.series[i])
			continue
		}
		configured = append(configured, newSeries(name, d))
	}
	slices.SortFunc(configured, func(a, b *series) int { return strings.Compare(a.name, b.name) })
	s.series = configured
}

func newSeries(name string, d Definition) *series {
	x := &series{name: name, definition: d}
	for _, t := range Tiers() {
		x.rings = append(x.rings, newRing(t))
	}
	return x
}

// Record counts one finished request.
func (s *State) Record(now time.Duration, e api.RequestSummary) {
	s.Advance(now)
	for _, x := range s.series {
		good, total := x.definition.classify(e)
		if total == 0 {
			continue
		}
		for i := range x.rings {
			b := x.rings[i].advanceTo(now - s.start)
			b.Good += good
			b.Total += total
		}
		x.badEvents.add(now-s.start, e, total-good)
	}
}

// RecordLost counts requests that ended without a call of Record. Every objective
// counts them as lost.
func (s *State) RecordLost(now time.Duration, requests uint64) {
	s.Advance(now)
	for _, x := range s.series {
		for i := range x.rings {
			x.rings[i].advanceTo(now - s.start).Lost += requests
		}
	}
}

// Advance counts the time since the last call as observed, unless it is longer than
// maxObservedGap. It must be called every few seconds.
func (s *State) Advance(now time.Duration) {
	from, to := s.lastAdvance-s.start, now-s.start
	s.lastAdvance = now
	for _, x := range s.series {
		for i := range x.rings {
			x.rings[i].advanceTo(to)
			if to-from <= maxObservedGap {
				x.rings[i].addObserved(from, to)
			}
		}
	}
}

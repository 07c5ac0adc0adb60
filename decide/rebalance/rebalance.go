// Package rebalance decides when the expert map of a group is changed, and to
// what.
//
// A change is worth it if the step time it saves over the expected life of the
// pattern exceeds its cost by a margin. The life is learned from what part of
// the promised saving earlier changes brought, so that popularity which swings
// back and forth soon stops to cause changes. A change is made in pieces: each piece is
// a complete map whose new weights fit the staging memory of every rank, and
// they are loaded before the switch.
package rebalance

import (
	"time"

	"github.com/mulberryfork/mulberryfork/decide/placement"
)

// Config holds the settings of a group.
type Config struct {
	Shape placement.Shape
	// ExpertMB is the size of one expert's weights in one layer.
	ExpertMB float64
	// Tolerance is the distance to the placement bound that is left alone.
	Tolerance float64
	// MinGain is the smallest part of the expert time of a step worth saving.
	MinGain float64
	// Margin is the ratio of saving to cost that a change must exceed.
	Margin float64
	// Limits bound the weights of one piece.
	Limits placement.Limits
	// LoadSlowdown is the part by which loading weights lengthens steps.
	LoadSlowdown float64
	// SwitchCost is the time lost by one switch: the stalled step and the KV
	// cache that has to be computed again.
	SwitchCost time.Duration
	// Life is the time over which a change pays back if its gain lasts.
	Life time.Duration
	// Smoothing is the weight of the newest loads in the average, 0 to 1.
	Smoothing float64
	// Trend is the weight of the newest change in the trend, 0 to 1.
	Trend float64
	// Ahead is the number of intervals from the middle of the newest
	// measurement to the middle of the use of a new map.
	Ahead float64
}

// Plan is a change that is worth its cost.
type Plan struct {
	Map placement.Map
	// Weights is the number of experts to load.
	Weights int
	// Gain is the part of the expert time of a step that is saved.
	Gain float64
	// Saved and Cost are the times over the expected life.
	Saved, Cost time.Duration
}

// State decides for one group. It belongs to the control goroutine.
type State struct {
	cfg     Config
	predict Predictor
	present placement.Map
	// previous is the map before the changes that are being followed.
	previous  placement.Map
	followed  bool
	since     time.Duration
	observed  time.Duration
	predicted float64
	// promised and realized are the savings since then, in seconds.
	promised, realized float64
	// kept is the part of promised savings that changes brought.
	kept float64
}

// New returns a state for a group that runs on a map.
func New(cfg Config, present placement.Map) *State {
	return &State{cfg: cfg, present: present, kept: 1, predict: NewPredictor(cfg.Smoothing, cfg.Trend)}
}

// Present returns the map in force.
func (s *State) Present() placement.Map { return s.present }

// Life returns the time over which a promised gain is expected to last.
func (s *State) Life() time.Duration { return time.Duration(s.kept * float64(s.cfg.Life)) }

const (
	// leastKept keeps an estimate from which the life can recover.
	leastKept = 0.02
	// recovery is the time in which a short life doubles. Without it a group
	// that once swung would never be rebalanced again.
	recovery = 5 * time.Minute
	// followTime is how long changes are followed before they are judged.
	followTime = 30 * time.Second
	// judgedWeight is the weight of the newest judgement.
	judgedWeight = 0.5
)

// Observe takes the loads measured over an interval.
func (s *State) Observe(now time.Duration, loads placement.Loads) {
	s.predict.Add(loads)
	passed := now - s.observed
	s.observed = now
	s.kept = min(s.kept*(1+passed.Seconds()/recovery.Seconds()), 1)
	if s.followed {
		s.follow(now, passed.Seconds(), loads)
	}
}

// follow compares what the changes since the previous map save on measured
// loads with what they promised.
func (s *State) follow(now time.Duration, seconds float64, loads placement.Loads) {
	before, after := s.previous.Cost(loads), s.present.Cost(loads)
	if before > 0 {
		s.realized += seconds * (before - after) / before
		s.promised += seconds * s.predicted
	}
	if now-s.since < followTime || s.promised <= 0 {
		return
	}
	part := min(max(s.realized/s.promised, 0), 1)
	s.kept = max(s.kept+judgedWeight*(part-s.kept), leastKept)
	s.followed = false
}

// Decide returns the next piece of a change that is worth its cost. The rate
// is what the weight store grants the group, in MB/s.
func (s *State) Decide(rateMBps float64) (Plan, bool) {
	loads, ok := s.predict.Loads(s.cfg.Ahead)
	if !ok || rateMBps <= 0 {
		return Plan{}, false
	}
	m, err := placement.Update(s.present, loads, s.cfg.Tolerance, s.cfg.Limits)
	if err != nil {
		return Plan{}, false
	}
	p := s.weigh(m, loads, rateMBps)
	worth := p.Gain*s.kept >= s.cfg.MinGain && float64(p.Saved) > s.cfg.Margin*float64(p.Cost)
	return p, worth && p.Weights > 0
}

// weigh compares the time saved over the life of the pattern with the time
// lost by loading and by the switch.
func (s *State) weigh(m placement.Map, loads placement.Loads, rateMBps float64) Plan {
	before, after := s.present.Cost(loads), m.Cost(loads)
	p := Plan{Map: m, Weights: m.Moved(s.present)}
	if before > 0 {
		p.Gain = (before - after) / before
	}
	loading := time.Duration(float64(p.Weights) * s.cfg.ExpertMB / rateMBps * float64(time.Second))
	// The gain starts only when the weights are loaded.
	p.Saved = time.Duration(p.Gain * float64(max(s.Life()-loading, 0)))
	p.Cost = s.cfg.SwitchCost + time.Duration(s.cfg.LoadSlowdown*float64(loading))
	return p
}

// Switched takes a map that has come into force.
func (s *State) Switched(now time.Duration, m placement.Map) {
	if !s.followed {
		s.previous, s.since, s.promised, s.realized = s.present, now, 0, 0
	}
	s.present = m
	loads, ok := s.predict.Loads(s.cfg.Ahead)
	if before := s.previous.Cost(loads); ok && before > 0 {
		s.predicted = max((before-m.Cost(loads))/before, 0)
		s.followed = true
	}
}

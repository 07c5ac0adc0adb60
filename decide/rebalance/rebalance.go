// Package rebalance decides when to change the expert map of a group, and to
// which map.
//
// A change is made if the step time that it is expected to save exceeds its cost by
// a margin. The saving depends on how long the gain lasts. This gain lifetime is
// estimated from the ratio of realized to predicted savings of earlier changes. When
// expert popularity oscillates, the estimate shrinks and changes soon stop. A large
// change is split into a sequence of smaller changes, each to a complete map. The
// new weights of each smaller change fit into the staging memory of the ranks and
// are loaded before the switch.
package rebalance

import (
	"time"

	"github.com/mulberryfork/mulberryfork/decide/placement"
)

// Config holds the settings of a group.
type Config struct {
	Shape placement.Shape
	// ExpertMB is the size of one expert's weights in one layer, in megabytes.
	ExpertMB float64
	// Tolerance is the relative excess of a layer's largest rank load over its lower
	// bound up to which the layer is left unchanged.
	Tolerance float64
	// MinGain is the minimum gain of a change, as a fraction of a step's expert time.
	MinGain float64
	// MinSavingRatio is the ratio of saving to cost that a change must exceed.
	MinSavingRatio float64
	// Limits limits the weights that one plan loads.
	Limits placement.Limits
	// LoadSlowdown is the fraction by which loading weights lengthens steps.
	LoadSlowdown float64
	// SwitchCost is the time lost by a switch: the stalled step and the
	// recomputation of the KV cache.
	SwitchCost time.Duration
	// MaxGainLifetime is the upper limit and initial value of the estimated gain
	// lifetime.
	MaxGainLifetime time.Duration
	// LevelSmoothing is the smoothing factor of the load level, from 0 to 1.
	LevelSmoothing float64
	// TrendSmoothing is the smoothing factor of the load trend, from 0 to 1. With 0, forecasts
	// ignore the trend.
	TrendSmoothing float64
	// ForecastIntervals is the forecast horizon in measurement intervals. It extends
	// from the middle of the newest interval to the middle of the period in which a
	// new map is used.
	ForecastIntervals float64
}

// Plan is a change of the map, with its estimated gain and cost.
type Plan struct {
	Map placement.Map
	// WeightsToLoad is the number of expert weights to load, counted in experts of one
	// layer.
	WeightsToLoad int
	// Gain is the fraction of a step's expert time that is saved.
	Gain float64
	// Saving is the time saved over the expected lifetime of the gain, and Cost
	// the time lost by loading and by the switch.
	Saving, Cost time.Duration
}

// State is the rebalancing state of a group. The control goroutine owns it.
type State struct {
	cfg       Config
	predictor Predictor
	current   placement.Map
	// baseline is the map before the first of the changes being evaluated.
	baseline        placement.Map
	evaluating      bool
	evaluationStart time.Duration
	lastObserved    time.Duration
	predictedGain   float64
	// predictedSaving and realizedSaving are the savings since evaluationStart,
	// in seconds.
	predictedSaving, realizedSaving float64
	// realizedRatio is the estimated ratio of realized to predicted savings.
	realizedRatio float64
}

// New returns the state of a group that runs on the current map.
func New(cfg Config, current placement.Map) *State {
	return &State{cfg: cfg, current: current, realizedRatio: 1, predictor: NewPredictor(cfg.LevelSmoothing, cfg.TrendSmoothing)}
}

// Current returns the current map.
func (s *State) Current() placement.Map { return s.current }

// GainLifetime returns how long the gain of a change is expected to last.
func (s *State) GainLifetime() time.Duration {
	return time.Duration(s.realizedRatio * float64(s.cfg.MaxGainLifetime))
}

const (
	// minRealizedRatio is the lower limit of realizedRatio. It is positive so that
	// the gain lifetime can recover.
	minRealizedRatio = 0.02
	// recoveryTime is the time constant of the growth of a reduced gain lifetime.
	// Without recovery, a group whose popularity once oscillated would never be
	// rebalanced again.
	recoveryTime = 5 * time.Minute
	// evaluationTime is how long savings are measured before realizedRatio is
	// updated.
	evaluationTime = 30 * time.Second
	// evaluationWeight is the weight of the newest evaluation in realizedRatio.
	evaluationWeight = 0.5
)

// Observe records the loads measured over an interval that ends now, and updates the
// estimated gain lifetime.
func (s *State) Observe(now time.Duration, loads placement.Loads) {
	s.predictor.Add(loads)
	elapsed := now - s.lastObserved
	s.lastObserved = now
	s.realizedRatio = min(s.realizedRatio*(1+elapsed.Seconds()/recoveryTime.Seconds()), 1)
	if s.evaluating {
		s.evaluate(now, elapsed.Seconds(), loads)
	}
}

// evaluate compares the realized and predicted savings of the current map against
// the baseline, and updates realizedRatio at the end of an evaluation.
func (s *State) evaluate(now time.Duration, seconds float64, loads placement.Loads) {
	before, after := s.baseline.Cost(loads), s.current.Cost(loads)
	if before > 0 {
		s.realizedSaving += seconds * (before - after) / before
		s.predictedSaving += seconds * s.predictedGain
	}
	if now-s.evaluationStart < evaluationTime || s.predictedSaving <= 0 {
		return
	}
	ratio := min(max(s.realizedSaving/s.predictedSaving, 0), 1)
	s.realizedRatio = max(s.realizedRatio+evaluationWeight*(ratio-s.realizedRatio), minRealizedRatio)
	s.evaluating = false
}

// Decide returns the next plan, and true if its gain and its saving are large enough
// for a change. rateMBps is the rate at which the weight store serves the group, in
// megabytes per second. At a rate of 0, no change is made.
func (s *State) Decide(rateMBps float64) (Plan, bool) {
	loads, ok := s.predictor.Forecast(s.cfg.ForecastIntervals)
	if !ok || rateMBps <= 0 {
		return Plan{}, false
	}
	m, err := placement.Update(s.current, loads, s.cfg.Tolerance, s.cfg.Limits)
	if err != nil {
		return Plan{}, false
	}
	p := s.estimate(m, loads, rateMBps)
	justified := p.Gain*s.realizedRatio >= s.cfg.MinGain && float64(p.Saving) > s.cfg.MinSavingRatio*float64(p.Cost)
	return p, justified && p.WeightsToLoad > 0
}

// estimate computes the gain, saving and cost of a switch to a map.
func (s *State) estimate(m placement.Map, loads placement.Loads, rateMBps float64) Plan {
	before, after := s.current.Cost(loads), m.Cost(loads)
	p := Plan{Map: m, WeightsToLoad: m.WeightsToLoad(s.current)}
	if before > 0 {
		p.Gain = (before - after) / before
	}
	loading := time.Duration(float64(p.WeightsToLoad) * s.cfg.ExpertMB / rateMBps * float64(time.Second))
	// The gain starts when the weights are loaded.
	p.Saving = time.Duration(p.Gain * float64(max(s.GainLifetime()-loading, 0)))
	p.Cost = s.cfg.SwitchCost + time.Duration(s.cfg.LoadSlowdown*float64(loading))
	return p
}

// RecordSwitch records a switch to a map and starts to evaluate its savings. An
// evaluation in progress continues with the new map and the same baseline.
func (s *State) RecordSwitch(now time.Duration, m placement.Map) {
	if !s.evaluating {
		s.baseline, s.evaluationStart, s.predictedSaving, s.realizedSaving = s.current, now, 0, 0
	}
	s.current = m
	loads, ok := s.predictor.Forecast(s.cfg.ForecastIntervals)
	if before := s.baseline.Cost(loads); ok && before > 0 {
		s.predictedGain = max((before-m.Cost(loads))/before, 0)
		s.evaluating = true
	}
}

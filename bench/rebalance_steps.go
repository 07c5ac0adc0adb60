package bench

import (
	"time"

	"github.com/mulberryfork/mulberryfork/decide/expertmap"
	"github.com/mulberryfork/mulberryfork/decide/placement"
)

// stepKey identifies a step.
type stepKey struct {
	session expertmap.Token
	step    uint64
}

// inSameStep reports whether all ranks have entered the same step of one session.
func (g *expertGroup) inSameStep() bool {
	first := &g.engines[0]
	for i := range g.engines {
		o := &g.engines[i]
		if o.Session.Token != first.Session.Token || o.Step != first.Step {
			return false
		}
	}
	return !first.Session.Token.IsZero()
}

// runStep starts the next step if all ranks have entered it.
func (g *expertGroup) runStep() {
	if g.running || !g.inSameStep() {
		return
	}
	session, step := g.engines[0].Session.Token, g.engines[0].Step
	if g.lastStep == (stepKey{session, step}) {
		return
	}
	g.running = true
	g.recordStall()
	g.stats.steps++
	active := g.engines[0].Active.Map
	for i := range g.engines {
		if g.engines[i].Active.Map != active {
			g.stats.mixedSteps++
			break
		}
	}
	duration := g.stepTime(active)
	g.events.After(duration, func() { g.finishStep(session, step) })
}

// recordStall records the time since the last step ended as a stall. A stall that
// follows an engine restart is recorded separately.
func (g *expertGroup) recordStall() {
	stall := g.events.Now() - g.lastStepAt
	switch {
	case g.crashed:
		g.stats.longestCrashStall = max(g.stats.longestCrashStall, stall)
	case stall > 0:
		g.stats.longestStall = max(g.stats.longestStall, stall)
		g.stats.stallTime += stall
		g.stats.stalledSteps++
	}
	g.crashed = false
}

// loadResolution is the interval within which expert loads are treated as constant.
const loadResolution = 250 * time.Millisecond

// stepTime returns the duration of a step, which the rank with the largest load in
// each layer determines.
func (g *expertGroup) stepTime(id expertmap.MapID) time.Duration {
	if at := g.events.Now() / loadResolution; at != g.skewAt || id != g.skewMap {
		loads := g.load.at(g.events.Now())
		g.skew, g.skewAt, g.skewMap = g.maps[id].Cost(loads)/meanCost(groupShape, loads), at, id
	}
	skew := g.skew
	g.stats.skew = append(g.stats.skew, skew)
	duration := baseStep + time.Duration(skew*float64(expertStep))
	if g.loadingUntil > g.events.Now() {
		slowdown := time.Duration(loadSlowdown * float64(duration))
		g.stats.loadingTime += slowdown
		duration += slowdown
	}
	return duration
}

// meanCost returns the cost under perfect balance.
func meanCost(s placement.Shape, loads placement.Loads) float64 {
	total := 0.0
	for _, layer := range loads {
		for _, x := range layer {
			total += x / float64(s.Ranks)
		}
	}
	return total
}

func (g *expertGroup) finishStep(session expertmap.Token, step uint64) {
	g.running = false
	if !g.inSameStep() || g.engines[0].Session.Token != session || g.engines[0].Step != step {
		// A new session was formed during the step.
		g.runStep()
		return
	}
	g.lastStepAt = g.events.Now()
	g.lastStep = stepKey{session, step}
	g.enterSteps()
}

// enterSteps makes every engine that is not blocked enter the step after lastStep,
// and runs the step if all engines have entered it.
func (g *expertGroup) enterSteps() {
	if !g.running {
		g.enterUnblocked()
	}
	g.runStep()
}

func (g *expertGroup) enterUnblocked() {
	var target uint64
	for i := range g.engines {
		target = max(target, g.engines[i].Step)
	}
	session := g.engines[0].Session.Token
	for i := range g.engines {
		if g.engines[i].Session.Token != session {
			return
		}
	}
	if g.inSameStep() {
		if g.lastStep != (stepKey{session, target}) {
			return
		}
		target++
	}
	for i := range g.engines {
		if engine := &g.engines[i]; engine.Step < target && !engine.Blocked() {
			before := engine.Active.Map
			engine.EnterStep()
			if i == 0 && engine.Active.Map != before {
				g.stats.switches++
			}
			if g.pausedUntil[i] <= g.events.Now() {
				g.execute(i, g.participants[i].Observe(g.events.Now(), engine.EngineState))
			}
		}
	}
}

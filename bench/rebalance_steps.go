package bench

import (
	"time"

	"github.com/mulberryfork/mulberryfork/decide/expertmap"
	"github.com/mulberryfork/mulberryfork/decide/placement"
)

// stepKey names a step.
type stepKey struct {
	session expertmap.Token
	step    uint64
}

// together says whether all ranks have entered the same step of one session.
func (g *expertGroup) together() bool {
	first := &g.gates[0]
	for i := range g.gates {
		o := &g.gates[i]
		if o.Session.Token != first.Session.Token || o.Step != first.Step {
			return false
		}
	}
	return !first.Session.Token.IsZero()
}

// runStep runs a step that all ranks have entered.
func (g *expertGroup) runStep() {
	if g.running || !g.together() {
		return
	}
	session, step := g.gates[0].Session.Token, g.gates[0].Step
	if g.done == (stepKey{session, step}) {
		return
	}
	g.running = true
	g.endStandstill()
	g.stats.steps++
	active := g.gates[0].Active.Map
	for i := range g.gates {
		if g.gates[i].Active.Map != active {
			g.stats.mixed++
			break
		}
	}
	took := g.stepTime(active)
	g.tl.After(took, func() { g.finishStep(session, step) })
}

// endStandstill accounts for the time since the last step ended.
func (g *expertGroup) endStandstill() {
	waited := g.tl.Now() - g.finished
	switch {
	case g.crashed:
		g.stats.longestCrash = max(g.stats.longestCrash, waited)
	case waited > 0:
		g.stats.longestHold = max(g.stats.longestHold, waited)
		g.stats.stallTime += waited
		g.stats.stalled++
	}
	g.crashed = false
}

// loadResolution is the time for which loads are taken as constant.
const loadResolution = 250 * time.Millisecond

// stepTime is that of the rank with the largest load in each layer.
func (g *expertGroup) stepTime(id expertmap.MapID) time.Duration {
	if at := g.tl.Now() / loadResolution; at != g.skewAt || id != g.skewOf {
		loads := g.load.at(g.tl.Now())
		g.skew, g.skewAt, g.skewOf = g.maps[id].Cost(loads)/meanCost(groupShape, loads), at, id
	}
	skew := g.skew
	g.stats.skew = append(g.stats.skew, skew)
	took := baseStep + time.Duration(skew*float64(expertStep))
	if g.loadingUntil > g.tl.Now() {
		slower := time.Duration(loadSlowdown * float64(took))
		g.stats.loadingTime += slower
		took += slower
	}
	return took
}

// meanCost is the cost under perfect balance.
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
	if !g.together() || g.gates[0].Session.Token != session || g.gates[0].Step != step {
		// A new session was formed meanwhile.
		g.runStep()
		return
	}
	g.finished = g.tl.Now()
	g.done = stepKey{session, step}
	g.enterSteps()
}

// enterSteps lets every engine that is not held enter the step after the one
// that the group finished last.
func (g *expertGroup) enterSteps() {
	if !g.running {
		g.enterFree()
	}
	g.runStep()
}

func (g *expertGroup) enterFree() {
	var newest uint64
	for i := range g.gates {
		newest = max(newest, g.gates[i].Step)
	}
	session := g.gates[0].Session.Token
	for i := range g.gates {
		if g.gates[i].Session.Token != session {
			return
		}
	}
	if g.together() {
		if g.done != (stepKey{session, newest}) {
			return
		}
		newest++
	}
	for i := range g.gates {
		if gate := &g.gates[i]; gate.Step < newest && !gate.Blocked() {
			before := gate.Active.Map
			gate.EnterStep()
			if i == 0 && gate.Active.Map != before {
				g.stats.switches++
			}
			if g.awake[i] <= g.tl.Now() {
				g.do(i, g.ranks[i].Observe(g.tl.Now(), gate.EngineState))
			}
		}
	}
}

package edgepool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/proof/schedule"
)

// drillAct is a kind of event in a run with drills.
type drillAct string

const (
	actDrill   drillAct = "drill"
	actVersion drillAct = "version"
	// actDrain makes an upstream report draining and end later, actRemove removes the entry
	// of one that goes on serving.
	actDrain  drillAct = "drain"
	actRemove drillAct = "remove"
	actKill   drillAct = "kill"
	actStop   drillAct = "stop"
	actPause  drillAct = "pause"
	actHangup drillAct = "hangup"
	// actCut cuts an edge from the store.
	actCut    drillAct = "cut"
	actReset  drillAct = "reset"
	actForget drillAct = "forget"
)

// drillEvent is a planned event. Target is the number of an edge or upstream.
type drillEvent struct {
	at     time.Duration
	act    drillAct
	target int
	// length is the time for which the event lasts: the store is away, a process is down or
	// paused, a link is cut, or an upstream that departs goes on serving.
	length time.Duration
	// copyAge is the age of the copy from which the store comes back, and rewriteDelay the
	// time from then until the operator writes the configuration again.
	copyAge, rewriteDelay time.Duration
}

const (
	drillLead     = 5 * time.Second
	drillTail     = 8 * time.Second
	minStoreAway  = 300 * time.Millisecond
	maxStoreAway  = 5 * time.Second
	maxCopyAge    = 10 * time.Second
	maxRewrite    = 2500 * time.Millisecond
	beatInterval  = 1200 * time.Millisecond
	leaseDuration = 3 * beatInterval
	// startTime is the time that the start of a process takes in the plan, and stopTime that
	// of a graceful shutdown.
	startTime = time.Second
	stopTime  = stopDeadline + time.Second
	// departedPause is the time from the end of an upstream to the departure of the next one
	// of its service.
	departedPause = time.Second
)

// drillPlanner draws the events of a run.
type drillPlanner struct {
	random *rand.Rand
	events []drillEvent
	// edges and services hold the times at which an edge, or the upstreams of a service, are
	// disturbed.
	edges, services []spans
}

type span struct{ from, until time.Duration }

type spans []span

// reserve adds a span and reports whether it overlaps none of the others.
func (s *spans) reserve(n span) bool {
	if slices.ContainsFunc(*s, func(o span) bool { return n.from < o.until && o.from < n.until }) {
		return false
	}
	*s = append(*s, n)
	return true
}

// planDrills draws the events of a run for a number of edges and two services with
// upstreamsPerService upstreams each. They are sorted by time.
func planDrills(r *rand.Rand, length time.Duration, edges, upstreamsPerService int) []drillEvent {
	p := &drillPlanner{random: r, edges: make([]spans, edges), services: make([]spans, len(services))}
	for at := drillLead + p.between(0, 3*time.Second); at < length-drillTail; {
		at = p.planDrill(at, upstreamsPerService)
	}
	for at := p.between(time.Second, 4*time.Second); at < length-drillTail/2; at += p.between(time.Second, 4*time.Second) {
		p.add(drillEvent{at: at, act: actVersion})
	}
	for at := p.between(2*time.Second, 6*time.Second); at < length-drillTail; at += p.between(3*time.Second, 8*time.Second) {
		act := schedule.Pick([]drillAct{actDrain, actRemove, actKill, actStop, actPause, actHangup, actReset, actForget}, r)
		p.disturb(at, act, upstreamsPerService)
	}
	slices.SortStableFunc(p.events, func(a, b drillEvent) int { return cmp.Compare(a.at, b.at) })
	return p.events
}

func (p *drillPlanner) add(e drillEvent) { p.events = append(p.events, e) }

func (p *drillPlanner) between(from, to time.Duration) time.Duration {
	return from + time.Duration(p.random.Int64N(int64(to-from)))
}

func (p *drillPlanner) oneIn(n int) bool { return p.random.IntN(n) == 0 }

// planDrill plans a drill with events around it and returns the time of the next one.
func (p *drillPlanner) planDrill(at time.Duration, upstreamsPerService int) time.Duration {
	drill := drillEvent{
		at: at, act: actDrill, length: p.between(minStoreAway, maxStoreAway),
		copyAge: p.between(0, maxCopyAge), rewriteDelay: p.between(0, maxRewrite),
	}
	p.add(drill)
	back := at + drill.length
	var gap time.Duration
	switch p.random.IntN(4) {
	case 0:
		gap = p.between(50*time.Millisecond, beatInterval)
	case 1:
		gap = p.between(beatInterval, 8*time.Second)
	default:
		gap = p.between(18*time.Second, 26*time.Second)
	}
	if p.oneIn(2) {
		p.add(drillEvent{at: at - p.between(0, 150*time.Millisecond), act: actVersion})
	}
	if p.oneIn(2) {
		p.disturb(at-p.between(100*time.Millisecond, 2500*time.Millisecond), actDrain, upstreamsPerService)
	}
	if p.oneIn(3) {
		p.disturb(at-p.between(100*time.Millisecond, 4*time.Second), actRemove, upstreamsPerService)
	}
	if p.oneIn(2) {
		// The process is started between the return of the store and the writes that follow.
		begin := at - p.between(-drill.length, time.Second)
		p.disturbEdge(drillEvent{at: begin, act: actKill, length: max(back-begin+p.between(-200*time.Millisecond, 800*time.Millisecond), 0)})
	}
	if p.oneIn(3) {
		begin := at - p.between(0, time.Second)
		p.disturbEdge(drillEvent{at: begin, act: actCut, length: back + min(gap+maxStoreAway, 10*time.Second) - begin})
	}
	for _, act := range []drillAct{actStop, actPause, actHangup, actReset, actForget} {
		if p.oneIn(4) {
			p.disturb(at+p.between(-time.Second, drill.length+time.Second), act, upstreamsPerService)
		}
	}
	return back + gap
}

// disturb plans a departure of an upstream or a disturbance of edges.
func (p *drillPlanner) disturb(at time.Duration, act drillAct, upstreamsPerService int) {
	e := drillEvent{at: at, act: act}
	switch act {
	case actDrain, actRemove:
		service := p.random.IntN(len(services))
		e.target = service*upstreamsPerService + p.random.IntN(upstreamsPerService)
		e.length = p.between(3*time.Second, 14*time.Second)
		if p.services[service].reserve(span{at, at + e.length + leaseDuration + departedPause}) {
			p.add(e)
		}
	case actReset, actForget:
		p.add(e)
	case actPause:
		e.length = p.between(3200*time.Millisecond, 6*time.Second)
		p.disturbEdge(e)
	default:
		e.length = p.between(0, 2*time.Second)
		p.disturbEdge(e)
	}
}

// disturbEdge plans an event at an edge that is undisturbed, if there is one among a few
// draws.
func (p *drillPlanner) disturbEdge(e drillEvent) {
	disturbed := span{e.at, e.at + e.length + startTime}
	if e.act == actStop {
		disturbed.until += stopTime
	}
	for range len(p.edges) {
		e.target = p.random.IntN(len(p.edges))
		if p.edges[e.target].reserve(disturbed) {
			p.add(e)
			return
		}
	}
}

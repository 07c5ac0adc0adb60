package edgepool

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against drills that overlap, and against edges that are disturbed by two events at a
// time, which would start a process twice.
func TestPlannedEventsDoNotOverlap(t *testing.T) {
	const edges, upstreamsPerService = 6, 3
	for seed := range uint64(50) {
		draw := func() []drillEvent {
			return planDrills(rand.New(rand.NewPCG(seed, 0)), time.Minute, edges, upstreamsPerService)
		}
		events := draw()
		if !slices.Equal(events, draw()) {
			t.Fatalf("seed %d: the events differ from draw to draw", seed)
		}
		var back time.Duration
		free := make([]time.Duration, edges)
		for _, e := range events {
			switch e.act {
			case actDrill:
				if e.at < back {
					t.Errorf("seed %d: drill at %v, but the store is away until %v", seed, e.at, back)
				}
				back = e.at + e.length
			case actKill, actStop, actPause, actHangup, actCut:
				if e.at < free[e.target] {
					t.Errorf("seed %d: %s of edge %d at %v, which is disturbed until %v", seed, e.act, e.target, e.at, free[e.target])
				}
				free[e.target] = e.at + e.length
			}
		}
		if back == 0 {
			t.Errorf("seed %d: no drill", seed)
		}
	}
}

// Guards against versions without a new route, and against requests on routes or with keys
// that no version had.
func TestVersionsOfConfiguration(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 0))
	var c configState
	known := map[string]bool{firstPath: true, firstKey: true}
	for range 200 {
		last := c.version()
		c = c.next(r)
		v := c.version()
		newest := c.draw(requestNewestRoute, r).path
		if v.Number <= last.Number || last.Routes[newest] != "" || v.Routes[newest] == "" {
			t.Fatalf("version %d: newest route %s; version %d: %v", v.Number, newest, last.Number, last.Routes)
		}
		known[newest] = true
		for k := range v.Keys {
			known[k] = true
		}
		for kind := range drillRequestKinds {
			if q := c.draw(kind, r); !known[q.path] || !known[q.key] {
				t.Fatalf("version %d: request %+v", v.Number, q)
			}
		}
		if v.Routes[firstPath] != last.Routes[firstPath] || !v.Keys[firstKey] {
			t.Fatalf("version %d lacks the first route or key", v.Number)
		}
	}
}

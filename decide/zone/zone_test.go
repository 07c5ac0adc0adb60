package zone

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/route"
)

func snapshot(revision uint64, state api.ZoneState) *api.Snapshot {
	c := &api.Config{
		Members:   map[string]api.Member{"a": {Share: 3}, "b": {Share: 1}},
		Zones:     map[string]api.Zone{"z0": {State: state}, "z1": {State: api.ZoneIn}, "z2": {State: api.ZoneIn}},
		Upstreams: map[string]api.Upstream{},
	}
	for i := range 6 {
		c.Upstreams[fmt.Sprintf("u%d", i)] = api.Upstream{
			Kind: api.UpstreamModel, Zone: fmt.Sprintf("z%d", i%3), Models: []string{"m"}, ColdRequests: 2,
		}
	}
	return &api.Snapshot{Revision: revision, Config: c}
}

func reportLoads(s *State, running, limit uint32) {
	for i := range 6 {
		s.ObserveLoad(api.Load{Upstream: fmt.Sprintf("u%d", i), Accepting: true, Running: running, LimitRequests: limit})
	}
}

func stateAfterZoneChange(state api.ZoneState) *State {
	s := New()
	s.Configure(0, snapshot(1, api.ZoneIn))
	s.Configure(0, snapshot(2, state))
	return s
}

var query = api.RouteQuery{Member: "a", Model: "m"}

// TestAdmit guards against queues that grow without bound while a zone is out of
// service, and against requests that are refused although upstreams have capacity.
func TestAdmit(t *testing.T) {
	cases := []struct {
		name  string
		state api.ZoneState
		// running is the reported load of each upstream, whose limit is 10. sent is
		// the number of the member's attempts in flight.
		running uint32
		sent    int
		change  func(*api.RouteQuery)
		refused bool
	}{
		{"all in", api.ZoneIn, 40, 8, nil, false},
		{"capacity left", api.ZoneOut, 10, 8, nil, false},
		{"full", api.ZoneOut, 40, 8, nil, true},
		{"full, member below its share", api.ZoneOut, 12, 0, nil, false},
		{"retried request", api.ZoneOut, 40, 8, func(q *api.RouteQuery) { q.Exclude = []string{"u0"} }, false},
		{"pinned to an upstream", api.ZoneOut, 40, 8, func(q *api.RouteQuery) { q.OnlyUpstream = "u1" }, false},
		{"another model", api.ZoneOut, 40, 8, func(q *api.RouteQuery) { q.Model = "x" }, false},
	}
	for _, c := range cases {
		s, q := stateAfterZoneChange(c.state), query
		for range c.sent {
			s.RecordAttempt(0, "a", api.RouteChoice{Upstream: "u1"})
		}
		reportLoads(s, c.running, 10)
		if c.change != nil {
			c.change(&q)
		}
		f := s.Admit(q)
		if (f != nil) != c.refused || (f != nil && f.Run != api.NotRun) {
			t.Errorf("%s: unexpected result %v", c.name, f)
		}
	}
}

// TestLeavingZoneMovesPrefixesWithinBudget guards against a leaving zone whose
// cached prefixes are all recomputed elsewhere at once, and against prefixes that
// never move.
func TestLeavingZoneMovesPrefixesWithinBudget(t *testing.T) {
	s := stateAfterZoneChange(api.ZoneLeaving)
	kept, moved := 0, 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		s.RecordAttempt(now, "a", api.RouteChoice{Upstream: "u1", UncachedTokens: 100})
		if s.Allows(now, "u0", route.CacheEstimate{Cached: 1000}) {
			kept++
			continue
		}
		moved++
		s.RecordAttempt(now, "a", api.RouteChoice{Upstream: "u1", UncachedTokens: 1000, CachedElsewhere: 1000})
	}
	if s.Allows(0, "u0", route.CacheEstimate{UncachedTokens: 500}) {
		t.Error("leaving upstream may get a new prefix")
	}
	// 100 tokens every 10 ms for a minute are 600,000 tokens, or 600 prefixes. The rate
	// includes the tokens of moved prefixes.
	maxMoved := LeaveRecomputeFraction / (1 - LeaveRecomputeFraction) * 600
	if kept == 0 || float64(moved) > 1.1*maxMoved || float64(moved) < 0.5*maxMoved {
		t.Errorf("%d prefixes moved, want about %.0f", moved, maxMoved)
	}
}

// TestReturningUpstreamIsLimited guards against too many requests on a returning,
// cold upstream, and against a ramp that never ends.
func TestReturningUpstreamIsLimited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := stateAfterZoneChange(api.ZoneOut)
		s.Configure(0, snapshot(3, api.ZoneIn))
		reportLoads(s, 8, 10)
		inFlight := map[string]int{}
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				name := fmt.Sprintf("u%d", rapid.IntRange(0, 5).Draw(t, "upstream"))
				cachedElsewhere := rapid.IntRange(0, 1).Draw(t, "lost") * 500
				if !s.Allows(now, name, route.CacheEstimate{UncachedTokens: 500, CachedElsewhere: float64(cachedElsewhere)}) {
					return
				}
				s.RecordAttempt(now, "a", api.RouteChoice{Upstream: name, UncachedTokens: 500, CachedElsewhere: uint32(cachedElsewhere)})
				inFlight[name]++
				if s.Ramping(name) && inFlight[name] > 10 {
					t.Fatalf("%d requests in flight on a returning upstream with limit 10", inFlight[name])
				}
			},
			"end": func(t *rapid.T) {
				name := fmt.Sprintf("u%d", rapid.IntRange(0, 5).Draw(t, "upstream"))
				if inFlight[name] > 0 {
					inFlight[name]--
					s.RecordEnd("a", name)
				}
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			},
		})
	})
	s := stateAfterZoneChange(api.ZoneOut)
	s.Configure(0, snapshot(3, api.ZoneIn))
	reportLoads(s, 8, 10)
	for i := range 2 * RampMinAttempts {
		now := time.Duration(i) * time.Second
		for _, name := range []string{"u0", "u3"} {
			s.RecordAttempt(now, "a", api.RouteChoice{Upstream: name})
			s.RecordEnd("a", name)
		}
	}
	if s.HasUnsteadyUpstreams() {
		t.Error("ramp has not ended")
	}
}

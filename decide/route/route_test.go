package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const testModel = "m"

func testConfig(n int) *api.Config {
	c := &api.Config{
		Members:   map[string]api.Member{"a": {}, "z2": {Zones: []string{"z2"}}, "u1": {Upstreams: []string{"u1"}}},
		Zones:     map[string]api.Zone{"z1": {State: api.ZoneIn}, "z2": {State: api.ZoneIn}},
		Upstreams: map[string]api.Upstream{"p0": {Kind: api.UpstreamPlain, Zone: "z1", Service: "book", ColdRequests: 2}},
	}
	for i := range n {
		c.Upstreams[fmt.Sprintf("u%d", i)] = api.Upstream{
			Kind: api.UpstreamModel, Zone: fmt.Sprintf("z%d", 1+i%2), Models: []string{testModel}, MaxTokens: 1000,
		}
	}
	return c
}

func newReadyState(o Options, c *api.Config) *State {
	s := New(o)
	s.Configure(&api.Snapshot{Revision: 1, Config: c})
	for name := range c.Upstreams {
		s.LinkUp(name, api.LinkState{Up: true, Incarnation: 1})
		s.Load(0, api.Load{Upstream: name, Incarnation: 1, Accepting: true, LimitTokens: 1000, LimitRequests: 10})
	}
	return s
}

func mustChoose(t *testing.T, s *State, now time.Duration, q api.RouteQuery) api.RouteChoice {
	t.Helper()
	c, f := s.Choose(now, q)
	if f != nil {
		t.Fatalf("refused: %v", f)
	}
	return c
}

// TestEligibility guards against requests sent to ineligible upstreams, and against
// a refusal with the wrong failure code.
func TestEligibility(t *testing.T) {
	modelQuery := api.RouteQuery{Member: "a", Model: testModel, CostTokens: 10}
	cases := []struct {
		name   string
		change func(*State, *api.Config, *api.RouteQuery)
		want   string
		code   api.Code
	}{
		{"zone of member", func(_ *State, _ *api.Config, q *api.RouteQuery) { q.Member = "z2" }, "u1", ""},
		{"upstream of member", func(_ *State, _ *api.Config, q *api.RouteQuery) { q.Member = "u1" }, "u1", ""},
		{"unknown member", func(_ *State, _ *api.Config, q *api.RouteQuery) { q.Member = "x" }, "", api.CodeForbidden},
		{"unknown model", func(_ *State, _ *api.Config, q *api.RouteQuery) { q.Model = "x" }, "", api.CodeNoUpstream},
		{"plain service", func(_ *State, _ *api.Config, q *api.RouteQuery) { q.Service = "book" }, "p0", ""},
		{"excluded", func(_ *State, _ *api.Config, q *api.RouteQuery) { q.Exclude = []string{"u0"} }, "u1", ""},
		{"all excluded", func(_ *State, _ *api.Config, q *api.RouteQuery) { q.Exclude = []string{"u0", "u1"} }, "", api.CodeNoUpstream},
		{"zone out", func(_ *State, c *api.Config, _ *api.RouteQuery) { c.Zones["z1"] = api.Zone{State: api.ZoneOut} }, "u1", ""},
		{"requested upstream in zone out", func(_ *State, c *api.Config, q *api.RouteQuery) {
			c.Zones["z1"] = api.Zone{State: api.ZoneOut}
			q.OnlyUpstream = "u0"
		}, "", api.CodeZoneOut},
		{"leaving", func(_ *State, c *api.Config, _ *api.RouteQuery) {
			u := c.Upstreams["u0"]
			u.Leaving = true
			c.Upstreams["u0"] = u
		}, "u1", ""},
		{"link down", func(s *State, _ *api.Config, _ *api.RouteQuery) { s.LinkDown("u0") }, "u1", ""},
		{"not accepting", func(s *State, _ *api.Config, _ *api.RouteQuery) {
			s.Load(0, api.Load{Upstream: "u0", Incarnation: 1})
		}, "u1", ""},
		{"ejected", func(s *State, _ *api.Config, _ *api.RouteQuery) { s.SetHealth("u0", Ejected) }, "u1", ""},
		{"requested upstream ejected", func(s *State, _ *api.Config, q *api.RouteQuery) {
			s.SetHealth("u0", Ejected)
			q.OnlyUpstream = "u0"
		}, "u0", ""},
		{"cold, at request limit", func(s *State, _ *api.Config, q *api.RouteQuery) {
			s.Load(0, api.Load{Upstream: "u0", Incarnation: 1, Accepting: true, Cold: true, LimitRequests: 1, Running: 1})
			q.OnlyUpstream = "u0"
		}, "", api.CodeColdUpstream},
		{"cold, second request before first report", func(s *State, _ *api.Config, q *api.RouteQuery) {
			s.LinkUp("u0", api.LinkState{Incarnation: 2})
			_, _ = s.Choose(0, api.RouteQuery{Member: "a", Model: testModel, OnlyUpstream: "u0"})
			q.OnlyUpstream = "u0"
		}, "", api.CodeColdUpstream},
		{"cold, at request limit, request that may wait", func(s *State, _ *api.Config, q *api.RouteQuery) {
			fillColdUpstreams(s, "u0", "u1")
			q.MayWait = true
		}, "u0", ""},
		{"cold, at request limit, another one with room", func(s *State, _ *api.Config, q *api.RouteQuery) {
			fillColdUpstreams(s, "u0")
			q.MayWait = true
		}, "u1", ""},
		{"cold, at request limit and ejected, request that may wait", func(s *State, _ *api.Config, q *api.RouteQuery) {
			fillColdUpstreams(s, "u0", "u1")
			s.SetHealth("u0", Ejected)
			s.SetHealth("u1", Ejected)
			q.MayWait = true
		}, "", api.CodeColdUpstream},
		{"cold, full before first report, request that may wait", func(s *State, _ *api.Config, q *api.RouteQuery) {
			for _, u := range []string{"u0", "u1"} {
				s.LinkUp(u, api.LinkState{Incarnation: 2})
				_, _ = s.Choose(0, api.RouteQuery{Member: "a", Model: testModel, OnlyUpstream: u})
			}
			q.MayWait = true
		}, "", api.CodeColdUpstream},
	}
	for _, c := range cases {
		conf, q := testConfig(2), modelQuery
		s := newReadyState(Options{Zone: "z1"}, conf)
		c.change(s, conf, &q)
		s.Configure(&api.Snapshot{Revision: 2, Config: conf})
		got, f := s.Choose(0, q)
		if (f == nil) != (c.code == "") || got.Upstream != c.want || (f != nil && (f.Code != c.code || f.Run != api.NotRun)) {
			t.Errorf("%s: chose %q, failure %v", c.name, got.Upstream, f)
		}
	}
}

// fillColdUpstreams reports that cold upstreams run as many requests as they may.
func fillColdUpstreams(s *State, names ...string) {
	for _, name := range names {
		s.Load(0, api.Load{Upstream: name, Incarnation: 1, Accepting: true, Cold: true, LimitRequests: 1, Running: 1})
	}
}

// TestReasons guards against a choice reported with the wrong reason, for example
// cache affinity although only one upstream could take the request.
func TestReasons(t *testing.T) {
	prefix := []uint64{1, 2, 3, 4}
	query := api.RouteQuery{Member: "a", Model: testModel, CostTokens: 10}
	s := newReadyState(Options{Zone: "z1", BlockTokens: 100}, testConfig(3))
	first := query
	first.PrefixHashes, first.OnlyUpstream = prefix, "u1"
	repeated := query
	repeated.PrefixHashes = prefix
	for _, c := range []struct {
		name   string
		query  api.RouteQuery
		want   api.RouteReason
		chosen string
	}{
		{"one upstream requested", first, api.RouteSoleCandidate, "u1"},
		{"cached in another zone by the first query", repeated, api.RouteAffinity, "u1"},
		{"one upstream serves", api.RouteQuery{Member: "a", Service: "book"}, api.RouteSoleCandidate, "p0"},
		{"nothing cached", query, api.RouteLeastWork, ""},
	} {
		got := mustChoose(t, s, 0, c.query)
		if got.Reason != c.want || c.chosen != "" && got.Upstream != c.chosen {
			t.Errorf("%s: chose %s with reason %q, want %q", c.name, got.Upstream, got.Reason, c.want)
		}
	}
}

// TestGapPolicies guards against index entries that are kept or dropped contrary
// to the policy after a gap in the cache events.
func TestGapPolicies(t *testing.T) {
	prefix := []uint64{1, 2, 3, 4}
	cases := []struct {
		name    string
		policy  GapPolicy
		seq     uint64
		after   time.Duration
		misses  int
		wantHit bool
	}{
		{"no gap", GapDrop, 5, 0, 0, true},
		{"late report", GapDrop, 3, 0, 0, true},
		{"gap, dropped", GapDrop, 9, 0, 0, false},
		{"gap, stale kept", GapKeepStale, 9, 0, 0, true},
		{"gap, stale expired", GapKeepStale, 9, staleTTL, 0, false},
		{"gap, distrusted after misses", GapKeepStale, 9, 0, 12, false},
	}
	for _, c := range cases {
		s := newReadyState(Options{Zone: "z1", Gap: c.policy}, testConfig(2))
		load := api.Load{Upstream: "u1", Incarnation: 1, Accepting: true, LimitTokens: 1000, PrefixAdded: prefix, CacheSeq: 4}
		s.Load(0, load)
		load.PrefixAdded, load.CacheSeq = []uint64{99}, c.seq
		s.Load(0, load)
		for range c.misses {
			s.upstreams["u1"].cache.updateTrust(api.CacheMiss, true)
		}
		got := mustChoose(t, s, c.after, api.RouteQuery{Member: "a", Model: testModel, CostTokens: 10, PrefixHashes: prefix})
		if (got.Upstream == "u1") != c.wantHit {
			t.Errorf("%s: chose %s", c.name, got.Upstream)
		}
	}
}

// TestHotPrefixIsSpread guards against one upstream that gets all requests of
// a popular prompt while others are idle.
func TestHotPrefixIsSpread(t *testing.T) {
	// 0 selects the default fraction, -1 disables spreading.
	for _, fraction := range []float64{0, -1} {
		s := newReadyState(Options{Zone: "z1", SpreadFraction: fraction, WorkWeight: 0.001}, testConfig(4))
		used := make(map[string]bool)
		for range 20 {
			q := api.RouteQuery{Member: "a", Model: testModel, CostTokens: 100, PrefixHashes: []uint64{1, 2, 3, 4, 5}}
			c := mustChoose(t, s, 0, q)
			used[c.Upstream] = true
			// Otherwise outstanding work would also spread the requests.
			if s.upstreams[c.Upstream].load.Tokens == 0 && fraction < 0 {
				s.Done(0, api.RouteResult{Ticket: c.Ticket})
			}
		}
		if (len(used) > 1) != (fraction == 0) {
			t.Errorf("spread fraction %v: used %v", fraction, used)
		}
	}
}

// TestRequestThatDidNotRunLeavesNoIndexEntries guards against a prefix index that
// keeps the entries of a request that did not run, or loses the entries that an
// earlier request added.
func TestRequestThatDidNotRunLeavesNoIndexEntries(t *testing.T) {
	s := newReadyState(Options{}, testConfig(1))
	q := api.RouteQuery{Member: "a", Model: testModel, PrefixHashes: []uint64{1, 2}}
	refused := mustChoose(t, s, 0, q)
	s.Done(0, api.RouteResult{Ticket: refused.Ticket, Failure: api.NewFailure(api.CodeQueueFull, api.NotRun, "")})
	if s.IndexEntries() != 0 {
		t.Errorf("%d entries of a refused request", s.IndexEntries())
	}
	s.Done(0, api.RouteResult{Ticket: mustChoose(t, s, 0, q).Ticket})
	unsent := mustChoose(t, s, 0, q)
	s.Done(0, api.RouteResult{Ticket: unsent.Ticket, Unsent: true})
	if s.IndexEntries() != 2 {
		t.Errorf("%d entries, want the 2 of the request that ran", s.IndexEntries())
	}
}

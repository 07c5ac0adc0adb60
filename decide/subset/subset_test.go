package subset

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testZones = 6

func region(zone int) string { return fmt.Sprintf("r%d", zone/3) }

func testUpstreams(n int) []Upstream {
	all := make([]Upstream, n)
	for i := range all {
		zone := i % testZones
		all[i] = Upstream{
			Name: fmt.Sprintf("u%03d", i), Zone: fmt.Sprint("z", zone), Region: region(zone),
			Pools: []string{fmt.Sprint("m", i/testZones%6)},
		}
	}
	return all
}

func testRouters(n int) []Node {
	all := make([]Node, n)
	for i := range all {
		zone := i % testZones
		all[i] = Node{Name: fmt.Sprintf("r%03d", i), Zone: fmt.Sprint("z", zone), Region: region(zone)}
	}
	return all
}

// TestCoverage guards against an agent that no router reaches, a router without
// agents of a model in its region, and more links than the budget allows, at
// the full size and with a region cut off.
func TestCoverage(t *testing.T) {
	upstreams, nodes := testUpstreams(600), testRouters(410)
	const leastRouters = 6
	byName := map[string]Upstream{}
	for _, u := range upstreams {
		byName[u.Name] = u
	}
	local := map[string]int{}
	for _, r := range nodes {
		names := Choose(r, upstreams, nodes)
		if len(names) > 32 {
			t.Fatalf("%s holds %d links", r.Name, len(names))
		}
		models := map[string]int{}
		for _, name := range names {
			u := byName[name]
			if u.Region == r.Region {
				models[u.Pools[0]]++
				local[name]++
			}
		}
		for m := range 6 {
			if n := models[fmt.Sprint("m", m)]; n < OwnZoneLinks+2*OtherZoneLinks {
				t.Errorf("%s reaches %d agents of model %d in its region", r.Name, n, m)
			}
		}
	}
	for _, u := range upstreams {
		if local[u.Name] < leastRouters {
			t.Errorf("%s is held by %d routers of its region", u.Name, local[u.Name])
		}
	}
}

// TestFullMeshWithFewUpstreams guards today's deployments against a subset that
// leaves out upstreams without need.
func TestFullMeshWithFewUpstreams(t *testing.T) {
	if n := len(Choose(Node{Name: "r", Zone: "z0"}, testUpstreams(15), nil)); n != 15 {
		t.Errorf("%d of 15 upstreams", n)
	}
}

// TestLinksChangeOneAtATime guards against a change of the lists that makes a
// router drop its links together, loses a link on demand in use, or never
// reaches the subset.
func TestLinksChangeOneAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := Node{Name: "r000", Zone: "z0"}
		all, nodes := testUpstreams(120), testRouters(30)
		s := New(self)
		s.Upstreams("r0", all)
		now := time.Duration(0)
		var demanded string
		t.Repeat(map[string]func(*rapid.T){
			"upstreams": func(t *rapid.T) {
				before := s.Links()
				gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
				present := slices.Delete(slices.Clone(all), gone, gone+1)
				s.Upstreams("r0", present)
				if lost := len(before) - len(s.Links()); lost > 1 {
					t.Fatalf("%d links closed for one upstream", lost)
				}
				if all[gone].Name == demanded {
					demanded = ""
				}
			},
			"routers": func(t *rapid.T) {
				s.Routers(nodes[:rapid.IntRange(1, len(nodes)).Draw(t, "routers")])
			},
			"demand": func(t *rapid.T) {
				name := rapid.SampledFrom(all).Draw(t, "name").Name
				if s.Demand(now, name); s.known[name] {
					demanded = name
				}
			},
			"step": func(t *rapid.T) {
				now += 2 * time.Second
				if c := s.Step(now); len(c.Open)+len(c.Close) > 1 {
					t.Fatalf("moved %v", c)
				}
				if until := s.onDemandUntil[demanded]; until > now && !slices.Contains(s.Links(), demanded) {
					t.Fatalf("link on demand to %s closed", demanded)
				}
			},
		})
		now += OnDemandIdleTimeout
		for range 200 {
			now += MoveInterval
			s.Step(now)
		}
		if want := Choose(Node{Name: "r000", Zone: "z0", Region: "r0"}, s.upstreams, s.routers); !slices.Equal(s.Links(), want) {
			t.Fatalf("holds %v, want %v", s.Links(), want)
		}
	})
}

// TestReportsStayWithinBudget guards against reports that exceed the budget of
// control traffic, and against an interval longer than a heartbeat.
func TestReportsStayWithinBudget(t *testing.T) {
	for links := 1; links <= 24; links++ {
		p := PaceOf(links)
		bytes := float64(links*(baseReportBytes+p.Changes*changeBytes)) / p.Interval.Seconds()
		if p.Interval > MaxReportInterval || bytes > ReportBytesPerSecond+1 {
			t.Errorf("%d links: %+v makes %.0f bytes a second", links, p, bytes)
		}
	}
	if p := PaceOf(1000); p.Interval != MaxReportInterval || p.Changes != 0 {
		t.Errorf("%+v for 1000 links", p)
	}
}

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
	upstreams := make([]Upstream, n)
	for i := range upstreams {
		zone := i % testZones
		upstreams[i] = Upstream{
			Name: fmt.Sprintf("u%03d", i), Zone: fmt.Sprint("z", zone), Region: region(zone),
			Pools: []string{fmt.Sprint("m", i/testZones%6)},
		}
	}
	return upstreams
}

func testRouters(n int) []Router {
	routers := make([]Router, n)
	for i := range routers {
		zone := i % testZones
		routers[i] = Router{Name: fmt.Sprintf("r%03d", i), Zone: fmt.Sprint("z", zone), Region: region(zone)}
	}
	return routers
}

// TestCoverage guards against an agent with links from too few routers, a router with
// links to too few agents of a model, and more links per router than the budget
// allows, at the full size of the fleet. Only links within a region count for the
// first two, since other regions may be unreachable.
func TestCoverage(t *testing.T) {
	upstreams, routers := testUpstreams(600), testRouters(410)
	const minRouters = 6
	byName := map[string]Upstream{}
	for _, u := range upstreams {
		byName[u.Name] = u
	}
	linksInRegion := map[string]int{}
	for _, r := range routers {
		names := Choose(r, upstreams, routers)
		if len(names) > 32 {
			t.Fatalf("%s has %d links, want at most 32", r.Name, len(names))
		}
		models := map[string]int{}
		for _, name := range names {
			u := byName[name]
			if u.Region == r.Region {
				models[u.Pools[0]]++
				linksInRegion[name]++
			}
		}
		for m := range 6 {
			if n := models[fmt.Sprint("m", m)]; n < OwnZoneLinks+2*OtherZoneLinks {
				t.Errorf("%s has links to %d agents of model %d in its region", r.Name, n, m)
			}
		}
	}
	for _, u := range upstreams {
		if linksInRegion[u.Name] < minRouters {
			t.Errorf("%s has links from only %d routers of its region", u.Name, linksInRegion[u.Name])
		}
	}
}

// TestFullMeshWithFewUpstreams guards against a subset that leaves out upstreams in
// small deployments.
func TestFullMeshWithFewUpstreams(t *testing.T) {
	if n := len(Choose(Router{Name: "r", Zone: "z0"}, testUpstreams(15), nil)); n != 15 {
		t.Errorf("links to %d of 15 upstreams", n)
	}
}

// TestLinksChangeOneAtATime guards against a router that closes many links at once
// when the upstream list or the membership list changes, closes an on-demand link
// that is in use, or never reaches its subset.
func TestLinksChangeOneAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := Router{Name: "r000", Zone: "z0"}
		upstreams, routers := testUpstreams(120), testRouters(30)
		s := New(self)
		s.SetUpstreams("r0", upstreams)
		now := time.Duration(0)
		var onDemand string
		t.Repeat(map[string]func(*rapid.T){
			"upstreams": func(t *rapid.T) {
				before := s.Links()
				removed := rapid.IntRange(0, len(upstreams)-1).Draw(t, "gone")
				remaining := slices.Delete(slices.Clone(upstreams), removed, removed+1)
				s.SetUpstreams("r0", remaining)
				if closed := len(before) - len(s.Links()); closed > 1 {
					t.Fatalf("%d links closed for one removed upstream", closed)
				}
				if upstreams[removed].Name == onDemand {
					onDemand = ""
				}
			},
			"routers": func(t *rapid.T) {
				s.SetRouters(routers[:rapid.IntRange(1, len(routers)).Draw(t, "routers")])
			},
			"demand": func(t *rapid.T) {
				name := rapid.SampledFrom(upstreams).Draw(t, "name").Name
				if s.OpenOnDemand(now, name); s.known[name] {
					onDemand = name
				}
			},
			"step": func(t *rapid.T) {
				now += 2 * time.Second
				if c := s.Step(now); len(c.Open)+len(c.Close) > 1 {
					t.Fatalf("links changed in one step: %+v, want at most one", c)
				}
				if until := s.onDemandUntil[onDemand]; until > now && !slices.Contains(s.Links(), onDemand) {
					t.Fatalf("on-demand link to %s closed while in use", onDemand)
				}
			},
		})
		now += OnDemandIdleTimeout
		for range 200 {
			now += ChangeInterval
			s.Step(now)
		}
		if want := Choose(Router{Name: "r000", Zone: "z0", Region: "r0"}, s.upstreams, s.routers); !slices.Equal(s.Links(), want) {
			t.Fatalf("links to %v, want %v", s.Links(), want)
		}
	})
}

// TestReportsStayWithinBudget guards against load reports that exceed their
// bandwidth, and against an interval longer than the heartbeat interval.
func TestReportsStayWithinBudget(t *testing.T) {
	for links := 1; links <= 24; links++ {
		s := ScheduleReports(links)
		bytes := float64(links*(baseReportBytes+s.MaxChanges*changeBytes)) / s.Interval.Seconds()
		if s.Interval > MaxReportInterval || bytes > ReportBytesPerSecond+1 {
			t.Errorf("%d links: %+v takes %.0f bytes per second", links, s, bytes)
		}
	}
	if s := ScheduleReports(1000); s.Interval != MaxReportInterval || s.MaxChanges != 0 {
		t.Errorf("%+v for 1000 links", s)
	}
}

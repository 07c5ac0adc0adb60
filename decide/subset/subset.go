// Package subset chooses the agents to which a router opens links. Every router
// has links to a few agents of each pool and zone, and every agent has links from
// a few routers. Both are chosen by rendezvous hashing from lists that all
// processes have, so that no coordination is needed.
package subset

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

const (
	// FullMeshLimit is the largest number of upstreams for which a router has links
	// to all of them.
	FullMeshLimit = 24
	// OwnZoneLinks and OtherZoneLinks are the numbers of links of a router to the
	// agents of one pool, in its own zone and in each other zone of its region. It
	// has none to other regions while its own region has the pool: a region serves
	// its callers by itself, and each link costs a load report every two seconds.
	OwnZoneLinks   = 2
	OtherZoneLinks = 1
	// CoveringRouters is the number of routers in an agent's zone that rendezvous
	// hashing selects for the agent. They open a link to it even if they did not
	// choose it as one of their OwnZoneLinks.
	CoveringRouters = 1
)

// Upstream holds the properties of an upstream that determine the subset.
type Upstream struct {
	Name   string
	Zone   string
	Region string
	// Pools are the models or the service that it serves.
	Pools []string
	// Out is set while its zone is out of service.
	Out bool
}

// Router is the name and location of a router.
type Router struct {
	Name   string
	Zone   string
	Region string
}

// FromConfig returns the upstreams of a configuration, in order of name.
func FromConfig(c *api.Config) []Upstream {
	upstreams := make([]Upstream, 0, len(c.Upstreams))
	for _, name := range slices.Sorted(maps.Keys(c.Upstreams)) {
		u := c.Upstreams[name]
		zone := c.Zones[u.Zone]
		pools := u.Models
		if u.Kind == api.UpstreamPlain {
			pools = []string{"service/" + u.Service}
		}
		upstreams = append(upstreams, Upstream{
			Name: name, Zone: u.Zone, Region: zone.Region, Pools: pools, Out: zone.State == api.ZoneOut,
		})
	}
	return upstreams
}

// Choose returns the upstreams to which a router opens links, in order of name.
// routers is the membership list. If it is empty, the links of covering routers are
// left out.
func Choose(self Router, upstreams []Upstream, routers []Router) []string {
	chosen := make(map[string]bool)
	if len(upstreams) <= FullMeshLimit {
		for _, u := range upstreams {
			chosen[u.Name] = true
		}
		return slices.Sorted(maps.Keys(chosen))
	}
	linkCount := linksPerGroup(self, upstreams)
	for _, g := range groupUpstreams(self, upstreams) {
		key := rendezvous.KeyOf("link", self.Name, g.location, g.pool)
		for _, name := range key.Top(linkCount(g), g.names) {
			chosen[name] = true
		}
	}
	for _, name := range covered(self, upstreams, routers) {
		chosen[name] = true
	}
	return slices.Sorted(maps.Keys(chosen))
}

// LinkCount returns the number of links that a router chooses itself, without those
// it has as a covering router.
func LinkCount(self Router, upstreams []Upstream) int {
	if len(upstreams) <= FullMeshLimit {
		return len(upstreams)
	}
	n, linkCount := 0, linksPerGroup(self, upstreams)
	for _, g := range groupUpstreams(self, upstreams) {
		n += min(linkCount(g), len(g.names))
	}
	return n
}

// group holds the upstreams of one pool in one zone, or in one other region.
type group struct {
	location, pool string
	// distance is 0 for the router's zone, 1 for its region, 2 for other regions.
	distance int
	names    []string
}

// groupUpstreams returns the groups in order of distance, location and pool. It
// leaves out upstreams in a zone that is out of service; links to them are opened
// on demand.
func groupUpstreams(self Router, upstreams []Upstream) []*group {
	type groupKey struct {
		location, pool string
		distance       int
	}
	groups := make(map[groupKey]*group)
	for _, u := range upstreams {
		if u.Out {
			continue
		}
		for _, pool := range u.Pools {
			k := groupKey{location: u.Zone, pool: pool, distance: 1}
			switch {
			case u.Zone == self.Zone:
				k.distance = 0
			case u.Region != self.Region:
				k.location, k.distance = u.Region, 2
			}
			if groups[k] == nil {
				groups[k] = &group{location: k.location, pool: pool, distance: k.distance}
			}
			groups[k].names = append(groups[k].names, u.Name)
		}
	}
	return slices.SortedFunc(maps.Values(groups), func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.location, b.location), cmp.Compare(a.pool, b.pool))
	})
}

// linksPerGroup returns a function that returns the number of links to a group. If
// the router's zone has no agent of a pool, the nearest groups of the pool get
// OwnZoneLinks instead.
func linksPerGroup(self Router, upstreams []Upstream) func(*group) int {
	nearest := make(map[string]int)
	for _, g := range groupUpstreams(self, upstreams) {
		if d, ok := nearest[g.pool]; !ok || g.distance < d {
			nearest[g.pool] = g.distance
		}
	}
	return func(g *group) int {
		switch {
		case g.distance == nearest[g.pool]:
			return OwnZoneLinks
		case g.distance == 1:
			return OtherZoneLinks
		}
		return 0
	}
}

// covered returns the agents of the router's zone for which the router is one of
// the CoveringRouters.
func covered(self Router, upstreams []Upstream, routers []Router) []string {
	var zoneRouters []string
	for _, r := range routers {
		if r.Zone == self.Zone && r.Name != self.Name {
			zoneRouters = append(zoneRouters, r.Name)
		}
	}
	if len(zoneRouters) == 0 {
		return nil
	}
	zoneRouters = append(zoneRouters, self.Name)
	var names []string
	for _, u := range upstreams {
		if u.Zone != self.Zone || u.Out {
			continue
		}
		if slices.Contains(rendezvous.KeyOf("cover", u.Name).Top(CoveringRouters, zoneRouters), self.Name) {
			names = append(names, u.Name)
		}
	}
	return names
}

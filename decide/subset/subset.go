// Package subset chooses the agents that a router holds links to. Every router
// covers each zone and pool with a few agents, and every agent is covered by a
// few routers, chosen by rendezvous hashing from the lists that all processes
// have, so that nobody has to agree on anything.
package subset

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

const (
	// FullMeshLimit is the number of upstreams up to which a router holds them all.
	FullMeshLimit = 24
	// OwnZoneLinks and NearZone are the agents of one pool that a router holds in
	// its own zone and in each other zone of its region. It holds none in
	// other regions while its own has the pool: a region serves its callers by
	// itself, and each link costs a load report every two seconds.
	OwnZoneLinks   = 2
	OtherZoneLinks = 1
	// CoveringRouters is the number of routers of its zone that hold an agent whatever
	// the routers' own choices are.
	CoveringRouters = 1
)

// Upstream is what the choice depends on.
type Upstream struct {
	Name   string
	Zone   string
	Region string
	// Pools are the models or the service that it serves.
	Pools []string
	// Out is set while its zone is out of service.
	Out bool
}

// Node is a router.
type Node struct {
	Name   string
	Zone   string
	Region string
}

// FromConfig lists the upstreams of a configuration in order of name.
func FromConfig(c *api.Config) []Upstream {
	all := make([]Upstream, 0, len(c.Upstreams))
	for _, name := range slices.Sorted(maps.Keys(c.Upstreams)) {
		u := c.Upstreams[name]
		zone := c.Zones[u.Zone]
		pools := u.Models
		if u.Kind == api.KindPlain {
			pools = []string{"service/" + u.Service}
		}
		all = append(all, Upstream{
			Name: name, Zone: u.Zone, Region: zone.Region, Pools: pools, Out: zone.State == api.ZoneOut,
		})
	}
	return all
}

// Choose returns the upstreams that a router holds, in order of name. Routers
// is the membership list; without it, agents are not covered from their side.
func Choose(self Node, upstreams []Upstream, routers []Node) []string {
	chosen := make(map[string]bool)
	if len(upstreams) <= FullMeshLimit {
		for _, u := range upstreams {
			chosen[u.Name] = true
		}
		return slices.Sorted(maps.Keys(chosen))
	}
	wanted := linksPerGroup(self, upstreams)
	for _, g := range groupUpstreams(self, upstreams) {
		key := rendezvous.KeyOf("link", self.Name, g.location, g.pool)
		for _, name := range key.Top(wanted(g), g.names) {
			chosen[name] = true
		}
	}
	for _, name := range covered(self, upstreams, routers) {
		chosen[name] = true
	}
	return slices.Sorted(maps.Keys(chosen))
}

// Size returns how many links a router of a zone holds by its own choice.
func Size(self Node, upstreams []Upstream) int {
	if len(upstreams) <= FullMeshLimit {
		return len(upstreams)
	}
	n, wanted := 0, linksPerGroup(self, upstreams)
	for _, g := range groupUpstreams(self, upstreams) {
		n += min(wanted(g), len(g.names))
	}
	return n
}

// group holds the upstreams of one pool in one zone, or in one other region.
type group struct {
	location, pool string
	// distance is 0 for the own zone, 1 for the own region, 2 beyond.
	distance int
	names    []string
}

// groupUpstreams lists the groups in a fixed order. Upstreams in a zone that is out
// belong to none: an agent there is reached on demand.
func groupUpstreams(self Node, upstreams []Upstream) []*group {
	type place struct {
		name, pool string
		distance   int
	}
	found := make(map[place]*group)
	for _, u := range upstreams {
		if u.Out {
			continue
		}
		for _, pool := range u.Pools {
			p := place{name: u.Zone, pool: pool, distance: 1}
			switch {
			case u.Zone == self.Zone:
				p.distance = 0
			case u.Region != self.Region:
				p.name, p.distance = u.Region, 2
			}
			if found[p] == nil {
				found[p] = &group{location: p.name, pool: pool, distance: p.distance}
			}
			found[p].names = append(found[p].names, u.Name)
		}
	}
	return slices.SortedFunc(maps.Values(found), func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.location, b.location), cmp.Compare(a.pool, b.pool))
	})
}

// linksPerGroup returns how many upstreams of a group a router holds. Where its own
// zone has none of a pool, the nearest ones count as its own.
func linksPerGroup(self Node, upstreams []Upstream) func(*group) int {
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

// covered lists the agents of the own zone that count this router among the
// few that hold them in any case.
func covered(self Node, upstreams []Upstream, routers []Node) []string {
	var near []string
	for _, r := range routers {
		if r.Zone == self.Zone && r.Name != self.Name {
			near = append(near, r.Name)
		}
	}
	if len(near) == 0 {
		return nil
	}
	near = append(near, self.Name)
	var names []string
	for _, u := range upstreams {
		if u.Zone != self.Zone || u.Out {
			continue
		}
		if slices.Contains(rendezvous.KeyOf("cover", u.Name).Top(CoveringRouters, near), self.Name) {
			names = append(names, u.Name)
		}
	}
	return names
}

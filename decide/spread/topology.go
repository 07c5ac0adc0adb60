package spread

import (
	"maps"
	"slices"
	"strconv"

	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

const (
	// WatchersPerZone is the number of processes per availability zone that watch
	// the configuration service. With three, one is running even if two have died
	// and the membership list still contains them.
	WatchersPerZone = 3
	// ZoneNeighbours is the number of neighbours that a process chooses by hash in
	// its own zone.
	ZoneNeighbours = 3
	// BridgesPerZonePair is the number of processes of one zone that choose a
	// neighbour in another zone, for each ordered pair of zones.
	BridgesPerZonePair = 2
)

// Node is a process on the membership list.
type Node struct {
	Name    string
	Zone    string
	Leaving bool
}

// Topology is the role of one process, derived from the membership list.
type Topology struct {
	// Watcher is true if this process watches the configuration service.
	Watcher bool
	// Neighbours lists the peers for the regular exchanges and for those after each
	// change, in order of name.
	Neighbours []string
	// zones holds the names of the nodes per zone, sorted, without self.
	zones map[string][]string
	names []string
}

// Derive computes the topology of a process. The number of links between two zones
// is the same whether or not they share a region, so regions need not be known.
func Derive(self Node, members []Node) Topology {
	zones := byZone(self, members)
	ownZone := zones[self.Zone]
	t := Topology{zones: make(map[string][]string, len(zones))}
	t.Watcher = slices.Contains(
		rendezvous.KeyOf("watch", self.Zone).Top(WatchersPerZone, ownZone), self.Name)
	chosen := map[string]bool{}
	for _, n := range zoneNeighbours(self.Name, ownZone) {
		chosen[n] = true
	}
	for zone, names := range zones {
		if zone == self.Zone {
			continue
		}
		bridges := rendezvous.KeyOf("bridge", self.Zone, zone).Top(BridgesPerZonePair, ownZone)
		if slices.Contains(bridges, self.Name) {
			chosen[rendezvous.KeyOf("across", self.Name).Top(1, names)[0]] = true
		}
	}
	t.Neighbours = slices.Sorted(maps.Keys(chosen))
	for zone, names := range zones {
		others := slices.DeleteFunc(names, func(n string) bool { return n == self.Name })
		t.zones[zone] = others
		t.names = append(t.names, others...)
	}
	slices.Sort(t.names)
	return t
}

// byZone groups self and the nodes that are not leaving by zone, in order of
// name.
func byZone(self Node, members []Node) map[string][]string {
	zones := map[string][]string{self.Zone: {self.Name}}
	for _, m := range members {
		if !m.Leaving && m.Name != self.Name {
			zones[m.Zone] = append(zones[m.Zone], m.Name)
		}
	}
	for zone := range zones {
		slices.Sort(zones[zone])
		zones[zone] = slices.Compact(zones[zone])
	}
	return zones
}

// zoneNeighbours returns the successor in a ring of the zone's nodes, which keeps the
// zone connected, and a few pseudo-random nodes, which keep paths short.
func zoneNeighbours(self string, ownZone []string) []string {
	if len(ownZone) < 2 {
		return nil
	}
	i := slices.Index(ownZone, self)
	next := ownZone[(i+1)%len(ownZone)]
	others := slices.DeleteFunc(slices.Clone(ownZone), func(n string) bool {
		return n == self || n == next
	})
	return append(rendezvous.KeyOf("neighbour", self).Top(ZoneNeighbours, others), next)
}

// sample returns up to n pseudo-random nodes for a round, about half of them in the
// zone of self and the rest in any zone. Otherwise the processes of a zone that is
// behind might exchange digests only with each other.
func (t *Topology) sample(self Node, round uint64, n int) []string {
	key := rendezvous.KeyOf("sample", self.Name, strconv.FormatUint(round, 10))
	near := key.Top((n+1)/2, t.zones[self.Zone])
	rest := slices.DeleteFunc(slices.Clone(t.names), func(c string) bool {
		return slices.Contains(near, c)
	})
	return append(near, key.Top(n-len(near), rest)...)
}

// sampleOtherZone returns a node of another zone for a round.
func (t *Topology) sampleOtherZone(self Node, round uint64) (string, bool) {
	others := slices.DeleteFunc(slices.Sorted(maps.Keys(t.zones)), func(z string) bool {
		return z == self.Zone || len(t.zones[z]) == 0
	})
	if len(others) == 0 {
		return "", false
	}
	key := rendezvous.KeyOf("elsewhere", self.Name, strconv.FormatUint(round, 10))
	return key.Top(1, t.zones[key.Top(1, others)[0]])[0], true
}

package spread

import (
	"maps"
	"slices"
	"strconv"

	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

const (
	// WatchersPerZone processes of each availability zone read the service, so
	// that two may be dead but still on the lagging membership list.
	WatchersPerZone = 3
	// ZoneNeighbours is the number of neighbours chosen by hash in the own zone.
	ZoneNeighbours = 3
	// BridgesPerZonePair processes of a zone exchange with each other zone, in
	// each direction.
	BridgesPerZonePair = 2
)

// Node is a process on the membership list.
type Node struct {
	Name    string
	Zone    string
	Leaving bool
}

// Topology is what one process derives from the membership list.
type Topology struct {
	// Watcher says whether this process reads the service.
	Watcher bool
	// Neighbours are exchanged with regularly and after each change, in order
	// of name.
	Neighbours []string
	// zones holds the names of the nodes in each zone, in order, without self.
	zones map[string][]string
	names []string
}

// Derive computes the topology of a process. Zones that share a region or
// lie in different regions are linked alike: the number of links between two
// zones is constant, so it needs no knowledge of regions.
func Derive(self Node, members []Node) Topology {
	zones := byZone(self, members)
	own := zones[self.Zone]
	t := Topology{zones: make(map[string][]string, len(zones))}
	t.Watcher = slices.Contains(
		rendezvous.KeyOf("watch", self.Zone).Top(WatchersPerZone, own), self.Name)
	chosen := map[string]bool{}
	for _, n := range zoneNeighbours(self.Name, own) {
		chosen[n] = true
	}
	for zone, there := range zones {
		if zone == self.Zone {
			continue
		}
		bridges := rendezvous.KeyOf("bridge", self.Zone, zone).Top(BridgesPerZonePair, own)
		if slices.Contains(bridges, self.Name) {
			chosen[rendezvous.KeyOf("across", self.Name).Top(1, there)[0]] = true
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

// byZone lists the nodes that stay, and self, by zone in order of name.
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

// zoneNeighbours returns the next node of a ring, which keeps the zone
// connected, and a few others that look random, which keep paths short.
func zoneNeighbours(self string, own []string) []string {
	if len(own) < 2 {
		return nil
	}
	at := slices.Index(own, self)
	next := own[(at+1)%len(own)]
	others := slices.DeleteFunc(slices.Clone(own), func(n string) bool {
		return n == self || n == next
	})
	return append(rendezvous.KeyOf("neighbour", self).Top(ZoneNeighbours, others), next)
}

// sample returns up to n nodes for a round, about half of them in the own zone
// and the rest from any, so that a zone without a current process does not
// only ask itself.
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

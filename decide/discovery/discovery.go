// Package discovery decides what a process believes of routes, members and
// upstreams from what it reads of the platform's store.
//
// Each entry of the store has a revision, and an older one never replaces a
// newer one, so a late answer of the store can't take a configuration back. An
// upstream that vanishes from the list is kept for a short time if the store
// has just come back, since leases run out while the store is away.
package discovery

import (
	"maps"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// Away is the time between two successful calls to the store, from sending to
	// sending, after which leases may have run out. It is below three heartbeats
	// of an upstream, after which they do, and above the wait of a watch.
	Away = 2 * time.Second
	// ReturnGrace is the time in which upstreams whose lease ran out while the
	// store was away register again, as the platform states it (2 s), with a
	// margin for the way of the news.
	ReturnGrace = 2200 * time.Millisecond
)

// State is what the process believes. It belongs to the control loop.
type State struct {
	entries map[string]api.DiscoveryItem
	// vanishing upstreams are dropped at the time given unless they return.
	vanishing map[string]time.Duration
	// misplaced upstreams said themselves that they are not at their address.
	misplaced map[string]uint64
	table     *api.RouteTable
	asOf      time.Duration
	// returned is when the store was last reached after an absence.
	returned time.Duration
	absent   bool
	changed  uint64
}

// Change says what an update did, for logs and metrics.
type Change struct {
	// View is nil if nothing changed.
	View *api.View
	// Malformed are the entries that could not be used.
	Malformed []api.DiscoveryItem
	// OlderTables counts configurations older than the one in force.
	OlderTables int
	// Dropped are the upstreams that are gone.
	Dropped []string
	// Recheck is the time at which vanishing upstreams must be looked at
	// again, 0 if there are none.
	Recheck time.Duration
}

// New returns a state without any knowledge.
func New() *State {
	return &State{
		entries:   make(map[string]api.DiscoveryItem),
		vanishing: make(map[string]time.Duration),
		misplaced: make(map[string]uint64),
	}
}

// AsOf is the time at which the state was known to be current.
func (s *State) AsOf() time.Duration { return s.asOf }

// Apply takes an update.
func (s *State) Apply(now time.Duration, u api.DiscoveryUpdate) Change {
	if u.Lost != nil {
		return Change{}
	}
	if s.asOf != 0 && u.AsOf-s.asOf > Away {
		s.returned, s.absent = now, true
	}
	if s.absent && now-s.returned > ReturnGrace {
		s.absent = false
	}
	s.asOf = max(s.asOf, u.AsOf)
	var c Change
	dirty := s.changed == 0
	for _, item := range u.Items {
		dirty = s.take(item, &c) || dirty
	}
	if u.Full {
		dirty = s.vanishUnlisted(u, &c) || dirty
	}
	dirty = s.expire(now, &c) || dirty
	return s.finish(c, dirty)
}

// Tick drops upstreams whose time to return has passed.
func (s *State) Tick(now time.Duration) Change {
	var c Change
	dirty := s.expire(now, &c)
	return s.finish(c, dirty)
}

// Misplaced takes an upstream out whose address belongs to another one, until
// its entry changes.
func (s *State) Misplaced(id string) Change {
	for _, e := range s.entries {
		if e.Instance == nil || e.Instance.ID != id {
			continue
		}
		if s.misplaced[id] == e.Revision {
			return Change{}
		}
		s.misplaced[id] = e.Revision
		return s.finish(Change{Dropped: []string{id}}, true)
	}
	return Change{}
}

func (s *State) finish(c Change, dirty bool) Change {
	if dirty {
		s.changed++
		c.View = s.view()
	}
	for _, at := range s.vanishing {
		if c.Recheck == 0 || at < c.Recheck {
			c.Recheck = at
		}
	}
	return c
}

// take applies one entry and reports whether the view changed.
func (s *State) take(item api.DiscoveryItem, c *Change) bool {
	known, ok := s.entries[item.Key]
	if ok && item.Revision < known.Revision {
		return false
	}
	if item.Deleted {
		return ok && s.vanish(item.Key, c)
	}
	_, wasVanishing := s.vanishing[item.Key]
	delete(s.vanishing, item.Key)
	if ok && item.Revision == known.Revision {
		return wasVanishing
	}
	if item.Malformed != nil {
		c.Malformed = append(c.Malformed, item)
		if known.Table != nil {
			// The last good configuration stays in force.
			return false
		}
	}
	if item.Table != nil {
		if s.table != nil && item.Table.Version < s.table.Version {
			c.OlderTables++
			return false
		}
		s.table = item.Table
	}
	s.entries[item.Key] = item
	return true
}

// vanish drops an entry, or marks an upstream that may yet return.
func (s *State) vanish(key string, c *Change) bool {
	e := s.entries[key]
	if e.Table != nil {
		// The operator replaces configurations and never removes them, so a
		// missing one is a fault of the store's answer.
		return false
	}
	if e.Instance != nil && s.absent && !e.Instance.Leaving {
		if _, waiting := s.vanishing[key]; !waiting {
			s.vanishing[key] = s.returned + ReturnGrace
		}
		return false
	}
	s.drop(key, c)
	return true
}

func (s *State) drop(key string, c *Change) {
	if in := s.entries[key].Instance; in != nil {
		c.Dropped = append(c.Dropped, in.ID)
		delete(s.misplaced, in.ID)
	}
	delete(s.entries, key)
	delete(s.vanishing, key)
}

func (s *State) vanishUnlisted(u api.DiscoveryUpdate, c *Change) bool {
	listed := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		listed[item.Key] = true
	}
	dirty := false
	for key := range maps.Clone(s.entries) {
		unread := u.Unread != "" && strings.HasPrefix(key, u.Unread)
		if !listed[key] && !unread {
			dirty = s.vanish(key, c) || dirty
		}
	}
	return dirty
}

func (s *State) expire(now time.Duration, c *Change) bool {
	dirty := false
	for key, at := range maps.Clone(s.vanishing) {
		if now >= at {
			s.drop(key, c)
			dirty = true
		}
	}
	return dirty
}

func (s *State) view() *api.View {
	v := &api.View{
		Table:     s.table,
		Instances: make(map[string]api.Instance),
		ZonesOut:  make(map[string]bool),
		Changed:   s.changed,
	}
	latest := s.latestAtAddresses()
	for _, e := range s.entries {
		if e.Zone != "" {
			v.ZonesOut[e.Zone] = true
		}
		in := e.Instance
		if in == nil || s.misplaced[in.ID] == e.Revision {
			continue
		}
		if next := latest[in.Address]; next == nil || in.Born == 0 || in.Born >= next.Born {
			v.Instances[in.ID] = *in
		}
	}
	return v
}

// latestAtAddresses returns the upstream that started last at each address. One
// that crashed stays listed until its lease runs out, while its successor is.
func (s *State) latestAtAddresses() map[string]*api.Instance {
	latest := make(map[string]*api.Instance)
	for _, e := range s.entries {
		in := e.Instance
		if in == nil || s.table == nil {
			continue
		}
		// An entry of another writer may name a service that does not exist.
		if _, known := s.table.Services[in.Service]; !known {
			continue
		}
		if other := latest[in.Address]; other == nil || in.Born > other.Born {
			latest[in.Address] = in
		}
	}
	return latest
}

// Match returns the route of a host and path: the one with the longest prefix.
func Match(t *api.RouteTable, host, path string) *api.Route {
	var best *api.Route
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Service picks the service of a request by the weights of its route. The
// point is between 0 and 1.
func Service(r *api.Route, point float64) string {
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	at := point * total
	for _, s := range r.Splits {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Package discovery derives routes, members and upstreams from the entries of
// the platform's store.
//
// Each entry has a position, the era of the store and the revision, and an older
// position never replaces a newer one, so a delayed response of the store can't roll
// back the configuration. Leases expire while the store is unavailable, so an upstream
// missing from the list right after an outage is kept for a grace period. What a new
// era begins with is a copy that may be older than what is known; see copy.go.
package discovery

import (
	"cmp"
	"maps"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/storeera"
)

// State holds the known entries of the store. It is owned by the control loop.
type State struct {
	bounds Bounds
	// era is the latest era of the store whose entries were read.
	era uint64
	// revision is the highest one that was read in any era.
	revision uint64
	entries  map[string]entry
	// missing maps the key of each missing entry to its removal, unless it is written again.
	missing map[string]missing
	// reassigned holds the upstreams whose address was reassigned to another
	// upstream. It maps their IDs to the positions of their entries.
	reassigned  map[string]storeera.Position
	table       *api.RouteTable
	tableSource api.TableSource
	asOf        time.Duration
	contact     contact
	copies      copies
	changeCount uint64
}

// entry is an entry of the store and its position.
type entry struct {
	api.DiscoveryItem
	position storeera.Position
}

// Change describes the result of an update, for logs and metrics.
type Change struct {
	// View is nil if nothing changed.
	View *api.View
	// Malformed lists the entries that could not be parsed.
	Malformed []api.DiscoveryItem
	// IgnoredConfigs lists the configurations that were read and did not become active.
	IgnoredConfigs []IgnoredConfig
	// Dropped lists the upstreams that were removed.
	Dropped []string
	// NewEra is set if the update is the first of a new era of the store, Era. Withheld
	// lists the keys for which what was known before wins for now.
	NewEra   bool
	Era      uint64
	Withheld []string
	// NextTick is the time at which Tick must run next to drop missing upstreams, 0
	// if none are missing.
	NextTick time.Duration
}

// IgnoredConfig is a valid configuration that is older than the active one, by its version
// or by its position.
type IgnoredConfig struct {
	Version uint64
	Source  api.TableSource
}

// New returns an empty state.
func New(b Bounds) *State {
	return &State{
		bounds:     b,
		entries:    make(map[string]entry),
		missing:    make(map[string]missing),
		reassigned: make(map[string]storeera.Position),
		copies:     newCopies(),
	}
}

// AsOf returns the time at which the state was last known to be current.
func (s *State) AsOf() time.Duration { return s.asOf }

// Apply applies an update from the store. An update of an older era changes nothing, nor
// does one of a new era that doesn't list all entries: changes before it may be missing.
func (s *State) Apply(now time.Duration, u api.DiscoveryUpdate) Change {
	newEra := u.Era > s.era && s.changeCount > 0
	if u.Err != nil {
		s.contact.failed(now, s.bounds)
		return Change{}
	}
	if u.Era < s.era || newEra && !u.Full {
		return Change{}
	}
	s.recordPosition(u)
	failed := s.contact.failing
	s.contact.answered(now, cmp.Or(u.FirstAnswerAt, now), newEra, s.bounds)
	if failed {
		s.restartGrace(now)
	}
	if newEra {
		s.copies.begin(now + s.bounds.copyHold())
	} else if s.contact.returned {
		s.copies.extend(now + s.bounds.copyHold())
	}
	s.asOf = max(s.asOf, u.AsOf)
	c := Change{NewEra: newEra, Era: u.Era}
	read := api.TableSource{Era: u.Era, Full: u.Full, ReadAt: now}
	dirty := s.changeCount == 0
	for _, item := range u.Items {
		e := entry{item, storeera.Position{Era: u.Era, Revision: item.Revision}}
		if newEra {
			dirty = s.dropStated(now, e.Key, &c) || dirty
			e = s.reconcile(now, e, &c)
		}
		dirty = s.applyEntry(now, e, read, &c) || dirty
	}
	if u.Full {
		dirty = s.removeUnlisted(now, u, newEra, &c) || dirty
	}
	dirty = s.settleCopies(now, &c) || dirty
	dirty = s.dropOverdue(now, &c) || dirty
	return s.completeChange(now, c, dirty)
}

// recordPosition records the era and the highest revision of an update.
func (s *State) recordPosition(u api.DiscoveryUpdate) {
	s.era = u.Era
	s.revision = max(s.revision, u.Revision)
	for _, item := range u.Items {
		s.revision = max(s.revision, item.Revision)
	}
}

// Tick drops missing upstreams whose grace period has ended.
func (s *State) Tick(now time.Duration) Change {
	var c Change
	dirty := s.dropOverdue(now, &c)
	return s.completeChange(now, c, dirty)
}

// MarkAddressReassigned records that the address of an upstream was reassigned to another
// upstream. The view excludes the upstream until its entry changes.
func (s *State) MarkAddressReassigned(now time.Duration, id string) Change {
	for _, e := range s.entries {
		if e.Instance == nil || e.Instance.ID != id {
			continue
		}
		if s.reassigned[id] == e.position {
			return Change{}
		}
		s.reassigned[id] = e.position
		return s.completeChange(now, Change{Dropped: []string{id}}, true)
	}
	return Change{}
}

// completeChange adds the new view and the next time for Tick to a change.
func (s *State) completeChange(now time.Duration, c Change, dirty bool) Change {
	if dirty {
		s.changeCount++
		c.View = s.view()
	}
	for _, m := range s.missing {
		if m.dropAt > now && (c.NextTick == 0 || m.dropAt < c.NextTick) {
			c.NextTick = m.dropAt
		}
	}
	return c
}

// applyEntry applies one entry of a read and reports whether the view changed.
func (s *State) applyEntry(now time.Duration, e entry, read api.TableSource, c *Change) bool {
	read.Revision = e.Revision
	known, ok := s.entries[e.Key]
	if ok && e.position.Compare(known.position) < 0 || s.copies.holds(e) {
		if e.Table != nil {
			c.IgnoredConfigs = append(c.IgnoredConfigs, IgnoredConfig{e.Table.Version, read})
		}
		return false
	}
	if s.holdEarlier(known, e) {
		return false
	}
	s.copies.release(e.Key)
	if e.Deleted {
		return ok && s.removeOrDefer(now, e.Key, c)
	}
	_, wasMissing := s.missing[e.Key]
	delete(s.missing, e.Key)
	if ok && e.position == known.position {
		return wasMissing
	}
	if e.Malformed != nil {
		c.Malformed = append(c.Malformed, e.DiscoveryItem)
		if known.Table != nil {
			// The last valid configuration stays active.
			return false
		}
		if in := known.Instance; in != nil {
			s.recordReplacement(now, e.Key, in)
		}
	}
	if e.Table != nil {
		if s.table != nil && e.Table.Version < s.table.Version {
			c.IgnoredConfigs = append(c.IgnoredConfigs, IgnoredConfig{e.Table.Version, read})
			return false
		}
		s.table, s.tableSource = e.Table, read
	}
	s.entries[e.Key] = e
	return true
}

// removeOrDefer drops an entry. After an outage of the store, or a failure to read it, it
// schedules the removal of an upstream for later instead.
func (s *State) removeOrDefer(now time.Duration, key string, c *Change) bool {
	e := s.entries[key]
	if e.Table != nil {
		// The operator replaces configurations and never removes them, so a
		// missing one is an error in the store's response.
		return false
	}
	if until := s.contact.deferral(now, s.bounds); e.Instance != nil && !e.Instance.Leaving && until > now {
		if _, scheduled := s.missing[key]; !scheduled {
			s.missing[key] = missing{until, s.contact.outageEnded, s.revision}
		}
		return false
	}
	s.drop(now, key, c)
	return true
}

func (s *State) drop(now time.Duration, key string, c *Change) {
	if in := s.entries[key].Instance; in != nil {
		revision := s.revision
		if m, deferred := s.missing[key]; deferred && !m.duringOutage {
			revision = m.revision
		}
		c.Dropped = append(c.Dropped, in.ID)
		delete(s.reassigned, in.ID)
		s.copies.recordRemoval(key, removal{now, in.StartedAtMs, revision, in.Leaving})
	}
	delete(s.entries, key)
	delete(s.missing, key)
}

// removeUnlisted removes the entries that a list of all entries lacks. fromCopy is set
// for the first list of a new era.
func (s *State) removeUnlisted(now time.Duration, u api.DiscoveryUpdate, fromCopy bool, c *Change) bool {
	listed := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		listed[item.Key] = true
	}
	dirty := false
	for key, e := range maps.Clone(s.entries) {
		if listed[key] || u.SkippedPrefix != "" && strings.HasPrefix(key, u.SkippedPrefix) {
			continue
		}
		if fromCopy && s.missing[key].duringOutage {
			// What the era before had scheduled begins again.
			delete(s.missing, key)
		}
		_, scheduled := s.missing[key]
		switch {
		case scheduled, s.copies.lacks(key):
		case fromCopy && e.OutOfServiceZone != "":
			s.copies.holdAbsence(key, u.Era)
			c.Withheld = append(c.Withheld, key)
		default:
			dirty = s.removeOrDefer(now, key, c) || dirty
		}
	}
	s.copies.releaseUnlisted(listed)
	return dirty
}

// dropStated drops an entry whose removal the store stated before it came back from a copy that
// still holds the entry, and reports whether it did.
func (s *State) dropStated(now time.Duration, key string, c *Change) bool {
	m, ok := s.missing[key]
	if !ok || m.duringOutage {
		return false
	}
	s.drop(now, key, c)
	return true
}

// dropOverdue drops the missing entries whose grace period has ended. One that went missing in
// an outage may not have been able to register again while the store can't be read.
func (s *State) dropOverdue(now time.Duration, c *Change) bool {
	dirty := false
	for key, m := range maps.Clone(s.missing) {
		if now >= m.dropAt && !(m.duringOutage && s.contact.failing) {
			s.drop(now, key, c)
			dirty = true
		}
	}
	return dirty
}

func (s *State) view() *api.View {
	v := &api.View{
		Table:       s.table,
		Instances:   make(map[string]api.Instance),
		ZonesOut:    make(map[string]bool),
		ChangeCount: s.changeCount,
		TableSource: s.tableSource,
	}
	latest := s.latestByAddress()
	for _, e := range s.entries {
		if e.OutOfServiceZone != "" {
			v.ZonesOut[e.OutOfServiceZone] = true
		}
		in := e.Instance
		if in == nil || s.reassigned[in.ID] == e.position {
			continue
		}
		if newest := latest[in.Address]; newest == nil || in.StartedAtMs == 0 || in.StartedAtMs >= newest.StartedAtMs {
			v.Instances[in.ID] = *in
		}
	}
	return v
}

// latestByAddress returns the upstream that started last at each address. A
// crashed upstream and its successor are both listed until the lease of the
// crashed upstream expires. An upstream whose address was reassigned owns none.
func (s *State) latestByAddress() map[string]*api.Instance {
	latest := make(map[string]*api.Instance)
	for _, e := range s.entries {
		in := e.Instance
		if in == nil || s.table == nil || s.reassigned[in.ID] == e.position {
			continue
		}
		// An entry with an unknown service, from another writer, must not take over
		// an address.
		if _, known := s.table.Services[in.Service]; !known {
			continue
		}
		if other := latest[in.Address]; other == nil || in.StartedAtMs > other.StartedAtMs {
			latest[in.Address] = in
		}
	}
	return latest
}

// MatchRoute returns the route for a host and path. Of several matching routes it
// returns the one with the longest path prefix, and nil if none matches.
func MatchRoute(t *api.RouteTable, host, path string) *api.Route {
	var best *api.Route
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// PickService selects the service of a request by the split weights of its
// route. point is a random number in [0, 1). It returns "" if the route has no
// splits.
func PickService(r *api.Route, point float64) string {
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	remaining := point * total
	for _, s := range r.Splits {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}

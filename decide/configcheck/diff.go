package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Change is a kind of difference.
type Change string

// Kinds of differences.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Effect states to which requests a difference applies.
type Effect string

// Effects of a difference, each from the moment at which a process accepts the
// configuration. Running requests are never affected.
const (
	// NewRequests applies to requests that arrive after that moment.
	NewRequests Effect = "new requests"
	// Immediate applies also to requests that wait, and withdraws something that callers
	// used until that moment.
	Immediate Effect = "immediately"
	// ReportsOnly changes only what is reported.
	ReportsOnly Effect = "reports"
)

// Difference is one difference in meaning between two configurations.
type Difference struct {
	Change Change `json:"change"`
	// Entry is the dotted key of the entry. Field is empty if it was added or removed.
	Entry string `json:"entry"`
	Field string `json:"field"`
	// Before and After are values of the field; for keys, their numbers.
	Before string `json:"before"`
	After  string `json:"after"`
	// Affects names whose requests the difference concerns.
	Affects string `json:"affects"`
	Effect  Effect `json:"effect"`
}

func (d Difference) String() string {
	text := fmt.Sprintf("%s %s", d.Change, d.Entry)
	if d.Field != "" {
		text = fmt.Sprintf("%s.%s: %s -> %s", text, d.Field, d.Before, d.After)
	}
	return fmt.Sprintf("%s; affects %s; takes effect: %s", text, d.Affects, d.Effect)
}

// Diff returns what a configuration changes, by entry and field. The order of entries, the
// files that set them and other forms of the same value make no difference.
func Diff(before, after *Model) []Difference {
	old, current := before.index(), after.index()
	relations := newRelations(before, after)
	var all []Difference
	for _, id := range slices.Sorted(maps.Keys(current)) {
		is := current[id]
		was, ok := old[id]
		if !ok {
			all = append(all, Difference{Change: Added, Entry: id, Affects: relations.affected(is), Effect: entryEffect(Added, is)})
			continue
		}
		for _, d := range changes(was, is) {
			d.Change, d.Entry, d.Affects = Changed, id, relations.affected(is)
			all = append(all, d)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(old)) {
		if _, ok := current[id]; !ok {
			was := old[id]
			all = append(all, Difference{Change: Removed, Entry: id, Affects: relations.affected(was), Effect: entryEffect(Removed, was)})
		}
	}
	slices.SortStableFunc(all, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Field, b.Field))
	})
	return all
}

// Roles of entries. The roles of others are the names of their tables.
const (
	roleRoute      = "route"
	roleService    = "service"
	roleMember     = "member"
	roleUpstream   = "upstream"
	roleZone       = "zone"
	roleLimits     = "limits"
	roleModels     = "models"
	roleGroups     = "groups"
	roleObjectives = "objectives"
)

// compared is an entry with what Diff compares.
type compared struct {
	*Entry
	role     string
	keys     []KeyDigest
	keyField string
}

// index returns all entries by their ID. Of several with one ID, a later one has its number
// appended.
func (m *Model) index() map[string]compared {
	all := map[string]compared{}
	add := func(c compared) {
		id := c.ID()
		for n := 2; all[id].Entry != nil; n++ {
			id = fmt.Sprintf("%s#%d", c.ID(), n)
		}
		all[id] = c
	}
	for i := range m.Routes {
		add(compared{Entry: &m.Routes[i].Entry, role: roleRoute})
	}
	for i := range m.Services {
		add(compared{Entry: &m.Services[i].Entry, role: roleService})
	}
	for i := range m.Members {
		add(compared{
			Entry: &m.Members[i].Entry, role: roleMember, keys: m.Members[i].Keys, keyField: cmp.Or(m.Fields[FieldKeys], FieldKeys),
		})
	}
	for i := range m.Upstreams {
		add(compared{Entry: &m.Upstreams[i].Entry, role: roleUpstream})
	}
	for i := range m.Zones {
		add(compared{Entry: &m.Zones[i].Entry, role: roleZone})
	}
	for i := range m.Other {
		add(compared{Entry: &m.Other[i], role: m.Other[i].Table})
	}
	add(compared{Entry: &m.Limits.Entry, role: roleLimits})
	return all
}

// changes returns the fields that differ between two versions of an entry.
func changes(was, is compared) []Difference {
	var all []Difference
	fields := maps.Clone(was.Attributes)
	if fields == nil {
		fields = map[string]string{}
	}
	maps.Copy(fields, is.Attributes)
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		if before, after := was.Attributes[field], is.Attributes[field]; before != after {
			all = append(all, Difference{
				Field: field, Before: cmp.Or(before, "none"), After: cmp.Or(after, "none"), Effect: fieldEffect(is, field),
			})
		}
	}
	added, removed := countMissing(is.keys, was.keys), countMissing(was.keys, is.keys)
	if added+removed > 0 {
		d := Difference{
			Field: is.keyField, Before: strconv.Itoa(len(was.keys)),
			After: fmt.Sprintf("%d (%d added, %d removed)", len(is.keys), added, removed), Effect: NewRequests,
		}
		if removed > 0 {
			d.Effect = Immediate
		}
		all = append(all, d)
	}
	return all
}

// countMissing counts the keys of a that are not in b.
func countMissing(a, b []KeyDigest) int {
	known := make(map[KeyDigest]bool, len(b))
	for _, key := range b {
		known[key] = true
	}
	n := 0
	for _, key := range a {
		if !known[key] {
			n++
		}
	}
	return n
}

func entryEffect(c Change, e compared) Effect {
	switch {
	case e.role == roleObjectives:
		return objectiveEffect(e)
	case c == Removed:
		return Immediate
	}
	return NewRequests
}

// objectiveEffect returns the effect of a change of an objective. Agents derive the limits
// of upstreams from the objectives with a threshold; the others are only reported on.
func objectiveEffect(e compared) Effect {
	if e.Attributes["threshold"] == `"0s"` {
		return ReportsOnly
	}
	return Immediate
}

// immediateFields lists, by role, the fields that apply to waiting requests too: agents
// apply them to their queues.
var immediateFields = map[string][]string{
	roleMember:   {"share", "zones", "upstreams"},
	roleZone:     {"state"},
	roleUpstream: {"leaving", "max_requests", "max_tokens", "cold_requests", "cold_gain"},
	roleLimits:   {"keysRequired"},
}

func fieldEffect(e compared, field string) Effect {
	switch {
	case e.role == roleObjectives:
		return objectiveEffect(e)
	case slices.Contains(immediateFields[e.role], field):
		return Immediate
	}
	return NewRequests
}

// relations maps services and zones to what refers to them, in either of two versions.
type relations struct {
	// routes maps a service to routes, upstreams a zone to upstreams, and served an upstream to
	// the models and services that it serves.
	routes, upstreams, served map[string]map[string]bool
}

func newRelations(versions ...*Model) relations {
	r := relations{routes: map[string]map[string]bool{}, upstreams: map[string]map[string]bool{}, served: map[string]map[string]bool{}}
	add := func(to map[string]map[string]bool, key, name string) {
		if to[key] == nil {
			to[key] = map[string]bool{}
		}
		to[key][name] = true
	}
	for _, m := range versions {
		for _, route := range m.Routes {
			for _, s := range route.Splits {
				add(r.routes, s.Service, route.Name)
			}
		}
		for _, u := range m.Upstreams {
			add(r.upstreams, u.Zone, u.Name)
			for _, model := range u.Models {
				add(r.served, u.Name, "model "+model)
			}
			if u.Service != "" {
				add(r.served, u.Name, "service "+u.Service)
			}
		}
	}
	return r
}

// affected names whose requests an entry concerns.
func (r relations) affected(e compared) string {
	switch e.role {
	case roleMember:
		return "member " + e.Name
	case roleRoute:
		return "callers of route " + e.Name
	case roleService:
		if len(r.routes[e.Name]) > 0 {
			return "callers of routes " + list(r.routes[e.Name])
		}
		return "callers of service " + e.Name
	case roleModels:
		return "callers of model " + e.Name
	case roleGroups:
		return "callers of model " + strings.Trim(e.Attributes["model"], `"`)
	case roleUpstream:
		return "callers of " + list(r.served[e.Name])
	case roleZone:
		if len(r.upstreams[e.Name]) > 0 {
			return "requests at upstreams " + list(r.upstreams[e.Name])
		}
		return "no requests"
	case roleObjectives:
		if objectiveEffect(e) == ReportsOnly {
			return "no requests"
		}
	}
	return "all callers"
}

// maxListed bounds the names in a text.
const maxListed = 5

func list(names map[string]bool) string {
	sorted := slices.Sorted(maps.Keys(names))
	if len(sorted) <= maxListed {
		return strings.Join(sorted, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(sorted[:maxListed], ", "), len(sorted)-maxListed)
}

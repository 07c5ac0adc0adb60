package configcheck

import (
	"fmt"
	"slices"
	"strings"
)

type checker struct {
	model *Model
	found []Finding
	// services holds the names of all services, and upstreams the upstreams by name.
	services  map[string]bool
	upstreams map[string]*Upstream
	zonesOut  map[string]bool
	// errorsOnly leaves out warnings, and errors beyond a limit, which are counted.
	errorsOnly     bool
	limit, omitted int
}

// Check returns the findings of a configuration in the order of Sort. p is nil if the
// settings of the processes are unknown. The errors do not depend on p.
func Check(m *Model, p *Process) []Finding {
	c := &checker{model: m}
	c.check(p)
	return c.found
}

// Errors returns a *RefusedError with the errors that Check finds, at most limit, or nil if
// there are none. Others are only counted, since it runs in processes with little memory.
func Errors(m *Model, limit int) error {
	c := &checker{model: m, errorsOnly: true, limit: limit}
	c.check(nil)
	if len(c.found) == 0 {
		return nil
	}
	return &RefusedError{Findings: c.found, Omitted: c.omitted}
}

func (c *checker) check(p *Process) {
	m := c.model
	c.services, c.upstreams, c.zonesOut = map[string]bool{}, map[string]*Upstream{}, map[string]bool{}
	for i := range m.Services {
		c.services[m.Services[i].Name] = true
	}
	for i := range m.Upstreams {
		c.upstreams[m.Upstreams[i].Name] = &m.Upstreams[i]
	}
	for _, z := range m.Zones {
		c.zonesOut[z.Name] = z.Out
	}
	c.routes(p)
	c.patterns()
	c.serviceEntries(p)
	c.keys()
	c.memberPlaces()
	c.limits(p)
	c.capacity()
	Sort(c.found)
}

// CheckAgainst returns the findings about a configuration that would replace another one.
func CheckAgainst(before, after *Model) []Finding {
	c := &checker{model: after}
	if after.Version < before.Version {
		c.add(Error, OldVersion, &Entry{}, FieldVersion, "version %d is in force, and processes ignore version %d", before.Version, after.Version)
	}
	return c.found
}

func (c *checker) add(s Severity, k Kind, e *Entry, field, format string, args ...any) {
	if c.errorsOnly && (s != Error || len(c.found) >= c.limit) {
		if s == Error {
			c.omitted++
		}
		return
	}
	if name, ok := c.model.Fields[field]; ok {
		field = name
	}
	path := e.Path
	if field != "" {
		path = append(path[:len(path):len(path)], field)
	}
	at := c.model.Locate(path...)
	c.found = append(c.found, Finding{
		Severity: s, Kind: k, Entry: e.ID(), File: at.File, Line: at.Line, Field: field, Message: fmt.Sprintf(format, args...),
	})
}

// duplicateName reports the second of two entries with one name.
func (c *checker) duplicateName(e *Entry, seen map[string]bool) {
	if seen[e.Name] {
		c.add(Warning, DuplicateName, e, "", "another entry has the same name")
	}
	seen[e.Name] = true
}

func (c *checker) routes(p *Process) {
	names, first := map[string]bool{}, map[[2]string]string{}
	for i := range c.model.Routes {
		r := &c.model.Routes[i]
		c.duplicateName(&r.Entry, names)
		c.match(r, first)
		c.splits(r)
		c.routeLimits(r, p)
	}
}

// match checks which requests a route matches. first maps a host and prefix to the first
// route that has them.
func (c *checker) match(r *Route, first map[[2]string]string) {
	if r.Host == "" {
		c.add(Error, Missing, &r.Entry, FieldHost, "a route must have a host")
	}
	if r.Prefix == "" {
		c.add(Error, Missing, &r.Entry, FieldPrefix, "a route must have a path prefix")
	}
	if r.Kind == "" {
		c.add(Error, UnknownValue, &r.Entry, FieldKind, "the kind is missing or unknown")
	}
	if r.Host == "" || r.Prefix == "" {
		return
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		c.add(Warning, NeverMatches, &r.Entry, FieldPrefix, "the path of a request begins with /, so that the route matches none")
	}
	key := [2]string{r.Host, r.Prefix}
	if other, ok := first[key]; ok {
		c.add(Warning, Shadowed, &r.Entry, FieldPrefix, "route %q has the same host and prefix and comes first", other)
		return
	}
	first[key] = r.Name
}

func (c *checker) splits(r *Route) {
	if r.UnusedService != "" {
		c.add(Warning, NotApplicable, &r.Entry, FieldService, "the split replaces service %q", r.UnusedService)
	}
	if len(r.Splits) == 0 {
		c.add(Warning, NoUpstream, &r.Entry, FieldService, "the route has no service, so that its requests fail")
		return
	}
	field := FieldSplits
	if r.Single {
		field = FieldService
	}
	total, seen := 0.0, map[string]bool{}
	for _, s := range r.Splits {
		total += max(s.Weight, 0)
		switch {
		case s.Weight < 0:
			c.add(Error, OutOfRange, &r.Entry, field, "the weight of service %q is negative", s.Service)
		case s.Weight == 0:
			c.add(Warning, NoShare, &r.Entry, field, "service %q has weight 0 and gets no requests", s.Service)
		}
		if seen[s.Service] {
			c.add(Warning, DuplicateName, &r.Entry, field, "service %q is listed twice", s.Service)
		} else if !c.services[s.Service] {
			c.add(Warning, UnknownService, &r.Entry, field, "service %q is not defined", s.Service)
		}
		seen[s.Service] = true
	}
	if total <= 0 {
		c.add(Error, NoShare, &r.Entry, field, "the weights of all services are 0")
	}
}

// keys checks the API keys of members. Of several members that hold one key, the last gets
// its requests.
func (c *checker) keys() {
	type holder struct{ member, item int }
	names, last := map[string]bool{}, map[KeyDigest]holder{}
	for i := range c.model.Members {
		for j, key := range c.model.Members[i].Keys {
			last[key] = holder{i, j}
		}
	}
	empty := DigestKey("")
	for i := range c.model.Members {
		m := &c.model.Members[i]
		c.duplicateName(&m.Entry, names)
		if len(m.Keys) == 0 {
			c.add(Warning, NoKeys, &m.Entry, FieldKeys, "the member has no key, so that it cannot send requests")
		}
		for j, key := range m.Keys {
			switch h := last[key]; {
			case key == empty:
				c.add(Error, EmptyKey, &m.Entry, FieldKeys, "item %d is empty: it would admit requests without a key", j+1)
			case h.member != i:
				c.add(Warning, DuplicateKey, &m.Entry, FieldKeys, "item %d is also held by member %q, which comes later and gets the requests",
					j+1, c.model.Members[h.member].Name)
			case h.item != j:
				c.add(Warning, DuplicateKey, &m.Entry, FieldKeys, "items %d and %d are equal", j+1, h.item+1)
			}
		}
	}
}

// memberPlaces checks that the zones and upstreams of a member leave upstreams that take
// requests.
func (c *checker) memberPlaces() {
	inZone, active := map[string]bool{}, map[string]bool{}
	for _, u := range c.model.Upstreams {
		inZone[u.Zone] = true
		active[u.Zone] = active[u.Zone] || c.takesRequests(u.Name)
	}
	has := func(zones map[string]bool) func(string) bool { return func(z string) bool { return zones[z] } }
	for i := range c.model.Members {
		m := &c.model.Members[i]
		allowed := func(u string) bool {
			return c.takesRequests(u) && (len(m.Zones) == 0 || slices.Contains(m.Zones, c.upstreams[u].Zone))
		}
		switch {
		case len(m.Zones) > 0 && !slices.ContainsFunc(m.Zones, has(inZone)):
			c.add(Warning, NoUpstream, &m.Entry, FieldZones, "none of the member's zones has an upstream")
		case len(m.Zones) > 0 && !slices.ContainsFunc(m.Zones, has(active)),
			len(m.Upstreams) > 0 && !slices.ContainsFunc(m.Upstreams, allowed):
			c.add(Warning, NoUpstream, &m.Entry, "", "all upstreams that the member may use are out of service")
		}
	}
}

func (c *checker) takesRequests(upstream string) bool {
	u := c.upstreams[upstream]
	return u != nil && !u.Leaving && !c.zonesOut[u.Zone]
}

package subset

import (
	"maps"
	"slices"
	"time"
)

const (
	// ChangeInterval is the minimum time between two link changes, so that the
	// routers do not open all new links at once when the upstream list or the
	// membership list changes.
	ChangeInterval = time.Second
	// OnDemandIdleTimeout is how long a link that was opened on demand stays open
	// after its last use. It exceeds the duration of any request.
	OnDemandIdleTimeout = 10 * time.Minute
)

// Change lists the upstreams to which a router has to open or close links.
type Change struct {
	Open  []string
	Close []string
}

// State holds the links of one router. Only the control goroutine uses it.
type State struct {
	self      Router
	upstreams []Upstream
	routers   []Router
	// known, target and links are sets of upstream names: those configured, those
	// in the router's subset, and those with a link.
	known  map[string]bool
	target map[string]bool
	links  map[string]bool
	// onDemandUntil is the time until which an on-demand link stays open.
	onDemandUntil map[string]time.Duration
	initialized   bool
	nextChange    time.Duration
}

// New returns the state of a router without links.
func New(self Router) *State {
	return &State{
		self: self, known: map[string]bool{}, target: map[string]bool{},
		links: map[string]bool{}, onDemandUntil: map[string]time.Duration{},
	}
}

// SetUpstreams sets the configured upstreams and the router's region. It closes the
// links to removed upstreams at once. It opens the missing links at once for the
// first list and for a list of at most FullMeshLimit upstreams.
func (s *State) SetUpstreams(region string, upstreams []Upstream) Change {
	s.self.Region, s.upstreams = region, upstreams
	clear(s.known)
	for _, u := range upstreams {
		s.known[u.Name] = true
	}
	s.updateTarget()
	var c Change
	for _, name := range slices.Sorted(maps.Keys(s.links)) {
		if !s.known[name] {
			delete(s.links, name)
			delete(s.onDemandUntil, name)
			c.Close = append(c.Close, name)
		}
	}
	if !s.initialized || len(upstreams) <= FullMeshLimit {
		s.initialized = len(upstreams) > 0
		c.Open = s.missingLinks()
		for _, name := range c.Open {
			s.links[name] = true
		}
	}
	return c
}

// SetRouters sets the routers of the membership list.
func (s *State) SetRouters(routers []Router) {
	s.routers = routers
	s.updateTarget()
}

// updateTarget recomputes the subset.
func (s *State) updateTarget() {
	clear(s.target)
	for _, name := range Choose(s.self, s.upstreams, s.routers) {
		s.target[name] = true
	}
}

// missingLinks returns the upstreams of the subset that have no link, in order of
// name.
func (s *State) missingLinks() []string {
	var names []string
	for name := range s.target {
		if !s.links[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// OpenOnDemand opens a link to an upstream without one, or extends the time that an
// on-demand link stays open. It does nothing for an unknown upstream.
func (s *State) OpenOnDemand(now time.Duration, name string) Change {
	if !s.known[name] {
		return Change{}
	}
	if !s.links[name] || s.onDemandUntil[name] > 0 {
		s.onDemandUntil[name] = now + OnDemandIdleTimeout
	}
	if s.links[name] {
		return Change{}
	}
	s.links[name] = true
	return Change{Open: []string{name}}
}

// Step changes at most one link per ChangeInterval: it opens a missing link of the
// subset or, if none is missing, closes one that is no longer needed.
func (s *State) Step(now time.Duration) Change {
	if now < s.nextChange {
		return Change{}
	}
	if missing := s.missingLinks(); len(missing) > 0 {
		s.nextChange = now + ChangeInterval
		s.links[missing[0]] = true
		return Change{Open: missing[:1]}
	}
	for _, name := range slices.Sorted(maps.Keys(s.links)) {
		if s.target[name] || now < s.onDemandUntil[name] {
			continue
		}
		s.nextChange = now + ChangeInterval
		delete(s.links, name)
		delete(s.onDemandUntil, name)
		return Change{Close: []string{name}}
	}
	return Change{}
}

// Links returns the upstreams to which the router has links, in order of name.
func (s *State) Links() []string { return slices.Sorted(maps.Keys(s.links)) }

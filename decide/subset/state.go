package subset

import (
	"maps"
	"slices"
	"time"
)

const (
	// MoveInterval separates two changes of the links that are held, so that a
	// change of the lists does not make all routers dial at once.
	MoveInterval = time.Second
	// OnDemandIdleTimeout is how long a link that was opened on demand stays after its
	// last use, longer than the run of a request.
	OnDemandIdleTimeout = 10 * time.Minute
)

// Change is what a router should do with its links.
type Change struct {
	Open  []string
	Close []string
}

// State is what one router knows of its links. The control goroutine owns it.
type State struct {
	self      Node
	upstreams []Upstream
	routers   []Node
	known     map[string]bool
	target    map[string]bool
	links     map[string]bool
	// onDemandUntil holds the time until which a link on demand stays.
	onDemandUntil map[string]time.Duration
	started       bool
	nextChange    time.Duration
}

// New returns the state of a router without links.
func New(self Node) *State {
	return &State{
		self: self, known: map[string]bool{}, target: map[string]bool{},
		links: map[string]bool{}, onDemandUntil: map[string]time.Duration{},
	}
}

// Upstreams takes the configured upstreams and the router's own region, which
// the configuration names. Links to upstreams that are gone close at once, and
// the first list opens all links at once.
func (s *State) Upstreams(region string, upstreams []Upstream) Change {
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
	if !s.started || len(upstreams) <= FullMeshLimit {
		s.started = len(upstreams) > 0
		c.Open = s.missingLinks()
		for _, name := range c.Open {
			s.links[name] = true
		}
	}
	return c
}

// Routers takes the routers on the membership list.
func (s *State) Routers(routers []Node) {
	s.routers = routers
	s.updateTarget()
}

func (s *State) updateTarget() {
	clear(s.target)
	for _, name := range Choose(s.self, s.upstreams, s.routers) {
		s.target[name] = true
	}
}

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

// Demand opens a link outside the subset, or keeps it open.
func (s *State) Demand(now time.Duration, name string) Change {
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

// Step moves the links one step nearer to the subset: it opens one that is
// missing, or else closes one that is not needed any more.
func (s *State) Step(now time.Duration) Change {
	if now < s.nextChange {
		return Change{}
	}
	if missing := s.missingLinks(); len(missing) > 0 {
		s.nextChange = now + MoveInterval
		s.links[missing[0]] = true
		return Change{Open: missing[:1]}
	}
	for _, name := range slices.Sorted(maps.Keys(s.links)) {
		if s.target[name] || now < s.onDemandUntil[name] {
			continue
		}
		s.nextChange = now + MoveInterval
		delete(s.links, name)
		delete(s.onDemandUntil, name)
		return Change{Close: []string{name}}
	}
	return Change{}
}

// Links lists the upstreams whose links are held, in order of name.
func (s *State) Links() []string { return slices.Sorted(maps.Keys(s.links)) }

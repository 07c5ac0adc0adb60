// Package groupwatch decides which processes an edge asks for the loads of the groups.
//
// Some of the processes beside the ranks of a group publish the load that its leader
// read, and every other one knows a publisher. An edge asks any process of an unknown group, follows the
// answer to a publisher, and then asks one publisher at intervals. The edges choose
// publishers by hash, so that they share the work.
package groupwatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

const (
	// askInterval is the time between two requests for the load of one group. A leader
	// reads its ranks about as often.
	askInterval = 120 * time.Millisecond
	// searchInterval is the time between two requests to upstreams of unknown groups. It
	// doubles with each request without a load, up to maxSearchInterval: a group whose
	// load is not known is in trouble, and all edges search it. The request after a load, and
	// the first one, are sent at once: requests wait while an edge that has started does not
	// know the groups.
	searchInterval    = 100 * time.Millisecond
	maxSearchInterval = 1600 * time.Millisecond
	// maxLoadAge is the age above which a load does not count as an answer.
	maxLoadAge = time.Second
	// silentAfter is the time without a load after which another process is asked.
	silentAfter = time.Second
	// forgetAfter is the time without a load after which a group is unknown again.
	forgetAfter = 5 * time.Second
)

// State is the knowledge of the groups. Only the control loop uses it.
type State struct {
	self   string
	random *rand.Rand
	// addresses maps the hash of each engine's address to the address.
	addresses map[uint64]string
	groups    map[string]*group
	asked     map[string]bool
	// referral is the address to which the last answer referred.
	referral   string
	searchedAt time.Duration
	// fruitless counts the searches since the last load.
	fruitless int
	// searchNow is set after the start and when a group is found.
	searchNow bool
}

type group struct {
	// source is the engine whose process is asked.
	source  string
	askedAt time.Duration
	loadAt  time.Duration
	members []string
}

// New returns the state of an edge.
func New(self string, seed uint64) *State {
	return &State{
		self: self, random: rand.New(rand.NewPCG(seed, 2)), searchNow: true,
		addresses: make(map[uint64]string), groups: make(map[string]*group), asked: make(map[string]bool),
	}
}

// Configure sets the addresses of all engines that may be ranks of groups.
func (s *State) Configure(addresses []string) {
	clear(s.addresses)
	for _, a := range addresses {
		s.addresses[xxhash.Sum64String(a)] = a
	}
}

// Due returns the engines whose processes must be asked now. Handle or Fail must be
// called for each.
func (s *State) Due(now time.Duration) []string {
	var due []string
	ask := func(address string) {
		if address != "" && !s.asked[address] {
			s.asked[address] = true
			due = append(due, address)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[name]
		if now-g.loadAt > forgetAfter {
			delete(s.groups, name)
			continue
		}
		if now-g.askedAt < askInterval {
			continue
		}
		if now-g.loadAt > silentAfter {
			g.source = s.randomOf(g.members)
		}
		g.askedAt = now
		ask(g.source)
	}
	if s.referral != "" {
		ask(s.referral)
		s.referral = ""
		return due
	}
	if !s.searchNow && now-s.searchedAt < min(searchInterval<<min(s.fruitless, 8), maxSearchInterval) {
		return due
	}
	if unknown := s.unknown(); len(unknown) > 0 {
		s.searchedAt, s.searchNow = now, false
		s.fruitless++
		ask(s.randomOf(unknown))
	}
	return due
}

// unknown returns the engines that belong to no known group.
func (s *State) unknown() []string {
	known := make(map[string]bool)
	for _, g := range s.groups {
		for _, m := range g.members {
			known[m] = true
		}
	}
	var list []string
	for _, hash := range slices.Sorted(maps.Keys(s.addresses)) {
		if a := s.addresses[hash]; !known[a] {
			list = append(list, a)
		}
	}
	return list
}

func (s *State) randomOf(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[s.random.IntN(len(list))]
}

// Answer is the answer of a process: the load of its group with its age, or a referral to
// a process that publishes it. The leader adds the Publishers, the engines whose
// processes publish the load.
type Answer struct {
	Load       api.GroupLoad
	Age        time.Duration
	Referral   string
	Publishers []string
}

// Handle records the answer of an asked process. It returns true if the answer holds a
// load.
func (s *State) Handle(now time.Duration, asked string, a Answer) bool {
	delete(s.asked, asked)
	if len(a.Load.Ranks) == 0 || a.Age > maxLoadAge {
		if a.Referral != asked {
			s.referral = a.Referral
		}
		return false
	}
	s.fruitless = 0
	g := s.groups[a.Load.Group]
	if g == nil {
		g, s.searchNow = &group{}, true
		s.groups[a.Load.Group] = g
	}
	g.loadAt = now
	g.members = g.members[:0]
	for _, rank := range a.Load.Ranks {
		if address, ok := s.addresses[rank.AddressHash]; ok {
			g.members = append(g.members, address)
		}
	}
	g.source = asked
	if len(a.Publishers) > 0 {
		g.source = rendezvous.KeyOf(s.self).Top(1, a.Publishers)[0]
	}
	return true
}

// Fail records that an asked process did not answer. Its group is asked elsewhere.
func (s *State) Fail(asked string) {
	delete(s.asked, asked)
	for _, g := range s.groups {
		if g.source == asked {
			g.source = s.randomOf(g.members)
		}
	}
}

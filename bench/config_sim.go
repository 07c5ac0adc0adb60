package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/bench/timeline"
	"github.com/mulberryfork/mulberryfork/decide/spread"
)

const (
	configCallTimeout = time.Second
	configListLag     = 10 * time.Second
	// configLoss is the share of calls that are lost without another fault,
	// configCorrupt the share of transfers whose bytes do not match their digest.
	configLoss    = 0.002
	configCorrupt = 0.005
	// configTransfer is the time to transfer a full configuration between VMs.
	configTransfer = 5 * time.Millisecond
)

// configShape is the size of a modelled fleet.
type configShape struct {
	zones, regions, nodes int
	zoneDelay             time.Duration
	validation            time.Duration
}

// configSim runs the real decisions of many processes in simulated time.
type configSim struct {
	shape      configShape
	plain      bool
	tl         *timeline.Timeline
	rng        *rand.Rand
	service    *configService
	nodes      []*configNode
	byName     map[string]*configNode
	members    []spread.Node
	validation time.Duration
	zoneCut    string
	regionCut  bool
	cutUntil   time.Duration

	reverts, wrongAccepts int
	readyTimes            []float64
}

func newConfigSim(shape configShape, seed uint64, plain bool) *configSim {
	rng := rand.New(rand.NewPCG(seed, uint64(shape.nodes)))
	tl := &timeline.Timeline{}
	s := &configSim{shape: shape, plain: plain, tl: tl, rng: rng, validation: shape.validation,
		service: newConfigService(tl, rand.New(rand.NewPCG(seed, 1))), byName: map[string]*configNode{}}
	for i := range shape.nodes {
		s.addNode(i % shape.zones)
	}
	s.updateList()
	return s
}

func (s *configSim) addNode(zone int) *configNode {
	n := &configNode{sim: s, createdAt: s.tl.Now(), region: zone * s.shape.regions / s.shape.zones}
	n.identity = spread.Node{Name: fmt.Sprintf("z%d-%d", zone, len(s.nodes)), Zone: fmt.Sprintf("z%d", zone)}
	s.nodes = append(s.nodes, n)
	s.byName[n.identity.Name] = n
	return n
}

// randomBelow returns a random duration below d.
func (s *configSim) randomBelow(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

// updateList sets the membership list to the present VMs.
func (s *configSim) updateList() {
	s.members = make([]spread.Node, 0, len(s.nodes))
	for _, n := range s.nodes {
		if !n.removed {
			s.members = append(s.members, n.identity)
		}
	}
}

func (s *configSim) connected(a, b *configNode) bool {
	if s.zoneCut != "" && a.identity.Zone != b.identity.Zone &&
		(a.identity.Zone == s.zoneCut || b.identity.Zone == s.zoneCut) {
		return false
	}
	return !s.regionCut || a.region == b.region
}

// reachesService reports whether no cut separates a process from the service.
func (s *configSim) reachesService(n *configNode) bool {
	return n.identity.Zone != s.zoneCut && (!s.regionCut || n.region == 0)
}

func (s *configSim) latency(a, b *configNode) time.Duration {
	base := s.shape.zoneDelay / 4
	switch {
	case a.region != b.region:
		base = 40 * time.Millisecond
	case a.identity.Zone != b.identity.Zone:
		base = s.shape.zoneDelay
	}
	return base + time.Duration(s.rng.ExpFloat64()*float64(base)/2)
}

// call models a remote call. serve runs at the callee and returns the function that
// handles the reply at the caller. fail runs at the caller if there is no reply
// within configCallTimeout.
func (s *configSim) call(from, to *configNode, extra time.Duration, serve func() func(), fail func()) {
	done, generation := false, from.generation
	finish := func(f func()) {
		if !done && from.generation == generation {
			done = true
			from.dispatch(f)
		}
	}
	s.tl.After(configCallTimeout, func() { finish(fail) })
	if to == nil || !to.up {
		// A process that has ended does not answer.
		return
	}
	lost := s.rng.Float64() < configLoss
	s.tl.After(s.latency(from, to), func() {
		if lost || !s.connected(from, to) {
			return
		}
		to.dispatch(func() {
			reply := serve()
			s.tl.After(s.latency(to, from)+extra, func() {
				if s.connected(to, from) {
					finish(reply)
				}
			})
		})
	})
}

func (s *configSim) exchange(n *configNode, peer string) {
	to := s.byName[peer]
	sent := n.state.Accepted()
	serve := func() func() {
		to.execute(to.state.PeerVersionReceived(s.tl.Now(), n.identity.Name, sent))
		received := to.state.Accepted()
		return func() { n.execute(n.state.PeerVersionReceived(s.tl.Now(), peer, received)) }
	}
	s.call(n, to, 0, serve, func() { n.execute(n.state.ExchangeFailed(s.tl.Now(), peer)) })
}

func (s *configSim) fetch(n *configNode, f spread.Fetch) {
	to := s.byName[f.Peer]
	corrupt := s.rng.Float64() < configCorrupt
	serve := func() func() {
		claimed := to.state.Accepted()
		computed := claimed.Digest
		if corrupt {
			computed ^= 1
		}
		return func() {
			n.contents[spread.Version{Revision: claimed.Revision, Digest: computed}] = computed
			n.execute(n.state.Fetched(s.tl.Now(), f.Peer, claimed, computed))
		}
	}
	s.call(n, to, configTransfer, serve, func() { n.execute(n.state.FetchFailed(s.tl.Now(), f.Peer)) })
}

// recordBlocked records a period in which a process can't receive a configuration.
func (n *configNode) recordBlocked(from, to time.Duration) {
	n.blockedPeriods = append(n.blockedPeriods, interval{from, to})
}

// spreadTimes returns the adoption delay for each pair of a valid publication and a
// process: the time until the process adopted it or a higher version, not counting
// the time before it was readable and the process unblocked. missing is the number
// of pairs without an adoption.
func (s *configSim) spreadTimes(end time.Duration) (times []float64, missing int) {
	for _, p := range s.service.history {
		if !p.valid || !p.wasReadable || p.readableAt > end {
			continue
		}
		for _, n := range s.nodes {
			if n.removed || n.createdAt > p.readableAt {
				continue
			}
			at, ok := n.firstAdoption(p.version)
			if !ok {
				missing++
				continue
			}
			times = append(times, max(at-n.unblockedFrom(p.readableAt, at), 0).Seconds())
		}
	}
	return times, missing
}

func (n *configNode) firstAdoption(v spread.Version) (time.Duration, bool) {
	for _, a := range n.adoptions {
		if !v.Above(a.version) {
			return a.at, true
		}
	}
	return 0, false
}

// unblockedFrom returns the start time moved to the end of the blocked periods that
// began before the adoption.
func (n *configNode) unblockedFrom(start, adopted time.Duration) time.Duration {
	for _, b := range n.blockedPeriods {
		if b.from <= adopted && b.to > start {
			start = b.to
		}
	}
	return start
}

package bench

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/bench/timeline"
	"github.com/mulberryfork/mulberryfork/decide/route"
	"github.com/mulberryfork/mulberryfork/decide/spread"
	"github.com/mulberryfork/mulberryfork/decide/subset"
	"github.com/mulberryfork/mulberryfork/wire"
)

const (
	controlZones  = 6
	controlModels = 6
	// controlRouters of every controlFleetSize nodes are routers, as in the full
	// fleet.
	controlRouters   = 410
	controlFleetSize = 1010
	// controlFrameOverhead is the size that drpc and a TLS record add to a message.
	controlFrameOverhead = 37
	// controlPromptBlocks is the number of distinct prompt blocks.
	controlPromptBlocks = 100000
	// controlMeshInterval is the shortest interval between unpaced reports.
	controlMeshInterval = 100 * time.Millisecond
	controlMeshChanges  = 32
	controlLeavingVMs   = 2
)

// controlNode is a process with the control state of its role.
type controlNode struct {
	name   string
	zone   int
	router bool
	bytes  float64
	spread *spread.State
	// route and links belong to a router.
	route  *route.State
	links  *subset.State
	linked map[string]bool
	// incarnation, cacheSeq and orders belong to an agent. routers holds the routers
	// with a link to it.
	incarnation uint64
	cacheSeq    map[*controlNode]uint64
	orders      uint64
	routers     []*controlNode
}

// controlSim simulates a fleet in one process.
type controlSim struct {
	tl        timeline.Timeline
	rng       *rand.Rand
	mesh      bool
	nodes     []*controlNode
	byName    map[string]*controlNode
	snapshot  *api.Snapshot
	upstreams []subset.Upstream
}

func controlZone(zone int) string { return fmt.Sprintf("zone-%d", zone) }

func controlRegion(zone int) string { return fmt.Sprintf("region-%d", zone/(controlZones/2)) }

func newControlSim(seed uint64, n int, mesh bool) *controlSim {
	s := &controlSim{rng: rand.New(rand.NewPCG(seed, uint64(n))), mesh: mesh, byName: map[string]*controlNode{}}
	routers := n * controlRouters / controlFleetSize
	config := &api.Config{Members: map[string]api.Member{"member": {}}, Zones: map[string]api.Zone{}, Upstreams: map[string]api.Upstream{}}
	for z := range controlZones {
		config.Zones[controlZone(z)] = api.Zone{Region: controlRegion(z), State: api.ZoneIn}
	}
	for i := range n {
		node := &controlNode{zone: i % controlZones, router: i < routers, incarnation: s.rng.Uint64()}
		node.name = fmt.Sprintf("vm-agent-%03d", i-routers)
		if node.router {
			node.name = fmt.Sprintf("vm-router-%03d", i)
		} else {
			node.cacheSeq = map[*controlNode]uint64{}
			config.Upstreams[node.name] = api.Upstream{
				Kind: api.UpstreamModel, Zone: controlZone(node.zone), Models: []string{fmt.Sprintf("model-%d", i/controlZones%controlModels)},
			}
		}
		s.nodes = append(s.nodes, node)
		s.byName[node.name] = node
	}
	s.snapshot = &api.Snapshot{Revision: 1, Config: config}
	s.upstreams = subset.FromConfig(config)
	return s
}

// run builds the control state, runs the warm-up and measures the given duration.
func (s *controlSim) run(duration time.Duration) controlCost {
	before := heapMB()
	s.start()
	s.tl.Run(s.warmUp())
	for _, n := range s.nodes {
		n.bytes = 0
	}
	began := cpuTime()
	s.tl.Run(s.warmUp() + duration)
	used := cpuTime() - began
	c := controlCost{
		cpu:    controlPercent * used.Seconds() / duration.Seconds() / float64(len(s.nodes)),
		memory: max(heapMB()-before, 0) / float64(len(s.nodes)),
	}
	routers := 0.0
	for _, n := range s.nodes {
		rate := n.bytes / duration.Seconds()
		c.meanBytes += rate / float64(len(s.nodes))
		c.maxBytes = max(c.maxBytes, rate)
		if n.router {
			routers++
			c.links += float64(len(n.linked))
		}
	}
	c.links /= routers
	return c
}

func (s *controlSim) warmUp() time.Duration {
	if s.mesh {
		return controlMeshInterval
	}
	return controlWarmUp
}

// cpuTime returns the CPU time of this process, including garbage collection.
func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

func (s *controlSim) start() {
	members := make([]spread.Node, len(s.nodes))
	var routers []subset.Router
	for i, n := range s.nodes {
		members[i] = spread.Node{Name: n.name, Zone: controlZone(n.zone)}
		if n.router {
			routers = append(routers, subset.Router{Name: n.name, Zone: controlZone(n.zone), Region: controlRegion(n.zone)})
		}
	}
	for i, n := range s.nodes {
		n.spread = spread.New(members[i], nil)
		s.execute(n, n.spread.Start(0))
		s.execute(n, n.spread.SetMembers(0, members))
		s.execute(n, n.spread.Delivered(0, spread.Version{Revision: 1, Digest: 1}))
		first := time.Duration(s.rng.Int64N(int64(spread.TickInterval)))
		s.tl.Every(first, spread.TickInterval, func() { s.execute(n, n.spread.Tick(s.tl.Now())) })
		if n.router {
			s.startRouter(n, routers)
		}
	}
	s.startReports()
}

func (s *controlSim) startRouter(n *controlNode, routers []subset.Router) {
	n.route = route.New(route.Options{Zone: controlZone(n.zone), Seed: n.incarnation})
	n.route.Configure(s.snapshot)
	n.links, n.linked = subset.New(subset.Router{Name: n.name, Zone: controlZone(n.zone)}), map[string]bool{}
	n.links.SetRouters(routers)
	s.openLinks(n, n.links.SetUpstreams(controlRegion(n.zone), s.upstreams))
	if s.mesh {
		var all []string
		for _, u := range s.upstreams {
			all = append(all, u.Name)
		}
		s.openLinks(n, subset.Change{Open: all})
		return
	}
	s.tl.Every(subset.ChangeInterval, subset.ChangeInterval, func() { s.openLinks(n, n.links.Step(s.tl.Now())) })
}

func (s *controlSim) openLinks(router *controlNode, c subset.Change) {
	for _, name := range c.Open {
		if router.linked[name] {
			continue
		}
		router.linked[name] = true
		agent := s.byName[name]
		agent.routers = append(agent.routers, router)
		router.route.LinkUp(name, api.LinkState{Up: true, Incarnation: api.Incarnation(agent.incarnation)})
	}
}

// startReports makes each agent report on each link at the highest permitted rate,
// as a busy agent does.
func (s *controlSim) startReports() {
	for _, n := range s.nodes {
		if n.router {
			continue
		}
		size := subset.LinkCount(subset.Router{Zone: controlZone(n.zone), Region: controlRegion(n.zone)}, s.upstreams)
		for _, router := range n.routers {
			schedule := subset.ScheduleReports(max(size, len(n.routers)))
			if s.mesh {
				schedule = subset.ReportSchedule{Interval: controlMeshInterval, MaxChanges: controlMeshChanges}
			}
			first := time.Duration(s.rng.Int64N(int64(schedule.Interval)))
			s.tl.Every(first, schedule.Interval, func() { s.report(n, router, schedule.MaxChanges) })
		}
	}
}

// report sends one load report through the real encoding to the routing state of a
// router.
func (s *controlSim) report(agent, router *controlNode, changes int) {
	agent.orders++
	l := api.Load{
		Upstream: agent.name, Incarnation: api.Incarnation(agent.incarnation), Elapsed: s.tl.Now(), Revision: 1,
		Running: uint32(s.rng.IntN(64)), Queued: uint32(s.rng.IntN(8)), Tokens: s.rng.Uint64N(1 << 17),
		LimitRequests: 64, LimitTokens: 1 << 17, Accepting: true, SeenOrders: agent.orders,
		StepTime: 30 * time.Millisecond, FirstToken: 120 * time.Millisecond,
	}
	for range changes {
		l.PrefixAdded = append(l.PrefixAdded, s.rng.Uint64N(controlPromptBlocks))
	}
	agent.cacheSeq[router] += uint64(changes)
	l.CacheSeq = agent.cacheSeq[router]
	batch := &wire.AgentBatch{Frames: []*wire.AgentFrame{{Body: &wire.AgentFrame_Load{Load: wire.FromLoad(l)}}}}
	received := &wire.AgentBatch{}
	if !s.transmit(agent, router, batch, received) {
		return
	}
	router.route.Load(s.tl.Now(), wire.ToLoad(received.GetFrames()[0].GetLoad()))
}

// transmit encodes a message, counts its size at both ends and decodes it.
func (s *controlSim) transmit(from, to *controlNode, m, received proto.Message) bool {
	data, err := proto.Marshal(m)
	if err != nil || proto.Unmarshal(data, received) != nil {
		return false
	}
	size := float64(len(data) + controlFrameOverhead)
	from.bytes += size
	to.bytes += size
	return true
}

// execute carries out the actions of a node. All nodes have the same configuration.
func (s *controlSim) execute(n *controlNode, actions []spread.Action) {
	for _, a := range actions {
		switch x := a.(type) {
		case spread.Exchange:
			peer := s.byName[x.Peer]
			s.tl.After(time.Millisecond, func() { s.exchange(n, peer) })
		case spread.Validate:
			s.execute(n, n.spread.Validated(s.tl.Now(), x.Version, true))
		}
	}
}

func (s *controlSim) exchange(n, peer *controlNode) {
	for _, direction := range [][2]*controlNode{{n, peer}, {peer, n}} {
		received := &wire.Digest{}
		if !s.transmit(direction[0], direction[1], wire.FromDigest(s.digest(direction[0])), received) {
			return
		}
		d := wire.ToDigest(received)
		v := spread.Version{Revision: d.Version.Revision, Digest: d.Version.Digest}
		s.execute(direction[1], direction[1].spread.PeerVersionReceived(s.tl.Now(), d.Node, v))
	}
}

func (s *controlSim) digest(n *controlNode) api.PeerDigest {
	accepted := n.spread.Accepted()
	d := api.PeerDigest{
		Version: api.ConfigVersion{Revision: accepted.Revision, Digest: accepted.Digest},
		Node:    n.name, Role: api.RoleAgent, Zone: controlZone(n.zone), Incarnation: api.Incarnation(n.incarnation),
		Seq: n.spread.Counters().Exchanges,
	}
	if n.router {
		d.Role = api.RoleRouter
	}
	for i := range controlLeavingVMs {
		d.Observations = append(d.Observations, api.Observation{VM: s.nodes[i].name, Leaving: true, Age: s.tl.Now()})
	}
	return d
}

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
	// controlRouters of each controlParts nodes are routers, as at full size.
	controlRouters = 410
	controlParts   = 1010
	// controlFrame is what drpc and a TLS record add to a message.
	controlFrame = 37
	// controlBlocks is the size of the pool of prompt blocks.
	controlBlocks = 100000
	// controlMeshInterval is the shortest time between reports without pacing.
	controlMeshInterval = 100 * time.Millisecond
	controlMeshChanges  = 32
	controlLeaving      = 2
)

// controlNode is one process with the control state of its role.
type controlNode struct {
	name   string
	zone   int
	router bool
	bytes  float64
	spread *spread.State
	// route and links belong to a router.
	route *route.State
	links *subset.State
	held  map[string]bool
	// incarnation, cacheSeq and orders belong to an agent; routers are those
	// that hold a link to it.
	incarnation uint64
	cacheSeq    map[*controlNode]uint64
	orders      uint64
	routers     []*controlNode
}

// controlWorld is a fleet in one process.
type controlWorld struct {
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

func newControlWorld(seed uint64, n int, mesh bool) *controlWorld {
	w := &controlWorld{rng: rand.New(rand.NewPCG(seed, uint64(n))), mesh: mesh, byName: map[string]*controlNode{}}
	routers := n * controlRouters / controlParts
	config := &api.Config{Members: map[string]api.Member{"member": {}}, Zones: map[string]api.Zone{}, Upstreams: map[string]api.Upstream{}}
	for z := range controlZones {
		config.Zones[controlZone(z)] = api.Zone{Region: controlRegion(z), State: api.ZoneIn}
	}
	for i := range n {
		node := &controlNode{zone: i % controlZones, router: i < routers, incarnation: w.rng.Uint64()}
		node.name = fmt.Sprintf("vm-agent-%03d", i-routers)
		if node.router {
			node.name = fmt.Sprintf("vm-router-%03d", i)
		} else {
			node.cacheSeq = map[*controlNode]uint64{}
			config.Upstreams[node.name] = api.Upstream{
				Kind: api.UpstreamModel, Zone: controlZone(node.zone), Models: []string{fmt.Sprintf("model-%d", i/controlZones%controlModels)},
			}
		}
		w.nodes = append(w.nodes, node)
		w.byName[node.name] = node
	}
	w.snapshot = &api.Snapshot{Revision: 1, Config: config}
	w.upstreams = subset.FromConfig(config)
	return w
}

// run builds the control state, lets it settle and measures a span.
func (w *controlWorld) run(span time.Duration) controlCost {
	before := heapMB()
	w.start()
	w.tl.Run(w.warmUp())
	for _, n := range w.nodes {
		n.bytes = 0
	}
	began := processorTime()
	w.tl.Run(w.warmUp() + span)
	used := processorTime() - began
	c := controlCost{
		cpu:    controlPercent * used.Seconds() / span.Seconds() / float64(len(w.nodes)),
		memory: max(heapMB()-before, 0) / float64(len(w.nodes)),
	}
	routers := 0.0
	for _, n := range w.nodes {
		rate := n.bytes / span.Seconds()
		c.bytes += rate / float64(len(w.nodes))
		c.most = max(c.most, rate)
		if n.router {
			routers++
			c.links += float64(len(n.held))
		}
	}
	c.links /= routers
	return c
}

func (w *controlWorld) warmUp() time.Duration {
	if w.mesh {
		return controlMeshInterval
	}
	return controlWarmUp
}

// processorTime is what this process has used, garbage collection included.
func processorTime() time.Duration {
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

func (w *controlWorld) start() {
	members := make([]spread.Node, len(w.nodes))
	var routers []subset.Router
	for i, n := range w.nodes {
		members[i] = spread.Node{Name: n.name, Zone: controlZone(n.zone)}
		if n.router {
			routers = append(routers, subset.Router{Name: n.name, Zone: controlZone(n.zone), Region: controlRegion(n.zone)})
		}
	}
	for i, n := range w.nodes {
		n.spread = spread.New(members[i], nil)
		w.act(n, n.spread.Start(0))
		w.act(n, n.spread.SetMembers(0, members))
		w.act(n, n.spread.Delivered(0, spread.Version{Revision: 1, Digest: 1}))
		first := time.Duration(w.rng.Int64N(int64(spread.TickInterval)))
		w.tl.Every(first, spread.TickInterval, func() { w.act(n, n.spread.Tick(w.tl.Now())) })
		if n.router {
			w.startRouter(n, routers)
		}
	}
	w.startReports()
}

func (w *controlWorld) startRouter(n *controlNode, routers []subset.Router) {
	n.route = route.New(route.Options{Zone: controlZone(n.zone), Seed: n.incarnation})
	n.route.Configure(w.snapshot)
	n.links, n.held = subset.New(subset.Router{Name: n.name, Zone: controlZone(n.zone)}), map[string]bool{}
	n.links.SetRouters(routers)
	w.apply(n, n.links.SetUpstreams(controlRegion(n.zone), w.upstreams))
	if w.mesh {
		var all []string
		for _, u := range w.upstreams {
			all = append(all, u.Name)
		}
		w.apply(n, subset.Change{Open: all})
		return
	}
	w.tl.Every(subset.ChangeInterval, subset.ChangeInterval, func() { w.apply(n, n.links.Step(w.tl.Now())) })
}

func (w *controlWorld) apply(router *controlNode, c subset.Change) {
	for _, name := range c.Open {
		if router.held[name] {
			continue
		}
		router.held[name] = true
		agent := w.byName[name]
		agent.routers = append(agent.routers, router)
		router.route.LinkUp(name, api.LinkState{Up: true, Incarnation: api.Incarnation(agent.incarnation)})
	}
}

// startReports makes each agent report on each link as often as it may, which
// is what a busy agent does.
func (w *controlWorld) startReports() {
	for _, n := range w.nodes {
		if n.router {
			continue
		}
		size := subset.LinkCount(subset.Router{Zone: controlZone(n.zone), Region: controlRegion(n.zone)}, w.upstreams)
		for _, router := range n.routers {
			pace := subset.ScheduleReports(max(size, len(n.routers)))
			if w.mesh {
				pace = subset.ReportSchedule{Interval: controlMeshInterval, MaxChanges: controlMeshChanges}
			}
			first := time.Duration(w.rng.Int64N(int64(pace.Interval)))
			w.tl.Every(first, pace.Interval, func() { w.report(n, router, pace.MaxChanges) })
		}
	}
}

// report carries one load report from the agent's state to the router's
// decisions through the real encoding.
func (w *controlWorld) report(agent, router *controlNode, changes int) {
	agent.orders++
	l := api.Load{
		Upstream: agent.name, Incarnation: api.Incarnation(agent.incarnation), Elapsed: w.tl.Now(), Revision: 1,
		Running: uint32(w.rng.IntN(64)), Queued: uint32(w.rng.IntN(8)), Tokens: w.rng.Uint64N(1 << 17),
		LimitRequests: 64, LimitTokens: 1 << 17, Accepting: true, SeenOrders: agent.orders,
		StepTime: 30 * time.Millisecond, FirstToken: 120 * time.Millisecond,
	}
	for range changes {
		l.PrefixAdded = append(l.PrefixAdded, w.rng.Uint64N(controlBlocks))
	}
	agent.cacheSeq[router] += uint64(changes)
	l.CacheSeq = agent.cacheSeq[router]
	batch := &wire.AgentBatch{Frames: []*wire.AgentFrame{{Body: &wire.AgentFrame_Load{Load: wire.FromLoad(l)}}}}
	received := &wire.AgentBatch{}
	if !w.carry(agent, router, batch, received) {
		return
	}
	router.route.Load(w.tl.Now(), wire.ToLoad(received.GetFrames()[0].GetLoad()))
}

// carry encodes a message, counts it at both ends and decodes it.
func (w *controlWorld) carry(from, to *controlNode, m, received proto.Message) bool {
	data, err := proto.Marshal(m)
	if err != nil || proto.Unmarshal(data, received) != nil {
		return false
	}
	size := float64(len(data) + controlFrame)
	from.bytes += size
	to.bytes += size
	return true
}

// act carries out what a node decided. All have the same configuration.
func (w *controlWorld) act(n *controlNode, actions []spread.Action) {
	for _, a := range actions {
		switch x := a.(type) {
		case spread.Exchange:
			peer := w.byName[x.Peer]
			w.tl.After(time.Millisecond, func() { w.exchange(n, peer) })
		case spread.Validate:
			w.act(n, n.spread.Validated(w.tl.Now(), x.Version, true))
		}
	}
}

func (w *controlWorld) exchange(n, peer *controlNode) {
	for _, way := range [][2]*controlNode{{n, peer}, {peer, n}} {
		received := &wire.Digest{}
		if !w.carry(way[0], way[1], wire.FromDigest(w.digest(way[0])), received) {
			return
		}
		d := wire.ToDigest(received)
		v := spread.Version{Revision: d.Version.Revision, Digest: d.Version.Content}
		w.act(way[1], way[1].spread.DigestReceived(w.tl.Now(), d.Node, v))
	}
}

func (w *controlWorld) digest(n *controlNode) api.PeerDigest {
	accepted := n.spread.Accepted()
	d := api.PeerDigest{
		Version: api.ConfigVersion{Revision: accepted.Revision, Content: accepted.Digest},
		Node:    n.name, Role: api.RoleAgent, Zone: controlZone(n.zone), Incarnation: api.Incarnation(n.incarnation),
		Seq: n.spread.Counters().Exchanges,
	}
	if n.router {
		d.Role = api.RoleRouter
	}
	for i := range controlLeaving {
		d.Observations = append(d.Observations, api.Observation{VM: w.nodes[i].name, Leaving: true, Age: w.tl.Now()})
	}
	return d
}

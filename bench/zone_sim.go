package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/bench/enginemodel"
	"github.com/mulberryfork/mulberryfork/bench/timeline"
	"github.com/mulberryfork/mulberryfork/decide/route"
	"github.com/mulberryfork/mulberryfork/decide/zone"
)

const (
	zoneMembers        = 10
	zoneLargeMembers   = 3
	zoneLargeShare     = 4
	zoneClientDelay    = 3 * time.Millisecond
	zoneIntraZoneDelay = 100 * time.Microsecond
	zoneMaxConfigDelay = 1500 * time.Millisecond
	zoneReportInterval = 250 * time.Millisecond
	zoneMinReportLag   = 20 * time.Millisecond
	zoneReportLagRange = 80 * time.Millisecond
	// zoneLeaving is the index of the zone that leaves and returns.
	zoneLeaving     = 0
	zoneMaxAttempts = 4
)

// zoneRequest is one request of a caller.
type zoneRequest struct {
	id       string
	member   string
	prompt   prompt
	arrived  time.Duration
	attempts uint32
	tried    []string
	ttft     float64
	// engine is the index of the engine that ran the request, or -1.
	engine  int
	hit     bool
	refused bool
	done    bool
}

func (q *zoneRequest) cost() uint32 { return uint32(q.prompt.tokens() + q.prompt.output) }

// zoneRouter runs the tested decisions of a router.
type zoneRouter struct {
	sim      *zoneSim
	index    int
	route    *route.State
	zones    *zone.State
	revision uint64
}

// zoneSim is one run of the model.
type zoneSim struct {
	events   timeline.Timeline
	user     zoneUser
	policy   zonePolicy
	rng      *rand.Rand
	trace    *promptTrace
	routers  []*zoneRouter
	agents   []*zoneAgent
	requests []*zoneRequest
	// lateStarts counts starts in a zone that was out for longer than zoneLateAfter,
	// interrupted the runs that ended early, and refused the requests that failed
	// without a run.
	lateStarts, interrupted, refused int
	snapshots                        map[uint64]*api.Snapshot
}

func newZoneSim(seed uint64, u zoneUser, policy zonePolicy) *zoneSim {
	s := &zoneSim{
		user: u, policy: policy,
		rng:   rand.New(rand.NewPCG(seed, 11)),
		trace: newPromptTrace(seed, 0),
		snapshots: map[uint64]*api.Snapshot{
			1: zoneSnapshot(1, api.ZoneIn), 2: zoneSnapshot(2, api.ZoneLeaving),
			3: zoneSnapshot(3, api.ZoneOut), 4: zoneSnapshot(4, api.ZoneIn),
		},
	}
	for i := range routeEngines {
		s.agents = append(s.agents, newZoneAgent(s, i))
	}
	for r := range routeRouters {
		z := zone.New()
		o := route.Options{Zone: zoneName(r), Seed: seed*31 + uint64(r), BlockTokens: enginemodel.BlockTokens, Gate: z}
		if policy.plain {
			o.Gate = nil
		}
		router := &zoneRouter{sim: s, index: r, route: route.New(o), zones: z}
		router.configure(1)
		s.routers = append(s.routers, router)
		for _, a := range s.agents {
			router.linkUp(a)
		}
	}
	return s
}

func zoneMemberName(i int) string { return fmt.Sprintf("member-%d", i) }

func zoneSnapshot(revision uint64, state api.ZoneState) *api.Snapshot {
	c := &api.Config{
		Members: map[string]api.Member{}, Zones: map[string]api.Zone{}, Upstreams: map[string]api.Upstream{},
	}
	for i := range zoneMembers {
		m := api.Member{Share: 1, QueueRequests: 64}
		if i < zoneLargeMembers {
			m.Share = zoneLargeShare
		}
		c.Members[zoneMemberName(i)] = m
	}
	for i := range routeEngines {
		c.Zones[zoneName(i)] = api.Zone{State: api.ZoneIn}
		c.Upstreams[upstreamName(i)] = api.Upstream{
			Kind: api.UpstreamModel, Zone: zoneName(i), Models: []string{routeModel},
			MaxRequests: zoneMaxRequests, ColdRequests: zoneColdRequests, ColdGain: 1,
		}
	}
	c.Zones[zoneName(zoneLeaving)] = api.Zone{State: state}
	return &api.Snapshot{Revision: revision, Config: c}
}

// oneWayDelay returns the one-way network delay between a router and an agent.
func (s *zoneSim) oneWayDelay(router, engine int) time.Duration {
	if router%routeZones == engine%routeZones {
		return zoneIntraZoneDelay
	}
	return s.user.interZoneDelay
}

func (s *zoneSim) run() {
	var arrive func()
	arrive = func() {
		s.startRequest(s.trace.next(s.events.Now()))
		if s.events.Now() < zoneEnd {
			s.events.After(s.trace.interarrival(s.user.rate), arrive)
		}
	}
	s.events.After(0, arrive)
	s.events.Every(s.events.Now()+zoneReportInterval, zoneReportInterval, s.reportLoads)
	if s.policy.notice {
		s.events.After(zoneNoticeAt, func() { s.publish(2) })
	}
	s.events.After(zoneOutAt, func() { s.publish(3) })
	s.events.After(zoneReplaceAt, s.replaceVMs)
	s.events.After(zoneInAt, func() { s.publish(4) })
	s.events.Run(zoneEnd + zoneDrain)
}

// publish sends a revision to each process after a random delay.
func (s *zoneSim) publish(revision uint64) {
	for _, r := range s.routers {
		s.events.After(s.randomConfigDelay(), func() { r.configure(revision) })
	}
	for _, a := range s.agents {
		s.events.After(s.randomConfigDelay(), func() { a.configure(revision) })
	}
}

func (s *zoneSim) randomConfigDelay() time.Duration {
	return time.Duration(s.rng.Float64() * float64(zoneMaxConfigDelay))
}

// replaceVMs replaces the VMs of the zone that is out.
func (s *zoneSim) replaceVMs() {
	for i, a := range s.agents {
		if i%routeZones != zoneLeaving {
			continue
		}
		a.engine.Crash()
		fresh := newZoneAgent(s, i)
		fresh.incarnation = a.incarnation + 1
		fresh.configure(a.snapshot.Revision)
		s.agents[i] = fresh
		for _, r := range s.routers {
			r.route.LinkDown(a.name)
			r.zones.LinkDown(a.name)
			r.linkUp(fresh)
		}
	}
}

func (s *zoneSim) startRequest(p prompt) {
	// Members send requests in proportion to their shares.
	const shares = zoneLargeMembers*zoneLargeShare + zoneMembers - zoneLargeMembers
	draw := s.trace.rng.IntN(shares)
	member := max(draw/zoneLargeShare, draw-zoneLargeMembers*zoneLargeShare+zoneLargeMembers)
	if draw < zoneLargeMembers*zoneLargeShare {
		member = draw / zoneLargeShare
	}
	q := &zoneRequest{
		id: fmt.Sprint(len(s.requests)), member: zoneMemberName(member), prompt: p,
		arrived: s.events.Now(), engine: -1,
	}
	s.requests = append(s.requests, q)
	r := s.routers[s.trace.rng.IntN(routeRouters)]
	s.events.After(zoneClientDelay, func() { r.send(q) })
}

func (s *zoneSim) reportLoads() {
	for i, a := range s.agents {
		a.observeEngine()
		added, dropped, total := a.engine.CacheEvents()
		for _, r := range s.routers {
			l := a.loadReport(r.index)
			l.PrefixAdded, l.PrefixDropped, l.CacheSeq = added, dropped, total
			lag := s.oneWayDelay(r.index, i) + zoneMinReportLag + time.Duration(s.rng.Float64()*float64(zoneReportLagRange))
			s.events.After(lag, func() {
				r.route.Load(s.events.Now(), l)
				if s.agents[i].incarnation == l.Incarnation {
					r.zones.ObserveLoad(l)
				}
			})
		}
	}
}

func (r *zoneRouter) configure(revision uint64) {
	if revision <= r.revision {
		return
	}
	r.revision = revision
	r.route.Configure(r.sim.snapshots[revision])
	r.zones.Configure(r.sim.events.Now(), r.sim.snapshots[revision])
}

func (r *zoneRouter) linkUp(a *zoneAgent) {
	a.received[r.index] = 0
	r.route.LinkUp(a.name, api.LinkState{Up: true, Incarnation: a.incarnation})
	l := a.loadReport(r.index)
	r.route.Load(r.sim.events.Now(), l)
	r.zones.ObserveLoad(l)
}

// send makes one attempt, as the dispatcher does.
func (r *zoneRouter) send(q *zoneRequest) {
	s, now := r.sim, r.sim.events.Now()
	query := api.RouteQuery{
		Member: q.member, Model: routeModel, PrefixHashes: q.prompt.blocks, CostTokens: q.cost(), Exclude: q.tried,
	}
	if !s.policy.plain {
		if r.zones.Admit(query) != nil {
			r.recordRefusal(q)
			return
		}
	}
	choice, failure := r.route.Choose(now, query)
	if failure != nil || q.attempts >= zoneMaxAttempts {
		r.recordRefusal(q)
		return
	}
	q.attempts++
	r.zones.RecordAttempt(now, q.member, choice)
	var engine int
	_, _ = fmt.Sscanf(choice.Upstream, "u%d", &engine)
	t := &zoneAttempt{request: q, router: r, choice: choice, engine: engine}
	s.events.After(s.oneWayDelay(r.index, engine), func() { s.agents[engine].receive(t) })
}

func (r *zoneRouter) recordRefusal(q *zoneRequest) {
	q.refused = true
	if q.arrived >= zoneSteadyFrom {
		r.sim.refused++
	}
}

// receiveResult closes an attempt at the router. After a failure the router retries
// the request at another upstream immediately.
func (r *zoneRouter) receiveResult(t *zoneAttempt, result api.RouteResult) {
	result.Upstream, result.Ticket = t.choice.Upstream, t.choice.Ticket
	r.route.Done(r.sim.events.Now(), result)
	r.zones.RecordEnd(t.request.member, t.choice.Upstream)
	f := result.Failure
	if f == nil {
		t.request.done = true
		return
	}
	if f.Revision > r.revision {
		// The dispatcher first fetches the newer revision from the agent.
		fetchDelay := 2 * r.sim.oneWayDelay(r.index, t.engine)
		r.sim.events.After(fetchDelay, func() {
			r.configure(f.Revision)
			r.send(t.request)
		})
		return
	}
	t.request.tried = append(t.request.tried, t.choice.Upstream)
	r.send(t.request)
}

// ttftP95 returns the 95th percentile of the time to first token, in ms, of requests
// that arrived in a period.
func (s *zoneSim) ttftP95(from, to time.Duration) float64 {
	var values []float64
	for _, q := range s.requests {
		if q.arrived >= from && q.arrived < to && q.ttft > 0 {
			values = append(values, q.ttft)
		}
	}
	return quantile(values, 0.95)
}

func (s *zoneSim) hitRate(from, to time.Duration) float64 {
	hits, all := 0, 0
	for _, q := range s.requests {
		if q.arrived >= from && q.arrived < to && q.ttft > 0 {
			all++
			if q.hit {
				hits++
			}
		}
	}
	return float64(hits) / float64(max(all, 1))
}

// returnedShare returns the fraction of the requests after zoneReturnWindow that ran
// in the returned zone.
func (s *zoneSim) returnedShare() float64 {
	inZone, all := 0, 0
	for _, q := range s.requests {
		if q.arrived >= zoneInAt+zoneReturnWindow && q.engine >= 0 {
			all++
			if q.engine%routeZones == zoneLeaving {
				inZone++
			}
		}
	}
	return float64(inZone) / float64(max(all, 1))
}

// unanswered returns the number of requests that got neither a response nor a
// refusal.
func (s *zoneSim) unanswered() int {
	n := 0
	for _, q := range s.requests {
		if !q.done && !q.refused {
			n++
		}
	}
	return n
}

package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/bench/enginemodel"
	"github.com/mulberryfork/mulberryfork/bench/timeline"
	"github.com/mulberryfork/mulberryfork/decide/route"
)

// Size and timing of the modelled pool, which has the present size of one user.
const (
	routeEngines        = 12
	routeZones          = 3
	routeRouters        = 3
	routeWarmUp         = 30 * time.Second
	routeEnd            = 120 * time.Second
	routeReportInterval = 250 * time.Millisecond
	// routeReportLag is the minimum delay of load reports with their cache events,
	// routeReportLagRange the range of the random delay added to it.
	routeReportLag      = 200 * time.Millisecond
	routeReportLagRange = 300 * time.Millisecond
	// routeFlashWindow is the time after traceFlashAt for which flashP95 is measured.
	routeFlashWindow = 15 * time.Second
	routeMember      = "member"
	routeModel       = "model"
	// routeLimitTokens is the token limit that agents report.
	routeLimitTokens = 64 * 2400
)

type routeStats struct {
	hitRate, p50, p95, flashP95 float64
	gaps                        uint64
}

// routePool is one run of a policy. faultRNG draws the lost cache events and the
// delays of load reports; requestCounts holds the requests of each router.
type routePool struct {
	events        timeline.Timeline
	engines       []*enginemodel.Engine
	agents        []*routeAgent
	routers       []*route.State
	policy        routePolicy
	scenario      routeScenario
	faultRNG      *rand.Rand
	requestCounts [routeRouters]int
	trace         *promptTrace
	ttft          []float64
	// flash holds the times to first token, in ms, within routeFlashWindow.
	flash []float64
}

// routeAgent holds the counters that an agent reports.
type routeAgent struct {
	name         string
	received     [routeRouters]uint64
	requests     uint32
	tokens       uint64
	lastReportAt [routeRouters]time.Duration
}

func runRoutePolicy(seed uint64, scenario routeScenario, policy routePolicy) routeStats {
	p := newRoutePool(seed, scenario, policy)
	p.events.Run(routeEnd)
	return p.stats()
}

func newRoutePool(seed uint64, scenario routeScenario, policy routePolicy) *routePool {
	p := &routePool{policy: policy, scenario: scenario, faultRNG: rand.New(rand.NewPCG(seed, 2))}
	for i := range routeEngines {
		speed := enginemodel.DefaultSpeed
		if i < scenario.slowEngines {
			speed.Step, speed.StepPerRequest, speed.StepPerPromptToken = 2*speed.Step, 2*speed.StepPerRequest, 2*speed.StepPerPromptToken
		}
		p.engines = append(p.engines, enginemodel.NewEngine(&p.events, speed))
		p.agents = append(p.agents, &routeAgent{name: upstreamName(i)})
	}
	for r := range routeRouters {
		p.routers = append(p.routers, newModelRouter(routeEngines, r, seed, policy.options))
	}
	p.trace = newPromptTrace(seed, scenario.hotShare)
	var arrive func()
	arrive = func() {
		p.request(p.trace.next(p.events.Now()))
		p.events.After(p.trace.interarrival(scenario.rate), arrive)
	}
	p.events.After(0, arrive)
	p.events.Every(p.events.Now()+routeReportInterval, routeReportInterval, p.reportLoads)
	return p
}

func upstreamName(i int) string { return fmt.Sprintf("u%02d", i) }

func zoneName(i int) string { return fmt.Sprintf("z%d", i%routeZones) }

// newModelRouter returns the routing state of router r, configured with the given
// number of modelled upstreams.
func newModelRouter(engines, r int, seed uint64, o route.Options) *route.State {
	o.Zone, o.Seed, o.BlockTokens = zoneName(r), seed*31+uint64(r), enginemodel.BlockTokens
	s := route.New(o)
	c := &api.Config{
		Members:   map[string]api.Member{routeMember: {}},
		Zones:     map[string]api.Zone{},
		Upstreams: map[string]api.Upstream{},
	}
	for i := range engines {
		c.Zones[zoneName(i)] = api.Zone{State: api.ZoneIn}
		c.Upstreams[upstreamName(i)] = api.Upstream{Kind: api.UpstreamModel, Zone: zoneName(i), Models: []string{routeModel}}
	}
	s.Configure(&api.Snapshot{Revision: 1, Config: c})
	for i := range engines {
		s.LinkUp(upstreamName(i), api.LinkState{Up: true, Incarnation: 1})
		s.Load(0, api.Load{Upstream: upstreamName(i), Incarnation: 1, Accepting: true, LimitTokens: routeLimitTokens})
	}
	return s
}

// oneWayDelay returns the one-way network delay between a router and the agent of an
// engine, which is longer between zones.
func oneWayDelay(router, engine int) time.Duration {
	if router%routeZones == engine%routeZones {
		return 100 * time.Microsecond
	}
	return 1100 * time.Microsecond
}

func (p *routePool) request(q prompt) {
	r := p.trace.rng.IntN(routeRouters)
	p.requestCounts[r]++
	query := api.RouteQuery{Member: routeMember, Model: routeModel, CostTokens: uint32(q.tokens() + q.output)}
	if !p.policy.ignorePrefix && !p.policy.roundRobin {
		query.PrefixHashes = q.blocks
	}
	if p.policy.roundRobin {
		query.OnlyUpstream = upstreamName((p.requestCounts[r] + r) % routeEngines)
	}
	choice, failure := p.routers[r].Choose(p.events.Now(), query)
	if failure != nil {
		return
	}
	var engine int
	_, _ = fmt.Sscanf(choice.Upstream, "u%d", &engine)
	sent := p.events.Now()
	p.events.After(oneWayDelay(r, engine), func() { p.arrive(r, engine, q, choice, sent) })
}

func (p *routePool) arrive(r, engine int, q prompt, choice api.RouteChoice, sent time.Duration) {
	a, cost := p.agents[engine], uint64(q.tokens()+q.output)
	a.received[r]++
	a.requests++
	a.tokens += cost
	j := &enginemodel.Job{Prefix: q.blocks, PromptTokens: q.tokens(), OutputTokens: q.output}
	j.FirstToken = func() {
		if sent >= routeWarmUp {
			ms := float64(p.events.Now()+oneWayDelay(r, engine)-sent) / float64(time.Millisecond)
			p.ttft = append(p.ttft, ms)
			if sent >= traceFlashAt && sent < traceFlashAt+routeFlashWindow {
				p.flash = append(p.flash, ms)
			}
		}
	}
	j.Done = func(bool) {
		a.requests--
		a.tokens -= cost
		result := api.RouteResult{Upstream: choice.Upstream, Ticket: choice.Ticket, Cache: api.CacheMiss}
		if j.CachedTokens*2 >= j.PromptTokens {
			result.Cache = api.CacheHit
		}
		p.events.After(oneWayDelay(r, engine), func() { p.routers[r].Done(p.events.Now(), result) })
	}
	p.engines[engine].Submit(j)
}

// reportLoads sends each agent's load to each router, delayed and in order. Some
// reports lose their cache events.
func (p *routePool) reportLoads() {
	for i, a := range p.agents {
		added, dropped, total := p.engines[i].CacheEvents()
		running, waiting := p.engines[i].Load()
		for r := range p.routers {
			if p.policy.ignoreReports {
				continue
			}
			l := api.Load{
				Upstream: a.name, Incarnation: 1, Elapsed: p.events.Now(), Accepting: true,
				Running: uint32(running), Queued: uint32(waiting), Tokens: a.tokens,
				LimitTokens: routeLimitTokens, SeenOrders: a.received[r],
				PrefixAdded: added, PrefixDropped: dropped, CacheSeq: total,
			}
			if p.faultRNG.Float64() < p.scenario.gapRate {
				l.PrefixAdded, l.PrefixDropped = nil, nil
			}
			lag := routeReportLag + time.Duration(p.faultRNG.Float64()*float64(routeReportLagRange))
			a.lastReportAt[r] = max(a.lastReportAt[r], p.events.Now()+lag)
			p.events.After(a.lastReportAt[r]-p.events.Now(), func() { p.routers[r].Load(p.events.Now(), l) })
		}
	}
}

func (p *routePool) stats() routeStats {
	var s routeStats
	prompts, cached := 0, 0
	for _, e := range p.engines {
		prompts += e.PromptTokens
		cached += e.CachedTokens
	}
	s.hitRate = float64(cached) / float64(prompts)
	for _, r := range p.routers {
		s.gaps += r.Counters().Gaps
	}
	s.flashP95 = quantile(p.flash, 0.95)
	s.p50, s.p95 = quantile(p.ttft, 0.5), quantile(p.ttft, 0.95)
	return s
}

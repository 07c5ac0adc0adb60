package bench

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/bench/enginemodel"
	"github.com/mulberryfork/mulberryfork/decide/coldstart"
	"github.com/mulberryfork/mulberryfork/decide/fairqueue"
	"github.com/mulberryfork/mulberryfork/decide/limit"
)

const (
	zoneMaxRequests   = 64
	zoneColdRequests  = 4
	zoneMaxTokens     = zoneMaxRequests * 2400
	zoneStepBound     = 49 * time.Millisecond
	zonePrefillBudget = 256
	zoneCacheBlocks   = 12000
	zoneDeadline      = 60 * time.Second
)

// zoneAttempt is one try of a request at an upstream.
type zoneAttempt struct {
	request *zoneRequest
	router  *zoneRouter
	choice  api.RouteChoice
	engine  int
	ticket  coldstart.Ticket
	started time.Duration
	job     *enginemodel.Job
}

// zoneAgent runs the tested decisions of an agent in front of a modelled engine.
type zoneAgent struct {
	sim         *zoneSim
	index       int
	name        string
	incarnation api.Incarnation
	snapshot    *api.Snapshot
	engine      *enginemodel.Engine
	queue       *fairqueue.Queue[*zoneAttempt]
	cold        *coldstart.State
	limit       *limit.State
	running     int
	received    [routeRouters]uint64
}

func newZoneAgent(s *zoneSim, i int) *zoneAgent {
	speed := enginemodel.DefaultSpeed
	speed.PrefillBudget, speed.CacheBlocks = zonePrefillBudget, zoneCacheBlocks
	a := &zoneAgent{
		sim: s, index: i, name: upstreamName(i), incarnation: 1,
		engine: enginemodel.NewEngine(&s.events, speed),
		queue: fairqueue.New[*zoneAttempt](fairqueue.Config{
			AgeStep: time.Second, MaxPriority: 9, AdvantageTokens: 256,
			Headroom: 0.5, UsageHorizon: 30 * time.Second, BorrowFactor: 1.5,
		}),
		cold: coldstart.New(coldstart.Params{
			ColdRequests: zoneColdRequests, MaxRequests: zoneMaxRequests, MaxTokens: zoneMaxTokens,
			Gain: 1, StepBound: zoneStepBound,
		}),
		limit: limit.New(limit.Options{MaxRequests: zoneMaxRequests, MaxTokens: zoneMaxTokens, StepTarget: zoneStepBound}),
	}
	a.configure(1)
	return a
}

func (a *zoneAgent) configure(revision uint64) {
	if a.snapshot != nil && revision <= a.snapshot.Revision {
		return
	}
	a.snapshot = a.sim.snapshots[revision]
	for name, m := range a.snapshot.Config.Members {
		a.queue.SetMember(name, m.Share, m.QueueRequests)
	}
	if f := a.zoneOutFailure(); f != nil {
		for _, e := range a.queue.Drain() {
			a.refuse(e.Value, f)
		}
	}
}

// zoneOutFailure returns a failure if the agent's zone is out of service, and nil
// otherwise.
func (a *zoneAgent) zoneOutFailure() *api.Failure {
	zone := a.snapshot.Config.Upstreams[a.name].Zone
	if a.snapshot.Config.Zones[zone].State == api.ZoneOut {
		f := api.NewFailure(api.CodeZoneOut, api.NotRun, "availability zone "+zone+" is out of service")
		f.Revision = a.snapshot.Revision
		return f
	}
	return nil
}

func (a *zoneAgent) refuse(t *zoneAttempt, f *api.Failure) {
	a.sim.events.After(a.sim.oneWayDelay(t.router.index, a.index), func() {
		t.router.receiveResult(t, api.RouteResult{Failure: f})
	})
}

func (a *zoneAgent) receive(t *zoneAttempt) {
	now := a.sim.events.Now()
	a.received[t.router.index]++
	// If the order has a newer revision, the agent fetches and activates it first.
	a.configure(t.choice.Revision)
	if f := a.zoneOutFailure(); f != nil {
		a.refuse(t, f)
		return
	}
	if t.choice.Revision < a.snapshot.Revision {
		f := api.NewFailure(api.CodeStaleRevision, api.NotRun, "the order has an older configuration revision")
		f.Revision = a.snapshot.Revision
		a.refuse(t, f)
		return
	}
	failure := a.queue.Push(now, fairqueue.Entry[*zoneAttempt]{
		ID: api.AttemptID{RequestID: t.request.id, Number: t.request.attempts}, Member: t.request.member,
		Cost: t.request.cost(), Deadline: now + zoneDeadline, Value: t,
	})
	if failure != nil {
		a.refuse(t, failure)
		return
	}
	a.startQueued()
}

// startQueued starts queued requests within the limits, as service/work does.
func (a *zoneAgent) startQueued() {
	now := a.sim.events.Now()
	for {
		free := min(a.cold.Limit(), a.limit.Bounds().Requests) - a.running
		next, ok := a.queue.Peek(free)
		if !ok || !a.cold.CanStart(int(next.Cost)) || !a.limit.Fits(next.Cost) {
			return
		}
		a.queue.Pop(now, free)
		a.start(next.Value)
	}
}

func (a *zoneAgent) start(t *zoneAttempt) {
	s, q := a.sim, t.request
	now := s.events.Now()
	if a.index%routeZones == zoneLeaving && now > zoneOutAt+zoneLateAfter && now < zoneInAt {
		s.lateStarts++
	}
	a.running++
	a.limit.Start(q.cost())
	t.ticket, t.started = a.cold.Start(int(q.cost())), now
	t.job = &enginemodel.Job{Prefix: q.prompt.blocks, PromptTokens: q.prompt.tokens(), OutputTokens: q.prompt.output}
	t.job.FirstToken = func() {
		arrives := s.events.Now() + s.oneWayDelay(t.router.index, a.index) + zoneClientDelay
		q.ttft = float64(arrives-q.arrived) / float64(time.Millisecond)
		q.engine, q.hit = a.index, t.job.CachedTokens*2 >= t.job.PromptTokens
		a.cold.ObserveFirstToken(t.ticket, int(q.cost()), s.events.Now()-t.started)
	}
	t.job.Done = func(complete bool) { a.finish(t, complete) }
	a.engine.Submit(t.job)
}

func (a *zoneAgent) finish(t *zoneAttempt, complete bool) {
	s, q := a.sim, t.request
	now := s.events.Now()
	a.running--
	if !complete {
		s.interrupted++
	}
	a.cold.End(t.ticket, complete)
	a.limit.End(now, limit.Completion{Started: t.started, Cost: q.cost(), Failed: !complete, Usage: api.Usage{
		GeneratedTokens: uint32(q.prompt.output), FirstChunk: t.job.FirstTokenAt - t.started, Total: now - t.started,
	}})
	a.queue.Finish(now, q.member, q.cost(), q.cost())
	result := api.RouteResult{Cache: api.CacheMiss}
	if q.hit {
		result.Cache = api.CacheHit
	}
	s.events.After(s.oneWayDelay(t.router.index, a.index), func() { t.router.receiveResult(t, result) })
	a.startQueued()
}

// observeEngine handles the periodic report of the engine.
func (a *zoneAgent) observeEngine() {
	running, _ := a.engine.Load()
	a.cold.ObserveStepTime(running, a.engine.StepTime)
	a.startQueued()
}

func (a *zoneAgent) loadReport(router int) api.Load {
	return api.Load{
		Upstream: a.name, Incarnation: a.incarnation, Elapsed: a.sim.events.Now(), Revision: a.snapshot.Revision,
		Running: uint32(a.running), Queued: uint32(a.queue.Len()), Tokens: a.limit.InFlight().Tokens,
		LimitRequests: uint32(min(a.cold.Limit(), a.limit.Bounds().Requests)),
		LimitTokens:   uint64(a.cold.LimitTokens()), Cold: a.cold.Cold(),
		Accepting: a.zoneOutFailure() == nil, SeenOrders: a.received[router],
	}
}

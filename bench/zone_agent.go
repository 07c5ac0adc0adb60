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

// zoneTry is one send of a request.
type zoneTry struct {
	request *zoneRequest
	router  *zoneRouter
	choice  api.RouteChoice
	engine  int
	ticket  coldstart.Ticket
	started time.Duration
	job     *enginemodel.Job
}

// zoneAgent holds the real decisions of one agent before a modelled engine.
type zoneAgent struct {
	world       *zoneWorld
	index       int
	name        string
	incarnation api.Incarnation
	snap        *api.Snapshot
	engine      *enginemodel.Engine
	queue       *fairqueue.Queue[*zoneTry]
	cold        *coldstart.State
	limit       *limit.State
	running     int
	received    [routeRouters]uint64
}

func newZoneAgent(w *zoneWorld, i int) *zoneAgent {
	speed := enginemodel.DefaultSpeed
	speed.PrefillBudget, speed.CacheBlocks = zonePrefillBudget, zoneCacheBlocks
	a := &zoneAgent{
		world: w, index: i, name: upstreamName(i), incarnation: 1,
		engine: enginemodel.NewEngine(&w.events, speed),
		queue: fairqueue.New[*zoneTry](fairqueue.Config{
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
	if a.snap != nil && revision <= a.snap.Revision {
		return
	}
	a.snap = a.world.snapshots[revision]
	for name, m := range a.snap.Config.Members {
		a.queue.SetMember(name, m.Share, m.QueueRequests)
	}
	if f := a.closed(); f != nil {
		for _, e := range a.queue.Drain() {
			a.refuse(e.Value, f)
		}
	}
}

func (a *zoneAgent) closed() *api.Failure {
	zone := a.snap.Config.Upstreams[a.name].Zone
	if a.snap.Config.Zones[zone].State == api.ZoneOut {
		f := api.NewFailure(api.CodeZoneOut, api.NotRun, "availability zone "+zone+" is out")
		f.Revision = a.snap.Revision
		return f
	}
	return nil
}

func (a *zoneAgent) refuse(t *zoneTry, f *api.Failure) {
	a.world.events.After(a.world.oneWay(t.router.index, a.index), func() {
		t.router.ended(t, api.RouteResult{Failure: f})
	})
}

func (a *zoneAgent) arrive(t *zoneTry) {
	now := a.world.events.Now()
	a.received[t.router.index]++
	// An order under a newer revision makes the agent fetch it first.
	a.configure(t.choice.Revision)
	if f := a.closed(); f != nil {
		a.refuse(t, f)
		return
	}
	if t.choice.Revision < a.snap.Revision {
		f := api.NewFailure(api.CodeStaleRevision, api.NotRun, "the order was made under an older configuration")
		f.Revision = a.snap.Revision
		a.refuse(t, f)
		return
	}
	failure := a.queue.Push(now, fairqueue.Entry[*zoneTry]{
		ID: api.AttemptID{RequestID: t.request.id, Number: t.request.attempts}, Member: t.request.member,
		Cost: t.request.cost(), Deadline: now + zoneDeadline, Value: t,
	})
	if failure != nil {
		a.refuse(t, failure)
		return
	}
	a.pump()
}

// pump starts what may start, as service/work does.
func (a *zoneAgent) pump() {
	now := a.world.events.Now()
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

func (a *zoneAgent) start(t *zoneTry) {
	w, q := a.world, t.request
	now := w.events.Now()
	if a.index%routeZones == zoneLeaving && now > zoneOutAt+zoneNoticeLimit && now < zoneInAt {
		w.late++
	}
	a.running++
	a.limit.Start(q.cost())
	t.ticket, t.started = a.cold.Start(int(q.cost())), now
	t.job = &enginemodel.Job{Prefix: q.prompt.blocks, PromptTokens: q.prompt.tokens(), OutputTokens: q.prompt.output}
	t.job.FirstToken = func() {
		arrives := w.events.Now() + w.oneWay(t.router.index, a.index) + zoneClientDelay
		q.ttft = float64(arrives-q.arrived) / float64(time.Millisecond)
		q.engine, q.hit = a.index, t.job.CachedTokens*2 >= t.job.PromptTokens
		a.cold.ObserveFirstToken(t.ticket, int(q.cost()), w.events.Now()-t.started)
	}
	t.job.Done = func(complete bool) { a.finish(t, complete) }
	a.engine.Submit(t.job)
}

func (a *zoneAgent) finish(t *zoneTry, complete bool) {
	w, q := a.world, t.request
	now := w.events.Now()
	a.running--
	if !complete {
		w.cut++
	}
	a.cold.End(t.ticket, complete)
	a.limit.End(now, limit.Completion{Started: t.started, Cost: q.cost(), Failed: !complete, Usage: api.Usage{
		GeneratedTokens: uint32(q.prompt.output), FirstChunk: t.job.First - t.started, Total: now - t.started,
	}})
	a.queue.Finish(now, q.member, q.cost(), q.cost())
	result := api.RouteResult{Cache: api.CacheMiss}
	if q.hit {
		result.Cache = api.CacheHit
	}
	w.events.After(w.oneWay(t.router.index, a.index), func() { t.router.ended(t, result) })
	a.pump()
}

// observe takes the engine's own report.
func (a *zoneAgent) observe() {
	running, _ := a.engine.Load()
	a.cold.ObserveStepTime(running, a.engine.StepTime)
	a.pump()
}

func (a *zoneAgent) load(router int) api.Load {
	return api.Load{
		Upstream: a.name, Incarnation: a.incarnation, Elapsed: a.world.events.Now(), Revision: a.snap.Revision,
		Running: uint32(a.running), Queued: uint32(a.queue.Len()), Tokens: a.limit.InFlight().Tokens,
		LimitRequests: uint32(min(a.cold.Limit(), a.limit.Bounds().Requests)),
		LimitTokens:   uint64(a.cold.LimitTokens()), Cold: a.cold.Cold(),
		Accepting: a.closed() == nil, SeenOrders: a.received[router],
	}
}

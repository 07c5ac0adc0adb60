package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/bench/enginemodel"
	"github.com/mulberryfork/mulberryfork/bench/timeline"
	"github.com/mulberryfork/mulberryfork/decide/limit"
	"github.com/mulberryfork/mulberryfork/decide/retrybudget"
	"github.com/mulberryfork/mulberryfork/decide/route"
)

const (
	overloadEngines = 6
	overloadRouters = 3
	// overloadDeadline bounds the time from a submission to its response.
	overloadDeadline       = 10 * time.Second
	overloadPrompt         = 512
	overloadMinOutput      = 60
	overloadOutputRange    = 120
	overloadStepTarget     = 49 * time.Millisecond
	overloadMaxRequests    = 256
	overloadMaxTokens      = 256 * (overloadPrompt + overloadMinOutput + overloadOutputRange)
	overloadReportInterval = 250 * time.Millisecond
	overloadReportLag      = 150 * time.Millisecond
)

// overloadSpeed returns the engine speed with a batch limit far above the batch
// size that meets overloadStepTarget.
func overloadSpeed() enginemodel.Speed {
	s := enginemodel.DefaultSpeed
	s.MaxBatch = overloadMaxRequests
	return s
}

// overloadPool is one run of the model. The baseline has neither concurrency limits
// nor retry budgets.
type overloadPool struct {
	events   timeline.Timeline
	baseline bool
	rng      *rand.Rand
	agents   []*overloadAgent
	routers  []*route.State
	budgets  []*retrybudget.State
	down     bool

	callers, waiting, gaveUp int
	maxSubmissions           int
	firstAttempts, attempts  int
	responses                []timelyResponse
	// refused holds the time to refusal of each refused submission, in ms.
	refused []float64
}

// timelyResponse is a response within the deadline. at is its time of arrival, work
// the engine time of the request in seconds.
type timelyResponse struct {
	at, latency time.Duration
	work        float64
}

// overloadAgent models the agent of one engine and its queue.
type overloadAgent struct {
	pool     *overloadPool
	engine   *enginemodel.Engine
	limit    *limit.State
	queue    []*overloadAttempt
	running  []*overloadAttempt
	received [overloadRouters]uint64
	tokens   uint64
	requests uint32
}

func newOverloadPool(seed uint64, baseline bool, rate float64, maxSubmissions int) *overloadPool {
	o := &overloadPool{baseline: baseline, rng: rand.New(rand.NewPCG(seed, 3)), maxSubmissions: maxSubmissions}
	for range overloadEngines {
		a := &overloadAgent{pool: o, engine: enginemodel.NewEngine(&o.events, overloadSpeed())}
		a.limit = limit.New(limit.Options{
			MaxRequests: overloadMaxRequests, MaxTokens: overloadMaxTokens,
			StepTarget: overloadStepTarget, Fixed: baseline,
		})
		o.agents = append(o.agents, a)
	}
	for r := range overloadRouters {
		o.routers = append(o.routers, newModelRouter(overloadEngines, r, seed, route.Options{}))
		o.budgets = append(o.budgets, retrybudget.New(retrybudget.DefaultRatio, []string{routeMember}))
	}
	var arrive func()
	arrive = func() {
		o.callers++
		o.waiting++
		c := &overloadCaller{output: overloadMinOutput + o.rng.IntN(overloadOutputRange)}
		o.submit(c)
		o.events.After(time.Duration(o.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	o.events.After(0, arrive)
	o.events.Every(o.events.Now()+overloadReportInterval, overloadReportInterval, o.reportLoads)
	o.events.Every(o.events.Now()+overloadReportInterval, overloadReportInterval, o.sampleProgress)
	return o
}

// setOutage takes all links down or up. An outage cancels queued and running
// requests.
func (o *overloadPool) setOutage(down bool) {
	o.down = down
	for r, s := range o.routers {
		for i, a := range o.agents {
			if down {
				s.LinkDown(upstreamName(i))
				continue
			}
			a.received[r] = 0
			s.LinkUp(upstreamName(i), api.LinkState{Up: true, Incarnation: 1})
			s.Load(o.events.Now(), a.loadReport(i, r))
		}
	}
	if down {
		for _, a := range o.agents {
			a.cancelAll()
		}
	}
}

func (o *overloadPool) reportLoads() {
	if o.down {
		return
	}
	for i, a := range o.agents {
		for r, s := range o.routers {
			l := a.loadReport(i, r)
			o.events.After(overloadReportLag, func() { s.Load(o.events.Now(), l) })
		}
	}
}

// sampleProgress reports the new tokens of running requests to the limit, as an
// agent does for the chunks that it relays.
func (o *overloadPool) sampleProgress() {
	for _, a := range o.agents {
		for _, t := range a.running {
			if n := t.job.Generated(); n > 0 && !t.ended {
				if t.sampledTokens > 0 {
					a.limit.Progress(o.events.Now(), n-t.sampledTokens, overloadReportInterval)
				}
				t.sampledTokens = n
			}
		}
	}
}

func (a *overloadAgent) loadReport(i, r int) api.Load {
	b := a.limit.Bounds()
	return api.Load{
		Upstream: upstreamName(i), Incarnation: 1, Elapsed: a.pool.events.Now(), Accepting: true,
		Running: a.requests, Tokens: a.tokens, SeenOrders: a.received[r],
		LimitRequests: uint32(b.Requests), LimitTokens: b.Tokens,
	}
}

// receive queues a request, or refuses it if it would miss its deadline.
func (a *overloadAgent) receive(t *overloadAttempt) {
	a.received[t.router]++
	if t.ended {
		return
	}
	if !a.pool.baseline {
		if f := a.limit.CheckDeadline(a.arrival(t, len(a.queue)), a.pool.rng.Float64()); f != nil {
			t.end(f)
			return
		}
	}
	t.agent = a
	a.requests++
	a.tokens += uint64(t.cost())
	a.queue = append(a.queue, t)
	a.startQueued()
}

// arrival describes a request behind the first n queued requests.
func (a *overloadAgent) arrival(t *overloadAttempt, n int) limit.Arrival {
	ahead := uint64(0)
	for _, q := range a.queue[:n] {
		ahead += uint64(q.cost())
	}
	return limit.Arrival{
		Cost: t.cost(), OutputTokens: uint32(t.caller.output), QueuedRequests: n, QueuedTokens: ahead,
		DeadlineLeft: t.deadline - a.pool.events.Now(),
	}
}

func (a *overloadAgent) startQueued() {
	for len(a.queue) > 0 && (a.pool.baseline || a.limit.Fits(a.queue[0].cost())) {
		t := a.queue[0]
		if !a.pool.baseline {
			if f := a.limit.CheckDeadline(a.arrival(t, 0), a.pool.rng.Float64()); f != nil {
				t.end(f)
				continue
			}
		}
		a.queue = a.queue[1:]
		a.start(t)
	}
}

func (a *overloadAgent) start(t *overloadAttempt) {
	now := a.pool.events.Now()
	t.started = true
	a.limit.Start(t.cost())
	j := &enginemodel.Job{PromptTokens: overloadPrompt, OutputTokens: t.caller.output}
	t.job = j
	a.running = append(a.running, t)
	j.FirstToken = func() { t.gotFirstToken = true }
	j.Done = func(complete bool) {
		end := a.pool.events.Now()
		a.running = slices.DeleteFunc(a.running, func(r *overloadAttempt) bool { return r == t })
		a.limit.End(end, limit.Completion{
			Started: now, Cost: t.cost(), Failed: !complete,
			Usage: api.Usage{
				GeneratedTokens: uint32(j.Generated()), FirstChunk: j.FirstTokenAt - now, Total: end - now,
			},
		})
		if complete {
			t.end(nil)
		}
		a.startQueued()
	}
	a.engine.Submit(j)
}

// remove removes an ended request from the queue or the engine.
func (a *overloadAgent) remove(t *overloadAttempt) {
	a.requests--
	a.tokens -= uint64(t.cost())
	if !t.started {
		a.queue = slices.DeleteFunc(a.queue, func(q *overloadAttempt) bool { return q == t })
	} else if t.job != nil {
		a.engine.Cancel(t.job)
	}
}

func (a *overloadAgent) cancelAll() {
	for _, t := range slices.Clone(a.queue) {
		t.end(api.NewFailure(api.CodeLinkLost, api.RunUnknown, ""))
	}
	a.engine.Crash()
}

package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/fairqueue"
	"github.com/mulberryfork/mulberryfork/decide/sharecorrect"
)

// Sizes and times of the modelled pool. Prompt and output lengths are in tokens.
const (
	fairUpstreams        = 12
	fairRouters          = 3
	fairSlots            = 48
	fairTokenTime        = 25 * time.Millisecond
	fairPromptRate       = 4000.0 // tokens per second
	fairPromptMean       = 600
	fairOutputMean       = 100
	fairOutputMax        = 600
	fairOutputEstimate   = 200
	fairNetworkDelay     = 5 * time.Millisecond
	fairMemberQueueLimit = 32
	fairReportInterval   = 500 * time.Millisecond
	fairCorrectInterval  = 5 * time.Second
	fairDeadline         = time.Hour
	fairLargeMembers     = 3
	fairLargeShare       = 4
	fairSmallMembers     = 7
	fairUsageHorizon     = 30 * time.Second
	fairBorrowFactor     = 1.5
	// fairRequestsPerSlot is the mean rate of requests that one slot serves, in
	// requests per second.
	fairRequestsPerSlot = float64(time.Second) / float64(fairOutputMean*fairTokenTime+fairPromptMean*time.Second/4000)
)

// fairMember is a guild member and its offered load.
type fairMember struct {
	name  string
	share float64
	// load is the offered load as a multiple of the member's share of the pool.
	load float64
	// upstreams lists the upstreams that may run its requests; nil allows all.
	upstreams []int
	// size scales the lengths of its prompts and outputs.
	size float64
}

// fairScenario is one run of the model.
type fairScenario struct {
	members         []fairMember
	fifo            bool
	shareCorrection bool
	// headroom is the Headroom of fairqueue.Config.
	headroom float64
	duration time.Duration
	warmup   time.Duration
	seed     uint64
}

// fairOutcome holds the measurements of one member. served is the cost of its
// completed requests, in tokens.
type fairOutcome struct {
	served   float64
	ttft     []time.Duration
	offered  int
	rejected int
}

type fairJob struct {
	id          api.AttemptID
	member      int
	router      int
	upstream    int
	arrived     time.Duration
	prompt      int
	output      int
	cost        uint32
	actualCost  uint32
	shareFactor float64
}

func (j *fairJob) serviceTime() time.Duration {
	return j.prefillTime() + time.Duration(j.output)*fairTokenTime
}

func (j *fairJob) prefillTime() time.Duration {
	return time.Duration(float64(j.prompt) / fairPromptRate * float64(time.Second))
}

// fairAgent models an agent with its queue and its upstream.
type fairAgent struct {
	queue   queueDiscipline
	running int
	served  map[string]uint64
}

// queueDiscipline decides the order in which an agent starts requests.
type queueDiscipline interface {
	push(now time.Duration, j *fairJob, m fairMember) bool
	pop(now time.Duration, free int) *fairJob
	finish(now time.Duration, j *fairJob, m fairMember)
	waitingCost(m fairMember) uint64
}

// weightedFairQueue is the discipline under test.
type weightedFairQueue struct{ q *fairqueue.Queue[*fairJob] }

func (w weightedFairQueue) push(now time.Duration, j *fairJob, m fairMember) bool {
	w.q.SetMember(m.name, m.share*j.shareFactor, fairMemberQueueLimit)
	return w.q.Push(now, fairqueue.Entry[*fairJob]{
		ID: j.id, Member: m.name, Cost: j.cost, Deadline: now + fairDeadline, Value: j,
	}) == nil
}

func (w weightedFairQueue) pop(now time.Duration, free int) *fairJob {
	e, ok := w.q.Pop(now, free)
	if !ok {
		return nil
	}
	return e.Value
}

func (w weightedFairQueue) finish(now time.Duration, j *fairJob, m fairMember) {
	w.q.Finish(now, m.name, j.cost, j.actualCost)
}

func (w weightedFairQueue) waitingCost(m fairMember) uint64 { return w.q.MemberWaitingCost(m.name) }

// fifoQueue is the baseline: one queue with the sum of the limits of all members.
type fifoQueue struct {
	jobs  []*fairJob
	limit int
}

func (f *fifoQueue) push(_ time.Duration, j *fairJob, _ fairMember) bool {
	if len(f.jobs) >= f.limit {
		return false
	}
	f.jobs = append(f.jobs, j)
	return true
}

func (f *fifoQueue) pop(time.Duration, int) *fairJob {
	if len(f.jobs) == 0 {
		return nil
	}
	j := f.jobs[0]
	f.jobs = f.jobs[1:]
	return j
}

func (f *fifoQueue) finish(time.Duration, *fairJob, fairMember) {}

func (f *fifoQueue) waitingCost(fairMember) uint64 { return 0 }

// fairPool is the state of one run.
type fairPool struct {
	scenario    fairScenario
	now         time.Duration
	events      eventQueue
	agents      []*fairAgent
	inFlight    [fairRouters][fairUpstreams]int
	corrector   *sharecorrect.Corrector
	arrivalRNGs []*rand.Rand
	choiceRNG   *rand.Rand
	outcomes    []fairOutcome
	jobs        uint64
}

func newFairPool(s fairScenario) *fairPool {
	p := &fairPool{
		scenario:  s,
		outcomes:  make([]fairOutcome, len(s.members)),
		choiceRNG: rand.New(rand.NewPCG(s.seed, 1)),
		corrector: sharecorrect.New(sharecorrect.Config{Gain: 0.5, MaxFactor: 64}),
	}
	for range fairUpstreams {
		a := &fairAgent{served: make(map[string]uint64)}
		a.queue = weightedFairQueue{fairqueue.New[*fairJob](fairqueue.Config{
			AgeStep: time.Second, MaxPriority: 2, AdvantageTokens: 500,
			Headroom: s.headroom, UsageHorizon: fairUsageHorizon, BorrowFactor: fairBorrowFactor,
		})}
		for _, m := range s.members {
			a.queue.(weightedFairQueue).q.SetMember(m.name, m.share, fairMemberQueueLimit)
		}
		if s.fifo {
			a.queue = &fifoQueue{limit: fairMemberQueueLimit * len(s.members)}
		}
		p.agents = append(p.agents, a)
	}
	for i := range s.members {
		p.arrivalRNGs = append(p.arrivalRNGs, rand.New(rand.NewPCG(s.seed, uint64(i+2))))
		p.scheduleArrival(i)
	}
	if s.shareCorrection {
		p.events.schedule(fairReportInterval, p.reportLoads)
		p.events.schedule(fairCorrectInterval, p.correctShares)
	}
	return p
}

// run runs the scenario and returns the outcomes measured after the warm-up.
func (p *fairPool) run() []fairOutcome {
	for {
		e, ok := p.events.pop()
		if !ok || e.due > p.scenario.duration {
			return p.outcomes
		}
		p.now = e.due
		e.run()
	}
}

func (p *fairPool) scheduleArrival(i int) {
	m, r := p.scenario.members[i], p.arrivalRNGs[i]
	var shares float64
	for _, other := range p.scenario.members {
		shares += other.share
	}
	rate := m.load * m.share / shares * fairUpstreams * fairSlots * fairRequestsPerSlot / m.size
	wait := time.Duration(r.ExpFloat64() / rate * float64(time.Second))
	p.events.schedule(p.now+wait, func() {
		p.arrive(i)
		p.scheduleArrival(i)
	})
}

func (p *fairPool) arrive(i int) {
	m, r := p.scenario.members[i], p.arrivalRNGs[i]
	p.jobs++
	j := &fairJob{
		id:          api.AttemptID{RequestID: fmt.Sprint(p.jobs), Number: 1},
		member:      i,
		router:      r.IntN(fairRouters),
		arrived:     p.now,
		prompt:      1 + int(m.size*fairPromptMean*(0.5+r.Float64())),
		output:      1 + int(m.size*min(r.ExpFloat64()*fairOutputMean, fairOutputMax)),
		shareFactor: p.corrector.Factor(m.name),
	}
	j.cost = uint32(j.prompt) + uint32(m.size*fairOutputEstimate)
	j.actualCost = uint32(j.prompt + j.output)
	j.upstream = p.choose(j.router, m)
	p.events.schedule(p.now+fairNetworkDelay, func() { p.deliver(j) })
	p.inFlight[j.router][j.upstream]++
}

// choose returns the allowed upstream with the fewest requests of the router in
// flight.
func (p *fairPool) choose(router int, m fairMember) int {
	allowed := m.upstreams
	if allowed == nil {
		allowed = allUpstreams
	}
	best := allowed[p.choiceRNG.IntN(len(allowed))]
	for _, u := range allowed {
		if p.inFlight[router][u] < p.inFlight[router][best] {
			best = u
		}
	}
	return best
}

var allUpstreams = func() []int {
	all := make([]int, fairUpstreams)
	for i := range all {
		all[i] = i
	}
	return all
}()

// measured reports whether a request arrived after the warm-up.
func (p *fairPool) measured(j *fairJob) bool { return j.arrived >= p.scenario.warmup }

func (p *fairPool) deliver(j *fairJob) {
	a, m := p.agents[j.upstream], p.scenario.members[j.member]
	o := &p.outcomes[j.member]
	if p.measured(j) {
		o.offered++
	}
	if !a.queue.push(p.now, j, m) {
		p.inFlight[j.router][j.upstream]--
		if p.measured(j) {
			o.rejected++
		}
		return
	}
	p.startQueued(a)
}

// startQueued starts queued requests while the upstream has free slots.
func (p *fairPool) startQueued(a *fairAgent) {
	for a.running < fairSlots {
		j := a.queue.pop(p.now, fairSlots-a.running)
		if j == nil {
			return
		}
		a.running++
		if p.measured(j) {
			o := &p.outcomes[j.member]
			o.ttft = append(o.ttft, p.now+j.prefillTime()+fairNetworkDelay-j.arrived)
		}
		p.events.schedule(p.now+j.serviceTime(), func() { p.complete(a, j) })
	}
}

func (p *fairPool) complete(a *fairAgent, j *fairJob) {
	m := p.scenario.members[j.member]
	a.running--
	a.served[m.name] += uint64(j.actualCost)
	p.inFlight[j.router][j.upstream]--
	if p.now >= p.scenario.warmup {
		p.outcomes[j.member].served += float64(j.actualCost)
	}
	a.queue.finish(p.now, j, m)
	p.startQueued(a)
}

// reportLoads reports the load of each agent to the corrector, which all routers
// share because they would compute the same factors.
func (p *fairPool) reportLoads() {
	for i, a := range p.agents {
		l := api.Load{
			Upstream: fmt.Sprint(i), Incarnation: 1,
			Served: make(map[string]uint64), Waiting: make(map[string]uint64),
		}
		for _, m := range p.scenario.members {
			l.Served[m.name], l.Waiting[m.name] = a.served[m.name], a.queue.waitingCost(m)
		}
		p.corrector.Report(l)
	}
	p.events.schedule(p.now+fairReportInterval, p.reportLoads)
}

func (p *fairPool) correctShares() {
	shares := make(map[string]float64)
	for _, m := range p.scenario.members {
		shares[m.name] = m.share
	}
	p.corrector.Step(shares)
	p.events.schedule(p.now+fairCorrectInterval, p.correctShares)
}

// eventQueue holds the pending events of a simulation in order of time.
type eventQueue struct {
	heap      eventHeap
	scheduled uint64
}

type queuedEvent struct {
	due time.Duration
	seq uint64
	run func()
}

func (q *eventQueue) schedule(due time.Duration, run func()) {
	q.scheduled++
	heap.Push(&q.heap, queuedEvent{due: due, seq: q.scheduled, run: run})
}

func (q *eventQueue) pop() (queuedEvent, bool) {
	if len(q.heap) == 0 {
		return queuedEvent{}, false
	}
	return heap.Pop(&q.heap).(queuedEvent), true
}

type eventHeap []queuedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || (h[i].due == h[j].due && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(queuedEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = queuedEvent{}
	*h = old[:len(old)-1]
	return last
}

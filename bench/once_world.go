package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
)

// Sizes, periods and rates of faults of the modelled fleet.
const (
	onceAgents       = 6
	onceRouters      = 4
	onceRequests     = 6000
	onceMember       = "member-0"
	onceFaultyFor    = 30 * time.Minute
	onceQuietFor     = 10 * time.Minute
	onceLoss         = 0.02
	onceDuplication  = 0.03
	onceLongDelay    = 0.03
	onceLongDelayFor = 5 * time.Second
	onceDelay        = 5 * time.Millisecond
	onceReportEvery  = 200 * time.Millisecond
	onceFaultEvery   = 5 * time.Second
	// onceFaultKinds makes restarts and pauses one in 12 faults each, so that an
	// agent lives for 6 minutes on average; the rest are partitions.
	onceFaultKinds   = 12
	oncePauseFor     = 20 * time.Second
	oncePartitionFor = 20 * time.Second
	onceListEvery    = 4 * time.Minute
)

var onceLimits = ledger.Limits{
	Entries: 4000, MemberTombstones: 400, JoinedAttempts: 16, Bytes: 8 << 20, ResponseBytes: 1 << 10,
	Retention: 8 * time.Minute, AttemptAge: 10 * time.Second,
	ResendWindow: 2 * time.Minute, ListLag: 3 * time.Second,
}

// onceScenario is one run of the model.
type onceScenario struct {
	seed uint64
	// plain selects the baseline: a ledger by key only, no bound keys.
	plain bool
	// listLag bounds the time after which a process learns of a new list.
	listLag time.Duration
}

type onceWorld struct {
	scenario onceScenario
	random   *rand.Rand
	now      time.Duration
	events   modelEvents
	audit    *onceAudit
	agents   []*onceAgent
	routers  []*onceRouter
	lists    [][]string
	// cut holds when the partition between a router and an agent ends.
	cut     [onceRouters][onceAgents]time.Duration
	callers []*onceCaller
}

func newOnceWorld(s onceScenario) *onceWorld {
	w := &onceWorld{
		scenario: s,
		random:   rand.New(rand.NewPCG(s.seed, 7)),
		audit:    newOnceAudit(onceRequests),
	}
	var names []string
	for i := range onceAgents {
		names = append(names, fmt.Sprintf("booking-%d", i))
	}
	w.lists = [][]string{names}
	for i := range onceRouters {
		w.routers = append(w.routers, newOnceRouter(w, i))
	}
	for i := range onceAgents {
		a := &onceAgent{world: w, index: i, name: names[i]}
		w.agents = append(w.agents, a)
		a.start()
	}
	for i := range onceRequests {
		c := &onceCaller{world: w, index: i}
		w.callers = append(w.callers, c)
		w.events.at(time.Duration(w.random.Int64N(int64(onceFaultyFor))), c.begin)
	}
	w.events.at(onceFaultEvery, w.fault)
	w.events.at(onceListEvery, w.changeList)
	w.events.at(0, w.reportLoads)
	return w
}

// run executes the scenario to the end of the quiet period.
func (w *onceWorld) run() {
	for {
		e, ok := w.events.next()
		if !ok || e.due > onceFaultyFor+onceQuietFor {
			break
		}
		w.now = e.due
		e.run()
	}
	w.audit.close()
	w.checkRecorded()
	for i, c := range w.callers {
		if c.state == api.NotRun && w.audit.runs[i] > 0 {
			w.audit.falseNotRun++
		}
	}
}

func (w *onceWorld) faulty() bool { return w.now < onceFaultyFor }

// after runs f in a process once d has passed; a pause holds it up, the death
// of the process cancels it.
func (w *onceWorld) after(p *onceProcess, d time.Duration, f func()) {
	w.events.at(w.now+d, func() {
		switch {
		case p.killed:
		case p.pausedUntil > w.now:
			w.after(p, p.pausedUntil-w.now, f)
		default:
			f()
		}
	})
}

// carry brings a message between a router and an agent to the process that
// runs at its destination by then, with the faults of the network.
func (w *onceWorld) carry(router, agent int, to func() *onceProcess, f func()) {
	copies := 1
	if w.faulty() {
		if w.cut[router][agent] > w.now || w.random.Float64() < onceLoss {
			return
		}
		if w.random.Float64() < onceDuplication {
			copies = 2
		}
	}
	for range copies {
		d := time.Duration(w.random.Int64N(int64(onceDelay)))
		if w.faulty() && w.random.Float64() < onceLongDelay {
			d = time.Duration(w.random.ExpFloat64() * float64(onceLongDelayFor))
		}
		w.events.at(w.now+d, func() { w.after(to(), 0, f) })
	}
}

// fault injects one failure of a process or of the network.
func (w *onceWorld) fault() {
	if !w.faulty() {
		return
	}
	agent, router := w.random.IntN(onceAgents), w.random.IntN(onceRouters)
	until := w.now + time.Duration(w.random.Int64N(int64(oncePauseFor)))
	switch w.random.IntN(onceFaultKinds) {
	case 0:
		w.agents[agent].start()
	case 1:
		w.routers[router].restart()
	case 2:
		w.agents[agent].process.pausedUntil = until
	case 3:
		w.routers[router].process.pausedUntil = until
	default:
		w.cut[router][agent] = w.now + time.Duration(w.random.Int64N(int64(oncePartitionFor)))
	}
	w.events.at(w.now+onceFaultEvery, w.fault)
}

// changeList takes one upstream out of the service's list or brings all back.
// Processes learn of it one by one.
func (w *onceWorld) changeList() {
	if !w.faulty() {
		return
	}
	next := slices.Clone(w.lists[0])
	if len(w.lists)%2 == 1 {
		out := w.random.IntN(len(next))
		next = slices.Delete(next, out, out+1)
	}
	w.lists = append(w.lists, next)
	accepted := len(w.lists) - 1
	for _, a := range w.agents {
		w.events.at(w.now+w.lag(), func() { a.accept(accepted) })
	}
	for _, r := range w.routers {
		w.events.at(w.now+w.lag(), func() { r.list = max(r.list, accepted) })
	}
	w.events.at(w.now+onceListEvery, w.changeList)
}

func (w *onceWorld) lag() time.Duration {
	return time.Duration(w.random.Int64N(int64(w.scenario.listLag)))
}

// reportLoads sends each agent's incarnation and elapsed time to the routers.
func (w *onceWorld) reportLoads() {
	for _, a := range w.agents {
		if a.process.pausedUntil > w.now {
			continue
		}
		a.confirm()
		seen := onceView{incarnation: a.incarnation, elapsed: w.now}
		for _, r := range w.routers {
			w.carry(r.index, a.index, r.current, func() { r.hear(a.index, seen) })
		}
	}
	w.events.at(w.now+onceReportEvery, w.reportLoads)
}

// checkRecorded asks the agents that still live for what they ran. An outcome
// that cannot be had within the retention counts as lost.
func (w *onceWorld) checkRecorded() {
	for _, a := range w.agents {
		for _, done := range a.completed {
			if w.now-done.at >= onceLimits.Retention {
				continue
			}
			o := a.keeper.Query(w.now, api.OutcomeQuery{Member: onceMember, Key: done.key})
			if o.Run == api.NotRun || !o.Done {
				w.audit.lost++
			}
		}
	}
}

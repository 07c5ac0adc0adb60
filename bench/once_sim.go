package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
)

// Sizes, intervals and fault rates of the modelled fleet.
const (
	onceAgents         = 6
	onceRouters        = 4
	onceRequests       = 6000
	onceMember         = "member-0"
	onceFaultPeriod    = 30 * time.Minute
	onceQuietPeriod    = 10 * time.Minute
	onceLossRate       = 0.02
	onceDuplicateRate  = 0.03
	onceLongDelayRate  = 0.03
	onceMeanLongDelay  = 5 * time.Second
	onceMaxDelay       = 5 * time.Millisecond
	onceReportInterval = 200 * time.Millisecond
	onceFaultInterval  = 5 * time.Second
	// onceFaultKinds makes each kind of restart and pause one in 12 faults, so that
	// an agent runs for 6 minutes on average; the other faults are partitions.
	onceFaultKinds   = 12
	onceMaxPause     = 20 * time.Second
	onceMaxPartition = 20 * time.Second
	onceListInterval = 4 * time.Minute
)

var onceLimits = ledger.Limits{
	Entries: 4000, MemberTombstones: 400, JoinedSends: 16, Bytes: 8 << 20, AnswerBytes: 1 << 10,
	Retention: 8 * time.Minute, SendAge: 10 * time.Second,
	ResendWindow: 2 * time.Minute, ListLag: 3 * time.Second,
}

// onceScenario is one run of the model.
type onceScenario struct {
	seed uint64
	// plain selects the baseline: plainLedger, and no bound keys.
	plain bool
	// listLag bounds the delay of a new upstream list at a process.
	listLag time.Duration
}

type onceSim struct {
	scenario     onceScenario
	random       *rand.Rand
	now          time.Duration
	events       eventQueue
	audit        *onceAudit
	agents       []*onceAgent
	routers      []*onceRouter
	listVersions [][]string
	// partitionedUntil holds the end of the partition between a router and an agent.
	partitionedUntil [onceRouters][onceAgents]time.Duration
	callers          []*onceCaller
}

func newOnceSim(s onceScenario) *onceSim {
	w := &onceSim{
		scenario: s,
		random:   rand.New(rand.NewPCG(s.seed, 7)),
		audit:    newOnceAudit(onceRequests),
	}
	var names []string
	for i := range onceAgents {
		names = append(names, fmt.Sprintf("booking-%d", i))
	}
	w.listVersions = [][]string{names}
	for i := range onceRouters {
		w.routers = append(w.routers, newOnceRouter(w, i))
	}
	for i := range onceAgents {
		a := &onceAgent{sim: w, index: i, name: names[i]}
		w.agents = append(w.agents, a)
		a.start()
	}
	for i := range onceRequests {
		c := &onceCaller{sim: w, index: i}
		w.callers = append(w.callers, c)
		w.events.schedule(time.Duration(w.random.Int64N(int64(onceFaultPeriod))), c.begin)
	}
	w.events.schedule(onceFaultInterval, w.injectFault)
	w.events.schedule(onceListInterval, w.changeList)
	w.events.schedule(0, w.reportLoads)
	return w
}

// run runs the scenario to the end of the quiet period and counts violations.
func (w *onceSim) run() {
	for {
		e, ok := w.events.pop()
		if !ok || e.due > onceFaultPeriod+onceQuietPeriod {
			break
		}
		w.now = e.due
		e.run()
	}
	w.audit.close()
	w.checkOutcomes()
	for i, c := range w.callers {
		if c.state == api.NotRun && w.audit.runs[i] > 0 {
			w.audit.falseNotRun++
		}
	}
}

func (w *onceSim) faultsActive() bool { return w.now < onceFaultPeriod }

// after schedules f in a process after d. A pause of the process delays f; its
// end cancels f.
func (w *onceSim) after(p *onceProcess, d time.Duration, f func()) {
	w.events.schedule(w.now+d, func() {
		switch {
		case p.killed:
		case p.pausedUntil > w.now:
			w.after(p, p.pausedUntil-w.now, f)
		default:
			f()
		}
	})
}

// transmit delivers a message between a router and an agent with simulated
// network faults. The process that runs at the destination on arrival gets it.
func (w *onceSim) transmit(router, agent int, to func() *onceProcess, f func()) {
	copies := 1
	if w.faultsActive() {
		if w.partitionedUntil[router][agent] > w.now || w.random.Float64() < onceLossRate {
			return
		}
		if w.random.Float64() < onceDuplicateRate {
			copies = 2
		}
	}
	for range copies {
		d := time.Duration(w.random.Int64N(int64(onceMaxDelay)))
		if w.faultsActive() && w.random.Float64() < onceLongDelayRate {
			d = time.Duration(w.random.ExpFloat64() * float64(onceMeanLongDelay))
		}
		w.events.schedule(w.now+d, func() { w.after(to(), 0, f) })
	}
}

// injectFault injects one random fault and schedules the next.
func (w *onceSim) injectFault() {
	if !w.faultsActive() {
		return
	}
	agent, router := w.random.IntN(onceAgents), w.random.IntN(onceRouters)
	until := w.now + time.Duration(w.random.Int64N(int64(onceMaxPause)))
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
		w.partitionedUntil[router][agent] = w.now + time.Duration(w.random.Int64N(int64(onceMaxPartition)))
	}
	w.events.schedule(w.now+onceFaultInterval, w.injectFault)
}

// changeList publishes a list that lacks one upstream or holds all again. Each
// process gets it after its own lag.
func (w *onceSim) changeList() {
	if !w.faultsActive() {
		return
	}
	next := slices.Clone(w.listVersions[0])
	if len(w.listVersions)%2 == 1 {
		out := w.random.IntN(len(next))
		next = slices.Delete(next, out, out+1)
	}
	w.listVersions = append(w.listVersions, next)
	version := len(w.listVersions) - 1
	for _, a := range w.agents {
		w.events.schedule(w.now+w.randomListLag(), func() { a.acceptList(version) })
	}
	for _, r := range w.routers {
		w.events.schedule(w.now+w.randomListLag(), func() { r.listVersion = max(r.listVersion, version) })
	}
	w.events.schedule(w.now+onceListInterval, w.changeList)
}

func (w *onceSim) randomListLag() time.Duration {
	return time.Duration(w.random.Int64N(int64(w.scenario.listLag)))
}

// reportLoads sends each agent's incarnation and elapsed time to the routers.
func (w *onceSim) reportLoads() {
	for _, a := range w.agents {
		if a.process.pausedUntil > w.now {
			continue
		}
		a.confirmList()
		report := onceAgentReport{incarnation: a.incarnation, elapsed: w.now}
		for _, r := range w.routers {
			w.transmit(r.index, a.index, r.currentProcess, func() { r.receiveReport(a.index, report) })
		}
	}
	w.events.schedule(w.now+onceReportInterval, w.reportLoads)
}

// checkOutcomes queries the live agents for the outcomes of their completed
// requests. An outcome that is missing before its retention ends counts as lost.
func (w *onceSim) checkOutcomes() {
	for _, a := range w.agents {
		for _, done := range a.completed {
			if w.now-done.at >= onceLimits.Retention {
				continue
			}
			o := a.ledger.Query(w.now, api.OutcomeQuery{Member: onceMember, Key: done.key})
			if o.Run == api.NotRun || !o.Done {
				w.audit.lost++
			}
		}
	}
}

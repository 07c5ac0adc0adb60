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
	// an agent runs for 6 minutes on average between restarts. The other faults are
	// partitions.
	onceFaultKinds   = 12
	onceMaxPause     = 20 * time.Second
	onceMaxPartition = 20 * time.Second
	onceListInterval = 4 * time.Minute
)

var onceLimits = ledger.Limits{
	Entries: 4000, MemberTombstones: 400, JoinedAttempts: 16, Bytes: 8 << 20, ResponseBytes: 1 << 10,
	Retention: 8 * time.Minute, AttemptAge: 10 * time.Second,
	ResendWindow: 2 * time.Minute, ListLag: 3 * time.Second,
}

// onceScenario is one run of the model.
type onceScenario struct {
	seed uint64
	// baseline selects baselineLedger, and caller-made keys for all callers.
	baseline bool
	// listLag bounds the delay of a new upstream list at a process.
	listLag time.Duration
}

type onceSim struct {
	scenario     onceScenario
	rng          *rand.Rand
	now          time.Duration
	events       eventQueue
	audit        *onceAudit
	agents       []*onceAgent
	routers      []*onceRouter
	listVersions [][]string
	// partitionedUntil holds the end of the partition between each router and agent.
	partitionedUntil [onceRouters][onceAgents]time.Duration
	callers          []*onceCaller
}

func newOnceSim(scenario onceScenario) *onceSim {
	s := &onceSim{
		scenario: scenario,
		rng:      rand.New(rand.NewPCG(scenario.seed, 7)),
		audit:    newOnceAudit(onceRequests),
	}
	var names []string
	for i := range onceAgents {
		names = append(names, fmt.Sprintf("booking-%d", i))
	}
	s.listVersions = [][]string{names}
	for i := range onceRouters {
		s.routers = append(s.routers, newOnceRouter(s, i))
	}
	for i := range onceAgents {
		a := &onceAgent{sim: s, index: i, name: names[i]}
		s.agents = append(s.agents, a)
		a.start()
	}
	for i := range onceRequests {
		c := &onceCaller{sim: s, index: i}
		s.callers = append(s.callers, c)
		s.events.schedule(time.Duration(s.rng.Int64N(int64(onceFaultPeriod))), c.begin)
	}
	s.events.schedule(onceFaultInterval, s.injectFault)
	s.events.schedule(onceListInterval, s.changeList)
	s.events.schedule(0, s.reportLoads)
	return s
}

// run runs the scenario to the end of the quiet period and counts violations.
func (s *onceSim) run() {
	for {
		e, ok := s.events.pop()
		if !ok || e.due > onceFaultPeriod+onceQuietPeriod {
			break
		}
		s.now = e.due
		e.run()
	}
	s.audit.close()
	s.checkOutcomes()
	for i, c := range s.callers {
		if c.runState == api.NotRun && s.audit.runs[i] > 0 {
			s.audit.falseNotRun++
		}
	}
}

// faultsActive reports whether the fault period, at the start of a run, still lasts.
func (s *onceSim) faultsActive() bool { return s.now < onceFaultPeriod }

// after schedules f in a process after d. A pause of the process delays f, and the
// end of the process cancels it.
func (s *onceSim) after(p *onceProcess, d time.Duration, f func()) {
	s.events.schedule(s.now+d, func() {
		switch {
		case p.killed:
		case p.pausedUntil > s.now:
			s.after(p, p.pausedUntil-s.now, f)
		default:
			f()
		}
	})
}

// transmit delivers a message between a router and an agent with simulated
// network faults. The process that runs at the destination on arrival gets it.
func (s *onceSim) transmit(router, agent int, to func() *onceProcess, f func()) {
	copies := 1
	if s.faultsActive() {
		if s.partitionedUntil[router][agent] > s.now || s.rng.Float64() < onceLossRate {
			return
		}
		if s.rng.Float64() < onceDuplicateRate {
			copies = 2
		}
	}
	for range copies {
		d := time.Duration(s.rng.Int64N(int64(onceMaxDelay)))
		if s.faultsActive() && s.rng.Float64() < onceLongDelayRate {
			d = time.Duration(s.rng.ExpFloat64() * float64(onceMeanLongDelay))
		}
		s.events.schedule(s.now+d, func() { s.after(to(), 0, f) })
	}
}

// injectFault injects one random fault and schedules the next.
func (s *onceSim) injectFault() {
	if !s.faultsActive() {
		return
	}
	agent, router := s.rng.IntN(onceAgents), s.rng.IntN(onceRouters)
	until := s.now + time.Duration(s.rng.Int64N(int64(onceMaxPause)))
	switch s.rng.IntN(onceFaultKinds) {
	case 0:
		s.agents[agent].start()
	case 1:
		s.routers[router].restart()
	case 2:
		s.agents[agent].process.pausedUntil = until
	case 3:
		s.routers[router].process.pausedUntil = until
	default:
		s.partitionedUntil[router][agent] = s.now + time.Duration(s.rng.Int64N(int64(onceMaxPartition)))
	}
	s.events.schedule(s.now+onceFaultInterval, s.injectFault)
}

// changeList publishes an upstream list, alternately without one upstream and
// complete. Each process receives it after a random lag.
func (s *onceSim) changeList() {
	if !s.faultsActive() {
		return
	}
	next := slices.Clone(s.listVersions[0])
	if len(s.listVersions)%2 == 1 {
		removed := s.rng.IntN(len(next))
		next = slices.Delete(next, removed, removed+1)
	}
	s.listVersions = append(s.listVersions, next)
	version := len(s.listVersions) - 1
	for _, a := range s.agents {
		s.events.schedule(s.now+s.randomListLag(), func() { a.acceptList(version) })
	}
	for _, r := range s.routers {
		s.events.schedule(s.now+s.randomListLag(), func() { r.listVersion = max(r.listVersion, version) })
	}
	s.events.schedule(s.now+onceListInterval, s.changeList)
}

func (s *onceSim) randomListLag() time.Duration {
	return time.Duration(s.rng.Int64N(int64(s.scenario.listLag)))
}

// reportLoads sends each agent's incarnation and elapsed time to the routers.
func (s *onceSim) reportLoads() {
	for _, a := range s.agents {
		if a.process.pausedUntil > s.now {
			continue
		}
		a.confirmList()
		report := onceAgentReport{incarnation: a.incarnation, elapsed: s.now}
		for _, r := range s.routers {
			s.transmit(r.index, a.index, r.currentProcess, func() { r.receiveReport(a.index, report) })
		}
	}
	s.events.schedule(s.now+onceReportInterval, s.reportLoads)
}

// checkOutcomes queries the live agents for the outcomes of their completed
// requests. An outcome that is missing before its retention ends counts as lost.
func (s *onceSim) checkOutcomes() {
	for _, a := range s.agents {
		for _, done := range a.completed {
			if s.now-done.at >= onceLimits.Retention {
				continue
			}
			o := a.ledger.Query(s.now, api.OutcomeQuery{Member: onceMember, Key: done.key})
			if o.Run == api.NotRun || !o.Done {
				s.audit.lost++
			}
		}
	}
}

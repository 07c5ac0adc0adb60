package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
)

const (
	onceConcurrency  = 4
	onceMinRunTime   = 50 * time.Millisecond
	onceRunTimeRange = 400 * time.Millisecond
	// onceFailureRate is the fraction of runs that fail in the upstream,
	// onceUnreachedRate the fraction that fail before they reach it.
	onceFailureRate   = 0.03
	onceUnreachedRate = 0.03
	// onceDrainRate is the fraction of queued requests that the agent refuses instead
	// of starting them.
	onceDrainRate = 0.03
	onceMaxChunks = 8
)

// onceLedger holds the methods of a ledger that the model uses.
type onceLedger interface {
	Admit(now time.Duration, a ledger.Arrival) ledger.Decision
	Start(now time.Duration, owner api.AttemptID) ledger.StartDecision
	Refuse(now time.Duration, owner api.AttemptID, f api.Failure) ledger.Release
	Complete(now time.Duration, owner api.AttemptID, a ledger.Response) ledger.Release
	Fail(now time.Duration, owner api.AttemptID, f api.Failure) ledger.Release
	Query(now time.Duration, q api.OutcomeQuery) api.Outcome
	SetList(now time.Duration, names []string)
	ConfirmList(now time.Duration)
}

// onceAgent models an agent and its upstream.
type onceAgent struct {
	sim         *onceSim
	index       int
	name        string
	process     *onceProcess
	incarnation api.Incarnation
	ledger      onceLedger
	listVersion int
	running     int
	queue       []api.AttemptID
	jobs        map[api.AttemptID]*onceJob
	completed   []onceCompletion
}

type onceJob struct {
	request int
	key     string
	waiters []onceWaiter
}

// onceWaiter is an attempt that waits for the response, and the router that made it.
type onceWaiter struct {
	router  int
	attempt api.AttemptID
}

type onceCompletion struct {
	key string
	at  time.Duration
}

// start begins a new incarnation with an empty ledger and ends the previous process.
func (a *onceAgent) start() {
	s := a.sim
	if a.process != nil {
		a.process.killed = true
		s.audit.dropProcess(a.process)
	}
	a.process = &onceProcess{}
	a.incarnation = api.Incarnation(s.rng.Uint64() | 1)
	a.ledger = ledger.New(s.now, ledger.Identity{Upstream: a.name, Incarnation: a.incarnation}, onceLimits)
	if s.scenario.baseline {
		a.ledger = newBaselineLedger()
	}
	a.queue, a.running, a.completed = nil, 0, nil
	a.jobs = make(map[api.AttemptID]*onceJob)
	a.ledger.SetList(s.now, s.listVersions[a.listVersion])
}

func (a *onceAgent) currentProcess() *onceProcess { return a.process }

func (a *onceAgent) acceptList(list int) {
	if list > a.listVersion {
		a.listVersion = list
		a.ledger.SetList(a.sim.now, a.sim.listVersions[list])
	}
}

// confirmList models the confirmation of the list by a peer. A peer that lags behind
// too confirms an outdated list.
func (a *onceAgent) confirmList() { a.ledger.ConfirmList(a.sim.now) }

func (a *onceAgent) receive(request int, from onceWaiter, o ledger.Arrival) {
	s := a.sim
	d := a.ledger.Admit(s.now, o)
	switch d.Verdict {
	case ledger.Queue:
		a.jobs[o.AttemptID] = &onceJob{request: request, key: o.Key, waiters: []onceWaiter{from}}
		a.queue = append(a.queue, o.AttemptID)
		s.audit.recordAccepted(a.process, o.AttemptID, o.Key)
		a.startQueued()
	case ledger.Join:
		j := a.jobs[d.Owner]
		j.waiters = append(j.waiters, from)
	case ledger.Replay:
		a.replay(request, from, d.Outcome)
	case ledger.Refuse:
		a.sendFailure(request, []onceWaiter{from}, d.Failure)
	}
}

// startQueued starts queued requests up to the concurrency limit.
func (a *onceAgent) startQueued() {
	s := a.sim
	for a.running < onceConcurrency && len(a.queue) > 0 {
		owner := a.queue[0]
		a.queue = a.queue[1:]
		j := a.jobs[owner]
		s.audit.recordSettled(a.process, owner)
		if s.rng.Float64() < onceDrainRate {
			r := a.ledger.Refuse(s.now, owner, api.Failure{Code: api.CodeOverloaded})
			a.sendFailure(j.request, j.waiters, r.Failure)
			continue
		}
		if decision := a.ledger.Start(s.now, owner); !decision.Run {
			a.sendFailure(j.request, j.waiters, decision.Release.Failure)
			continue
		}
		a.running++
		a.run(owner, j)
	}
}

func (a *onceAgent) run(owner api.AttemptID, j *onceJob) {
	s := a.sim
	p := s.rng.Float64()
	if p >= onceUnreachedRate {
		s.audit.recordRun(j.request, j.waiters)
	}
	d := onceMinRunTime + time.Duration(s.rng.Int64N(int64(onceRunTimeRange)))
	s.after(a.process, d, func() {
		a.running--
		switch {
		case p < onceUnreachedRate:
			r := a.ledger.Fail(s.now, owner, api.Failure{Code: api.CodeUpstreamUnreached, Run: api.NotRun})
			a.sendFailure(j.request, j.waiters, r.Failure)
		case p < onceUnreachedRate+onceFailureRate:
			r := a.ledger.Fail(s.now, owner, api.Failure{Code: api.CodeUpstreamFailed, Run: api.RunUnknown})
			a.sendFailure(j.request, j.waiters, r.Failure)
		default:
			a.complete(owner, j)
		}
		a.startQueued()
	})
}

func (a *onceAgent) complete(owner api.AttemptID, j *onceJob) {
	chunks := onceResponseChunks(j.request)
	response := ledger.Response{Status: 201}
	for _, c := range chunks {
		response.Body = append(response.Body, c...)
	}
	a.ledger.Complete(a.sim.now, owner, response)
	a.completed = append(a.completed, onceCompletion{key: j.key, at: a.sim.now})
	for _, to := range j.waiters {
		a.sendResponse(to, chunks)
	}
}

// onceResponseChunks returns the chunks of the upstream's response to a request.
func onceResponseChunks(request int) [][]byte {
	var chunks [][]byte
	for i := range 1 + request%onceMaxChunks {
		chunks = append(chunks, fmt.Appendf(nil, "%d.%d;", request, i))
	}
	return chunks
}

func (a *onceAgent) replay(request int, to onceWaiter, o api.Outcome) {
	if o.Failure != nil {
		a.sendFailure(request, []onceWaiter{to}, o.Failure)
		return
	}
	a.sendResponse(to, [][]byte{o.Body})
}

// sendResponse sends a response in chunks. Network faults apply to each message.
func (a *onceAgent) sendResponse(to onceWaiter, chunks [][]byte) {
	r := a.sim.routers[to.router]
	for i, payload := range chunks {
		c := api.Chunk{AttemptID: to.attempt, Seq: uint64(i + 1), Payload: slices.Clone(payload)}
		a.sim.transmit(r.index, a.index, r.currentProcess, func() { r.receiveChunk(c) })
	}
	e := api.End{AttemptID: to.attempt, Chunks: uint64(len(chunks))}
	a.sim.transmit(r.index, a.index, r.currentProcess, func() { r.receiveEnd(e) })
}

// sendFailure sends the same failure to each waiting attempt.
func (a *onceAgent) sendFailure(request int, waiters []onceWaiter, f *api.Failure) {
	for _, to := range waiters {
		if f.Run == api.NotRun {
			a.sim.audit.recordNotRun(request, to.attempt, true)
		}
		r := a.sim.routers[to.router]
		e := api.End{AttemptID: to.attempt, Failure: f}
		a.sim.transmit(r.index, a.index, r.currentProcess, func() { r.receiveEnd(e) })
	}
}

func (a *onceAgent) answerQuery(request int, from onceWaiter, q api.OutcomeQuery) {
	o := a.ledger.Query(a.sim.now, q)
	if o.Run == api.NotRun {
		a.sim.audit.recordNotRun(request, from.attempt, true)
	}
	r := a.sim.routers[from.router]
	a.sim.transmit(r.index, a.index, r.currentProcess, func() { r.receiveOutcome(from.attempt, o) })
}

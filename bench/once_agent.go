package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
)

const (
	onceConcurrency = 4
	onceRunMin      = 50 * time.Millisecond
	onceRunSpread   = 400 * time.Millisecond
	onceFailed      = 0.03
	onceUnreached   = 0.03
	onceDrained     = 0.03
	onceChunks      = 8
)

// onceKeeper is what the model needs of a ledger.
type onceKeeper interface {
	Admit(now time.Duration, a ledger.Arrival) ledger.Decision
	Start(now time.Duration, owner api.AttemptID) ledger.StartDecision
	Refuse(now time.Duration, owner api.AttemptID, f api.Failure) ledger.Release
	Complete(now time.Duration, owner api.AttemptID, a ledger.Response) ledger.Release
	Fail(now time.Duration, owner api.AttemptID, f api.Failure) ledger.Release
	Query(now time.Duration, q api.OutcomeQuery) api.Outcome
	SetList(now time.Duration, names []string)
	ConfirmList(now time.Duration)
}

// onceAgent is an agent with its upstream.
type onceAgent struct {
	world       *onceWorld
	index       int
	name        string
	process     *onceProcess
	incarnation api.Incarnation
	keeper      onceKeeper
	list        int
	running     int
	queue       []api.AttemptID
	jobs        map[api.AttemptID]*onceJob
	completed   []onceDone
}

type onceJob struct {
	request int
	key     string
	waiters []onceWaiter
}

// onceWaiter is a send and the router that made it.
type onceWaiter struct {
	router int
	send   api.AttemptID
}

type onceDone struct {
	key string
	at  time.Duration
}

// start begins a new incarnation with an empty ledger.
func (a *onceAgent) start() {
	w := a.world
	if a.process != nil {
		a.process.killed = true
		w.audit.ended(a.process)
	}
	a.process = &onceProcess{}
	a.incarnation = api.Incarnation(w.random.Uint64() | 1)
	a.keeper = ledger.New(w.now, ledger.Identity{Upstream: a.name, Incarnation: a.incarnation}, onceLimits)
	if w.scenario.plain {
		a.keeper = newPlainLedger()
	}
	a.queue, a.running, a.completed = nil, 0, nil
	a.jobs = make(map[api.AttemptID]*onceJob)
	a.keeper.SetList(w.now, w.lists[a.list])
}

func (a *onceAgent) current() *onceProcess { return a.process }

func (a *onceAgent) accept(list int) {
	if list > a.list {
		a.list = list
		a.keeper.SetList(a.world.now, a.world.lists[list])
	}
}

// confirm stands for a peer that confirms the list. A peer that is behind as
// well confirms an old one.
func (a *onceAgent) confirm() { a.keeper.ConfirmList(a.world.now) }

func (a *onceAgent) deliver(request int, from onceWaiter, o ledger.Arrival) {
	w := a.world
	d := a.keeper.Admit(w.now, o)
	switch d.Verdict {
	case ledger.Queue:
		a.jobs[o.AttemptID] = &onceJob{request: request, key: o.Key, waiters: []onceWaiter{from}}
		a.queue = append(a.queue, o.AttemptID)
		w.audit.accepted(a.process, o.AttemptID, o.Key)
		a.pump()
	case ledger.Join:
		j := a.jobs[d.Owner]
		j.waiters = append(j.waiters, from)
	case ledger.Replay:
		a.replay(request, from, d.Outcome)
	case ledger.Refuse:
		a.refuse(request, []onceWaiter{from}, d.Failure)
	}
}

// pump starts requests while the upstream has room.
func (a *onceAgent) pump() {
	w := a.world
	for a.running < onceConcurrency && len(a.queue) > 0 {
		owner := a.queue[0]
		a.queue = a.queue[1:]
		j := a.jobs[owner]
		w.audit.settled(a.process, owner)
		if w.random.Float64() < onceDrained {
			r := a.keeper.Refuse(w.now, owner, api.Failure{Code: api.CodeOverloaded})
			a.refuse(j.request, j.waiters, r.Failure)
			continue
		}
		if s := a.keeper.Start(w.now, owner); !s.Run {
			a.refuse(j.request, j.waiters, s.Release.Failure)
			continue
		}
		a.running++
		a.execute(owner, j)
	}
}

func (a *onceAgent) execute(owner api.AttemptID, j *onceJob) {
	w := a.world
	p := w.random.Float64()
	if p >= onceUnreached {
		w.audit.ran(j.request, j.waiters)
	}
	d := onceRunMin + time.Duration(w.random.Int64N(int64(onceRunSpread)))
	w.after(a.process, d, func() {
		a.running--
		switch {
		case p < onceUnreached:
			r := a.keeper.Fail(w.now, owner, api.Failure{Code: api.CodeUpstreamUnreached, Run: api.NotRun})
			a.refuse(j.request, j.waiters, r.Failure)
		case p < onceUnreached+onceFailed:
			r := a.keeper.Fail(w.now, owner, api.Failure{Code: api.CodeUpstreamFailed, Run: api.RunUnknown})
			a.refuse(j.request, j.waiters, r.Failure)
		default:
			a.complete(owner, j)
		}
		a.pump()
	})
}

func (a *onceAgent) complete(owner api.AttemptID, j *onceJob) {
	chunks := onceAnswer(j.request)
	whole := ledger.Response{Status: 201}
	for _, c := range chunks {
		whole.Body = append(whole.Body, c...)
	}
	a.keeper.Complete(a.world.now, owner, whole)
	a.completed = append(a.completed, onceDone{key: j.key, at: a.world.now})
	for _, to := range j.waiters {
		a.stream(to, chunks)
	}
}

// onceAnswer is the answer that the upstream gives to a request.
func onceAnswer(request int) [][]byte {
	var chunks [][]byte
	for i := range 1 + request%onceChunks {
		chunks = append(chunks, fmt.Appendf(nil, "%d.%d;", request, i))
	}
	return chunks
}

func (a *onceAgent) replay(request int, to onceWaiter, o api.Outcome) {
	if o.Failure != nil {
		a.refuse(request, []onceWaiter{to}, o.Failure)
		return
	}
	a.stream(to, [][]byte{o.Body})
}

// stream sends an answer chunk by chunk; each message meets its own faults.
func (a *onceAgent) stream(to onceWaiter, chunks [][]byte) {
	r := a.world.routers[to.router]
	for i, payload := range chunks {
		c := api.Chunk{AttemptID: to.send, Seq: uint64(i + 1), Payload: slices.Clone(payload)}
		a.world.carry(r.index, a.index, r.current, func() { r.chunk(c) })
	}
	e := api.End{AttemptID: to.send, Chunks: uint64(len(chunks))}
	a.world.carry(r.index, a.index, r.current, func() { r.end(e) })
}

// refuse tells each waiting send the same failure.
func (a *onceAgent) refuse(request int, waiters []onceWaiter, f *api.Failure) {
	for _, to := range waiters {
		if f.Run == api.NotRun {
			a.world.audit.notRun(request, to.send, true)
		}
		r := a.world.routers[to.router]
		e := api.End{AttemptID: to.send, Failure: f}
		a.world.carry(r.index, a.index, r.current, func() { r.end(e) })
	}
}

func (a *onceAgent) query(request int, from onceWaiter, q api.OutcomeQuery) {
	o := a.keeper.Query(a.world.now, q)
	if o.Run == api.NotRun {
		a.world.audit.notRun(request, from.send, true)
	}
	r := a.world.routers[from.router]
	a.world.carry(r.index, a.index, r.current, func() { r.outcome(from.send, o) })
}

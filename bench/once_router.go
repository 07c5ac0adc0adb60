package bench

import (
	"fmt"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
	"github.com/mulberryfork/mulberryfork/decide/reassembly"
)

const (
	onceLinkTimeout     = 3 * time.Second
	onceResponseTimeout = 3 * time.Second
	onceMaxQueries      = 3
	onceReassemblyBytes = 4 << 10
	onceOrderDeadline   = 15 * time.Second
)

// onceAgentReport is the newest report of an agent at a router.
type onceAgentReport struct {
	incarnation api.Incarnation
	elapsed     time.Duration
	receivedAt  time.Duration
}

// onceRouter models a router and its pending attempts.
type onceRouter struct {
	sim         *onceSim
	index       int
	process     *onceProcess
	listVersion int
	reports     [onceAgents]onceAgentReport
	pending     map[string]*oncePending
	attempts    int
}

// oncePending is an attempt without a complete response.
type oncePending struct {
	request   int
	agent     int
	order     ledger.Arrival
	assembler *reassembly.Assembler
	body      []byte
	queries   int
	reply     func(onceReply)
}

// onceReply is a router's reply to a caller.
type onceReply struct {
	run      api.RunState
	body     string
	boundKey string
}

func newOnceRouter(s *onceSim, index int) *onceRouter {
	return &onceRouter{sim: s, index: index, process: &onceProcess{}, pending: make(map[string]*oncePending)}
}

func (r *onceRouter) currentProcess() *onceProcess { return r.process }

// restart drops the pending attempts, whose callers time out.
func (r *onceRouter) restart() {
	r.process.killed = true
	r.process = &onceProcess{}
	r.reports = [onceAgents]onceAgentReport{}
	r.pending = make(map[string]*oncePending)
}

func (r *onceRouter) receiveReport(agent int, report onceAgentReport) {
	previous := r.reports[agent]
	if previous.incarnation == report.incarnation && previous.elapsed > report.elapsed {
		return
	}
	report.receivedAt = r.sim.now
	r.reports[agent] = report
}

// issueKey returns a key bound to the incarnation of a random listed agent. It
// fails if the router has no report of that agent.
func (r *onceRouter) issueKey() (string, bool) {
	s := r.sim
	list := s.listVersions[r.listVersion]
	name := list[s.rng.IntN(len(list))]
	report := r.reports[r.agentIndex(name)]
	var random [idemkey.RandomBytes]byte
	for i := range random {
		random[i] = byte(s.rng.Uint32())
	}
	b, err := idemkey.New(name, report.incarnation, report.elapsed, random)
	return b.String(), err == nil
}

func (r *onceRouter) agentIndex(name string) int {
	for i, n := range r.sim.listVersions[0] {
		if n == name {
			return i
		}
	}
	return 0
}

// handle forwards one attempt of a caller to the agent that its key selects.
func (r *onceRouter) handle(request int, key string, reply func(onceReply)) {
	s := r.sim
	target, _ := idemkey.Home(onceMember, key, s.listVersions[r.listVersion])
	if b, err := idemkey.ParseBound(key); err == nil {
		target = b.Upstream
	}
	agent := r.agentIndex(target)
	r.attempts++
	attempt := api.AttemptID{RequestID: fmt.Sprintf("%d-%d", r.index, r.attempts), Number: 1}
	report := r.reports[agent]
	if report.incarnation == 0 || s.now-report.receivedAt > onceLinkTimeout {
		s.audit.recordNotRun(request, attempt, false)
		reply(onceReply{run: api.NotRun})
		return
	}
	p := &oncePending{
		request: request, agent: agent, reply: reply,
		assembler: reassembly.New(attempt, 0, onceReassemblyBytes),
		order: ledger.Arrival{
			AttemptID: attempt, Member: onceMember, Key: key, BodyHash: uint64(request) + 1,
			Incarnation: report.incarnation, AgentElapsed: report.elapsed, Random: [16]byte{byte(r.attempts)},
		},
	}
	r.pending[attempt.RequestID] = p
	a := s.agents[agent]
	s.transmit(r.index, agent, a.currentProcess, func() {
		o := p.order
		o.Deadline = s.now + onceOrderDeadline
		a.receive(request, onceWaiter{r.index, attempt}, o)
	})
	s.after(r.process, onceResponseTimeout, func() { r.queryOutcome(p) })
}

// queryOutcome queries the agent for the outcome of an attempt that has no complete
// response yet. After onceMaxQueries it reports an unknown run state to the caller.
func (r *onceRouter) queryOutcome(p *oncePending) {
	if r.pending[p.order.AttemptID.RequestID] != p {
		return
	}
	if p.queries == onceMaxQueries {
		r.finish(p, onceReply{run: api.RunUnknown})
		return
	}
	p.queries++
	q := api.OutcomeQuery{
		Member: onceMember, Key: p.order.Key, AttemptID: &p.order.AttemptID,
		Incarnation: p.order.Incarnation, AgentElapsed: p.order.AgentElapsed,
	}
	a := r.sim.agents[p.agent]
	r.sim.transmit(r.index, p.agent, a.currentProcess, func() {
		a.answerQuery(p.request, onceWaiter{r.index, p.order.AttemptID}, q)
	})
	r.sim.after(r.process, onceResponseTimeout, func() { r.queryOutcome(p) })
}

func (r *onceRouter) receiveOutcome(attempt api.AttemptID, o api.Outcome) {
	p, ok := r.pending[attempt.RequestID]
	if !ok || !o.Done {
		return
	}
	reply := onceReply{run: o.Run}
	if o.BodyKept {
		reply.body = string(o.Body)
	}
	r.finish(p, reply)
}

func (r *onceRouter) receiveChunk(c api.Chunk) {
	p, ok := r.pending[c.AttemptID.RequestID]
	if !ok {
		return
	}
	for _, ready := range p.assembler.Chunk(c) {
		p.body = append(p.body, ready.Payload...)
	}
	r.finishIfEnded(p)
}

func (r *onceRouter) receiveEnd(e api.End) {
	p, ok := r.pending[e.AttemptID.RequestID]
	if !ok {
		return
	}
	p.assembler.End(e)
	r.finishIfEnded(p)
}

// finishIfEnded replies to the caller if the response is complete or has failed.
func (r *onceRouter) finishIfEnded(p *oncePending) {
	switch p.assembler.Status() {
	case reassembly.Complete:
		r.finish(p, onceReply{run: api.Ran, body: string(p.body)})
	case reassembly.Broken:
		f := p.assembler.Failure()
		r.finish(p, onceReply{run: f.Run, boundKey: f.BoundKey})
	}
}

func (r *onceRouter) finish(p *oncePending, reply onceReply) {
	delete(r.pending, p.order.AttemptID.RequestID)
	p.reply(reply)
}

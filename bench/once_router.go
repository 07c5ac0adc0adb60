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
	onceLinkSilence   = 3 * time.Second
	onceAnswerWait    = 3 * time.Second
	onceQueries       = 3
	onceHeldBytes     = 4 << 10
	onceOrderDeadline = 15 * time.Second
)

// onceView is what a router last heard of an agent.
type onceView struct {
	incarnation api.Incarnation
	elapsed     time.Duration
	heardAt     time.Duration
}

// onceRouter is a router with its pending sends.
type onceRouter struct {
	world   *onceWorld
	index   int
	process *onceProcess
	list    int
	views   [onceAgents]onceView
	pending map[string]*oncePending
	sends   int
}

// oncePending is a send whose answer is awaited.
type oncePending struct {
	request   int
	agent     int
	order     ledger.Arrival
	assembler *reassembly.Assembler
	body      []byte
	queries   int
	reply     func(onceReply)
}

// onceReply is what the caller sees.
type onceReply struct {
	run      api.RunState
	body     string
	boundKey string
}

func newOnceRouter(w *onceWorld, index int) *onceRouter {
	return &onceRouter{world: w, index: index, process: &onceProcess{}, pending: make(map[string]*oncePending)}
}

func (r *onceRouter) current() *onceProcess { return r.process }

// restart loses the pending sends; their callers see a broken connection.
func (r *onceRouter) restart() {
	r.process.killed = true
	r.process = &onceProcess{}
	r.views = [onceAgents]onceView{}
	r.pending = make(map[string]*oncePending)
}

func (r *onceRouter) hear(agent int, v onceView) {
	old := r.views[agent]
	if old.incarnation == v.incarnation && old.elapsed > v.elapsed {
		return
	}
	v.heardAt = r.world.now
	r.views[agent] = v
}

// bind issues a key for an agent that the router hears, or none.
func (r *onceRouter) bind() (string, bool) {
	w := r.world
	list := w.lists[r.list]
	name := list[w.random.IntN(len(list))]
	v := r.views[r.agentIndex(name)]
	var random [idemkey.RandomBytes]byte
	for i := range random {
		random[i] = byte(w.random.Uint32())
	}
	b, err := idemkey.New(name, v.incarnation, v.elapsed, random)
	return b.String(), err == nil
}

func (r *onceRouter) agentIndex(name string) int {
	for i, n := range r.world.lists[0] {
		if n == name {
			return i
		}
	}
	return 0
}

// handle takes one send of a caller.
func (r *onceRouter) handle(request int, key string, reply func(onceReply)) {
	w := r.world
	target, _ := idemkey.Home(onceMember, key, w.lists[r.list])
	if b, err := idemkey.ParseBound(key); err == nil {
		target = b.Upstream
	}
	agent := r.agentIndex(target)
	r.sends++
	send := api.AttemptID{RequestID: fmt.Sprintf("%d-%d", r.index, r.sends), Number: 1}
	v := r.views[agent]
	if v.incarnation == 0 || w.now-v.heardAt > onceLinkSilence {
		w.audit.notRun(request, send, false)
		reply(onceReply{run: api.NotRun})
		return
	}
	p := &oncePending{
		request: request, agent: agent, reply: reply,
		assembler: reassembly.New(send, 0, onceHeldBytes),
		order: ledger.Arrival{
			AttemptID: send, Member: onceMember, Key: key, BodyHash: uint64(request) + 1,
			Incarnation: v.incarnation, AgentElapsed: v.elapsed, Random: [16]byte{byte(r.sends)},
		},
	}
	r.pending[send.RequestID] = p
	a := w.agents[agent]
	w.carry(r.index, agent, a.current, func() {
		o := p.order
		o.Deadline = w.now + onceOrderDeadline
		a.deliver(request, onceWaiter{r.index, send}, o)
	})
	w.after(r.process, onceAnswerWait, func() { r.ask(p) })
}

// ask queries the outcome of a send whose answer did not come.
func (r *onceRouter) ask(p *oncePending) {
	if r.pending[p.order.AttemptID.RequestID] != p {
		return
	}
	if p.queries == onceQueries {
		r.finish(p, onceReply{run: api.RunUnknown})
		return
	}
	p.queries++
	q := api.OutcomeQuery{
		Member: onceMember, Key: p.order.Key, AttemptID: &p.order.AttemptID,
		Incarnation: p.order.Incarnation, AgentElapsed: p.order.AgentElapsed,
	}
	a := r.world.agents[p.agent]
	r.world.carry(r.index, p.agent, a.current, func() {
		a.query(p.request, onceWaiter{r.index, p.order.AttemptID}, q)
	})
	r.world.after(r.process, onceAnswerWait, func() { r.ask(p) })
}

func (r *onceRouter) outcome(send api.AttemptID, o api.Outcome) {
	p, ok := r.pending[send.RequestID]
	if !ok || !o.Done {
		return
	}
	reply := onceReply{run: o.Run}
	if o.BodyKept {
		reply.body = string(o.Body)
	}
	r.finish(p, reply)
}

func (r *onceRouter) chunk(c api.Chunk) {
	p, ok := r.pending[c.AttemptID.RequestID]
	if !ok {
		return
	}
	for _, ready := range p.assembler.Chunk(c) {
		p.body = append(p.body, ready.Payload...)
	}
	r.conclude(p)
}

func (r *onceRouter) end(e api.End) {
	p, ok := r.pending[e.AttemptID.RequestID]
	if !ok {
		return
	}
	p.assembler.End(e)
	r.conclude(p)
}

// conclude answers the caller once the answer is whole or has failed.
func (r *onceRouter) conclude(p *oncePending) {
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

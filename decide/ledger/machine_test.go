package ledger_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
)

var names = []string{"u0", "u1", "u2"}

// agent is the agent of one upstream, with its queued and running attempts.
type agent struct {
	name        string
	incarnation api.Incarnation
	ledger      *ledger.Ledger
	queue, runs []api.AttemptID
	listIndex   int // index of the last accepted upstream list
}

// agentView is the last report that a router received from an agent.
type agentView struct {
	incarnation api.Incarnation
	elapsed     time.Duration
}

type request struct {
	key         string
	firstSentAt time.Duration
	sent        bool
}

type message struct {
	to    int
	order ledger.Arrival
	query *api.OutcomeQuery
}

// simulation models routers and agents connected by a network that loses,
// duplicates and delays messages. It counts the runs of each key.
type simulation struct {
	t               *rapid.T
	now             time.Duration
	limits          ledger.Limits
	agents          []*agent
	views           [][]agentView
	lists           [][]string
	listChangedAt   time.Duration
	requests        []*request
	network         []message
	keyOf           map[api.AttemptID]string
	runs            map[string]int
	notRun          map[api.AttemptID]bool
	waiters         map[api.AttemptID][]api.AttemptID
	attempts        int
	lastIncarnation api.Incarnation
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, limits: limits, lists: [][]string{names}, keyOf: map[api.AttemptID]string{}, runs: map[string]int{},
		notRun: map[api.AttemptID]bool{}, waiters: map[api.AttemptID][]api.AttemptID{},
	}
	if sim.pick("room", 3) > 0 {
		sim.limits.Entries, sim.limits.MemberEntries, sim.limits.Bytes = 40, 0, 4000
		sim.limits.MemberTombstones = 40
	}
	for _, n := range names {
		sim.agents = append(sim.agents, &agent{name: n})
	}
	sim.views = [][]agentView{make([]agentView, len(names)), make([]agentView, len(names)), make([]agentView, len(names))}
	for i := range sim.agents {
		sim.restart(i)
		sim.refreshView(0, i)
	}
	sim.advance(7 * minute)
	return sim
}

func (sim *simulation) restart(i int) {
	sim.lastIncarnation++
	a := sim.agents[i]
	a.incarnation, a.queue, a.runs = sim.lastIncarnation, nil, nil
	a.ledger = ledger.New(sim.now, ledger.Identity{Upstream: a.name, Incarnation: a.incarnation}, sim.limits)
	sim.acceptList(i)
}

func (sim *simulation) acceptList(i int) {
	a := sim.agents[i]
	a.listIndex = len(sim.lists) - 1
	a.ledger.SetList(sim.now, sim.lists[a.listIndex])
}

func (sim *simulation) refreshView(router, i int) {
	sim.views[router][i] = agentView{sim.agents[i].incarnation, sim.now}
}

// advance moves the clock. Every agent accepts a new list within ListLag.
func (sim *simulation) advance(d time.Duration) {
	sim.now += d
	for i, a := range sim.agents {
		switch {
		case a.listIndex == len(sim.lists)-1:
			a.ledger.ConfirmList(sim.now)
		case sim.now-sim.listChangedAt >= limits.ListLag:
			sim.acceptList(i)
		}
	}
}

func (sim *simulation) pick(label string, n int) int {
	return rapid.IntRange(0, n-1).Draw(sim.t, label)
}

// send puts an order for a request on the network. Its incarnation and agent time
// are those in the view of the router.
func (sim *simulation) send(r *request, router int) {
	var to int
	if k, err := idemkey.ParseBound(r.key); err == nil {
		to = slices.Index(names, k.Upstream)
	} else {
		list := sim.lists[sim.pick("list", len(sim.lists))]
		if sim.now-sim.listChangedAt >= limits.ListLag {
			list = sim.lists[len(sim.lists)-1]
		}
		home, _ := idemkey.Home("m", r.key, list)
		to = slices.Index(names, home)
	}
	if !r.sent {
		r.firstSentAt, r.sent = sim.now, true
	}
	if sim.pick("stale", 4) > 0 {
		sim.refreshView(router, to)
	}
	sim.attempts++
	id := api.AttemptID{RequestID: fmt.Sprint(sim.attempts), Number: 1}
	v := sim.views[router][to]
	sim.keyOf[id] = r.key
	sim.network = append(sim.network, message{to: to, order: ledger.Arrival{
		AttemptID: id, Member: "m", Key: r.key, BodyHash: 1, Incarnation: v.incarnation,
		AgentElapsed: v.elapsed, Deadline: sim.now + 2*time.Hour,
	}})
}

func (sim *simulation) checkRunState(run api.RunState, sends ...api.AttemptID) {
	for _, s := range sends {
		if run != api.NotRun {
			continue
		}
		if sim.runs[sim.keyOf[s]] > 0 {
			sim.t.Fatalf("attempt %v was reported not_run, but key %s has run", s, sim.keyOf[s])
		}
		sim.notRun[s] = true
	}
}

func (sim *simulation) checkRelease(r ledger.Release) {
	if r.Failure != nil {
		sim.checkRunState(r.Failure.Run, r.Attempts...)
	}
}

func (sim *simulation) deliver(m message) {
	a := sim.agents[m.to]
	if m.query != nil {
		sim.checkRunState(a.ledger.Query(sim.now, *m.query).Run, *m.query.AttemptID)
		return
	}
	d := a.ledger.Admit(sim.now, m.order)
	switch d.Verdict {
	case ledger.Queue:
		a.queue = append(a.queue, m.order.AttemptID)
		sim.waiters[m.order.AttemptID] = []api.AttemptID{m.order.AttemptID}
	case ledger.Join:
		sim.waiters[d.Owner] = append(sim.waiters[d.Owner], m.order.AttemptID)
	case ledger.Refuse:
		sim.checkRunState(d.Failure.Run, m.order.AttemptID)
	}
}

func (sim *simulation) start(a *agent) {
	id := a.queue[0]
	a.queue = a.queue[1:]
	s := a.ledger.Start(sim.now, id)
	if !s.Run {
		sim.checkRelease(s.Release)
		return
	}
	a.runs = append(a.runs, id)
	key := sim.keyOf[id]
	if sim.runs[key]++; sim.runs[key] > 1 {
		sim.t.Fatalf("key %s ran %d times", key, sim.runs[key])
	}
	for _, attached := range sim.waiters[id] {
		if sim.notRun[attached] {
			sim.t.Fatalf("attempt %v ran after it was reported not_run", attached)
		}
	}
}

// TestAtMostOnceUnderNetworkFaults guards against a run after not_run was reported
// (property P5 of package proof) and a key that runs twice (P6), under loss,
// duplication and delay of messages, pauses, restarts, resends through any router
// and changes of the upstream list.
func TestAtMostOnceUnderNetworkFaults(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		t.Repeat(sim.commands())
		total += len(sim.runs)
	})
	if total < 300 {
		t.Errorf("only %d keys ran, want at least 300", total)
	}
}

func (sim *simulation) commands() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"request":   func(*rapid.T) { sim.request() },
		"resend":    func(*rapid.T) { sim.resend() },
		"deliver":   func(*rapid.T) { sim.transmit(true, true) },
		"duplicate": func(*rapid.T) { sim.transmit(true, false) },
		"lose":      func(*rapid.T) { sim.transmit(false, true) },
		"query":     func(*rapid.T) { sim.query() },
		"start":     func(*rapid.T) { sim.withQueuedAgent(func(a *agent) { sim.start(a) }) },
		"refuse": func(*rapid.T) {
			sim.withQueuedAgent(func(a *agent) {
				sim.checkRelease(a.ledger.Refuse(sim.now, a.queue[0], api.Failure{Code: api.CodeQueueFull}))
			})
		},
		"cancel": func(*rapid.T) {
			sim.withQueuedAgent(func(a *agent) {
				s := sim.waiters[a.queue[0]]
				sim.checkRelease(a.ledger.Cancel(sim.now, s[sim.pick("send", len(s))]))
			})
		},
		"complete": func(*rapid.T) { sim.complete() },
		"restart": func(*rapid.T) {
			if sim.pick("rare", 5) == 0 {
				sim.restart(sim.pick("agent", len(sim.agents)))
			}
		},
		"hear": func(*rapid.T) {
			sim.refreshView(sim.pick("router", len(sim.views)), sim.pick("agent", len(sim.agents)))
		},
		"advance": func(*rapid.T) { sim.advance(time.Duration(rapid.IntRange(1, 90).Draw(sim.t, "s")) * time.Second) },
		"pause": func(*rapid.T) {
			if sim.pick("rare", 5) == 0 {
				sim.advance(time.Duration(rapid.IntRange(1, 12).Draw(sim.t, "min")) * minute)
			}
		},
		"accept": func(*rapid.T) { sim.acceptList(sim.pick("agent", len(sim.agents))) },
		"change": func(*rapid.T) {
			if sim.pick("rare", 5) == 0 {
				sim.changeList()
			}
		},
	}
}

func (sim *simulation) request() {
	r := &request{key: fmt.Sprintf("order-%d", len(sim.requests))}
	router := sim.pick("router", len(sim.views))
	if sim.pick("stale", 4) > 0 {
		for i := range sim.agents {
			sim.refreshView(router, i)
		}
	}
	if i := sim.pick("agent", len(names)+1); i < len(names) {
		v := sim.views[router][i]
		b := idemkey.Bound{Upstream: names[i], Incarnation: max(v.incarnation, 1), Issued: v.elapsed, Random: [16]byte{byte(len(sim.requests))}}
		r.key = b.String()
	}
	sim.requests = append(sim.requests, r)
	sim.send(r, router)
}

// resend repeats a request. By contract, callers with their own key resend
// only within the resend window; callers with a bound key resend at any time.
func (sim *simulation) resend() {
	if len(sim.requests) == 0 {
		return
	}
	r := sim.requests[sim.pick("request", len(sim.requests))]
	_, err := idemkey.ParseBound(r.key)
	if err == nil || sim.now-r.firstSentAt < limits.ResendWindow {
		sim.send(r, sim.pick("router", len(sim.views)))
	}
}

func (sim *simulation) transmit(deliver, remove bool) {
	if len(sim.network) == 0 {
		return
	}
	i := sim.pick("message", len(sim.network))
	m := sim.network[i]
	if remove {
		sim.network = slices.Delete(sim.network, i, i+1)
	}
	if deliver {
		sim.deliver(m)
	}
}

func (sim *simulation) query() {
	if len(sim.network) == 0 {
		return
	}
	m := sim.network[sim.pick("message", len(sim.network))]
	if m.query != nil {
		return
	}
	o := m.order
	sim.network = append(sim.network, message{to: m.to, query: &api.OutcomeQuery{
		Member: "m", Key: o.Key, AttemptID: &o.AttemptID, Incarnation: o.Incarnation, AgentElapsed: o.AgentElapsed,
	}})
}

func (sim *simulation) withQueuedAgent(f func(*agent)) {
	if a := sim.agents[sim.pick("agent", len(sim.agents))]; len(a.queue) > 0 {
		f(a)
	}
}

func (sim *simulation) complete() {
	a := sim.agents[sim.pick("agent", len(sim.agents))]
	if len(a.runs) == 0 {
		return
	}
	id := a.runs[0]
	a.runs = a.runs[1:]
	if sim.pick("failed", 4) == 0 {
		sim.checkRelease(a.ledger.Fail(sim.now, id, api.Failure{Code: api.CodeUpstreamFailed, Run: api.RunUnknown}))
		return
	}
	sim.checkRelease(a.ledger.Complete(sim.now, id, ledger.Response{Status: 200}))
}

func (sim *simulation) changeList() {
	if sim.now-sim.listChangedAt < limits.ListLag && len(sim.lists) > 1 {
		return
	}
	sim.listChangedAt = sim.now
	removed := sim.pick("without", len(names)+1)
	next := slices.Clone(names)
	if removed < len(names) {
		next = slices.Delete(next, removed, removed+1)
	}
	sim.lists = append(sim.lists, next)
}

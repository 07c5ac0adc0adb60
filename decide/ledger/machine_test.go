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

// agent is one upstream's agent with what its ledger has accepted.
type agent struct {
	name        string
	incarnation api.Incarnation
	ledger      *ledger.Ledger
	queue, runs []api.SendID
	list        int // index of the list it has accepted
}

// view is what a router last heard of an agent.
type view struct {
	incarnation api.Incarnation
	echo        time.Duration
}

type request struct {
	key   string
	first time.Duration
	sent  bool
}

type message struct {
	to    int
	order ledger.Arrival
	query *api.OutcomeQuery
}

// world is a fleet with a network that loses, duplicates and delays, and the
// oracle that counts runs.
type world struct {
	t        *rapid.T
	now      time.Duration
	limits   ledger.Limits
	agents   []*agent
	routers  [][]view
	lists    [][]string
	changed  time.Duration
	requests []*request
	network  []message
	keyOf    map[api.SendID]string
	runs     map[string]int
	notRun   map[api.SendID]bool
	waits    map[api.SendID][]api.SendID
	sends    int
	starts   api.Incarnation
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, limits: limits, lists: [][]string{names}, keyOf: map[api.SendID]string{}, runs: map[string]int{},
		notRun: map[api.SendID]bool{}, waits: map[api.SendID][]api.SendID{},
	}
	if w.pick("room", 3) > 0 {
		w.limits.Entries, w.limits.MemberEntries, w.limits.Bytes = 40, 0, 4000
		w.limits.MemberTombstones = 40
	}
	for _, n := range names {
		w.agents = append(w.agents, &agent{name: n})
	}
	w.routers = [][]view{make([]view, len(names)), make([]view, len(names)), make([]view, len(names))}
	for i := range w.agents {
		w.restart(i)
		w.hear(0, i)
	}
	w.advance(7 * minute)
	return w
}

func (w *world) restart(i int) {
	w.starts++
	a := w.agents[i]
	a.incarnation, a.queue, a.runs = w.starts, nil, nil
	a.ledger = ledger.New(w.now, ledger.Identity{Upstream: a.name, Incarnation: a.incarnation}, w.limits)
	w.accept(i)
}

func (w *world) accept(i int) {
	a := w.agents[i]
	a.list = len(w.lists) - 1
	a.ledger.SetList(w.now, w.lists[a.list])
}

func (w *world) hear(router, i int) {
	w.routers[router][i] = view{w.agents[i].incarnation, w.now}
}

// advance lets time pass. A list is in force everywhere within the list lag.
func (w *world) advance(d time.Duration) {
	w.now += d
	for i, a := range w.agents {
		switch {
		case a.list == len(w.lists)-1:
			a.ledger.ConfirmList(w.now)
		case w.now-w.changed >= limits.ListLag:
			w.accept(i)
		}
	}
}

func (w *world) pick(label string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, label) }

// send makes an order for a request from what one router knows.
func (w *world) send(r *request, router int) {
	var to int
	if k, err := idemkey.ParseBound(r.key); err == nil {
		to = slices.Index(names, k.Upstream)
	} else {
		list := w.lists[w.pick("list", len(w.lists))]
		if w.now-w.changed >= limits.ListLag {
			list = w.lists[len(w.lists)-1]
		}
		home, _ := idemkey.Home("m", r.key, list)
		to = slices.Index(names, home)
	}
	if !r.sent {
		r.first, r.sent = w.now, true
	}
	if w.pick("stale", 4) > 0 {
		w.hear(router, to)
	}
	w.sends++
	id := api.SendID{Request: fmt.Sprint(w.sends), Attempt: 1}
	v := w.routers[router][to]
	w.keyOf[id] = r.key
	w.network = append(w.network, message{to: to, order: ledger.Arrival{
		Send: id, Member: "m", Key: r.key, BodyHash: 1, Incarnation: v.incarnation,
		AgentElapsed: v.echo, Deadline: w.now + 2*time.Hour,
	}})
}

func (w *world) told(run api.RunState, sends ...api.SendID) {
	for _, s := range sends {
		if run != api.NotRun {
			continue
		}
		if w.runs[w.keyOf[s]] > 0 {
			w.t.Fatalf("send %v told not_run, key %s has run", s, w.keyOf[s])
		}
		w.notRun[s] = true
	}
}

func (w *world) released(r ledger.Release) {
	if r.Failure != nil {
		w.told(r.Failure.Run, r.Sends...)
	}
}

func (w *world) deliver(m message) {
	a := w.agents[m.to]
	if m.query != nil {
		w.told(a.ledger.Query(w.now, *m.query).Run, *m.query.Send)
		return
	}
	d := a.ledger.Arrive(w.now, m.order)
	switch d.Verdict {
	case ledger.Queue:
		a.queue = append(a.queue, m.order.Send)
		w.waits[m.order.Send] = []api.SendID{m.order.Send}
	case ledger.Join:
		w.waits[d.Owner] = append(w.waits[d.Owner], m.order.Send)
	case ledger.Refuse:
		w.told(d.Failure.Run, m.order.Send)
	}
}

func (w *world) start(a *agent) {
	id := a.queue[0]
	a.queue = a.queue[1:]
	s := a.ledger.Start(w.now, id)
	if !s.Run {
		w.released(s.Release)
		return
	}
	a.runs = append(a.runs, id)
	key := w.keyOf[id]
	if w.runs[key]++; w.runs[key] > 1 {
		w.t.Fatalf("key %s ran %d times", key, w.runs[key])
	}
	for _, waiting := range w.waits[id] {
		if w.notRun[waiting] {
			w.t.Fatalf("send %v ran after not_run", waiting)
		}
	}
}

// TestNeverTwiceNeverAfterNotRun guards P5 and P6 against loss, duplication,
// delay, pause, restart, resends through any router and changes of the list.
func TestNeverTwiceNeverAfterNotRun(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.commands())
		total += len(w.runs)
	})
	if total < 300 {
		t.Errorf("only %d keys ran, the faults leave nothing to check", total)
	}
}

func (w *world) commands() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"request":   func(*rapid.T) { w.request() },
		"resend":    func(*rapid.T) { w.resend() },
		"deliver":   func(*rapid.T) { w.take(true, true) },
		"duplicate": func(*rapid.T) { w.take(true, false) },
		"lose":      func(*rapid.T) { w.take(false, true) },
		"query":     func(*rapid.T) { w.query() },
		"start":     func(*rapid.T) { w.each(func(a *agent) { w.start(a) }) },
		"refuse": func(*rapid.T) {
			w.each(func(a *agent) { w.released(a.ledger.Refuse(w.now, a.queue[0], api.Failure{Code: api.CodeQueueFull})) })
		},
		"cancel": func(*rapid.T) {
			w.each(func(a *agent) {
				s := w.waits[a.queue[0]]
				w.released(a.ledger.Cancel(w.now, s[w.pick("send", len(s))]))
			})
		},
		"complete": func(*rapid.T) { w.complete() },
		"restart": func(*rapid.T) {
			if w.pick("rare", 5) == 0 {
				w.restart(w.pick("agent", len(w.agents)))
			}
		},
		"hear":    func(*rapid.T) { w.hear(w.pick("router", len(w.routers)), w.pick("agent", len(w.agents))) },
		"advance": func(*rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 90).Draw(w.t, "s")) * time.Second) },
		"pause": func(*rapid.T) {
			if w.pick("rare", 5) == 0 {
				w.advance(time.Duration(rapid.IntRange(1, 12).Draw(w.t, "min")) * minute)
			}
		},
		"accept": func(*rapid.T) { w.accept(w.pick("agent", len(w.agents))) },
		"change": func(*rapid.T) {
			if w.pick("rare", 5) == 0 {
				w.change()
			}
		},
	}
}

func (w *world) request() {
	r := &request{key: fmt.Sprintf("order-%d", len(w.requests))}
	router := w.pick("router", len(w.routers))
	if w.pick("stale", 4) > 0 {
		for i := range w.agents {
			w.hear(router, i)
		}
	}
	if i := w.pick("agent", len(names)+1); i < len(names) {
		v := w.routers[router][i]
		b := idemkey.Bound{Upstream: names[i], Incarnation: max(v.incarnation, 1), Issued: v.echo, Random: [16]byte{byte(len(w.requests))}}
		r.key = b.String()
	}
	w.requests = append(w.requests, r)
	w.send(r, router)
}

// resend repeats a request. The contract holds callers with a key of their own
// to the resend window; callers with a bound key may resend at any time.
func (w *world) resend() {
	if len(w.requests) == 0 {
		return
	}
	r := w.requests[w.pick("request", len(w.requests))]
	_, err := idemkey.ParseBound(r.key)
	if err == nil || w.now-r.first < limits.ResendWindow {
		w.send(r, w.pick("router", len(w.routers)))
	}
}

func (w *world) take(deliver, remove bool) {
	if len(w.network) == 0 {
		return
	}
	i := w.pick("message", len(w.network))
	m := w.network[i]
	if remove {
		w.network = slices.Delete(w.network, i, i+1)
	}
	if deliver {
		w.deliver(m)
	}
}

func (w *world) query() {
	if len(w.network) == 0 {
		return
	}
	m := w.network[w.pick("message", len(w.network))]
	if m.query != nil {
		return
	}
	o := m.order
	w.network = append(w.network, message{to: m.to, query: &api.OutcomeQuery{
		Member: "m", Key: o.Key, Send: &o.Send, Incarnation: o.Incarnation, AgentElapsed: o.AgentElapsed,
	}})
}

func (w *world) each(f func(*agent)) {
	if a := w.agents[w.pick("agent", len(w.agents))]; len(a.queue) > 0 {
		f(a)
	}
}

func (w *world) complete() {
	a := w.agents[w.pick("agent", len(w.agents))]
	if len(a.runs) == 0 {
		return
	}
	id := a.runs[0]
	a.runs = a.runs[1:]
	if w.pick("failed", 4) == 0 {
		w.released(a.ledger.Fail(w.now, id, api.Failure{Code: api.CodeUpstreamFailed, Run: api.Unknown}))
		return
	}
	w.released(a.ledger.Complete(w.now, id, ledger.Answer{Status: 200}))
}

func (w *world) change() {
	if w.now-w.changed < limits.ListLag && len(w.lists) > 1 {
		return
	}
	w.changed = w.now
	out := w.pick("without", len(names)+1)
	next := slices.Clone(names)
	if out < len(names) {
		next = slices.Delete(next, out, out+1)
	}
	w.lists = append(w.lists, next)
}

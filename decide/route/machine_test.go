package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"pgregory.net/rapid"
)

// agentOracle is the actual state of one upstream: the number of orders
// received, the running ones, and the reports in flight to the router.
type agentOracle struct {
	received uint64
	running  map[uint64]uint32
	// foreign is the outstanding work from other senders, in tokens.
	foreign uint64
	elapsed time.Duration
	reports []delayedReport
	// reportedForeign is the foreign work in the last report that arrived.
	reportedForeign uint64
}

type delayedReport struct {
	load    api.Load
	foreign uint64
}

func (a *agentOracle) tokens() uint64 {
	sum := a.foreign
	for _, cost := range a.running {
		sum += uint64(cost)
	}
	return sum
}

func (a *agentOracle) report(incarnation api.Incarnation) api.Load {
	a.elapsed += time.Millisecond
	return api.Load{
		Upstream: "u0", Incarnation: incarnation, Elapsed: a.elapsed, Accepting: true,
		Running: uint32(len(a.running)), Tokens: a.tokens(), SeenOrders: a.received,
	}
}

// routerMachine runs one link with loss, delay, refusals and restarts.
type routerMachine struct {
	s           *State
	a           agentOracle
	incarnation api.Incarnation
	now         time.Duration
	// queued holds the chosen orders that have not reached the agent.
	queued []api.RouteChoice
	costs  map[uint64]uint32
	// open holds the tickets of the running orders.
	open []uint64
}

func (m *routerMachine) choose(t *rapid.T) {
	cost := rapid.Uint32Range(1, 100).Draw(t, "cost")
	prefix := rapid.SliceOfN(rapid.Uint64Range(1, 40), 0, 6).Draw(t, "prefix")
	c, f := m.s.Choose(m.now, api.RouteQuery{Member: "a", Model: testModel, OnlyUpstream: "u0", CostTokens: cost, PrefixHashes: prefix})
	if f != nil {
		t.Fatalf("refused: %v", f)
	}
	m.queued = append(m.queued, c)
	m.costs[c.Ticket] = cost
}

func (m *routerMachine) deliverOrder(t *rapid.T) {
	if len(m.queued) == 0 {
		t.Skip("no order in flight")
	}
	c := m.queued[0]
	m.queued = m.queued[1:]
	m.a.received++
	m.a.running[c.Ticket] = m.costs[c.Ticket]
	m.open = append(m.open, c.Ticket)
}

func (m *routerMachine) loseOrder(t *rapid.T) {
	if len(m.queued) == 0 {
		t.Skip("no order in flight")
	}
	c := m.queued[0]
	m.queued = m.queued[1:]
	m.s.Done(m.now, api.RouteResult{Ticket: c.Ticket, Unsent: true})
}

// end ends an order. The link preserves the order of frames, so earlier
// reports arrive first.
func (m *routerMachine) end(t *rapid.T) {
	if len(m.open) == 0 {
		t.Skip("no order is running")
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "which")
	ticket := m.open[i]
	m.open = append(m.open[:i], m.open[i+1:]...)
	m.deliverReports()
	delete(m.a.running, ticket)
	r := api.RouteResult{Ticket: ticket}
	if rapid.Bool().Draw(t, "refused") {
		r.Failure = api.NewFailure(api.CodeQueueFull, api.NotRun, "")
	}
	m.s.Done(m.now, r)
	m.s.Done(m.now, r)
}

func (m *routerMachine) sendReport(t *rapid.T) {
	l := m.a.report(m.incarnation)
	n := rapid.IntRange(0, 4).Draw(t, "events")
	for range n {
		l.PrefixAdded = append(l.PrefixAdded, rapid.Uint64Range(1, 40).Draw(t, "block"))
	}
	l.CacheSeq = rapid.Uint64Range(0, 50).Draw(t, "seq")
	m.a.reports = append(m.a.reports, delayedReport{load: l, foreign: m.a.foreign})
}

func (m *routerMachine) deliverReports() {
	for _, l := range m.a.reports {
		m.s.Load(m.now, l.load)
		m.a.reportedForeign = l.foreign
	}
	m.a.reports = nil
}

func (m *routerMachine) duplicateReport(t *rapid.T) {
	if len(m.a.reports) == 0 {
		t.Skip("no report in flight")
	}
	m.a.reports = append([]delayedReport{m.a.reports[0]}, m.a.reports...)
}

func (m *routerMachine) restartLink(*rapid.T) {
	m.s.LinkDown("u0")
	for _, ticket := range m.open {
		m.s.Done(m.now, api.RouteResult{Ticket: ticket})
	}
	m.incarnation++
	*m = routerMachine{s: m.s, incarnation: m.incarnation, now: m.now, costs: m.costs}
	m.a.running = make(map[uint64]uint32)
	m.s.LinkUp("u0", api.LinkState{Up: true, Incarnation: m.incarnation})
	m.s.Load(m.now, m.a.report(m.incarnation))
}

// check compares the estimate with the oracle: the router's own orders always
// count. With no report in flight, the estimate is exact except for foreign
// work that no report has included yet.
func (m *routerMachine) check(t *rapid.T) {
	m.now += time.Millisecond
	u := m.s.upstreams["u0"]
	got := u.work()
	var own uint64
	for _, ticket := range m.open {
		own += uint64(m.costs[ticket])
	}
	for _, c := range m.queued {
		own += uint64(m.costs[c.Ticket])
	}
	if got.tokens < own {
		t.Fatalf("estimate %d below own work %d", got.tokens, own)
	}
	if m.s.IndexEntries() > 30 || m.s.IndexEntries() < 0 {
		t.Fatalf("%d index entries, want 0 to 30", m.s.IndexEntries())
	}
	if len(m.s.tickets) != len(m.queued)+len(m.open) {
		t.Fatalf("%d tickets for %d orders", len(m.s.tickets), len(m.queued)+len(m.open))
	}
	if len(m.a.reports) > 0 {
		return
	}
	if want := own + m.a.reportedForeign; got.tokens != want || got.requests != uint64(len(m.open)+len(m.queued)) {
		t.Fatalf("estimate %d requests, %d tokens, want %d, %d", got.requests, got.tokens, len(m.open)+len(m.queued), want)
	}
}

// TestWorkEstimate guards against sends of this router that are counted twice or
// not at all, under loss, delay, duplication and restarts.
func TestWorkEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &routerMachine{s: newReadyState(Options{MaxIndexEntries: 30}, testConfig(1)), costs: make(map[uint64]uint32)}
		m.restartLink(t)
		t.Repeat(map[string]func(*rapid.T){
			"":             m.check,
			"choose":       m.choose,
			"deliver":      m.deliverOrder,
			"lose":         m.loseOrder,
			"end":          m.end,
			"report":       m.sendReport,
			"duplicate":    m.duplicateReport,
			"arrive":       func(*rapid.T) { m.deliverReports() },
			"foreign work": func(*rapid.T) { m.a.foreign += 10 },
			"restart":      m.restartLink,
			"pause":        func(*rapid.T) { m.now += staleTTL },
		})
	})
}

// TestChoiceIsDeterministic guards against choices that depend on map order.
func TestChoiceIsDeterministic(t *testing.T) {
	run := func() (all string) {
		s := newReadyState(Options{Seed: 7, Sample: 2}, testConfig(9))
		for i := range 200 {
			q := api.RouteQuery{Member: "a", Model: testModel, CostTokens: 50, PrefixHashes: []uint64{uint64(i % 5), uint64(10 + i%7)}}
			c, _ := s.Choose(time.Duration(i), q)
			all += fmt.Sprint(c.Upstream, " ")
		}
		return all
	}
	if first, second := run(), run(); first != second {
		t.Errorf("two runs differ:\n%s\n%s", first, second)
	}
}

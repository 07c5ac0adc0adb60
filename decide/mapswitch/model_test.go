package mapswitch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

var (
	modelSeeds     = flag.Int("mapswitch.seeds", 300, "number of seeds of the model test")
	modelFirstSeed = flag.Uint64("mapswitch.first", 1, "first seed of the model test")
)

// The model simulates ranks as the platform documents them, with two or three
// independent leaders, orders whose result is lost, orders executed late, and
// VMs that hang.

type modelRank struct {
	mapVersion, prepared uint64
	// mapContent and preparedContent are the tokens of the prepare orders, which
	// distinguish maps with the same version.
	mapContent, preparedContent uint64
	armed, armedStep            uint64
	held                        uint64
	highestToken, newestVersion uint64
}

type delayedOrder struct {
	at    time.Duration
	rank  int
	order api.RankOrder
}

type modelLeader struct {
	state      *State
	rank       int
	hangsUntil time.Duration
	inbox      []func()
}

type model struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	now      time.Duration
	epoch    uint64
	step     uint64
	ranks    []modelRank
	delayed  []delayedOrder
	leaders  []*modelLeader
	lossRate float64
	// lastPass is when the group began its last pass.
	lastPass time.Duration
	switches int
	// trace holds the last events, printed if the test fails.
	trace []string
}

const traceLines = 60

func (m *model) record(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%v ", m.now)+fmt.Sprintf(format, args...))
	if len(m.trace) > traceLines {
		m.trace = m.trace[1:]
	}
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), epoch: 1, ranks: make([]modelRank, 4)}
	for rank := range 2 + m.random.IntN(2) {
		m.leaders = append(m.leaders, &modelLeader{state: New(rank), rank: rank})
	}
	m.lossRate = []float64{0, 0.05, 0.35}[m.random.IntN(3)]
	return m
}

func (m *model) clock() uint64 { return uint64(m.now.Milliseconds()) + 1_000_000 }

// unreachable reports whether the VM of a rank hangs.
func (m *model) unreachable(rank int) bool {
	for _, l := range m.leaders {
		if l.rank == rank && l.hangsUntil > m.now {
			return true
		}
	}
	return false
}

// beginPass begins a pass unless a rank holds it, and checks that all ranks use
// the same map.
func (m *model) beginPass() {
	next := m.step + 1
	for i := range m.ranks {
		if m.ranks[i].held == next {
			return
		}
	}
	m.step, m.lastPass = next, m.now
	m.record("pass %d", next)
	for i := range m.ranks {
		r := &m.ranks[i]
		if r.armed != 0 && r.armedStep == next {
			if i == 0 {
				m.switches++
			}
			r.mapVersion, r.armed, r.prepared = r.armed, 0, 0
			r.mapContent = r.preparedContent
		}
	}
	for i := range m.ranks {
		if m.ranks[i].mapVersion != m.ranks[0].mapVersion || m.ranks[i].mapContent != m.ranks[0].mapContent {
			m.t.Fatalf("seed %d: pass %d at %v begins with maps %d and %d\n%s", m.seed, next, m.now, m.ranks[0].mapVersion, m.ranks[i].mapVersion, strings.Join(m.trace, "\n"))
		}
	}
}

// apply executes an order as the platform does, and adds it to the trace.
func (m *model) apply(rank int, o api.RankOrder) api.RankResult {
	result := m.execute(rank, o)
	m.record("rank %d: %s version %d step %d token %d: %d", rank, o.Op, o.MapVersion, o.Step, o.Token, result)
	return result
}

func (m *model) execute(rank int, o api.RankOrder) api.RankResult {
	r := &m.ranks[rank]
	if o.Epoch != m.epoch {
		return api.RankRefused
	}
	if o.Token < r.highestToken {
		return api.RankFenced
	}
	switch o.Op {
	case api.RankPrepare:
		resent := o.MapVersion == r.prepared && o.Token == r.preparedContent
		if o.MapVersion <= r.newestVersion && !resent || r.armed != 0 {
			return api.RankRefused
		}
		r.prepared, r.newestVersion, r.preparedContent = o.MapVersion, o.MapVersion, o.Token
	case api.RankArm:
		if r.armed == o.MapVersion && r.armedStep == o.Step {
			break
		}
		if r.prepared != o.MapVersion || o.Step <= m.step {
			return api.RankRefused
		}
		r.armed, r.armedStep = o.MapVersion, o.Step
	case api.RankDisarm:
		if r.mapVersion == o.MapVersion && o.MapVersion != 0 {
			return api.RankRefused
		}
		if r.armed == o.MapVersion {
			r.armed = 0
		}
	case api.RankHold:
		if r.held != 0 && r.held != o.Step || o.Step <= m.step {
			return api.RankRefused
		}
		r.held = o.Step
	case api.RankRelease:
		if r.held == o.Step {
			r.held = 0
		}
	}
	r.highestToken = max(r.highestToken, o.Token)
	return api.RankDone
}

// send delivers orders in random sequence. Some results are lost, and some
// orders are executed late or not at all.
func (m *model) send(l *modelLeader, orders []OutgoingOrder) {
	m.random.Shuffle(len(orders), func(i, j int) { orders[i], orders[j] = orders[j], orders[i] })
	for _, o := range orders {
		result := api.RankNoResult
		switch {
		case m.unreachable(o.Rank) && o.Rank != l.rank:
		case m.random.Float64() < m.lossRate:
			if m.random.IntN(2) == 0 {
				m.delayed = append(m.delayed, delayedOrder{at: m.now + time.Duration(m.random.IntN(12_000))*time.Millisecond, rank: o.Rank, order: o.Order})
			} else {
				m.apply(o.Rank, o.Order)
			}
		default:
			result = m.apply(o.Rank, o.Order)
		}
		l.inbox = append(l.inbox, func() { m.send(l, l.state.HandleResult(m.now, m.clock(), o, result)) })
	}
}

func nilIfZero(n uint64) *uint64 {
	if n == 0 {
		return nil
	}
	return &n
}

// readReports returns the reports of the ranks that a leader can reach.
func (m *model) readReports(l *modelLeader) []api.RankReport {
	reports := make([]api.RankReport, len(m.ranks))
	for i, r := range m.ranks {
		if i != l.rank && m.unreachable(i) {
			continue
		}
		reports[i] = api.RankReport{
			Group: "g", Epoch: m.epoch, Rank: i, Size: len(m.ranks), Formed: true, Step: m.step,
			MapVersion: r.mapVersion, PreparedMapVersion: nilIfZero(r.prepared), ArmedMapVersion: nilIfZero(r.armed), HeldStep: nilIfZero(r.held),
		}
	}
	return reports
}

func (m *model) runLeader(l *modelLeader) {
	if l.hangsUntil > m.now {
		return
	}
	if m.random.IntN(400) == 0 {
		m.record("leader %d hangs", l.rank)
		l.hangsUntil = m.now + time.Duration(500+m.random.IntN(4000))*time.Millisecond
		return
	}
	if len(l.inbox) > 0 {
		handle := l.inbox[0]
		l.inbox = l.inbox[1:]
		handle()
		return
	}
	switch m.random.IntN(3) {
	case 0:
		m.send(l, l.state.Tick(m.now, m.clock()))
	case 1:
		startedAt, reports := m.now, m.readReports(l)
		l.inbox = append(l.inbox, func() { m.send(l, l.state.Observe(m.now, startedAt, m.clock(), reports)) })
	case 2:
		if l.state.Ready() && m.random.IntN(4) == 0 {
			m.send(l, l.state.Begin(m.now, m.clock(), nil))
		}
	}
}

// Guards against a pass that begins with two maps and against a hold that is
// never released, while leaders hang, compete and lose results.
func TestPassNeverUsesTwoMaps(t *testing.T) {
	switches := 0
	for seed := *modelFirstSeed; seed < *modelFirstSeed+uint64(*modelSeeds); seed++ {
		m := newModel(t, seed)
		for range 6000 {
			m.now += 2 * time.Millisecond
			m.deliverDelayed()
			if m.random.IntN(12) == 0 {
				m.beginPass()
			}
			if m.random.IntN(3000) == 0 {
				m.reformGroup()
			}
			m.runLeader(m.leaders[m.random.IntN(len(m.leaders))])
		}
		m.checkProgress(seed)
		switches += m.switches
	}
	if switches < *modelSeeds {
		t.Errorf("%d map changes with %d seeds, want at least one per seed", switches, *modelSeeds)
	}
}

// reformGroup simulates the crash of a rank, after which the group forms again.
func (m *model) reformGroup() {
	m.epoch++
	m.record("epoch %d", m.epoch)
	clear(m.ranks)
}

func (m *model) deliverDelayed() {
	for i, d := range m.delayed {
		if d.at <= m.now {
			m.delayed = append(m.delayed[:i:i], m.delayed[i+1:]...)
			m.apply(d.rank, d.order)
			return
		}
	}
}

// checkProgress runs only the first leader, without faults, and checks that the
// group begins passes again.
func (m *model) checkProgress(seed uint64) {
	m.lossRate = 0
	m.leaders = m.leaders[:1]
	m.leaders[0].hangsUntil = 0
	// Delayed orders are dropped, since they could hold the group again.
	m.delayed = nil
	l := m.leaders[0]
	for range 4000 {
		m.now += 2 * time.Millisecond
		if m.random.IntN(4) == 0 {
			m.beginPass()
		}
		if len(l.inbox) > 0 {
			handle := l.inbox[0]
			l.inbox = l.inbox[1:]
			handle()
			continue
		}
		startedAt, reports := m.now, m.readReports(l)
		m.send(l, l.state.Tick(m.now, m.clock()))
		m.send(l, l.state.Observe(m.now, startedAt, m.clock(), reports))
	}
	if m.now-m.lastPass > time.Second {
		m.t.Fatalf("seed %d: no pass for %v, leader in phase %v", seed, m.now-m.lastPass, l.state.Phase())
	}
}

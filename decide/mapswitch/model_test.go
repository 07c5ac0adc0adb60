package mapswitch

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rankview"
)

var (
	modelSeeds     = flag.Int("mapswitch.seeds", 300, "number of seeds of the model test")
	modelFirstSeed = flag.Uint64("mapswitch.first", 1, "first seed of the model test")
)

// The model simulates ranks as the platform documents them, with two or three
// independent leaders, orders whose result is lost, orders executed late, VMs that hang,
// processes that are killed and know nothing when they are back, and reports that are old
// where the process beside a rank is down.

const (
	modelTick = 2 * time.Millisecond
	// modelHistory is the time for which old reports are kept.
	modelHistory = time.Second
	// modelReportAge is the age up to which a leader uses what it has read.
	modelReportAge = 300 * time.Millisecond
	// modelCopyTime is the longest time that a rank takes to copy experts.
	modelCopyTime = 100 * time.Millisecond
)

type modelLeader struct {
	state      *State
	view       *rankview.State
	rank       int
	hangsUntil time.Duration
	inbox      []func()
}

type model struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	now    time.Duration
	modelState
	delayed  []delayedOrder
	leaders  []*modelLeader
	lossRate float64
	// past holds the states of the last modelHistory, one for each tick.
	past []modelState
	// processDown is until when the process beside each rank is down. Its rank is read
	// directly then.
	processDown []time.Duration
	// lastRead is the last report that the process beside each rank read. With copyRate, the
	// next read returns it once more: a late copy on a kept connection.
	lastRead [modelRanks]api.RankReport
	copyRate float64
	// reportLag is how old a report that is read directly may be by the settings.
	reportLag time.Duration
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
	m := &model{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), modelState: modelState{epoch: 1}}
	m.processDown = make([]time.Duration, len(m.ranks))
	for rank := range 2 + m.random.IntN(2) {
		m.leaders = append(m.leaders, &modelLeader{state: New(rank), view: rankview.New(), rank: rank})
	}
	m.lossRate = []float64{0, 0.05, 0.35}[m.random.IntN(3)]
	m.copyRate = []float64{0, 0.1}[m.random.IntN(2)]
	m.reportLag = []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond}[m.random.IntN(4)]
	return m
}

func (m *model) clock() uint64 { return uint64(m.now.Milliseconds()) + 1_000_000 }

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

// observe passes what the leader knows of the ranks to its state.
func (m *model) observe(l *modelLeader) {
	s := l.view.Snapshot(m.now, modelReportAge)
	if s.Reports[l.rank].Size > 0 {
		m.send(l, l.state.Observe(m.now, s.AsOf, m.clock(), s.Reports))
	}
}

// killProcess kills the process beside a rank, which is back after a short delay. A leader
// knows nothing then; its orders that are on their way are executed.
func (m *model) killProcess(rank int) {
	m.record("the process of rank %d is killed", rank)
	m.lastRead[rank] = api.RankReport{}
	m.processDown[rank] = m.now + time.Duration(100+m.random.IntN(200))*time.Millisecond
	for _, l := range m.leaders {
		if l.rank == rank {
			l.state, l.view, l.inbox = New(rank), rankview.New(), nil
		}
	}
}

func (m *model) runLeader(l *modelLeader) {
	if l.hangsUntil > m.now || m.processDown[l.rank] > m.now {
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
		record := m.readRanks(l)
		l.inbox = append(l.inbox, func() {
			record()
			m.observe(l)
		})
	case 2:
		if l.state.Ready() && m.random.IntN(4) == 0 {
			m.send(l, l.state.Begin(m.now, m.clock(), nil))
		}
	}
}

// Guards against a pass that begins with two maps and against a hold that is
// never released, while leaders hang, compete, lose results, are killed and read old reports.
func TestPassNeverUsesTwoMaps(t *testing.T) {
	switches := 0
	for seed := *modelFirstSeed; seed < *modelFirstSeed+uint64(*modelSeeds); seed++ {
		m := newModel(t, seed)
		for range 6000 {
			m.advance()
			m.deliverDelayed()
			if m.random.IntN(400) == 0 {
				m.killProcess(m.random.IntN(len(m.ranks)))
			}
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
	m.ranks = [modelRanks]modelRank{}
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
	clear(m.processDown)
	l := m.leaders[0]
	for range 4000 {
		m.advance()
		if m.random.IntN(4) == 0 {
			m.beginPass()
		}
		if len(l.inbox) > 0 {
			handle := l.inbox[0]
			l.inbox = l.inbox[1:]
			handle()
			continue
		}
		record := m.readRanks(l)
		m.send(l, l.state.Tick(m.now, m.clock()))
		record()
		m.observe(l)
	}
	if m.now-m.lastPass > time.Second {
		m.t.Fatalf("seed %d: no pass for %v, leader in phase %v", seed, m.now-m.lastPass, l.state.Phase())
	}
}

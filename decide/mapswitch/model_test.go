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
	modelSeeds = flag.Int("mapswitch.seeds", 300, "seeds of the model test")
	modelFirst = flag.Uint64("mapswitch.first", 1, "first seed of the model test")
)

// The model runs ranks as the platform describes them, with two or three
// leaders that know nothing of each other, orders that are lost, answered late
// or carried out late, and VMs that stand still.

type modelRank struct {
	m, prepared uint64
	// content and preparedContent tell maps of one version apart.
	content, preparedContent uint64
	armed, armAt             uint64
	held                     uint64
	fence, newest            uint64
}

type lateOrder struct {
	at    time.Duration
	rank  int
	order api.RankOrder
}

type modelLeader struct {
	state  *State
	own    int
	frozen time.Duration
	inbox  []func()
}

type model struct {
	t       *testing.T
	seed    uint64
	random  *rand.Rand
	now     time.Duration
	epoch   uint64
	step    uint64
	ranks   []modelRank
	late    []lateOrder
	leaders []*modelLeader
	lossy   float64
	// lastPass is when the group last began a pass.
	lastPass time.Duration
	switches int
	// trace holds what was done, for a failure.
	trace []string
}

const traceLines = 60

func (m *model) note(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%v ", m.now)+fmt.Sprintf(format, args...))
	if len(m.trace) > traceLines {
		m.trace = m.trace[1:]
	}
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), epoch: 1, ranks: make([]modelRank, 4)}
	for own := range 2 + m.random.IntN(2) {
		m.leaders = append(m.leaders, &modelLeader{state: New(own), own: own})
	}
	m.lossy = []float64{0, 0.05, 0.35}[m.random.IntN(3)]
	return m
}

func (m *model) clock() uint64 { return uint64(m.now.Milliseconds()) + 1_000_000 }

// unreachable says whether the VM beside a rank stands still.
func (m *model) unreachable(rank int) bool {
	for _, l := range m.leaders {
		if l.own == rank && l.frozen > m.now {
			return true
		}
	}
	return false
}

// pass begins a pass unless a rank holds it, and checks what it begins with.
func (m *model) pass() {
	next := m.step + 1
	for i := range m.ranks {
		if m.ranks[i].held == next {
			return
		}
	}
	m.step, m.lastPass = next, m.now
	m.note("pass %d", next)
	for i := range m.ranks {
		r := &m.ranks[i]
		if r.armed != 0 && r.armAt == next {
			if i == 0 {
				m.switches++
			}
			r.m, r.armed, r.prepared = r.armed, 0, 0
			r.content = r.preparedContent
		}
	}
	for i := range m.ranks {
		if m.ranks[i].m != m.ranks[0].m || m.ranks[i].content != m.ranks[0].content {
			m.t.Fatalf("seed %d: pass %d at %v begins with maps %d and %d\n%s", m.seed, next, m.now, m.ranks[0].m, m.ranks[i].m, strings.Join(m.trace, "\n"))
		}
	}
}

// apply carries out an order as the platform does.
func (m *model) apply(rank int, o api.RankOrder) api.RankAnswer {
	answer := m.answer(rank, o)
	m.note("rank %d: %s version %d step %d token %d: %d", rank, o.Op, o.Version, o.Step, o.Token, answer)
	return answer
}

func (m *model) answer(rank int, o api.RankOrder) api.RankAnswer {
	r := &m.ranks[rank]
	if o.Epoch != m.epoch {
		return api.RankRefused
	}
	if o.Token < r.fence {
		return api.RankFenced
	}
	switch o.Op {
	case api.RankPrepare:
		repeated := o.Version == r.prepared && o.Token == r.preparedContent
		if o.Version <= r.newest && !repeated || r.armed != 0 {
			return api.RankRefused
		}
		r.prepared, r.newest, r.preparedContent = o.Version, o.Version, o.Token
	case api.RankArm:
		if r.armed == o.Version && r.armAt == o.Step {
			break
		}
		if r.prepared != o.Version || o.Step <= m.step {
			return api.RankRefused
		}
		r.armed, r.armAt = o.Version, o.Step
	case api.RankDisarm:
		if r.m == o.Version && o.Version != 0 {
			return api.RankRefused
		}
		if r.armed == o.Version {
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
	r.fence = max(r.fence, o.Token)
	return api.RankDone
}

// send delivers orders in a random order, some late or not at all.
func (m *model) send(l *modelLeader, sends []Send) {
	m.random.Shuffle(len(sends), func(i, j int) { sends[i], sends[j] = sends[j], sends[i] })
	for _, s := range sends {
		answer := api.RankNoAnswer
		switch {
		case m.unreachable(s.Rank) && s.Rank != l.own:
		case m.random.Float64() < m.lossy:
			if m.random.IntN(2) == 0 {
				m.late = append(m.late, lateOrder{at: m.now + time.Duration(m.random.IntN(12_000))*time.Millisecond, rank: s.Rank, order: s.Order})
			} else {
				m.apply(s.Rank, s.Order)
			}
		default:
			answer = m.apply(s.Rank, s.Order)
		}
		l.inbox = append(l.inbox, func() { m.send(l, l.state.Answered(m.now, m.clock(), s, answer)) })
	}
}

func pointer(n uint64) *uint64 {
	if n == 0 {
		return nil
	}
	return &n
}

// read takes what a leader sees of the ranks.
func (m *model) read(l *modelLeader) []api.RankReport {
	reports := make([]api.RankReport, len(m.ranks))
	for i, r := range m.ranks {
		if i != l.own && m.unreachable(i) {
			continue
		}
		reports[i] = api.RankReport{
			Group: "g", Epoch: m.epoch, Rank: i, Size: len(m.ranks), Open: true, Step: m.step,
			Map: r.m, Prepared: pointer(r.prepared), Armed: pointer(r.armed), Held: pointer(r.held),
		}
	}
	return reports
}

func (m *model) turn(l *modelLeader) {
	if l.frozen > m.now {
		return
	}
	if m.random.IntN(400) == 0 {
		m.note("leader %d stands still", l.own)
		l.frozen = m.now + time.Duration(500+m.random.IntN(4000))*time.Millisecond
		return
	}
	if len(l.inbox) > 0 {
		first := l.inbox[0]
		l.inbox = l.inbox[1:]
		first()
		return
	}
	switch m.random.IntN(3) {
	case 0:
		m.send(l, l.state.Tick(m.now, m.clock()))
	case 1:
		began, reports := m.now, m.read(l)
		l.inbox = append(l.inbox, func() { m.send(l, l.state.Observe(m.now, began, m.clock(), reports)) })
	case 2:
		if l.state.Ready() && m.random.IntN(4) == 0 {
			m.send(l, l.state.Begin(m.now, m.clock(), nil))
		}
	}
}

// Guards against a pass that begins with two maps, and against a group that is
// held for good, with leaders that stand still, compete, and lose answers.
func TestNoPassBeginsWithTwoMaps(t *testing.T) {
	switches := 0
	for seed := *modelFirst; seed < *modelFirst+uint64(*modelSeeds); seed++ {
		m := newModel(t, seed)
		for range 6000 {
			m.now += 2 * time.Millisecond
			m.carryOutLate()
			if m.random.IntN(12) == 0 {
				m.pass()
			}
			if m.random.IntN(3000) == 0 {
				m.formAnew()
			}
			m.turn(m.leaders[m.random.IntN(len(m.leaders))])
		}
		m.settle(seed)
		switches += m.switches
	}
	if switches < *modelSeeds {
		t.Errorf("%d changes over %d seeds: the model does not get far enough to show anything", switches, *modelSeeds)
	}
}

// formAnew is what a crash of a rank leads to.
func (m *model) formAnew() {
	m.epoch++
	m.note("epoch %d", m.epoch)
	clear(m.ranks)
}

func (m *model) carryOutLate() {
	for i, l := range m.late {
		if l.at <= m.now {
			m.late = append(m.late[:i:i], m.late[i+1:]...)
			m.apply(l.rank, l.order)
			return
		}
	}
}

// settle leaves only the lowest leader running without faults: the group must
// go on.
func (m *model) settle(seed uint64) {
	m.lossy = 0
	m.leaders = m.leaders[:1]
	m.leaders[0].frozen = 0
	// Late orders land first, since they may hold the group anew.
	m.late = nil
	l := m.leaders[0]
	for range 4000 {
		m.now += 2 * time.Millisecond
		if m.random.IntN(4) == 0 {
			m.pass()
		}
		if len(l.inbox) > 0 {
			first := l.inbox[0]
			l.inbox = l.inbox[1:]
			first()
			continue
		}
		began, reports := m.now, m.read(l)
		m.send(l, l.state.Tick(m.now, m.clock()))
		m.send(l, l.state.Observe(m.now, began, m.clock(), reports))
	}
	if m.now-m.lastPass > time.Second {
		m.t.Fatalf("seed %d: the group is held for %v in phase %v", seed, m.now-m.lastPass, l.state.Phase())
	}
}

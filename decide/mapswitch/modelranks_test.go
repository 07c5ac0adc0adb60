package mapswitch

import (
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

type modelRank struct {
	mapVersion, prepared uint64
	// copying is the version that the rank copies until copiedAt.
	copying  uint64
	copiedAt time.Duration
	// mapContent and preparedContent are the tokens of the prepare orders, which
	// distinguish maps with the same version.
	mapContent, preparedContent uint64
	armed, armedStep            uint64
	held                        uint64
	highestToken, newestVersion uint64
}

// modelRanks is the number of ranks.
const modelRanks = 4

// modelState is the state of all ranks at one time.
type modelState struct {
	epoch, step uint64
	ranks       [modelRanks]modelRank
}

// report returns the report of a rank in a state.
func (s *modelState) report(rank int) api.RankReport {
	r := s.ranks[rank]
	return api.RankReport{
		Group: "g", Epoch: s.epoch, Rank: rank, Size: modelRanks, Formed: true, Step: s.step,
		MapVersion: r.mapVersion, PreparedMapVersion: nilIfZero(r.prepared), ArmedMapVersion: nilIfZero(r.armed), HeldStep: nilIfZero(r.held),
	}
}

type delayedOrder struct {
	at    time.Duration
	rank  int
	order api.RankOrder
}

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
		resent := (o.MapVersion == r.prepared || o.MapVersion == r.copying) && o.Token == r.preparedContent
		if o.MapVersion <= r.newestVersion && !resent || r.armed != 0 {
			return api.RankRefused
		}
		if resent {
			break
		}
		r.prepared, r.copying, r.copiedAt = 0, o.MapVersion, m.now+time.Duration(m.random.Int64N(int64(modelCopyTime)))
		r.newestVersion, r.preparedContent = o.MapVersion, o.Token
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

func nilIfZero(n uint64) *uint64 {
	if n == 0 {
		return nil
	}
	return &n
}

// advance lets a tick pass: ranks finish copying, and the present reports become past ones.
func (m *model) advance() {
	m.now += modelTick
	for i := range m.ranks {
		if r := &m.ranks[i]; r.copying != 0 && m.now >= r.copiedAt {
			r.prepared, r.copying = r.copying, 0
		}
	}
	m.past = append(m.past, m.modelState)
	if len(m.past) > int(modelHistory/modelTick) {
		m.past = m.past[1:]
	}
}

// readLocal returns what the process beside a rank reads.
func (m *model) readLocal(rank int) api.RankReport {
	last := m.lastRead[rank]
	m.lastRead[rank] = m.report(rank)
	if last.Size > 0 && m.random.Float64() < m.copyRate {
		return last
	}
	return m.lastRead[rank]
}

// readRanks reads the ranks that a leader can reach, and returns a function that records
// the reports. A rank without a process is read directly, and its report is old.
func (m *model) readRanks(l *modelLeader) (record func()) {
	startedAt, local := m.now, m.readLocal(l.rank)
	var states []api.RankState
	for i := range m.ranks {
		if i == l.rank || m.unreachable(i) {
			continue
		}
		var state api.RankState
		if m.processDown[i] <= m.now {
			state.Report = m.readLocal(i)
		} else {
			age := time.Duration(m.random.Int64N(int64(m.reportLag + 1)))
			state = api.RankState{Report: m.past[max(0, len(m.past)-1-int(age/modelTick))].report(i), MaxAge: m.reportLag}
		}
		states = append(states, state)
	}
	return func() {
		l.view.RecordLocal(startedAt, api.RankState{Report: local})
		for _, state := range states {
			l.view.Record(startedAt, state)
		}
	}
}

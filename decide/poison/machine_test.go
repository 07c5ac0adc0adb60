package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"pgregory.net/rapid"
)

// referenceModel is the reference model of one process: the crashes of each
// request, merged by union and without limits.
type referenceModel map[uint64]map[uint64]crash

func (m referenceModel) merge(fp uint64, c crash) {
	if m[fp] == nil {
		m[fp] = map[uint64]crash{}
	}
	if known, ok := m[fp][c.id]; ok {
		c.cleared = c.cleared || known.cleared
		c.at = min(c.at, known.at)
	}
	m[fp][c.id] = c
}

func (m referenceModel) status(now time.Duration, fp uint64) Status {
	active, alone, last := 0, 0, time.Duration(0)
	for _, c := range m[fp] {
		if c.cleared || now-c.at >= crashTTL {
			continue
		}
		active++
		if c.alone {
			alone++
			last = max(last, c.at)
		}
	}
	switch {
	case active == 0:
		return Clean
	case alone >= 2 && now-last < min(minBlockTime*time.Duration(int(1)<<(alone-2)), maxBlockTime):
		return Blocked
	}
	return Suspect
}

type message struct {
	to      int
	reports []api.Suspicion
}

// cluster simulates several processes that record crashes and completions, restart,
// and exchange messages that are lost, delayed, duplicated and reordered.
type cluster struct {
	now      time.Duration
	states   [3]*State
	models   [3]referenceModel
	messages []message
	crashes  uint64
}

func (m *cluster) process(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "process") }

func (m *cluster) send(from int, reports []api.Suspicion) {
	for to := range m.states {
		if to != from && len(reports) > 0 {
			m.messages = append(m.messages, message{to: to, reports: reports})
		}
	}
}

func (m *cluster) crash(t *rapid.T) {
	p := m.process(t)
	batch := rapid.SliceOfN(rapid.Uint64Range(1, 3), 1, 2).Draw(t, "batch")
	m.crashes++
	for _, fp := range batch {
		m.models[p].merge(fp, crash{id: m.crashes, at: m.now, alone: len(batch) == 1})
	}
	m.send(p, m.states[p].RecordCrash(m.now, fmt.Sprint(p), m.crashes, batch))
}

func (m *cluster) complete(t *rapid.T) {
	p, fp := m.process(t), rapid.Uint64Range(1, 3).Draw(t, "fp")
	for id, c := range m.models[p][fp] {
		c.cleared = true
		m.models[p][fp][id] = c
	}
	m.send(p, m.states[p].RecordCompletion(m.now, fp))
}

func (m *cluster) deliver(t *rapid.T) {
	if len(m.messages) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
	msg := m.messages[i]
	if rapid.Bool().Draw(t, "once") {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
	m.receive(msg)
}

func (m *cluster) receive(msg message) {
	for _, s := range msg.reports {
		for _, c := range s.Crashes {
			if c.Age < reportTTL {
				m.models[msg.to].merge(s.Fingerprint, crash{c.ID, c.Upstream, m.now - c.Age, c.Alone, c.Cleared})
			}
		}
	}
	m.send(msg.to, m.states[msg.to].Merge(m.now, msg.reports))
}

// heal delivers all messages and digests, then checks that the processes agree.
func (m *cluster) heal(t *rapid.T) {
	for round := 0; len(m.messages) > 0; round++ {
		if round > 5000 {
			t.Fatal("reports are forwarded forever")
		}
		msg := m.messages[0]
		m.messages = m.messages[1:]
		m.receive(msg)
	}
	for range 2 {
		for _, s := range m.states {
			for to := range m.states {
				m.receive(message{to: to, reports: s.Digest(m.now, 100)})
			}
		}
	}
	for fp := uint64(1); fp <= 3; fp++ {
		if m.hasUnreported(fp) {
			continue
		}
		first := m.states[0].Status(m.now, fp)
		for p, s := range m.states {
			if got := s.Status(m.now, fp); got != first {
				t.Fatalf("request %d has status %d at process 0 but %d at process %d after all reports were delivered", fp, first, got, p)
			}
		}
	}
}

// hasUnreported reports whether a process has recorded a crash that is too old
// to be reported.
func (m *cluster) hasUnreported(fp uint64) bool {
	for _, model := range m.models {
		for _, c := range model[fp] {
			if m.now-c.at >= reportTTL {
				return true
			}
		}
	}
	return false
}

// TestProcessesConverge guards against processes that disagree although they
// have received the same reports, reports that are forwarded forever, and a
// status that depends on the order of messages.
func TestProcessesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &cluster{}
		for p := range m.states {
			m.states[p], m.models[p] = New(0), referenceModel{}
		}
		t.Repeat(map[string]func(*rapid.T){
			"crash":    m.crash,
			"complete": m.complete,
			"deliver":  m.deliver,
			"lose": func(t *rapid.T) {
				if len(m.messages) == 0 {
					t.Skip("no message")
				}
				m.messages = m.messages[1:]
			},
			"restart": func(t *rapid.T) {
				p := m.process(t)
				m.states[p], m.models[p] = New(0), referenceModel{}
			},
			"delay": func(*rapid.T) { m.now += 30 * time.Second },
			"wait": func(t *rapid.T) {
				// Messages in flight are lost, as in a long partition. Their ages would
				// be wrong if they were delivered this late.
				m.messages = nil
				m.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "minutes")) * time.Minute
			},
			"heal": m.heal,
			"": func(t *rapid.T) {
				for p, s := range m.states {
					for fp := uint64(1); fp <= 3; fp++ {
						if len(m.models[p][fp]) > maxCrashesPerRequest {
							continue // the state has dropped crashes that the model keeps
						}
						if got, want := s.Status(m.now, fp), m.models[p].status(m.now, fp); got != want {
							t.Fatalf("process %d: request %d is %d, want %d", p, fp, got, want)
						}
					}
				}
			},
		})
	})
}

// TestIsolation guards against two suspects in flight at once, other requests that
// start while a suspect runs, and suspects lost from the queue.
func TestIsolation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := NewIsolation(4)
		var queue []IsolatedRun
		var running *IsolatedRun
		batch := rapid.IntRange(0, 2).Draw(t, "batch")
		lastAttempt := uint32(0)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				lastAttempt++
				w := IsolatedRun{Fingerprint: fp, AttemptID: api.AttemptID{RequestID: "r", Number: lastAttempt}}
				if f := i.Add(w); (f == nil) != (len(queue) < 4) {
					t.Fatalf("%d queued, failure %v", len(queue), f)
				} else if f == nil {
					queue = append(queue, w)
				}
			},
			"cancel": func(*rapid.T) {
				if len(queue) > 0 {
					i.Remove(queue[0].AttemptID)
					queue = queue[1:]
				}
			},
			"next": func(t *rapid.T) {
				w, ok := i.Next(batch)
				if want := batch == 0 && running == nil && len(queue) > 0; ok != want || (ok && w != queue[0]) {
					t.Fatalf("started %v %v", w, ok)
				}
				if ok {
					queue, running = queue[1:], &w
				}
			},
			"end": func(*rapid.T) {
				i.Finish(api.AttemptID{RequestID: "foreign"})
				if running != nil {
					i.Finish(running.AttemptID)
					running = nil
				}
			},
			"batch ends": func(*rapid.T) { batch = max(batch-1, 0) },
			"": func(t *rapid.T) {
				_, runs := i.Running()
				if runs != (running != nil) || i.Active() != (running != nil || len(queue) > 0) {
					t.Fatalf("active %v, running %v", i.Active(), runs)
				}
			},
		})
	})
}

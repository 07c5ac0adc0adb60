package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"pgregory.net/rapid"
)

// naive is the oracle of one process: a set of crashes for each request,
// without bounds, joined by union.
type naive map[uint64]map[uint64]crash

func (n naive) join(fp uint64, c crash) {
	if n[fp] == nil {
		n[fp] = map[uint64]crash{}
	}
	if old, ok := n[fp][c.id]; ok {
		c.cleared = c.cleared || old.cleared
		c.at = min(c.at, old.at)
	}
	n[fp][c.id] = c
}

func (n naive) status(now time.Duration, fp uint64) Status {
	open, alone, last := 0, 0, time.Duration(0)
	for _, c := range n[fp] {
		if c.cleared || now-c.at >= evidenceTTL {
			continue
		}
		open++
		if c.alone {
			alone++
			last = max(last, c.at)
		}
	}
	switch {
	case open == 0:
		return Clean
	case alone >= 2 && now-last < min(condemnFor*time.Duration(int(1)<<(alone-2)), condemnMost):
		return Condemned
	}
	return Suspect
}

type message struct {
	to     int
	shared []api.Suspicion
}

// spread drives several processes that crash, clear, restart and exchange
// messages which are lost, delayed, duplicated and reordered.
type spread struct {
	now      time.Duration
	states   [3]*State
	oracle   [3]naive
	messages []message
	crashes  uint64
}

func (m *spread) process(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "process") }

func (m *spread) send(from int, shared []api.Suspicion) {
	for to := range m.states {
		if to != from && len(shared) > 0 {
			m.messages = append(m.messages, message{to: to, shared: shared})
		}
	}
}

func (m *spread) crash(t *rapid.T) {
	p := m.process(t)
	batch := rapid.SliceOfN(rapid.Uint64Range(1, 3), 1, 2).Draw(t, "batch")
	m.crashes++
	for _, fp := range batch {
		m.oracle[p].join(fp, crash{id: m.crashes, at: m.now, alone: len(batch) == 1})
	}
	m.send(p, m.states[p].Crashed(m.now, fmt.Sprint(p), m.crashes, batch))
}

func (m *spread) complete(t *rapid.T) {
	p, fp := m.process(t), rapid.Uint64Range(1, 3).Draw(t, "fp")
	for id, c := range m.oracle[p][fp] {
		c.cleared = true
		m.oracle[p][fp][id] = c
	}
	m.send(p, m.states[p].Completed(m.now, fp))
}

func (m *spread) deliver(t *rapid.T) {
	if len(m.messages) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
	msg := m.messages[i]
	if rapid.Bool().Draw(t, "once") {
		m.messages = append(m.messages[:i], m.messages[i+1:]...)
	}
	m.learn(msg)
}

func (m *spread) learn(msg message) {
	for _, s := range msg.shared {
		for _, c := range s.Crashes {
			if c.Age < shareTTL {
				m.oracle[msg.to].join(s.Fingerprint, crash{c.ID, c.Upstream, m.now - c.Age, c.Alone, c.Cleared})
			}
		}
	}
	m.send(msg.to, m.states[msg.to].Merge(m.now, msg.shared))
}

func (m *spread) heal(t *rapid.T) {
	for round := 0; len(m.messages) > 0; round++ {
		if round > 5000 {
			t.Fatal("the exchange never ends")
		}
		msg := m.messages[0]
		m.messages = m.messages[1:]
		m.learn(msg)
	}
	for range 2 {
		for _, s := range m.states {
			for to := range m.states {
				m.learn(message{to: to, shared: s.Digest(m.now, 100)})
			}
		}
	}
	for fp := uint64(1); fp <= 3; fp++ {
		if m.untold(fp) {
			continue
		}
		first := m.states[0].Status(m.now, fp)
		for p, s := range m.states {
			if got := s.Status(m.now, fp); got != first {
				t.Fatalf("request %d is %d at 0 and %d at %d after healing", fp, first, got, p)
			}
		}
	}
}

// untold says whether a process knows a crash that is too old to be shared.
func (m *spread) untold(fp uint64) bool {
	for _, o := range m.oracle {
		for _, c := range o[fp] {
			if m.now-c.at >= shareTTL {
				return true
			}
		}
	}
	return false
}

// TestSpread guards against processes that disagree once they have received the
// same reports, reports that circulate for ever, and a standing that depends on
// the order of messages.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &spread{}
		for p := range m.states {
			m.states[p], m.oracle[p] = New(0), naive{}
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
				m.states[p], m.oracle[p] = New(0), naive{}
			},
			"delay": func(*rapid.T) { m.now += 30 * time.Second },
			"wait": func(t *rapid.T) {
				// Old messages would make ages drift, as after a long partition.
				m.messages = nil
				m.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "minutes")) * time.Minute
			},
			"heal": m.heal,
			"": func(t *rapid.T) {
				for p, s := range m.states {
					for fp := uint64(1); fp <= 3; fp++ {
						if len(m.oracle[p][fp]) > maxCrashes {
							continue // beyond the bound of one record
						}
						if got, want := s.Status(m.now, fp), m.oracle[p].status(m.now, fp); got != want {
							t.Fatalf("process %d: request %d is %d, want %d", p, fp, got, want)
						}
					}
				}
			},
		})
	})
}

// TestIsolation guards against two suspects that run at once, work that
// starts beside one, and suspects lost from the queue.
func TestIsolation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := NewIsolation(4)
		var queue []Waiting
		var running *Waiting
		batch := rapid.IntRange(0, 2).Draw(t, "batch")
		next := uint32(0)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				next++
				w := Waiting{Fingerprint: fp, Send: api.SendID{Request: "r", Attempt: next}}
				if f := i.Add(w); (f == nil) != (len(queue) < 4) {
					t.Fatalf("%d wait, failure %v", len(queue), f)
				} else if f == nil {
					queue = append(queue, w)
				}
			},
			"cancel": func(*rapid.T) {
				if len(queue) > 0 {
					i.Remove(queue[0].Send)
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
				i.Ended(api.SendID{Request: "foreign"})
				if running != nil {
					i.Ended(running.Send)
					running = nil
				}
			},
			"batch ends": func(*rapid.T) { batch = max(batch-1, 0) },
			"": func(t *rapid.T) {
				_, runs := i.Running()
				if runs != (running != nil) || i.Holding() != (running != nil || len(queue) > 0) {
					t.Fatalf("holding %v, running %v", i.Holding(), runs)
				}
			},
		})
	})
}

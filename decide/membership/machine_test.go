package membership

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/api"
)

// sentWord is a digest on its way, with what the oracle knows of it.
type sentWord struct {
	digest api.PeerDigest
	life   int
}

// world is the platform, two processes that talk, and a network that rapid
// controls. Process "cut" never reads the list; "reader" does.
type world struct {
	t      *rapid.T
	now    time.Duration
	reader *State
	cut    *State
	// leaving is the oracle: whether the platform says that v leaves.
	leaving bool
	// readLeaving is whether the reader saw that in its last read.
	readLeaving bool
	everLeft    bool
	life        int
	seq         uint64
	// heard is the life that was heard last, ended when others were replaced.
	heard    int
	heardSeq uint64
	ended    map[int]time.Duration
	net      []sentWord
}

func (w *world) list() []api.VM {
	state := api.VMLive
	if w.leaving {
		state = api.VMLeaving
	}
	return []api.VM{vm("cut", api.VMLive), vm("reader", api.VMLive), vm("v", state)}
}

func (w *world) read() {
	w.reader.List(w.now, w.list())
	w.readLeaving, w.everLeft = w.leaving, w.everLeft || w.leaving
}

func (w *world) send() {
	w.seq++
	d := digest("reader", api.Incarnation(100+w.life), w.seq, w.reader.Sightings(w.now)...)
	w.net = append(w.net, sentWord{digest: d, life: w.life})
}

// deliver hands over a message and checks the verdict: an oracle that knows
// the lives says whether it is late.
func (w *world) deliver(m sentWord) {
	at, replaced := w.ended[m.life]
	late := replaced && w.now-at < RetiredHold || m.life == w.heard && m.digest.Seq <= w.heardSeq
	got := w.cut.Learn(w.now, m.digest, false)
	if late != (got == api.DigestReplayed) {
		w.t.Fatalf("message of life %d, sequence %d, late %t: verdict %d", m.life, m.digest.Seq, late, got)
	}
	if !late {
		w.taken(m)
	}
}

// call lets the process that is cut off from the list call the reader: the
// answer comes from the life that runs now and must be taken, whatever late
// messages came before.
func (w *world) call() {
	m := sentWord{digest: digest("reader", api.Incarnation(100+w.life), 0, w.reader.Sightings(w.now)...), life: w.life}
	if got := w.cut.Learn(w.now, m.digest, true); got != api.DigestTaken {
		w.t.Fatalf("answer of life %d: verdict %d", m.life, got)
	}
	w.taken(m)
}

func (w *world) taken(m sentWord) {
	delete(w.ended, m.life)
	if m.life != w.heard {
		w.ended[w.heard] = w.now
		w.heard, w.heardSeq = m.life, 0
	}
	w.heardSeq = max(w.heardSeq, m.digest.Seq)
	if w.fresh(m) && !slices.Contains(w.cut.Leaving(w.now), "v") {
		w.t.Fatal("the word that v leaves was not taken")
	}
}

func (w *world) fresh(m sentWord) bool {
	return slices.ContainsFunc(m.digest.Sightings, func(s api.Sighting) bool {
		return s.VM == "v" && s.Leaving && s.Age < LeavingHold
	})
}

func (w *world) pick() sentWord {
	return w.net[rapid.IntRange(0, len(w.net)-1).Draw(w.t, "message")]
}

func (w *world) take() sentWord {
	at := rapid.IntRange(0, len(w.net)-1).Draw(w.t, "message")
	m := w.net[at]
	w.net = slices.Delete(w.net, at, at+1)
	return m
}

func (w *world) check(t *rapid.T) {
	if w.readLeaving && !slices.Contains(w.reader.Leaving(w.now), "v") {
		t.Fatal("the list says that v leaves and its reader does not know")
	}
	for _, s := range []*State{w.reader, w.cut} {
		if got := s.Leaving(w.now); len(got) > 0 && (!w.everLeft || !slices.Equal(got, []string{"v"})) {
			t.Fatalf("%v leaves, which the platform never said", got)
		}
	}
}

// Guards against late messages of an ended incarnation, repeated messages, and
// leaving states that the platform never published, under loss, duplication,
// delay, restart, pause and partition.
func TestMembershipMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, life: 1, reader: New("reader"), cut: New("cut"), ended: map[int]time.Duration{}}
		whenSent := func(f func()) func(*rapid.T) {
			return func(*rapid.T) {
				if len(w.net) > 0 {
					f()
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"read":      func(*rapid.T) { w.read() },
			"leave":     func(*rapid.T) { w.leaving = true },
			"stay":      func(*rapid.T) { w.leaving = false },
			"send":      func(*rapid.T) { w.send() },
			"send2":     func(*rapid.T) { w.send() },
			"deliver":   whenSent(func() { w.deliver(w.take()) }),
			"deliver2":  whenSent(func() { w.deliver(w.take()) }),
			"duplicate": whenSent(func() { w.deliver(w.pick()) }),
			"lose":      whenSent(func() { w.take() }),
			"pass":      func(*rapid.T) { w.now += 500 * time.Millisecond },
			"call":      func(*rapid.T) { w.call() },
			"restart": func(*rapid.T) {
				if w.life < RetiredKept {
					w.life, w.seq, w.readLeaving = w.life+1, 0, false
					w.reader = New("reader")
				}
			},
			"pause": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second
			},
			// A partition loses whatever is under way.
			"partition": func(*rapid.T) { w.net = nil },
			"":          w.check,
		})
	})
}

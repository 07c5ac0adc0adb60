package membership

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberryfork/mulberryfork/api"
)

// sentDigest is a digest in flight and the incarnation of its sender.
type sentDigest struct {
	digest      api.PeerDigest
	incarnation int
}

// simulation is the platform, two processes that exchange digests, and a
// network controlled by rapid. The reader reads the list; the isolated
// process, named "cut", never does.
type simulation struct {
	t        *rapid.T
	now      time.Duration
	reader   *State
	isolated *State
	// leaving is the oracle: whether VM v is leaving.
	leaving bool
	// readLeaving is whether the reader's last read listed v as leaving.
	readLeaving bool
	everLeaving bool
	incarnation int
	seq         uint64
	// lastIncarnation is the reader's incarnation in the digest accepted last,
	// lastSeq the highest sequence number accepted from it, and replacedAt when
	// each earlier incarnation was replaced.
	lastIncarnation int
	lastSeq         uint64
	replacedAt      map[int]time.Duration
	inFlight        []sentDigest
}

func (w *simulation) list() []api.VM {
	state := api.VMLive
	if w.leaving {
		state = api.VMLeaving
	}
	return []api.VM{vm("cut", api.VMLive), vm("reader", api.VMLive), vm("v", state)}
}

func (w *simulation) read() {
	w.reader.ApplyList(w.now, w.list())
	w.readLeaving, w.everLeaving = w.leaving, w.everLeaving || w.leaving
}

func (w *simulation) send() {
	w.seq++
	d := digest("reader", api.Incarnation(100+w.incarnation), w.seq, w.reader.Sightings(w.now)...)
	w.inFlight = append(w.inFlight, sentDigest{digest: d, incarnation: w.incarnation})
}

// deliver delivers a message and compares the verdict with the oracle's.
func (w *simulation) deliver(m sentDigest) {
	at, replaced := w.replacedAt[m.incarnation]
	late := replaced && w.now-at < RetiredTTL || m.incarnation == w.lastIncarnation && m.digest.Seq <= w.lastSeq
	got := w.isolated.ApplyDigest(w.now, m.digest, false)
	if late != (got == api.DigestReplayed) {
		w.t.Fatalf("message of incarnation %d, sequence %d, late %t: verdict %d", m.incarnation, m.digest.Seq, late, got)
	}
	if !late {
		w.recordTaken(m)
	}
}

// callDirect makes the isolated process call the reader. The response comes
// from the running incarnation and must be accepted, whatever late messages
// came before.
func (w *simulation) callDirect() {
	m := sentDigest{digest: digest("reader", api.Incarnation(100+w.incarnation), 0, w.reader.Sightings(w.now)...), incarnation: w.incarnation}
	if got := w.isolated.ApplyDigest(w.now, m.digest, true); got != api.DigestAccepted {
		w.t.Fatalf("response of incarnation %d: verdict %d", m.incarnation, got)
	}
	w.recordTaken(m)
}

func (w *simulation) recordTaken(m sentDigest) {
	delete(w.replacedAt, m.incarnation)
	if m.incarnation != w.lastIncarnation {
		w.replacedAt[w.lastIncarnation] = w.now
		w.lastIncarnation, w.lastSeq = m.incarnation, 0
	}
	w.lastSeq = max(w.lastSeq, m.digest.Seq)
	if w.reportsLeaving(m) && !slices.Contains(w.isolated.Leaving(w.now), "v") {
		w.t.Fatal("the report that v is leaving was not applied")
	}
}

func (w *simulation) reportsLeaving(m sentDigest) bool {
	return slices.ContainsFunc(m.digest.Observations, func(s api.Observation) bool {
		return s.VM == "v" && s.Leaving && s.Age < LeavingTTL
	})
}

func (w *simulation) pickRandom() sentDigest {
	return w.inFlight[rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "message")]
}

func (w *simulation) takeRandom() sentDigest {
	at := rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "message")
	m := w.inFlight[at]
	w.inFlight = slices.Delete(w.inFlight, at, at+1)
	return m
}

func (w *simulation) check(t *rapid.T) {
	if w.readLeaving && !slices.Contains(w.reader.Leaving(w.now), "v") {
		t.Fatal("the list has v as leaving, but its reader does not")
	}
	for _, s := range []*State{w.reader, w.isolated} {
		if got := s.Leaving(w.now); len(got) > 0 && (!w.everLeaving || !slices.Equal(got, []string{"v"})) {
			t.Fatalf("%v is leaving, which the platform never listed", got)
		}
	}
}

// Guards against accepting late messages of a replaced incarnation or repeated
// messages, and against leaving states that the platform never published,
// under loss, duplication, delay, restart, pause and partition.
func TestMembershipMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, incarnation: 1, reader: New("reader"), isolated: New("cut"), replacedAt: map[int]time.Duration{}}
		whenSent := func(f func()) func(*rapid.T) {
			return func(*rapid.T) {
				if len(w.inFlight) > 0 {
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
			"deliver":   whenSent(func() { w.deliver(w.takeRandom()) }),
			"deliver2":  whenSent(func() { w.deliver(w.takeRandom()) }),
			"duplicate": whenSent(func() { w.deliver(w.pickRandom()) }),
			"lose":      whenSent(func() { w.takeRandom() }),
			"pass":      func(*rapid.T) { w.now += 500 * time.Millisecond },
			"call":      func(*rapid.T) { w.callDirect() },
			"restart": func(*rapid.T) {
				if w.incarnation < MaxRetired {
					w.incarnation, w.seq, w.readLeaving = w.incarnation+1, 0, false
					w.reader = New("reader")
				}
			},
			"pause": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second
			},
			// A partition loses all messages in flight.
			"partition": func(*rapid.T) { w.inFlight = nil },
			"":          w.check,
		})
	})
}

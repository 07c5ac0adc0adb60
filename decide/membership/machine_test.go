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

func (sim *simulation) list() []api.VM {
	state := api.VMLive
	if sim.leaving {
		state = api.VMLeaving
	}
	return []api.VM{vm("cut", api.VMLive), vm("reader", api.VMLive), vm("v", state)}
}

func (sim *simulation) read() {
	sim.reader.ApplyList(sim.now, sim.list())
	sim.readLeaving, sim.everLeaving = sim.leaving, sim.everLeaving || sim.leaving
}

func (sim *simulation) send() {
	sim.seq++
	d := digest("reader", api.Incarnation(100+sim.incarnation), sim.seq, sim.reader.Observations(sim.now)...)
	sim.inFlight = append(sim.inFlight, sentDigest{digest: d, incarnation: sim.incarnation})
}

// deliver delivers a message and compares the decision with the oracle's.
func (sim *simulation) deliver(m sentDigest) {
	at, replaced := sim.replacedAt[m.incarnation]
	late := replaced && sim.now-at < RetiredTTL || m.incarnation == sim.lastIncarnation && m.digest.Seq <= sim.lastSeq
	got := sim.isolated.ApplyDigest(sim.now, m.digest, false)
	if late != (got == api.DigestReplayed) {
		sim.t.Fatalf("message of incarnation %d, sequence %d, late %t: decision %d", m.incarnation, m.digest.Seq, late, got)
	}
	if !late {
		sim.recordAccepted(m)
	}
}

// callDirect makes the isolated process call the reader. The response comes
// from the running incarnation and must be accepted, whatever late messages
// came before.
func (sim *simulation) callDirect() {
	m := sentDigest{digest: digest("reader", api.Incarnation(100+sim.incarnation), 0, sim.reader.Observations(sim.now)...), incarnation: sim.incarnation}
	if got := sim.isolated.ApplyDigest(sim.now, m.digest, true); got != api.DigestAccepted {
		sim.t.Fatalf("response of incarnation %d: decision %d", m.incarnation, got)
	}
	sim.recordAccepted(m)
}

func (sim *simulation) recordAccepted(m sentDigest) {
	delete(sim.replacedAt, m.incarnation)
	if m.incarnation != sim.lastIncarnation {
		sim.replacedAt[sim.lastIncarnation] = sim.now
		sim.lastIncarnation, sim.lastSeq = m.incarnation, 0
	}
	sim.lastSeq = max(sim.lastSeq, m.digest.Seq)
	if sim.reportsLeaving(m) && !slices.Contains(sim.isolated.Leaving(sim.now), "v") {
		sim.t.Fatal("the report that v is leaving was not applied")
	}
}

func (sim *simulation) reportsLeaving(m sentDigest) bool {
	return slices.ContainsFunc(m.digest.Observations, func(s api.Observation) bool {
		return s.VM == "v" && s.Leaving && s.Age < LeavingTTL
	})
}

func (sim *simulation) pickRandom() sentDigest {
	return sim.inFlight[rapid.IntRange(0, len(sim.inFlight)-1).Draw(sim.t, "message")]
}

func (sim *simulation) takeRandom() sentDigest {
	at := rapid.IntRange(0, len(sim.inFlight)-1).Draw(sim.t, "message")
	m := sim.inFlight[at]
	sim.inFlight = slices.Delete(sim.inFlight, at, at+1)
	return m
}

func (sim *simulation) check(t *rapid.T) {
	if sim.readLeaving && !slices.Contains(sim.reader.Leaving(sim.now), "v") {
		t.Fatal("the list reports v as leaving, but the reader does not")
	}
	for _, s := range []*State{sim.reader, sim.isolated} {
		if got := s.Leaving(sim.now); len(got) > 0 && (!sim.everLeaving || !slices.Equal(got, []string{"v"})) {
			t.Fatalf("%v is leaving, which the platform never listed", got)
		}
	}
}

// Guards against accepting late messages of a replaced incarnation or repeated
// messages, and against leaving states that the platform never published,
// under loss, duplication, delay, restart, pause and partition.
func TestMembershipMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, incarnation: 1, reader: New("reader"), isolated: New("cut"), replacedAt: map[int]time.Duration{}}
		whenSent := func(f func()) func(*rapid.T) {
			return func(*rapid.T) {
				if len(sim.inFlight) > 0 {
					f()
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"read":      func(*rapid.T) { sim.read() },
			"leave":     func(*rapid.T) { sim.leaving = true },
			"stay":      func(*rapid.T) { sim.leaving = false },
			"send":      func(*rapid.T) { sim.send() },
			"send2":     func(*rapid.T) { sim.send() },
			"deliver":   whenSent(func() { sim.deliver(sim.takeRandom()) }),
			"deliver2":  whenSent(func() { sim.deliver(sim.takeRandom()) }),
			"duplicate": whenSent(func() { sim.deliver(sim.pickRandom()) }),
			"lose":      whenSent(func() { sim.takeRandom() }),
			"pass":      func(*rapid.T) { sim.now += 500 * time.Millisecond },
			"call":      func(*rapid.T) { sim.callDirect() },
			"restart": func(*rapid.T) {
				if sim.incarnation < MaxRetired {
					sim.incarnation, sim.seq, sim.readLeaving = sim.incarnation+1, 0, false
					sim.reader = New("reader")
				}
			},
			"pause": func(t *rapid.T) {
				sim.now += time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second
			},
			// A partition loses all messages in flight.
			"partition": func(*rapid.T) { sim.inFlight = nil },
			"":          sim.check,
		})
	})
}

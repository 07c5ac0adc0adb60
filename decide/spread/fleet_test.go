package spread

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// message is a digest, a request for content, or the reply to either.
type message struct {
	from, to    string
	exchange    bool
	reply       bool
	v, base     Version
	incarnation int
}

// fleet runs real states over a network controlled by rapid.
type fleet struct {
	t            *rapid.T
	nodes        []Node
	state        map[string]*State
	incarnations map[string]int
	now          time.Duration
	// paused nodes get no events until they resume.
	paused      map[string]bool
	partitioned bool
	inFlight    []message
	// valid is the oracle: the validity of each published version.
	valid     map[Version]bool
	published []Version
	// highest is the highest version active on each node since its start.
	highest map[string]Version
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, state: map[string]*State{}, incarnations: map[string]int{}, now: time.Hour,
		paused: map[string]bool{}, valid: map[Version]bool{}, highest: map[string]Version{}}
	for i := range 6 {
		f.nodes = append(f.nodes, Node{Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i%2)})
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

func (f *fleet) start(n Node) {
	f.incarnations[n.Name]++
	f.highest[n.Name] = Version{}
	f.paused[n.Name] = false
	s := New(n, nil)
	f.state[n.Name] = s
	f.run(n.Name, s.Start(f.now))
	f.run(n.Name, s.SetMembers(f.now, f.nodes))
}

func (f *fleet) send(m message) {
	m.incarnation = f.incarnations[m.from]
	f.inFlight = append(f.inFlight, m)
}

// run executes actions and then checks the guarantees for the node.
func (f *fleet) run(name string, actions []Action) {
	s := f.state[name]
	for _, a := range actions {
		switch a := a.(type) {
		case Exchange:
			f.send(message{from: name, to: a.Peer, exchange: true, v: s.Accepted()})
		case Fetch:
			f.send(message{from: name, to: a.Peer, v: a.Want, base: a.Base})
		case Validate:
			f.run(name, s.Validated(f.now, a.Version, f.valid[a.Version]))
		}
	}
	f.check(name)
}

func (f *fleet) check(name string) {
	s := f.state[name]
	v := s.Accepted()
	if f.highest[name].Above(v) {
		f.t.Fatalf("%s reverted from %v to %v", name, f.highest[name], v)
	}
	f.highest[name] = v
	if !v.IsZero() && !f.valid[v] {
		f.t.Fatalf("%s has activated the invalid %v", name, v)
	}
	if s.Ready() && v.IsZero() {
		f.t.Fatalf("%s is ready without a configuration", name)
	}
}

func (f *fleet) crossesPartition(m message) bool {
	return f.partitioned && f.zone(m.from) != f.zone(m.to)
}

func (f *fleet) zone(name string) string { return f.nodes[name[1]-'0'].Zone }

// deliver delivers one message, or reports its failure to the sender.
func (f *fleet) deliver(m message, lose bool) {
	if f.paused[m.to] || f.crossesPartition(m) || lose {
		f.fail(m)
		return
	}
	to := f.state[m.to]
	switch {
	case m.exchange && !m.reply:
		f.run(m.to, to.PeerVersionReceived(f.now, m.from, m.v))
		f.send(message{from: m.to, to: m.from, exchange: true, reply: true, v: to.Accepted()})
	case m.exchange:
		f.run(m.to, to.PeerVersionReceived(f.now, m.from, m.v))
	case !m.reply:
		f.send(message{from: m.to, to: m.from, reply: true, v: to.Accepted()})
	default:
		f.run(m.to, to.Fetched(f.now, m.from, m.v, m.v.Digest))
	}
}

func (f *fleet) fail(m message) {
	if m.reply || f.paused[m.from] || m.incarnation != f.incarnations[m.from] {
		return
	}
	if m.exchange {
		f.run(m.from, f.state[m.from].ExchangeFailed(f.now, m.to))
		return
	}
	f.run(m.from, f.state[m.from].FetchFailed(f.now, m.to))
}

func (f *fleet) tick(d time.Duration) {
	f.now += d
	for _, n := range f.nodes {
		if !f.paused[n.Name] {
			f.run(n.Name, f.state[n.Name].Tick(f.now))
		}
	}
}

func (f *fleet) randomNode() string {
	return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(f.t, "node")].Name
}

// runWithoutFaults ends all faults and runs the fleet until it should
// converge.
func (f *fleet) runWithoutFaults() {
	f.partitioned = false
	clear(f.paused)
	for range 120 {
		f.tick(TickInterval)
		for range 6 {
			messages := f.inFlight
			f.inFlight = nil
			for _, m := range messages {
				f.deliver(m, false)
			}
		}
	}
}

func (f *fleet) commands() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"publish": func(t *rapid.T) {
			v := Version{uint64(len(f.published)/2 + 1), rapid.Uint64Range(1, 1000).Draw(t, "digest")}
			if _, published := f.valid[v]; !published {
				f.published = append(f.published, v)
				f.valid[v] = rapid.IntRange(0, 3).Draw(t, "verdict") > 0
			}
		},
		// A replica of any age responds, whether or not the node watches.
		"read": func(t *rapid.T) {
			n := f.randomNode()
			if len(f.published) > 0 && !f.paused[n] {
				v := rapid.SampledFrom(f.published).Draw(t, "version")
				f.run(n, f.state[n].Delivered(f.now, v))
			}
		},
		"deliver":   func(t *rapid.T) { f.deliverRandom(t, false, false) },
		"deliver2":  func(t *rapid.T) { f.deliverRandom(t, false, false) },
		"duplicate": func(t *rapid.T) { f.deliverRandom(t, false, true) },
		"lose":      func(t *rapid.T) { f.deliverRandom(t, true, false) },
		"tick":      func(*rapid.T) { f.tick(TickInterval) },
		"pause":     func(*rapid.T) { f.paused[f.randomNode()] = true },
		"resume":    func(*rapid.T) { f.paused[f.randomNode()] = false },
		"restart":   func(t *rapid.T) { f.start(f.nodes[rapid.IntRange(0, 5).Draw(t, "node")]) },
		"cut":       func(*rapid.T) { f.partitioned = !f.partitioned },
		"order":     func(t *rapid.T) { f.checkOrder(t) },
	}
}

func (f *fleet) deliverRandom(t *rapid.T, lose, keep bool) {
	if len(f.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message")
	m := f.inFlight[i]
	if !keep {
		f.inFlight = append(f.inFlight[:i:i], f.inFlight[i+1:]...)
	}
	f.deliver(m, lose)
}

// checkOrder checks that an agent never runs an order under a revision other
// than its own.
func (f *fleet) checkOrder(t *rapid.T) {
	n := f.randomNode()
	if f.paused[n] {
		return
	}
	s := f.state[n]
	revision := rapid.Uint64Range(0, 12).Draw(t, "revision")
	decision, actions := s.CheckOrder(f.now, f.now, f.nodes[0].Name, revision, false)
	f.run(n, actions)
	if decision == OrderRun && (!s.Ready() || revision != s.Accepted().Revision) {
		t.Fatalf("%s runs an order under %d, but %v is active", n, revision, s.Accepted())
	}
}

// Guards against processes that revert, activate invalid content, or have
// different active versions after all faults ended. Any of these violates
// guarantee P9.
func TestFleetNeverRevertsAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(f.commands())
		// Finally one watcher reads all versions; the others get them from peers.
		for _, v := range f.published {
			clear(f.paused)
			f.run("n0", f.state["n0"].Delivered(f.now, v))
		}
		f.runWithoutFaults()
		var best Version
		for v, ok := range f.valid {
			if ok && v.Above(best) {
				best = v
			}
		}
		for _, n := range f.nodes {
			if got := f.state[n.Name].Accepted(); got != best {
				t.Errorf("%s ends with %v, want %v", n.Name, got, best)
			}
			if f.state[n.Name].Ready() == best.IsZero() {
				t.Errorf("%s: ready %v, active version %v", n.Name, f.state[n.Name].Ready(), best)
			}
		}
	})
}

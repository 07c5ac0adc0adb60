package bench

import (
	"maps"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/spread"
)

// configPollInterval is the baseline's: every process reads the service.
const configPollInterval = 2 * time.Second

// configNode is one process: the real decision state and a model of the
// service around it.
type configNode struct {
	sim      *configSim
	node     spread.Node
	region   int
	state    *spread.State
	life     int
	up       bool
	paused   bool
	inbox    []func()
	watching bool
	watchID  int
	failures uint64
	// above is the highest revision read from the service in this life.
	above uint64
	// holds is the content that has arrived, filed under its computed digest.
	holds map[spread.Version]uint64

	// born is when the VM appeared, began when it started or resumed last.
	born     time.Duration
	began    time.Duration
	gone     bool
	ready    bool
	inForce  spread.Version
	promised spread.Version
	adopted  []adoption
	blocked  []interval
}

type adoption struct {
	at time.Duration
	v  spread.Version
}

type interval struct{ from, to time.Duration }

// do runs an event of the process, after the pause if it is paused, and not
// at all if the process has ended.
func (n *configNode) do(f func()) {
	life := n.life
	switch {
	case !n.up:
	case n.paused:
		n.inbox = append(n.inbox, func() {
			if n.life == life {
				f()
			}
		})
	default:
		f()
	}
}

func (n *configNode) start() {
	n.up, n.paused, n.ready = true, false, false
	n.life++
	n.watching, n.above, n.failures = false, 0, 0
	n.inForce, n.began = spread.Version{}, n.sim.tl.Now()
	n.holds = map[spread.Version]uint64{}
	n.inbox = nil
	if !n.sim.reachesService(n) {
		n.block(n.began, n.sim.cutUntil)
	}
	life := n.life
	if n.sim.plain {
		n.sim.tl.After(n.sim.part(configPollInterval), func() { n.poll(life) })
		return
	}
	n.state = spread.New(n.node, nil)
	n.run(n.state.Start(n.sim.tl.Now()))
	n.run(n.state.SetMembers(n.sim.tl.Now(), n.sim.list))
	n.sim.tl.After(n.sim.part(spread.TickInterval), func() { n.tick(life) })
}

func (n *configNode) tick(life int) {
	if n.life != life || !n.up {
		return
	}
	if !n.paused {
		n.run(n.state.Tick(n.sim.tl.Now()))
	}
	n.sim.tl.After(spread.TickInterval, func() { n.tick(life) })
}

// poll is the baseline: the process takes whatever validates.
func (n *configNode) poll(life int) {
	if n.life != life || !n.up {
		return
	}
	if !n.paused && n.sim.reachesService(n) {
		n.sim.service.read(func(v spread.Version, ok bool) {
			if p := n.sim.service.index[v]; n.life == life && ok && p != nil && p.valid && v != n.inForce {
				n.adopt(v, v.Digest)
				n.setReady(true)
			}
		})
	}
	n.sim.tl.After(configPollInterval, func() { n.poll(life) })
}

func (n *configNode) run(actions []spread.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case spread.Watch:
			n.watch(a.On)
		case spread.ReadSource:
			n.readSource()
		case spread.Exchange:
			n.sim.exchange(n, a.Peer)
		case spread.Fetch:
			n.sim.fetch(n, a)
		case spread.Validate:
			n.validate(a.Version)
		case spread.Adopt:
			n.adopt(a.Version, n.holds[a.Version])
			maps.DeleteFunc(n.holds, func(v spread.Version, _ uint64) bool { return a.Version.Above(v) })
		case spread.Readiness:
			n.setReady(a.Ready)
		}
	}
}

// adopt counts what must not happen: an older version after a newer one, and
// content that is invalid or not what its digest says.
func (n *configNode) adopt(v spread.Version, content uint64) {
	p := n.sim.service.index[v]
	if p == nil || !p.valid || content != v.Digest {
		n.sim.wrongAccepts++
	}
	if n.inForce.Above(v) {
		n.sim.reverts++
	}
	n.inForce = v
	n.adopted = append(n.adopted, adoption{n.sim.tl.Now(), v})
	if n.ready && v.Above(n.promised) {
		n.promised = v
	}
}

// setReady also counts a process that takes work again under an older version
// than before its restart.
func (n *configNode) setReady(ready bool) {
	if ready && !n.ready {
		if n.promised.Above(n.inForce) {
			n.sim.reverts++
		}
		n.promised = n.inForce
		n.sim.readyTimes = append(n.sim.readyTimes, (n.sim.tl.Now() - n.began).Seconds())
	}
	n.ready = ready
}

func (n *configNode) validate(v spread.Version) {
	p := n.sim.service.index[v]
	n.sim.tl.After(n.sim.validation, func() {
		n.do(func() { n.run(n.state.Validated(n.sim.tl.Now(), v, p != nil && p.valid)) })
	})
}

func (n *configNode) watch(on bool) {
	n.watching = on
	n.watchID++
	if on {
		n.callWatch(n.watchID)
	}
}

func (n *configNode) callWatch(id int) {
	life := n.life
	again := func(v spread.Version, ok bool) {
		if n.life != life {
			return
		}
		n.do(func() { n.watchEnded(id, v, ok) })
	}
	if n.sim.reachesService(n) {
		n.sim.service.watch(n.above, again)
		return
	}
	n.sim.tl.After(configCallTimeout, func() { again(spread.Version{}, false) })
}

func (n *configNode) watchEnded(id int, v spread.Version, ok bool) {
	if !n.watching || id != n.watchID {
		return
	}
	if !ok {
		n.failures++
		n.sim.tl.After(spread.RetryDelay(n.node.Name, n.failures), func() {
			n.do(func() {
				if n.watching && id == n.watchID {
					n.callWatch(id)
				}
			})
		})
		return
	}
	n.failures = 0
	n.delivered(v)
	n.callWatch(id)
}

func (n *configNode) readSource() {
	if !n.sim.reachesService(n) {
		return
	}
	life := n.life
	n.sim.service.read(func(v spread.Version, ok bool) {
		if n.life == life && ok {
			n.do(func() { n.delivered(v) })
		}
	})
}

func (n *configNode) delivered(v spread.Version) {
	if v.IsZero() {
		return
	}
	n.above = max(n.above, v.Revision)
	n.holds[v] = v.Digest
	n.run(n.state.Delivered(n.sim.tl.Now(), v))
}

package bench

import (
	"maps"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/spread"
)

// configPollInterval is the interval at which every process of the baseline reads
// the service.
const configPollInterval = 2 * time.Second

// configNode is one process: the tested decision state, and a model of the code
// that executes its actions.
type configNode struct {
	sim          *configSim
	identity     spread.Node
	region       int
	state        *spread.State
	generation   int
	up           bool
	paused       bool
	pausedEvents []func()
	watching     bool
	watchID      int
	// failures counts consecutive failed watch calls.
	failures uint64
	// maxReadRevision is the highest revision read from the service since the process
	// started.
	maxReadRevision uint64
	// contents holds the computed digests of the received configurations.
	contents map[spread.Version]uint64

	// createdAt is the creation time of the VM, startedAt the last start or resume of
	// the process.
	createdAt time.Duration
	startedAt time.Duration
	removed   bool
	ready     bool
	active    spread.Version
	// readyVersion is the highest version that was active since the process last
	// became ready. It survives restarts.
	readyVersion   spread.Version
	adoptions      []adoption
	blockedPeriods []interval
}

type adoption struct {
	at      time.Duration
	version spread.Version
}

type interval struct{ from, to time.Duration }

// dispatch runs an event of the process. It delays the event to the end of a pause
// and drops it if the process has ended.
func (n *configNode) dispatch(f func()) {
	generation := n.generation
	switch {
	case !n.up:
	case n.paused:
		n.pausedEvents = append(n.pausedEvents, func() {
			if n.generation == generation {
				f()
			}
		})
	default:
		f()
	}
}

func (n *configNode) start() {
	n.up, n.paused, n.ready = true, false, false
	n.generation++
	n.watching, n.maxReadRevision, n.failures = false, 0, 0
	n.active, n.startedAt = spread.Version{}, n.sim.events.Now()
	n.contents = map[spread.Version]uint64{}
	n.pausedEvents = nil
	if !n.sim.reachesService(n) {
		n.recordBlocked(n.startedAt, n.sim.partitionUntil)
	}
	generation := n.generation
	if n.sim.baseline {
		n.sim.events.After(n.sim.randomBelow(configPollInterval), func() { n.poll(generation) })
		return
	}
	n.state = spread.New(n.identity, nil)
	n.execute(n.state.Start(n.sim.events.Now()))
	n.execute(n.state.SetMembers(n.sim.events.Now(), n.sim.members))
	n.sim.events.After(n.sim.randomBelow(spread.TickInterval), func() { n.tick(generation) })
}

func (n *configNode) tick(generation int) {
	if n.generation != generation || !n.up {
		return
	}
	if !n.paused {
		n.execute(n.state.Tick(n.sim.events.Now()))
	}
	n.sim.events.After(spread.TickInterval, func() { n.tick(generation) })
}

// poll is the baseline: the process reads the service periodically and adopts every
// valid version, even an older one.
func (n *configNode) poll(generation int) {
	if n.generation != generation || !n.up {
		return
	}
	if !n.paused && n.sim.reachesService(n) {
		n.sim.service.read(func(v spread.Version, ok bool) {
			if p := n.sim.service.byVersion[v]; n.generation == generation && ok && p != nil && p.valid && v != n.active {
				n.adopt(v, v.Digest)
				n.setReady(true)
			}
		})
	}
	n.sim.events.After(configPollInterval, func() { n.poll(generation) })
}

func (n *configNode) execute(actions []spread.Action) {
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
			n.startValidation(a.Version)
		case spread.Adopt:
			n.adopt(a.Version, n.contents[a.Version])
			maps.DeleteFunc(n.contents, func(v spread.Version, _ uint64) bool { return a.Version.Above(v) })
		case spread.Readiness:
			n.setReady(a.Ready)
		}
	}
}

// adopt activates a version and records its adoption. It counts a revert if the
// version is older than the active one, and a wrong accept if the content is invalid
// or does not match its digest.
func (n *configNode) adopt(v spread.Version, content uint64) {
	p := n.sim.service.byVersion[v]
	if p == nil || !p.valid || content != v.Digest {
		n.sim.wrongAccepts++
	}
	if n.active.Above(v) {
		n.sim.reverts++
	}
	n.active = v
	n.adoptions = append(n.adoptions, adoption{n.sim.events.Now(), v})
	if n.ready && v.Above(n.readyVersion) {
		n.readyVersion = v
	}
}

// setReady sets the readiness. It counts a revert if a restarted process becomes
// ready with an older version than before.
func (n *configNode) setReady(ready bool) {
	if ready && !n.ready {
		if n.readyVersion.Above(n.active) {
			n.sim.reverts++
		}
		n.readyVersion = n.active
		n.sim.readyTimes = append(n.sim.readyTimes, (n.sim.events.Now() - n.startedAt).Seconds())
	}
	n.ready = ready
}

func (n *configNode) startValidation(v spread.Version) {
	p := n.sim.service.byVersion[v]
	n.sim.events.After(n.sim.validation, func() {
		n.dispatch(func() { n.execute(n.state.Validated(n.sim.events.Now(), v, p != nil && p.valid)) })
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
	generation := n.generation
	reply := func(v spread.Version, ok bool) {
		if n.generation != generation {
			return
		}
		n.dispatch(func() { n.watchEnded(id, v, ok) })
	}
	if n.sim.reachesService(n) {
		n.sim.service.watch(n.maxReadRevision, reply)
		return
	}
	n.sim.events.After(configCallTimeout, func() { reply(spread.Version{}, false) })
}

func (n *configNode) watchEnded(id int, v spread.Version, ok bool) {
	if !n.watching || id != n.watchID {
		return
	}
	if !ok {
		n.failures++
		n.sim.events.After(spread.RetryDelay(n.identity.Name, n.failures), func() {
			n.dispatch(func() {
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
	generation := n.generation
	n.sim.service.read(func(v spread.Version, ok bool) {
		if n.generation == generation && ok {
			n.dispatch(func() { n.delivered(v) })
		}
	})
}

func (n *configNode) delivered(v spread.Version) {
	if v.IsZero() {
		return
	}
	n.maxReadRevision = max(n.maxReadRevision, v.Revision)
	n.contents[v] = v.Digest
	n.execute(n.state.Delivered(n.sim.events.Now(), v))
}

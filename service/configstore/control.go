package configstore

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/spread"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// control is the state of the configuration that the control loop owns.
type control struct {
	service      *service
	state        *spread.State
	candidate    *candidate
	lastCounters spread.Counters
	sourceErr    error
	subscribers  []func(now time.Duration, s *api.Snapshot)
	// stopWatch stops the watch on the source, nil if there is none.
	stopWatch func()
	// firstConfirmed is closed once the process may take work for the first time.
	firstConfirmed chan struct{}
	everConfirmed  bool
	// confirmedAt is when the platform or a peer last reported the version that is
	// active here.
	confirmedAt time.Duration
	// ignored is the version of the source if it is below the active one, otherwise
	// zero.
	ignored  spread.Version
	started  bool
	stopping bool
}

// newState returns the initial state with the peers in the settings. Each is named
// by its address, as service/peers expects.
func newState(settings *api.Settings) *spread.State {
	peers := make([]spread.Node, 0, len(settings.Peers))
	for _, address := range settings.Peers {
		peers = append(peers, spread.Node{Name: address, Zone: settings.Zone})
	}
	return spread.New(spread.Node{Name: settings.Node, Zone: settings.Zone}, peers)
}

func (c *control) tick(now time.Duration) {
	if c.started {
		c.run(now, c.state.Tick(now))
	}
}

// UpdateMembers applies a membership list and adds the peers in the settings that
// are not on it.
func (s *service) UpdateMembers(now time.Duration, members []api.VM) {
	nodes := make([]spread.Node, 0, len(members)+len(s.settings.Peers))
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.Address] = true
		nodes = append(nodes, spread.Node{Name: m.Name, Zone: m.Zone, Leaving: m.State == api.VMLeaving})
	}
	for _, address := range s.settings.Peers {
		if !listed[address] {
			nodes = append(nodes, spread.Node{Name: address, Zone: s.settings.Zone})
		}
	}
	if s.control.started {
		s.control.run(now, s.control.state.SetMembers(now, nodes))
	}
}

// CheckOrder decides on an order by its configuration revision. It returns OrderHold
// until the service has started.
func (s *service) CheckOrder(now, received time.Duration, revision uint64, idempotent bool) api.OrderDecision {
	if !s.control.started {
		return api.OrderHold
	}
	decision, actions := s.control.state.CheckOrder(now, received, "", revision, idempotent)
	s.control.run(now, actions)
	return api.OrderDecision(decision)
}

// ConfirmedAt returns when the platform or a peer last reported the version that is
// active here.
func (s *service) ConfirmedAt() time.Duration { return s.control.confirmedAt }

// MayStart reports whether the configuration is known to be current, so that work
// may start.
func (s *service) MayStart(now time.Duration) bool {
	if !s.control.started {
		return false
	}
	ready, actions := s.control.state.MayStart(now)
	s.control.run(now, actions)
	return ready
}

func (c *control) resend(now time.Duration, call kernel.Call[api.StaleRefusal, api.ResendDecision]) {
	r := call.Query
	decision, actions := c.state.CheckResend(now, r.RefusedAt, c.upstreamVM(r.Upstream), r.OrderRevision, r.AgentRevision)
	c.run(now, actions)
	call.Reply(api.ResendDecision(decision))
}

// upstreamVM returns the VM of an upstream, which is the peer name of its agent, or
// an empty string if it is not known.
func (c *control) upstreamVM(upstream string) string {
	snap := c.service.Current()
	if snap == nil {
		return ""
	}
	return snap.Config.Upstreams[upstream].VM
}

// run executes actions. Blocking actions run in goroutines that post their results
// to the control loop.
func (c *control) run(now time.Duration, actions []spread.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case spread.Watch:
			c.setWatch(a.On)
		case spread.ReadSource:
			c.spawn(c.service.readSource)
		case spread.Exchange:
			c.spawn(func() { c.service.exchange(a.Peer) })
		case spread.Fetch:
			base := c.service.active.Load()
			c.spawn(func() { c.service.fetch(a, base) })
		case spread.Validate:
			if received := c.candidate; received != nil && received.version == a.Version {
				c.spawn(func() { c.service.validate(received) })
			}
		case spread.Adopt:
			c.adopt(now, a.Version)
		case spread.Reject:
			c.refuse()
		case spread.Readiness:
			c.setReadiness(a.Ready)
		}
	}
	c.updateMetrics()
}

// spawn runs f in a goroutine that Stop waits for. It does nothing after Stop.
func (c *control) spawn(f func()) {
	if c.stopping {
		return
	}
	c.service.tasks.Add(1)
	go func() {
		defer c.service.tasks.Done()
		f()
	}()
}

func (c *control) adopt(now time.Duration, v spread.Version) {
	s, snap := c.service, c.candidate.snapshot
	old := s.active.Load()
	next := &activeConfig{version: v, snapshot: snap}
	if old.snapshot != nil {
		next.previousVersion, next.previousFiles = old.version, old.snapshot.Files
	}
	if e := s.refused.Load(); e != nil && e.Revision <= v.Revision {
		s.refused.Store(nil)
	}
	s.active.Store(next)
	changed := make(chan struct{})
	close(*s.changed.Swap(&changed))
	s.counts.accepted.Add(1)
	s.log.Change("configuration activated", api.Fields{"revision": snap.Revision, "digest": digestText(v)})
	for _, f := range c.subscribers {
		f(now, snap)
	}
}

func (c *control) refuse() {
	s, refused := c.service, c.candidate
	s.counts.refused.Add(1)
	s.refused.Store(&RefusedError{Revision: refused.version.Revision, Errors: refused.failure})
	s.log.Change("configuration refused", api.Fields{"revision": refused.version.Revision, "error": refused.failure.Error()})
}

func (c *control) setReadiness(ready bool) {
	if !ready {
		c.service.confirmed.Store(&confirmation{done: make(chan struct{})})
		c.service.log.Change("configuration not confirmed as current", nil)
		return
	}
	old := c.service.confirmed.Swap(&confirmation{ready: true, done: make(chan struct{})})
	close(old.done)
	c.service.log.Change("configuration confirmed as current", nil)
	if !c.everConfirmed {
		c.everConfirmed = true
		close(c.firstConfirmed)
	}
}

// updateMetrics adds the changes of the state's counters since its last call to the
// metrics.
func (c *control) updateMetrics() {
	now, before := c.state.Counters(), c.lastCounters
	c.lastCounters = now
	c.service.counts.stale.Add(int64(now.Stale - before.Stale))
	c.service.counts.exchanges.Add(int64(now.Exchanges - before.Exchanges))
	c.service.counts.pauses.Add(int64(now.Pauses - before.Pauses))
	c.service.counts.mismatches.Add(int64(now.Mismatches - before.Mismatches))
}

func (c *control) recordSourceHealth(now time.Duration, err error) {
	if err == nil && c.ignored.IsZero() {
		// A watch that ends without a change confirms the active version.
		c.confirmedAt = now
	}
	s := c.service
	if err != nil {
		s.counts.sourceErrors.Add(1)
	}
	before := c.sourceErr
	c.sourceErr = err
	if (err == nil) == (before == nil) {
		return
	}
	if err != nil {
		s.log.Change("configuration source unreachable", api.Fields{"error": err.Error()})
		return
	}
	s.log.Change("configuration source reachable", nil)
}

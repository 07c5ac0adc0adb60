package configstore

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/spread"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// control is the state of the spread. The control loop owns it.
type control struct {
	service     *service
	state       *spread.State
	arrived     *arrival
	counted     spread.Counters
	sourceDown  error
	subscribers []func(now time.Duration, s *api.Snapshot)
	// stopWatch ends the watch on the source, nil while there is none.
	stopWatch func()
	// first is closed once the process may take work for the first time.
	first  chan struct{}
	opened bool
	// confirmedAt is when the platform or a peer last stated the version in force.
	confirmedAt time.Duration
	begun       bool
	halted      bool
}

// newState gives the peers of the settings the names by which the transport
// reaches them: their addresses.
func newState(settings *api.Settings) *spread.State {
	peers := make([]spread.Node, 0, len(settings.Peers))
	for _, address := range settings.Peers {
		peers = append(peers, spread.Node{Name: address, Zone: settings.Zone})
	}
	return spread.New(spread.Node{Name: settings.Node, Zone: settings.Zone}, peers)
}

func (c *control) tick(now time.Duration) {
	if c.begun {
		c.run(now, c.state.Tick(now))
	}
}

// UpdateMembers takes the membership list and adds the peers of the settings.
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
	if s.control.begun {
		s.control.run(now, s.control.state.SetMembers(now, nodes))
	}
}

// CheckOrder decides on an order by its revision.
func (s *service) CheckOrder(now, received time.Duration, revision uint64, idempotent bool) api.OrderDecision {
	if !s.control.begun {
		return api.OrderHold
	}
	verdict, actions := s.control.state.CheckOrder(now, received, "", revision, idempotent)
	s.control.run(now, actions)
	return api.OrderDecision(verdict)
}

// ConfirmedAt is when the platform or a peer last stated the version in force.
func (s *service) ConfirmedAt() time.Duration { return s.control.confirmedAt }

// MayStart is false while the configuration is not known to be current.
func (s *service) MayStart(now time.Duration) bool {
	if !s.control.begun {
		return false
	}
	ready, actions := s.control.state.MayStart(now)
	s.control.run(now, actions)
	return ready
}

func (c *control) resend(now time.Duration, call kernel.Call[api.StaleRefusal, api.ResendDecision]) {
	r := call.Query
	verdict, actions := c.state.CheckResend(now, r.RefusedAt, c.vm(r.Upstream), r.OrderRevision, r.AgentRevision)
	c.run(now, actions)
	call.Reply(api.ResendDecision(verdict))
}

// vm names the VM of an upstream's agent, by which peers reach it.
func (c *control) vm(upstream string) string {
	snap := c.service.Current()
	if snap == nil {
		return ""
	}
	return snap.Config.Upstreams[upstream].VM
}

// run carries out actions. What takes time goes to a goroutine, which posts
// the result.
func (c *control) run(now time.Duration, actions []spread.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case spread.Watch:
			c.watch(a.On)
		case spread.ReadSource:
			c.spawn(c.service.readSource)
		case spread.Exchange:
			c.spawn(func() { c.service.exchange(a.Peer) })
		case spread.Fetch:
			base := c.service.held.Load()
			c.spawn(func() { c.service.fetch(a, base) })
		case spread.Validate:
			if arrived := c.arrived; arrived != nil && arrived.version == a.Version {
				c.spawn(func() { c.service.validate(arrived) })
			}
		case spread.Adopt:
			c.adopt(now, a.Version)
		case spread.Reject:
			c.refuse()
		case spread.Readiness:
			c.readiness(a.Ready)
		}
	}
	c.count()
}

func (c *control) spawn(f func()) {
	if c.halted {
		return
	}
	c.service.running.Add(1)
	go func() {
		defer c.service.running.Done()
		f()
	}()
}

func (c *control) adopt(now time.Duration, v spread.Version) {
	s, snap := c.service, c.arrived.snapshot
	old := s.held.Load()
	next := &held{version: v, snapshot: snap}
	if old.snapshot != nil {
		next.before, next.previous = old.version, old.snapshot.Files
	}
	if e := s.refused.Load(); e != nil && e.Revision <= v.Revision {
		s.refused.Store(nil)
	}
	s.held.Store(next)
	changed := make(chan struct{})
	close(*s.changed.Swap(&changed))
	s.counts.accepted.Add(1)
	s.log.Change("configuration in force", api.Fields{"revision": snap.Revision})
	for _, f := range c.subscribers {
		f(now, snap)
	}
}

func (c *control) refuse() {
	s, a := c.service, c.arrived
	s.counts.refused.Add(1)
	s.refused.Store(&RefusedError{Revision: a.version.Revision, Errors: a.failure})
	s.log.Change("configuration refused", api.Fields{"revision": a.version.Revision, "error": a.failure.Error()})
}

func (c *control) readiness(ready bool) {
	if !ready {
		c.service.confirmed.Store(&confirmation{wait: make(chan struct{})})
		c.service.log.Change("configuration unconfirmed", nil)
		return
	}
	old := c.service.confirmed.Swap(&confirmation{ready: true, wait: make(chan struct{})})
	close(old.wait)
	c.service.log.Change("configuration confirmed", nil)
	if !c.opened {
		c.opened = true
		close(c.first)
	}
}

// count passes on what the decisions counted since the last time.
func (c *control) count() {
	now, before := c.state.Counters(), c.counted
	c.counted = now
	c.service.counts.older.Add(int64(now.Stale - before.Stale))
	c.service.counts.exchanges.Add(int64(now.Exchanges - before.Exchanges))
	c.service.counts.pauses.Add(int64(now.Pauses - before.Pauses))
	c.service.counts.mismatches.Add(int64(now.Mismatches - before.Mismatches))
}

func (c *control) noteHealth(now time.Duration, err error) {
	if err == nil {
		// A watch that ends without a change states the version in force.
		c.confirmedAt = now
	}
	s := c.service
	if err != nil {
		s.counts.sourceErrors.Add(1)
	}
	was := c.sourceDown
	c.sourceDown = err
	if (err == nil) == (was == nil) {
		return
	}
	if err != nil {
		s.log.Change("configuration source unreachable", api.Fields{"error": err.Error()})
		return
	}
	s.log.Change("configuration source reachable", nil)
}

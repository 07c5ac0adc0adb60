// Package discovery owns what a process knows of routes, members and upstreams
// on the control loop, and publishes it as immutable views.
package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/discovery"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	learnMailbox     = 64
	misplacedMailbox = 256
)

type service struct {
	clock      kernel.Clock
	loop       *kernel.Loop
	log        api.Logger
	revocation time.Duration
	view       atomic.Pointer[api.View]
	asOf       atomic.Int64
	updates    *kernel.Mailbox[kernel.Call[api.DiscoveryUpdate, struct{}]]
	strays     *kernel.Mailbox[string]
	counts     counters

	// The control loop owns the fields below.
	state     *discovery.State
	followers []func(time.Duration, *api.View)
	reached   bool
}

type counters struct{ updates, malformed, older, lost api.Counter }

func (s *service) Provision(c *kernel.Context) error {
	settings, err := kernel.Value[*api.Settings](c)
	if err != nil {
		return err
	}
	if s.log, err = kernel.Lookup[api.Logger](c, api.ServiceLog); err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.clock, s.loop = c.Clock(), c.Loop()
	s.revocation = time.Duration(settings.Edge.RevocationDeadline)
	s.state = discovery.New()
	s.view.Store(&api.View{})
	s.counts = counters{
		updates:   metrics.Counter("discovery_updates", ""),
		malformed: metrics.Counter("discovery_malformed", ""),
		older:     metrics.Counter("discovery_older", ""),
		lost:      metrics.Counter("discovery_lost", ""),
	}
	metrics.Gauge("discovery_age_ms", func() int64 { return (s.clock.Now() - s.AsOf()).Milliseconds() })
	metrics.Gauge("discovery_upstreams", func() int64 { return int64(len(s.View().Instances)) })
	s.updates = kernel.NewMailbox(s.loop, "discovery.learn", learnMailbox, kernel.Wait, s.learn)
	s.strays = kernel.NewMailbox(s.loop, "discovery.misplaced", misplacedMailbox, kernel.Drop,
		func(now time.Duration, id string) { s.apply(now, s.state.MarkMisplaced(id)) })
	return nil
}

// View returns the view in force.
func (s *service) View() *api.View { return s.view.Load() }

// AsOf returns the time at which the view was known to be current.
func (s *service) AsOf() time.Duration { return time.Duration(s.asOf.Load()) }

// Subscribe adds a follower of the view.
func (s *service) Subscribe(f func(time.Duration, *api.View)) { s.followers = append(s.followers, f) }

// Apply takes news and waits until they are in force, so that a reader of the
// store never runs ahead of what the process believes.
func (s *service) Apply(u api.DiscoveryUpdate) {
	_, _ = kernel.Ask(context.Background(), s.updates, u)
}

// ReportAddressReuse takes an upstream out that is not at its address.
func (s *service) ReportAddressReuse(id string) { _ = s.strays.Post(context.Background(), id) }

// NoViewError reports a process that has not read the store yet.
type NoViewError struct{}

func (*NoViewError) Error() string { return "the platform's store was not read yet" }

// StaleViewError reports a process whose knowledge is too old to accept keys.
type StaleViewError struct{ Age time.Duration }

func (e *StaleViewError) Error() string {
	return "the platform's store was not reached for " + e.Age.Round(time.Millisecond).String()
}

// Ready returns nil while requests can be accepted.
func (s *service) Ready() error {
	if s.View().Table == nil {
		return &NoViewError{}
	}
	now := s.clock.Now()
	if !discovery.KeysTrusted(now, s.AsOf(), s.revocation) {
		return &StaleViewError{Age: now - s.AsOf()}
	}
	return nil
}

func (s *service) learn(now time.Duration, c kernel.Call[api.DiscoveryUpdate, struct{}]) {
	defer c.Reply(struct{}{})
	u := c.Query
	s.noteReach(now, u)
	s.apply(now, s.state.Apply(now, u))
	s.asOf.Store(int64(s.state.AsOf()))
}

// noteReach logs the loss and the return of the store.
func (s *service) noteReach(now time.Duration, u api.DiscoveryUpdate) {
	if u.Err != nil {
		s.counts.lost.Add(1)
	}
	if s.reached == (u.Err == nil) {
		return
	}
	s.reached = u.Err == nil
	age := (now - s.state.AsOf()).Milliseconds()
	if s.reached {
		s.log.Change("store reached", api.Fields{"view_age_ms": age, "full": u.Full})
		return
	}
	s.log.Change("store lost", api.Fields{"view_age_ms": age, "error": u.Err.Error()})
}

func (s *service) apply(now time.Duration, c discovery.Change) {
	s.counts.older.Add(int64(c.StaleTables))
	for _, item := range c.Malformed {
		s.counts.malformed.Add(1)
		s.log.Change("entry ignored", api.Fields{"key": item.Key, "revision": item.Revision, "error": item.Malformed.Error()})
	}
	if c.Recheck > 0 {
		s.loop.After(c.Recheck-now, func(now time.Duration) { s.apply(now, s.state.Tick(now)) })
	}
	if c.View == nil {
		return
	}
	s.counts.updates.Add(1)
	s.logView(c)
	s.view.Store(c.View)
	for _, f := range s.followers {
		f(now, c.View)
	}
}

func (s *service) logView(c discovery.Change) {
	before := s.View()
	fields := api.Fields{"changed": c.View.ChangeCount, "upstreams": len(c.View.Instances), "zones_out": len(c.View.ZonesOut)}
	if len(c.Dropped) > 0 {
		fields["dropped"] = c.Dropped
	}
	if t := c.View.Table; t != nil {
		fields["config"] = t.Version
		if before.Table == nil || before.Table.Version != t.Version {
			fields["config_new"] = true
		}
	}
	for id, in := range c.View.Instances {
		if was, ok := before.Instances[id]; in.Leaving && ok && !was.Leaving {
			fields["leaving"] = id
		}
	}
	s.log.Change("view changed", fields)
}

// Package discovery holds the routes, members and upstreams read from the platform's
// store, and publishes them as immutable views.
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
	updateMailboxSize       = 64
	addressReuseMailboxSize = 256
)

type service struct {
	clock              kernel.Clock
	loop               *kernel.Loop
	log                api.Logger
	revocationDeadline time.Duration
	view               atomic.Pointer[api.View]
	asOf               atomic.Int64
	updates            *kernel.Mailbox[kernel.Call[api.DiscoveryUpdate, struct{}]]
	addressReuses      *kernel.Mailbox[string]
	counts             counters

	// The control loop owns the fields below.
	state          *discovery.State
	subscribers    []func(time.Duration, *api.View)
	storeReachable bool
}

type counters struct{ viewChanges, malformedEntries, staleTables, readErrors api.Counter }

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
	s.revocationDeadline = time.Duration(settings.Edge.RevocationDeadline)
	s.state = discovery.New(discovery.Bounds{
		Heartbeat:    time.Duration(settings.Edge.Heartbeat),
		DrainTimeout: time.Duration(settings.Edge.DrainTimeout),
		PollInterval: time.Duration(settings.Edge.PollInterval),
	})
	s.view.Store(&api.View{})
	s.counts = counters{
		viewChanges:      metrics.Counter("discovery_updates", ""),
		malformedEntries: metrics.Counter("discovery_malformed", ""),
		staleTables:      metrics.Counter("discovery_older", ""),
		readErrors:       metrics.Counter("discovery_lost", ""),
	}
	metrics.Gauge("discovery_age_ms", func() int64 { return (s.clock.Now() - s.AsOf()).Milliseconds() })
	metrics.Gauge("discovery_config_version", func() int64 {
		if t := s.View().Table; t != nil {
			return int64(t.Version)
		}
		return 0
	})
	metrics.Gauge("discovery_config_era", func() int64 { return int64(s.View().TableSource.Era) })
	metrics.Gauge("discovery_config_revision", func() int64 { return int64(s.View().TableSource.Revision) })
	metrics.Gauge("discovery_upstreams", func() int64 { return int64(len(s.View().Instances)) })
	s.updates = kernel.NewMailbox(s.loop, "discovery.learn", updateMailboxSize, kernel.Wait, s.handleUpdate)
	s.addressReuses = kernel.NewMailbox(s.loop, "discovery.misplaced", addressReuseMailboxSize, kernel.Drop,
		func(now time.Duration, id string) { s.handleChange(now, s.state.MarkAddressReassigned(now, id)) })
	return nil
}

// View returns the current view.
func (s *service) View() *api.View { return s.view.Load() }

// AsOf returns the last time, on the process clock, at which the view was known to
// be current.
func (s *service) AsOf() time.Duration { return time.Duration(s.asOf.Load()) }

// Subscribe adds a function that is called on the control loop with each new view.
func (s *service) Subscribe(f func(time.Duration, *api.View)) {
	s.subscribers = append(s.subscribers, f)
}

// Apply applies an update and waits until the view contains it, so that the reader
// of the store is never ahead of the view.
func (s *service) Apply(u api.DiscoveryUpdate) {
	_, _ = kernel.Ask(context.Background(), s.updates, u)
}

// ReportAddressReuse excludes an upstream whose address now belongs to another one,
// until its entry in the store changes.
func (s *service) ReportAddressReuse(id string) { _ = s.addressReuses.Post(context.Background(), id) }

// NoViewError reports that the platform's store has not been read yet.
type NoViewError struct{}

func (*NoViewError) Error() string { return "the platform's store has not been read yet" }

// StaleViewError reports a view that is so old that its API keys may have been
// revoked.
type StaleViewError struct{ Age time.Duration }

func (e *StaleViewError) Error() string {
	return "the platform's store has been unreachable for " + e.Age.Round(time.Millisecond).String()
}

// Ready returns nil while requests can be accepted, otherwise a NoViewError or a
// StaleViewError.
func (s *service) Ready() error {
	if s.View().Table == nil {
		return &NoViewError{}
	}
	now := s.clock.Now()
	if !discovery.KeysTrusted(now, s.AsOf(), s.revocationDeadline) {
		return &StaleViewError{Age: now - s.AsOf()}
	}
	return nil
}

func (s *service) handleUpdate(now time.Duration, c kernel.Call[api.DiscoveryUpdate, struct{}]) {
	defer c.Reply(struct{}{})
	u := c.Query
	s.recordReachability(now, u)
	s.handleChange(now, s.state.Apply(now, u))
	s.asOf.Store(int64(s.state.AsOf()))
}

// recordReachability counts failed reads and logs when the store becomes
// unreachable or reachable.
func (s *service) recordReachability(now time.Duration, u api.DiscoveryUpdate) {
	if u.Err != nil {
		s.counts.readErrors.Add(1)
	}
	if s.storeReachable == (u.Err == nil) {
		return
	}
	s.storeReachable = u.Err == nil
	age := (now - s.state.AsOf()).Milliseconds()
	if s.storeReachable {
		s.log.Change("platform store reachable", api.Fields{"view_age_ms": age, "full": u.Full})
		return
	}
	s.log.Change("platform store unreachable", api.Fields{"view_age_ms": age, "error": u.Err.Error()})
}

// handleChange counts and logs a change, publishes its view and schedules the next
// recheck of the state.
func (s *service) handleChange(now time.Duration, c discovery.Change) {
	for _, ignored := range c.IgnoredConfigs {
		s.counts.staleTables.Add(1)
		s.log.Change("older configuration ignored", s.withActiveConfig(api.Fields{
			"ignored": ignored.Version, "ignored_era": ignored.Source.Era, "ignored_revision": ignored.Source.Revision, "full": ignored.Source.Full,
		}))
	}
	for _, item := range c.Malformed {
		s.counts.malformedEntries.Add(1)
		s.log.Change("malformed store entry ignored", api.Fields{"key": item.Key, "revision": item.Revision, "error": item.Malformed.Error()})
	}
	if c.NewEra {
		s.log.Change("platform store began a new era", s.withActiveConfig(api.Fields{"withheld": c.Withheld, "era": c.Era}))
	}
	if c.NextTick > 0 {
		s.loop.After(c.NextTick-now, func(now time.Duration) { s.handleChange(now, s.state.Tick(now)) })
	}
	if c.View == nil {
		return
	}
	s.counts.viewChanges.Add(1)
	s.logView(c)
	s.view.Store(c.View)
	for _, f := range s.subscribers {
		f(now, c.View)
	}
}

// withActiveConfig adds the active configuration, and the read it comes from, to the fields of
// a log line.
func (s *service) withActiveConfig(fields api.Fields) api.Fields {
	v := s.View()
	if v.Table != nil {
		fields["config"] = v.Table.Version
	}
	fields["config_era"], fields["config_revision"] = v.TableSource.Era, v.TableSource.Revision
	return fields
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
			fields["config_era"], fields["config_revision"] = c.View.TableSource.Era, c.View.TableSource.Revision
			fields["full"] = c.View.TableSource.Full
		}
	}
	var leaving []string
	for id, in := range c.View.Instances {
		if old, ok := before.Instances[id]; in.Leaving && ok && !old.Leaving {
			leaving = append(leaving, id)
		}
	}
	if len(leaving) > 0 {
		fields["leaving"] = leaving
	}
	s.log.Change("view changed", fields)
}

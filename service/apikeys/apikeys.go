// Package apikeys is the admission service of a process that reads members and
// their API keys from the platform's store. It accepts no key while its
// knowledge is too old to rule out that the key was revoked.
package apikeys

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/discovery"
	"github.com/mulberryfork/mulberryfork/decide/fleetbudget"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	firstMailbox = 4096
	retryMailbox = 1024
	// staleRetry is when a caller may come back to a process that lost the
	// store: at another one it is served at once.
	staleRetry = 200 * time.Millisecond
	busyRetry  = 300 * time.Millisecond
)

type service struct {
	settings  *api.Settings
	discovery api.Discovery
	clock     kernel.Clock
	refused   api.Counter
	streams   atomic.Int64
	firsts    *kernel.Mailbox[string]
	retries   *kernel.Mailbox[kernel.Call[string, bool]]
	// budget belongs to the control loop.
	budget *fleetbudget.State
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.discovery, err = kernel.Lookup[api.Discovery](c, api.ServiceDiscovery); err != nil {
		return err
	}
	edges, err := kernel.Lookup[api.Fleet](c, api.ServiceFleet)
	if err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.clock = c.Clock()
	s.refused = metrics.Counter("streams_refused", "")
	metrics.Gauge("streams", s.streams.Load)
	e := s.settings.Edge
	s.budget = fleetbudget.New(fleetbudget.Options{
		Ratio:        e.RetryRatio,
		ExtraRetries: e.RetryExtra,
		Window:       time.Duration(e.RetryWindow),
	})
	edges.Subscribe(func(_ time.Duration, v *api.FleetView) { s.budget.SetSharers(v.EdgeCount) })
	// A request that is not counted only makes the budget smaller.
	s.firsts = kernel.NewMailbox(c.Loop(), "admission.first", firstMailbox, kernel.Drop, s.budget.RecordRequest)
	s.retries = kernel.NewMailbox(c.Loop(), "admission.retry", retryMailbox, kernel.Wait,
		func(now time.Duration, call kernel.Call[string, bool]) {
			call.Reply(s.budget.TakeRetry(now, call.Query))
		})
	return nil
}

// Authenticate maps an API key to its member.
func (s *service) Authenticate(key string) (api.Caller, *api.Failure) {
	asOf := s.discovery.AsOf()
	table := s.discovery.View().Table
	if table == nil {
		return api.Caller{}, notReady("no configuration yet")
	}
	if !discovery.KeysTrusted(s.clock.Now(), asOf, time.Duration(s.settings.Edge.RevocationDeadline)) {
		return api.Caller{}, notReady("the list of API keys is too old")
	}
	member, ok := table.Keys[key]
	if !ok {
		return api.Caller{}, api.NewFailure(api.CodeUnauthenticated, api.NotRun, "unknown API key")
	}
	return api.Caller{Member: member}, nil
}

func notReady(detail string) *api.Failure {
	f := api.NewFailure(api.CodeNotReady, api.NotRun, detail)
	f.RetryAfter = staleRetry
	return f
}

// Admit admits a request to a service while the process has room for it.
func (s *service) Admit(ctx context.Context, _, service string, _ uint32) (func(), *api.Failure) {
	if s.streams.Add(1) > int64(s.settings.Limits.Streams) {
		s.streams.Add(-1)
		s.refused.Add(1)
		f := api.NewFailure(api.CodeTooManyStreams, api.NotRun, "this process has no room for another request")
		f.RetryAfter = busyRetry
		return nil, f
	}
	_ = s.firsts.Post(ctx, service)
	return func() { s.streams.Add(-1) }, nil
}

// SpendRetry takes one repeat from the budget of a service.
func (s *service) SpendRetry(ctx context.Context, _, service string) bool {
	granted, err := kernel.Ask(ctx, s.retries, service)
	return err == nil && granted
}

// SpendHedge refuses: a second send beside a running one is not worth a repeat
// where the budget is shared by all processes.
func (s *service) SpendHedge(context.Context, api.HedgeCandidate) bool { return false }

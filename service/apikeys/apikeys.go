// Package apikeys is the admission service of a process that reads members and their
// API keys from the platform's store. It accepts no keys while its view of the store is
// so old that it may miss the revocation of a key.
package apikeys

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/connbudget"
	"github.com/mulberryfork/mulberryfork/decide/discovery"
	"github.com/mulberryfork/mulberryfork/decide/fleetbudget"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	requestMailboxSize = 4096
	retryMailboxSize   = 1024
	// staleRetryAfter is the Retry-After of a process that cannot reach the store. It
	// is short because another process can serve the retry at once.
	staleRetryAfter = 200 * time.Millisecond
	busyRetryAfter  = 300 * time.Millisecond
)

type service struct {
	settings        *api.Settings
	discovery       api.Discovery
	clock           kernel.Clock
	refusedRequests api.Counter
	inFlight        atomic.Int64
	requests        *kernel.Mailbox[string]
	retries         *kernel.Mailbox[kernel.Call[string, bool]]
	// maxInFlight bounds the requests in flight.
	maxInFlight int64
	// The control loop owns budget.
	budget *fleetbudget.State
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.discovery, err = kernel.Lookup[api.Discovery](c, api.ServiceDiscovery); err != nil {
		return err
	}
	fleet, err := kernel.Lookup[api.Fleet](c, api.ServiceFleet)
	if err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.clock = c.Clock()
	s.refusedRequests = metrics.Counter("streams_refused", "")
	metrics.Gauge("streams", s.inFlight.Load)
	edge := s.settings.Edge
	s.budget = fleetbudget.New(fleetbudget.Options{
		Ratio:        edge.RetryRatio,
		ExtraRetries: edge.RetryExtra,
		Window:       time.Duration(edge.RetryWindow),
	})
	fleet.Subscribe(func(_ time.Duration, v *api.FleetView) { s.budget.SetProcessCount(v.LimitDivisor) })
	s.maxInFlight = int64(min(s.settings.Limits.Streams, connbudget.Derive(s.settings.MemoryLimitMB(), 0).Requests))
	// The mailbox may drop requests: that only makes the retry budget smaller.
	s.requests = kernel.NewMailbox(c.Loop(), "admission.first", requestMailboxSize, kernel.Drop, s.budget.RecordRequest)
	s.retries = kernel.NewMailbox(c.Loop(), "admission.retry", retryMailboxSize, kernel.Wait,
		func(now time.Duration, call kernel.Call[string, bool]) {
			call.Reply(s.budget.TakeRetry(now, call.Query))
		})
	return nil
}

// Authenticate returns the member of an API key. It fails with CodeNotReady while the
// list of keys is missing or too old.
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
	f.RetryAfter = staleRetryAfter
	return f
}

// Admit admits a request within the process's limit of concurrent requests, and records it
// for the retry budget of the service. The returned function must be called when the
// request has ended.
func (s *service) Admit(ctx context.Context, _, service string, _ uint32) (func(), *api.Failure) {
	if s.inFlight.Add(1) > s.maxInFlight {
		s.inFlight.Add(-1)
		s.refusedRequests.Add(1)
		f := api.NewFailure(api.CodeTooManyStreams, api.NotRun, "this process has reached its limit of concurrent requests")
		f.RetryAfter = busyRetryAfter
		return nil, f
	}
	_ = s.requests.Post(ctx, service)
	return func() { s.inFlight.Add(-1) }, nil
}

// SpendRetry takes one retry from the budget of a service. It returns false if the
// budget is exhausted.
func (s *service) SpendRetry(ctx context.Context, _, service string) bool {
	granted, err := kernel.Ask(ctx, s.retries, service)
	return err == nil && granted
}

// SpendHedge always returns false. All processes share the retry budget, and a hedge
// is not worth one of its retries.
func (s *service) SpendHedge(context.Context, api.HedgeCandidate) bool { return false }

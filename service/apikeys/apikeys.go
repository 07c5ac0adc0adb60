// Package apikeys is the admission service of a process that reads members and their
// API keys from the platform's store. It accepts no keys while its view of the store is
// so old that it may miss the revocation of a key.
package apikeys

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/bodybudget"
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
	bodyMailboxSize = 1024
)

// bodyChange is a number of bytes that are taken or returned for the bodies of a member.
type bodyChange struct {
	member string
	n      int64
}

type service struct {
	settings        *api.Settings
	discovery       api.Discovery
	clock           kernel.Clock
	refusedRequests api.Counter
	inFlight        atomic.Int64
	requests        *kernel.Mailbox[string]
	retries         *kernel.Mailbox[kernel.Call[string, bool]]
	bodies          *kernel.Mailbox[kernel.Call[bodyChange, bool]]
	returnedBodies  *kernel.Mailbox[bodyChange]
	refusedBodies   api.Counter
	// The control loop owns budget and bodyBudget.
	budget     *fleetbudget.State
	bodyBudget *bodybudget.State
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
	s.refusedBodies = metrics.Counter("bodies_refused", "")
	s.bodyBudget = bodybudget.New(bodybudget.Capacity(edge.MemoryMB))
	s.bodies = kernel.NewMailbox(c.Loop(), "admission.body", bodyMailboxSize, kernel.Wait,
		func(_ time.Duration, call kernel.Call[bodyChange, bool]) {
			call.Reply(s.bodyBudget.Take(call.Query.member, call.Query.n))
		})
	s.returnedBodies = kernel.NewMailbox(c.Loop(), "admission.body_returned", bodyMailboxSize, kernel.Wait,
		func(_ time.Duration, r bodyChange) { s.bodyBudget.Return(r.member, r.n) })
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
	if s.inFlight.Add(1) > int64(s.settings.Limits.Streams) {
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

// TakeBody takes n bytes of the budget for request bodies. It fails at once while too many
// are held: a body that waits keeps its connection and what has arrived of it.
func (s *service) TakeBody(ctx context.Context, member string, n int64) *api.Failure {
	// The reply is awaited even if the caller disconnects meanwhile: bytes that were granted
	// must be returned.
	granted, err := kernel.Ask(context.WithoutCancel(ctx), s.bodies, bodyChange{member: member, n: n})
	if err != nil {
		return &api.Failure{Code: api.CodeShuttingDown, Run: api.NotRun, Err: err}
	}
	if granted {
		return nil
	}
	s.refusedBodies.Add(1)
	f := api.NewFailure(api.CodeOverloaded, api.NotRun, "this process holds too many bytes of request bodies")
	f.RetryAfter = busyRetryAfter
	return f
}

// ReturnBody gives back bytes that TakeBody took.
func (s *service) ReturnBody(member string, n int64) {
	_ = s.returnedBodies.Post(context.Background(), bodyChange{member: member, n: n})
}

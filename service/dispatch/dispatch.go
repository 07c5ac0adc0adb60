// Package dispatch routes a request, makes attempts, retries and hedges until there
// is a complete response or a typed failure. It is independent of HTTP and drpc.
package dispatch

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
	"github.com/mulberryfork/mulberryfork/decide/reassembly"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// confirmTimeout limits how long a request waits for the peers to confirm the
// configuration. It is longer than one round of queries.
const confirmTimeout = 2 * time.Second

type service struct {
	// store is nil in a process that does not bind keys to upstreams.
	store api.ConfigStore
	// resend and confirmed are nil if the store does not implement them.
	resend     api.ResendCheck
	confirmed  api.ConfigFreshness
	routing    api.Routing
	links      api.Links
	admission  api.Admission
	metrics    api.Metrics
	clock      kernel.Clock
	counts     counters
	thresholds hedgeThresholds
}

type counters struct {
	retries, resumes, deniedRetries, outcomeQueries, issuedKeys, hedges api.Counter
	duplicateChunks, foreignChunks, lateChunks                          api.Counter
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.store, _, err = kernel.LookupOptional[api.ConfigStore](c, api.ServiceConfigStore); err != nil {
		return err
	}
	s.resend, _ = s.store.(api.ResendCheck)
	s.confirmed, _ = s.store.(api.ConfigFreshness)
	if s.routing, err = kernel.Lookup[api.Routing](c, api.ServiceRouting); err != nil {
		return err
	}
	if s.links, err = kernel.Lookup[api.Links](c, api.ServiceTransportLinks); err != nil {
		return err
	}
	if s.admission, err = kernel.Lookup[api.Admission](c, api.ServiceAdmission); err != nil {
		return err
	}
	if s.metrics, err = kernel.Lookup[api.Metrics](c, api.ServiceMetrics); err != nil {
		return err
	}
	s.clock = c.Clock()
	s.counts = counters{
		retries:         s.metrics.Counter("retries", ""),
		resumes:         s.metrics.Counter("resumes", ""),
		deniedRetries:   s.metrics.Counter("retries_denied", ""),
		outcomeQueries:  s.metrics.Counter("outcome_queries", ""),
		issuedKeys:      s.metrics.Counter("keys_issued", ""),
		duplicateChunks: s.metrics.Counter("chunks_duplicate", ""),
		foreignChunks:   s.metrics.Counter("chunks_foreign", ""),
		hedges:          s.metrics.Counter("hedges", ""),
		lateChunks:      s.metrics.Counter("chunks_late", ""),
	}
	s.thresholds.provision(c.Loop())
	return nil
}

// Dispatch serves one request and writes the response or the failure to sink.
func (s *service) Dispatch(ctx context.Context, r api.Request, sink api.Sink) {
	d := &delivery{
		service:   s,
		request:   r,
		sink:      sink,
		startedAt: s.clock.Now(),
		assembler: reassembly.New(api.AttemptID{RequestID: r.ID}, r.ResumeFrom, windowBytes),
	}
	if failure := s.awaitConfirmed(ctx, r); failure != nil {
		sink.End(api.End{Failure: failure})
		return
	}
	if failure := d.bindKey(); failure != nil {
		sink.End(api.End{Failure: failure})
		return
	}
	end := d.run(ctx)
	drops := d.assembler.Drops()
	s.counts.duplicateChunks.Add(int64(drops.Duplicate))
	s.counts.foreignChunks.Add(int64(drops.OtherRequest + drops.FutureAttempt))
	s.counts.lateChunks.Add(int64(drops.EarlierAttempt + drops.AfterClose))
	end.Upstream = d.lastUpstream
	sink.End(end)
}

// awaitConfirmed waits up to confirmTimeout until the peers have confirmed that this
// process's configuration is current. On failure nothing was sent, but an earlier
// attempt with the same key may have run.
func (s *service) awaitConfirmed(ctx context.Context, r api.Request) *api.Failure {
	if s.confirmed == nil || s.confirmed.Confirmed() == nil {
		return nil
	}
	wait, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if s.confirmed.WaitConfirmed(wait) {
		return nil
	}
	f := api.NewFailure(api.CodeNotReady, api.NotRun, "configuration not yet confirmed by peers")
	f.RetryAfter = time.Second
	if r.Key != "" {
		f.Run = api.RunUnknown
	}
	return f
}

// IssueKey issues a new idempotency key that is bound to an upstream.
func (s *service) IssueKey(ctx context.Context, member, model, service string) (string, *api.Failure) {
	// A request with the key may wait at the upstream, so its key may be that of a full one.
	choice, failure := s.routing.Route(ctx, api.RouteQuery{Member: member, Model: model, Service: service, MayWait: true})
	if failure != nil {
		return "", failure
	}
	s.routing.Done(api.RouteResult{Upstream: choice.Upstream, Ticket: choice.Ticket, Unsent: true})
	key, failure := s.newKey(choice)
	if failure != nil {
		return "", failure
	}
	return key, nil
}

func (s *service) newKey(choice api.RouteChoice) (string, *api.Failure) {
	var random [idemkey.RandomBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(random[:])
	key, err := idemkey.New(choice.Upstream, choice.Incarnation, choice.AgentElapsed, random)
	if err != nil {
		return "", &api.Failure{Code: api.CodeInternal, Run: api.NotRun, Err: err}
	}
	s.counts.issuedKeys.Add(1)
	return key.String(), nil
}

// Outcome queries the key's agent for the outcome of the request.
func (s *service) Outcome(ctx context.Context, member, service, key string) (api.Outcome, *api.Failure) {
	upstream, incarnation, failure := s.upstreamForKey(member, service, "", key)
	if failure != nil {
		return api.Outcome{Run: api.RunUnknown}, failure
	}
	s.counts.outcomeQueries.Add(1)
	o, err := s.links.Query(ctx, api.OutcomeQuery{Upstream: upstream, Member: member, Key: key, Incarnation: incarnation})
	if err != nil {
		return api.Outcome{Run: api.RunUnknown}, asFailure(err, api.RunUnknown)
	}
	return o, nil
}

// upstreamForKey returns the upstream of a key. It also returns the agent's
// incarnation if the key contains it, and 0 otherwise.
func (s *service) upstreamForKey(member, service, model, text string) (string, api.Incarnation, *api.Failure) {
	key, err := idemkey.Parse(text)
	if err != nil {
		return "", 0, &api.Failure{Code: api.CodeKeyMalformed, Run: api.NotRun, Err: err}
	}
	if key.Bound != nil {
		return key.Bound.Upstream, key.Bound.Incarnation, nil
	}
	if s.store == nil {
		return "", 0, api.NewFailure(api.CodeKeyNotBound, api.RunUnknown, "this process does not bind keys to upstreams")
	}
	snap := s.store.Current()
	if snap == nil {
		return "", 0, api.NewFailure(api.CodeNotReady, api.RunUnknown, "no configuration yet")
	}
	upstream, ok := idemkey.Home(member, text, keyUpstreams(snap.Config, service, model))
	if !ok {
		return "", 0, api.NewFailure(api.CodeNoUpstream, api.RunUnknown, "no upstream is configured for the key")
	}
	return upstream, 0, nil
}

// keyUpstreams returns the configured upstreams to which a caller's key may be hashed,
// sorted by name.
func keyUpstreams(c *api.Config, service, model string) []string {
	var names []string
	for name, u := range c.Upstreams {
		if service != "" && u.Service == service || service == "" && slices.Contains(u.Models, model) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func asFailure(err error, run api.RunState) *api.Failure {
	if f, ok := err.(*api.Failure); ok {
		return f
	}
	return &api.Failure{Code: api.CodeInternal, Run: run, Err: err}
}

func remaining(deadline, now time.Duration) time.Duration { return max(deadline-now, 0) }

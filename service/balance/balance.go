// Package balance is the routing service of a process that reads its upstreams
// from the platform's store. It chooses the upstream of each request on the control
// loop.
package balance

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/balance"
	"github.com/mulberryfork/mulberryfork/decide/outlier"
	"github.com/mulberryfork/mulberryfork/decide/poison"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	queryMailboxSize  = 4096
	resultMailboxSize = 4096
	loadMailboxSize   = 1024
	tickInterval      = time.Second
	// hexBase is the base in which fingerprints are logged.
	hexBase = 16
)

type routeReply struct {
	choice  api.RouteChoice
	failure *api.Failure
}

type service struct {
	discovery api.Discovery
	fleet     api.Fleet
	clock     kernel.Clock
	log       api.Logger
	ejections api.Counter
	choices   api.Counter
	// crashes counts requests in flight at crashes, refusals the requests refused
	// because they crash upstreams.
	crashes, refusals api.Counter
	// statementCount counts what upstreams said of themselves and was new.
	statementCount api.Counter
	waits          waitCounters
	zones          *zoneTraffic
	uneven         unevenGroups
	queries        *kernel.Mailbox[call]
	// abandoned holds the queries whose caller is gone.
	abandoned  *kernel.Mailbox[*pendingQuery]
	drains     *kernel.Mailbox[struct{}]
	results    *kernel.Mailbox[api.RouteResult]
	lateEnds   *kernel.Mailbox[api.ExchangeEnd]
	loads      *kernel.Mailbox[api.UpstreamLoad]
	statements *kernel.Mailbox[api.UpstreamStatement]

	// The control loop owns the fields below.
	state           *balance.State
	outliers        *outlier.State
	suspects        *poison.Unisolated
	viewChangeCount uint64
	// queues holds the requests that wait for room, by service.
	queues map[string]*waitQueue
	seed   uint64
	loop   *kernel.Loop
	// wakeAt is when the next timer for waiting requests is due, 0 if there is none.
	wakeAt     time.Duration
	cancelWake func()
	draining   bool
}

func (s *service) Provision(c *kernel.Context) (err error) {
	settings, err := kernel.Value[*api.Settings](c)
	if err != nil {
		return err
	}
	if s.discovery, err = kernel.Lookup[api.Discovery](c, api.ServiceDiscovery); err != nil {
		return err
	}
	if s.log, err = kernel.Lookup[api.Logger](c, api.ServiceLog); err != nil {
		return err
	}
	if s.fleet, err = kernel.Lookup[api.Fleet](c, api.ServiceFleet); err != nil {
		return err
	}
	groups, err := kernel.Lookup[api.GroupLoads](c, api.ServiceGroupLoads)
	if err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	publisher, err := kernel.Lookup[api.Publisher](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.zones = newZoneTraffic(settings.Zone, s.log, metrics, publisher)
	s.clock = c.Clock()
	s.ejections = metrics.Counter("route_ejected", "")
	s.choices = metrics.Counter("route_choices", string(api.RouteLeastWork))
	s.crashes = metrics.Counter("crash_suspects", "")
	s.refusals = metrics.Counter("suspects_refused", "")
	s.statementCount = metrics.Counter("upstream_statements", "")
	s.waits = newWaitCounters(metrics)
	s.uneven = newUnevenGroups(s.log, metrics)
	s.seed, s.loop, s.queues = xxhash.Sum64String(settings.Node), c.Loop(), make(map[string]*waitQueue)
	s.state = balance.New(balance.Options{
		Zone:          settings.Zone,
		Seed:          s.seed,
		ColdOvershoot: settings.Edge.ColdOvershoot,
		ColdTolerance: settings.Edge.ColdTolerance,
		ZoneBytePrice: settings.Edge.ZoneBytePrice,
	})
	s.outliers = outlier.New()
	s.suspects = poison.NewUnisolated(0)
	s.queries = kernel.NewMailbox(c.Loop(), "routing.query", queryMailboxSize, kernel.Wait, s.handleQuery)
	s.abandoned = kernel.NewMailbox(c.Loop(), "routing.abandoned", resultMailboxSize, kernel.Wait, s.abandon)
	s.drains = kernel.NewMailbox(c.Loop(), "routing.drain", 1, kernel.Wait, s.handleDrain)
	s.results = kernel.NewMailbox(c.Loop(), "routing.result", resultMailboxSize, kernel.Wait, s.handleResult)
	s.lateEnds = kernel.NewMailbox(c.Loop(), "routing.lateend", resultMailboxSize, kernel.Wait, s.recordSuspects)
	// A later load report replaces a dropped one.
	s.loads = kernel.NewMailbox(c.Loop(), "routing.load", loadMailboxSize, kernel.Drop, s.state.ObserveLoad)
	s.statements = kernel.NewMailbox(c.Loop(), "routing.statement", loadMailboxSize, kernel.Wait, s.handleStatement)
	s.discovery.Subscribe(s.configure)
	groups.Subscribe(s.handleGroupLoad)
	s.fleet.Subscribe(func(_ time.Duration, v *api.FleetView) { s.state.SetFleet(v) })
	s.fleet.ExchangeSuspicions(&sharedSuspects{Unisolated: s.suspects, log: s.log})
	c.Loop().Every(tickInterval, func(now time.Duration) {
		s.applyHealth(s.outliers.Tick(now))
		s.zones.publish(now, s.state.ZoneShares())
	})
	return nil
}

// Route chooses an upstream.
func (s *service) Route(ctx context.Context, q api.RouteQuery) (api.RouteChoice, *api.Failure) {
	query := &pendingQuery{RouteQuery: q}
	reply, err := kernel.Ask(ctx, s.queries, query)
	if err != nil {
		_ = s.abandoned.Post(context.Background(), query)
		return api.RouteChoice{}, &api.Failure{Code: api.CodeCanceled, Run: api.NotRun, Err: err}
	}
	return reply.choice, reply.failure
}

// Done records the result of an attempt.
func (s *service) Done(r api.RouteResult) { _ = s.results.Post(context.Background(), r) }

// ObserveEnd records what the end of an exchange shows although its attempt had ended before.
func (s *service) ObserveEnd(e api.ExchangeEnd) { _ = s.lateEnds.Post(context.Background(), e) }

// ObserveLoad handles the load reported by an upstream in a response.
func (s *service) ObserveLoad(l api.UpstreamLoad) { _ = s.loads.Post(context.Background(), l) }

// ObserveStatement handles what an upstream says of itself in a response.
func (s *service) ObserveStatement(said api.UpstreamStatement) {
	_ = s.statements.Post(context.Background(), said)
}

func (s *service) handleStatement(now time.Duration, said api.UpstreamStatement) {
	if !s.state.ObserveStatement(now, said) {
		return
	}
	fields := api.Fields{"upstream": said.Upstream, "leaving": said.Leaving}
	if said.HoldOff != nil {
		fields["hold_off_ms"] = said.HoldOff.Milliseconds()
	}
	s.statementCount.Add(1)
	s.log.Change("upstream statement", fields)
}

func (s *service) configure(now time.Duration, v *api.View) {
	s.viewChangeCount = v.ChangeCount
	s.state.Configure(now, v)
	pools := make(map[string]string, len(v.Instances))
	for id, in := range v.Instances {
		pools[id] = in.Service
	}
	s.applyHealth(s.outliers.Configure(pools))
	for _, id := range slices.Sorted(maps.Keys(pools)) {
		s.state.SetHealth(id, s.outliers.Status(id))
	}
}

func (s *service) applyHealth(changes []outlier.StatusChange) {
	for _, c := range changes {
		s.state.SetHealth(c.Upstream, c.Status)
		if c.Status == outlier.Ejected {
			s.ejections.Add(1)
		}
		s.log.Change("upstream health", api.Fields{"upstream": c.Upstream, "state": c.Status.String()})
	}
}

func (s *service) handleQuery(now time.Duration, c call) {
	if failure := s.suspected(now, c.Query); failure != nil {
		s.answer(now, c, balance.Choice{}, failure)
		return
	}
	s.admit(now, c)
}

// answer replies to a call.
func (s *service) answer(now time.Duration, c call, choice balance.Choice, failure *api.Failure) {
	s.logChoice(now, c.Query, choice, failure)
	if failure != nil {
		c.Reply(routeReply{failure: failure})
		return
	}
	s.choices.Add(1)
	c.Query.chosen = choice.Upstream
	s.zones.recordChoice(s.state, choice.Upstream)
	c.Reply(routeReply{choice: api.RouteChoice{
		Upstream:    choice.Upstream,
		Incarnation: choice.Incarnation,
		Revision:    s.viewChangeCount,
		Reason:      api.RouteLeastWork,
	}})
}

func (s *service) handleGroupLoad(now time.Duration, l api.GroupLoad) {
	s.state.ObserveGroupLoad(l)
	s.dispatchEverywhere(now)
}

func (s *service) logChoice(now time.Duration, q *pendingQuery, choice balance.Choice, f *api.Failure) {
	fields := api.Fields{
		"request":     q.RequestID,
		"service":     q.Service,
		"view":        s.viewChangeCount,
		"view_age_ms": (now - s.discovery.AsOf()).Milliseconds(),
	}
	if f != nil && f.Code == api.CodeSuspect {
		fields["fingerprint"] = strconv.FormatUint(q.Fingerprint, hexBase)
		fields["parts"] = hexList(q.PromptParts)
		fields["blocked_ms"] = f.RetryAfter.Milliseconds()
	}
	if q.waiter != nil {
		fields["waited_ms"] = (now - q.waiter.Since).Milliseconds()
	}
	if len(q.Exclude) > 0 {
		fields["excluded"] = q.Exclude
	}
	if f != nil {
		fields["failure"] = f.Code
		s.log.Decision("no upstream chosen", api.DecisionFailed, fields)
		return
	}
	fields["upstream"], fields["load"], fields["candidates"] = choice.Upstream, choice.Load, choice.Candidates
	s.log.Decision("upstream chosen", api.DecisionRoutine, fields)
}

// logFailedAttempt logs an attempt that failed. The line for the end of the request
// describes only its last attempt.
func (s *service) logFailedAttempt(r api.RouteResult) {
	if r.Failure == nil || r.Failure.Code == api.CodeCanceled {
		return
	}
	s.log.Decision("attempt failed", api.DecisionFailed, api.Fields{
		"request":     r.RequestID,
		"fingerprint": strconv.FormatUint(r.Fingerprint, hexBase),
		"upstream":    r.Upstream,
		"failure":     r.Failure.Code,
		"run":         r.Failure.Run,
		"error":       r.Failure.Error(),
		"began":       r.FirstChunk > 0,
		"took_ms":     r.Total.Milliseconds(),
	})
}

func (s *service) handleResult(now time.Duration, r api.RouteResult) {
	s.state.Done(now, r.Upstream, r.Failure)
	s.logFailedAttempt(r)
	if !r.Unsent {
		s.recordSuspects(now, endOf(r))
	}
	if r.Failure == nil {
		s.state.ObserveDuration(r.Upstream, r.Total)
		s.state.ObserveBytes(r.Upstream, r.SentBytes+r.ReceivedBytes)
	}
	if r.FirstChunk > 0 {
		service, _ := s.state.ZoneOf(r.Upstream)
		s.queueOf(service).ObserveFirstEvent(r.FirstChunk)
	}
	s.zones.recordBytes(s.state, r)
	s.dispatchEverywhere(now)
	if r.Unsent {
		return
	}
	s.applyHealth(s.outliers.Observe(now, outlier.Result{Upstream: r.Upstream, Failure: r.Failure, FirstChunk: r.FirstChunk}))
}

// Package routing chooses the upstream of each request on the control loop by
// prefix affinity, estimated work, outlier ejection and crash suspicions.
package routing

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/outlier"
	"github.com/mulberryfork/mulberryfork/decide/poison"
	"github.com/mulberryfork/mulberryfork/decide/route"
	"github.com/mulberryfork/mulberryfork/decide/sharecorrect"
	"github.com/mulberryfork/mulberryfork/decide/zone"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	queryMailboxSize  = 4096
	resultMailboxSize = 4096
	mergeMailboxSize  = 64
	digestMailboxSize = 64
	tickInterval      = time.Second
	// correctionInterval must exceed the interval at which agents report the cost of
	// served work.
	correctionInterval = 10 * time.Second
	// correctionGain is the gain of the share correction, maxCorrection the maximum
	// of its factor. The fairness experiment uses the same values.
	correctionGain = 0.5
	maxCorrection  = 64
)

type routeReply struct {
	choice  api.RouteChoice
	failure *api.Failure
}

type service struct {
	store            api.ConfigStore
	links            api.Links
	metrics          api.Metrics
	log              api.Logger
	ejections        api.Counter
	choices          map[api.RouteReason]api.Counter
	queries          *kernel.Mailbox[kernel.Call[api.RouteQuery, routeReply]]
	results          *kernel.Mailbox[api.RouteResult]
	suspicionMerges  *kernel.Mailbox[[]api.Suspicion]
	suspicionDigests *kernel.Mailbox[kernel.Call[int, []api.Suspicion]]

	// The control loop owns the fields below.
	state          *route.State
	outliers       *outlier.State
	suspects       *poison.State
	shareCorrector *sharecorrect.Corrector
	zones          *zone.State
	// membersByTicket maps the tickets of choices in flight to their members.
	membersByTicket map[uint64]string
}

func (s *service) Provision(c *kernel.Context) (err error) {
	settings, err := kernel.Value[*api.Settings](c)
	if err != nil {
		return err
	}
	if s.store, err = kernel.Lookup[api.ConfigStore](c, api.ServiceConfigStore); err != nil {
		return err
	}
	if s.links, err = kernel.Lookup[api.Links](c, api.ServiceTransportLinks); err != nil {
		return err
	}
	feed, err := kernel.Lookup[api.LinkFeed](c, api.ServiceTransportLinks)
	if err != nil {
		return err
	}
	if s.metrics, err = kernel.Lookup[api.Metrics](c, api.ServiceMetrics); err != nil {
		return err
	}
	if s.log, err = kernel.Lookup[api.Logger](c, api.ServiceLog); err != nil {
		return err
	}
	s.ejections = s.metrics.Counter("route_ejected", "")
	s.choices = make(map[api.RouteReason]api.Counter, len(api.RouteReasons))
	for _, reason := range api.RouteReasons {
		s.choices[reason] = s.metrics.Counter("route_choices", string(reason))
	}
	s.zones = zone.New()
	s.membersByTicket = make(map[uint64]string)
	s.state = route.New(route.Options{Zone: settings.Zone, Seed: seed(settings.Node), Gate: s.zones})
	s.outliers = outlier.New()
	s.suspects = poison.New(0)
	s.shareCorrector = sharecorrect.New(sharecorrect.Config{Gain: correctionGain, MaxFactor: maxCorrection})
	s.queries = kernel.NewMailbox(c.Loop(), "routing.query", queryMailboxSize, kernel.Wait, s.handleQuery)
	s.results = kernel.NewMailbox(c.Loop(), "routing.result", resultMailboxSize, kernel.Wait, s.handleResult)
	// Dropped suspicions arrive again with a later digest.
	s.suspicionMerges = kernel.NewMailbox(c.Loop(), "routing.learn", mergeMailboxSize, kernel.Drop, s.mergeAndBroadcast)
	s.suspicionDigests = kernel.NewMailbox(c.Loop(), "routing.tell", digestMailboxSize, kernel.Wait,
		func(now time.Duration, c kernel.Call[int, []api.Suspicion]) { c.Reply(s.suspects.Digest(now, c.Query)) })
	membership, hasMembership, err := kernel.LookupOptional[api.Membership](c, api.ServiceMembership)
	if err != nil {
		return err
	}
	if hasMembership {
		membership.Subscribe(func(time.Duration, []api.VM) { s.state.SetLeaving(membership.Leaving) })
	}
	s.store.Subscribe(s.configure)
	feed.SubscribeLinks(s)
	c.Loop().Every(tickInterval, func(now time.Duration) {
		s.applyHealth(s.outliers.Tick(now))
		s.suspects.Expire(now)
	})
	c.Loop().Every(correctionInterval, func(time.Duration) { s.correctShares() })
	return nil
}

// seed derives a seed from the node name, so that routers break ties differently.
func seed(node string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	return h.Sum64()
}

// Route chooses an upstream.
func (s *service) Route(ctx context.Context, q api.RouteQuery) (api.RouteChoice, *api.Failure) {
	reply, err := kernel.Ask(ctx, s.queries, q)
	if err != nil {
		return api.RouteChoice{}, &api.Failure{Code: api.CodeCanceled, Run: api.NotRun, Err: err}
	}
	return reply.choice, reply.failure
}

// Done records the result of an attempt.
func (s *service) Done(r api.RouteResult) { _ = s.results.Post(context.Background(), r) }

// ObserveEnd does nothing: the agent of the upstream itself sees the end of each run.
func (s *service) ObserveEnd(api.ExchangeEnd) {}

// LinkUp handles a link that came up.
func (s *service) LinkUp(_ time.Duration, upstream string, state api.LinkState) {
	s.state.LinkUp(upstream, state)
}

// LinkDown handles a link that was lost.
func (s *service) LinkDown(_ time.Duration, upstream string) {
	s.state.LinkDown(upstream)
	s.zones.LinkDown(upstream)
}

// LoadReport handles a load report of an agent and sends the new suspicions in it to
// all agents.
func (s *service) LoadReport(now time.Duration, l api.Load) {
	s.state.Load(now, l)
	if l.Served != nil {
		s.shareCorrector.Report(l)
	}
	s.zones.ObserveLoad(l)
	s.mergeAndBroadcast(now, l.Suspicions)
}

// mergeAndBroadcast merges suspicions and sends the new ones to all agents.
func (s *service) mergeAndBroadcast(now time.Duration, received []api.Suspicion) {
	if suspicions := s.suspects.Merge(now, received); len(suspicions) > 0 {
		s.links.BroadcastSuspicions(suspicions)
	}
}

// MergeSuspicions merges suspicions of another process, asynchronously.
func (s *service) MergeSuspicions(suspicions []api.Suspicion) {
	_ = s.suspicionMerges.Post(context.Background(), suspicions)
}

// KnownSuspicions returns up to n known suspicions for the exchange with other
// processes. Successive calls return different ones. It returns nil if ctx ends or
// the control loop stops first.
func (s *service) KnownSuspicions(ctx context.Context, n int) []api.Suspicion {
	suspicions, err := kernel.Ask(ctx, s.suspicionDigests, n)
	if err != nil {
		return nil
	}
	return suspicions
}

func (s *service) configure(now time.Duration, snap *api.Snapshot) {
	s.state.Configure(snap)
	s.zones.Configure(now, snap)
	pools := make(map[string]string, len(snap.Config.Upstreams))
	for name, u := range snap.Config.Upstreams {
		pools[name] = poolName(u)
	}
	s.applyHealth(s.outliers.Configure(pools))
}

// poolName returns the name of the pool within which outlier detection compares an
// upstream: that of its service if it is plain, otherwise that of its first model.
func poolName(u api.Upstream) string {
	if u.Kind == api.UpstreamPlain {
		return "service/" + u.Service
	}
	if len(u.Models) > 0 {
		return "model/" + u.Models[0]
	}
	return "model/"
}

var healthByStatus = map[outlier.Status]route.Health{
	outlier.Healthy: route.Healthy,
	outlier.Probing: route.Probing,
	outlier.Ejected: route.Ejected,
}

func (s *service) applyHealth(changes []outlier.StatusChange) {
	for _, c := range changes {
		s.state.SetHealth(c.Upstream, healthByStatus[c.Status])
		if c.Status == outlier.Ejected {
			s.ejections.Add(1)
		}
		s.log.Change("upstream health", api.Fields{"upstream": c.Upstream, "state": c.Status.String()})
	}
}

func (s *service) handleQuery(now time.Duration, c kernel.Call[api.RouteQuery, routeReply]) {
	q := c.Query
	isolate, failure := s.placeSuspect(now, &q)
	if failure != nil {
		c.Reply(routeReply{failure: failure})
		return
	}
	if failure := s.zones.Admit(q); failure != nil {
		c.Reply(routeReply{failure: failure})
		return
	}
	choice, failure := s.state.Choose(now, q)
	choice.Isolate = isolate
	choice.ShareFactor = s.shareCorrector.Factor(q.Member)
	if failure == nil {
		s.zones.RecordAttempt(now, q.Member, choice)
		s.membersByTicket[choice.Ticket] = q.Member
		s.choices[choice.Reason].Add(1)
	}
	c.Reply(routeReply{choice: choice, failure: failure})
}

// placeSuspect restricts a suspect request to the upstream where a crash costs the
// least work, and reports whether the request must run isolated. Requests that
// are bound to an upstream by their key are left to that upstream's agent.
func (s *service) placeSuspect(now time.Duration, q *api.RouteQuery) (isolate bool, failure *api.Failure) {
	if q.Fingerprint == 0 || q.OnlyUpstream != "" {
		return false, nil
	}
	var candidates []poison.Candidate
	if s.suspects.Status(now, q.Fingerprint) == poison.Suspect {
		unrestricted := *q
		unrestricted.Exclude = nil
		for _, c := range s.state.Candidates(now, unrestricted) {
			candidates = append(candidates, poison.Candidate{Name: c.Name, Usable: c.Usable})
		}
	}
	p := s.suspects.Place(now, q.Fingerprint, candidates)
	if p.Failure != nil || !p.Isolate {
		return false, p.Failure
	}
	q.OnlyUpstream, q.Exclude = p.Upstream, nil
	return true, nil
}

// correctShares adjusts the weights of members by the share of the pool that they
// received. Without it, members whose work runs on few upstreams get less than
// their configured share.
func (s *service) correctShares() {
	snap := s.store.Current()
	if snap == nil {
		return
	}
	shares := make(map[string]float64, len(snap.Config.Members))
	for name, m := range snap.Config.Members {
		shares[name] = m.Share
	}
	s.shareCorrector.Step(shares)
}

func (s *service) handleResult(now time.Duration, r api.RouteResult) {
	s.state.Done(now, r)
	if member, ok := s.membersByTicket[r.Ticket]; ok {
		delete(s.membersByTicket, r.Ticket)
		s.zones.RecordEnd(member, r.Upstream)
	}
	if r.Unsent {
		return
	}
	s.applyHealth(s.outliers.Observe(now, outlier.Result{Upstream: r.Upstream, Failure: r.Failure, FirstChunk: r.FirstChunk}))
}

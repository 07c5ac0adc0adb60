// Package routing chooses the upstream of each request on the control loop,
// from prefix affinity, estimated work, outlier marks and suspicions.
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
	queryMailbox  = 4096
	resultMailbox = 4096
	learnMailbox  = 64
	tellMailbox   = 64
	tickInterval  = time.Second
	// correctionInterval exceeds the interval at which agents report the cost
	// they served.
	correctionInterval = 10 * time.Second
	// correctionGain and maxCorrection are as in experiment fairness.
	correctionGain = 0.5
	maxCorrection  = 64
)

type answer struct {
	choice  api.RouteChoice
	failure *api.Failure
}

type service struct {
	store   api.ConfigStore
	links   api.Links
	metrics api.Metrics
	log     api.Logger
	ejected api.Counter
	choices map[api.RouteReason]api.Counter
	queries *kernel.Mailbox[kernel.Call[api.RouteQuery, answer]]
	results *kernel.Mailbox[api.RouteResult]
	merges  *kernel.Mailbox[[]api.Suspicion]
	reports *kernel.Mailbox[kernel.Call[int, []api.Suspicion]]

	// The control loop owns the fields below.
	state    *route.State
	outliers *outlier.State
	suspects *poison.State
	shares   *sharecorrect.Corrector
	zones    *zone.State
	// senders are the members of the choices that are not closed yet.
	senders map[uint64]string
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
	s.ejected = s.metrics.Counter("route_ejected", "")
	s.choices = make(map[api.RouteReason]api.Counter, len(api.RouteReasons))
	for _, reason := range api.RouteReasons {
		s.choices[reason] = s.metrics.Counter("route_choices", string(reason))
	}
	s.zones = zone.New()
	s.senders = make(map[uint64]string)
	s.state = route.New(route.Options{Zone: settings.Zone, Seed: seed(settings.Node), Gate: s.zones})
	s.outliers = outlier.New()
	s.suspects = poison.New(0)
	s.shares = sharecorrect.New(sharecorrect.Config{Gain: correctionGain, MaxFactor: maxCorrection})
	s.queries = kernel.NewMailbox(c.Loop(), "routing.query", queryMailbox, kernel.Wait, s.answer)
	s.results = kernel.NewMailbox(c.Loop(), "routing.result", resultMailbox, kernel.Wait, s.settle)
	// News that are dropped come again with a later digest.
	s.merges = kernel.NewMailbox(c.Loop(), "routing.learn", learnMailbox, kernel.Drop, s.learn)
	s.reports = kernel.NewMailbox(c.Loop(), "routing.tell", tellMailbox, kernel.Wait,
		func(now time.Duration, c kernel.Call[int, []api.Suspicion]) { c.Reply(s.suspects.Digest(now, c.Query)) })
	membership, present, err := kernel.LookupOptional[api.Membership](c, api.ServiceMembership)
	if err != nil {
		return err
	}
	if present {
		membership.Subscribe(func(time.Duration, []api.VM) { s.state.SetLeaving(membership.Leaving) })
	}
	s.store.Subscribe(s.configure)
	feed.SubscribeLinks(s)
	c.Loop().Every(tickInterval, func(now time.Duration) {
		s.apply(s.outliers.Tick(now))
		s.suspects.Expire(now)
	})
	c.Loop().Every(correctionInterval, func(time.Duration) { s.correctShares() })
	return nil
}

// seed makes routers break ties differently.
func seed(node string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	return h.Sum64()
}

// Route chooses an upstream.
func (s *service) Route(ctx context.Context, q api.RouteQuery) (api.RouteChoice, *api.Failure) {
	a, err := kernel.Ask(ctx, s.queries, q)
	if err != nil {
		return api.RouteChoice{}, &api.Failure{Code: api.CodeCanceled, Run: api.NotRun, Err: err}
	}
	return a.choice, a.failure
}

// Done reports how a send ended.
func (s *service) Done(r api.RouteResult) { _ = s.results.Post(context.Background(), r) }

// LinkUp notes a link that came up.
func (s *service) LinkUp(_ time.Duration, upstream string, state api.LinkState) {
	s.state.LinkUp(upstream, state)
}

// LinkDown notes a link that was lost.
func (s *service) LinkDown(_ time.Duration, upstream string) {
	s.state.LinkDown(upstream)
	s.zones.LinkDown(upstream)
}

// LoadReport notes what an agent says of its upstream, and passes suspicions of
// crashes on to the agents that have not heard them.
func (s *service) LoadReport(now time.Duration, l api.Load) {
	s.state.Load(now, l)
	if l.Served != nil {
		s.shares.Report(l)
	}
	s.zones.ObserveLoad(l)
	s.learn(now, l.Suspicions)
}

// learn merges crash reports and passes on what was new.
func (s *service) learn(now time.Duration, heard []api.Suspicion) {
	if suspicions := s.suspects.Merge(now, heard); len(suspicions) > 0 {
		s.links.BroadcastSuspicions(suspicions)
	}
}

// MergeSuspicions takes crash reports from another process.
func (s *service) MergeSuspicions(suspicions []api.Suspicion) {
	_ = s.merges.Post(context.Background(), suspicions)
}

// KnownSuspicions returns a part of the suspects known.
func (s *service) KnownSuspicions(ctx context.Context, n int) []api.Suspicion {
	reported, err := kernel.Ask(ctx, s.reports, n)
	if err != nil {
		return nil
	}
	return reported
}

func (s *service) configure(now time.Duration, snap *api.Snapshot) {
	s.state.Configure(snap)
	s.zones.Configure(now, snap)
	pools := make(map[string]string, len(snap.Config.Upstreams))
	for name, u := range snap.Config.Upstreams {
		pools[name] = poolOf(u)
	}
	s.apply(s.outliers.Configure(pools))
}

// poolOf groups upstreams that can be compared: those of one plain service,
// or those that serve the same first model.
func poolOf(u api.Upstream) string {
	if u.Kind == api.UpstreamPlain {
		return "service/" + u.Service
	}
	if len(u.Models) > 0 {
		return "model/" + u.Models[0]
	}
	return "model/"
}

var healths = map[outlier.Status]route.Health{
	outlier.Healthy: route.Healthy,
	outlier.Probing: route.Probing,
	outlier.Ejected: route.Ejected,
}

func (s *service) apply(actions []outlier.StatusChange) {
	for _, a := range actions {
		s.state.SetHealth(a.Upstream, healths[a.Status])
		if a.Status == outlier.Ejected {
			s.ejected.Add(1)
		}
		s.log.Change("upstream health", api.Fields{"upstream": a.Upstream, "state": a.Status.String()})
	}
}

func (s *service) answer(now time.Duration, c kernel.Call[api.RouteQuery, answer]) {
	q := c.Query
	isolate, failure := s.place(now, &q)
	if failure != nil {
		c.Reply(answer{failure: failure})
		return
	}
	if failure := s.zones.Admit(q); failure != nil {
		c.Reply(answer{failure: failure})
		return
	}
	choice, failure := s.state.Choose(now, q)
	choice.Isolate = isolate
	choice.ShareFactor = s.shares.Factor(q.Member)
	if failure == nil {
		s.zones.RecordSend(now, q.Member, choice)
		s.senders[choice.Ticket] = q.Member
		s.choices[choice.Reason].Add(1)
	}
	c.Reply(answer{choice: choice, failure: failure})
}

// place sends a suspect to the upstream where it does the least harm. A
// request that is bound to an upstream by its key is judged by the agent.
func (s *service) place(now time.Duration, q *api.RouteQuery) (isolate bool, failure *api.Failure) {
	if q.Fingerprint == 0 || q.Only != "" {
		return false, nil
	}
	var candidates []poison.Candidate
	if s.suspects.Status(now, q.Fingerprint) == poison.Suspect {
		anywhere := *q
		anywhere.Exclude = nil
		for _, c := range s.state.Candidates(now, anywhere) {
			candidates = append(candidates, poison.Candidate{Name: c.Name, Usable: c.Usable})
		}
	}
	p := s.suspects.Place(now, q.Fingerprint, candidates)
	if p.Failure != nil || !p.Isolate {
		return false, p.Failure
	}
	q.Only, q.Exclude = p.Upstream, nil
	return true, nil
}

// correctShares adjusts the weights of members whose work is confined to few
// upstreams to what they received of the pool.
func (s *service) correctShares() {
	snap := s.store.Current()
	if snap == nil {
		return
	}
	shares := make(map[string]float64, len(snap.Config.Members))
	for name, m := range snap.Config.Members {
		shares[name] = m.Share
	}
	s.shares.Step(shares)
}

func (s *service) settle(now time.Duration, r api.RouteResult) {
	s.state.Done(now, r)
	if member, ok := s.senders[r.Ticket]; ok {
		delete(s.senders, r.Ticket)
		s.zones.RecordEnd(member, r.Upstream)
	}
	if r.Unsent {
		return
	}
	s.apply(s.outliers.Observe(now, outlier.Result{Upstream: r.Upstream, Failure: r.Failure, FirstChunk: r.FirstChunk}))
}

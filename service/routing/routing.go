// Package routing chooses the upstream of each request on the control loop.
package routing

import (
	"context"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	queryMailbox  = 4096
	resultMailbox = 4096
)

// Register adds the service under its name.
func Register(r *kernel.Registry) error {
	return r.Register(api.ServiceRouting, func() any { return &service{} })
}

type answer struct {
	choice  api.RouteChoice
	failure *api.Failure
}

// target is what the router knows of one upstream.
type target struct {
	state    api.LinkState
	load     api.Load
	inFlight int
}

type service struct {
	store   api.ConfigStore
	feed    api.LinkFeed
	queries *kernel.Mailbox[kernel.Call[api.RouteQuery, answer]]
	results *kernel.Mailbox[api.RouteResult]

	// The control loop owns the fields below.
	targets map[string]*target
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.store, err = kernel.Lookup[api.ConfigStore](c, api.ServiceConfigStore); err != nil {
		return err
	}
	if s.feed, err = kernel.Lookup[api.LinkFeed](c, api.ServiceTransportLinks); err != nil {
		return err
	}
	s.targets = make(map[string]*target)
	s.queries = kernel.NewMailbox(c.Loop(), "routing.query", queryMailbox, kernel.Wait, s.answer)
	s.results = kernel.NewMailbox(c.Loop(), "routing.result", resultMailbox, kernel.Wait, s.settle)
	s.feed.Follow(s)
	return nil
}

// Route chooses an upstream.
func (s *service) Route(ctx context.Context, q api.RouteQuery) (api.RouteChoice, *api.Failure) {
	a, err := kernel.Ask(ctx, s.queries, q)
	if err != nil {
		return api.RouteChoice{}, &api.Failure{Code: api.CodeCanceled, Run: api.NotRun, Err: err}
	}
	return a.choice, a.failure
}

// Done tells how a send ended.
func (s *service) Done(r api.RouteResult) { _ = s.results.Post(context.Background(), r) }

// LinkUp notes a link that came up.
func (s *service) LinkUp(_ time.Duration, upstream string, state api.LinkState) {
	s.targets[upstream] = &target{state: state, load: api.Load{Accepting: true}}
}

// LinkDown notes a link that was lost.
func (s *service) LinkDown(_ time.Duration, upstream string) { delete(s.targets, upstream) }

// LoadReport notes what an agent says of its upstream.
func (s *service) LoadReport(_ time.Duration, l api.Load) {
	t, ok := s.targets[l.Upstream]
	if !ok {
		return
	}
	t.load = l
	t.state.Elapsed, t.state.Revision, t.state.Incarnation = l.Elapsed, l.Revision, l.Incarnation
}

func (s *service) answer(_ time.Duration, c kernel.Call[api.RouteQuery, answer]) {
	snap := s.store.Current()
	if snap == nil {
		c.Reply(answer{failure: api.Fail(api.CodeNotReady, api.NotRun, "no configuration yet")})
		return
	}
	var best string
	for name, t := range s.targets {
		u, ok := snap.Config.Upstreams[name]
		if !ok || !serves(u, c.Query) || !t.load.Accepting || slices.Contains(c.Query.Exclude, name) {
			continue
		}
		if best == "" || s.less(name, best) {
			best = name
		}
	}
	if best == "" {
		c.Reply(answer{failure: api.Fail(api.CodeNoUpstream, api.NotRun, "no upstream can take the request")})
		return
	}
	t := s.targets[best]
	t.inFlight++
	c.Reply(answer{choice: api.RouteChoice{
		Upstream:    best,
		Incarnation: t.state.Incarnation,
		Elapsed:     t.state.Elapsed,
		Revision:    snap.Revision,
	}})
}

func serves(u api.Upstream, q api.RouteQuery) bool {
	if q.Service != "" {
		return u.Kind == api.KindPlain && u.Service == q.Service
	}
	return u.Kind == api.KindModel && slices.Contains(u.Models, q.Model)
}

func (s *service) less(a, b string) bool {
	x, y := s.targets[a].inFlight, s.targets[b].inFlight
	return x < y || x == y && a < b
}

func (s *service) settle(_ time.Duration, r api.RouteResult) {
	if t, ok := s.targets[r.Upstream]; ok && t.inFlight > 0 {
		t.inFlight--
	}
}

package links

import (
	"context"
	"maps"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/subset"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	demandMailboxSize = 256
	// reachTimeout bounds the wait for a link opened on demand.
	reachTimeout = dialTimeout
)

// provisionSubset sets up the choice of the agents that this router links to.
func (s *service) provisionSubset(c *kernel.Context) error {
	s.subset = subset.New(subset.Router{Name: s.settings.Node, Zone: s.settings.Zone})
	s.onDemandLinks = kernel.NewMailbox(c.Loop(), "link.demand", demandMailboxSize, kernel.Wait, s.openOnDemand)
	s.store.Subscribe(s.configure)
	c.Loop().Every(subset.ChangeInterval, func(now time.Duration) { s.apply(s.subset.Step(now)) })
	return nil
}

func (s *service) configure(_ time.Duration, snap *api.Snapshot) {
	readdressed := subset.Change{}
	for name, l := range *s.links.Load() {
		if u, ok := snap.Config.Upstreams[name]; ok && (u.Agent != l.address || u.VM != l.vm) {
			readdressed.Close, readdressed.Open = append(readdressed.Close, name), append(readdressed.Open, name)
		}
	}
	s.upstreams = snap.Config.Upstreams
	s.apply(readdressed)
	region := snap.Config.Zones[s.settings.Zone].Region
	s.apply(s.subset.SetUpstreams(region, subset.FromConfig(snap.Config)))
}

// UpdateRouters passes the live routers on the membership list to the subset choice.
// It must be called on the control loop.
func (s *service) UpdateRouters(members []api.VM) {
	var routers []subset.Router
	for _, m := range members {
		if m.Role == api.RoleRouter && m.State == api.VMLive {
			routers = append(routers, subset.Router{Name: m.Name, Zone: m.Zone})
		}
	}
	s.subset.SetRouters(routers)
}

// apply closes and opens links. A link in both lists has a new address or VM.
func (s *service) apply(c subset.Change) {
	if len(c.Open)+len(c.Close) == 0 {
		return
	}
	next := maps.Clone(*s.links.Load())
	for _, name := range c.Close {
		if l := next[name]; l != nil {
			l.cancel()
			delete(next, name)
		}
	}
	for _, name := range c.Open {
		next[name] = s.open(name, s.upstreams[name])
	}
	s.links.Store(&next)
}

func (s *service) openOnDemand(now time.Duration, c kernel.Call[string, struct{}]) {
	s.apply(s.subset.OpenOnDemand(now, c.Query))
	c.Reply(struct{}{})
}

// EnsureLink opens a link outside the subset, for an idempotency key that is bound to
// its upstream, and waits until it is up.
func (s *service) EnsureLink(ctx context.Context, upstream string) {
	if _, failure := s.find(upstream); failure == nil {
		return
	}
	if _, err := kernel.Ask(ctx, s.onDemandLinks, upstream); err != nil {
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	s.WaitUp(waitCtx, upstream)
}

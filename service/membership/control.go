package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/membership"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// control is the membership state that the control loop owns.
type control struct {
	service     *service
	state       *membership.State
	subscribers []func(now time.Duration, members []api.VM)
	// notify sends digests to VMs immediately, nil until SetUrgentSender is called.
	notify  func(vms []string)
	listErr error
}

func (c *control) applyConfig(now time.Duration, snap *api.Snapshot) {
	vms := make(map[string]string, len(snap.Config.Upstreams))
	for name, u := range snap.Config.Upstreams {
		vms[name] = u.VM
	}
	c.state.Configure(vms)
	c.publishView(now)
}

func (c *control) applyList(now time.Duration, vms []api.VM) {
	_, notify := c.state.ApplyList(now, vms)
	c.publishView(now)
	if len(notify) > 0 && c.notify != nil {
		c.notify(notify)
	}
}

func (c *control) handleDigest(now time.Duration, call kernel.Call[receivedDigest, api.DigestDecision]) {
	decision := c.state.ApplyDigest(now, call.Query.digest, call.Query.direct)
	if decision == api.DigestAccepted {
		c.publishView(now)
	}
	call.Reply(decision)
}

// LinkUp records a link that was established.
func (c *control) LinkUp(now time.Duration, upstream string, s api.LinkState) {
	c.state.LinkUp(upstream, s.Incarnation)
	c.publishView(now)
}

// LinkDown records a lost link.
func (c *control) LinkDown(now time.Duration, upstream string) {
	c.state.LinkDown(upstream)
	c.publishView(now)
}

// LoadReport records the incarnation in a heartbeat. It publishes no view, because
// the link is already up.
func (c *control) LoadReport(_ time.Duration, l api.Load) { c.state.LinkUp(l.Upstream, l.Incarnation) }

// publishView publishes the current view to other goroutines. If the members, the
// leaving VMs or the down upstreams changed, it logs newly leaving VMs and newly down
// upstreams and calls the subscribers.
func (c *control) publishView(now time.Duration) {
	old := c.service.view.Load()
	next := &view{
		members:      c.state.Members(),
		leaving:      toSet(c.state.Leaving(now)),
		down:         toSet(c.state.Down(now)),
		updatedAt:    now,
		observations: c.state.Observations(now),
	}
	unchanged := slices.Equal(old.members, next.members)
	if unchanged {
		next.members = old.members
	}
	unchanged = unchanged && maps.Equal(old.leaving, next.leaving) && maps.Equal(old.down, next.down)
	c.service.view.Store(next)
	if unchanged {
		return
	}
	c.logChange(old, next)
	for _, f := range c.subscribers {
		f(now, next.members)
	}
}

func toSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}

func (c *control) logChange(old, next *view) {
	for _, name := range slices.Sorted(maps.Keys(next.leaving)) {
		if !old.leaving[name] {
			c.service.log.Change("VM leaving", api.Fields{"vm": name})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(next.down)) {
		if !old.down[name] {
			c.service.log.Change("upstream down", api.Fields{"upstream": name})
		}
	}
}

func (c *control) recordListHealth(_ time.Duration, err error) {
	before := c.listErr
	c.listErr = err
	if (err == nil) == (before == nil) {
		return
	}
	if err != nil {
		c.service.log.Change("membership list unreachable", api.Fields{"error": err.Error()})
		return
	}
	c.service.log.Change("membership list reachable", nil)
}

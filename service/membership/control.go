package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/membership"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// control is what the control loop owns.
type control struct {
	service     *service
	state       *membership.State
	subscribers []func(now time.Duration, members []api.VM)
	notify      func(vms []string)
	down        error
}

func (c *control) configure(now time.Duration, snap *api.Snapshot) {
	vms := make(map[string]string, len(snap.Config.Upstreams))
	for name, u := range snap.Config.Upstreams {
		vms[name] = u.VM
	}
	c.state.Configure(vms)
	c.publish(now)
}

func (c *control) list(now time.Duration, vms []api.VM) {
	_, tell := c.state.ApplyList(now, vms)
	c.publish(now)
	if len(tell) > 0 && c.notify != nil {
		c.notify(tell)
	}
}

func (c *control) learn(now time.Duration, call kernel.Call[learn, api.DigestDecision]) {
	verdict := c.state.ApplyDigest(now, call.Query.digest, call.Query.direct)
	if verdict == api.DigestAccepted {
		c.publish(now)
	}
	call.Reply(verdict)
}

// LinkUp notes a link that came up.
func (c *control) LinkUp(now time.Duration, upstream string, s api.LinkState) {
	c.state.LinkUp(upstream, s.Incarnation)
	c.publish(now)
}

// LinkDown notes a link that was lost.
func (c *control) LinkDown(now time.Duration, upstream string) {
	c.state.LinkDown(upstream)
	c.publish(now)
}

// LoadReport is a heartbeat. It names the incarnation; the link is up already.
func (c *control) LoadReport(_ time.Duration, l api.Load) { c.state.LinkUp(l.Upstream, l.Incarnation) }

// publish puts the present view where other goroutines see it, and tells
// subscribers if it differs.
func (c *control) publish(now time.Duration) {
	old := c.service.view.Load()
	next := &view{
		members:   c.state.Members(),
		leaving:   setOf(c.state.Leaving(now)),
		down:      setOf(c.state.Down(now)),
		at:        now,
		sightings: c.state.Sightings(now),
	}
	same := slices.Equal(old.members, next.members)
	if same {
		next.members = old.members
	}
	same = same && maps.Equal(old.leaving, next.leaving) && maps.Equal(old.down, next.down)
	c.service.view.Store(next)
	if same {
		return
	}
	c.logChange(old, next)
	for _, f := range c.subscribers {
		f(now, next.members)
	}
}

func setOf(names []string) map[string]bool {
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

func (c *control) noteHealth(_ time.Duration, err error) {
	was := c.down
	c.down = err
	if (err == nil) == (was == nil) {
		return
	}
	if err != nil {
		c.service.log.Change("membership list unreachable", api.Fields{"error": err.Error()})
		return
	}
	c.service.log.Change("membership list reachable", nil)
}

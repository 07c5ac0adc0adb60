package pool

import (
	"context"
	"math/rand/v2"

	"github.com/mulberryfork/mulberryfork/proof/schedule"
	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
)

const (
	// trickleRate is a bandwidth in bytes per second, lower than the rate at which the
	// engine generates a response.
	trickleRate = 2000
	// extraDials is the number of additional dials for each connection.
	extraDials = 2
)

// Kind is a kind of fault or operation in a pool.
type Kind = schedule.Kind[*Pool]

// Kinds lists all kinds of faults and operations. Steps of different kinds can run at
// the same time.
var Kinds = []Kind{
	{Name: "delay", Make: delay},
	{Name: "cut_one_way", Make: cutOneWay},
	{Name: "partition", Make: partition},
	{Name: "trickle", Make: trickle},
	{Name: "reset", Make: reset},
	{Name: "loss", Make: loss},
	{Name: "duplicate", Make: duplicate},
	{Name: "pause", Make: func(p *Pool, r *rand.Rand) schedule.Step { return schedule.Pause(schedule.Pick(p.Nodes(), r)) }},
	{Name: "kill_router", Make: func(p *Pool, r *rand.Rand) schedule.Step { return schedule.Kill(schedule.Pick(p.Routers, r)) }},
	{Name: "kill_agent", Make: func(p *Pool, r *rand.Rand) schedule.Step { return schedule.Kill(schedule.Pick(p.Agents, r)) }},
	{Name: "engine_crash", Make: engineCrash},
	{Name: "config_down", Make: configDown},
	{Name: "config_stale", Make: configStale},
	{Name: "zone_out", Make: zoneOut},
	{Name: "leaving", Make: leaving},
	{Name: "roll_routers", Make: func(p *Pool, _ *rand.Rand) schedule.Step { return schedule.RollingRestart(p.Routers) }},
	{Name: "roll_agents", Make: func(p *Pool, r *rand.Rand) schedule.Step {
		return schedule.RollingRestart([]*Node{schedule.Pick(p.Agents, r)})
	}},
}

// drawLink returns the endpoints of a random link in a random direction.
func (p *Pool) drawLink(r *rand.Rand) (from, to string) {
	router, agent := schedule.Pick(p.Routers, r), schedule.Pick(p.Agents, r)
	links := [][2]string{{router.Name, agent.Name}, {agent.Name, agent.Endpoint}, {EndpointCallers, router.Name}, {router.Name, EndpointConfig}}
	l := links[r.IntN(len(links))]
	if r.IntN(2) == 0 {
		return l[1], l[0]
	}
	return l[0], l[1]
}

func delay(p *Pool, r *rand.Rand) schedule.Step {
	from, to := p.drawLink(r)
	return schedule.NetworkFault(p.Network, "delay", from, to, schedule.Delay)
}

func trickle(p *Pool, r *rand.Rand) schedule.Step {
	from, to := p.drawLink(r)
	return schedule.NetworkFault(p.Network, "trickle", from, to, faultproxy.Fault{BytesPerSecond: trickleRate})
}

func reset(p *Pool, r *rand.Rand) schedule.Step {
	from, to := p.drawLink(r)
	return schedule.NetworkFault(p.Network, "reset", from, to, schedule.Reset)
}

func loss(p *Pool, r *rand.Rand) schedule.Step {
	from, to := p.drawLink(r)
	return schedule.NetworkFault(p.Network, "loss", from, to, schedule.Loss)
}

func duplicate(p *Pool, r *rand.Rand) schedule.Step {
	return schedule.NetworkFault(p.Network, "duplicate", schedule.Pick(p.Routers, r).Name, faultproxy.Any, faultproxy.Fault{DuplicateDials: extraDials})
}

// cutOneWay cuts one direction of the link between a router and an agent. Over a
// half-open link, the router can't learn whether an attempt ran.
func cutOneWay(p *Pool, r *rand.Rand) schedule.Step {
	from, to := schedule.Pick(p.Routers, r).Name, schedule.Pick(p.Agents, r).Name
	if r.IntN(2) == 0 {
		from, to = to, from
	}
	return schedule.NetworkFault(p.Network, "cut_one_way", from, to, schedule.Cut)
}

// partition isolates one zone from the others. The services of the platform stay
// reachable.
func partition(p *Pool, r *rand.Rand) schedule.Step {
	zone := schedule.Pick(p.Zones, r)
	var inside, outside []string
	for _, n := range p.Nodes() {
		if n.Zone == zone {
			inside = append(inside, n.Name)
			continue
		}
		outside = append(outside, n.Name)
	}
	return schedule.Step{
		Name:  "partition " + zone,
		Begin: func(context.Context) error { p.Network.Partition(inside, outside); return nil },
		End:   func(context.Context) error { p.Network.Heal(inside, outside); return nil },
	}
}

func engineCrash(p *Pool, r *rand.Rand) schedule.Step {
	name := schedule.Pick(p.Upstreams, r)
	for p.upstreams[name].engine == nil {
		name = schedule.Pick(p.Upstreams, r)
	}
	return schedule.Step{
		Name:  "engine_crash " + name,
		Begin: func(context.Context) error { p.upstreams[name].engine.Crash(); return nil },
	}
}

func configDown(p *Pool, _ *rand.Rand) schedule.Step {
	set := func(down bool) func(context.Context) error {
		return func(context.Context) error {
			for i := range confReplicas {
				p.Config.SetDown(i, down)
			}
			return nil
		}
	}
	return schedule.Step{Name: "config_down", BlocksUpdates: true, Targets: []string{EndpointConfig}, Begin: set(true), End: set(false)}
}

// configStale freezes the replicas of the configuration service: the first at the
// newest revision, the second at the revision before, and so on. It then publishes a
// revision, which becomes visible when the step ends.
func configStale(p *Pool, _ *rand.Rand) schedule.Step {
	return schedule.Step{
		Name: "config_stale", BlocksUpdates: true, Targets: []string{EndpointConfig},
		Begin: func(context.Context) error {
			newest := p.newestRevision()
			for i := range confReplicas {
				p.Config.SetStale(i, max(newest-uint64(i), 1))
			}
			return p.Publish()
		},
		End: func(context.Context) error {
			for i := range confReplicas {
				p.Config.SetStale(i, 0)
			}
			return nil
		},
	}
}

// newestRevision returns the highest revision that any process has applied.
func (p *Pool) newestRevision() uint64 {
	var newest uint64
	known, _ := p.states.get()
	for _, s := range known {
		newest = max(newest, s.Revision)
	}
	return newest
}

func zoneOut(p *Pool, r *rand.Rand) schedule.Step {
	zone := schedule.Pick(p.Zones, r)
	return schedule.Step{
		Name: "zone_out " + zone, Operation: true,
		Begin: func(context.Context) error { return p.SetZoneOut(zone, true) },
		End:   func(context.Context) error { return p.SetZoneOut(zone, false) },
	}
}

func leaving(p *Pool, r *rand.Rand) schedule.Step {
	name := schedule.Pick(p.Upstreams, r)
	return schedule.Step{
		Name: "leaving " + name, Operation: true,
		Begin: func(context.Context) error { return p.SetLeaving(name, true) },
		End:   func(context.Context) error { return p.SetLeaving(name, false) },
	}
}

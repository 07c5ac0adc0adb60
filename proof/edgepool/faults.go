package edgepool

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/mulberryfork/mulberryfork/proof/schedule"
	"github.com/mulberryfork/mulberryfork/standin/crowd"
	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
)

const (
	// storeDelay is the additional latency of a slow store, a hundred times its usual
	// latency.
	storeDelay = 400 * time.Millisecond
	// repeatCount is the number of times that a repeated operation is performed,
	// repeatPause the time after each.
	repeatCount = 3
	repeatPause = 300 * time.Millisecond
)

// Kind is a kind of fault or operation in a pool.
type Kind = schedule.Kind[*Pool]

// Kinds lists all kinds of faults and operations. Steps of different kinds can run at
// the same time.
var Kinds = []Kind{
	{Name: "delay", Make: delay},
	{Name: "cut_one_way", Make: cutOneWay},
	{Name: "silence", Make: silence},
	{Name: "reset", Make: reset},
	{Name: "loss", Make: loss},
	{Name: "pause", Make: pause},
	{Name: "kill_edge", Make: killEdge},
	{Name: "kill_all_edges", Make: killAllEdges},
	{Name: "roll_edges", Make: rollEdges},
	{Name: "hangup", Make: sendHangups},
	{Name: "store_down", Make: storeDown},
	{Name: "store_refuses", Make: storeRefuses},
	{Name: "store_slow", Make: storeSlow},
	{Name: "store_cut", Make: storeCut},
	{Name: "store_forgets", Make: storeHistoryLost},
	{Name: "garble", Make: corruptResponses},
	{Name: "upstream_crash", Make: upstreamCrash},
	{Name: "address_reuse", Make: addressReuse},
	{Name: "leaving", Make: leaving},
	{Name: "zone_out", Make: zoneOut},
	{Name: "move_route", Make: moveRoute},
	{Name: "revoke", Make: revokeKey},
	{Name: "crowd", Make: gatherCrowd},
}

// withoutError adapts a function that returns no error to the type of Step.Begin and
// Step.End.
func withoutError(f func()) func(context.Context) error {
	return func(context.Context) error { f(); return nil }
}

// drawLink returns the endpoints of a random link in a random direction.
func (p *Pool) drawLink(r *rand.Rand) (from, to string) {
	edge := schedule.Pick(p.Edges, r).Name
	from, to = edge, schedule.Pick([]string{schedule.Pick(p.upstreams, r).name, endpointCallers, schedule.Pick(p.Edges, r).Name}, r)
	if r.IntN(2) == 0 {
		return to, from
	}
	return from, to
}

func gatherCrowd(p *Pool, r *rand.Rand) schedule.Step {
	edge := schedule.Pick(p.Edges, r)
	const head = "Host: " + host + "\r\n"
	target := crowd.Target{Path: pathIdempotent + "crowd", Head: head + "X-Api-Key: key-0\r\n", BodyBytes: crowdBodyBytes}
	return schedule.Crowd(edge.Name, edge.callerProxy.Address(), target, head)
}

func delay(p *Pool, r *rand.Rand) schedule.Step {
	from, to := p.drawLink(r)
	return schedule.NetworkFault(p.Network, "delay", from, to, schedule.Delay)
}

func cutOneWay(p *Pool, r *rand.Rand) schedule.Step {
	from, to := p.drawLink(r)
	return schedule.NetworkFault(p.Network, "cut_one_way", from, to, schedule.Cut)
}

func reset(p *Pool, r *rand.Rand) schedule.Step {
	from, to := p.drawLink(r)
	return schedule.NetworkFault(p.Network, "reset", from, to, schedule.Reset)
}

func loss(p *Pool, r *rand.Rand) schedule.Step {
	from, to := p.drawLink(r)
	return schedule.NetworkFault(p.Network, "loss", from, to, schedule.Loss)
}

// silence drops all traffic between an upstream and the other endpoints. It does not
// reset connections.
func silence(p *Pool, r *rand.Rand) schedule.Step {
	name := schedule.Pick(p.upstreams, r).name
	return schedule.Step{
		Name: "silence " + name, Targets: []string{name},
		Begin: withoutError(func() { p.Network.Partition([]string{name}, []string{faultproxy.Any}) }),
		End:   withoutError(func() { p.Network.Heal([]string{name}, []string{faultproxy.Any}) }),
	}
}

func pause(p *Pool, r *rand.Rand) schedule.Step { return schedule.Pause(schedule.Pick(p.Edges, r)) }

func killEdge(p *Pool, r *rand.Rand) schedule.Step { return schedule.Kill(schedule.Pick(p.Edges, r)) }

func (p *Pool) edgeNames() []string {
	var names []string
	for _, e := range p.Edges {
		names = append(names, e.Name)
	}
	return names
}

func killAllEdges(p *Pool, _ *rand.Rand) schedule.Step {
	return schedule.Step{
		Name: "kill all edges", Targets: p.edgeNames(),
		Begin: func(context.Context) error {
			for _, e := range p.Edges {
				if err := e.Kill(); err != nil {
					return err
				}
			}
			return nil
		},
		End: p.launch,
	}
}

// rollEdges restarts one or two edges gracefully, one after the other.
func rollEdges(p *Pool, r *rand.Rand) schedule.Step {
	chosen := []*Edge{schedule.Pick(p.Edges, r)}
	if other := schedule.Pick(p.Edges, r); other != chosen[0] {
		chosen = append(chosen, other)
	}
	return schedule.RollingRestart(chosen)
}

// sendHangups sends SIGHUP to an edge repeatedly. Each signal makes the edge check its
// settings file.
func sendHangups(p *Pool, r *rand.Rand) schedule.Step {
	e := schedule.Pick(p.Edges, r)
	return schedule.Step{
		Name: "hangup " + e.Name, Operation: true, Targets: []string{e.Name},
		Begin: repeatOperation(func() error { return e.Signal(syscall.SIGHUP) }),
	}
}

// repeatOperation returns a function that performs an operation repeatCount times.
func repeatOperation(f func() error) func(context.Context) error {
	return func(ctx context.Context) error {
		for range repeatCount {
			if err := f(); err != nil {
				return err
			}
			if err := schedule.Sleep(ctx, repeatPause); err != nil {
				return err
			}
		}
		return nil
	}
}

func (p *Pool) storeFailure(name string, status int) schedule.Step {
	return schedule.Step{
		Name: name, BlocksUpdates: true, Targets: []string{endpointStore},
		Begin: withoutError(func() { p.Store.SetFailureStatus(status) }),
		End:   withoutError(func() { p.Store.SetFailureStatus(0) }),
	}
}

func storeDown(p *Pool, _ *rand.Rand) schedule.Step {
	return p.storeFailure("store_down", http.StatusServiceUnavailable)
}

func storeRefuses(p *Pool, _ *rand.Rand) schedule.Step {
	return p.storeFailure("store_refuses", http.StatusTooManyRequests)
}

func storeSlow(p *Pool, _ *rand.Rand) schedule.Step {
	s := schedule.NetworkFault(p.Network, "store_slow", endpointStore, faultproxy.Any, faultproxy.Fault{Delay: storeDelay})
	s.BlocksUpdates = true
	return s
}

// storeCut cuts one direction between an edge and the store.
func storeCut(p *Pool, r *rand.Rand) schedule.Step {
	e := schedule.Pick(p.Edges, r)
	s := schedule.NetworkFault(p.Network, "store_cut", endpointStore, e.Name, schedule.Cut)
	if r.IntN(2) == 0 {
		s = schedule.NetworkFault(p.Network, "store_cut", e.Name, endpointStore, schedule.Cut)
	}
	s.Nodes, s.BlocksUpdates = []string{e.Name}, true
	return s
}

// storeHistoryLost suppresses the store's watch events while the configuration changes
// and then drops the store's history, so that edges can't catch up from watch events.
func storeHistoryLost(p *Pool, _ *rand.Rand) schedule.Step {
	return schedule.Step{
		Name: "store_forgets", BlocksUpdates: true, Targets: []string{endpointStore},
		Begin: func(ctx context.Context) error {
			p.Store.SetEventsSuppressed(true)
			p.operator.moveRoute()
			if err := schedule.Sleep(ctx, time.Second); err != nil {
				return err
			}
			p.Store.Compact()
			p.Store.SetEventsSuppressed(false)
			return nil
		},
	}
}

func corruptResponses(p *Pool, _ *rand.Rand) schedule.Step {
	return schedule.Step{
		Name:  "garble",
		Begin: withoutError(func() { p.corrupting.Store(true) }),
		End:   withoutError(func() { p.corrupting.Store(false) }),
	}
}

// upstreamCrash replaces an upstream by a new incarnation of the same service, in cold
// start.
func upstreamCrash(p *Pool, r *rand.Rand) schedule.Step {
	u := schedule.Pick(p.upstreams, r)
	return schedule.Step{
		Name: "crash " + u.name, Targets: []string{u.name},
		Begin: func(context.Context) error { return u.replace(u.service(), coldDuration) },
	}
}

// addressReuse replaces an upstream by one of the other service at the same address. It
// reverts the change when the step ends.
func addressReuse(p *Pool, r *rand.Rand) schedule.Step {
	u := schedule.Pick(p.upstreams, r)
	swap := func(context.Context) error {
		if u.service() == services[0] {
			return u.replace(services[1], 0)
		}
		return u.replace(services[0], 0)
	}
	return schedule.Step{Name: "reuse " + u.name, Targets: []string{u.name}, Begin: swap, End: swap}
}

func leaving(p *Pool, r *rand.Rand) schedule.Step {
	u := schedule.Pick(p.upstreams, r)
	return schedule.Step{
		Name: "leaving " + u.name, Operation: true, Targets: []string{u.name},
		Begin: withoutError(func() { u.setLeaving(true) }),
		End:   withoutError(func() { u.setLeaving(false) }),
	}
}

func zoneOut(p *Pool, r *rand.Rand) schedule.Step {
	zone := schedule.Pick(zones, r)
	return schedule.Step{
		Name: "zone_out " + zone, Operation: true, Targets: []string{zone},
		Begin: withoutError(func() { p.setZoneOut(zone, true) }),
		End:   withoutError(func() { p.setZoneOut(zone, false) }),
	}
}

func moveRoute(p *Pool, _ *rand.Rand) schedule.Step {
	return schedule.Step{
		Name: "move_route", Operation: true,
		Begin: repeatOperation(func() error { p.operator.moveRoute(); return nil }),
	}
}

func revokeKey(p *Pool, r *rand.Rand) schedule.Step {
	valid, _ := p.operator.credentials()
	member := schedule.Pick(valid, r).member
	return schedule.Step{
		Name: "revoke " + member, Operation: true,
		Begin: withoutError(func() { p.operator.revokeKey(member) }),
	}
}

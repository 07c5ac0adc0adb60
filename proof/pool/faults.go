package pool

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
)

// Sizes of the faults in the network.
const (
	faultDelay  = 30 * time.Millisecond
	faultJitter = 20 * time.Millisecond
	// faultTrickle is slower than an answer is generated.
	faultTrickle = 2000
	faultReset   = 3000
	faultLoss    = 0.02
	faultStall   = 200 * time.Millisecond
	duplicates   = 2
)

// Step is one fault or operation with the targets drawn for it.
type Step struct {
	Name string
	// Nodes are the processes that it touches, empty for all.
	Nodes []string
	// Hides says that it keeps publications from these processes.
	Hides bool
	// Operation marks what operators do on purpose; it is no fault.
	Operation bool
	// targets are what the step takes hold of; two steps with a common one
	// can't run beside each other.
	targets []string
	begin   func(context.Context) error
	end     func(context.Context) error
}

// Kind makes a step, with targets that it draws.
type Kind struct {
	Name string
	make func(*Pool, *rand.Rand) Step
}

// Kinds are all faults and operations. A step of any kind can run beside one of
// any other.
var Kinds = []Kind{
	{"delay", delay},
	{"cut_one_way", cutOneWay},
	{"partition", partition},
	{"trickle", trickle},
	{"reset", reset},
	{"loss", loss},
	{"duplicate", duplicate},
	{"pause", pause},
	{"kill_router", func(p *Pool, r *rand.Rand) Step { return kill(pick(p.Routers, r)) }},
	{"kill_agent", func(p *Pool, r *rand.Rand) Step { return kill(pick(p.Agents, r)) }},
	{"engine_crash", crash},
	{"config_down", configDown},
	{"config_stale", configStale},
	{"zone_out", zoneOut},
	{"leaving", leaving},
	{"roll_routers", func(p *Pool, _ *rand.Rand) Step { return roll(p.Routers) }},
	{"roll_agents", func(p *Pool, r *rand.Rand) Step { return roll([]*Node{pick(p.Agents, r)}) }},
}

// UnknownKindError reports a step that is not in Kinds.
type UnknownKindError struct{ Name string }

func (e *UnknownKindError) Error() string { return "no fault of kind " + e.Name }

// maxDraws bounds the draws for steps that don't take hold of the same targets.
const maxDraws = 100

// Draw makes steps that can run beside each other, one of each kind.
func (p *Pool) Draw(random *rand.Rand, kinds ...string) ([]Step, error) {
	var steps []Step
	taken := make(map[string]bool)
	for _, kind := range kinds {
		s, err := p.draw(random, kind, taken)
		if err != nil {
			return nil, err
		}
		for _, t := range s.targets {
			taken[t] = true
		}
		steps = append(steps, s)
	}
	return steps, nil
}

// draw makes one step. One that finds all its targets taken is left out.
func (p *Pool) draw(random *rand.Rand, kind string, taken map[string]bool) (Step, error) {
	at := slices.IndexFunc(Kinds, func(k Kind) bool { return k.Name == kind })
	if at < 0 {
		return Step{}, &UnknownKindError{kind}
	}
	for range maxDraws {
		s := Kinds[at].make(p, random)
		if !slices.ContainsFunc(s.targets, func(t string) bool { return taken[t] }) {
			return s, nil
		}
	}
	return Step{Name: "no " + kind, Operation: true}, nil
}

func pick[T any](list []T, random *rand.Rand) T { return list[random.IntN(len(list))] }

// Apply begins steps, holds them and ends them in reverse order.
func (p *Pool) Apply(ctx context.Context, steps []Step, hold func(context.Context) error) error {
	for _, s := range steps {
		from := p.Now()
		if !s.Operation {
			p.Recorder.Add(func(r *proof.Record) {
				r.Faults = append(r.Faults, proof.Fault{Name: s.Name, From: from, Nodes: s.Nodes, Hides: s.Hides})
			})
		}
		if s.begin == nil {
			continue
		}
		if err := s.begin(ctx); err != nil {
			return err
		}
		defer p.healed(s, from)
	}
	if err := hold(ctx); err != nil {
		return err
	}
	for i := len(steps) - 1; i >= 0; i-- {
		if steps[i].end == nil {
			continue
		}
		if err := steps[i].end(ctx); err != nil {
			return err
		}
	}
	return p.Settle(ctx)
}

// healed records the end of a fault, which is when all processes have settled.
func (p *Pool) healed(s Step, from time.Duration) {
	p.Recorder.Add(func(r *proof.Record) {
		for i := range r.Faults {
			if f := &r.Faults[i]; f.Name == s.Name && f.From == from {
				f.Until = p.Now()
			}
		}
	})
}

// rule is a step that puts a fault on a direction of the network.
func (p *Pool) rule(kind, from, to string, f faultproxy.Fault) Step {
	return Step{
		Name: kind + " " + from + " to " + to, targets: []string{from + " to " + to},
		begin: func(context.Context) error { p.Network.Set(from, to, f); return nil },
		end:   func(context.Context) error { p.Network.Clear(from, to); return nil },
	}
}

// link draws two sides with a link between them, in either direction.
func (p *Pool) link(r *rand.Rand) (from, to string) {
	router, agent := pick(p.Routers, r), pick(p.Agents, r)
	links := [][2]string{{router.Name, agent.Name}, {agent.Name, agent.Side}, {SideCallers, router.Name}, {router.Name, SideConfig}}
	l := links[r.IntN(len(links))]
	if r.IntN(2) == 0 {
		return l[1], l[0]
	}
	return l[0], l[1]
}

func delay(p *Pool, r *rand.Rand) Step {
	from, to := p.link(r)
	return p.rule("delay", from, to, faultproxy.Fault{Delay: faultDelay, Jitter: faultJitter})
}

func trickle(p *Pool, r *rand.Rand) Step {
	from, to := p.link(r)
	return p.rule("trickle", from, to, faultproxy.Fault{BytesPerSecond: faultTrickle})
}

func reset(p *Pool, r *rand.Rand) Step {
	from, to := p.link(r)
	return p.rule("reset", from, to, faultproxy.Fault{ResetAfter: faultReset})
}

func loss(p *Pool, r *rand.Rand) Step {
	from, to := p.link(r)
	return p.rule("loss", from, to, faultproxy.Fault{LossRate: faultLoss, Stall: faultStall})
}

func duplicate(p *Pool, r *rand.Rand) Step {
	return p.rule("duplicate", pick(p.Routers, r).Name, faultproxy.Any, faultproxy.Fault{Duplicates: duplicates})
}

// cutOneWay acts between a router and an agent, where a half-open link hides
// what became of a send.
func cutOneWay(p *Pool, r *rand.Rand) Step {
	from, to := pick(p.Routers, r).Name, pick(p.Agents, r).Name
	if r.IntN(2) == 0 {
		from, to = to, from
	}
	return p.rule("cut_one_way", from, to, faultproxy.Fault{Cut: true})
}

// partition splits one zone from the others; the platform stays reachable.
func partition(p *Pool, r *rand.Rand) Step {
	zone := pick(p.Zones, r)
	var inside, outside []string
	for _, n := range p.Nodes() {
		if n.Zone == zone {
			inside = append(inside, n.Name)
			continue
		}
		outside = append(outside, n.Name)
	}
	return Step{
		Name:  "partition " + zone,
		begin: func(context.Context) error { p.Network.Partition(inside, outside); return nil },
		end:   func(context.Context) error { p.Network.Heal(inside, outside); return nil },
	}
}

func pause(p *Pool, r *rand.Rand) Step {
	n := pick(p.Nodes(), r)
	return Step{
		Name: "pause " + n.Name, Nodes: []string{n.Name}, Hides: true, targets: []string{n.Name},
		begin: func(context.Context) error { return n.Signal(syscall.SIGSTOP) },
		end:   func(context.Context) error { return n.Signal(syscall.SIGCONT) },
	}
}

func kill(n *Node) Step {
	return Step{
		Name: "kill " + n.Name, targets: []string{n.Name},
		begin: func(context.Context) error { return n.Kill() },
		end:   n.Start,
	}
}

func crash(p *Pool, r *rand.Rand) Step {
	name := pick(p.Upstreams, r)
	for p.upstreams[name].engine == nil {
		name = pick(p.Upstreams, r)
	}
	return Step{
		Name:  "engine_crash " + name,
		begin: func(context.Context) error { p.upstreams[name].engine.Crash(); return nil },
	}
}

func configDown(p *Pool, _ *rand.Rand) Step {
	set := func(down bool) func(context.Context) error {
		return func(context.Context) error {
			for i := range confReplicas {
				p.Config.SetDown(i, down)
			}
			return nil
		}
	}
	return Step{Name: "config_down", Hides: true, targets: []string{SideConfig}, begin: set(true), end: set(false)}
}

// configStale holds the replicas at different ages, the oldest one revision
// behind, and publishes another revision that only shows when it ends.
func configStale(p *Pool, _ *rand.Rand) Step {
	return Step{
		Name: "config_stale", Hides: true, targets: []string{SideConfig},
		begin: func(context.Context) error {
			newest := p.newest()
			for i := range confReplicas {
				p.Config.SetStale(i, max(newest-uint64(i), 1))
			}
			return p.Publish()
		},
		end: func(context.Context) error {
			for i := range confReplicas {
				p.Config.SetStale(i, 0)
			}
			return nil
		},
	}
}

// newest is the highest revision that any process has in force.
func (p *Pool) newest() uint64 {
	var newest uint64
	known, _ := p.states.get()
	for _, s := range known {
		newest = max(newest, s.Revision)
	}
	return newest
}

func zoneOut(p *Pool, r *rand.Rand) Step {
	zone := pick(p.Zones, r)
	return Step{
		Name: "zone_out " + zone, Operation: true,
		begin: func(context.Context) error { return p.SetZoneOut(zone, true) },
		end:   func(context.Context) error { return p.SetZoneOut(zone, false) },
	}
}

func leaving(p *Pool, r *rand.Rand) Step {
	name := pick(p.Upstreams, r)
	return Step{
		Name: "leaving " + name, Operation: true,
		begin: func(context.Context) error { return p.SetLeaving(name, true) },
		end:   func(context.Context) error { return p.SetLeaving(name, false) },
	}
}

// roll restarts processes one after the other by planned stops.
func roll(nodes []*Node) Step {
	var names []string
	for _, n := range nodes {
		names = append(names, n.Name)
	}
	return Step{
		Name: "roll " + strings.Join(names, " "), Operation: true, targets: names,
		begin: func(ctx context.Context) error {
			for _, n := range nodes {
				if err := n.Restart(ctx); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

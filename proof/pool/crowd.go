package pool

import (
	"context"
	"math/rand/v2"

	"github.com/mulberryfork/mulberryfork/proof/schedule"
	"github.com/mulberryfork/mulberryfork/standin/crowd"
)

const (
	// crowdPart selects one in crowdPart clients of each pattern, several hundred in all.
	crowdPart = 40
	// crowdBodyBytes is the body size of clients that send large bodies.
	crowdBodyBytes = 1 << 20
	// overloadMemoryMB is the memory limit of each process, from which it derives what
	// connections may hold.
	overloadMemoryMB = 192
)

// OverloadKinds lists the kinds of faults of a run with more requests than capacity, in
// addition to Kinds.
var OverloadKinds = []Kind{
	{Name: "crowd", Make: gatherCrowd},
	{Name: "reform_groups", Make: reformGroups},
}

// gatherCrowd lets clients that nobody controls open connections to a router and send
// bodies and headers that stop, never end or exceed the limits.
func gatherCrowd(p *Pool, r *rand.Rand) schedule.Step {
	router := schedule.Pick(p.Routers, r)
	const path, head = "/v1/chat/completions", "Host: h\r\nAuthorization: Bearer crowd\r\n"
	patterns := append(crowd.Bodies(crowd.Target{Path: path, Head: head, BodyBytes: crowdBodyBytes}), crowd.Connections(path, head)...)
	var gathered *crowd.Crowd
	return schedule.Step{
		Name: "crowd " + router.Name, Targets: []string{"crowd"},
		Begin: func(context.Context) error {
			gathered = crowd.Gather(router.inbound["http"].Address(), crowd.Part(patterns, crowdPart)...)
			return nil
		},
		End: func(context.Context) error { gathered.Leave(); return nil },
	}
}

// reformGroups crashes the engines of all groups at the same time, so that all start cold
// while requests wait.
func reformGroups(p *Pool, _ *rand.Rand) schedule.Step {
	return schedule.Step{
		Name: "reform_groups",
		Begin: func(context.Context) error {
			for _, u := range p.upstreams {
				if u.engine != nil {
					u.engine.Crash()
				}
			}
			return nil
		},
	}
}

package pool

import (
	"context"
	"math/rand/v2"

	"github.com/mulberryfork/mulberryfork/proof/schedule"
	"github.com/mulberryfork/mulberryfork/standin/crowd"
)

const (
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

func gatherCrowd(p *Pool, r *rand.Rand) schedule.Step {
	router := schedule.Pick(p.Routers, r)
	const host = "Host: h\r\n"
	token := "Authorization: Bearer " + tokenPrefix + newCatalog(p.layout).members[0] + "\r\n"
	return schedule.Crowd(router.Name, router.inbound["http"].Address(),
		crowd.Target{Path: "/v1/chat/completions", Head: host + token, BodyBytes: crowdBodyBytes}, host)
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

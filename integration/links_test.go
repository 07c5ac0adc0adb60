package integration_test

import (
	"testing"

	"github.com/mulberryfork/mulberryfork/standin/faultproxy"
)

// A router that still receives from its agent but can't reach it must drop the
// link. It once kept the link and sent requests on it until their deadlines
// expired.
func TestLinkCutTowardsAgentIsDropped(t *testing.T) {
	t.Parallel()
	ctx, p := startPool(t, "vale-do-sousa")
	load := p.StartLoad(callers, seed)
	defer load.Stop()
	router, agent := p.Routers[0], p.Agents[0]
	p.Network.Set(router.Name, agent.Name, faultproxy.Fault{Cut: true})
	if err := p.AwaitLinkLost(ctx); err != nil {
		t.Fatal(err)
	}
	p.Network.Clear(router.Name, agent.Name)
	if err := p.Settle(ctx); err != nil {
		t.Fatal(err)
	}
	load.Stop()
	checkAllVerdicts(t, p.Record())
}

package pool

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
)

const (
	// competingMembers members compete with callersPerPriority callers at each priority.
	// Together they ask for about twice what the model upstreams run at once.
	competingMembers   = 4
	callersPerPriority = 4
	// competingTokens makes a request run for about 1.3 s. competingTimeout is shorter than
	// the wait of all.
	competingTokens  = 250
	competingTimeout = 4 * time.Second
	// competingPause is the time between two requests of a caller. It is shorter than any
	// Retry-After, like that of clients that ignore it.
	competingPause = 200 * time.Millisecond
	// overloadQueueRequests replaces the bound of a member's queue, so that a few callers
	// reach it.
	overloadQueueRequests = 4
)

var competingPriorities = []int32{-3, 0, 3}

// Competition is a group of callers that ask for more than the capacity, the same for each
// member and priority.
type Competition struct {
	load    *Load
	callers sync.WaitGroup
}

// StartCompetition starts the callers of a competition. Their requests are determined by
// the seed.
func (p *Pool) StartCompetition(seed uint64) *Competition {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Competition{load: p.newLoad(cancel)}
	model := c.load.catalog.models[0]
	for m, member := range equalMembers(p.layout.config, competingMembers) {
		for level, priority := range competingPriorities {
			for n := range callersPerPriority {
				caller := (m*len(competingPriorities)+level)*callersPerPriority + n
				random := rand.New(rand.NewPCG(seed, uint64(caller)))
				c.callers.Go(func() {
					c.load.compete(ctx, fmt.Sprintf("competitor-%d", caller), request{member: member, priority: priority}, model, random)
				})
			}
		}
	}
	return c
}

// Stop waits for the requests in flight and stops the callers.
func (c *Competition) Stop() {
	c.load.cancel()
	c.callers.Wait()
}

// compete sends requests of one member and priority, one after another. A third of them
// must run at most once, and half of them are streams.
func (l *Load) compete(ctx context.Context, caller string, q request, model string, random *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		next := q
		next.id, next.timeout, next.competing = fmt.Sprintf("%s-%d", caller, i), competingTimeout, true
		l.catalog.fillCompletionOf(&next, model, competingTokens, random.IntN(2) == 0)
		if random.IntN(3) == 0 {
			next.idempotencyHeader, next.idempotent = "false", false
		}
		l.send(next, 1, "", random)
		_ = schedule.Sleep(ctx, competingPause)
	}
}

// equalMembers returns up to n members with the smallest share that may use all upstreams.
func equalMembers(c *api.Config, n int) []string {
	var equal []string
	for _, name := range slices.Sorted(maps.Keys(c.Members)) {
		m := c.Members[name]
		if m.Share == 1 && len(m.Zones) == 0 && len(m.Upstreams) == 0 && len(equal) < n {
			equal = append(equal, name)
		}
	}
	return equal
}

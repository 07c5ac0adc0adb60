package edgepool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
	"github.com/mulberryfork/mulberryfork/standin/platformcaller"
	"github.com/mulberryfork/mulberryfork/standin/platformworker"
)

const (
	drillRequestTimeout = 2 * time.Second
	minRequestInterval  = 40 * time.Millisecond
	maxRequestInterval  = 50 * time.Millisecond
)

// drillLoad sends requests of all kinds at all edges, without the proxies of the callers.
type drillLoad struct {
	pool    *Pool
	store   *drillStore
	cancel  context.CancelFunc
	callers sync.WaitGroup
}

func (p *Pool) startDrillLoad(s *drillStore, seed uint64) *drillLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &drillLoad{pool: p, store: s, cancel: cancel}
	for i, e := range p.Edges {
		for kind := range drillRequestKinds {
			random := rand.New(rand.NewPCG(seed, uint64(i*drillRequestKinds+kind)<<callerSeedShift))
			l.callers.Go(func() { l.call(ctx, e, kind, random) })
		}
	}
	return l
}

// stop waits for the requests in flight and stops the callers.
func (l *drillLoad) stop() {
	l.cancel()
	l.callers.Wait()
}

// call sends requests of a kind at an edge, on one connection per process.
func (l *drillLoad) call(ctx context.Context, e *Edge, kind int, random *rand.Rand) {
	var client *platformcaller.Caller
	var connected string
	for i := 0; ctx.Err() == nil; i++ {
		next := l.pool.Now() + minRequestInterval + time.Duration(random.Int64N(int64(maxRequestInterval-minRequestInterval)))
		address, startedAt := e.receiver()
		if address != connected {
			if client != nil {
				client.Close()
			}
			client, connected = platformcaller.New(address), address
		}
		id := fmt.Sprintf("%s-%d-%d", e.Name, kind, i)
		l.send(client, e, l.store.newest().draw(kind, random), id, startedAt)
		_ = schedule.Sleep(ctx, next-l.pool.Now())
	}
	client.Close()
}

func (l *drillLoad) send(c *platformcaller.Caller, e *Edge, q drillRequest, id string, processStart time.Duration) {
	attempt := proof.Attempt{
		ID: id, Request: id, Member: "member-0", Key: q.key, Path: q.path, Router: e.Name, Idempotent: true,
		Expected: platformworker.CompleteBody(id), ProcessStart: processStart, Begin: l.pool.Now(),
	}
	response := c.Send(context.Background(), platformcaller.Request{
		ID: id, Host: host, Path: q.path + id, APIKey: q.key, Body: platformworker.Complete + " " + id, Timeout: drillRequestTimeout,
	})
	attempt.End, attempt.Status = l.pool.Now(), response.Status
	setResponse(&attempt, response)
	l.pool.UpdateRecord(func(r *proof.Record) { r.Attempts = append(r.Attempts, attempt) })
}

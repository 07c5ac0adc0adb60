package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/proof"
)

const (
	// requestTimeout is the timeout that callers send with a request. They wait
	// callerMargin longer for a router that does not answer.
	requestTimeout = 8 * time.Second
	callerMargin   = 4 * time.Second
	// maxKeyedAttempts bounds the attempts of a request with a bound key.
	maxKeyedAttempts = 3
	// pauseAfterFailure limits the number of rejected requests in the record.
	pauseAfterFailure = 50 * time.Millisecond
	// callerShift separates the caller's number from the number of its request in a
	// random seed.
	callerShift = 32
)

// Load is a group of callers, each of which sends one request after another.
type Load struct {
	pool    *Pool
	catalog catalog
	client  *http.Client
	cancel  context.CancelFunc
	callers sync.WaitGroup

	mu   sync.Mutex
	done int
	// changed is closed and replaced when a request is done.
	changed chan struct{}
}

// StartLoad starts callers whose requests are determined by the seed.
func (p *Pool) StartLoad(callers int, seed uint64) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{
		pool: p, catalog: newCatalog(p.layout), cancel: cancel, changed: make(chan struct{}),
		// Each request uses its own connection, like those of callers behind the
		// platform's load balancer. On a kept connection, a request that fails
		// because the router closes the idle connection can't be distinguished from
		// an interrupted one.
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout + callerMargin},
	}
	for i := range callers {
		l.callers.Go(func() { l.runCaller(ctx, i, seed) })
	}
	return l
}

// Stop stops the callers after their requests in flight.
func (l *Load) Stop() {
	l.cancel()
	l.callers.Wait()
}

// Await waits until the given number of further requests is done.
func (l *Load) Await(ctx context.Context, further int) error {
	l.mu.Lock()
	target := l.done + further
	for l.done < target {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		l.mu.Lock()
	}
	l.mu.Unlock()
	return nil
}

func (l *Load) runCaller(ctx context.Context, caller int, seed uint64) {
	for i := 0; ctx.Err() == nil; i++ {
		// Each request has its own random source, so that its values don't depend
		// on the number of attempts of earlier requests.
		random := rand.New(rand.NewPCG(seed, uint64(caller)<<callerShift|uint64(i)))
		q := l.catalog.draw(random, fmt.Sprintf("caller-%d-%d", caller, i))
		if !l.perform(ctx, q, random) {
			select {
			case <-ctx.Done():
			case <-time.After(pauseAfterFailure):
			}
		}
		l.mu.Lock()
		l.done++
		close(l.changed)
		l.changed = make(chan struct{})
		l.mu.Unlock()
	}
}

// perform sends one request, with retries if it has a bound key, and reports
// whether it was answered.
func (l *Load) perform(ctx context.Context, q request, random *rand.Rand) bool {
	if !q.usesKey {
		return l.send(q, 1, "", random).Complete
	}
	key := l.issueKey(q, random)
	if key == "" {
		return false
	}
	answered := false
	for n := 1; n <= maxKeyedAttempts && !answered && ctx.Err() == nil; n++ {
		answered = l.send(q, n, key, random).Complete
	}
	l.recordOutcome(q, key, random)
	return answered
}

// pickRouter picks a router whose current process reported that it is ready and that
// is not being stopped, as the platform's load balancer does. Without one, it picks
// any router.
func (l *Load) pickRouter(random *rand.Rand) *Node {
	known, _ := l.pool.states.get()
	var ready []*Node
	for _, n := range l.pool.Routers {
		if current, s := n.snapshot(), known[n.Name]; s.Ready && s.incarnation == current.incarnation && !current.stopping {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		ready = l.pool.Routers
	}
	return ready[random.IntN(len(ready))]
}

// send makes one attempt at a request and records its result.
func (l *Load) send(q request, n int, key string, random *rand.Rand) proof.Attempt {
	router := l.pickRouter(random)
	s := proof.Attempt{
		ID: fmt.Sprintf("%s.%d", q.id, n), Request: q.id, Member: q.member, Router: router.Name,
		Idempotent: q.idempotent, Expected: q.expected, Begin: l.pool.Now(),
	}
	e := l.exchange(router, q, s.ID, key)
	s.End, s.Complete, s.Answer, s.Code, s.Run = l.pool.Now(), e.complete, e.answer, e.code, e.run
	l.pool.Recorder.Update(func(r *proof.Record) { r.Attempts = append(r.Attempts, s) })
	return s
}

// recordOutcome queries the outcome of a request and records it if it is known.
func (l *Load) recordOutcome(q request, key string, random *rand.Rand) {
	o, ok := l.queryOutcome(l.pickRouter(random), q, key)
	if !ok || o.Run == api.RunUnknown {
		return
	}
	l.pool.Recorder.Update(func(r *proof.Record) {
		r.Outcomes = append(r.Outcomes, proof.Outcome{Request: q.id, At: l.pool.Now(), Run: o.Run, Done: o.Done})
	})
}

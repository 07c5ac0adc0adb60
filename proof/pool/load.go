package pool

import (
	"cmp"
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
	// requestTimeout is the timeout that callers send with a request. If the router
	// does not respond, they give up callerMargin later.
	requestTimeout = 8 * time.Second
	callerMargin   = 4 * time.Second
	// maxKeyedAttempts limits the attempts of a request with a bound idempotency key.
	maxKeyedAttempts = 3
	// pauseAfterFailure is the time between a failed request and the next one of the
	// same caller. It limits the number of rejected requests in the record.
	pauseAfterFailure = 50 * time.Millisecond
	// callerSeedShift is the position of the caller's number in a random seed. The
	// bits below it hold the number of the request.
	callerSeedShift = 32
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
	l := p.newLoad(cancel)
	for i := range callers {
		l.callers.Go(func() { l.runCaller(ctx, i, seed) })
	}
	return l
}

func (p *Pool) newLoad(cancel context.CancelFunc) *Load {
	return &Load{
		pool: p, catalog: newCatalog(p.layout), cancel: cancel, changed: make(chan struct{}),
		// Each request uses its own connection, like those of callers behind the
		// platform's load balancer. On a reused connection, a request that fails
		// because the router closes the idle connection would look like an
		// interrupted one.
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout + callerMargin},
	}
}

// Stop waits for the requests in flight and stops the callers.
func (l *Load) Stop() {
	l.cancel()
	l.callers.Wait()
}

// Await waits until the callers have finished the given number of further requests.
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
		// Each request has its own random source, so that the values drawn for it don't
		// depend on the number of attempts of earlier requests.
		random := rand.New(rand.NewPCG(seed, uint64(caller)<<callerSeedShift|uint64(i)))
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
// whether it got a complete response.
func (l *Load) perform(ctx context.Context, q request, random *rand.Rand) bool {
	if !q.usesKey {
		return l.send(q, 1, "", random).Complete
	}
	key := l.issueKey(q, random)
	if key == "" {
		return false
	}
	complete := false
	for n := 1; n <= maxKeyedAttempts && !complete && ctx.Err() == nil; n++ {
		complete = l.send(q, n, key, random).Complete
	}
	l.recordOutcome(q, key, random)
	return complete
}

// pickRouter returns a random router whose current process reported that it is ready
// and is not being stopped, as the platform's load balancer does. If there is none, it
// returns a random router.
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
	attempt := proof.Attempt{
		ID: fmt.Sprintf("%s.%d", q.id, n), Request: q.id, Member: q.member, Router: router.Name,
		Idempotent: q.idempotent, Expected: q.expected, Priority: q.priority, Competing: q.competing,
		Timeout: cmp.Or(q.timeout, requestTimeout), Begin: l.pool.Now(),
	}
	result := l.exchange(router, q, attempt.ID, key)
	attempt.End, attempt.Complete, attempt.Response, attempt.Code, attempt.Run = l.pool.Now(), result.complete, result.response, result.code, result.run
	l.pool.Recorder.Update(func(r *proof.Record) { r.Attempts = append(r.Attempts, attempt) })
	return attempt
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

package edgepool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/proof/schedule"
	"github.com/mulberryfork/mulberryfork/standin/platformcaller"
	"github.com/mulberryfork/mulberryfork/standin/platformworker"
)

const (
	// requestDeadline bounds the wait of a caller for a response. A caller that cancels
	// its request does so after cancelDelay.
	requestDeadline = 5 * time.Second
	cancelDelay     = 100 * time.Millisecond
	// pauseBetween is the time between the requests of a caller, pauseAfterFailure
	// the time after a failed request.
	pauseBetween      = 10 * time.Millisecond
	pauseAfterFailure = 50 * time.Millisecond
	// One in cancelEvery requests is canceled by its caller. One in revokedEvery uses
	// a revoked key, if there is one.
	cancelEvery  = 20
	revokedEvery = 10
	// callerSeedShift is the position of the caller's number in a random seed. The
	// bits below it hold the number of the request.
	callerSeedShift = 32
)

// corruptResponseKinds lists the kinds of corrupt responses of upstreams.
var corruptResponseKinds = []string{
	platformworker.Refuse, platformworker.Truncated, platformworker.Reset, platformworker.Fail, platformworker.RunThenBusy,
	platformworker.WrongRequestID, platformworker.Unsigned, platformworker.BreakStream, platformworker.BreakMidEvent,
}

// Load is a group of callers, each of which sends one request after another. A caller
// keeps its connection until the connection breaks.
type Load struct {
	pool    *Pool
	cancel  context.CancelFunc
	callers sync.WaitGroup
	done    chan struct{}
}

// StartLoad starts callers whose requests are determined by the seed.
func (p *Pool) StartLoad(callers int, seed uint64) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{pool: p, cancel: cancel, done: make(chan struct{}, 1)}
	for i := range callers {
		l.callers.Go(func() { l.runCaller(ctx, i, seed) })
	}
	return l
}

// Stop waits for the requests in flight and stops the callers.
func (l *Load) Stop() {
	l.cancel()
	l.callers.Wait()
}

// Await waits until the callers have finished the given number of further requests.
func (l *Load) Await(ctx context.Context, further int) error {
	for range further {
		select {
		case <-l.done:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

func (l *Load) runCaller(ctx context.Context, caller int, seed uint64) {
	var edge *Edge
	var client *platformcaller.Caller
	// Where crowds play, one caller of each edge opens a connection for each request: those
	// that are open already show nothing of a lack of room for others.
	fresh := l.pool.options.Open && caller < len(l.pool.Edges)
	for i := 0; ctx.Err() == nil; i++ {
		random := rand.New(rand.NewPCG(seed, uint64(caller)<<callerSeedShift|uint64(i)))
		if client == nil {
			edge = schedule.Pick(l.pool.Edges, random)
			if fresh {
				edge = l.pool.Edges[caller]
			}
			client = platformcaller.New(edge.callerProxy.Address())
		}
		result := l.send(client, edge, random, fmt.Sprintf("%d-%d", caller, i), fresh)
		pause := pauseBetween
		if !result.Complete {
			pause = pauseAfterFailure
		}
		if result.broken || fresh {
			client.Close()
			client = nil
		}
		select {
		case l.done <- struct{}{}:
		default:
		}
		_ = schedule.Sleep(ctx, pause)
	}
	if client != nil {
		client.Close()
	}
}

// attemptResult is an attempt. If broken is set, its connection can't be reused.
type attemptResult struct {
	proof.Attempt
	broken bool
}

// send makes one attempt at a request and records its result. Stopping the load does
// not cancel it.
func (l *Load) send(c *platformcaller.Caller, e *Edge, random *rand.Rand, number string, fresh bool) attemptResult {
	path := schedule.Pick([]string{pathNonIdempotent, pathIdempotent, pathStream, pathMoved}, random)
	id := path + number
	cred := l.drawCredential(random)
	attempt := proof.Attempt{
		ID: id, Request: id, Member: cred.member, Key: cred.key, Path: path, Router: e.Name, Idempotent: path != pathNonIdempotent, Fresh: fresh,
	}
	body, expected := l.drawBody(path, id, random)
	attempt.Expected = expected
	timeout := requestDeadline
	if attempt.Canceled = random.IntN(cancelEvery) == 0; attempt.Canceled {
		timeout, body = cancelDelay, platformworker.Hang+" "+id
	}
	attempt.Begin = l.pool.Now()
	response := c.Send(context.Background(), platformcaller.Request{
		ID: id, Host: host, Path: path + number, APIKey: cred.key, Body: body, Timeout: timeout,
	})
	attempt.End = l.pool.Now()
	attempt.Canceled = attempt.Canceled && response.Status == 0
	setResponse(&attempt, response)
	l.pool.UpdateRecord(func(r *proof.Record) { r.Attempts = append(r.Attempts, attempt) })
	return attemptResult{Attempt: attempt, broken: !response.Complete}
}

// setResponse fills in the response that the caller received. A complete response
// without the upstream's signature is marked, so that it differs from the expected
// one.
func setResponse(attempt *proof.Attempt, response platformcaller.Response) {
	attempt.Complete = response.Complete && response.Status >= 200 && response.Status < 300
	attempt.Response = platformworker.WithoutComments(response.Body)
	if attempt.Complete && !response.Signed {
		attempt.Response = "unsigned: " + response.Body
	}
	switch {
	case response.NotExecuted:
		attempt.Run, attempt.Code = api.NotRun, api.CodeNotReady
	case attempt.Complete:
		attempt.Run = api.Ran
	}
}

func (l *Load) drawCredential(random *rand.Rand) credential {
	valid, revoked := l.pool.operator.credentials()
	if len(revoked) > 0 && random.IntN(revokedEvery) == 0 {
		return schedule.Pick(revoked, random)
	}
	return schedule.Pick(valid, random)
}

// drawBody returns the body of a request, which selects the response of the upstream,
// and the expected response. While Pool.corrupting is set, one body in three selects a
// response that is corrupt on the first attempt.
func (l *Load) drawBody(path, id string, random *rand.Rand) (body, expected string) {
	kind := platformworker.Complete
	if path == pathStream {
		kind = platformworker.Stream
	}
	expected = platformworker.CompleteBody(id)
	if path == pathStream {
		expected = platformworker.StreamBody()
	}
	if l.pool.corrupting.Load() && random.IntN(3) == 0 {
		kind = schedule.Pick(corruptResponseKinds, random)
		if strings.Contains(kind, "stream") || kind == platformworker.BreakMidEvent {
			expected = platformworker.StreamBody()
		} else if path == pathStream {
			kind = platformworker.BreakStream
		}
	}
	return l.pool.padded(kind, kind+" "+id, expected, random)
}

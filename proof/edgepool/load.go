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
	// deadline bounds the wait of a caller for its answer, cancelDelay the wait before
	// a caller cancels its request.
	deadline    = 5 * time.Second
	cancelDelay = 100 * time.Millisecond
	// pauseBetween is the time between the requests of a caller, pauseAfterFailure
	// the time after a failed request.
	pauseBetween      = 10 * time.Millisecond
	pauseAfterFailure = 50 * time.Millisecond
	// One in cancelEvery requests is canceled by its caller. One in revokedEvery uses
	// a revoked key, if there is one.
	cancelEvery  = 20
	revokedEvery = 10
	callerShift  = 32
)

// corruptAnswerKinds lists the kinds of corrupt answers of upstreams.
var corruptAnswerKinds = []string{
	platformworker.Refuse, platformworker.Truncated, platformworker.Reset, platformworker.Fail,
	platformworker.ForeignID, platformworker.Unsigned, platformworker.BreakStream, platformworker.BreakMidEvent,
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

// Stop stops the callers after their requests in flight.
func (l *Load) Stop() {
	l.cancel()
	l.callers.Wait()
}

// Await waits until the given number of further requests is done.
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
	for i := 0; ctx.Err() == nil; i++ {
		random := rand.New(rand.NewPCG(seed, uint64(caller)<<callerShift|uint64(i)))
		if client == nil {
			edge = schedule.Pick(l.pool.Edges, random)
			client = platformcaller.New(edge.callers.Address())
		}
		s := l.send(client, edge, random, fmt.Sprintf("%d-%d", caller, i))
		pause := pauseBetween
		if !s.Complete {
			pause = pauseAfterFailure
		}
		if s.broken {
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

// attemptResult is an attempt, and whether its connection can't be used again.
type attemptResult struct {
	proof.Attempt
	broken bool
}

// send makes one attempt at a request and records its result. Stopping the load does
// not cancel it.
func (l *Load) send(c *platformcaller.Caller, e *Edge, random *rand.Rand, number string) attemptResult {
	path := schedule.Pick([]string{pathOnce, pathRepeat, pathStream, pathMoved}, random)
	id := path + number
	cred := l.drawCredential(random)
	s := proof.Attempt{
		ID: id, Request: id, Member: cred.member, Key: cred.key, Path: path, Router: e.Name, Idempotent: path != pathOnce,
	}
	body, expected := l.drawBody(path, id, random)
	s.Expected = expected
	timeout := deadline
	if s.Canceled = random.IntN(cancelEvery) == 0; s.Canceled {
		timeout, body = cancelDelay, platformworker.Hang+" "+id
	}
	s.Begin = l.pool.Now()
	a := c.Send(context.Background(), platformcaller.Request{
		ID: id, Host: host, Path: path + number, APIKey: cred.key, Body: body, Deadline: timeout,
	})
	s.End = l.pool.Now()
	s.Canceled = s.Canceled && a.Status == 0
	recordAnswer(&s, a)
	l.pool.UpdateRecord(func(r *proof.Record) { r.Attempts = append(r.Attempts, s) })
	return attemptResult{Attempt: s, broken: !a.Complete}
}

// recordAnswer fills in the answer that the caller received. A complete answer without
// the upstream's signature is marked, so that it differs from the expected one.
func recordAnswer(s *proof.Attempt, a platformcaller.Response) {
	s.Complete = a.Complete && a.Status >= 200 && a.Status < 300
	s.Answer = a.Body
	if s.Complete && !a.Signed {
		s.Answer = "unsigned: " + a.Body
	}
	switch {
	case a.NotExecuted:
		s.Run, s.Code = api.NotRun, api.CodeNotReady
	case s.Complete:
		s.Run = api.Ran
	}
}

func (l *Load) drawCredential(random *rand.Rand) credential {
	valid, revoked := l.pool.operator.credentials()
	if len(revoked) > 0 && random.IntN(revokedEvery) == 0 {
		return schedule.Pick(revoked, random)
	}
	return schedule.Pick(valid, random)
}

// drawBody returns the body of a request, which selects the upstream's answer, and the
// expected answer. While the pool corrupts answers, some bodies request an answer
// that is corrupt on its first attempt.
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
		kind = schedule.Pick(corruptAnswerKinds, random)
		if strings.Contains(kind, "stream") || kind == platformworker.BreakMidEvent {
			expected = platformworker.StreamBody()
		} else if path == pathStream {
			kind = platformworker.BreakStream
		}
	}
	return kind + " " + id, expected
}

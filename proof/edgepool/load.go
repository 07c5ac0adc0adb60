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
	// deadline is how long callers wait, patience what one waits that leaves early.
	deadline    = 5 * time.Second
	cancelDelay = 100 * time.Millisecond
	// pauseBetween is the time between the requests of a caller, pauseAfterFailure
	// that after one that failed.
	pauseBetween      = 10 * time.Millisecond
	pauseAfterFailure = 50 * time.Millisecond
	// One request in each of these leaves early or uses a revoked key.
	cancelEvery  = 20
	revokedEvery = 10
	callerShift  = 32
)

// corruptAnswerKinds are the ways in which upstreams spoil answers.
var corruptAnswerKinds = []string{
	platformworker.Refuse, platformworker.Truncated, platformworker.Reset, platformworker.Fail,
	platformworker.Foreign, platformworker.Unsigned, platformworker.BreakStream, platformworker.MidEvent,
}

// Load is a number of callers that send one request after another, each on a
// connection that it keeps until the connection or the process is gone.
type Load struct {
	pool    *Pool
	cancel  context.CancelFunc
	callers sync.WaitGroup
	done    chan struct{}
}

// StartLoad starts callers whose requests follow the seed.
func (p *Pool) StartLoad(callers int, seed uint64) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{pool: p, cancel: cancel, done: make(chan struct{}, 1)}
	for i := range callers {
		l.callers.Go(func() { l.runCaller(ctx, i, seed) })
	}
	return l
}

// Stop lets requests under way end and stops the callers.
func (l *Load) Stop() {
	l.cancel()
	l.callers.Wait()
}

// Await waits until a number of further requests is done.
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
	var kept *platformcaller.Caller
	for i := 0; ctx.Err() == nil; i++ {
		random := rand.New(rand.NewPCG(seed, uint64(caller)<<callerShift|uint64(i)))
		if kept == nil {
			edge = schedule.Pick(l.pool.Edges, random)
			kept = platformcaller.New(edge.callers.Address())
		}
		s := l.send(kept, edge, random, fmt.Sprintf("%d-%d", caller, i))
		pause := pauseBetween
		if !s.Whole {
			pause = pauseAfterFailure
		}
		if s.broken {
			kept.Close()
			kept = nil
		}
		select {
		case l.done <- struct{}{}:
		default:
		}
		_ = schedule.Sleep(ctx, pause)
	}
	if kept != nil {
		kept.Close()
	}
}

// attemptResult is a send, and whether its connection is of no more use.
type attemptResult struct {
	proof.Attempt
	broken bool
}

// send makes one request and records what became of it. It is not cut off by
// the end of the load.
func (l *Load) send(c *platformcaller.Caller, e *Edge, random *rand.Rand, number string) attemptResult {
	path := schedule.Pick([]string{pathOnce, pathRepeat, pathStream, pathMoved}, random)
	id := path + number
	who := l.drawCredential(random)
	s := proof.Attempt{
		ID: id, Request: id, Member: who.member, Key: who.key, Path: path, Router: e.Name, Idempotent: path != pathOnce,
	}
	body, expected := l.drawBody(path, id, random)
	s.Expected = expected
	wait := deadline
	if s.Canceled = random.IntN(cancelEvery) == 0; s.Canceled {
		wait, body = cancelDelay, platformworker.Hang+" "+id
	}
	s.Begin = l.pool.Now()
	a := c.Send(context.Background(), platformcaller.Request{
		ID: id, Host: host, Path: path + number, Key: who.key, Body: body, Deadline: wait,
	})
	s.End = l.pool.Now()
	s.Canceled = s.Canceled && a.Status == 0
	recordAnswer(&s, a)
	l.pool.UpdateRecord(func(r *proof.Record) { r.Sends = append(r.Sends, s) })
	return attemptResult{Attempt: s, broken: !a.Whole}
}

// recordAnswer takes over what the caller saw. A success that is not the upstream's own
// looks whole and is not the answer.
func recordAnswer(s *proof.Attempt, a platformcaller.Answer) {
	s.Whole = a.Whole && a.Status >= 200 && a.Status < 300
	s.Answer = a.Body
	if s.Whole && !a.Signed {
		s.Answer = "unsigned: " + a.Body
	}
	switch {
	case a.NotRun:
		s.Run, s.Code = api.NotRun, api.CodeNotReady
	case s.Whole:
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

// drawBody asks for an answer. Some are spoiled at first while the pool garbles.
func (l *Load) drawBody(path, id string, random *rand.Rand) (body, expected string) {
	kind := platformworker.Whole
	if path == pathStream {
		kind = platformworker.Stream
	}
	expected = platformworker.Answer(id)
	if path == pathStream {
		expected = platformworker.Events()
	}
	if l.pool.corrupting.Load() && random.IntN(3) == 0 {
		kind = schedule.Pick(corruptAnswerKinds, random)
		if strings.Contains(kind, "stream") || kind == platformworker.MidEvent {
			expected = platformworker.Events()
		} else if path == pathStream {
			kind = platformworker.BreakStream
		}
	}
	return kind + " " + id, expected
}

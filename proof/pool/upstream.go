package pool

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/proof"
	"github.com/mulberryfork/mulberryfork/standin/modelengine"
	"github.com/mulberryfork/mulberryfork/standin/plainservice"
)

// Headers by which stand-ins know the sends of callers.
const (
	headerAttempt    = "X-Proof-Send"
	headerRequest    = "X-Proof-Request"
	headerIdempotent = "X-Proof-Repeatable"
)

const (
	stepTime = 5 * time.Millisecond
	// A stand-in engine bears one request more for each warmCompletions that it
	// completed. This is the gain that package coldstart assumes of an upstream,
	// since the configuration states only the cold limit. It crashes if it gets
	// more than the cold limit before the first step.
	completionsPerSlot = 2
	restartTime        = 200 * time.Millisecond
)

// upstream records the runs that its stand-in sees.
type upstream struct {
	pool       *Pool
	name, zone string
	max, cold  int
	engine     *modelengine.Engine
	next       http.Handler

	mu          sync.Mutex
	incarnation uint64
	completions int
}

func newUpstream(p *Pool, name string, u api.Upstream, seed uint64) *upstream {
	s := &upstream{pool: p, name: name, zone: u.Zone, max: u.MaxRequests, cold: u.ColdRequests}
	if u.Kind == api.UpstreamPlain {
		s.next = plainservice.New(plainservice.Options{Clock: kernel.BootClock{}, Seed: seed, Name: name, RestartTime: restartTime})
		return s
	}
	s.engine = modelengine.New(modelengine.Options{
		Clock: kernel.BootClock{}, Seed: seed, Models: u.Models, StepBase: stepTime,
		ColdRequests: u.ColdRequests, ColdCompletions: completionsPerSlot,
		RestartTime: restartTime, ChecksFencing: u.ChecksFencing,
	})
	s.next = s.engine
	return s
}

func (u *upstream) close() {
	if u.engine != nil {
		u.engine.Close()
	}
}

// ServeHTTP records a request that arrived in full and passes it on.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerAttempt) == "" {
		u.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The request was cut short on its way, so it does not run.
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	at := u.recordBegin(r.Header)
	whole := false
	defer func() { u.recordEnd(at, whole) }()
	u.next.ServeHTTP(w, r)
	whole = r.Context().Err() == nil
}

func (u *upstream) recordBegin(h http.Header) int {
	bound := u.limit()
	var at int
	u.pool.Recorder.Update(func(r *proof.Record) {
		at = len(r.Runs)
		r.Runs = append(r.Runs, proof.Run{
			Attempt: h.Get(headerAttempt), Request: h.Get(headerRequest), Idempotent: h.Get(headerIdempotent) == "true",
			Upstream: u.name, Zone: u.zone, Begin: u.pool.Now(), Limit: bound,
		})
	})
	return at
}

// limit is the work that the upstream bears now.
func (u *upstream) limit() int {
	if u.engine == nil {
		return u.max
	}
	incarnation := u.engine.Incarnation()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.incarnation != incarnation {
		u.incarnation, u.completions = incarnation, 0
	}
	return min(u.cold+u.completions/completionsPerSlot, u.max)
}

func (u *upstream) recordEnd(at int, whole bool) {
	u.pool.Recorder.Update(func(r *proof.Record) {
		r.Runs[at].End, r.Runs[at].Complete = u.pool.Now(), whole
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	if whole {
		u.completions++
	}
}

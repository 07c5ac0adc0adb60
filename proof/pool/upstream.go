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

// Headers that identify the attempts of callers to the stand-ins.
const (
	headerAttempt    = "X-Proof-Send"
	headerRequest    = "X-Proof-Request"
	headerIdempotent = "X-Proof-Repeatable"
)

const (
	stepTime = 5 * time.Millisecond
	// completionsPerSlot is the number of completed requests after which a stand-in
	// engine in cold start can run one more request at once. Package coldstart assumes
	// the same growth, because the configuration contains only the cold limit. The
	// engine crashes if it gets more requests than the cold limit before its first
	// step.
	completionsPerSlot = 2
	restartTime        = 200 * time.Millisecond
)

// upstream is the HTTP handler of an upstream. It records the runs of requests and
// passes them to a stand-in.
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
		Clock: kernel.BootClock{}, Seed: seed, Models: u.Models, StepBaseTime: stepTime,
		ColdConcurrency: u.ColdRequests, WarmupCompletions: completionsPerSlot,
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

// ServeHTTP passes a request to the stand-in. It records the run of a caller's request
// whose body was received completely.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerAttempt) == "" {
		u.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The request was truncated, so it does not run.
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	index := u.recordBegin(r.Header)
	complete := false
	defer func() { u.recordEnd(index, complete) }()
	u.next.ServeHTTP(w, r)
	complete = r.Context().Err() == nil
}

// recordBegin records the start of a run and returns its index in the record.
func (u *upstream) recordBegin(h http.Header) int {
	limit := u.limit()
	var index int
	u.pool.Recorder.Update(func(r *proof.Record) {
		index = len(r.Runs)
		r.Runs = append(r.Runs, proof.Run{
			Attempt: h.Get(headerAttempt), Request: h.Get(headerRequest), Idempotent: h.Get(headerIdempotent) == "true",
			Upstream: u.name, Zone: u.zone, Begin: u.pool.Now(), Limit: limit,
		})
	})
	return index
}

// limit returns the current concurrency limit of the upstream, which grows during a
// cold start.
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

func (u *upstream) recordEnd(index int, complete bool) {
	u.pool.Recorder.Update(func(r *proof.Record) {
		r.Runs[index].End, r.Runs[index].Complete = u.pool.Now(), complete
	})
	u.mu.Lock()
	defer u.mu.Unlock()
	if complete {
		u.completions++
	}
}

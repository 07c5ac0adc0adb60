// Package modelengine is a stand-in for a model engine with an OpenAI-compatible
// interface, continuous batching, a prefix cache and a cold start. README.md
// states its protocol.
package modelengine

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/kernel"
)

// Options configures an engine.
type Options struct {
	Clock kernel.Clock
	Seed  uint64
	// Models are loaded at each start.
	Models []string
	// StepBase and StepPerAssignment give the time of a step: the base plus a
	// part for each expert assignment on the hottest rank. Both may be zero.
	StepBase          time.Duration
	StepPerAssignment time.Duration
	// Ranks and Experts size the expert-parallel group; TopK experts serve a token.
	Ranks, Experts, TopK int
	// MaxBatch bounds the requests of a step; others wait.
	MaxBatch int
	// PrefillBlocks is the number of uncached prompt blocks read in a step.
	PrefillBlocks int
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// CacheEventLag delays cache events, CacheEventLoss drops that part of them.
	CacheEventLag  time.Duration
	CacheEventLoss float64
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// LoadTime is how long an order to load a model takes.
	LoadTime time.Duration
	// ColdRequests is the concurrent work that the engine bears until it has
	// completed ColdCompletions requests. It crashes under more. Zero
	// completions mean that it starts warm.
	ColdRequests, ColdCompletions int
	// RestartTime is how long connections are dropped after a crash.
	RestartTime time.Duration
	// ChecksFencing refuses orders with a stale fencing token.
	ChecksFencing bool
	// CrashMarker in a prompt crashes the engine when the request starts.
	CrashMarker string
}

// Defaults of options that are zero.
const (
	defaultMaxBatch      = 32
	defaultCacheBlocks   = 1024
	defaultPrefillBlocks = 8
	defaultExperts       = 8
	defaultTopK          = 2
)

// Engine is the stand-in. It serves HTTP until Close.
type Engine struct {
	options Options
	mux     *http.ServeMux
	wake    chan struct{}
	closed  chan struct{}
	done    chan struct{}

	mu          sync.Mutex
	random      *rand.Rand
	life        life
	downUntil   time.Duration
	stall       time.Duration
	crashes     int
	overloads   int
	executions  record
	incarnation uint64
}

// life is the state that a crash destroys.
type life struct {
	waiting, batch []*job
	arrivals       uint64
	completions    int
	steps          uint64
	stepTime       time.Duration
	cold           bool
	cache          *cache
	reports        []sample
	orders         orders
	// ended is closed by the crash.
	ended chan struct{}
}

// New returns a running engine.
func New(o Options) *Engine {
	o.MaxBatch = orDefault(o.MaxBatch, defaultMaxBatch)
	o.CacheBlocks = orDefault(o.CacheBlocks, defaultCacheBlocks)
	o.PrefillBlocks = orDefault(o.PrefillBlocks, defaultPrefillBlocks)
	o.Ranks = orDefault(o.Ranks, 1)
	o.Experts = orDefault(o.Experts, max(defaultExperts, o.Ranks))
	o.TopK = min(orDefault(o.TopK, defaultTopK), o.Experts)
	e := &Engine{
		options:    o,
		wake:       make(chan struct{}, 1),
		closed:     make(chan struct{}),
		done:       make(chan struct{}),
		random:     rand.New(rand.NewPCG(o.Seed, 0)),
		executions: newRecord(),
	}
	e.begin()
	e.mux = e.routes()
	go e.loop()
	return e
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

// Close stops the step loop and drops all requests.
func (e *Engine) Close() {
	e.mu.Lock()
	close(e.life.ended)
	e.life.ended = make(chan struct{})
	e.life.batch, e.life.waiting = nil, nil
	e.mu.Unlock()
	close(e.closed)
	<-e.done
}

// begin starts a new life with a new incarnation. The lock must be held, or
// the engine not yet shared.
func (e *Engine) begin() {
	e.incarnation = e.random.Uint64()
	e.life = life{
		cold:   e.options.ColdCompletions > 0,
		cache:  newCache(e.options.CacheBlocks),
		orders: newOrders(e.options),
		ended:  make(chan struct{}),
	}
}

// crash drops all connections and all state. The lock must be held.
func (e *Engine) crash() {
	e.crashes++
	close(e.life.ended)
	e.downUntil = e.options.Clock.Now() + e.options.RestartTime
	e.begin()
}

// Crash makes the engine crash and restart cold.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// TurnCold makes the engine cold without a crash or any other sign.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life.cold = true
	e.life.completions = 0
}

// Stall adds time to the next step, as a rank does that stalls.
func (e *Engine) Stall(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stall += d
}

// Totals counts what happened over all incarnations.
type Totals struct {
	Crashes int
	// Overloads are the crashes caused by too much work in cold start.
	Overloads int
}

// Totals returns the counts so far.
func (e *Engine) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Totals{Crashes: e.crashes, Overloads: e.overloads}
}

// Incarnation returns the number that changes with each start.
func (e *Engine) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Executions returns how often requests with an Idempotency-Key started.
func (e *Engine) Executions(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions.byKey[key]
}

// ExecutionsOf returns how often requests with an X-Request-Id started.
func (e *Engine) ExecutionsOf(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions.byRequest[requestID]
}

// record counts starts; it outlives crashes, since only tests read it.
type record struct{ byKey, byRequest map[string]int }

func newRecord() record { return record{byKey: map[string]int{}, byRequest: map[string]int{}} }

func (r record) add(j *job) {
	if j.key != "" {
		r.byKey[j.key]++
	}
	if j.requestID != "" {
		r.byRequest[j.requestID]++
	}
}

func (e *Engine) poisoned(j *job) bool {
	return e.options.CrashMarker != "" && strings.Contains(j.prompt, e.options.CrashMarker)
}

// Package modelengine is a stand-in for a model engine with an OpenAI-compatible
// interface, continuous batching, a prefix cache and a cold start. README.md
// describes its protocol.
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
	// Models are loaded whenever the engine starts.
	Models []string
	// StepBaseTime is the fixed part of the step time; it may be zero.
	StepBaseTime time.Duration
	// StepTimePerAssignment is added to the step time for each expert assignment
	// on the most loaded rank; it may be zero.
	StepTimePerAssignment time.Duration
	// Ranks and Experts are the size of the expert-parallel group; each token is
	// routed to TopK experts.
	Ranks, Experts, TopK int
	// MaxBatch is the maximum number of requests in a step; others are queued.
	MaxBatch int
	// PrefillBlocks is the number of uncached prompt blocks that a step prefills for
	// each request.
	PrefillBlocks int
	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int
	// CacheEventLag delays cache events; CacheEventLoss is the fraction that is
	// lost.
	CacheEventLag  time.Duration
	CacheEventLoss float64
	// LoadReportLag is the age of the load report.
	LoadReportLag time.Duration
	// ModelLoadTime is the time from an order to load a model or adapter until it
	// is available.
	ModelLoadTime time.Duration
	// ColdConcurrency is the maximum number of concurrent requests in cold start;
	// one more crashes the engine. Cold start ends after WarmupCompletions
	// completed requests; 0 means that the engine starts warm.
	ColdConcurrency, WarmupCompletions int
	// RestartTime is the time for which connections are dropped after a crash.
	RestartTime time.Duration
	// ChecksFencing makes the engine reject orders with a stale fencing token.
	ChecksFencing bool
	// CrashMarker crashes the engine when a request starts whose prompt contains
	// it.
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

	mu              sync.Mutex
	random          *rand.Rand
	volatile        volatileState
	downUntil       time.Duration
	stall           time.Duration
	crashes         int
	overloadCrashes int
	executions      executionCounts
	incarnation     uint64
}

// volatileState is the state that a crash destroys.
type volatileState struct {
	waiting, batch []*job
	arrivals       uint64
	completions    int
	steps          uint64
	stepTime       time.Duration
	cold           bool
	cache          *cache
	loadSamples    []loadSample
	managed        managedState
	// crashed is closed when this incarnation ends, by a crash or by Close.
	crashed chan struct{}
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
		executions: newExecutionCounts(),
	}
	e.startIncarnation()
	e.mux = e.routes()
	go e.runSteps()
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
	close(e.volatile.crashed)
	e.volatile.crashed = make(chan struct{})
	e.volatile.batch, e.volatile.waiting = nil, nil
	e.mu.Unlock()
	close(e.closed)
	<-e.done
}

// startIncarnation resets the volatile state and draws a new incarnation number.
// The lock must be held unless the engine is not shared yet.
func (e *Engine) startIncarnation() {
	e.incarnation = e.random.Uint64()
	e.volatile = volatileState{
		cold:    e.options.WarmupCompletions > 0,
		cache:   newCache(e.options.CacheBlocks),
		managed: newManagedState(e.options),
		crashed: make(chan struct{}),
	}
}

// crash drops all connections and the volatile state. The lock must be held.
func (e *Engine) crash() {
	e.crashes++
	close(e.volatile.crashed)
	e.downUntil = e.options.Clock.Now() + e.options.RestartTime
	e.startIncarnation()
}

// Crash crashes the engine, which then restarts in cold start.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// SetCold puts the engine back into cold start without a crash or a new
// incarnation.
func (e *Engine) SetCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.volatile.cold = true
	e.volatile.completions = 0
}

// StallNextStep adds time to the next step, as a stalled rank would.
func (e *Engine) StallNextStep(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stall += d
}

// Totals counts events over all incarnations.
type Totals struct {
	Crashes int
	// OverloadCrashes counts the crashes caused by too many concurrent requests
	// in cold start.
	OverloadCrashes int
}

// Totals returns the counts so far.
func (e *Engine) Totals() Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Totals{Crashes: e.crashes, OverloadCrashes: e.overloadCrashes}
}

// Incarnation returns the random number drawn at the last start.
func (e *Engine) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// ExecutionsByKey returns how many requests with an Idempotency-Key were started.
func (e *Engine) ExecutionsByKey(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions.byKey[key]
}

// ExecutionsByRequestID returns how many requests with an X-Request-Id were
// started.
func (e *Engine) ExecutionsByRequestID(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions.byRequest[requestID]
}

// executionCounts counts started requests. It survives crashes, since only tests
// read it.
type executionCounts struct{ byKey, byRequest map[string]int }

func newExecutionCounts() executionCounts {
	return executionCounts{byKey: map[string]int{}, byRequest: map[string]int{}}
}

func (c executionCounts) add(j *job) {
	if j.key != "" {
		c.byKey[j.key]++
	}
	if j.requestID != "" {
		c.byRequest[j.requestID]++
	}
}

func (e *Engine) isPoison(j *job) bool {
	return e.options.CrashMarker != "" && strings.Contains(j.prompt, e.options.CrashMarker)
}

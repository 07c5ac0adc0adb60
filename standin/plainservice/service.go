// Package plainservice is a stand-in for a REST service beside the engines,
// some of whose calls must not be repeated. README.md states its protocol.
package plainservice

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/kernel"
)

// Headers that the service reads or writes.
const (
	HeaderKey         = "Idempotency-Key"
	HeaderRequestID   = "X-Request-Id"
	HeaderIncarnation = "X-Incarnation"
)

const maxBodyBytes = 1 << 20

// Options configures a service.
type Options struct {
	Clock kernel.Clock
	Seed  uint64
	// Name is part of each answer.
	Name string
	// Deduplicates repeats the recorded answer for a known Idempotency-Key.
	Deduplicates bool
	// FailRate is the part of the requests that fail before they run.
	FailRate float64
	// RestartTime is how long connections are dropped after the service died.
	RestartTime time.Duration
}

// Fault changes how one request is handled.
type Fault struct {
	// DelayBefore and DelayAfter wait before and after the execution. A client
	// that disconnects meanwhile does not prevent it.
	DelayBefore, DelayAfter time.Duration
	// Status fails the request before it runs, with this status.
	Status int
	// DieBefore and DieAfter drop all connections and all memory before or
	// after the execution.
	DieBefore, DieAfter bool
}

// Answer is the body of an answer.
type Answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Execution counts the executions of this service from 1.
	Execution int    `json:"execution"`
	Body      string `json:"body,omitempty"`
}

// Service is the stand-in, an http.Handler.
type Service struct {
	options Options

	mu          sync.Mutex
	random      *rand.Rand
	faults      []Fault
	recorded    map[string][]byte
	byKey       map[string]int
	byRequest   map[string]int
	byRoute     map[string]int
	executions  int
	running     int
	incarnation uint64
	downUntil   time.Duration
	ended       chan struct{}
}

// New returns a service.
func New(o Options) *Service {
	s := &Service{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
		byKey:   map[string]int{}, byRequest: map[string]int{}, byRoute: map[string]int{},
		ended: make(chan struct{}),
	}
	s.begin()
	return s
}

func (s *Service) begin() {
	s.incarnation = s.random.Uint64()
	s.recorded = map[string][]byte{}
	s.running = 0
	s.ended = make(chan struct{})
}

// Inject applies a fault to each of the next requests.
func (s *Service) Inject(f Fault, times int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range times {
		s.faults = append(s.faults, f)
	}
}

// Die drops all connections and all memory.
func (s *Service) Die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.die()
}

func (s *Service) die() {
	close(s.ended)
	s.downUntil = s.options.Clock.Now() + s.options.RestartTime
	s.begin()
}

// Executions returns how often requests with an Idempotency-Key ran. The
// record outlives the service's death.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
}

// ExecutionsOf returns how often requests with an X-Request-Id ran.
func (s *Service) ExecutionsOf(requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byRequest[requestID]
}

// ExecutionsAt returns how often a route such as "POST /visits" ran.
func (s *Service) ExecutionsAt(route string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byRoute[route]
}

// call is one request that is being handled.
type call struct {
	fault  Fault
	fail   bool
	ended  chan struct{}
	answer Answer
	id     string
}

// ServeHTTP handles a request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/internal/load" {
		s.load(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	c := s.enter(w, r, body)
	defer s.leave(c)
	wait(c.fault.DelayBefore, c.ended)
	if c.fail {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if c.fault.Status != 0 {
		w.WriteHeader(c.fault.Status)
		return
	}
	answer := s.execute(c)
	wait(c.fault.DelayAfter, c.ended)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

func (s *Service) enter(w http.ResponseWriter, r *http.Request, body []byte) *call {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.Clock.Now() < s.downUntil {
		panic(http.ErrAbortHandler)
	}
	c := &call{ended: s.ended, id: r.Header.Get(HeaderRequestID), answer: Answer{
		Service: s.options.Name, Method: r.Method, Path: r.URL.Path,
		Key: r.Header.Get(HeaderKey), Body: string(body),
	}}
	if len(s.faults) > 0 {
		c.fault, s.faults = s.faults[0], s.faults[1:]
	}
	c.fail = s.random.Float64() < s.options.FailRate
	s.running++
	w.Header().Set(HeaderIncarnation, formatIncarnation(s.incarnation))
	return c
}

func (s *Service) leave(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.ended == s.ended {
		s.running--
	}
}

// wait panics with http.ErrAbortHandler if the service dies meanwhile.
func wait(d time.Duration, ended chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ended:
		panic(http.ErrAbortHandler)
	default:
	}
	select {
	case <-t.C:
	case <-ended:
		panic(http.ErrAbortHandler)
	}
}

// execute runs the request once, or returns the recorded answer.
func (s *Service) execute(c *call) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.ended != s.ended {
		panic(http.ErrAbortHandler)
	}
	if c.fault.DieBefore {
		s.die()
		panic(http.ErrAbortHandler)
	}
	if old, ok := s.recorded[c.answer.Key]; ok && s.options.Deduplicates {
		return old
	}
	s.count(c)
	data, _ := json.Marshal(c.answer)
	if c.answer.Key != "" {
		s.recorded[c.answer.Key] = data
	}
	if c.fault.DieAfter {
		s.die()
		panic(http.ErrAbortHandler)
	}
	return bytes.Clone(data)
}

func (s *Service) count(c *call) {
	s.executions++
	c.answer.Execution = s.executions
	s.byRoute[c.answer.Method+" "+c.answer.Path]++
	if c.answer.Key != "" {
		s.byKey[c.answer.Key]++
	}
	if c.id != "" {
		s.byRequest[c.id]++
	}
}

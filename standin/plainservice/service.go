// Package plainservice is a stand-in for a REST service that runs beside the
// engines. Some of its calls are not idempotent. README.md describes its
// protocol.
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

// Headers of requests and responses.
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
	// Name is returned in each response.
	Name string
	// Deduplicates replays the recorded response if the Idempotency-Key is known.
	Deduplicates bool
	// FailRate is the fraction of requests that fail before execution.
	FailRate float64
	// RestartTime is the time for which connections are dropped after a crash.
	RestartTime time.Duration
}

// Fault changes how one request is handled.
type Fault struct {
	// DelayBefore and DelayAfter delay the request before and after execution. A
	// client disconnect during the delay does not prevent the execution.
	DelayBefore, DelayAfter time.Duration
	// Status fails the request with this status before execution.
	Status int
	// CrashBefore and CrashAfter crash the service before and after execution.
	CrashBefore, CrashAfter bool
}

// Response is the body of a response.
type Response struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Execution is the sequence number of the execution in this service, from 1.
	Execution int    `json:"execution"`
	Body      string `json:"body,omitempty"`
}

// Service is the stand-in, an http.Handler.
type Service struct {
	options Options

	mu                    sync.Mutex
	random                *rand.Rand
	faults                []Fault
	responses             map[string][]byte
	executionsByKey       map[string]int
	executionsByRequestID map[string]int
	executionsByRoute     map[string]int
	executions            int
	running               int
	incarnation           uint64
	downUntil             time.Duration
	crashed               chan struct{}
}

// New returns a service.
func New(o Options) *Service {
	s := &Service{
		options:         o,
		random:          rand.New(rand.NewPCG(o.Seed, 0)),
		executionsByKey: map[string]int{}, executionsByRequestID: map[string]int{}, executionsByRoute: map[string]int{},
		crashed: make(chan struct{}),
	}
	s.startIncarnation()
	return s
}

func (s *Service) startIncarnation() {
	s.incarnation = s.random.Uint64()
	s.responses = map[string][]byte{}
	s.running = 0
	s.crashed = make(chan struct{})
}

// Inject applies a fault to each of the next n requests.
func (s *Service) Inject(f Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range n {
		s.faults = append(s.faults, f)
	}
}

// Crash drops all connections and the recorded responses. The service is down for
// RestartTime.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

func (s *Service) crash() {
	close(s.crashed)
	s.downUntil = s.options.Clock.Now() + s.options.RestartTime
	s.startIncarnation()
}

// ExecutionsByKey returns how many requests with an Idempotency-Key were
// executed. The counts survive crashes.
func (s *Service) ExecutionsByKey(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executionsByKey[key]
}

// ExecutionsByRequestID returns how many requests with an X-Request-Id were
// executed.
func (s *Service) ExecutionsByRequestID(requestID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executionsByRequestID[requestID]
}

// ExecutionsByRoute returns how many requests to a route such as "POST /visits"
// were executed.
func (s *Service) ExecutionsByRoute(route string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executionsByRoute[route]
}

// call is a request in flight.
type call struct {
	fault               Fault
	failBeforeExecution bool
	crashed             chan struct{}
	response            Response
	requestID           string
}

// ServeHTTP handles a request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/internal/load" {
		s.serveLoad(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	c := s.beginCall(w, r, body)
	defer s.endCall(c)
	wait(c.fault.DelayBefore, c.crashed)
	if c.failBeforeExecution {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if c.fault.Status != 0 {
		w.WriteHeader(c.fault.Status)
		return
	}
	response := s.execute(c)
	wait(c.fault.DelayAfter, c.crashed)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(response)
}

func (s *Service) beginCall(w http.ResponseWriter, r *http.Request, body []byte) *call {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.Clock.Now() < s.downUntil {
		panic(http.ErrAbortHandler)
	}
	c := &call{crashed: s.crashed, requestID: r.Header.Get(HeaderRequestID), response: Response{
		Service: s.options.Name, Method: r.Method, Path: r.URL.Path,
		Key: r.Header.Get(HeaderKey), Body: string(body),
	}}
	if len(s.faults) > 0 {
		c.fault, s.faults = s.faults[0], s.faults[1:]
	}
	c.failBeforeExecution = s.random.Float64() < s.options.FailRate
	s.running++
	w.Header().Set(HeaderIncarnation, formatIncarnation(s.incarnation))
	return c
}

func (s *Service) endCall(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.crashed == s.crashed {
		s.running--
	}
}

// wait waits for d. It panics with http.ErrAbortHandler if the service crashes first.
func wait(d time.Duration, crashed chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-crashed:
		panic(http.ErrAbortHandler)
	default:
	}
	select {
	case <-t.C:
	case <-crashed:
		panic(http.ErrAbortHandler)
	}
}

// execute executes the request, or returns the recorded response if the service
// deduplicates.
func (s *Service) execute(c *call) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.crashed != s.crashed {
		panic(http.ErrAbortHandler)
	}
	if c.fault.CrashBefore {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if old, ok := s.responses[c.response.Key]; ok && s.options.Deduplicates {
		return old
	}
	s.count(c)
	data, _ := json.Marshal(c.response)
	if c.response.Key != "" {
		s.responses[c.response.Key] = data
	}
	if c.fault.CrashAfter {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	return bytes.Clone(data)
}

func (s *Service) count(c *call) {
	s.executions++
	c.response.Execution = s.executions
	s.executionsByRoute[c.response.Method+" "+c.response.Path]++
	if c.response.Key != "" {
		s.executionsByKey[c.response.Key]++
	}
	if c.requestID != "" {
		s.executionsByRequestID[c.requestID]++
	}
}

package stage

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/standin/platformstore"
)

// Worker is a sound worker of a service without streams. It runs Slots requests at once, lets
// Queue wait and rejects the others. It drops a request when its connection closes or when the
// deadline that it got has passed.
type Worker struct {
	ID, Service, Zone string
	Slots, Queue      int
	// Work is the time that a request takes once it runs.
	Work time.Duration
	// Respond replaces the response to a request that runs if it returns true.
	Respond func(w http.ResponseWriter, r *http.Request) bool
	// OnRun is called when a request begins to run.
	OnRun func(id string)
	// OnArrival is called when a request for this worker has arrived.
	OnArrival func(id string)

	address string
	server  *http.Server
	slots   chan struct{}
	waiting atomic.Int64
	mu      sync.Mutex
	runs    map[string]int
}

// Start starts the worker on a free port.
func (w *Worker) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.serve(listener)
	return nil
}

func (w *Worker) serve(listener net.Listener) {
	w.address, w.slots, w.runs = listener.Addr().String(), make(chan struct{}, w.Slots), make(map[string]int)
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(listener) }()
}

// Stop ends the worker.
func (w *Worker) Stop() { _ = w.server.Close() }

// Register writes the entry of the worker in the store.
func (w *Worker) Register(s *platformstore.Store) {
	s.SetUpstream(w.ID, platformstore.Upstream{
		Service: w.Service, Address: w.address, Zone: w.Zone, Slots: w.Slots, StartedAtMs: time.Now().UnixMilli(),
	})
}

// Runs returns how often each request began to run.
func (w *Worker) Runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]int, len(w.runs))
	for id, n := range w.runs {
		out[id] = n
	}
	return out
}

func (w *Worker) load() string {
	return fmt.Sprintf("%d,%d,%d", len(w.slots), w.waiting.Load(), w.Slots)
}

// ServeHTTP handles a request.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id, h := r.Header.Get("X-Mulberryfork-Attempt-Id"), out.Header()
	h.Set("X-Mulberryfork-Attempt-Id", id)
	if r.Header.Get("X-Mulberryfork-Expected-Instance") != w.ID {
		h.Set("X-Mulberryfork-Instance-Id", w.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if w.OnArrival != nil {
		w.OnArrival(id)
	}
	deadline := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("X-Mulberryfork-Deadline-Remaining")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	if w.waiting.Add(1) > int64(w.Queue) {
		w.waiting.Add(-1)
		w.reject(out)
		return
	}
	select {
	case w.slots <- struct{}{}:
		w.waiting.Add(-1)
	case <-ctx.Done():
		w.waiting.Add(-1)
		w.reject(out)
		return
	}
	defer func() { <-w.slots }()
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	if w.OnRun != nil {
		w.OnRun(id)
	}
	if w.Respond != nil && w.Respond(out, r) {
		return
	}
	select {
	case <-time.After(w.Work):
	case <-ctx.Done():
		out.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	h.Set("X-Mulberryfork-Response-Signature", "sig."+w.ID+"."+id)
	h.Set("X-Mulberryfork-Server-Load", w.load())
	_, _ = fmt.Fprintf(out, "answer to %s, %d bytes", id, len(body))
}

func (w *Worker) reject(out http.ResponseWriter) {
	out.Header().Set("X-Mulberryfork-Request-Not-Executed", "1")
	out.Header().Set("X-Mulberryfork-Server-Load", w.load())
	out.WriteHeader(http.StatusServiceUnavailable)
}

// Platform is the store with its listener.
type Platform struct {
	*platformstore.Store
	Address string
	server  *http.Server
}

// StartPlatform starts the store on a free port.
func StartPlatform() (*Platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{Store: platformstore.New(), Address: listener.Addr().String()}
	p.server = &http.Server{Handler: p.Store, ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Stop ends the store.
func (p *Platform) Stop() { _ = p.server.Close() }

// PutJSON writes an entry.
func (p *Platform) PutJSON(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	p.Put(key, data)
	return nil
}

// Host runs a worker that a request may crash. Another incarnation with a new identifier
// follows at the same address.
type Host struct {
	// New returns the worker of an incarnation, which isn't started.
	New func(incarnation int) *Worker
	// RestartDelay is the time from a crash to the next incarnation.
	RestartDelay time.Duration
	Platform     *Platform

	mu          sync.Mutex
	worker      *Worker
	incarnation int
	stopped     bool
}

// Start starts the first incarnation on a free port.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.start("127.0.0.1:0")
}

func (h *Host) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.incarnation++
	h.worker = h.New(h.incarnation)
	h.worker.serve(listener)
	h.worker.Register(h.Platform.Store)
	return nil
}

// Crash ends the incarnation with all its connections. The entry stays until the next one
// starts.
func (h *Host) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	crashed := h.worker
	crashed.Stop()
	time.AfterFunc(h.RestartDelay, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.stopped {
			return
		}
		h.Platform.DeleteUpstream(crashed.ID)
		_ = h.start(crashed.address)
	})
}

// Stop ends the worker for good.
func (h *Host) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	h.worker.Stop()
}

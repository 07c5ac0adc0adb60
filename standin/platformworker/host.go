package platformworker

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host runs a Worker at a fixed address. A request may crash the worker; a new
// incarnation with another instance ID follows, as on the platform.
type Host struct {
	// Name is the prefix of the instance IDs.
	Name string
	// RestartDelay is the time from a crash to the start of the next incarnation.
	RestartDelay time.Duration
	// Crashes reports whether a request crashes the worker that begins its response.
	Crashes func(r *http.Request, body []byte) bool
	// Silent makes the worker crash before it sends the response head.
	Silent bool
	// Events is the number of events, and BodyBytes the number of bytes of a response that is
	// no stream, that the worker sends before it crashes.
	Events, BodyBytes int
	// Delay is the time from the arrival of the request, or the last of these events or
	// bytes, to the crash.
	Delay time.Duration
	// OnStart is called with the instance ID and the address of each incarnation.
	OnStart func(id, address string)

	mu      sync.Mutex
	address string
	server  *http.Server
	worker  *Worker
	starts  int
	crashed int
	reached int
	stopped bool
}

// Start starts the first incarnation on a free port.
func (h *Host) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.address = listener.Addr().String()
	h.serve(listener)
	return nil
}

// Stop ends the worker without a successor.
func (h *Host) Stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	_ = h.server.Close()
}

// Crashed returns the number of crashes.
func (h *Host) Crashed() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashed
}

// Reached returns the number of requests that arrived and crash workers.
func (h *Host) Reached() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reached
}

// serve starts an incarnation. The caller holds the mutex.
func (h *Host) serve(listener net.Listener) {
	h.starts++
	worker := &Worker{InstanceID: fmt.Sprintf("%s-%d", h.Name, h.starts)}
	server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if h.Crashes(r, body) {
			h.crash(worker, out, r)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		worker.ServeHTTP(out, r)
	})}
	h.server, h.worker = server, worker
	go func() { _ = server.Serve(listener) }()
	h.OnStart(worker.InstanceID, h.address)
}

// crash sends the part of the response that comes before the crash, and ends the
// incarnation. It does not return.
func (h *Host) crash(worker *Worker, out http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.reached++
	h.mu.Unlock()
	expected := r.Header.Get("X-Mulberryfork-Expected-Instance") == worker.InstanceID
	if expected && !h.Silent {
		h.respond(worker, out, r)
	}
	if expected && h.Delay > 0 {
		select {
		case <-time.After(h.Delay):
		case <-r.Context().Done():
			// The worker drops a request whose connection is closed.
			panic(http.ErrAbortHandler)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if expected && !h.stopped && worker == h.worker {
		h.crashed++
		_ = h.server.Close()
		time.AfterFunc(h.RestartDelay, h.restart)
	}
	panic(http.ErrAbortHandler)
}

// respond sends the part of the response that comes before the crash.
func (h *Host) respond(worker *Worker, out http.ResponseWriter, r *http.Request) {
	header := out.Header()
	header.Set("X-Mulberryfork-Attempt-Id", r.Header.Get("X-Mulberryfork-Attempt-Id"))
	header.Set("X-Mulberryfork-Response-Signature", "sig."+worker.InstanceID)
	header.Set("Content-Type", "text/event-stream")
	if h.BodyBytes > 0 {
		header.Set("Content-Type", "application/octet-stream")
		header.Set("Content-Length", strconv.Itoa(2*h.BodyBytes))
		_, _ = out.Write(make([]byte, h.BodyBytes))
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := last + 1; id <= last+h.Events; id++ {
		fmt.Fprintf(out, "id: %d\ndata: x\n\n", id)
	}
	_ = http.NewResponseController(out).Flush()
}

func (h *Host) restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	listener, err := net.Listen("tcp", h.address)
	if err != nil {
		time.AfterFunc(h.RestartDelay, h.restart)
		return
	}
	h.serve(listener)
}

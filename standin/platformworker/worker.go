// Package platformworker is a stand-in for an upstream of the platform. It signs
// its responses and misbehaves as the request body specifies.
package platformworker

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Behaviours that a request selects with the first word of its body.
const (
	Complete      = "whole"
	Stream        = "stream"
	BreakStream   = "break-stream"
	BreakMidEvent = "mid-event"
	Truncated     = "truncated"
	Unsigned      = "unsigned"
	ForeignID     = "foreign"
	Refuse        = "refuse"
	Fail          = "fail"
	Reset         = "reset"
	Unframed      = "unframed"
	Hang          = "hang"
)

// streamEvents is the number of events in a stream.
const streamEvents = 6

// CompleteBody returns the complete response body for a request whose body has text
// after its first word.
func CompleteBody(text string) string {
	if text == "" {
		return "answer"
	}
	return "answer to " + text
}

// StreamBody returns the complete response body for a request for a stream.
func StreamBody() string {
	var body strings.Builder
	for id := range streamEvents {
		body.WriteString(event(id + 1))
	}
	return body.String()
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

// Worker is the stand-in, an http.Handler.
type Worker struct {
	// InstanceID is the instance ID that the worker reports.
	InstanceID string

	mu sync.Mutex
	// Once, if set, limits each misbehaviour to one occurrence per attempt ID over
	// all workers that share it.
	Once *Once
	// OnArrival is called for each request addressed to this worker, also if the
	// worker rejects it.
	OnArrival func(request string)
	// EventInterval is the time between the events of a stream.
	EventInterval time.Duration
	// OnRun is called when the execution of a request starts, and the function it
	// returns when the execution ends. complete is false if the caller had
	// disconnected by then.
	OnRun func(Run) (done func(complete bool))
	runs  map[string]int
	// arrivals counts all requests, also those that were not executed.
	arrivals    int
	disconnects int
	lastHeader  http.Header
}

// Run identifies a request whose execution starts on a worker.
type Run struct{ RequestID, Member string }

// Once records which behaviours have occurred.
type Once struct {
	mu   sync.Mutex
	seen map[string]bool
}

// first reports whether a behaviour occurs for the first time, and records it.
func (o *Once) first(name string) bool {
	if o == nil {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.seen == nil {
		o.seen = make(map[string]bool)
	}
	seen := o.seen[name]
	o.seen[name] = true
	return !seen
}

// Runs returns how many times a request was executed.
func (w *Worker) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// Arrivals returns the number of requests received, executed or not.
func (w *Worker) Arrivals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrivals
}

// Disconnects returns the number of callers that disconnected while their request hung.
func (w *Worker) Disconnects() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.disconnects
}

// LastHeader returns the header of the last executed request.
func (w *Worker) LastHeader() http.Header {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastHeader
}

// ServeHTTP handles a request.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Mulberryfork-Attempt-Id")
	w.mu.Lock()
	w.arrivals++
	w.mu.Unlock()
	h := out.Header()
	h.Set("X-Mulberryfork-Attempt-Id", id)
	if expected := r.Header.Get("X-Mulberryfork-Expected-Instance"); expected != w.InstanceID {
		h.Set("X-Mulberryfork-Instance-Id", w.InstanceID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.OnArrival != nil {
		w.OnArrival(id)
	}
	name, text, _ := strings.Cut(string(body), " ")
	if name == "" {
		name = Complete
	}
	if name == Refuse && w.Once.first(name+id) {
		h.Set("X-Mulberryfork-Request-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.recordRun(id, r.Header)
	h.Set("X-Mulberryfork-Response-Signature", "sig."+w.InstanceID)
	h.Set("X-Mulberryfork-Server-Load", "1,0,4")
	if w.OnRun != nil {
		done := w.OnRun(Run{RequestID: id, Member: r.Header.Get("X-Mulberryfork-Tenant-Name")})
		defer func() { done(r.Context().Err() == nil) }()
	}
	w.respond(name, text, out, r)
}

func (w *Worker) recordRun(id string, h http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs == nil {
		w.runs = make(map[string]int)
	}
	w.runs[id]++
	w.lastHeader = h.Clone()
}

func (w *Worker) respond(name, text string, out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	lastID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	switch name {
	case Stream, BreakStream, BreakMidEvent:
		w.stream(name, out, r, lastID)
		return
	case Hang:
		select {
		case <-r.Context().Done():
			w.mu.Lock()
			w.disconnects++
			w.mu.Unlock()
		case <-time.After(10 * time.Second):
		}
		return
	}
	if !w.Once.first(name + r.Header.Get("X-Mulberryfork-Attempt-Id")) {
		name = Complete
	}
	switch name {
	case Truncated:
		h.Set("Content-Length", "100")
		_, _ = out.Write([]byte("half"))
	case Unsigned:
		h.Del("X-Mulberryfork-Response-Signature")
		_, _ = out.Write([]byte("answer"))
	case ForeignID:
		h.Set("X-Mulberryfork-Attempt-Id", "another")
		_, _ = out.Write([]byte("answer"))
	case Fail:
		out.WriteHeader(http.StatusInternalServerError)
		_, _ = out.Write([]byte("failed"))
	case Reset:
		panic(http.ErrAbortHandler)
	case Unframed:
		w.respondUnframed(out, r)
	default:
		_, _ = out.Write([]byte(CompleteBody(text)))
	}
}

// respondUnframed sends a body that has neither a length nor chunked encoding
// and ends with the connection.
func (w *Worker) respondUnframed(out http.ResponseWriter, r *http.Request) {
	conn, buffer, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nX-Mulberryfork-Attempt-Id: %s\r\nX-Mulberryfork-Response-Signature: sig\r\nConnection: close\r\n\r\nanswer",
		r.Header.Get("X-Mulberryfork-Attempt-Id"))
	_ = buffer.Flush()
}

// stream sends the events after lastID. BreakStream and BreakMidEvent abort the
// stream halfway.
func (w *Worker) stream(name string, out http.ResponseWriter, r *http.Request, lastID int) {
	out.Header().Set("Content-Type", "text/event-stream")
	abort := name != Stream && w.Once.first(name+r.Header.Get("X-Mulberryfork-Attempt-Id"))
	for id := lastID + 1; id <= streamEvents; id++ {
		select {
		case <-time.After(w.EventInterval):
		case <-r.Context().Done():
			return
		}
		if abort && id == streamEvents/2 {
			if name == BreakMidEvent {
				fmt.Fprintf(out, "id: %d\ndata: ha", id)
				_ = http.NewResponseController(out).Flush()
			}
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(out, event(id))
		_ = http.NewResponseController(out).Flush()
	}
}

// Package platformworker stands in for an upstream of the platform: it answers
// requests with its signature, and misbehaves as a request asks it to.
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

// Behaviours that a request asks for by the first word of its body.
const (
	Whole       = "whole"
	Stream      = "stream"
	BreakStream = "break-stream"
	MidEvent    = "mid-event"
	Truncated   = "truncated"
	Unsigned    = "unsigned"
	Foreign     = "foreign"
	Refuse      = "refuse"
	Fail        = "fail"
	Reset       = "reset"
	Unframed    = "unframed"
	Hang        = "hang"
)

// events is the length of a stream.
const events = 6

// Answer is the whole answer to a request whose body has a text after its first
// word.
func Answer(text string) string {
	if text == "" {
		return "answer"
	}
	return "answer to " + text
}

// Events is the whole answer to a request for a stream.
func Events() string {
	var text strings.Builder
	for id := range events {
		text.WriteString(event(id + 1))
	}
	return text.String()
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

// Worker is an http.Handler.
type Worker struct {
	// ID is the instance that it says it is.
	ID string

	mu sync.Mutex
	// Once limits a behaviour to the first run of a request over all workers.
	Once *Once
	// OnArrival is told of each request for this worker, run or not.
	OnArrival func(request string)
	// Pace is the time between the events of a stream.
	Pace time.Duration
	// OnRun is told of each run, and its result of the end; whole is false if the
	// caller left before.
	OnRun func(Run) (done func(whole bool))
	runs  map[string]int
	// arrivals counts requests, also those that it did not run.
	arrivals int
	gone     int
	last     http.Header
}

// Run is a request that a worker begins to run.
type Run struct{ Request, Member string }

// Once remembers which behaviours were shown.
type Once struct {
	mu   sync.Mutex
	done map[string]bool
}

// first says whether a behaviour is shown for the first time.
func (o *Once) first(name string) bool {
	if o == nil {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.done == nil {
		o.done = make(map[string]bool)
	}
	was := o.done[name]
	o.done[name] = true
	return !was
}

// Runs returns how often a request was run.
func (w *Worker) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// Arrivals returns the number of requests that came, run or not.
func (w *Worker) Arrivals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrivals
}

// Gone returns the number of callers that left before their answer.
func (w *Worker) Gone() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}

// Last returns the header of the last request.
func (w *Worker) Last() http.Header {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Mulberryfork-Attempt-Id")
	w.mu.Lock()
	w.arrivals++
	w.mu.Unlock()
	h := out.Header()
	h.Set("X-Mulberryfork-Attempt-Id", id)
	if expected := r.Header.Get("X-Mulberryfork-Expected-Instance"); expected != w.ID {
		h.Set("X-Mulberryfork-Instance-Id", w.ID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.OnArrival != nil {
		w.OnArrival(id)
	}
	name, text, _ := strings.Cut(string(body), " ")
	if name == "" {
		name = Whole
	}
	if name == Refuse && w.Once.first(name+id) {
		h.Set("X-Mulberryfork-Request-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.note(id, r.Header)
	h.Set("X-Mulberryfork-Response-Signature", "sig."+w.ID)
	h.Set("X-Mulberryfork-Server-Load", "1,0,4")
	if w.OnRun != nil {
		done := w.OnRun(Run{Request: id, Member: r.Header.Get("X-Mulberryfork-Tenant-Name")})
		defer func() { done(r.Context().Err() == nil) }()
	}
	w.behave(name, text, out, r)
}

func (w *Worker) note(id string, h http.Header) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs == nil {
		w.runs = make(map[string]int)
	}
	w.runs[id]++
	w.last = h.Clone()
}

func (w *Worker) behave(name, text string, out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	switch name {
	case Stream, BreakStream, MidEvent:
		w.stream(name, out, r, from)
		return
	case Hang:
		select {
		case <-r.Context().Done():
			w.mu.Lock()
			w.gone++
			w.mu.Unlock()
		case <-time.After(10 * time.Second):
		}
		return
	}
	if !w.Once.first(name + r.Header.Get("X-Mulberryfork-Attempt-Id")) {
		name = Whole
	}
	switch name {
	case Truncated:
		h.Set("Content-Length", "100")
		_, _ = out.Write([]byte("half"))
	case Unsigned:
		h.Del("X-Mulberryfork-Response-Signature")
		_, _ = out.Write([]byte("answer"))
	case Foreign:
		h.Set("X-Mulberryfork-Attempt-Id", "another")
		_, _ = out.Write([]byte("answer"))
	case Fail:
		out.WriteHeader(http.StatusInternalServerError)
		_, _ = out.Write([]byte("failed"))
	case Reset:
		panic(http.ErrAbortHandler)
	case Unframed:
		w.unframed(out, r)
	default:
		_, _ = out.Write([]byte(Answer(text)))
	}
}

// unframed answers without a length and ends the connection.
func (w *Worker) unframed(out http.ResponseWriter, r *http.Request) {
	conn, buffer, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nX-Mulberryfork-Attempt-Id: %s\r\nX-Mulberryfork-Response-Signature: sig\r\nConnection: close\r\n\r\nanswer",
		r.Header.Get("X-Mulberryfork-Attempt-Id"))
	_ = buffer.Flush()
}

// stream sends the events that follow one. A broken stream ends early once.
func (w *Worker) stream(name string, out http.ResponseWriter, r *http.Request, from int) {
	out.Header().Set("Content-Type", "text/event-stream")
	breaks := name != Stream && w.Once.first(name+r.Header.Get("X-Mulberryfork-Attempt-Id"))
	for id := from + 1; id <= events; id++ {
		select {
		case <-time.After(w.Pace):
		case <-r.Context().Done():
			return
		}
		if breaks && id == events/2 {
			if name == MidEvent {
				fmt.Fprintf(out, "id: %d\ndata: ha", id)
				_ = http.NewResponseController(out).Flush()
			}
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(out, event(id))
		_ = http.NewResponseController(out).Flush()
	}
}

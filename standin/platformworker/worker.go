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

// Behaviours that a request selects with the first word of its body. The default is
// Complete.
const (
	Complete = "whole"
	Stream   = "stream"
	// BreakStream aborts a stream between two events, BreakMidEvent within an event.
	BreakStream   = "break-stream"
	BreakMidEvent = "mid-event"
	// BreakThenError breaks a stream like BreakStream and responds to the request that
	// resumes it with a signed error, BreakThenPlain with a signed body that is no stream.
	BreakThenError = "break-then-error"
	BreakThenPlain = "break-then-plain"
	// Truncated sends a body shorter than its Content-Length.
	Truncated = "truncated"
	// Unsigned omits the response signature.
	Unsigned = "unsigned"
	// WrongRequestID sends the ID of another request in the response.
	WrongRequestID = "foreign"
	// RefuseEarlier writes the refusal of an earlier request before the response.
	RefuseEarlier = "refuse-earlier"
	// MisdirectEarlier is the same with a refusal of status 421.
	MisdirectEarlier = "misdirect-earlier"
	// Refuse responds that the request was not executed.
	Refuse = "refuse"
	// Fail responds with status 500.
	Fail = "fail"
	// RunThenBusy runs the request and responds with status 429.
	RunThenBusy = "busy"
	// Reset aborts the connection without a response.
	Reset = "reset"
	// CloseDelimited sends a body without a length, terminated by closing the connection.
	CloseDelimited = "unframed"
	// Hang sends no response until the caller disconnects or 10 s have passed.
	Hang = "hang"
)

// streamEvents is the number of events in a stream.
const streamEvents = 6

// ErrorText is repeated in the body of BreakThenError and BreakThenPlain. The body is
// longer than what a relay buffers.
const (
	ErrorText        = "no such model. "
	errorTextRepeats = 40000
)

// CompleteBody returns the complete response body for a request. text is the
// request body after its first word.
func CompleteBody(text string) string {
	if text == "" {
		return "answer"
	}
	return "answer to " + text
}

// keepAliveComment is a block of an event stream that is no event.
const keepAliveComment = ": keep-alive\n\n"

// WithoutComments returns the body of a stream without the comments of KeepAlive.
func WithoutComments(body string) string { return strings.ReplaceAll(body, keepAliveComment, "") }

// StreamBody returns the body of a complete stream without comments.
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
	// Once, if set, makes a worker misbehave only the first time that a request
	// selects a behaviour. Workers that share a Once count together. It does not
	// apply to Hang.
	Once *Once
	// OnArrival is called with the ID of each request that expects this instance,
	// before the worker refuses or executes it.
	OnArrival func(requestID string)
	// Leaving makes the worker say in all its responses that it leaves. HoldOff, if set,
	// makes it refuse all requests and say for how long it wants none.
	Leaving bool
	HoldOff time.Duration
	// EventInterval is the time between the events of a stream.
	EventInterval time.Duration
	// KeepAlive sends a comment before each event of a stream.
	KeepAlive bool
	// OnRun is called when the execution of a request starts. The returned function
	// is called when the execution ends. complete is false if the caller has
	// disconnected.
	OnRun func(Run) (done func(complete bool))
	runs  map[string]int
	// arrivals counts all requests, including those that expect another instance.
	arrivals    int
	disconnects int
	lastHeader  http.Header
}

// Run identifies a request whose execution starts on a worker. RequestID is the
// platform's attempt ID, which is the same for all retries of a request.
type Run struct{ RequestID, Member string }

// Once records the behaviours that have occurred for each request.
type Once struct {
	mu   sync.Mutex
	seen map[string]bool
}

// first records an occurrence and reports whether it is the first one with its key,
// which consists of a behaviour and a request ID. If o is nil, it returns true.
func (o *Once) first(key string) bool {
	if o == nil {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.seen == nil {
		o.seen = make(map[string]bool)
	}
	seen := o.seen[key]
	o.seen[key] = true
	return !seen
}

// SetStatement sets Leaving and HoldOff.
func (w *Worker) SetStatement(leaving bool, holdOff time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Leaving, w.HoldOff = leaving, holdOff
}

// Runs returns how many times a request was executed.
func (w *Worker) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// Arrivals returns the number of requests received, including those that expect
// another instance.
func (w *Worker) Arrivals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrivals
}

// Disconnects returns the number of requests with the behaviour Hang whose caller
// disconnected.
func (w *Worker) Disconnects() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.disconnects
}

// LastHeader returns the header of the last executed request, or nil if there was
// none.
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
	behaviour, text, _ := strings.Cut(string(body), " ")
	if behaviour == "" {
		behaviour = Complete
	}
	w.mu.Lock()
	leaving, holdOff := w.Leaving, w.HoldOff
	w.mu.Unlock()
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	if holdOff > 0 {
		h.Set("Retry-After", strconv.FormatFloat(holdOff.Seconds(), 'f', 3, 64))
		h.Set("X-Mulberryfork-Request-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if behaviour == Refuse && w.Once.first(behaviour+id) {
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
	w.respond(behaviour, text, out, r)
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

func (w *Worker) respond(behaviour, text string, out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	lastID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	switch behaviour {
	case BreakThenError, BreakThenPlain:
		if lastID > 0 {
			if behaviour == BreakThenError {
				out.WriteHeader(http.StatusNotFound)
			}
			_, _ = io.WriteString(out, strings.Repeat(ErrorText, errorTextRepeats))
			return
		}
		w.stream(BreakStream, out, r, lastID)
		return
	case Stream, BreakStream, BreakMidEvent:
		w.stream(behaviour, out, r, lastID)
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
	if !w.Once.first(behaviour + r.Header.Get("X-Mulberryfork-Attempt-Id")) {
		behaviour = Complete
	}
	switch behaviour {
	case Truncated:
		h.Set("Content-Length", "100")
		_, _ = out.Write([]byte("half"))
	case Unsigned:
		h.Del("X-Mulberryfork-Response-Signature")
		_, _ = out.Write([]byte("answer"))
	case WrongRequestID:
		h.Set("X-Mulberryfork-Attempt-Id", "another")
		_, _ = out.Write([]byte("answer"))
	case Fail:
		out.WriteHeader(http.StatusInternalServerError)
		_, _ = out.Write([]byte("failed"))
	case RunThenBusy:
		out.WriteHeader(http.StatusTooManyRequests)
		_, _ = out.Write([]byte("busy"))
	case Reset:
		panic(http.ErrAbortHandler)
	case CloseDelimited:
		w.respondCloseDelimited(out, r)
	case RefuseEarlier:
		w.respondAfterEarlierRefusal(http.StatusServiceUnavailable, out, r)
	case MisdirectEarlier:
		w.respondAfterEarlierRefusal(http.StatusMisdirectedRequest, out, r)
	default:
		_, _ = out.Write([]byte(CompleteBody(text)))
	}
}

// respondCloseDelimited sends a body without a Content-Length and without chunked
// encoding, and ends it by closing the connection.
func (w *Worker) respondCloseDelimited(out http.ResponseWriter, r *http.Request) {
	conn, buffer, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nX-Mulberryfork-Attempt-Id: %s\r\nX-Mulberryfork-Response-Signature: sig\r\nConnection: close\r\n\r\nanswer",
		r.Header.Get("X-Mulberryfork-Attempt-Id"))
	_ = buffer.Flush()
}

// respondAfterEarlierRefusal writes the refusal of another request and then the response.
func (w *Worker) respondAfterEarlierRefusal(status int, out http.ResponseWriter, r *http.Request) {
	conn, buffer, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	fmt.Fprintf(buffer, "HTTP/1.1 %d Refused\r\nX-Mulberryfork-Attempt-Id: earlier\r\nX-Mulberryfork-Request-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status)
	fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nX-Mulberryfork-Attempt-Id: %s\r\nX-Mulberryfork-Response-Signature: sig\r\nContent-Length: 6\r\n\r\nanswer",
		r.Header.Get("X-Mulberryfork-Attempt-Id"))
	_ = buffer.Flush()
}

// stream sends the events after lastID. BreakStream and BreakMidEvent abort the
// stream halfway.
func (w *Worker) stream(behaviour string, out http.ResponseWriter, r *http.Request, lastID int) {
	out.Header().Set("Content-Type", "text/event-stream")
	abort := behaviour != Stream && w.Once.first(behaviour+r.Header.Get("X-Mulberryfork-Attempt-Id"))
	for id := lastID + 1; id <= streamEvents; id++ {
		select {
		case <-time.After(w.EventInterval):
		case <-r.Context().Done():
			return
		}
		if abort && id == streamEvents/2 {
			if behaviour == BreakMidEvent {
				fmt.Fprintf(out, "id: %d\ndata: ha", id)
				_ = http.NewResponseController(out).Flush()
			}
			panic(http.ErrAbortHandler)
		}
		if w.KeepAlive {
			_, _ = io.WriteString(out, keepAliveComment)
		}
		_, _ = io.WriteString(out, event(id))
		_ = http.NewResponseController(out).Flush()
	}
}

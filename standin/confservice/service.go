// Package confservice is a stand-in for the platform's configuration service,
// which can only be read and watched. README.md states its protocol.
package confservice

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"golang.org/x/time/rate"

	"github.com/mulberryfork/mulberryfork/kernel"
)

// MaxBytes bounds the files of one revision.
const MaxBytes = 1 << 20

// defaultPoll bounds a watch if the options leave it out.
const defaultPoll = 30 * time.Second

// ValueTooLargeError reports files that the service does not take.
type ValueTooLargeError struct{ Bytes int }

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("%d bytes of files; at most %d are allowed", e.Bytes, MaxBytes)
}

// NotTextError reports a file that is not UTF-8.
type NotTextError struct{ File string }

func (e *NotTextError) Error() string { return "not UTF-8: " + e.File }

// Options configures a service.
type Options struct {
	Clock kernel.Clock
	// Lags has one entry for each replica: the age of what it answers.
	Lags []time.Duration
	// Poll bounds a watch.
	Poll time.Duration
	// CallsPerSecond bounds calls of all readers; 0 is unbounded.
	CallsPerSecond int
}

// Calls counts calls of all replicas. Each watch is one call.
type Calls struct {
	Total       int
	Pending     int
	Answered    int
	NotModified int
	// Refused calls exceeded the rate, Down calls met a replica that is down.
	Refused int
	Down    int
}

// Revision is the answer to a read.
type Revision struct {
	Revision uint64            `json:"revision"`
	Files    map[string]string `json:"files"`
}

type published struct {
	Revision
	at time.Duration
}

// Service is the stand-in; Replica returns its handlers.
type Service struct {
	options Options
	limiter *rate.Limiter

	mu       sync.Mutex
	history  []published
	replicas []*replica
	calls    Calls
	// changed is closed when an answer may differ.
	changed chan struct{}
}

type replica struct {
	service *Service
	lag     time.Duration
	down    bool
	// pinned is the newest revision the replica answers, 0 for no bound.
	pinned uint64
}

// New returns a service without a revision. It has at least one replica.
func New(o Options) *Service {
	if o.Poll == 0 {
		o.Poll = defaultPoll
	}
	if len(o.Lags) == 0 {
		o.Lags = []time.Duration{0}
	}
	s := &Service{options: o, changed: make(chan struct{})}
	if o.CallsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(o.CallsPerSecond), o.CallsPerSecond)
	}
	for _, lag := range o.Lags {
		s.replicas = append(s.replicas, &replica{service: s, lag: lag})
	}
	return s
}

// Replica returns the handler of one replica.
func (s *Service) Replica(i int) http.Handler { return s.replicas[i] }

// Publish adds a revision and returns its number.
func (s *Service) Publish(files map[string]string) (uint64, error) {
	total := 0
	for name, content := range files {
		total += len(name) + len(content)
		if !utf8.ValidString(content) {
			return 0, &NotTextError{File: name}
		}
	}
	if total > MaxBytes {
		return 0, &ValueTooLargeError{Bytes: total}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := uint64(len(s.history) + 1)
	s.history = append(s.history, published{
		Revision: Revision{Revision: next, Files: maps.Clone(files)}, at: s.options.Clock.Now(),
	})
	s.notify()
	return next, nil
}

func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown makes a replica drop connections, also pending watches.
func (s *Service) SetDown(i int, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas[i].down = down
	s.notify()
}

// SetStale makes a replica answer no revision above the given one; 0 ends it.
func (s *Service) SetStale(i int, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas[i].pinned = revision
	s.notify()
}

// Calls returns the counts so far.
func (s *Service) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// view returns what the replica knows and when it next learns something. The
// lock must be held.
func (r *replica) view(now time.Duration) (known *Revision, next time.Duration) {
	for i := range r.service.history {
		p := &r.service.history[i]
		if r.pinned != 0 && p.Revision.Revision > r.pinned {
			break
		}
		if p.at+r.lag > now {
			return known, p.at + r.lag
		}
		known = &p.Revision
	}
	return known, 0
}

// ServeHTTP answers GET /v1/config.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method != http.MethodGet || q.URL.Path != "/v1/config" {
		http.NotFound(w, q)
		return
	}
	after, watch, ok := parseAfter(q)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !r.service.admit() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer r.service.count(func(c *Calls) { c.Pending-- })
	r.answer(w, q, after, watch)
}

func parseAfter(q *http.Request) (after uint64, watch, ok bool) {
	text := q.URL.Query().Get("after")
	if text == "" {
		return 0, false, true
	}
	after, err := strconv.ParseUint(text, 10, 64)
	return after, true, err == nil
}

func (s *Service) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Total++
	if s.limiter != nil && !s.limiter.AllowN(time.Unix(0, 0).Add(s.options.Clock.Now()), 1) {
		s.calls.Refused++
		return false
	}
	s.calls.Pending++
	return true
}

func (s *Service) count(change func(*Calls)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.calls)
}

func (r *replica) answer(w http.ResponseWriter, q *http.Request, after uint64, watch bool) {
	poll := time.NewTimer(r.service.options.Poll)
	defer poll.Stop()
	for {
		s := r.service
		s.mu.Lock()
		now := s.options.Clock.Now()
		known, next := r.view(now)
		down, changed := r.down, s.changed
		s.mu.Unlock()
		switch {
		case down:
			s.count(func(c *Calls) { c.Down++ })
			panic(http.ErrAbortHandler)
		case known != nil && (!watch || known.Revision > after):
			s.count(func(c *Calls) { c.Answered++ })
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(known)
			return
		case !watch:
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if !await(q, poll, next-now, changed) {
			s.count(func(c *Calls) { c.NotModified++ })
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// await returns false when the watch is over.
func await(q *http.Request, poll *time.Timer, visibleIn time.Duration, changed chan struct{}) bool {
	var visible <-chan time.Time
	if visibleIn > 0 {
		t := time.NewTimer(visibleIn)
		defer t.Stop()
		visible = t.C
	}
	select {
	case <-changed:
		return true
	case <-visible:
		return true
	case <-poll.C:
		return false
	case <-q.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

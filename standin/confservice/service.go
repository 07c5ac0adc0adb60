// Package confservice is a stand-in for the platform's configuration service,
// which supports only reads and watches. README.md describes its protocol.
package confservice

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"golang.org/x/time/rate"

	"github.com/mulberryfork/mulberryfork/kernel"
)

// MaxBytes is the maximum total size of the files of one revision.
const MaxBytes = 1 << 20

// defaultWatchTimeout applies if Options.WatchTimeout is zero.
const defaultWatchTimeout = 30 * time.Second

// RevisionTooLargeError reports that the files of a revision exceed MaxBytes.
type RevisionTooLargeError struct{ Bytes int }

func (e *RevisionTooLargeError) Error() string {
	return fmt.Sprintf("revision has %d bytes of files, more than the limit of %d", e.Bytes, MaxBytes)
}

// NotTextError reports a file that is not valid UTF-8.
type NotTextError struct{ File string }

func (e *NotTextError) Error() string { return "file is not valid UTF-8: " + e.File }

// Options configures a service.
type Options struct {
	Clock kernel.Clock
	// Lags holds the replication lag of each replica. If it is empty, there is one
	// replica without lag.
	Lags []time.Duration
	// WatchTimeout is the maximum duration of a watch; 0 means 30 s.
	WatchTimeout time.Duration
	// CallsPerSecond limits the calls of all clients together; 0 means no limit.
	CallsPerSecond int
}

// Calls counts calls of all replicas. Each watch is one call.
type Calls struct {
	Total int
	// Pending is the number of calls in flight.
	Pending int
	// Returned counts calls that returned a revision.
	Returned int
	// NotModified counts watches that timed out without a newer revision.
	NotModified int
	// RateLimited counts calls over the rate limit.
	RateLimited int
	// Dropped counts calls to a replica that is down.
	Dropped int
}

// Revision is the response to a read.
type Revision struct {
	Revision uint64            `json:"revision"`
	Files    map[string]string `json:"files"`
}

type publishedRevision struct {
	Revision
	publishedAt time.Duration
}

// Service is the stand-in. Replica returns the handler of each replica.
type Service struct {
	options Options
	limiter *rate.Limiter

	mu       sync.Mutex
	history  []publishedRevision
	replicas []*replica
	calls    Calls
	restores int
	// changed is closed when the response of a replica may have changed.
	changed chan struct{}
}

type replica struct {
	service *Service
	lag     time.Duration
	down    bool
	// maxRevision is the newest revision that the replica returns; 0 means no
	// limit.
	maxRevision uint64
}

// New returns a service without a revision. Without Lags it has one replica.
func New(o Options) *Service {
	if o.WatchTimeout == 0 {
		o.WatchTimeout = defaultWatchTimeout
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

// Publish adds a revision and returns its number. It returns a *NotTextError or a
// *RevisionTooLargeError for files that the platform would reject.
func (s *Service) Publish(files map[string]string) (uint64, error) {
	total := 0
	for name, content := range files {
		total += len(name) + len(content)
		if !utf8.ValidString(content) {
			return 0, &NotTextError{File: name}
		}
	}
	if total > MaxBytes {
		return 0, &RevisionTooLargeError{Bytes: total}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := uint64(len(s.history) + 1)
	s.history = append(s.history, publishedRevision{
		Revision: Revision{Revision: next, Files: maps.Clone(files)}, publishedAt: s.options.Clock.Now(),
	})
	s.notifyWatches()
	return next, nil
}

func (s *Service) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown makes a replica drop connections, including pending watches.
func (s *Service) SetDown(i int, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas[i].down = down
	s.notifyWatches()
}

// SetStale makes a replica return no revision above the given one; 0 removes
// the limit.
func (s *Service) SetStale(i int, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas[i].maxRevision = revision
	s.notifyWatches()
}

// Restore returns the service to an earlier revision, as a backup of it would. Later
// revisions are lost and their numbers are given out again. Pending watches end.
func (s *Service) Restore(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = slices.Clone(s.history[:revision])
	s.restores++
	s.notifyWatches()
}

// Calls returns the counts so far.
func (s *Service) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// visibleRevision returns the newest revision visible on the replica and the
// time at which the next one becomes visible. The lock must be held.
func (r *replica) visibleRevision(now time.Duration) (newest *Revision, next time.Duration) {
	for i := range r.service.history {
		p := &r.service.history[i]
		if r.maxRevision != 0 && p.Revision.Revision > r.maxRevision {
			break
		}
		if p.publishedAt+r.lag > now {
			return newest, p.publishedAt + r.lag
		}
		newest = &p.Revision
	}
	return newest, 0
}

// ServeHTTP handles GET /v1/config.
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
	r.respond(w, q, after, watch)
}

// parseAfter decodes the parameter after, the revision that the caller already has.
// watch is false if the parameter is absent, ok is false if it is invalid.
func parseAfter(q *http.Request) (after uint64, watch, ok bool) {
	text := q.URL.Query().Get("after")
	if text == "" {
		return 0, false, true
	}
	after, err := strconv.ParseUint(text, 10, 64)
	return after, true, err == nil
}

// admit counts a call. It returns false if the call exceeds the rate limit.
func (s *Service) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Total++
	if s.limiter != nil && !s.limiter.AllowN(time.Unix(0, 0).Add(s.options.Clock.Now()), 1) {
		s.calls.RateLimited++
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

func (r *replica) respond(w http.ResponseWriter, q *http.Request, after uint64, watch bool) {
	timeout := time.NewTimer(r.service.options.WatchTimeout)
	defer timeout.Stop()
	s := r.service
	s.mu.Lock()
	restores := s.restores
	s.mu.Unlock()
	for {
		s.mu.Lock()
		now := s.options.Clock.Now()
		newest, next := r.visibleRevision(now)
		down, changed := r.down || s.restores != restores, s.changed
		s.mu.Unlock()
		switch {
		case down:
			s.count(func(c *Calls) { c.Dropped++ })
			panic(http.ErrAbortHandler)
		case newest != nil && (!watch || newest.Revision > after):
			s.count(func(c *Calls) { c.Returned++ })
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(newest)
			return
		case !watch:
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if !waitForChange(q, timeout, next-now, changed) {
			s.count(func(c *Calls) { c.NotModified++ })
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// waitForChange waits until the visible revision may have changed. It returns false
// if the watch times out first.
func waitForChange(q *http.Request, timeout *time.Timer, visibleIn time.Duration, changed chan struct{}) bool {
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
	case <-timeout.C:
		return false
	case <-q.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

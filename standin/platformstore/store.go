// Package platformstore stands in for the platform's store: it lists entries,
// lets callers watch them, and misbehaves on request.
package platformstore

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry as the store sends it.
type item struct {
	Key      string `json:"key"`
	Payload  string `json:"payload,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is an http.Handler. Its zero value is not usable; see New.
type Store struct {
	mu       sync.Mutex
	entries  map[string]item
	history  []item
	revision uint64
	// forgotten is the revision up to which history is gone.
	forgotten uint64
	changed   chan struct{}
	deaf      bool
	status    int
	calls     int
	// reads counts the first pages read, by prefix.
	reads map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{entries: make(map[string]item), reads: make(map[string]int), revision: 1, changed: make(chan struct{})}
}

// Put writes an entry.
func (s *Store) Put(key string, value []byte) {
	s.write(item{Key: key, Payload: base64.StdEncoding.EncodeToString(value)})
}

// Delete removes an entry.
func (s *Store) Delete(key string) { s.write(item{Key: key, Deleted: true}) }

func (s *Store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	s.entries[i.Key] = i
	if i.Deleted {
		delete(s.entries, i.Key)
	}
	s.history = append(s.history, i)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Deafen makes watches hear nothing. Their answers state the present revision
// all the same.
func (s *Store) Deafen(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = on
	s.wake()
}

// Forget drops the history so far.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.revision
	s.wake()
}

// Fail makes every call answer a status, 0 to end it.
func (s *Store) Fail(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Reads returns how often the entries under a prefix were read from the first.
func (s *Store) Reads(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[prefix]
}

// ServeHTTP answers the calls of the platform's protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	status := s.status
	s.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	switch r.URL.Path {
	case "/-/kv-range":
		s.list(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case "/-/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// pageItems is small, so that tests meet pages.
const pageItems = 2

func (s *Store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after == "" {
		s.reads[prefix]++
	}
	var found []item
	for key, i := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	answer(w, map[string]any{"entries": found[:min(len(found), pageItems)], "hasMore": more, "at": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitTimeoutMs"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		events, at, gone, changed := s.since(query.Get("prefix"), after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			answer(w, map[string]any{"events": []item{}, "at": at})
			return
		case <-r.Context().Done():
			return
		}
		if s.failing() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

func (s *Store) failing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status != 0
}

func (s *Store) since(prefix string, after uint64) (events []item, at uint64, gone bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deaf {
		return nil, s.revision, false, s.changed
	}
	if after < s.forgotten {
		return nil, s.revision, true, s.changed
	}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, false, s.changed
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

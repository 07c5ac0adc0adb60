// Package platformstore is a stand-in for the platform's store. It serves lists
// and watches of entries, and tests can make it fail.
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

// entry is a stored entry or a watch event, as encoded on the wire.
type entry struct {
	Key      string `json:"key"`
	Payload  string `json:"payload,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is the stand-in, an http.Handler. Create one with New.
type Store struct {
	mu       sync.Mutex
	entries  map[string]entry
	history  []entry
	revision uint64
	// compactedRevision is the last revision removed from history.
	compactedRevision uint64
	changed           chan struct{}
	eventsSuppressed  bool
	failureStatus     int
	// era is stated in all responses, unless it is 0.
	era   uint64
	calls int
	// listCalls counts, by prefix, the list calls for a first page.
	listCalls map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{entries: make(map[string]entry), listCalls: make(map[string]int), revision: 1, changed: make(chan struct{})}
}

// Put writes an entry.
func (s *Store) Put(key string, value []byte) {
	s.write(entry{Key: key, Payload: base64.StdEncoding.EncodeToString(value)})
}

// PutEncoded writes an entry whose value is stated as it is, in base64 or not.
func (s *Store) PutEncoded(key, payload string) { s.write(entry{Key: key, Payload: payload}) }

// Delete removes an entry.
func (s *Store) Delete(key string) { s.write(entry{Key: key, Deleted: true}) }

// Payloads returns the encoded payloads of all entries under a prefix, by key.
func (s *Store) Payloads(prefix string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[string]string)
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found[key] = e.Payload
		}
	}
	return found
}

func (s *Store) write(e entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e.Revision = s.revision
	s.entries[e.Key] = e
	if e.Deleted {
		delete(s.entries, e.Key)
	}
	s.history = append(s.history, e)
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetEventsSuppressed makes watches return no events, although their responses state the
// current revision.
func (s *Store) SetEventsSuppressed(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventsSuppressed = on
	s.notifyWatches()
}

// Compact drops the history, so that watches from earlier revisions get status
// 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatches()
}

// SetFailureStatus makes every new call return the given status; 0 ends the failure.
// Watches in flight return status 503.
func (s *Store) SetFailureStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failureStatus = status
	s.notifyWatches()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ListCalls returns how many times the list of entries under a prefix was read from
// its first page.
func (s *Store) ListCalls(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listCalls[prefix]
}

// ServeHTTP handles the calls of the platform's protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	status := s.failureStatus
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
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

// pageEntries is small so that tests cover paging.
const pageEntries = 2

func (s *Store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after == "" {
		s.listCalls[prefix]++
	}
	var found []entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageEntries
	respond(w, map[string]any{"entries": found[:min(len(found), pageEntries)], "hasMore": more, "at": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitTimeoutMs"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		events, at, compacted, changed := s.eventsAfter(query.Get("prefix"), after)
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			respond(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			respond(w, map[string]any{"events": []entry{}, "at": at})
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
	return s.failureStatus != 0
}

// eventsAfter returns the events after a revision, the current revision and a channel
// that is closed on the next change. compacted is set if the history no longer goes
// back to that revision.
func (s *Store) eventsAfter(prefix string, after uint64) (events []entry, at uint64, compacted bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.eventsSuppressed {
		return nil, s.revision, false, s.changed
	}
	if after < s.compactedRevision || after > s.revision {
		return nil, s.revision, true, s.changed
	}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, false, s.changed
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

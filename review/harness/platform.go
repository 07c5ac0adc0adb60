//go:build review

package main

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

// storeEntry is an item of the platform's store, or an event of a watch.
type storeEntry struct {
	Key       string `json:"key"`
	Payload   string `json:"payload,omitempty"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt,omitempty"`
	LeaseID   uint64 `json:"leaseId"`
}

// store is a stand-in for the platform's metadata store: linearizable reads, watches, and
// a revision that grows by one with each change.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeEntry
	history  []storeEntry
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, items: map[string]storeEntry{}, changed: make(chan struct{})}
}

// put writes an item as the operator, a worker or another writer does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(storeEntry{Key: key, Payload: base64.StdEncoding.EncodeToString(data)})
}

func (s *store) write(e storeEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e.Revision, e.CreatedAt = s.revision, s.revision
	s.items[e.Key] = e
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/kv-key":
		s.mu.Lock()
		e, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, e)
	case "/-/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case "/-/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

const pageEntries = 500

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	found := []storeEntry{}
	for key, e := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, e)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageEntries
	if more {
		found = found[:pageEntries]
	}
	writeJSON(w, map[string]any{"entries": found, "hasMore": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitTimeoutMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeEntry{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

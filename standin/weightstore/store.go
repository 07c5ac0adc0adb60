// Package weightstore is a stand-in for the platform's store of model weights.
// All readers share one rate limit. README.md describes its protocol.
package weightstore

import (
	"context"
	"encoding/binary"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/mulberryfork/mulberryfork/kernel"
)

// ChunkBytes is the size of the chunks in which readers share the rate limit.
const ChunkBytes = 64 << 10

// Options configures a store.
type Options struct {
	Clock kernel.Clock
	// BytesPerSecond limits all readers together; 0 means no limit.
	BytesPerSecond int
	// ExpertBytes is the size of the weights of one expert.
	ExpertBytes int
}

// Reads counts the reads of a store and the bytes sent.
type Reads struct {
	Started  int
	Complete int
	Active   int
	// PeakActive is the highest number of concurrent reads.
	PeakActive int
	Bytes      int64
}

// Store is the stand-in, an http.Handler.
type Store struct {
	options Options
	mux     *http.ServeMux

	mu      sync.Mutex
	limiter *rate.Limiter
	down    bool
	reads   Reads
}

// New returns a store.
func New(o Options) *Store {
	s := &Store{options: o, mux: http.NewServeMux()}
	if o.BytesPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(o.BytesPerSecond), ChunkBytes)
	}
	s.mux.HandleFunc("GET /v1/weights/{model}/{version}/{expert}", s.serve)
	return s
}

// SetDown makes the store drop connections, including those of active reads.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Reads returns the counts so far.
func (s *Store) Reads() Reads {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// ServeHTTP handles a read.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	expert, err := strconv.ParseUint(r.PathValue("expert"), 10, 32)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.beginRead()
	defer s.endRead()
	content := ExpertWeights(r.PathValue("model"), r.PathValue("version"), int(expert), s.options.ExpertBytes)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	for len(content) > 0 {
		chunk := content[:min(ChunkBytes, len(content))]
		content = content[len(chunk):]
		s.throttle(r.Context(), len(chunk))
		if _, err := w.Write(chunk); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	s.mu.Lock()
	s.reads.Complete++
	s.mu.Unlock()
}

func (s *Store) beginRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads.Started++
	s.reads.Active++
	s.reads.PeakActive = max(s.reads.PeakActive, s.reads.Active)
}

func (s *Store) endRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads.Active--
}

// throttle waits until the rate limit allows the bytes. It drops the connection
// if the store is down or the reader has disconnected.
func (s *Store) throttle(ctx context.Context, bytes int) {
	delay := s.reserve(bytes)
	if delay > 0 {
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		panic(http.ErrAbortHandler)
	}
	s.reads.Bytes += int64(bytes)
}

func (s *Store) reserve(bytes int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil {
		return 0
	}
	now := time.Unix(0, 0).Add(s.options.Clock.Now())
	return s.limiter.ReserveN(now, bytes).DelayFrom(now)
}

// wordBytes is the size of the words that ExpertWeights generates.
const wordBytes = 8

// ExpertWeights returns the weights of one expert. Equal arguments give equal weights.
func ExpertWeights(model, version string, expert, size int) []byte {
	seed := xxhash.Sum64String(model + "\x00" + version + "\x00" + strconv.Itoa(expert))
	content := make([]byte, 0, size+wordBytes)
	for i := uint64(0); len(content) < size; i++ {
		content = binary.BigEndian.AppendUint64(content, seed+i)
	}
	return content[:size]
}

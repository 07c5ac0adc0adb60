package weightstore_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/standin/weightstore"
)

const size = 4 * weightstore.ChunkBytes

// get returns the body of one read; it is nil if the connection was dropped.
func get(t *testing.T, s *weightstore.Store, path string) (body []byte) {
	w := httptest.NewRecorder()
	defer func() {
		if recover() == http.ErrAbortHandler {
			body = nil
		}
	}()
	s.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", path, nil))
	return w.Body.Bytes()
}

// Guards against a rate limit applied to each reader separately: four readers
// must take as long as one reader of the same total size.
func TestRateIsSharedByAllReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := weightstore.New(weightstore.Options{Clock: kernel.NewRuntimeClock(), BytesPerSecond: size, ExpertBytes: size})
		start := time.Now()
		done := make(chan []byte)
		for range 4 {
			go func() { done <- get(t, s, "/v1/weights/m/1/3") }()
		}
		for range 4 {
			if got := <-done; !bytes.Equal(got, weightstore.ExpertWeights("m", "1", 3, size)) {
				t.Errorf("wrong content, %d bytes", len(got))
			}
		}
		// The first of 16 chunks is sent as a burst, so the last is sent after 15
		// quarters of a second.
		if took, want := time.Since(start), 15*time.Second/4; took < want || took > want+time.Millisecond {
			t.Errorf("took %v, want %v", took, want)
		}
		want := weightstore.Reads{Started: 4, Complete: 4, PeakActive: 4, Bytes: 4 * size}
		if s.Reads() != want {
			t.Errorf("reads %+v", s.Reads())
		}
	})
}

// Guards against SetDown not aborting an active read.
func TestSetDownAbortsActiveRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := weightstore.New(weightstore.Options{Clock: kernel.NewRuntimeClock(), BytesPerSecond: size, ExpertBytes: size})
		done := make(chan []byte)
		go func() { done <- get(t, s, "/v1/weights/m/1/3") }()
		synctest.Wait()
		s.SetDown(true)
		if got := <-done; got != nil || s.Reads().Complete != 0 || s.Reads().Bytes != weightstore.ChunkBytes {
			t.Errorf("%d bytes, reads %+v", len(got), s.Reads())
		}
	})
}

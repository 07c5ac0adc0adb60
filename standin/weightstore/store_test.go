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

// get returns the body of one read, or nil if the connection was dropped.
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

// Guards against a rate that each reader has for itself: four readers take as
// long as one that reads everything.
func TestRateIsSharedByAllReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := weightstore.New(weightstore.Options{Clock: kernel.NewRuntimeClock(), BytesPerSecond: size, ExpertBytes: size})
		start := time.Now()
		done := make(chan []byte)
		for range 4 {
			go func() { done <- get(t, s, "/v1/weights/m/1/3") }()
		}
		for range 4 {
			if got := <-done; !bytes.Equal(got, weightstore.Content("m", "1", 3, size)) {
				t.Errorf("%d bytes of wrong content", len(got))
			}
		}
		// The first chunk is a burst, so the last of 16 chunks comes after 15 quarters.
		if took, want := time.Since(start), 15*time.Second/4; took < want || took > want+time.Millisecond {
			t.Errorf("took %v, want %v", took, want)
		}
		want := weightstore.Reads{Started: 4, Complete: 4, PeakActive: 4, Bytes: 4 * size}
		if s.Reads() != want {
			t.Errorf("reads %+v", s.Reads())
		}
	})
}

// Guards against a store that cannot fail in the middle of a read.
func TestStoreGoesDownDuringARead(t *testing.T) {
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

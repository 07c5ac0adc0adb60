package confservice_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/standin/confservice"
)

// get returns the revision and status of one call. The status is 0 if the
// connection was dropped.
func get(t *testing.T, s *confservice.Service, replica int, query string) (revision uint64, status int) {
	w := httptest.NewRecorder()
	defer func() {
		if recover() == http.ErrAbortHandler {
			revision, status = 0, 0
		}
	}()
	s.Replica(replica).ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/v1/config"+query, nil))
	var r confservice.Revision
	_ = json.Unmarshal(w.Body.Bytes(), &r)
	return r.Revision, w.Code
}

func publish(t *testing.T, s *confservice.Service, text string) {
	if _, err := s.Publish(map[string]string{"a.toml": text}); err != nil {
		t.Fatal(err)
	}
}

// Guards against watches that miss a change, never time out or are not counted.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := confservice.New(confservice.Options{Clock: kernel.NewRuntimeClock(), WatchTimeout: 10 * time.Second})
		if _, status := get(t, s, 0, ""); status != http.StatusNotFound {
			t.Errorf("read before the first revision: got status %d", status)
		}
		got := make(chan string)
		go func() {
			revision, status := get(t, s, 0, "?after=0")
			got <- fmt.Sprint(revision, status)
		}()
		synctest.Wait()
		if s.Calls().Pending != 1 {
			t.Errorf("calls %+v", s.Calls())
		}
		publish(t, s, "x = 1")
		if g := <-got; g != "1 200" {
			t.Errorf("watch with a change: got revision and status %s", g)
		}
		start := time.Now()
		if _, status := get(t, s, 0, "?after=1"); status != http.StatusNotModified || time.Since(start) != 10*time.Second {
			t.Errorf("watch without a change: got status %d after %v", status, time.Since(start))
		}
		want := confservice.Calls{Total: 3, Returned: 1, NotModified: 1}
		if s.Calls() != want {
			t.Errorf("calls %+v", s.Calls())
		}
	})
}

// Guards against replicas that ignore their lag or SetStale, and against pending
// watches that continue after SetDown.
func TestReplicasDifferInAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := confservice.New(confservice.Options{Clock: kernel.NewRuntimeClock(), Lags: []time.Duration{0, time.Second, 0}})
		publish(t, s, "x = 1")
		time.Sleep(time.Minute)
		publish(t, s, "x = 2")
		s.SetStale(2, 1)
		for replica, want := range []uint64{2, 1, 1} {
			if got, _ := get(t, s, replica, ""); got != want {
				t.Errorf("replica %d: revision %d, want %d", replica, got, want)
			}
		}
		start := time.Now()
		if got, _ := get(t, s, 1, "?after=1"); got != 2 || time.Since(start) != time.Second {
			t.Errorf("watch on the lagging replica: got revision %d after %v", got, time.Since(start))
		}
		dropped := make(chan int)
		go func() {
			_, status := get(t, s, 0, "?after=2")
			dropped <- status
		}()
		synctest.Wait()
		s.SetDown(0, true)
		if status := <-dropped; status != 0 {
			t.Errorf("watch on a replica that went down: got status %d", status)
		}
	})
}

// Guards against a stand-in without the size and rate limits of the platform.
func TestLimits(t *testing.T) {
	s := confservice.New(confservice.Options{Clock: &kernel.ManualClock{}, CallsPerSecond: 2})
	var large *confservice.RevisionTooLargeError
	if _, err := s.Publish(map[string]string{"a": strings.Repeat("x", confservice.MaxBytes)}); !errors.As(err, &large) {
		t.Errorf("revision over the size limit: got error %v", err)
	}
	publish(t, s, "x = 1")
	statuses := []int{}
	for range 3 {
		_, status := get(t, s, 0, "")
		statuses = append(statuses, status)
	}
	if fmt.Sprint(statuses) != "[200 200 429]" {
		t.Errorf("statuses %v", statuses)
	}
}

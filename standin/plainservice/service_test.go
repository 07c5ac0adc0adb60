package plainservice_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/standin/plainservice"
)

// post returns the body and status of one call. The status is 0 if the
// connection was dropped.
func post(t *testing.T, s *plainservice.Service, key string) (body string, status int) {
	w := httptest.NewRecorder()
	defer func() {
		if recover() == http.ErrAbortHandler {
			body, status = "", 0
		}
	}()
	r := httptest.NewRequestWithContext(t.Context(), "POST", "/visits", strings.NewReader("tuesday"))
	r.Header.Set(plainservice.HeaderKey, key)
	r.Header.Set(plainservice.HeaderRequestID, "r")
	s.ServeHTTP(w, r)
	return w.Body.String(), w.Code
}

// Guards against faults that strike on the wrong side of the execution, and
// against wrong counts: tests of at-most-once execution rely on both.
func TestFaultsAndCounts(t *testing.T) {
	for _, c := range []struct {
		name       string
		fault      plainservice.Fault
		status     int
		executions int
	}{
		{"none", plainservice.Fault{}, 200, 1},
		{"status", plainservice.Fault{Status: 503}, 503, 0},
		{"crash before", plainservice.Fault{CrashBefore: true}, 0, 0},
		{"crash after", plainservice.Fault{CrashAfter: true}, 0, 1},
		{"delay", plainservice.Fault{DelayBefore: time.Second, DelayAfter: time.Second}, 200, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := plainservice.New(plainservice.Options{Clock: kernel.NewRuntimeClock(), RestartTime: time.Second})
			s.Inject(c.fault, 1)
			start := time.Now()
			_, status := post(t, s, "k")
			if status != c.status || s.ExecutionsByKey("k") != c.executions || s.ExecutionsByRequestID("r") != c.executions || s.ExecutionsByRoute("POST /visits") != c.executions {
				t.Errorf("%s: status %d, executions %d", c.name, status, s.ExecutionsByKey("k"))
			}
			if want := c.fault.DelayBefore + c.fault.DelayAfter; time.Since(start) != want {
				t.Errorf("%s: took %v, want %v", c.name, time.Since(start), want)
			}
			time.Sleep(time.Second)
			if _, status := post(t, s, "k"); status != 200 {
				t.Errorf("%s: status %d after the fault", c.name, status)
			}
		})
	}
}

// Guards against deduplication that is always on, and against recorded responses
// that survive a crash.
func TestDeduplication(t *testing.T) {
	for _, deduplicates := range []bool{true, false} {
		s := plainservice.New(plainservice.Options{Clock: &kernel.ManualClock{}, Deduplicates: deduplicates})
		first, _ := post(t, s, "k")
		second, _ := post(t, s, "k")
		if (first == second) != deduplicates || (s.ExecutionsByKey("k") == 1) != deduplicates {
			t.Errorf("deduplicates %v: responses %q and %q, executions %d", deduplicates, first, second, s.ExecutionsByKey("k"))
		}
		before := s.ExecutionsByKey("k")
		s.Crash()
		if post(t, s, "k"); s.ExecutionsByKey("k") != before+1 {
			t.Errorf("deduplicates %v: recorded response survived a crash", deduplicates)
		}
	}
}

// Guards against random failures that differ between runs with the same seed.
func TestFailRateIsSeeded(t *testing.T) {
	outcome := func() (text string) {
		s := plainservice.New(plainservice.Options{Clock: &kernel.ManualClock{}, Seed: 7, FailRate: 0.5})
		for range 20 {
			_, status := post(t, s, "k")
			text += http.StatusText(status) + ","
		}
		return text
	}
	if a, b := outcome(), outcome(); a != b || !strings.Contains(a, "OK") || !strings.Contains(a, "Unavailable") {
		t.Errorf("%s\n%s", a, b)
	}
}

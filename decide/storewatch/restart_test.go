package storewatch_test

import (
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/storewatch"
)

// Guards against a reader that goes on waiting after failures although the store has answered
// in a new era, and against one that reads without a pause while eras follow each other.
func TestNewEraIsReadSoonAfterFailures(t *testing.T) {
	r := storewatch.New(storewatch.Settings{})
	r.Listed(time.Second, 9)
	for range 6 {
		r.Failed(r.Next(), false)
	}
	if delay := r.Next().Delay; delay < 300*time.Millisecond {
		t.Fatalf("delay after failures %v", delay)
	}
	r.Restart()
	first := r.Next()
	if first.Kind != storewatch.List || first.Delay > 100*time.Millisecond {
		t.Errorf("after a new era: %+v", first)
	}
	for range 6 {
		r.Restart()
	}
	if delay := r.Next().Delay; delay < 300*time.Millisecond {
		t.Errorf("delay after seven eras %v", delay)
	}
	r.Listed(2*time.Second, 9)
	if read := r.Next(); read.Kind != storewatch.Watch || read.After != 9 {
		t.Errorf("after a list: %+v", read)
	}
}

package adminhttp

import (
	"testing"
	"time"
)

// Guards against a document that is older than the request for it: a process would look ready
// with the revision that it had before it was, and against one build for each of many requests.
func TestDocumentIsNotOlderThanItsRequest(t *testing.T) {
	var d documents
	builds := 0
	build := func() string { builds++; return "{}" }
	early := time.Now()
	d.get(early, build)
	for range 10 {
		d.get(early, build)
	}
	if builds != 1 {
		t.Errorf("%d builds for requests that arrived before the first one, want 1", builds)
	}
	d.get(time.Now().Add(time.Millisecond), build)
	if builds != 2 {
		t.Errorf("%d builds after a later request, want 2", builds)
	}
}

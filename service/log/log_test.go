package log_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/service/log"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func (s *blockedWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

// Guards against callers that block while the output is blocked, failures that are
// dropped because routine lines fill the queue, and drops that are not reported.
func TestBlockedOutputKeepsFailures(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	r := kernel.NewRegistry()
	if err := log.Register(r); err != nil {
		t.Fatal(err)
	}
	h := kernel.NewHost(r, []string{api.ServiceLog}, kernel.Options{Values: []any{&api.Settings{}, &log.Output{Writer: out}}})
	if err := h.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	logger, err := kernel.Find[api.Logger](h, api.ServiceLog)
	if err != nil {
		t.Fatal(err)
	}
	for range 5000 {
		logger.Decision("routine", api.DecisionRoutine, nil)
	}
	for range 100 {
		logger.Decision("failed", api.DecisionFailed, nil)
	}
	close(out.release)
	if err := h.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if n := strings.Count(text, "msg=failed"); n != 100 {
		t.Errorf("%d of 100 failures written", n)
	}
	if n := strings.Count(text, "msg=routine"); n == 0 || n > 300 {
		t.Errorf("%d routine lines written", n)
	}
	if !strings.Contains(text, "lines dropped") {
		t.Error("dropped lines are not reported")
	}
}

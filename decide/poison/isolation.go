package poison

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// DefaultMaxQueued is the default limit on suspects queued at one agent.
const DefaultMaxQueued = 256

// Isolation queues suspects at one agent and runs them one at a time. While one
// is queued or in flight, no other request may start, so that a crash has
// exactly one possible cause.
type Isolation struct {
	max     int
	queue   []IsolatedRun
	running *IsolatedRun
}

// IsolatedRun is one run of a suspect in isolation, queued or in flight.
type IsolatedRun struct {
	Fingerprint uint64
	AttemptID   api.AttemptID
}

// NewIsolation returns an empty queue for up to maxQueued suspects, or
// DefaultMaxQueued if maxQueued is not positive.
func NewIsolation(maxQueued int) *Isolation {
	if maxQueued <= 0 {
		maxQueued = DefaultMaxQueued
	}
	return &Isolation{max: maxQueued}
}

// Check decides whether the agent of an upstream accepts a request and whether
// the request must run alone. isolate is true if the router marked the request for
// isolation. The agent refuses an unmarked suspect, so that the router can place it
// at another upstream, unless the suspect may have crashed this upstream already.
func (s *State) Check(now time.Duration, fp uint64, upstream string, isolate bool) (alone bool, f *api.Failure) {
	status, left := s.evaluate(now, fp)
	switch status {
	case Blocked:
		return false, suspectFailure("the request crashed upstreams in isolation", left)
	case Suspect:
		crashed, _ := s.crashedUpstreams(now, fp)
		if !isolate && !slices.Contains(crashed, upstream) {
			return false, suspectFailure("the request must run in isolation at another upstream", suspectRetryAfter)
		}
		return true, nil
	}
	return isolate, nil
}

// FilterSuspects returns the requests of a batch that are suspects or blocked,
// usually because of crashes of other upstreams since the requests started. The
// caller cancels those that are idempotent and places them again, before they crash
// this upstream too.
func (s *State) FilterSuspects(now time.Duration, batch []uint64) []uint64 {
	var suspects []uint64
	for _, fp := range batch {
		if s.Status(now, fp) != Clean {
			suspects = append(suspects, fp)
		}
	}
	return suspects
}

// Add queues a suspect, or refuses it if the queue is full.
func (i *Isolation) Add(w IsolatedRun) *api.Failure {
	if len(i.queue) >= i.max {
		return suspectFailure("too many requests are queued for a run in isolation", suspectRetryAfter)
	}
	i.queue = append(i.queue, w)
	return nil
}

// Remove removes a suspect from the queue, for example after a cancellation.
func (i *Isolation) Remove(attempt api.AttemptID) {
	i.queue = slices.DeleteFunc(i.queue, func(w IsolatedRun) bool { return w.AttemptID == attempt })
}

// Active reports whether a suspect is queued or in flight. In that case other
// requests must not start.
func (i *Isolation) Active() bool { return i.running != nil || len(i.queue) > 0 }

// Running returns the suspect in flight, if any.
func (i *Isolation) Running() (IsolatedRun, bool) {
	if i.running == nil {
		return IsolatedRun{}, false
	}
	return *i.running, true
}

// Next starts the next suspect if no request is in flight. The caller
// must repeat Check for it, since it may have been cleared or blocked while it
// was queued.
func (i *Isolation) Next(inFlight int) (IsolatedRun, bool) {
	if inFlight > 0 || i.running != nil || len(i.queue) == 0 {
		return IsolatedRun{}, false
	}
	w := i.queue[0]
	i.queue = i.queue[1:]
	i.running = &w
	return w, true
}

// Finish marks the run in isolation as finished, whatever its result. It ignores
// attempts that do not run in isolation.
func (i *Isolation) Finish(attempt api.AttemptID) {
	if i.running != nil && i.running.AttemptID == attempt {
		i.running = nil
	}
}

// Queued reports whether a suspect is queued.
func (i *Isolation) Queued(attempt api.AttemptID) bool {
	return slices.ContainsFunc(i.queue, func(w IsolatedRun) bool { return w.AttemptID == attempt })
}

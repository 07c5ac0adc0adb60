package poison

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// DefaultMaxWaiting bounds the suspects that wait at one agent.
const DefaultMaxWaiting = 256

// Isolation schedules suspects at one agent. While one waits or runs, nothing
// else starts, so that a crash has exactly one cause.
type Isolation struct {
	max     int
	waiting []Waiting
	running *Waiting
}

// Waiting is a suspect that waits for its run.
type Waiting struct {
	Fingerprint uint64
	Send        api.SendID
}

// NewIsolation returns an empty schedule.
func NewIsolation(maxWaiting int) *Isolation {
	if maxWaiting <= 0 {
		maxWaiting = DefaultMaxWaiting
	}
	return &Isolation{max: maxWaiting}
}

// Check decides about an order that reaches the agent of an upstream. A nil
// failure without isolation lets it run as usual. The agent refuses a suspect
// that the router did not mark, so that the router can place it.
func (s *State) Check(now time.Duration, fp uint64, upstream string, isolate bool) (alone bool, f *api.Failure) {
	status, left := s.standing(now, fp)
	switch status {
	case Condemned:
		return false, refusal("the request crashed upstreams in isolation", left)
	case Suspect:
		sites, _ := s.sites(now, fp)
		if !isolate && !slices.Contains(sites, upstream) {
			return false, refusal("the request must run in isolation elsewhere", suspectRetryAfter)
		}
		return true, nil
	}
	return isolate, nil
}

// Recall returns the requests among those running in a batch that have become
// suspects since they started. Idempotent ones are to be canceled before they
// crash this upstream as well, and placed again.
func (s *State) Recall(now time.Duration, batch []uint64) []uint64 {
	var recalled []uint64
	for _, fp := range batch {
		if s.Status(now, fp) != Clean {
			recalled = append(recalled, fp)
		}
	}
	return recalled
}

// Add queues a suspect, or refuses it if too many wait.
func (i *Isolation) Add(w Waiting) *api.Failure {
	if len(i.waiting) >= i.max {
		return refusal("too many requests wait for a run in isolation", suspectRetryAfter)
	}
	i.waiting = append(i.waiting, w)
	return nil
}

// Remove takes out a suspect that no longer waits, such as a canceled one.
func (i *Isolation) Remove(send api.SendID) {
	i.waiting = slices.DeleteFunc(i.waiting, func(w Waiting) bool { return w.Send == send })
}

// Holding says whether requests outside isolation must not start.
func (i *Isolation) Holding() bool { return i.running != nil || len(i.waiting) > 0 }

// Running returns the suspect that runs, if any.
func (i *Isolation) Running() (Waiting, bool) {
	if i.running == nil {
		return Waiting{}, false
	}
	return *i.running, true
}

// Next starts the next suspect once nothing else runs. Each waiting one must
// be checked again with Check, since it may have been cleared or condemned
// meanwhile.
func (i *Isolation) Next(batch int) (Waiting, bool) {
	if batch > 0 || i.running != nil || len(i.waiting) == 0 {
		return Waiting{}, false
	}
	w := i.waiting[0]
	i.waiting = i.waiting[1:]
	i.running = &w
	return w, true
}

// Ended makes room after a run in isolation, whatever its result.
func (i *Isolation) Ended(send api.SendID) {
	if i.running != nil && i.running.Send == send {
		i.running = nil
	}
}

// Waits says whether a suspect waits for its run.
func (i *Isolation) Waits(send api.SendID) bool {
	return slices.ContainsFunc(i.waiting, func(w Waiting) bool { return w.Send == send })
}

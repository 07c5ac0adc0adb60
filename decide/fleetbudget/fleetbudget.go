// Package fleetbudget implements a retry budget that all processes share
// without communicating. Each process may retry a fraction of its own
// requests, plus an equal share of a fixed number of extra retries.
package fleetbudget

import "time"

// buckets is the number of buckets in a sliding window. A retry counts for up
// to one bucket longer than the window, a request for up to one bucket less.
const buckets = 10

// Options configures a State.
type Options struct {
	// Ratio is the fraction of the requests in a window that may be retried.
	Ratio float64
	// ExtraRetries is the number of further retries per window, shared by all
	// processes.
	ExtraRetries float64
	Window       time.Duration
}

// State counts the requests and retries of each service. It is owned by the
// control loop.
type State struct {
	options      Options
	processCount int
	services     map[string]*window
}

type window struct {
	bucket   int64
	requests [buckets + 1]int
	retries  [buckets + 1]int
}

// New returns a state without requests.
func New(o Options) *State { return &State{options: o, services: make(map[string]*window)} }

// SetProcessCount sets the number of processes that share the extra retries. 0
// means that the number is unknown; the process then gets no share of them.
func (s *State) SetProcessCount(n int) { s.processCount = n }

// extraShare returns this process's share of the extra retries.
func (s *State) extraShare() float64 {
	if s.processCount == 0 {
		return 0
	}
	return s.options.ExtraRetries / float64(s.processCount)
}

// RecordRequest counts a request of a caller.
func (s *State) RecordRequest(now time.Duration, service string) {
	w := s.advance(now, service)
	w.requests[w.index()]++
}

// TakeRetry takes one retry from the budget of a service. It returns false if
// the budget is exhausted.
func (s *State) TakeRetry(now time.Duration, service string) bool {
	w := s.advance(now, service)
	requests, retries := -w.requests[w.oldest()], 0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := s.options.Ratio*float64(requests) + s.extraShare()
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.index()]++
	return true
}

func (s *State) advance(now time.Duration, service string) *window {
	w := s.services[service]
	bucket := int64(now / (s.options.Window / buckets))
	if w == nil {
		w = &window{bucket: bucket}
		s.services[service] = w
	}
	for ; w.bucket < bucket; w.bucket++ {
		next := int((w.bucket + 1) % int64(len(w.requests)))
		w.requests[next], w.retries[next] = 0, 0
		if bucket-w.bucket > buckets*2 {
			*w = window{bucket: bucket - 1}
		}
	}
	return w
}

func (w *window) index() int { return int(w.bucket % int64(len(w.requests))) }

// oldest returns the index of the bucket that is only partly within the window.
func (w *window) oldest() int { return int((w.bucket + 1) % int64(len(w.requests))) }

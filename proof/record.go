// Package proof judges what callers and stand-ins recorded during a run against
// the promises of the design page. The verdicts are pure functions over the
// record; package pool produces one with real processes.
package proof

import (
	"slices"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Send is one send of a request, as its caller saw it.
type Send struct {
	// ID names the send and Request the request; resends share the request.
	ID, Request string
	Member      string
	// Router took the send.
	Router     string
	Idempotent bool
	// Key and Path are set where edges serve.
	Key, Path  string
	Begin, End time.Duration
	// Left says that the caller left before the answer.
	Left bool
	// Whole says that the answer looked whole to the caller.
	Whole bool
	// Answer is what was received, Expected what the request asks for.
	Answer, Expected string
	// Code and Run are what the caller was told of a failure, empty where the
	// connection broke without a word.
	Code api.Code
	Run  api.RunState
}

// Outcome is the answer to a query for the outcome of a request.
type Outcome struct {
	Request string
	At      time.Duration
	Run     api.RunState
	Done    bool
}

// Run is one run of a request at an upstream, as its stand-in saw it.
type Run struct {
	Send, Request  string
	Upstream, Zone string
	// Service and Member are set where edges serve.
	Service, Member string
	Idempotent      bool
	Begin, End      time.Duration
	// Bound is the concurrent work that the upstream bore when the run began.
	Bound int
	// Whole is false if the client left before the answer was written.
	Whole bool
}

// Step is one step of one rank, as a group's stand-in saw it.
type Step struct {
	Group string
	// Incarnation changes when a rank of the group restarts.
	Incarnation uint64
	Step        uint64
	Rank        int
	Map         uint64
}

// Taken is the time during which a zone or an upstream is out of new work. Until
// is zero while it lasts.
type Taken struct {
	Name        string
	From, Until time.Duration
}

// Published is a valid revision that operators published.
type Published struct {
	Revision uint64
	At       time.Duration
}

// Observation is what a process said of its configuration.
type Observation struct {
	Node string
	// Life tells the starts of a process apart.
	Life     int
	At       time.Duration
	Revision uint64
	Ready    bool
}

// Stop is a planned stop of a process.
type Stop struct {
	Node string
	// Upstream is set for an agent.
	Upstream   string
	Begin, End time.Duration
	Code       int
}

// Fault is a time during which something was made to fail. Until is zero while
// it lasts.
type Fault struct {
	Name        string
	From, Until time.Duration
	// Nodes are the processes it touches; empty means all.
	Nodes []string
	// Hides says that it keeps publications from these processes.
	Hides bool
}

// Record is everything that was recorded in a run, on one clock.
type Record struct {
	Sends     []Send
	Outcomes  []Outcome
	Runs      []Run
	Steps     []Step
	Zones     []Taken
	Leaving   []Taken
	Published []Published
	Observed  []Observation
	Stops     []Stop
	Faults    []Fault
	// The following are recorded where edges serve.
	Arrivals []Arrival
	Cold     []Cold
	Placed   []Placed
	Revoked  []Taken
	// End is the time of the last recorded event.
	End time.Duration
}

// Recorder collects a record from many goroutines.
type Recorder struct {
	mu     sync.Mutex
	record Record
}

// Add changes the record; the function must not keep it.
func (r *Recorder) Add(change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.record)
}

// Record returns a copy that ends at the given time.
func (r *Recorder) Record(now time.Duration) Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.record
	c.Sends, c.Outcomes = slices.Clone(c.Sends), slices.Clone(c.Outcomes)
	c.Runs, c.Steps = slices.Clone(c.Runs), slices.Clone(c.Steps)
	c.Zones, c.Leaving = slices.Clone(c.Zones), slices.Clone(c.Leaving)
	c.Published, c.Observed = slices.Clone(c.Published), slices.Clone(c.Observed)
	c.Stops, c.Faults = slices.Clone(c.Stops), slices.Clone(c.Faults)
	c.Arrivals, c.Cold = slices.Clone(c.Arrivals), slices.Clone(c.Cold)
	c.Placed, c.Revoked = slices.Clone(c.Placed), slices.Clone(c.Revoked)
	c.End = now
	return c
}

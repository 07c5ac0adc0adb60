// Package proof checks the guarantees of the design page against the events that
// callers and stand-ins recorded during a test run. The checkers are pure functions
// over the record. Packages pool and edgepool record runs of real processes.
package proof

import (
	"slices"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Attempt is one try of a request, as observed by its caller.
type Attempt struct {
	// ID identifies the attempt, Request the request. Retries have the same Request.
	ID, Request string
	Member      string
	// Router is the router or edge that received the attempt.
	Router     string
	Idempotent bool
	// Priority is higher for more urgent requests. Competing is set for the attempts of callers
	// whose demand is the same for all members and priorities and exceeds the capacity.
	Priority  int32
	Competing bool
	// Key is the API key and Path the path of the request. Both are set only by
	// package edgepool.
	Key, Path string
	// Fresh is set if the attempt was made on a connection of its own.
	Fresh      bool
	Begin, End time.Duration
	// Timeout is the time limit that the caller sent with the attempt, 0 for none.
	Timeout time.Duration
	// Canceled reports whether the caller disconnected before it got a response.
	Canceled bool
	// Complete reports whether the response appeared complete to the caller.
	Complete bool
	// Response is the content of the response received, Expected the correct one.
	Response, Expected string
	// Code and Run come from the error response. They are empty if the connection
	// broke before one was received.
	Code api.Code
	Run  api.RunState
	// Status is the HTTP status of the response, 0 without one, and ProcessStart the time at
	// which the process that received the attempt was started. Both are set only by drills.
	Status       int
	ProcessStart time.Duration
}

// reachedDeadline reports whether the caller's own time limit had passed at a time.
func (a Attempt) reachedDeadline(at time.Duration) bool {
	return a.Timeout > 0 && at-a.Begin >= a.Timeout
}

// Outcome is the result of a query for the outcome of a request.
type Outcome struct {
	Request string
	At      time.Duration
	Run     api.RunState
	Done    bool
}

// Run is one execution of a request by an upstream, as recorded by its stand-in.
type Run struct {
	Attempt, Request string
	Upstream, Zone   string
	// Service and Member are set only by package edgepool.
	Service, Member string
	Idempotent      bool
	Begin, End      time.Duration
	// Limit is the concurrency limit of the upstream when this run began. The
	// limit 0 is not checked.
	Limit int
	// Complete is false if the client disconnected before the response was written.
	Complete bool
}

// Step is one step of one rank, as recorded by the group's stand-in.
type Step struct {
	Group string
	// Incarnation changes when a rank of the group restarts.
	Incarnation uint64
	Step        uint64
	Rank        int
	Map         uint64
}

// Exclusion is the interval in which a zone or an upstream must not get new
// requests, or in which a key is revoked. Until is zero while the exclusion lasts.
type Exclusion struct {
	Name        string
	From, Until time.Duration
}

// Publication is a valid configuration revision that operators published.
type Publication struct {
	Revision uint64
	At       time.Duration
}

// Observation is the configuration revision and readiness that a process reported
// when it was polled at the time At.
type Observation struct {
	Node string
	// Incarnation counts the restarts of the process.
	Incarnation int
	At          time.Duration
	Revision    uint64
	Ready       bool
}

// Shutdown is a graceful shutdown of a process.
type Shutdown struct {
	Node string
	// Upstream is set for an agent.
	Upstream   string
	Begin, End time.Duration
	Code       int
}

// Fault is an injected fault. It lasts from From to Until, which is zero while the
// fault is active.
type Fault struct {
	Name        string
	From, Until time.Duration
	// Nodes are the affected processes; empty means all.
	Nodes []string
	// BlocksUpdates reports whether the fault keeps published changes from Nodes.
	BlocksUpdates bool
}

// Record holds all events of a test run, timed by one clock.
type Record struct {
	Attempts     []Attempt
	Outcomes     []Outcome
	Runs         []Run
	Steps        []Step
	Zones        []Exclusion
	Leaving      []Exclusion
	Publications []Publication
	Observations []Observation
	Shutdowns    []Shutdown
	Faults       []Fault
	Exits        []Exit
	// The following fields are set only by package edgepool.
	Arrivals     []Arrival
	ColdStarts   []ColdStart
	RouteChanges []RouteChange
	Revoked      []Exclusion
	Usages       []Usage
	// The following fields are set only by drills.
	Versions   []ConfigVersion
	Departures []Departure
	Restores   []Restore
	// End is the time at which the record was copied.
	End time.Duration
}

// Recorder collects the events of a test run. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	record Record
}

// Update calls change with the record. The function must not retain the pointer.
func (r *Recorder) Update(change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.record)
}

// Record returns a copy of the record, with its end set to now.
func (r *Recorder) Record(now time.Duration) Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.record
	c.Attempts, c.Outcomes = slices.Clone(c.Attempts), slices.Clone(c.Outcomes)
	c.Runs, c.Steps = slices.Clone(c.Runs), slices.Clone(c.Steps)
	c.Zones, c.Leaving = slices.Clone(c.Zones), slices.Clone(c.Leaving)
	c.Publications, c.Observations = slices.Clone(c.Publications), slices.Clone(c.Observations)
	c.Shutdowns, c.Faults = slices.Clone(c.Shutdowns), slices.Clone(c.Faults)
	c.Exits = slices.Clone(c.Exits)
	c.Arrivals, c.ColdStarts = slices.Clone(c.Arrivals), slices.Clone(c.ColdStarts)
	c.RouteChanges, c.Revoked = slices.Clone(c.RouteChanges), slices.Clone(c.Revoked)
	c.Usages = slices.Clone(c.Usages)
	c.Versions, c.Departures, c.Restores = slices.Clone(c.Versions), slices.Clone(c.Departures), slices.Clone(c.Restores)
	c.End = now
	return c
}

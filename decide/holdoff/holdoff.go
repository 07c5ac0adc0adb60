// Package holdoff remembers what upstreams say of themselves in their responses: that
// they leave, or that they want no requests for some time.
//
// A statement belongs to one incarnation of an upstream. It stays when the upstream
// disappears from the platform's list and comes back, and ends with the incarnation.
package holdoff

import (
	"maps"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// maxHoldOff bounds the time for which an upstream gets no requests. A longer one is
	// a mistake of the upstream, which would be lost to callers.
	maxHoldOff = 10 * time.Minute
	// unlistedTTL is how long a statement is kept after its upstream was last listed. An
	// upstream whose lease expired is back within seconds.
	unlistedTTL = 10 * time.Minute
	// maxUpstreams bounds the upstreams with statements. It is several times the number
	// of upstreams in the largest planned fleet.
	maxUpstreams = 4096
)

// Incarnation identifies one start of an upstream.
type Incarnation struct {
	Upstream    string
	StartedAtMs int64
}

// State holds the statements of upstreams. It is owned by the control loop.
type State struct {
	statements map[Incarnation]*statement
}

type statement struct {
	leaving bool
	// until is the end of the hold-off, 0 if there is none.
	until    time.Duration
	listedAt time.Duration
}

// New returns an empty state.
func New() *State { return &State{statements: make(map[Incarnation]*statement)} }

// Observe records a statement and reports whether it changed anything. The latest
// hold-off counts, also if it ends sooner; one that is not positive ends it.
func (s *State) Observe(now time.Duration, of Incarnation, said api.UpstreamStatement) bool {
	if !said.Leaving && said.HoldOff == nil {
		return false
	}
	known := s.statements[of]
	if known == nil {
		if len(s.statements) >= maxUpstreams {
			return false
		}
		known = &statement{listedAt: now}
		s.statements[of] = known
	}
	changed := said.Leaving && !known.leaving
	known.leaving = known.leaving || said.Leaving
	if said.HoldOff != nil {
		until := time.Duration(0)
		if *said.HoldOff > 0 {
			until = now + min(*said.HoldOff, maxHoldOff)
		}
		changed = changed || until != known.until
		known.until = until
	}
	return changed
}

// IsLeaving reports whether an upstream said that it leaves. It does not come back from
// that without a new start.
func (s *State) IsLeaving(of Incarnation) bool {
	known := s.statements[of]
	return known != nil && known.leaving
}

// HeldUntil returns the time until which an upstream wants no requests, 0 if it takes
// them now.
func (s *State) HeldUntil(now time.Duration, of Incarnation) time.Duration {
	known := s.statements[of]
	if known == nil || known.until <= now {
		return 0
	}
	return known.until
}

// SetListed drops statements of upstreams that have not been listed for long.
func (s *State) SetListed(now time.Duration, isListed func(Incarnation) bool) {
	maps.DeleteFunc(s.statements, func(of Incarnation, known *statement) bool {
		if isListed(of) {
			known.listedAt = now
		}
		return now-known.listedAt > unlistedTTL
	})
}

// Package outlier finds upstreams that fail or are slow compared with their
// pool, ejects them for a time and readmits them after successful probes. It
// never ejects more than a stated part of a pool, and none while the whole
// pool is in trouble.
package outlier

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Status is the standing of an upstream.
type Status uint8

// Standings of an upstream. A probing one takes one request at a time.
const (
	In Status = iota
	Probing
	Out
)

var statusNames = [...]string{In: "in", Probing: "probing", Out: "ejected"}

func (s Status) String() string { return statusNames[s] }

const (
	// MaxPart is the part of a pool that may be ejected or probing. A pool of
	// two or three may lose one.
	MaxPart = 1.0 / 3
	// consecutiveFailures ejects at once.
	consecutiveFailures = 5
	// failureRatio ejects after minSamples results.
	failureRatio = 0.5
	minSamples   = 10
	// latencyFactor is the slowdown against the median of the pool that ejects.
	latencyFactor = 4
	// troubledRatio and troubledPart tell an overload of all: that part of
	// the pool fails at that ratio.
	troubledRatio = 0.3
	troubledPart  = 0.5
	// halfLife is the time in which the weight of a result halves.
	halfLife = 10 * time.Second
	// baseEjection doubles with each ejection up to maxEjection.
	baseEjection = 10 * time.Second
	maxEjection  = 5 * time.Minute
	// probeSuccesses readmit a probing upstream.
	probeSuccesses = 3
	// forgiveAfter without an ejection resets the doubling.
	forgiveAfter = 10 * time.Minute
	// latencySmoothing is the weight of a new latency sample.
	latencySmoothing = 0.1
)

// Action reports a changed standing.
type Action struct {
	Upstream string
	Status   Status
}

// Result is one finished send.
type Result struct {
	Upstream string
	Failure  *api.Failure
	// FirstChunk is the time to the first chunk, 0 if there was none.
	FirstChunk time.Duration
}

// State holds the marks of one router.
type State struct {
	upstreams map[string]*upstream
	pools     map[string][]*upstream
}

type upstream struct {
	name, pool  string
	status      Status
	failures    float64
	total       float64
	at          time.Duration
	consecutive int
	latency     float64
	until       time.Duration
	ejectedAt   time.Duration
	ejections   int
	probes      int
}

// New returns a state without upstreams.
func New() *State { return &State{upstreams: make(map[string]*upstream)} }

// Status returns the standing of an upstream; an unknown one is in.
func (s *State) Status(name string) Status {
	if u := s.upstreams[name]; u != nil {
		return u.status
	}
	return In
}

// Configure takes the pool of each upstream. If a pool shrinks below its
// ejected part, the longest ejected are readmitted.
func (s *State) Configure(pools map[string]string) []Action {
	kept := make(map[string]*upstream, len(pools))
	s.pools = make(map[string][]*upstream)
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		u := s.upstreams[name]
		if u == nil || u.pool != pools[name] {
			u = &upstream{name: name, pool: pools[name]}
		}
		kept[name] = u
		s.pools[u.pool] = append(s.pools[u.pool], u)
	}
	s.upstreams = kept
	var actions []Action
	for _, pool := range slices.Sorted(maps.Keys(s.pools)) {
		actions = s.shrink(pool, actions)
	}
	return actions
}

func (s *State) shrink(pool string, actions []Action) []Action {
	for s.outside(pool) > allowed(len(s.pools[pool])) {
		var first *upstream
		for _, u := range s.pools[pool] {
			if u.status != In && (first == nil || u.ejectedAt < first.ejectedAt) {
				first = u
			}
		}
		actions = append(actions, first.admit())
	}
	return actions
}

// allowed is the number of upstreams of a pool that may be ejected.
func allowed(size int) int {
	if size < 2 {
		return 0
	}
	return max(int(float64(size)*MaxPart), 1)
}

func (s *State) outside(pool string) int {
	n := 0
	for _, u := range s.pools[pool] {
		if u.status != In {
			n++
		}
	}
	return n
}

// blame says whether a result counts, and whether it is the upstream's fault.
// A refusal for overload is neither a success nor a fault.
func blame(f *api.Failure) (counts, failed bool) {
	if f == nil {
		return true, false
	}
	switch f.Code {
	case api.CodeUpstreamFailed, api.CodeUpstreamUnreached, api.CodeLinkLost, api.CodeStreamBroken, api.CodeInternal:
		return true, true
	case api.CodeDeadlineExceeded:
		return f.Run != api.NotRun, true
	}
	return false, false
}

// Observe takes the result of a send and returns changed standings.
func (s *State) Observe(now time.Duration, r Result) []Action {
	u := s.upstreams[r.Upstream]
	counts, failed := blame(r.Failure)
	if u == nil || !counts {
		return nil
	}
	u.record(now, failed, r.FirstChunk)
	if s.troubled(now, u.pool) {
		return s.admitAll(u.pool)
	}
	switch {
	case u.status == Probing && failed:
		return []Action{u.eject(now)}
	case u.status == Probing:
		u.probes++
		if u.probes >= probeSuccesses {
			return []Action{u.admit()}
		}
	case u.status == In && s.bad(u) && s.outside(u.pool) < allowed(len(s.pools[u.pool])):
		return []Action{u.eject(now)}
	}
	return nil
}

// Tick starts probes of upstreams whose ejection has run out.
func (s *State) Tick(now time.Duration) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(s.upstreams)) {
		u := s.upstreams[name]
		if u.status == Out && now >= u.until {
			u.status, u.probes, u.consecutive = Probing, 0, 0
			actions = append(actions, Action{Upstream: name, Status: Probing})
		}
		if u.status == In && u.ejections > 0 && now-u.until > forgiveAfter {
			u.ejections = 0
		}
	}
	return actions
}

func (u *upstream) record(now time.Duration, failed bool, firstChunk time.Duration) {
	decay := math.Exp2(-float64(now-u.at) / float64(halfLife))
	u.at = now
	u.total = u.total*decay + 1
	u.failures *= decay
	if failed {
		u.failures++
		u.consecutive++
		return
	}
	u.consecutive = 0
	if firstChunk <= 0 {
		return
	}
	if u.latency == 0 {
		u.latency = float64(firstChunk)
	}
	u.latency += (float64(firstChunk) - u.latency) * latencySmoothing
}

func (s *State) bad(u *upstream) bool {
	if u.consecutive >= consecutiveFailures {
		return true
	}
	if u.total < minSamples {
		return false
	}
	median := s.medianLatency(u)
	return u.failures/u.total >= failureRatio || (median > 0 && u.latency > latencyFactor*median)
}

// medianLatency is taken over the others of the pool, so that a pool of two
// can tell which one is slow.
func (s *State) medianLatency(of *upstream) float64 {
	var all []float64
	for _, u := range s.pools[of.pool] {
		if u != of && u.latency > 0 {
			all = append(all, u.latency)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// troubled says whether so many of a pool fail that the fault is not in one
// upstream. Ejected ones count, because their last results were failures.
func (s *State) troubled(now time.Duration, pool string) bool {
	n := 0
	for _, u := range s.pools[pool] {
		failing := u.total > 0 && u.failures/u.total >= troubledRatio && now-u.at < halfLife
		if u.status == Out || failing {
			n++
		}
	}
	return float64(n) > troubledPart*float64(len(s.pools[pool]))
}

func (s *State) admitAll(pool string) []Action {
	var actions []Action
	for _, u := range s.pools[pool] {
		if u.status != In {
			actions = append(actions, u.admit())
		}
	}
	return actions
}

func (u *upstream) admit() Action {
	u.status, u.consecutive = In, 0
	u.failures, u.total, u.latency = 0, 0, 0
	return Action{Upstream: u.name, Status: In}
}

func (u *upstream) eject(now time.Duration) Action {
	u.status, u.ejectedAt = Out, now
	u.until = now + min(baseEjection<<min(u.ejections, 5), maxEjection)
	u.ejections++
	return Action{Upstream: u.name, Status: Out}
}

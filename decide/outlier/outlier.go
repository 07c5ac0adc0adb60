// Package outlier ejects upstreams that fail, or that are slow compared with
// their pool, and readmits them after successful probes. It ejects at most
// MaxEjectedFraction of a pool, and none while the pool as a whole fails.
package outlier

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Status is the health status of an upstream.
type Status uint8

// Health statuses. A probing upstream gets one request at a time.
const (
	Healthy Status = iota
	Probing
	Ejected
)

var statusNames = [...]string{Healthy: "in", Probing: "probing", Ejected: "ejected"}

func (s Status) String() string { return statusNames[s] }

const (
	// MaxEjectedFraction is the largest fraction of a pool's upstreams that may be
	// ejected or probing. In a pool of two or three upstreams, one may be.
	MaxEjectedFraction = 1.0 / 3
	// maxConsecutiveFailures is the number of failures in a row that eject an
	// upstream at once.
	maxConsecutiveFailures = 5
	// failureRatio is the ratio of failures that ejects an upstream with at least
	// minSamples results.
	failureRatio = 0.5
	minSamples   = 10
	// latencyFactor is the multiple of the median latency of the other upstreams in
	// the pool above which an upstream is ejected.
	latencyFactor = 4
	// A pool fails as a whole, for example by overload, if more than
	// poolFailureFraction of its upstreams have a failure ratio of at least
	// poolFailureRatio.
	poolFailureRatio    = 0.3
	poolFailureFraction = 0.5
	// halfLife is the half-life of the weight of a result.
	halfLife = 10 * time.Second
	// baseEjection is the first ejection time. It doubles with each further
	// ejection, up to maxEjection.
	baseEjection = 10 * time.Second
	maxEjection  = 5 * time.Minute
	// requiredProbeSuccesses is the number of successes that readmit a probing
	// upstream.
	requiredProbeSuccesses = 3
	// ejectionResetTime is how long after the end of its last ejection an upstream
	// must stay healthy for its next ejection time to be baseEjection again.
	ejectionResetTime = 10 * time.Minute
	// latencySmoothing is the weight of a new latency sample.
	latencySmoothing = 0.1
)

// StatusChange is a change of an upstream's status.
type StatusChange struct {
	Upstream string
	Status   Status
}

// Result is the result of one attempt.
type Result struct {
	Upstream string
	Failure  *api.Failure
	// FirstChunk is the time to the first chunk, 0 if there was none.
	FirstChunk time.Duration
}

// State holds the health of all upstreams, as one router observes it.
type State struct {
	upstreams map[string]*upstream
	pools     map[string][]*upstream
}

type upstream struct {
	name, pool string
	status     Status
	// failures and results are counts that decay with halfLife.
	failures            float64
	results             float64
	lastResultAt        time.Duration
	consecutiveFailures int
	// latency is the smoothed time to first chunk in nanoseconds, 0 if unknown.
	latency      float64
	ejectedUntil time.Duration
	ejectedAt    time.Duration
	// ejections counts the ejections since the ejection time was last reset.
	ejections      int
	probeSuccesses int
}

// New returns a state without upstreams.
func New() *State { return &State{upstreams: make(map[string]*upstream)} }

// Status returns the status of an upstream. An unknown one counts as healthy.
func (s *State) Status(name string) Status {
	if u := s.upstreams[name]; u != nil {
		return u.status
	}
	return Healthy
}

// Configure sets the pool of each upstream and returns the changed statuses. If a
// pool shrinks so that too many of its upstreams are ejected, those ejected first
// are readmitted.
func (s *State) Configure(pools map[string]string) []StatusChange {
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
	var changes []StatusChange
	for _, pool := range slices.Sorted(maps.Keys(s.pools)) {
		changes = s.readmitExcess(pool, changes)
	}
	return changes
}

func (s *State) readmitExcess(pool string, changes []StatusChange) []StatusChange {
	for s.unhealthyCount(pool) > maxUnhealthy(len(s.pools[pool])) {
		var oldest *upstream
		for _, u := range s.pools[pool] {
			if u.status != Healthy && (oldest == nil || u.ejectedAt < oldest.ejectedAt) {
				oldest = u
			}
		}
		changes = append(changes, oldest.readmit())
	}
	return changes
}

// maxUnhealthy returns how many upstreams of a pool may be ejected or probing.
func maxUnhealthy(size int) int {
	if size < 2 {
		return 0
	}
	return max(int(float64(size)*MaxEjectedFraction), 1)
}

// unhealthyCount returns how many upstreams of a pool are ejected or probing.
func (s *State) unhealthyCount(pool string) int {
	n := 0
	for _, u := range s.pools[pool] {
		if u.status != Healthy {
			n++
		}
	}
	return n
}

// classify reports whether a result counts, and whether it counts as a failure of
// the upstream. A refusal for overload, a deadline exceeded before the request ran,
// and other failures that the upstream did not cause do not count.
func classify(f *api.Failure) (counts, failed bool) {
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

// Observe records the result of an attempt, if it counts, and returns the changed
// statuses. If the pool as a whole fails, all its upstreams are readmitted.
func (s *State) Observe(now time.Duration, r Result) []StatusChange {
	u := s.upstreams[r.Upstream]
	counts, failed := classify(r.Failure)
	if u == nil || !counts {
		return nil
	}
	u.record(now, failed, r.FirstChunk)
	if s.poolFailing(now, u.pool) {
		return s.readmitAll(u.pool)
	}
	switch {
	case u.status == Probing && failed:
		return []StatusChange{u.eject(now)}
	case u.status == Probing:
		u.probeSuccesses++
		if u.probeSuccesses >= requiredProbeSuccesses {
			return []StatusChange{u.readmit()}
		}
	case u.status == Healthy && s.isOutlier(u) && s.unhealthyCount(u.pool) < maxUnhealthy(len(s.pools[u.pool])):
		return []StatusChange{u.eject(now)}
	}
	return nil
}

// Tick changes the status of upstreams whose ejection time has elapsed to Probing and
// returns the changed statuses.
func (s *State) Tick(now time.Duration) []StatusChange {
	var changes []StatusChange
	for _, name := range slices.Sorted(maps.Keys(s.upstreams)) {
		u := s.upstreams[name]
		if u.status == Ejected && now >= u.ejectedUntil {
			u.status, u.probeSuccesses, u.consecutiveFailures = Probing, 0, 0
			changes = append(changes, StatusChange{Upstream: name, Status: Probing})
		}
		if u.status == Healthy && u.ejections > 0 && now-u.ejectedUntil > ejectionResetTime {
			u.ejections = 0
		}
	}
	return changes
}

func (u *upstream) record(now time.Duration, failed bool, firstChunk time.Duration) {
	decay := math.Exp2(-float64(now-u.lastResultAt) / float64(halfLife))
	u.lastResultAt = now
	u.results = u.results*decay + 1
	u.failures *= decay
	if failed {
		u.failures++
		u.consecutiveFailures++
		return
	}
	u.consecutiveFailures = 0
	if firstChunk <= 0 {
		return
	}
	if u.latency == 0 {
		u.latency = float64(firstChunk)
	}
	u.latency += (float64(firstChunk) - u.latency) * latencySmoothing
}

func (s *State) isOutlier(u *upstream) bool {
	if u.consecutiveFailures >= maxConsecutiveFailures {
		return true
	}
	if u.results < minSamples {
		return false
	}
	median := s.medianLatency(u)
	return u.failures/u.results >= failureRatio || (median > 0 && u.latency > latencyFactor*median)
}

// medianLatency returns the median latency of the other upstreams in the pool, 0 if
// unknown. It leaves out the upstream itself, so that a slow one can be detected in
// a pool of two.
func (s *State) medianLatency(except *upstream) float64 {
	var latencies []float64
	for _, u := range s.pools[except.pool] {
		if u != except && u.latency > 0 {
			latencies = append(latencies, u.latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}

// poolFailing reports whether so many upstreams of a pool fail that the cause cannot
// be a single upstream. Ejected upstreams count as failing, because their last
// results were failures or slow.
func (s *State) poolFailing(now time.Duration, pool string) bool {
	n := 0
	for _, u := range s.pools[pool] {
		failing := u.results > 0 && u.failures/u.results >= poolFailureRatio && now-u.lastResultAt < halfLife
		if u.status == Ejected || failing {
			n++
		}
	}
	return float64(n) > poolFailureFraction*float64(len(s.pools[pool]))
}

func (s *State) readmitAll(pool string) []StatusChange {
	var changes []StatusChange
	for _, u := range s.pools[pool] {
		if u.status != Healthy {
			changes = append(changes, u.readmit())
		}
	}
	return changes
}

func (u *upstream) readmit() StatusChange {
	u.status, u.consecutiveFailures = Healthy, 0
	u.failures, u.results, u.latency = 0, 0, 0
	return StatusChange{Upstream: u.name, Status: Healthy}
}

func (u *upstream) eject(now time.Duration) StatusChange {
	u.status, u.ejectedAt = Ejected, now
	u.ejectedUntil = now + min(baseEjection<<min(u.ejections, 5), maxEjection)
	u.ejections++
	return StatusChange{Upstream: u.name, Status: Ejected}
}

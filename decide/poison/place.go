package poison

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

const (
	// otherUpstreamDelay is the time after the last crash during which a suspect runs
	// only at upstreams that it may have crashed. After it, the suspect may run at
	// another upstream.
	otherUpstreamDelay = 30 * time.Second
	// maxCrashedUpstreams limits the number of upstreams that one request can crash.
	// A request that may have crashed this many runs only at those.
	maxCrashedUpstreams = 2
	// suspectRetryAfter is the Retry-After time of a suspect that cannot run now.
	suspectRetryAfter = 5 * time.Second
)

// Candidate is an upstream that may run the request.
type Candidate struct {
	Name string
	// Usable is true if the upstream accepts requests now.
	Usable bool
}

// Placement is the result of Place. For a clean request, which is routed as usual,
// Upstream and Failure are not set.
type Placement struct {
	Status Status
	// Isolate is true for a suspect, which must run alone at Upstream.
	Isolate  bool
	Upstream string
	// Failure is set if the request cannot run now.
	Failure *api.Failure
}

// Place decides where a request may run. Upstreams that it may have crashed
// come first, because a further crash there costs the least work. All processes
// with the same records choose the same upstream, where the runs are queued.
func (s *State) Place(now time.Duration, fp uint64, candidates []Candidate) Placement {
	status, left := s.evaluate(now, fp)
	switch status {
	case Clean:
		return Placement{}
	case Blocked:
		return Placement{Status: status, Failure: suspectFailure("the request crashed upstreams in isolation", left)}
	}
	crashed, last := s.crashedUpstreams(now, fp)
	if name, ok := choose(fp, candidates, func(c Candidate) bool { return slices.Contains(crashed, c.Name) }); ok {
		return Placement{Status: status, Isolate: true, Upstream: name}
	}
	mayTryAnother := now-last >= otherUpstreamDelay || !anyCandidate(candidates, crashed)
	if mayTryAnother && len(crashed) < maxCrashedUpstreams {
		if name, ok := choose(fp, candidates, func(Candidate) bool { return true }); ok {
			return Placement{Status: status, Isolate: true, Upstream: name}
		}
	}
	return Placement{Status: status, Failure: suspectFailure("no upstream can run the request in isolation now", suspectRetryAfter)}
}

func suspectFailure(detail string, retryAfter time.Duration) *api.Failure {
	f := api.NewFailure(api.CodeSuspect, api.NotRun, detail)
	f.RetryAfter = retryAfter
	return f
}

// crashedUpstreams returns the upstreams that a request may have crashed, and
// the time of the last crash. The request must have a record.
func (s *State) crashedUpstreams(now time.Duration, fp uint64) (names []string, last time.Duration) {
	for _, c := range s.records[fp].crashes {
		if c.active(now) {
			names = append(names, c.upstream)
			last = max(last, c.at)
		}
	}
	slices.Sort(names)
	return slices.Compact(names), last
}

// anyCandidate reports whether any of the upstreams is a candidate.
func anyCandidate(candidates []Candidate, upstreams []string) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool { return slices.Contains(upstreams, c.Name) })
}

// choose returns the usable, qualified candidate that rendezvous hashing ranks
// first.
func choose(fp uint64, candidates []Candidate, qualifies func(Candidate) bool) (string, bool) {
	var names []string
	for _, c := range candidates {
		if c.Usable && qualifies(c) {
			names = append(names, c.Name)
		}
	}
	best := rendezvous.Key(fp).Top(1, names)
	if len(best) == 0 {
		return "", false
	}
	return best[0], true
}

// CrashFailureDelay is how long a router delays the failure of a request that was in
// flight during a crash, so that the routers have received the crash report when the
// caller resends the request.
const CrashFailureDelay = 500 * time.Millisecond

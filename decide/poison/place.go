package poison

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

const (
	// siteWait is how long a suspect waits for an upstream that it may have
	// crashed before it may be tried at one more.
	siteWait = 30 * time.Second
	// maxSites bounds the upstreams at which one request may have crashed
	// before no further one is tried.
	maxSites = 2
	// suspectRetryAfter is the advice while no place is usable.
	suspectRetryAfter = 5 * time.Second
)

// Candidate is an upstream that may run the request.
type Candidate struct {
	Name string
	// Usable is true if it can take work now.
	Usable bool
}

// Placement says where a request may run.
type Placement struct {
	Status Status
	// Isolate is true for a suspect, which must run alone at Upstream.
	Isolate  bool
	Upstream string
	// Failure refuses the request for now.
	Failure *api.Failure
}

// Place decides where a request may run. Upstreams that it may have crashed
// come first, because they have the least work to lose; all processes with
// the same knowledge choose the same one, where runs queue one behind the
// other.
func (s *State) Place(now time.Duration, fp uint64, candidates []Candidate) Placement {
	status, left := s.standing(now, fp)
	switch status {
	case Clean:
		return Placement{}
	case Condemned:
		return Placement{Status: status, Failure: refusal("the request crashed upstreams in isolation", left)}
	}
	sites, last := s.sites(now, fp)
	if name, ok := choose(fp, candidates, func(c Candidate) bool { return slices.Contains(sites, c.Name) }); ok {
		return Placement{Status: status, Isolate: true, Upstream: name}
	}
	waited := now-last >= siteWait || !listed(candidates, sites)
	if waited && len(sites) < maxSites {
		if name, ok := choose(fp, candidates, func(Candidate) bool { return true }); ok {
			return Placement{Status: status, Isolate: true, Upstream: name}
		}
	}
	return Placement{Status: status, Failure: refusal("the request waits for a run in isolation", suspectRetryAfter)}
}

func refusal(detail string, after time.Duration) *api.Failure {
	f := api.Fail(api.CodeSuspect, api.NotRun, detail)
	f.RetryAfter = after
	return f
}

// sites returns the upstreams of the crashes that count, and the time of the
// last one.
func (s *State) sites(now time.Duration, fp uint64) (names []string, last time.Duration) {
	for _, c := range s.records[fp].crashes {
		if c.counts(now) {
			names = append(names, c.upstream)
			last = max(last, c.at)
		}
	}
	slices.Sort(names)
	return slices.Compact(names), last
}

func listed(candidates []Candidate, sites []string) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool { return slices.Contains(sites, c.Name) })
}

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

// HoldAnswer is how long a router holds back the failure of a request that
// was running during a crash. A caller that resends on the answer then
// reaches routers that know of the crash.
const HoldAnswer = 500 * time.Millisecond

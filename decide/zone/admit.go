package zone

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/hash"
)

// Admit returns nil if it admits a request, otherwise an overload failure that marks
// the request as not run. It refuses a request only while a zone is out of service,
// leaving or returning, and only if the upstreams that the member may use are full
// and the member has used its share of the requests that this router may have in
// flight. At other times the agents' limits and queues bound the work. A retry and a
// request that is pinned to an upstream are always admitted.
func (s *State) Admit(q api.RouteQuery) *api.Failure {
	if s.unsteadyUpstreams == 0 || q.OnlyUpstream != "" || len(q.Exclude) > 0 {
		return nil
	}
	utilization, inFlight := s.utilization(&q)
	if utilization <= 1+QueueFraction {
		return nil
	}
	allowed := inFlight * (1 + QueueFraction) / utilization * s.activeShare(q.Member)
	if float64(s.memberInFlight[q.Member])+1 <= max(allowed, 1) {
		return nil
	}
	s.counters.Refused++
	f := api.NewFailure(api.CodeOverloaded, api.NotRun, "the remaining availability zones are at capacity")
	f.RetryAfter = minRetryAfter + time.Duration(hash.String(s.counters.Refused, q.Member)%uint64(minRetryAfter))
	return f
}

// utilization returns the work on the upstreams that can serve the request as a
// fraction of their limits, counted in requests or in tokens, whichever is higher.
// It also returns how many requests of this router are in flight on them. Both are 0
// without load reports.
func (s *State) utilization(q *api.RouteQuery) (utilization, inFlight float64) {
	var work, limit, tokens, limitTokens float64
	for _, u := range s.sortedUpstreams {
		if u.phase == out || !u.reported || !u.load.Accepting || !s.canServe(u, q) {
			continue
		}
		work += float64(u.load.Running) + float64(u.load.Queued) + float64(u.sentSinceReport)
		limit += u.limit()
		tokens += float64(u.load.Tokens)
		limitTokens += float64(u.load.LimitTokens)
		inFlight += float64(u.inFlight)
	}
	if limit > 0 {
		utilization = work / limit
	}
	if limitTokens > 0 {
		utilization = max(utilization, tokens/limitTokens)
	}
	return utilization, inFlight
}

// canServe reports whether an upstream serves the model or service of a request and
// the member may use it.
func (s *State) canServe(u *upstream, q *api.RouteQuery) bool {
	c := &u.config
	switch {
	case q.Service != "":
		if c.Kind != api.UpstreamPlain || c.Service != q.Service {
			return false
		}
	case c.Kind == api.UpstreamPlain || !(slices.Contains(c.Models, q.Model) || slices.Contains(c.Adapters, q.Model)):
		return false
	}
	m := s.snapshot.Config.Members[q.Member]
	return (len(m.Zones) == 0 || slices.Contains(m.Zones, c.Zone)) &&
		(len(m.Upstreams) == 0 || slices.Contains(m.Upstreams, u.name))
}

// activeShare returns a member's share as a fraction of the total share of the
// members with work in flight and itself.
func (s *State) activeShare(member string) float64 {
	share := s.snapshot.Config.Members[member].Share
	var total float64
	for name, m := range s.snapshot.Config.Members {
		if s.memberInFlight[name] > 0 || name == member {
			total += m.Share
		}
	}
	if total <= 0 {
		return 1
	}
	return share / total
}

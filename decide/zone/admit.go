package zone

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/hash"
)

// Admit refuses a request, as not run, if a zone moves and the upstreams that
// the member may use are full, unless the member is below its share of what
// this router may have outstanding. Outside moves it admits everything; the
// limits and queues of the agents bound the work then.
func (s *State) Admit(q api.RouteQuery) *api.Failure {
	if s.movingUpstreams == 0 || q.Only != "" || len(q.Exclude) > 0 {
		return nil
	}
	use, own := s.utilization(&q)
	if use <= 1+QueueFraction {
		return nil
	}
	allowed := own * (1 + QueueFraction) / use * s.activeShare(q.Member)
	if float64(s.memberInFlight[q.Member])+1 <= max(allowed, 1) {
		return nil
	}
	s.counters.Refused++
	f := api.Fail(api.CodeOverloaded, api.NotRun, "the remaining availability zones are at their bound")
	f.RetryAfter = minRetryAfter + time.Duration(hash.String(s.counters.Refused, q.Member)%uint64(minRetryAfter))
	return f
}

// utilization compares the outstanding work with the bounds of the upstreams that may
// take the request, in requests or in tokens, whichever is nearer to its
// bound. It is 0 where no report says anything.
func (s *State) utilization(q *api.RouteQuery) (use, own float64) {
	var work, limit, tokens, limitTokens float64
	for _, u := range s.sortedUpstreams {
		if u.phase == out || !u.reported || !u.load.Accepting || !s.canServe(u, q) {
			continue
		}
		work += float64(u.load.Running) + float64(u.load.Queued) + float64(u.sentSinceReport)
		limit += u.limit()
		tokens += float64(u.load.Tokens)
		limitTokens += float64(u.load.LimitTokens)
		own += float64(u.inFlight)
	}
	if limit > 0 {
		use = work / limit
	}
	if limitTokens > 0 {
		use = max(use, tokens/limitTokens)
	}
	return use, own
}

func (s *State) canServe(u *upstream, q *api.RouteQuery) bool {
	c := &u.config
	switch {
	case q.Service != "":
		if c.Kind != api.KindPlain || c.Service != q.Service {
			return false
		}
	case c.Kind == api.KindPlain || !(slices.Contains(c.Models, q.Model) || slices.Contains(c.Adapters, q.Model)):
		return false
	}
	m := s.snapshot.Config.Members[q.Member]
	return (len(m.Zones) == 0 || slices.Contains(m.Zones, c.Zone)) &&
		(len(m.Upstreams) == 0 || slices.Contains(m.Upstreams, u.name))
}

// activeShare is a member's share among those with work in flight and itself.
func (s *State) activeShare(member string) float64 {
	mine := s.snapshot.Config.Members[member].Share
	var all float64
	for name, m := range s.snapshot.Config.Members {
		if s.memberInFlight[name] > 0 || name == member {
			all += m.Share
		}
	}
	if all <= 0 {
		return 1
	}
	return mine / all
}

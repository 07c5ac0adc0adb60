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
	if s.moving == 0 || q.Only != "" || len(q.Exclude) > 0 {
		return nil
	}
	use, own := s.use(&q)
	if use <= 1+QueuePart {
		return nil
	}
	allowed := own * (1 + QueuePart) / use * s.sharePart(q.Member)
	if float64(s.members[q.Member])+1 <= max(allowed, 1) {
		return nil
	}
	s.counters.Refused++
	f := api.Fail(api.CodeOverloaded, api.NotRun, "the remaining availability zones are at their bound")
	f.RetryAfter = retryAfter + time.Duration(hash.String(s.counters.Refused, q.Member)%uint64(retryAfter))
	return f
}

// use compares the outstanding work with the bounds of the upstreams that may
// take the request, in requests or in tokens, whichever is nearer to its
// bound. It is 0 where no report says anything.
func (s *State) use(q *api.RouteQuery) (use, own float64) {
	var work, limit, tokens, limitTokens float64
	for _, u := range s.ordered {
		if u.phase == out || !u.reported || !u.load.Accepting || !s.serves(u, q) {
			continue
		}
		work += float64(u.load.Running) + float64(u.load.Queued) + float64(u.since)
		limit += u.limit()
		tokens += float64(u.load.Tokens)
		limitTokens += float64(u.load.LimitTokens)
		own += float64(u.own)
	}
	if limit > 0 {
		use = work / limit
	}
	if limitTokens > 0 {
		use = max(use, tokens/limitTokens)
	}
	return use, own
}

func (s *State) serves(u *upstream, q *api.RouteQuery) bool {
	c := &u.conf
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

// sharePart is a member's share among those with work in flight and itself.
func (s *State) sharePart(member string) float64 {
	mine := s.snapshot.Config.Members[member].Share
	var all float64
	for name, m := range s.snapshot.Config.Members {
		if s.members[name] > 0 || name == member {
			all += m.Share
		}
	}
	if all <= 0 {
		return 1
	}
	return mine / all
}

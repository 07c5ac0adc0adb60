package route

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Health is the outlier status of an upstream.
type Health uint8

const (
	// Healthy upstreams take requests.
	Healthy Health = iota
	// Probing upstreams take one request at a time.
	Probing
	// Ejected upstreams take requests only if no other upstream can.
	Ejected
)

// eligibility is why an upstream can or cannot take a request. Higher values
// are closer to usable; the highest one found explains a refusal.
type eligibility uint8

const (
	notServing eligibility = iota
	notAllowed
	zoneOut
	leaving
	linkDown
	alreadyTried
	notAccepting
	coldFull
	// queueing and the values after it can take requests, but only upstreams with the
	// highest eligibility found do. queueing upstreams run as many requests as they may in
	// cold start; further ones wait at the agent. avoided upstreams are ejected, or probing
	// with a request in flight.
	queueing
	heldByGate
	avoided
	usable
)

// retryAfterRefusal is the Retry-After of refusals that may be temporary.
const retryAfterRefusal = time.Second

// refusals maps the highest eligibility found to the failure.
var refusals = map[eligibility]api.Failure{
	notServing:   {Code: api.CodeNoUpstream, Detail: "no upstream serves this model or service"},
	notAllowed:   {Code: api.CodeForbidden, Detail: "the member may not use the upstreams of this model or service"},
	zoneOut:      {Code: api.CodeZoneOut, Detail: "the availability zone is out of service", RetryAfter: retryAfterRefusal},
	leaving:      {Code: api.CodeLeaving, Detail: "the upstream is leaving", RetryAfter: retryAfterRefusal},
	linkDown:     {Code: api.CodeUpstreamUnreached, Detail: "no link to an upstream of this model or service", RetryAfter: retryAfterRefusal},
	alreadyTried: {Code: api.CodeNoUpstream, Detail: "all usable upstreams were tried", RetryAfter: retryAfterRefusal},
	notAccepting: {Code: api.CodeOverloaded, Detail: "no upstream accepts work", RetryAfter: retryAfterRefusal},
	coldFull:     {Code: api.CodeColdUpstream, Detail: "upstreams in cold start are at their limit", RetryAfter: retryAfterRefusal},
}

func refuse(v eligibility) *api.Failure {
	f := refusals[v]
	f.Run = api.NotRun
	return &f
}

// checkEligibility returns the eligibility of an upstream for a request.
func (s *State) checkEligibility(now time.Duration, u *upstream, q *api.RouteQuery) eligibility {
	switch {
	case !serves(&u.conf, q) || (q.OnlyUpstream != "" && q.OnlyUpstream != u.name):
		return notServing
	case !s.memberAllows(u, q.Member):
		return notAllowed
	case q.AllowLeaving && u.up:
		// The agent replies from its ledger and starts no work.
		return usable
	case u.zoneOut:
		return zoneOut
	case u.conf.Leaving || u.vmLeaving:
		return leaving
	case !u.up:
		return linkDown
	case slices.Contains(q.Exclude, u.name):
		return alreadyTried
	case u.reported && !u.load.Accepting:
		return notAccepting
	}
	if bound, cold := u.coldBound(); cold && u.work().requests >= bound {
		return s.fullEligibility(now, u, q)
	}
	if q.OnlyUpstream == "" && !s.gateAllows(now, u, q) {
		return heldByGate
	}
	if u.health == Ejected || (u.health == Probing && u.sends.inFlight.requests > 0) {
		return avoided
	}
	return usable
}

// fullEligibility returns the eligibility of an upstream that runs as many requests as it
// may in cold start. The agent's queue holds the requests of all routers, so it decides
// better than a router which one goes first and which one is refused. An agent that has not
// reported yet may still lack its configuration.
func (s *State) fullEligibility(now time.Duration, u *upstream, q *api.RouteQuery) eligibility {
	if !q.MayWait || !u.reported {
		return coldFull
	}
	if q.OnlyUpstream == "" && (u.health != Healthy || !s.gateAllows(now, u, q)) {
		return coldFull
	}
	return queueing
}

func serves(c *api.Upstream, q *api.RouteQuery) bool {
	if q.Service != "" {
		return c.Kind == api.UpstreamPlain && c.Service == q.Service
	}
	if c.Kind == api.UpstreamPlain {
		return false
	}
	return slices.Contains(c.Models, q.Model) || slices.Contains(c.Adapters, q.Model)
}

func (s *State) memberAllows(u *upstream, name string) bool {
	m, ok := s.snapshot.Config.Members[name]
	if !ok {
		return false
	}
	zone := len(m.Zones) == 0 || slices.Contains(m.Zones, u.conf.Zone)
	return zone && (len(m.Upstreams) == 0 || slices.Contains(m.Upstreams, u.name))
}

// coldBound returns the limit of concurrent requests in cold start. An
// upstream counts as cold until a load report states otherwise.
func (u *upstream) coldBound() (bound uint64, cold bool) {
	if u.reported {
		return uint64(u.load.LimitRequests), u.load.Cold
	}
	if u.conf.ColdRequests > 0 {
		return uint64(u.conf.ColdRequests), true
	}
	return DefaultColdRequests, true
}

// work estimates the outstanding requests and tokens of an upstream.
func (u *upstream) work() work {
	return u.sends.estimate(work{
		requests: uint64(u.load.Running) + uint64(u.load.Queued),
		tokens:   u.load.Tokens,
	})
}

func (u *upstream) limitTokens() float64 {
	switch {
	case u.reported && u.load.LimitTokens > 0:
		return float64(u.load.LimitTokens)
	case u.conf.MaxTokens > 0:
		return float64(u.conf.MaxTokens)
	}
	return DefaultLimitTokens
}

func (s *State) gateAllows(now time.Duration, u *upstream, q *api.RouteQuery) bool {
	return s.options.Gate == nil || s.options.Gate.Allows(now, u.name, s.cacheEstimate(u, q))
}

// cacheEstimate compares a prompt with the expected cache content of an
// upstream.
func (s *State) cacheEstimate(u *upstream, q *api.RouteQuery) CacheEstimate {
	blocks := 0
	if u.match.serial == s.serial {
		blocks = u.match.blocks
	}
	size := float64(s.options.BlockTokens)
	return CacheEstimate{
		Cached:          float64(blocks) * size,
		UncachedTokens:  float64(len(q.PrefixHashes)-blocks) * size,
		CachedElsewhere: float64(max(s.bestMatch-blocks, 0)) * size,
	}
}

// longestMatch returns the longest match on a reachable upstream, in blocks.
func (s *State) longestMatch() int {
	longest := 0
	for _, u := range s.ordered {
		if u.match.serial == s.serial && u.up && !u.zoneOut && !u.conf.Leaving {
			longest = max(longest, u.match.blocks)
		}
	}
	return longest
}

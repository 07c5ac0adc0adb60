// Package balance selects the upstream of a request among the instances that
// the platform lists, by their expected load.
//
// The process knows its own requests in flight exactly. It estimates the load
// from other processes from the load reports in upstream responses: the
// reported load minus its own requests, decayed with age.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/outlier"
)

const (
	// reportHalfLife is the half-life of a reported load. A model request runs
	// for about that long.
	reportHalfLife = time.Second
	// crossZonePenalty is added to the load of an upstream in another zone, in
	// requests. It is small enough to decide only between equally loaded
	// upstreams.
	crossZonePenalty = 0.3
	// probingPenalty is added to the load of an upstream that outlier detection
	// is probing, in requests, so that it gets only what the others can't take.
	probingPenalty = 4
	// initialBackoff is how long an unreachable upstream is avoided. It doubles
	// with each further failure up to maxBackoff. A paused or partitioned VM
	// recovers within seconds.
	initialBackoff = time.Second
	maxBackoff     = 4 * time.Second
	// noUpstreamRetryAfter is the Retry-After when no upstream is listed: a
	// replacement registers within a heartbeat (1.2 s).
	noUpstreamRetryAfter = time.Second
	// busyRetryAfter is the Retry-After when all upstreams are full or cold: a
	// model request takes about this long.
	busyRetryAfter = 700 * time.Millisecond
	// maxLoadFactor limits the load to a multiple of an upstream's slots. Above
	// it a request would queue for longer than its objective allows.
	maxLoadFactor = 2
)

// Options configures a State.
type Options struct {
	// Zone is the availability zone of this process.
	Zone string
	Seed uint64
	// ColdOvershoot and ColdTolerance limit the requests per second that all
	// processes together send to a cold upstream: ColdOvershoot times its cold
	// rate, plus ColdTolerance.
	ColdOvershoot, ColdTolerance float64
}

// State holds the known upstreams and their estimated load. It is owned by the
// control loop.
type State struct {
	options   Options
	random    *rand.Rand
	view      *api.View
	fleet     *api.FleetView
	upstreams map[string]*upstream
	services  map[string][]*upstream
}

type upstream struct {
	instance api.Instance
	health   outlier.Status
	inFlight int
	// backoffUntil is when the backoff of an unreachable upstream ends.
	// unreachableCount counts the failures to reach it since its last success.
	backoffUntil     time.Duration
	unreachableCount int
	// othersLoad is the load from other processes at othersLoadAt, in requests.
	othersLoad   float64
	othersLoadAt time.Duration
	// coldAttempts holds the times of the attempts within the cold window. coldQuota
	// limits their number while the upstream is cold.
	coldAttempts []time.Duration
	coldQuota    int
}

// New returns a state without upstreams.
func New(o Options) *State {
	return &State{
		options:   o,
		random:    rand.New(rand.NewPCG(o.Seed, 1)),
		view:      &api.View{},
		fleet:     &api.FleetView{},
		upstreams: make(map[string]*upstream),
	}
}

// Configure applies a view. The state of a restarted upstream is reset.
func (s *State) Configure(v *api.View) {
	s.view = v
	kept := make(map[string]*upstream, len(v.Instances))
	s.services = make(map[string][]*upstream)
	for id, in := range v.Instances {
		u := s.upstreams[id]
		if u == nil || u.instance.StartedAtMs != in.StartedAtMs {
			u = &upstream{}
		}
		u.instance = in
		kept[id] = u
		s.services[in.Service] = append(s.services[in.Service], u)
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b *upstream) int {
			if a.instance.ID < b.instance.ID {
				return -1
			}
			return 1
		})
	}
	s.upstreams = kept
	s.updateColdQuotas()
}

// SetFleet sets the processes that share the rates of cold upstreams.
func (s *State) SetFleet(v *api.FleetView) {
	s.fleet = v
	s.updateColdQuotas()
}

// SetHealth sets the outlier status of an upstream.
func (s *State) SetHealth(id string, h outlier.Status) {
	if u := s.upstreams[id]; u != nil {
		u.health = h
	}
}

// ObserveLoad records a load reported by an upstream.
func (s *State) ObserveLoad(now time.Duration, l api.UpstreamLoad) {
	if u := s.upstreams[l.Upstream]; u != nil {
		u.othersLoad = math.Max(float64(l.Running+l.Waiting-u.inFlight), 0)
		u.othersLoadAt = now
	}
}

// Done records the end of an attempt. f is nil if it succeeded. Success ends the
// backoff of the upstream; only an unreachable upstream begins or extends one.
func (s *State) Done(now time.Duration, id string, f *api.Failure) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.inFlight = max(u.inFlight-1, 0)
	switch {
	case f == nil:
		u.unreachableCount, u.backoffUntil = 0, 0
	case f.Code == api.CodeUpstreamUnreached:
		u.backoffUntil = now + min(initialBackoff<<min(u.unreachableCount, 8), maxBackoff)
		u.unreachableCount++
	}
}

// Choice is the selected upstream and the inputs of the selection.
type Choice struct {
	Upstream string
	// Load is the expected number of requests on the upstream before this one.
	Load float64
	// Candidates is the number of upstreams that could take the request.
	Candidates int
}

// Choose selects the upstream with the lowest expected load and counts the
// attempt. Ejected and unreachable upstreams are used only if no other qualifies.
// Choose returns a failure if every upstream of the service is excluded, not
// eligible or out of cold quota, or if the selected one is full.
func (s *State) Choose(now time.Duration, service string, exclude []string) (Choice, *api.Failure) {
	var best *upstream
	lowest, candidates, eligible, cold := math.Inf(1), 0, 0, 0
	for _, pass := range []outlier.Status{outlier.Probing, outlier.Ejected} {
		for _, u := range s.services[service] {
			if !s.eligible(u) {
				continue
			}
			eligible++
			if slices.Contains(exclude, u.instance.ID) || u.effectiveHealth(now) > pass {
				continue
			}
			if !s.withinColdQuota(now, u) {
				cold++
				continue
			}
			candidates++
			if score := s.score(now, u); score < lowest {
				best, lowest = u, score
			}
		}
		if best != nil {
			break
		}
	}
	if best == nil {
		return Choice{}, refusal(eligible, cold)
	}
	load := s.load(now, best)
	if slots := float64(best.instance.Slots); slots > 0 && load >= maxLoadFactor*slots {
		f := api.NewFailure(api.CodeOverloaded, api.NotRun, "all upstreams of the service are full")
		f.RetryAfter = busyRetryAfter
		return Choice{}, f
	}
	best.inFlight++
	s.recordColdAttempt(now, best)
	return Choice{Upstream: best.instance.ID, Load: load, Candidates: candidates}, nil
}

// effectiveHealth returns the health of an upstream. An upstream in backoff
// counts as ejected, so that it is used only as a last resort.
func (u *upstream) effectiveHealth(now time.Duration) outlier.Status {
	if now < u.backoffUntil {
		return outlier.Ejected
	}
	return u.health
}

// eligible reports whether an upstream is not leaving and its zone is in service.
func (s *State) eligible(u *upstream) bool {
	return !u.instance.Leaving && !s.view.ZonesOut[u.instance.Zone]
}

// load returns the expected number of requests on an upstream: this process's own
// requests in flight and the decayed load from others.
func (s *State) load(now time.Duration, u *upstream) float64 {
	age := (now - u.othersLoadAt).Seconds() / reportHalfLife.Seconds()
	return float64(u.inFlight) + u.othersLoad*math.Exp2(-age)
}

// score ranks upstreams; lower is better. The random part keeps processes from
// choosing the same one of several equally loaded upstreams.
func (s *State) score(now time.Duration, u *upstream) float64 {
	score := s.load(now, u) + s.random.Float64()/2
	if u.instance.Zone != s.options.Zone {
		score += crossZonePenalty
	}
	if u.health == outlier.Probing {
		score += probingPenalty
	}
	return score
}

func refusal(eligible, cold int) *api.Failure {
	switch {
	case cold > 0:
		f := api.NewFailure(api.CodeColdUpstream, api.NotRun, "the remaining upstreams are in cold start")
		f.RetryAfter = busyRetryAfter
		return f
	case eligible > 0:
		f := api.NewFailure(api.CodeNoUpstream, api.NotRun, "no other upstream can take the request")
		f.RetryAfter = busyRetryAfter
		return f
	}
	f := api.NewFailure(api.CodeNoUpstream, api.NotRun, "no upstream of the service is listed")
	f.RetryAfter = noUpstreamRetryAfter
	return f
}

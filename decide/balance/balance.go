// Package balance chooses the upstream of a request among the instances that
// the platform lists, by the load that each is expected to have.
//
// The process knows its own running sends exactly. What other processes send
// is estimated from the loads that upstreams state in their answers: the part
// beyond the own sends, which fades as it ages.
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
	// reportHalfLife is the time in which a stated load loses half of its
	// weight. A model request runs for about that long.
	reportHalfLife = time.Second
	// farPenalty is the load, in requests, that the way to another zone is
	// worth. It only breaks ties between equally loaded upstreams.
	farPenalty = 0.3
	// probingPenalty keeps an upstream on probation to what others can't take.
	probingPenalty = 4
	// avoidFirst is how long an upstream is avoided that could not be reached,
	// doubled with each further time up to avoidMost. A VM that stands still or is
	// cut off comes back after seconds.
	avoidFirst = time.Second
	avoidMost  = 4 * time.Second
	// noUpstreamRetry is when a caller may come back if no upstream is listed:
	// a replacement registers within a heartbeat (1.2 s).
	noUpstreamRetry = time.Second
	// busyRetry is when a caller may come back if all upstreams are full or cold:
	// a model request takes about this long.
	busyRetry = 700 * time.Millisecond
	// queueFactor is the load, as a multiple of an upstream's slots, from which
	// a request would wait in its queue beyond its objective.
	queueFactor = 2
)

// Options configures a state.
type Options struct {
	// Zone is that of the process.
	Zone string
	Seed uint64
	// ColdOvershoot and ColdTolerance bound the rate of all processes to a cold
	// upstream.
	ColdOvershoot, ColdTolerance float64
}

// State belongs to the control loop.
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
	own      int
	// avoided is until when the upstream is passed over because it could not be
	// reached, unreached how often that was since it last answered.
	avoided   time.Duration
	unreached int
	// others is the load that other processes caused at a time.
	others   float64
	othersAt time.Duration
	// sent holds the times of the sends within the cold window, coldShare is how
	// many of them this process may make while the upstream is cold.
	sent      []time.Duration
	coldShare int
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

// Configure takes a view. An upstream that starts anew loses its estimates.
func (s *State) Configure(v *api.View) {
	s.view = v
	kept := make(map[string]*upstream, len(v.Instances))
	s.services = make(map[string][]*upstream)
	for id, in := range v.Instances {
		u := s.upstreams[id]
		if u == nil || u.instance.Born != in.Born {
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
	s.shareCold()
}

// SetFleet takes the processes that share the rates of cold upstreams.
func (s *State) SetFleet(v *api.FleetView) {
	s.fleet = v
	s.shareCold()
}

// SetHealth takes the standing of an upstream.
func (s *State) SetHealth(id string, h outlier.Status) {
	if u := s.upstreams[id]; u != nil {
		u.health = h
	}
}

// Observe takes a stated load.
func (s *State) Observe(now time.Duration, l api.UpstreamLoad) {
	if u := s.upstreams[l.Upstream]; u != nil {
		u.others = math.Max(float64(l.Running+l.Waiting-u.own), 0)
		u.othersAt = now
	}
}

// Done notes that a send has ended, with its failure if it has one.
func (s *State) Done(now time.Duration, id string, f *api.Failure) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.own = max(u.own-1, 0)
	switch {
	case f == nil:
		u.unreached, u.avoided = 0, 0
	case f.Code == api.CodeUpstreamUnreached:
		u.avoided = now + min(avoidFirst<<min(u.unreached, 8), avoidMost)
		u.unreached++
	}
}

// Choice is the upstream chosen and what decided it.
type Choice struct {
	Upstream string
	// Load is the expected number of requests there before this one.
	Load float64
	// Candidates is the number of upstreams that could take the request.
	Candidates int
}

// Choose picks the upstream with the least expected load, and counts the send.
func (s *State) Choose(now time.Duration, service string, exclude []string) (Choice, *api.Failure) {
	var best *upstream
	least, candidates, listed, cold := math.Inf(1), 0, 0, 0
	for _, pass := range []outlier.Status{outlier.Probing, outlier.Out} {
		for _, u := range s.services[service] {
			if !s.listed(u) {
				continue
			}
			listed++
			if slices.Contains(exclude, u.instance.ID) || u.standing(now) > pass {
				continue
			}
			if !s.bears(now, u) {
				cold++
				continue
			}
			candidates++
			if score := s.score(now, u); score < least {
				best, least = u, score
			}
		}
		if best != nil {
			break
		}
	}
	if best == nil {
		return Choice{}, refusal(listed, cold)
	}
	load := s.load(now, best)
	if slots := float64(best.instance.Slots); slots > 0 && load >= queueFactor*slots {
		f := api.Fail(api.CodeOverloaded, api.NotRun, "all upstreams of the service are full")
		f.RetryAfter = busyRetry
		return Choice{}, f
	}
	best.own++
	s.noteCold(now, best)
	return Choice{Upstream: best.instance.ID, Load: load, Candidates: candidates}, nil
}

// standing is the health of an upstream, with those that could not be reached
// as the last resort.
func (u *upstream) standing(now time.Duration) outlier.Status {
	if now < u.avoided {
		return outlier.Out
	}
	return u.health
}

// listed says whether an upstream may get new work at all.
func (s *State) listed(u *upstream) bool {
	return !u.instance.Leaving && !s.view.ZonesOut[u.instance.Zone]
}

func (s *State) load(now time.Duration, u *upstream) float64 {
	age := (now - u.othersAt).Seconds() / reportHalfLife.Seconds()
	return float64(u.own) + u.others*math.Exp2(-age)
}

// score orders upstreams. The random part keeps processes from choosing the
// same one of several that look alike.
func (s *State) score(now time.Duration, u *upstream) float64 {
	score := s.load(now, u) + s.random.Float64()/2
	if u.instance.Zone != s.options.Zone {
		score += farPenalty
	}
	if u.health == outlier.Probing {
		score += probingPenalty
	}
	return score
}

func refusal(listed, cold int) *api.Failure {
	switch {
	case cold > 0:
		f := api.Fail(api.CodeColdUpstream, api.NotRun, "the upstreams that are left are in cold start")
		f.RetryAfter = busyRetry
		return f
	case listed > 0:
		f := api.Fail(api.CodeNoUpstream, api.NotRun, "no further upstream can take the request")
		f.RetryAfter = busyRetry
		return f
	}
	f := api.Fail(api.CodeNoUpstream, api.NotRun, "no upstream of the service is listed")
	f.RetryAfter = noUpstreamRetry
	return f
}

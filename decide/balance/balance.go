// Package balance selects an upstream for each request by expected load, among
// the instances registered with the platform.
//
// The expected load is the number of this process's own requests in flight plus
// an estimate of the load from other processes. The estimate is the load last
// reported in a response of the upstream, less the process's own requests in
// flight at that time. It decays with age.
//
// For lockstep groups it places requests by the loads that their leaders read. It answers for
// groups that differ: one that loses a rank, whose interrupted responses come to the others at
// once, one that was just formed and looks idle, or one with longer passes.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/holdoff"
	"github.com/mulberryfork/mulberryfork/decide/outlier"
	"github.com/mulberryfork/mulberryfork/decide/waterfill"
	"github.com/mulberryfork/mulberryfork/decide/zoneshare"
)

const (
	// reportHalfLife is the half-life of a reported load. A model request runs
	// for about that long.
	reportHalfLife = time.Second
	// probingPenalty is added to the load of an upstream that outlier detection
	// is probing, in requests, so that it is selected only if the others are
	// busier by about that many requests.
	probingPenalty = 4
	// initialBackoff is how long an unreachable upstream is avoided. It doubles
	// with each further failure up to maxBackoff. A paused or partitioned VM
	// recovers within seconds.
	initialBackoff = time.Second
	maxBackoff     = 4 * time.Second
	// noUpstreamRetryAfter is the Retry-After when no upstream is eligible: a
	// replacement registers within a heartbeat (1.2 s).
	noUpstreamRetryAfter = time.Second
	// busyRetryAfter is the Retry-After when the upstreams are full or cold: a
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
	// ColdOvershoot and ColdTolerance set the limit for the total request rate
	// from all processes to a cold upstream: the cold rate of its service times
	// ColdOvershoot, plus ColdTolerance requests per second.
	ColdOvershoot, ColdTolerance float64
	// ZoneBytePrice is the price of bytes between zones, in milliseconds of a caller's time
	// for a megabyte.
	ZoneBytePrice float64
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
	// byAddress maps the hash of an engine's address to its upstream.
	byAddress map[uint64]*upstream
	// maxPauses holds the longest accepted pause between events of each service.
	maxPauses map[string]time.Duration
	// statements holds what upstreams said of themselves.
	statements *holdoff.State
	// traffic holds the request rate and duration of each service.
	traffic map[string]*traffic
	// zones holds the shares of the work that goes to other zones.
	zones *zoneshare.State
	// groups holds the groups by name. surveys counts the surveys of the groups.
	groups  map[string]*group
	surveys uint64
	// reduced and depths are buffers of placeUneven.
	reduced []waterfill.Candidate
	depths  []float64
}

type upstream struct {
	instance api.Instance
	health   outlier.Status
	inFlight int
	// backoffUntil is the end of the backoff after a failure to reach the upstream.
	backoffUntil time.Duration
	// unreachableCount is the number of such failures since the last success.
	unreachableCount int
	// othersLoad is the estimated load from other processes at othersLoadAt, in
	// requests.
	othersLoad   float64
	othersLoadAt time.Duration
	// reported is true once the upstream has reported a load.
	reported bool
	// unansweredSince is the time of the first request in flight since the last report, if
	// unanswered is true.
	unanswered      bool
	unansweredSince time.Duration
	// groupLoad is the load last read by the leader of the upstream's group, nil if
	// there is none.
	groupLoad *rankLoad
	// group is the upstream's group, nil if none is known. It outlasts a restart.
	group *group
	// sentAt holds the times of this process's last attempts, since sentWindow.
	sentAt []time.Duration
	// coldAttempts holds the times of the attempts within the last coldWindow.
	coldAttempts []time.Duration
	// coldQuota is the maximum length of coldAttempts while the upstream is cold,
	// unknownQuota until it is needed.
	coldQuota int
}

// New returns a state without upstreams.
func New(o Options) *State {
	return &State{
		options:   o,
		random:    rand.New(rand.NewPCG(o.Seed, 1)),
		view:      &api.View{},
		fleet:     &api.FleetView{},
		upstreams: make(map[string]*upstream),
		traffic:   make(map[string]*traffic),

		statements: holdoff.New(),
		groups:     make(map[string]*group),
		zones:      zoneshare.New(zoneshare.Options{Zone: o.Zone, BytePrice: o.ZoneBytePrice}),
	}
}

// incarnation returns the identity of an upstream in statements.
func (u *upstream) incarnation() holdoff.Incarnation {
	return holdoff.Incarnation{Upstream: u.instance.ID, StartedAtMs: u.instance.StartedAtMs}
}

// ObserveStatement records what an upstream said of itself, and reports whether that is
// new.
func (s *State) ObserveStatement(now time.Duration, said api.UpstreamStatement) bool {
	return s.statements.Observe(now, holdoff.Incarnation{Upstream: said.Upstream, StartedAtMs: int64(said.Incarnation)}, said)
}

// Configure sets the upstreams to the instances of a view. It resets the state
// of an upstream that has restarted.
func (s *State) Configure(now time.Duration, v *api.View) {
	s.view = v
	s.statements.SetListed(now, func(of holdoff.Incarnation) bool {
		in, listed := v.Instances[of.Upstream]
		return listed && in.StartedAtMs == of.StartedAtMs
	})
	upstreams := make(map[string]*upstream, len(v.Instances))
	s.services = make(map[string][]*upstream)
	s.byAddress = make(map[uint64]*upstream, len(v.Instances))
	for id, in := range v.Instances {
		u := s.upstreams[id]
		switch {
		case u == nil:
			u = &upstream{}
		case u.instance.StartedAtMs != in.StartedAtMs:
			u = &upstream{group: u.group}
		}
		u.instance = in
		upstreams[id] = u
		s.byAddress[xxhash.Sum64String(in.Address)] = u
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
	s.upstreams = upstreams
	s.retainGroups()
	s.maxPauses = v.Table.ShortestPauses()
	s.resetColdQuotas()
	s.configureZones()
}

// SetFleet sets the known edges. They share the request rates of cold upstreams.
func (s *State) SetFleet(v *api.FleetView) {
	s.fleet = v
	s.resetColdQuotas()
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
		u.reported = true
	}
}

// Done records the end of an attempt. f is nil if it succeeded. A success ends
// the backoff of the upstream, a failure to reach the upstream starts or extends
// it, and any other failure leaves it unchanged.
func (s *State) Done(now time.Duration, id string, f *api.Failure) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.inFlight = max(u.inFlight-1, 0)
	if f != nil && u.group != nil {
		u.group.suspect(now, f)
	}
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
	// Incarnation distinguishes starts of an upstream under the same ID.
	Incarnation api.Incarnation
	// Load is the expected number of requests on the upstream before this one.
	Load float64
	// Candidates is the number of upstreams whose scores were compared.
	Candidates int
}

// Choose selects the upstream with the lowest score and counts the attempt. Only
// eligible upstreams that are not excluded and are within their cold quotas
// qualify. An ejected or unreachable upstream is selected only if no other
// qualifies. Choose returns a failure if none qualifies or the selected upstream
// is full.
func (s *State) Choose(now time.Duration, service string, exclude []string) (Choice, *api.Failure) {
	s.RecordArrival(now, service)
	if choice, failure, ok := s.chooseRank(now, service, exclude); ok {
		return choice, failure
	}
	return s.ChooseByExpectedLoad(now, service, exclude)
}

// ChooseByExpectedLoad is like Choose without the loads of groups, for a request whose arrival
// was recorded.
func (s *State) ChooseByExpectedLoad(now time.Duration, service string, exclude []string) (Choice, *api.Failure) {
	var best *upstream
	lowest, candidates, eligible, overQuota := math.Inf(1), 0, 0, 0
	heldUntil := time.Duration(0)
	for _, worstStatus := range []outlier.Status{outlier.Probing, outlier.Ejected} {
		for _, u := range s.services[service] {
			if !s.eligible(u) {
				continue
			}
			eligible++
			if slices.Contains(exclude, u.instance.ID) || u.effectiveHealth(now) > worstStatus {
				continue
			}
			if until := s.statements.HeldUntil(now, u.incarnation()); until > 0 {
				heldUntil = earliest(heldUntil, until)
				continue
			}
			if !s.withinColdQuota(now, u) {
				overQuota++
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
	if best == nil && overQuota == 0 && heldUntil > 0 {
		return Choice{}, s.heldFailure(now, heldUntil)
	}
	if best == nil {
		return Choice{}, noCandidateFailure(eligible, overQuota)
	}
	load := s.load(now, best)
	if slots := float64(best.instance.Slots); slots > 0 && load >= maxLoadFactor*slots {
		f := api.NewFailure(api.CodeOverloaded, api.NotRun, "the selected upstream is full")
		f.RetryAfter = busyRetryAfter
		return Choice{}, f
	}
	s.recordAttempt(now, best)
	return choiceOf(best, load, candidates), nil
}

func choiceOf(u *upstream, load float64, candidates int) Choice {
	return Choice{
		Upstream:    u.instance.ID,
		Incarnation: api.Incarnation(u.instance.StartedAtMs),
		Load:        load,
		Candidates:  candidates,
	}
}

func (s *State) recordAttempt(now time.Duration, u *upstream) {
	u.inFlight++
	u.recordSent(now)
	s.recordColdAttempt(now, u)
}

// effectiveHealth returns the health of an upstream. An upstream in backoff
// counts as ejected, so that it is used only as a last resort.
func (u *upstream) effectiveHealth(now time.Duration) outlier.Status {
	if now < u.backoffUntil {
		return outlier.Ejected
	}
	return u.health
}

// eligible reports whether an upstream is not leaving, by the list or its own word, and
// its zone is in service.
func (s *State) eligible(u *upstream) bool {
	return !u.instance.Leaving && !s.statements.IsLeaving(u.incarnation()) && !s.view.ZonesOut[u.instance.Zone]
}

// earliest returns the earlier of two times, of which 0 stands for none.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// heldFailure refuses a request while all upstreams that could take it want none. Callers
// return at different times after the first one takes requests again.
func (s *State) heldFailure(now, until time.Duration) *api.Failure {
	f := api.NewFailure(api.CodeOverloaded, api.NotRun, "the upstreams want no requests for some time")
	f.RetryAfter = until - now + s.spreadRetryAfter() - minRetryAfter
	return f
}

// load returns the expected number of requests on an upstream: this process's own
// requests in flight and the decayed load from others.
func (s *State) load(now time.Duration, u *upstream) float64 {
	age := (now - u.othersLoadAt).Seconds() / reportHalfLife.Seconds()
	return float64(u.inFlight) + u.othersLoad*math.Exp2(-age)
}

// score ranks upstreams; the lowest is best. The random part keeps processes from
// choosing the same one of several equally loaded upstreams.
func (s *State) score(now time.Duration, u *upstream) float64 {
	load := s.load(now, u)
	limit := maxLoadFactor * float64(u.instance.Slots)
	return load + s.random.Float64()/2 + s.penalty(u) + s.zonePenalty(now, u, load, limit)
}

// penalty returns the load that is added to that of an upstream that outlier detection is
// probing.
func (s *State) penalty(u *upstream) float64 {
	if u.health == outlier.Probing {
		return probingPenalty
	}
	return 0
}

func noCandidateFailure(eligible, overQuota int) *api.Failure {
	switch {
	case overQuota > 0:
		f := api.NewFailure(api.CodeColdUpstream, api.NotRun, "the remaining upstreams are in cold start")
		f.RetryAfter = busyRetryAfter
		return f
	case eligible > 0:
		f := api.NewFailure(api.CodeNoUpstream, api.NotRun, "no other upstream can take the request")
		f.RetryAfter = busyRetryAfter
		return f
	}
	f := api.NewFailure(api.CodeNoUpstream, api.NotRun, "the service has no eligible upstream")
	f.RetryAfter = noUpstreamRetryAfter
	return f
}

// Package zone protects service quality on one router while an availability zone
// is leaving service, out of service or returning. It admits no more work than the
// remaining upstreams can handle, and ramps up returning upstreams within the limits
// that they report.
package zone

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// QueueFraction is the queued work that is admitted while a zone is out of
	// service, leaving or returning, as a fraction of the upstreams' limit. The wait
	// in a queue of this length is about the same fraction of the duration of one
	// request.
	QueueFraction = 0.1
	// RampSurplusFactor is the maximum number of a router's requests in flight on a
	// returning upstream, as a multiple of its average on a steady one. It exceeds
	// 1 so that the returning upstream catches up.
	RampSurplusFactor = 1.25
	// LeaveRecomputeFraction and ReturnRecomputeFraction limit the prompt tokens
	// that are recomputed because cached prefixes move to another upstream, as a
	// fraction of all uncached prompt tokens. All prefixes of a leaving zone have to
	// move before the zone is out, whereas there is no deadline for moving them
	// back.
	LeaveRecomputeFraction  = 0.18
	ReturnRecomputeFraction = 0.08
	// A ramp ends after at least RampMinAttempts attempts at the upstream, once no
	// request has been held back from it for RampQuietTime.
	RampQuietTime   = 10 * time.Second
	RampMinAttempts = 32
	// rateTimeConstant is the time after which an attempt's weight in the rate of
	// uncached tokens has fallen to 1/e.
	rateTimeConstant = 10 * time.Second
	// minRetryAfter is the shortest RetryAfter of a refusal. The longest one is
	// twice that, so that callers do not retry at the same time.
	minRetryAfter = time.Second
)

// phase is the service phase of an upstream. It follows the state of the zone; an
// upstream that is itself leaving is out. A ramping upstream has returned to service
// and gets a limited number of requests.
type phase uint8

const (
	steady phase = iota
	out
	leaving
	ramping
)

// upstream holds the router's view of one upstream.
type upstream struct {
	name   string
	config api.Upstream
	phase  phase
	// load is the last load report, if reported is set.
	load     api.Load
	reported bool
	// sentSinceReport counts this router's attempts since the last load report.
	sentSinceReport uint64
	// inFlight counts this router's attempts in flight.
	inFlight uint64
	// rampAttempts counts the attempts of the current ramp. lastHeldAt is when a
	// request was last held back from the upstream, or when the ramp began.
	rampAttempts uint64
	lastHeldAt   time.Duration
}

// rate is an exponentially decaying average per second.
type rate struct {
	sum       float64
	updatedAt time.Duration
	startedAt time.Duration
	started   bool
}

func (r *rate) add(now time.Duration, v float64) {
	if !r.started {
		r.started, r.startedAt, r.updatedAt = true, now, now
	}
	r.sum = r.decayed(now) + v
	r.updatedAt = now
}

func (r *rate) decayed(now time.Duration) float64 {
	return r.sum * math.Exp(-float64(now-r.updatedAt)/float64(rateTimeConstant))
}

// perSecond returns the rate. It corrects for the time before the first event, which
// contributes nothing to the sum.
func (r *rate) perSecond(now time.Duration) float64 {
	if !r.started {
		return 0
	}
	elapsed := max(now-r.startedAt, time.Second)
	weight := rateTimeConstant.Seconds() * (1 - math.Exp(-float64(elapsed)/float64(rateTimeConstant)))
	return r.decayed(now) / weight
}

// Counters are totals since the state was created.
type Counters struct {
	// Refused counts requests refused because the remaining upstreams were full.
	Refused uint64
	// Moved counts prompt prefixes that moved from a leaving zone or to a
	// returning one.
	Moved uint64
	// Held counts how often a leaving or returning upstream was not allowed to get
	// a request.
	Held uint64
	// Ramps counts ramps that began, Settled those that ended.
	Ramps, Settled uint64
}

// State is the view of one router. Only the control goroutine uses it.
type State struct {
	snapshot        *api.Snapshot
	upstreams       map[string]*upstream
	sortedUpstreams []*upstream
	memberInFlight  map[string]uint64
	// unsteadyUpstreams counts the upstreams that are not steady.
	unsteadyUpstreams int
	// uncachedTokenRate is the rate of uncached prompt tokens of all attempts of this
	// router. The budgets are refilled in proportion to it.
	uncachedTokenRate rate
	leaveBudget       budget
	returnBudget      budget
	counters          Counters
}

// budget is a token bucket that counts prompt tokens. One request may overdraw it;
// then none may take from it until the credit is no longer negative.
type budget struct {
	credit     float64
	refilledAt time.Duration
}

// refillAndCheck refills the bucket with perSecond tokens per second, up to the tokens of
// one second, and reports whether the next request may take from it.
func (b *budget) refillAndCheck(now time.Duration, perSecond float64) bool {
	b.credit = min(b.credit+perSecond*(now-b.refilledAt).Seconds(), perSecond)
	b.refilledAt = now
	return b.credit >= 0
}

// New returns a state without upstreams.
func New() *State {
	return &State{upstreams: make(map[string]*upstream), memberInFlight: make(map[string]uint64)}
}

// Counters returns the totals.
func (s *State) Counters() Counters { return s.counters }

// HasUnsteadyUpstreams reports whether any upstream is out of service, leaving or
// returning.
func (s *State) HasUnsteadyUpstreams() bool { return s.unsteadyUpstreams > 0 }

// Configure sets a new configuration. An upstream that was out of
// service and returns begins a ramp. One whose zone was only leaving does not, nor
// one that is new to this process, for example after a restart of the router.
func (s *State) Configure(now time.Duration, snap *api.Snapshot) {
	s.snapshot = snap
	maps.DeleteFunc(s.upstreams, func(name string, _ *upstream) bool {
		_, ok := snap.Config.Upstreams[name]
		return !ok
	})
	for name, conf := range snap.Config.Upstreams {
		u := s.upstreams[name]
		if u == nil {
			u = &upstream{name: name}
			s.upstreams[name] = u
		}
		u.config = conf
		state := snap.Config.Zones[conf.Zone].State
		switch {
		case state == api.ZoneOut || conf.Leaving:
			u.phase = out
		case state == api.ZoneLeaving:
			u.phase = leaving
		case u.phase == leaving:
			u.phase = steady
		case u.phase == out:
			s.startRamp(now, u)
		}
	}
	s.sortedUpstreams = s.sortedUpstreams[:0]
	for _, name := range slices.Sorted(maps.Keys(s.upstreams)) {
		s.sortedUpstreams = append(s.sortedUpstreams, s.upstreams[name])
	}
	s.countUnsteady()
}

func (s *State) startRamp(now time.Duration, u *upstream) {
	u.phase = ramping
	u.rampAttempts, u.lastHeldAt = 0, now
	s.counters.Ramps++
}

func (s *State) countUnsteady() {
	s.unsteadyUpstreams = 0
	for _, u := range s.sortedUpstreams {
		if u.phase != steady {
			s.unsteadyUpstreams++
		}
	}
}

// LinkDown discards the load report of an upstream whose link is down.
func (s *State) LinkDown(name string) {
	if u := s.upstreams[name]; u != nil {
		u.reported, u.load, u.sentSinceReport = false, api.Load{}, 0
	}
}

// ObserveLoad records a load report.
func (s *State) ObserveLoad(l api.Load) {
	if u := s.upstreams[l.Upstream]; u != nil {
		u.load, u.reported, u.sentSinceReport = l, true, 0
	}
}

// RecordAttempt records an attempt at the chosen upstream. It charges recomputed prompt
// tokens to the budgets and ends a ramp that is complete.
func (s *State) RecordAttempt(now time.Duration, member string, c api.RouteChoice) {
	s.memberInFlight[member]++
	s.uncachedTokenRate.add(now, float64(c.UncachedTokens))
	u := s.upstreams[c.Upstream]
	if u == nil {
		return
	}
	u.inFlight++
	u.sentSinceReport++
	if c.CachedElsewhere > 0 && s.unsteadyUpstreams > 0 {
		b := &s.leaveBudget
		if u.phase == ramping {
			b = &s.returnBudget
		}
		b.credit -= float64(c.CachedElsewhere)
		s.counters.Moved++
	}
	if u.phase != ramping {
		return
	}
	u.rampAttempts++
	if u.rampAttempts >= RampMinAttempts && now-u.lastHeldAt >= RampQuietTime {
		u.phase = steady
		s.counters.Settled++
		s.countUnsteady()
	}
}

// RecordEnd records the end of an attempt, whatever its result.
func (s *State) RecordEnd(member, name string) {
	if s.memberInFlight[member] <= 1 {
		delete(s.memberInFlight, member)
	} else {
		s.memberInFlight[member]--
	}
	if u := s.upstreams[name]; u != nil && u.inFlight > 0 {
		u.inFlight--
	}
}

// poolName returns the name of an upstream's pool. The upstreams of a pool are
// interchangeable.
func poolName(c *api.Upstream) string {
	if c.Kind == api.UpstreamPlain {
		return "service/" + c.Service
	}
	if len(c.Models) == 0 {
		return "model/"
	}
	return "model/" + c.Models[0]
}

// limit returns the request limit that the upstream reports, or its cold limit
// before the first report.
func (u *upstream) limit() float64 {
	if u.reported {
		return float64(u.load.LimitRequests)
	}
	return float64(cmp.Or(u.config.ColdRequests, 1))
}

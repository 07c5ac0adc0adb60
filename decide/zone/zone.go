// Package zone protects service quality on one router while an availability
// zone leaves and returns: it admits no more than the remaining upstreams
// bear, and brings returned upstreams back by what they have shown to bear.
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
	// QueueFraction is the waiting work that is admitted during a move, as a part
	// of the bound of the upstreams. A queue of that part waits about as large
	// a part of the time of one request.
	QueueFraction = 0.1
	// RampSurplusFactor is how much more than a steady upstream a returned one may get,
	// so that it catches up.
	RampSurplusFactor = 1.25
	// LeaveRecomputeFraction and ReturnPart bound the prompt tokens that are computed once
	// more because prefixes move, as a part of those that are computed anyway.
	// A leaving zone has to be empty of prefixes before it is out; nothing
	// waits for those that move back.
	LeaveRecomputeFraction  = 0.18
	ReturnRecomputeFraction = 0.08
	// RampQuietTime without a held request, and SettleSends, end a ramp.
	RampQuietTime = 10 * time.Second
	RampMinSends  = 32
	// rateTimeConstant is the time in which the weight of a send falls to 1/e in the
	// measured rate of uncached tokens.
	rateTimeConstant = 10 * time.Second
	// minRetryAfter is the shortest advice to a refused caller; it is spread over
	// twice that time, so that callers do not return together.
	minRetryAfter = time.Second
)

// phase is where an upstream stands in a move of its zone.
type phase uint8

const (
	steady phase = iota
	out
	leaving
	ramping
)

// upstream is what the router knows of one upstream.
type upstream struct {
	name     string
	config   api.Upstream
	phase    phase
	load     api.Load
	reported bool
	// sentSinceReport counts own sends after the last report.
	sentSinceReport uint64
	// inFlight counts own sends in flight.
	inFlight uint64
	// sends and heldAt say how a ramp goes.
	sends      uint64
	lastHeldAt time.Duration
}

// rate is a decaying mean of events in a second.
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

// perSecond corrects for the time before the first event, of which the sum
// cannot know.
func (r *rate) perSecond(now time.Duration) float64 {
	if !r.started {
		return 0
	}
	seen := max(now-r.startedAt, time.Second)
	weight := rateTimeConstant.Seconds() * (1 - math.Exp(-float64(seen)/float64(rateTimeConstant)))
	return r.decayed(now) / weight
}

// Counters are totals since the state was made.
type Counters struct {
	// Refused counts requests beyond what the remaining upstreams bear.
	Refused uint64
	// Moved counts prompt prefixes that moved from a leaving zone or to a
	// returned one.
	Moved uint64
	// Held counts choices that passed over a returned upstream.
	Held uint64
	// Ramps counts returned upstreams, Settled those whose ramp has ended.
	Ramps, Settled uint64
}

// State is the view of one router. The control goroutine owns it.
type State struct {
	snapshot        *api.Snapshot
	upstreams       map[string]*upstream
	sortedUpstreams []*upstream
	memberInFlight  map[string]uint64
	// movingUpstreams counts the upstreams that are out or in a ramp.
	movingUpstreams int
	// rate measures the uncached prompt tokens of all own sends; the budgets
	// of moves follow it.
	rate         rate
	leaveBudget  budget
	returnBudget budget
	counters     Counters
}

// budget is an account in tokens that fills with time. One request may
// overdraw it; the next waits until that is paid.
type budget struct {
	credit     float64
	refilledAt time.Duration
}

// refill refills the account, for at most one second ahead, and says whether
// anything may be taken.
func (b *budget) refill(now time.Duration, perSecond float64) bool {
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

// Moving says whether a zone is out or on its way back.
func (s *State) Moving() bool { return s.movingUpstreams > 0 }

// Configure takes a new configuration. An upstream whose zone comes back
// begins a ramp; one that is new on a process that just started does not.
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
	s.countMoving()
}

func (s *State) startRamp(now time.Duration, u *upstream) {
	u.phase = ramping
	u.sends, u.lastHeldAt = 0, now
	s.counters.Ramps++
}

func (s *State) countMoving() {
	s.movingUpstreams = 0
	for _, u := range s.sortedUpstreams {
		if u.phase != steady {
			s.movingUpstreams++
		}
	}
}

// LinkDown forgets what was known of an upstream's load.
func (s *State) LinkDown(name string) {
	if u := s.upstreams[name]; u != nil {
		u.reported, u.load, u.sentSinceReport = false, api.Load{}, 0
	}
}

// Load takes a load report.
func (s *State) Load(l api.Load) {
	if u := s.upstreams[l.Upstream]; u != nil {
		u.load, u.reported, u.sentSinceReport = l, true, 0
	}
}

// Sent takes a choice.
func (s *State) Sent(now time.Duration, member string, c api.RouteChoice) {
	s.memberInFlight[member]++
	s.rate.add(now, float64(c.Uncached))
	u := s.upstreams[c.Upstream]
	if u == nil {
		return
	}
	u.inFlight++
	u.sentSinceReport++
	if c.Lost > 0 && s.movingUpstreams > 0 {
		account := &s.leaveBudget
		if u.phase == ramping {
			account = &s.returnBudget
		}
		account.credit -= float64(c.Lost)
		s.counters.Moved++
	}
	if u.phase != ramping {
		return
	}
	u.sends++
	if u.sends >= RampMinSends && now-u.lastHeldAt >= RampQuietTime {
		u.phase = steady
		s.counters.Settled++
		s.countMoving()
	}
}

// Ended takes the end of a send, whatever its result.
func (s *State) Ended(member, name string) {
	if s.memberInFlight[member] <= 1 {
		delete(s.memberInFlight, member)
	} else {
		s.memberInFlight[member]--
	}
	if u := s.upstreams[name]; u != nil && u.inFlight > 0 {
		u.inFlight--
	}
}

// poolName names the upstreams that can stand in for each other.
func poolName(c *api.Upstream) string {
	if c.Kind == api.KindPlain {
		return "service/" + c.Service
	}
	if len(c.Models) == 0 {
		return "model/"
	}
	return "model/" + c.Models[0]
}

// limit is the bound of requests that the upstream has shown to bear.
func (u *upstream) limit() float64 {
	if u.reported {
		return float64(u.load.LimitRequests)
	}
	return float64(cmp.Or(u.config.ColdRequests, 1))
}

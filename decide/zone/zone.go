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
	// QueuePart is the waiting work that is admitted during a move, as a part
	// of the bound of the upstreams. A queue of that part waits about as large
	// a part of the time of one request.
	QueuePart = 0.1
	// Surplus is how much more than a steady upstream a returned one may get,
	// so that it catches up.
	Surplus = 1.25
	// LeavePart and ReturnPart bound the prompt tokens that are computed once
	// more because prefixes move, as a part of those that are computed anyway.
	// A leaving zone has to be empty of prefixes before it is out; nothing
	// waits for those that move back.
	LeavePart  = 0.18
	ReturnPart = 0.08
	// SettleTime without a held request, and SettleSends, end a ramp.
	SettleTime  = 10 * time.Second
	SettleSends = 32
	// rateTime is the time in which the weight of a send falls to 1/e in the
	// measured rate of uncached tokens.
	rateTime = 10 * time.Second
	// retryAfter is the shortest advice to a refused caller; it is spread over
	// twice that time, so that callers do not return together.
	retryAfter = time.Second
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
	conf     api.Upstream
	phase    phase
	load     api.Load
	reported bool
	// since counts own sends after the last report.
	since uint64
	// own counts own sends in flight.
	own uint64
	// sends and heldAt say how a ramp goes.
	sends  uint64
	heldAt time.Duration
}

// rate is a decaying mean of events in a second.
type rate struct {
	sum   float64
	at    time.Duration
	began time.Duration
	known bool
}

func (r *rate) add(now time.Duration, v float64) {
	if !r.known {
		r.known, r.began, r.at = true, now, now
	}
	r.sum = r.decayed(now) + v
	r.at = now
}

func (r *rate) decayed(now time.Duration) float64 {
	return r.sum * math.Exp(-float64(now-r.at)/float64(rateTime))
}

// perSecond corrects for the time before the first event, of which the sum
// cannot know.
func (r *rate) perSecond(now time.Duration) float64 {
	if !r.known {
		return 0
	}
	seen := max(now-r.began, time.Second)
	weight := rateTime.Seconds() * (1 - math.Exp(-float64(seen)/float64(rateTime)))
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
	snapshot  *api.Snapshot
	upstreams map[string]*upstream
	ordered   []*upstream
	members   map[string]uint64
	// moving counts the upstreams that are out or in a ramp.
	moving int
	// rate measures the uncached prompt tokens of all own sends; the budgets
	// of moves follow it.
	rate     rate
	leave    budget
	back     budget
	counters Counters
}

// budget is an account in tokens that fills with time. One request may
// overdraw it; the next waits until that is paid.
type budget struct {
	credit float64
	at     time.Duration
}

// open refills the account, for at most one second ahead, and says whether
// anything may be taken.
func (b *budget) open(now time.Duration, perSecond float64) bool {
	b.credit = min(b.credit+perSecond*(now-b.at).Seconds(), perSecond)
	b.at = now
	return b.credit >= 0
}

// New returns a state without upstreams.
func New() *State {
	return &State{upstreams: make(map[string]*upstream), members: make(map[string]uint64)}
}

// Counters returns the totals.
func (s *State) Counters() Counters { return s.counters }

// Moving says whether a zone is out or on its way back.
func (s *State) Moving() bool { return s.moving > 0 }

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
		u.conf = conf
		state := snap.Config.Zones[conf.Zone].State
		switch {
		case state == api.ZoneOut || conf.Leaving:
			u.phase = out
		case state == api.ZoneLeaving:
			u.phase = leaving
		case u.phase == leaving:
			u.phase = steady
		case u.phase == out:
			s.ramp(now, u)
		}
	}
	s.ordered = s.ordered[:0]
	for _, name := range slices.Sorted(maps.Keys(s.upstreams)) {
		s.ordered = append(s.ordered, s.upstreams[name])
	}
	s.count()
}

func (s *State) ramp(now time.Duration, u *upstream) {
	u.phase = ramping
	u.sends, u.heldAt = 0, now
	s.counters.Ramps++
}

func (s *State) count() {
	s.moving = 0
	for _, u := range s.ordered {
		if u.phase != steady {
			s.moving++
		}
	}
}

// LinkDown forgets what was known of an upstream's load.
func (s *State) LinkDown(name string) {
	if u := s.upstreams[name]; u != nil {
		u.reported, u.load, u.since = false, api.Load{}, 0
	}
}

// Load takes a load report.
func (s *State) Load(l api.Load) {
	if u := s.upstreams[l.Upstream]; u != nil {
		u.load, u.reported, u.since = l, true, 0
	}
}

// Sent takes a choice.
func (s *State) Sent(now time.Duration, member string, c api.RouteChoice) {
	s.members[member]++
	s.rate.add(now, float64(c.Uncached))
	u := s.upstreams[c.Upstream]
	if u == nil {
		return
	}
	u.own++
	u.since++
	if c.Lost > 0 && s.moving > 0 {
		account := &s.leave
		if u.phase == ramping {
			account = &s.back
		}
		account.credit -= float64(c.Lost)
		s.counters.Moved++
	}
	if u.phase != ramping {
		return
	}
	u.sends++
	if u.sends >= SettleSends && now-u.heldAt >= SettleTime {
		u.phase = steady
		s.counters.Settled++
		s.count()
	}
}

// Ended takes the end of a send, whatever its result.
func (s *State) Ended(member, name string) {
	if s.members[member] <= 1 {
		delete(s.members, member)
	} else {
		s.members[member]--
	}
	if u := s.upstreams[name]; u != nil && u.own > 0 {
		u.own--
	}
}

// pool names the upstreams that can stand in for each other.
func pool(c *api.Upstream) string {
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
	return float64(cmp.Or(u.conf.ColdRequests, 1))
}

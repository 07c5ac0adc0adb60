// Package route chooses the upstream of a request. It weighs prefix affinity,
// estimated work and availability zone over the upstreams that may take the
// request, and keeps the state behind these facts for one router.
package route

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/hash"
)

// GapPolicy says what becomes of an upstream's index entries after a gap in its
// cache events.
type GapPolicy uint8

const (
	// GapKeepStale keeps serving them at reduced weight until events, own
	// sends or hits confirm them, or until they expire.
	GapKeepStale GapPolicy = iota
	// GapDrop forgets them.
	GapDrop
)

// Defaults of Options.
const (
	DefaultBlockTokens       = 64
	DefaultMaxPairs          = 1 << 18
	DefaultWorkWeight        = 0.03
	DefaultRecentWeight      = 1.0
	DefaultZonePenaltyTokens = 64
	DefaultSpreadFraction    = 0.1
	DefaultSample            = 4
	// DefaultLimitTokens is assumed where neither report nor configuration
	// states a bound.
	DefaultLimitTokens = 32768
	// DefaultColdRequests is assumed in cold start where the configuration
	// names no bound.
	DefaultColdRequests = 1
)

// Options configures a State. Zero fields take the defaults, negative weights
// count as none.
type Options struct {
	// Zone is the availability zone of the router.
	Zone string
	// Seed makes the tie-breaking of routers differ.
	Seed uint64
	// BlockTokens is the number of prompt tokens behind one block hash.
	BlockTokens int
	// MaxPairs bounds the prefix index, in pairs of block and upstream.
	MaxPairs int
	// WorkWeight converts a token of outstanding work on an upstream into
	// tokens of prefill that are worth as much.
	WorkWeight float64
	// RecentWeight is the same for the router's sends of the last moments,
	// whose prompts are probably still ahead of a new one.
	RecentWeight float64
	// ZonePenaltyTokens is the price of crossing zones, in prefill tokens.
	ZonePenaltyTokens float64
	// SpreadPart is the part of an upstream's token bound that one prefix may
	// use before it is spread to one more upstream. Negative turns it off.
	SpreadPart float64
	// Sample bounds the upstreams without affinity that one choice compares;
	// negative compares all.
	Sample int
	Gap    GapPolicy
	// Gate bounds the work of zones that leave or return; nil allows all.
	Gate Gate
}

// Gate decides what upstreams may take while their zone leaves or returns.
type Gate interface {
	// Allows says whether an upstream may take a request.
	Allows(now time.Duration, upstream string, p Prompt) bool
}

// Prompt tells what one upstream's cache is expected to do for a prompt, in
// tokens. Without block hashes all of it is 0.
type Prompt struct {
	Cached, Uncached float64
	// Lost is what another usable upstream holds beyond this one.
	Lost float64
}

func (o Options) withDefaults() Options {
	defaultInt := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	defaultFloat := func(v *float64, d float64) {
		if *v == 0 {
			*v = d
		}
		*v = max(*v, 0)
	}
	defaultInt(&o.BlockTokens, DefaultBlockTokens)
	defaultInt(&o.MaxPairs, DefaultMaxPairs)
	defaultInt(&o.Sample, DefaultSample)
	defaultFloat(&o.WorkWeight, DefaultWorkWeight)
	defaultFloat(&o.RecentWeight, DefaultRecentWeight)
	defaultFloat(&o.ZonePenaltyTokens, DefaultZonePenaltyTokens)
	defaultFloat(&o.SpreadPart, DefaultSpreadFraction)
	return o
}

// Counters are totals since the state was made.
type Counters struct {
	Choices     uint64
	Refusals    uint64
	AffinityHit uint64
	Spread      uint64
	Gaps        uint64
	StaleLoads  uint64
	Evicted     uint64
}

// State is the routing state of one router.
type State struct {
	vmLeaving func(vm string) bool
	options   Options
	snapshot  *api.Snapshot
	upstreams map[string]*upstream
	ordered   []*upstream
	index     index
	tickets   map[uint64]*upstream
	serial    uint64
	// bestMatch is the longest match of the present choice on a usable upstream.
	bestMatch int
	// scratch is reused by each choice.
	scratch  []candidate
	counters Counters
}

// upstream is what the router knows of one upstream.
type upstream struct {
	name    string
	conf    api.Upstream
	zoneOut bool
	// vmLeaving is true if the upstream's VM is leaving.
	vmLeaving bool
	removed   bool
	up        bool
	link      api.LinkState
	health    Health
	load      api.Load
	// reported is false until the first load report on the present link.
	reported bool
	sends    sends
	cache    cacheView
	match    match
	recent   decayingSum
}

// New returns a state without upstreams.
func New(o Options) *State {
	o = o.withDefaults()
	return &State{
		options:   o,
		upstreams: make(map[string]*upstream),
		index:     newIndex(o.MaxPairs),
		tickets:   make(map[uint64]*upstream),
	}
}

// Counters returns the totals.
func (s *State) Counters() Counters {
	c := s.counters
	c.Evicted = s.index.evicted
	return c
}

// IndexPairs returns the size of the prefix index.
func (s *State) IndexPairs() int { return s.index.pairs }

// Configure takes a new configuration. Upstreams that stay keep their state.
func (s *State) Configure(snap *api.Snapshot) {
	s.snapshot = snap
	for name, u := range s.upstreams {
		if _, ok := snap.Config.Upstreams[name]; !ok {
			s.dropSends(u)
			u.removed = true
			delete(s.upstreams, name)
		}
	}
	for name, conf := range snap.Config.Upstreams {
		u := s.upstreams[name]
		if u == nil {
			u = &upstream{name: name}
			s.upstreams[name] = u
		}
		u.conf = conf
		u.zoneOut = snap.Config.Zones[conf.Zone].State == api.ZoneOut
		u.vmLeaving = s.vmLeaving != nil && s.vmLeaving(conf.VM)
	}
	s.ordered = s.ordered[:0]
	for _, name := range slices.Sorted(maps.Keys(s.upstreams)) {
		s.ordered = append(s.ordered, s.upstreams[name])
	}
}

// SetLeaving takes which VMs are leaving. The function must answer alike until
// the next call; it is also asked of upstreams that are configured later.
func (s *State) SetLeaving(leaving func(vm string) bool) {
	s.vmLeaving = leaving
	for _, u := range s.ordered {
		u.vmLeaving = leaving(u.conf.VM)
	}
}

// LinkUp takes a new link to an upstream's agent. A new incarnation forgets
// the index of the upstream, because its cache may have gone with the agent.
func (s *State) LinkUp(name string, l api.LinkState) {
	u := s.upstreams[name]
	if u == nil {
		return
	}
	s.dropSends(u)
	u.up, u.reported = true, false
	if u.link.Incarnation != l.Incarnation {
		u.cache.reset()
	}
	u.link, u.load = l, api.Load{}
}

// LinkDown takes the loss of a link. Its sends no longer count as work.
func (s *State) LinkDown(name string) {
	if u := s.upstreams[name]; u != nil {
		u.up = false
		s.dropSends(u)
	}
}

// SetHealth takes a mark of outlier detection.
func (s *State) SetHealth(name string, h Health) {
	if u := s.upstreams[name]; u != nil {
		u.health = h
	}
}

// Load takes a load report. Reports that are older than the last one or from
// another incarnation are dropped and counted.
func (s *State) Load(now time.Duration, l api.Load) {
	u := s.upstreams[l.Upstream]
	if u == nil || !u.up {
		return
	}
	if u.link.Incarnation == 0 {
		u.link.Incarnation = l.Incarnation
	}
	old := u.reported && l.Elapsed < u.load.Elapsed
	if old || l.Incarnation != u.link.Incarnation {
		s.counters.StaleLoads++
		return
	}
	u.load, u.reported = l, true
	u.sends.report(l.SeenOrders)
	s.applyCacheEvents(now, u, l)
}

// Done closes a choice. A ticket that is no longer known, because its link was
// lost meanwhile, is ignored.
func (s *State) Done(now time.Duration, r api.RouteResult) {
	u := s.tickets[r.Ticket]
	if u == nil {
		return
	}
	delete(s.tickets, r.Ticket)
	sent, ok := u.sends.finish(r.Ticket, r.Unsent)
	if !ok {
		return
	}
	notRun := r.Unsent || (r.Failure != nil && r.Failure.Run == api.NotRun)
	if notRun {
		s.index.retract(sent.prefix, u, r.Ticket)
		return
	}
	u.cache.updateTrust(r.Cache, sent.stale)
}

func (s *State) dropSends(u *upstream) {
	for _, e := range u.sends.open {
		delete(s.tickets, e.ticket)
	}
	u.sends = sends{}
}

// tie orders equal candidates for one choice.
func (s *State) tie(u *upstream) uint64 {
	return hash.String(hash.Mix(s.options.Seed, s.serial), u.name)
}

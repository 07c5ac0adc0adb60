// Package route selects the upstream of a request. It scores the eligible
// upstreams by prefix-cache affinity, estimated work and availability zone,
// and keeps the state that this needs for one router.
package route

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/hash"
)

// GapPolicy defines the handling of an upstream's index entries after a gap in
// its cache events.
type GapPolicy uint8

const (
	// GapKeepStale keeps using them at reduced weight until events, own sends or
	// hits confirm them, or until they expire after staleTTL.
	GapKeepStale GapPolicy = iota
	// GapDrop drops them.
	GapDrop
)

// Defaults of Options.
const (
	DefaultBlockTokens       = 64
	DefaultMaxIndexEntries   = 1 << 18
	DefaultWorkWeight        = 0.03
	DefaultRecentWeight      = 1.0
	DefaultZonePenaltyTokens = 64
	DefaultSpreadFraction    = 0.1
	DefaultSample            = 4
	// DefaultLimitTokens is used if neither load report nor configuration states
	// a limit.
	DefaultLimitTokens = 32768
	// DefaultColdRequests is used in cold start if the configuration states no
	// limit.
	DefaultColdRequests = 1
)

// Options configures a State. Zero fields take the defaults; negative weights
// count as 0.
type Options struct {
	// Zone is the availability zone of the router.
	Zone string
	// Seed makes routers break ties differently.
	Seed uint64
	// BlockTokens is the number of prompt tokens per block hash.
	BlockTokens int
	// MaxIndexEntries limits the size of the prefix index, in pairs of block and
	// upstream.
	MaxIndexEntries int
	// WorkWeight is the cost of one token of outstanding work on an upstream, in
	// prefill tokens.
	WorkWeight float64
	// RecentWeight is the cost of one token of the router's most recent sends, in
	// prefill tokens. Their prompts are probably still queued ahead of a new one.
	RecentWeight float64
	// ZonePenaltyTokens is the cost of crossing zones, in prefill tokens.
	ZonePenaltyTokens float64
	// SpreadFraction is the fraction of an upstream's token limit that one prefix
	// may use before its requests go to one more upstream. A negative value
	// disables this.
	SpreadFraction float64
	// Sample limits the upstreams without affinity that one choice compares. A
	// negative value compares all.
	Sample int
	Gap    GapPolicy
	// Gate limits the work of zones that are drained or return to service; nil
	// allows all.
	Gate Gate
}

// Gate limits the work of upstreams while their zone is drained or returns to
// service.
type Gate interface {
	// Allows reports whether an upstream may take a request.
	Allows(now time.Duration, upstream string, p CacheEstimate) bool
}

// CacheEstimate is the expected benefit of one upstream's cache for a prompt,
// in tokens. All fields are 0 if the request has no block hashes.
type CacheEstimate struct {
	Cached, UncachedTokens float64
	// CachedElsewhere is the part of the prompt that another usable upstream has
	// cached and this one has not.
	CachedElsewhere float64
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
	defaultInt(&o.MaxIndexEntries, DefaultMaxIndexEntries)
	defaultInt(&o.Sample, DefaultSample)
	defaultFloat(&o.WorkWeight, DefaultWorkWeight)
	defaultFloat(&o.RecentWeight, DefaultRecentWeight)
	defaultFloat(&o.ZonePenaltyTokens, DefaultZonePenaltyTokens)
	defaultFloat(&o.SpreadFraction, DefaultSpreadFraction)
	return o
}

// Counters are totals since the state was created.
type Counters struct {
	Choices  uint64
	Refusals uint64
	// AffinityHit counts choices of an upstream that caches a part of the prefix.
	AffinityHit uint64
	// Spread counts choices of another upstream because the prefix was in heavy
	// use.
	Spread uint64
	// Gaps counts gaps in the cache events of an upstream.
	Gaps uint64
	// StaleLoads counts dropped load reports.
	StaleLoads uint64
	// Evicted counts entries evicted from the prefix index.
	Evicted uint64
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
	// serial is the number of the current choice, which is also its ticket.
	serial uint64
	// bestMatch is the longest match of the current choice on a reachable
	// upstream, in blocks.
	bestMatch int
	// scratch is reused by all choices.
	scratch  []candidate
	counters Counters
}

// upstream is the router's state of one upstream.
type upstream struct {
	name    string
	conf    api.Upstream
	zoneOut bool
	// vmLeaving is true if the upstream's VM is leaving.
	vmLeaving bool
	// removed is set when the upstream is no longer configured. It invalidates
	// the index entries of the upstream.
	removed bool
	// up is true while there is a link to the agent.
	up     bool
	link   api.LinkState
	health Health
	load   api.Load
	// reported is false until the first load report on the current link.
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
		index:     newIndex(o.MaxIndexEntries),
		tickets:   make(map[uint64]*upstream),
	}
}

// Counters returns the totals.
func (s *State) Counters() Counters {
	c := s.counters
	c.Evicted = s.index.evicted
	return c
}

// IndexEntries returns the number of entries in the prefix index.
func (s *State) IndexEntries() int { return s.index.entries }

// Configure applies a configuration snapshot. Upstreams in both configurations
// keep their state.
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

// SetLeaving sets the function that reports which VMs are leaving. Its results
// must not change until the next call of SetLeaving; it is also called for
// upstreams that are configured later.
func (s *State) SetLeaving(leaving func(vm string) bool) {
	s.vmLeaving = leaving
	for _, u := range s.ordered {
		u.vmLeaving = leaving(u.conf.VM)
	}
}

// LinkUp handles a new link to an upstream's agent. A new incarnation drops
// the upstream's index entries, because its cache may have been lost with the
// agent.
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

// LinkDown handles the loss of a link. The sends on it no longer count as
// work.
func (s *State) LinkDown(name string) {
	if u := s.upstreams[name]; u != nil {
		u.up = false
		s.dropSends(u)
	}
}

// SetHealth sets the outlier status of an upstream.
func (s *State) SetHealth(name string, h Health) {
	if u := s.upstreams[name]; u != nil {
		u.health = h
	}
}

// Load handles a load report. Reports older than the last one or from another
// incarnation are dropped and counted.
func (s *State) Load(now time.Duration, l api.Load) {
	u := s.upstreams[l.Upstream]
	if u == nil || !u.up {
		return
	}
	if u.link.Incarnation == 0 {
		u.link.Incarnation = l.Incarnation
	}
	stale := u.reported && l.Elapsed < u.load.Elapsed
	if stale || l.Incarnation != u.link.Incarnation {
		s.counters.StaleLoads++
		return
	}
	u.load, u.reported = l, true
	u.sends.report(l.SeenOrders)
	s.applyCacheEvents(now, u, l)
}

// Done ends a choice. A ticket that is unknown because its link was lost is
// ignored.
func (s *State) Done(now time.Duration, r api.RouteResult) {
	u := s.tickets[r.Ticket]
	if u == nil {
		return
	}
	delete(s.tickets, r.Ticket)
	finished, ok := u.sends.finish(r.Ticket, r.Unsent)
	if !ok {
		return
	}
	notRun := r.Unsent || (r.Failure != nil && r.Failure.Run == api.NotRun)
	if notRun {
		s.index.retract(finished.prefix, u, r.Ticket)
		return
	}
	u.cache.updateTrust(r.Cache, finished.stale)
}

func (s *State) dropSends(u *upstream) {
	for _, e := range u.sends.open {
		delete(s.tickets, e.ticket)
	}
	u.sends = sends{}
}

// tie returns the rank of an upstream among equal candidates of one choice.
func (s *State) tie(u *upstream) uint64 {
	return hash.String(hash.Mix(s.options.Seed, s.serial), u.name)
}

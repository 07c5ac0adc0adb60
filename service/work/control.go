package work

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/coldstart"
	"github.com/mulberryfork/mulberryfork/decide/fairqueue"
	"github.com/mulberryfork/mulberryfork/decide/ledger"
	"github.com/mulberryfork/mulberryfork/decide/limit"
	"github.com/mulberryfork/mulberryfork/decide/poison"
	"github.com/mulberryfork/mulberryfork/kernel"
)

const (
	// expiryInterval is how often queued orders are checked for expired deadlines.
	expiryInterval = 100 * time.Millisecond
	// progressInterval is how often the generated tokens of running streams are
	// sampled.
	progressInterval = 500 * time.Millisecond
	// ageStep, maxPriority and advantageTokens are the priority settings of the fair
	// queue.
	ageStep         = time.Second
	maxPriority     = 9
	advantageTokens = 256
	// headroom, usageHorizon and borrowFactor are settings of the fair queue with the
	// values of the fairness experiment. headroom is multiplied by the square root of
	// the number of running requests, borrowFactor by a member's share of usage.
	// Without headroom, a flood of requests from one member raised the p95 time to
	// first token of the other members 3.9 times.
	headroom     = 0.5
	usageHorizon = 30 * time.Second
	borrowFactor = 1.5
	// maxMemberTombstones limits the tombstones of one member in the ledger.
	maxMemberTombstones = 4096
	maxJoinedAttempts   = 64
	// ledgerFullResponses limits the total size of the recorded responses: the ledger
	// has space for this many of the maximum size.
	ledgerFullResponses = 1024
	maxAttemptAge       = 30 * time.Second
	// listLag is the maximum time until a configuration change, such as one of the
	// list of upstreams, is active in all processes.
	listLag = 10 * time.Second
)

// pendingOrder is an order that waits for its grant.
type pendingOrder struct {
	order    api.Order
	call     kernel.Call[api.Order, grant]
	deadline time.Duration
	// receivedAt is when the order arrived.
	receivedAt time.Duration
}

// runningOrder is an order running on the upstream.
type runningOrder struct {
	order     api.Order
	ticket    coldstart.Ticket
	startedAt time.Duration
	isolated  bool
	// recall stops an idempotent run. It is nil for a non-idempotent run, and after
	// it was called.
	recall context.CancelCauseFunc
	// generatedTokens is updated by the traffic goroutine. sampledTokens is its value
	// at the last sample.
	generatedTokens atomic.Int64
	sampledTokens   int64
}

// control is the agent's state. The control loop owns it. Times are durations
// since the start of the agent.
type control struct {
	service   *service
	upstream  api.Upstream
	snapshot  *api.Snapshot
	draining  bool
	ledger    *ledger.Ledger
	queue     *fairqueue.Queue[*pendingOrder]
	coldStart *coldstart.State
	limit     *limit.State
	suspects  *poison.State
	isolation *poison.Isolation
	// pending holds the orders that are queued, held, waiting for isolation, or joined
	// to another attempt.
	pending map[api.AttemptID]*pendingOrder
	running map[api.AttemptID]*runningOrder
	// held holds the orders with a revision that is not active here yet, in order of
	// arrival.
	held []*pendingOrder
	// servedCost is the total cost served per member since the start of the agent.
	servedCost map[string]uint64
	// reportedServed and reportedWaiting are the served and queued costs per member
	// in the report numbered servedSeq.
	reportedServed, reportedWaiting map[string]uint64
	servedSeq                       uint64
	// crashCount counts the crashes of the upstream since the start of the agent.
	crashCount uint64
	// lastCrashAt is the time of the last crash, -1 before the first. A failed run that
	// started before it is not counted as another crash.
	lastCrashAt time.Duration
	// engineIncarnation and previousEngineIncarnation are the last two incarnations
	// of the upstream.
	engineIncarnation, previousEngineIncarnation uint64
	// cacheIncarnation is the engine incarnation of the recorded cache changes.
	cacheIncarnation uint64
	// cacheSeqBase is added to the sequence numbers of the engine. lastCacheSeq is the
	// highest sum so far.
	cacheSeqBase, lastCacheSeq uint64
	unreportedSuspicions       []api.Suspicion
	meanStepTime               time.Duration
	meanFirstToken             time.Duration
	counts                     counters
}

type counters struct {
	crashes, displaced, isolatedRuns, recalledRuns, replays, tombstones api.Counter
}

func newControl(s *service) *control {
	id := ledger.Identity{Upstream: s.settings.Upstream, Incarnation: s.incarnation}
	c := &control{
		service: s,
		ledger:  ledger.New(0, id, ledger.Limits{}),
		queue: fairqueue.New[*pendingOrder](fairqueue.Config{
			AgeStep: ageStep, MaxPriority: maxPriority, AdvantageTokens: advantageTokens,
			Headroom: headroom, UsageHorizon: usageHorizon, BorrowFactor: borrowFactor,
		}),
		coldStart:   coldstart.New(coldstart.Params{}),
		limit:       limit.New(limit.Options{}),
		suspects:    poison.New(0),
		isolation:   poison.NewIsolation(0),
		pending:     make(map[api.AttemptID]*pendingOrder),
		running:     make(map[api.AttemptID]*runningOrder),
		servedCost:  make(map[string]uint64),
		lastCrashAt: -1,
		counts: counters{
			crashes:      s.metrics.Counter("work_crashes", ""),
			displaced:    s.metrics.Counter("work_displaced", ""),
			isolatedRuns: s.metrics.Counter("work_isolated", ""),
			recalledRuns: s.metrics.Counter("work_recalled", ""),
			replays:      s.metrics.Counter("ledger_repeats", ""),
			tombstones:   s.metrics.Counter("ledger_tombstones", ""),
		},
	}
	loadGauge := func(read func(l api.Load) int64) func() int64 {
		return func() int64 { return read(s.published.Load().load) }
	}
	s.metrics.Gauge("ledger_entries", s.ledgerEntries.Load)
	s.metrics.Gauge("work_running", loadGauge(func(l api.Load) int64 { return int64(l.Running) }))
	s.metrics.Gauge("work_queued", loadGauge(func(l api.Load) int64 { return int64(l.Queued) }))
	s.metrics.Gauge("work_limit", loadGauge(func(l api.Load) int64 { return int64(l.LimitRequests) }))
	s.metrics.Gauge("work_cold", loadGauge(func(l api.Load) int64 {
		if l.Cold {
			return 1
		}
		return 0
	}))
	return c
}

// configure applies a new configuration. If the upstream no longer accepts work, the
// waiting orders are refused as not run.
func (c *control) configure(now time.Duration, snap *api.Snapshot) {
	former := c.members()
	c.snapshot = snap
	c.upstream = snap.Config.Upstreams[c.service.settings.Upstream]
	u := c.upstream
	c.coldStart.Configure(coldstart.Params{
		ColdRequests: u.ColdRequests,
		MaxRequests:  u.MaxRequests,
		MaxTokens:    u.MaxTokens,
		Gain:         u.ColdGain,
		StepBound:    strictestObjective(snap.Config, u, api.ObjectiveTokenGap),
	})
	c.limit.Configure(limit.Options{
		MaxRequests:      u.MaxRequests,
		MaxTokens:        tokenLimit(u),
		ColdRequests:     u.ColdRequests,
		StepTarget:       strictestObjective(snap.Config, u, api.ObjectiveTokenGap),
		FirstTokenTarget: strictestObjective(snap.Config, u, api.ObjectiveFirstToken),
	})
	c.configureLedger(now, snap)
	for name, m := range snap.Config.Members {
		c.queue.SetMember(name, m.Share, m.QueueRequests)
	}
	for name := range former {
		if _, ok := snap.Config.Members[name]; !ok {
			c.queue.RemoveMember(name)
			delete(c.servedCost, name)
		}
	}
	c.reevaluate(now)
}

// reevaluate refuses the waiting orders if the upstream no longer accepts work, and
// schedules them otherwise. It runs after a change of configuration or membership.
func (c *control) reevaluate(now time.Duration) {
	if f := c.checkAccepting(); f != nil {
		c.refuseWaiting(now, f)
	}
	c.schedule(now)
}

// vmLeaving reports whether the agent's or the upstream's VM is leaving according
// to the membership list or to peers.
func (c *control) vmLeaving() bool {
	m := c.service.membership
	return m != nil && (m.Leaving(c.service.settings.Node) || c.upstream.VM != "" && m.Leaving(c.upstream.VM))
}

// strictestObjective returns the lowest threshold of the objectives of a kind that
// apply to an upstream, or zero if there is none.
func strictestObjective(config *api.Config, u api.Upstream, kind api.ObjectiveKind) time.Duration {
	var strictest time.Duration
	for _, o := range config.Objectives {
		applies := u.Kind == api.UpstreamModel && (o.Model == "" || slices.Contains(u.Models, o.Model))
		if o.Kind != kind || !applies || o.Threshold <= 0 {
			continue
		}
		if t := time.Duration(o.Threshold); strictest == 0 || t < strictest {
			strictest = t
		}
	}
	return strictest
}

// tokenLimit returns the upstream's limit of tokens in flight. An upstream without
// such a limit gets one that is never reached, so that only its requests are limited.
func tokenLimit(u api.Upstream) uint64 {
	if u.MaxTokens > 0 {
		return uint64(u.MaxTokens)
	}
	return 1 << 40
}

func (c *control) configureLedger(now time.Duration, snap *api.Snapshot) {
	pool, plain := snap.Config.Pool, snap.Config.Services[c.upstream.Service]
	c.ledger.SetLimits(ledger.Limits{
		Entries:          pool.LedgerEntries,
		MemberEntries:    ledger.MemberEntries(pool.LedgerEntries),
		MemberTombstones: maxMemberTombstones,
		JoinedAttempts:   maxJoinedAttempts,
		Bytes:            pool.LedgerAnswerBytes * ledgerFullResponses,
		ResponseBytes:    pool.LedgerAnswerBytes,
		Retention:        time.Duration(pool.OutcomeRetention),
		AttemptAge:       maxAttemptAge,
		ResendWindow:     time.Duration(plain.ResendWindow),
		ListLag:          listLag,
		Deduplicates:     c.upstream.Deduplicates,
	})
	c.service.maxResponseBytes.Store(int64(pool.LedgerAnswerBytes))
	var list []string
	for name, u := range snap.Config.Upstreams {
		if u.Service != "" && u.Service == c.upstream.Service {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	c.ledger.SetList(now, list)
}

// checkAccepting returns nil if the upstream accepts new work, or the reason it does not.
func (c *control) checkAccepting() *api.Failure {
	switch {
	case c.draining:
		return api.NewFailure(api.CodeShuttingDown, api.NotRun, "the agent is shutting down")
	case c.snapshot == nil:
		return api.NewFailure(api.CodeNotReady, api.NotRun, "the agent has no configuration yet")
	case c.upstream.Zone == "":
		return api.NewFailure(api.CodeWrongUpstream, api.NotRun, "the upstream is not in the configuration")
	case c.snapshot.Config.Zones[c.upstream.Zone].State == api.ZoneOut:
		return api.NewFailure(api.CodeZoneOut, api.NotRun, "availability zone "+c.upstream.Zone+" is out of service")
	case c.upstream.Leaving || c.vmLeaving():
		return api.NewFailure(api.CodeLeaving, api.NotRun, "the upstream is leaving")
	}
	return nil
}

// checkOrder returns nil if an order may run here. It is repeated after every wait,
// since the configuration may have changed.
func (c *control) checkOrder(o api.Order) *api.Failure {
	if f := c.checkAccepting(); f != nil {
		return f
	}
	if o.Upstream != c.service.settings.Upstream {
		return api.NewFailure(api.CodeWrongUpstream, api.NotRun, "the order is for another upstream")
	}
	if o.Incarnation != 0 && o.Incarnation != c.service.incarnation {
		return api.NewFailure(api.CodeWrongIncarnation, api.NotRun, "the order is for another incarnation")
	}
	m, ok := c.snapshot.Config.Members[o.Member]
	if !ok || !permits(m.Zones, c.upstream.Zone) || !permits(m.Upstreams, o.Upstream) {
		return api.NewFailure(api.CodeForbidden, api.NotRun, "the guild member is not permitted to use this upstream")
	}
	return nil
}

// permits reports whether list contains name. An empty list permits every name.
func permits(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

// drain starts the graceful shutdown: it refuses the waiting orders and all later ones.
func (c *control) drain(now time.Duration) {
	c.draining = true
	c.refuseWaiting(now, c.checkAccepting())
	c.publish()
}

// refuseWaiting refuses all waiting orders with f, so that their routers can send them
// to other upstreams.
func (c *control) refuseWaiting(now time.Duration, f *api.Failure) {
	for _, e := range c.queue.Drain() {
		c.refuse(now, e.Value, f)
	}
	held := c.held
	c.held = nil
	for _, p := range held {
		c.refuse(now, p, f)
	}
	for id, p := range c.pending {
		if c.isolation.Queued(id) {
			c.isolation.Remove(id)
			c.refuse(now, p, f)
		}
	}
}

func random() float64 { return rand.Float64() }

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
	// expiryInterval is how often waiting orders are checked for their deadline.
	expiryInterval = 100 * time.Millisecond
	// progressInterval is how often running streams are sampled.
	progressInterval = 500 * time.Millisecond
	// ageStep, maxPriority and advantageTokens say what priorities are worth.
	ageStep         = time.Second
	maxPriority     = 9
	advantageTokens = 256
	// headroom, usageHorizon and borrowFactor are as in experiment fairness:
	// without headroom a flood raised the others' p95 time to first token 3.9
	// times.
	headroom     = 0.5
	usageHorizon = 30 * time.Second
	borrowFactor = 1.5
	// memberEntryPart and memberTombstones bound what one member may take of
	// the ledger.
	memberEntryPart  = 4
	memberTombstones = 4096
	joinedSends      = 64
	// ledgerBytesPart bounds all recorded answers to that many of the largest.
	ledgerBytesPart = 1024
	sendAge         = 30 * time.Second
	// listLag is how long a change of configuration takes to be in force
	// everywhere.
	listLag = 10 * time.Second
)

// waiter is an order that was not granted yet.
type waiter struct {
	order    api.Order
	call     kernel.Call[api.Order, grant]
	deadline time.Duration
	// received is when the order arrived.
	received time.Duration
}

// active is an order that runs.
type active struct {
	order    api.Order
	ticket   coldstart.Ticket
	started  time.Duration
	isolated bool
	// recall stops an idempotent run, nil for any other.
	recall context.CancelCauseFunc
	// generated is counted by the traffic goroutine, sampled is what the last
	// sample saw of it.
	generated atomic.Int64
	sampled   int64
}

// control is the agent's state. The control loop owns it; times are the
// agent's own elapsed time.
type control struct {
	service   *service
	upstream  api.Upstream
	snap      *api.Snapshot
	draining  bool
	ledger    *ledger.Ledger
	queue     *fairqueue.Queue[*waiter]
	cold      *coldstart.State
	limit     *limit.State
	suspects  *poison.State
	isolation *poison.Isolation
	// waiters are queued, isolated or joined to another send.
	waiters map[api.AttemptID]*waiter
	running map[api.AttemptID]*active
	// held are orders under a revision that this process does not have yet,
	// in order of arrival.
	held   []*waiter
	served map[string]uint64
	// reported and waitingCost are the last report of servedSeq.
	reported, waitingCost map[string]uint64
	servedSeq             uint64
	crashes               uint64
	// crashedAt is the time of the last crash; runs that began before it
	// failed with it.
	crashedAt time.Duration
	// engineIs and engineWas are the last two incarnations of the upstream.
	engineIs, engineWas uint64
	// cacheOf is the incarnation that the kept cache changes belong to.
	cacheOf    uint64
	unreported []api.Suspicion
	step       time.Duration
	first      time.Duration
	counts     counters
}

type counters struct {
	crashes, isolated, recalled, repeats, tombstones api.Counter
}

func newControl(s *service) *control {
	id := ledger.Identity{Upstream: s.settings.Upstream, Incarnation: s.incarnation}
	c := &control{
		service: s,
		ledger:  ledger.New(0, id, ledger.Limits{}),
		queue: fairqueue.New[*waiter](fairqueue.Config{
			AgeStep: ageStep, MaxPriority: maxPriority, AdvantageTokens: advantageTokens,
			Headroom: headroom, UsageHorizon: usageHorizon, BorrowFactor: borrowFactor,
		}),
		cold:      coldstart.New(coldstart.Params{}),
		limit:     limit.New(limit.Options{}),
		suspects:  poison.New(0),
		isolation: poison.NewIsolation(0),
		waiters:   make(map[api.AttemptID]*waiter),
		running:   make(map[api.AttemptID]*active),
		served:    make(map[string]uint64),
		crashedAt: -1,
		counts: counters{
			crashes:    s.metrics.Counter("work_crashes", ""),
			isolated:   s.metrics.Counter("work_isolated", ""),
			recalled:   s.metrics.Counter("work_recalled", ""),
			repeats:    s.metrics.Counter("ledger_repeats", ""),
			tombstones: s.metrics.Counter("ledger_tombstones", ""),
		},
	}
	published := func(read func(l api.Load) int64) func() int64 {
		return func() int64 { return read(s.report.Load().load) }
	}
	s.metrics.Gauge("ledger_entries", s.ledgerEntries.Load)
	s.metrics.Gauge("work_running", published(func(l api.Load) int64 { return int64(l.Running) }))
	s.metrics.Gauge("work_queued", published(func(l api.Load) int64 { return int64(l.Queued) }))
	s.metrics.Gauge("work_limit", published(func(l api.Load) int64 { return int64(l.LimitRequests) }))
	s.metrics.Gauge("work_cold", published(func(l api.Load) int64 {
		if l.Cold {
			return 1
		}
		return 0
	}))
	return c
}

// configure takes a new configuration. Orders that may no longer start here
// are returned as not run.
func (c *control) configure(now time.Duration, snap *api.Snapshot) {
	former := c.snapMembers()
	c.snap = snap
	c.upstream = snap.Config.Upstreams[c.service.settings.Upstream]
	u := c.upstream
	c.cold.Configure(coldstart.Params{
		ColdRequests: u.ColdRequests,
		MaxRequests:  u.MaxRequests,
		MaxTokens:    u.MaxTokens,
		Gain:         u.ColdGain,
		StepBound:    target(snap.Config, u, api.ObjectiveTokenGap),
	})
	c.limit.Configure(limit.Options{
		MaxRequests:      u.MaxRequests,
		MaxTokens:        tokenCeiling(u),
		ColdRequests:     u.ColdRequests,
		StepTarget:       target(snap.Config, u, api.ObjectiveTokenGap),
		FirstTokenTarget: target(snap.Config, u, api.ObjectiveFirstToken),
	})
	c.configureLedger(now, snap)
	for name, m := range snap.Config.Members {
		c.queue.SetMember(name, m.Share, m.QueueRequests)
	}
	for name := range former {
		if _, ok := snap.Config.Members[name]; !ok {
			c.queue.RemoveMember(name)
			delete(c.served, name)
		}
	}
	c.reconsider(now)
}

// reconsider looks again at everything that waits, after a change of what may
// start here.
func (c *control) reconsider(now time.Duration) {
	if f := c.closed(); f != nil {
		c.returnQueued(now, f)
	}
	c.pump(now)
}

// vmLeaving says whether the upstream's VM is leaving by the membership list or
// by the word of peers.
func (c *control) vmLeaving() bool {
	m := c.service.membership
	return m != nil && (m.Leaving(c.service.settings.Node) || c.upstream.VM != "" && m.Leaving(c.upstream.VM))
}

// target is the strictest objective of a kind that applies to an upstream,
// zero if there is none.
func target(config *api.Config, u api.Upstream, kind api.ObjectiveKind) time.Duration {
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

// tokenCeiling is the bound of tokens; an upstream without one is bounded in
// requests only.
func tokenCeiling(u api.Upstream) uint64 {
	if u.MaxTokens > 0 {
		return uint64(u.MaxTokens)
	}
	return 1 << 40
}

func (c *control) configureLedger(now time.Duration, snap *api.Snapshot) {
	pool, plain := snap.Config.Pool, snap.Config.Services[c.upstream.Service]
	c.ledger.SetLimits(ledger.Limits{
		Entries:          pool.LedgerEntries,
		MemberEntries:    max(pool.LedgerEntries/memberEntryPart, 1),
		MemberTombstones: memberTombstones,
		JoinedSends:      joinedSends,
		Bytes:            pool.LedgerAnswerBytes * ledgerBytesPart,
		AnswerBytes:      pool.LedgerAnswerBytes,
		Retention:        time.Duration(pool.OutcomeRetention),
		SendAge:          sendAge,
		ResendWindow:     time.Duration(plain.ResendWindow),
		ListLag:          listLag,
		Deduplicates:     c.upstream.Deduplicates,
	})
	c.service.answerBytes.Store(int64(pool.LedgerAnswerBytes))
	var list []string
	for name, u := range snap.Config.Upstreams {
		if u.Service != "" && u.Service == c.upstream.Service {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	c.ledger.SetList(now, list)
}

// closed says why the upstream takes no new work, nil if it does.
func (c *control) closed() *api.Failure {
	switch {
	case c.draining:
		return api.NewFailure(api.CodeShuttingDown, api.NotRun, "the agent is shutting down")
	case c.snap == nil:
		return api.NewFailure(api.CodeNotReady, api.NotRun, "the agent has no configuration yet")
	case c.upstream.Zone == "":
		return api.NewFailure(api.CodeWrongUpstream, api.NotRun, "the upstream is not in the configuration")
	case c.snap.Config.Zones[c.upstream.Zone].State == api.ZoneOut:
		return api.NewFailure(api.CodeZoneOut, api.NotRun, "availability zone "+c.upstream.Zone+" is out")
	case c.upstream.Leaving || c.vmLeaving():
		return api.NewFailure(api.CodeLeaving, api.NotRun, "the upstream is leaving")
	}
	return nil
}

// gate decides whether an order may start here now. It is asked again after
// every wait.
func (c *control) gate(o api.Order) *api.Failure {
	if f := c.closed(); f != nil {
		return f
	}
	if o.Upstream != c.service.settings.Upstream {
		return api.NewFailure(api.CodeWrongUpstream, api.NotRun, "the order is for another upstream")
	}
	if o.Incarnation != 0 && o.Incarnation != c.service.incarnation {
		return api.NewFailure(api.CodeWrongIncarnation, api.NotRun, "the order is for another incarnation")
	}
	m, ok := c.snap.Config.Members[o.Member]
	if !ok || !permits(m.Zones, c.upstream.Zone) || !permits(m.Upstreams, o.Upstream) {
		return api.NewFailure(api.CodeForbidden, api.NotRun, "the guild member may not use this upstream")
	}
	return nil
}

// permits treats an empty list as everything.
func permits(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

func (c *control) drain(now time.Duration) {
	c.draining = true
	c.returnQueued(now, c.closed())
	c.publish()
}

// returnQueued gives every order that waits for its start back as not run, so that its router
// can send it elsewhere.
func (c *control) returnQueued(now time.Duration, f *api.Failure) {
	for _, e := range c.queue.Drain() {
		c.refuse(now, e.Value, f)
	}
	held := c.held
	c.held = nil
	for _, w := range held {
		c.refuse(now, w, f)
	}
	for send, w := range c.waiters {
		if c.isolation.Queued(send) {
			c.isolation.Remove(send)
			c.refuse(now, w, f)
		}
	}
}

func random() float64 { return rand.Float64() }

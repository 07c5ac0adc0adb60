// Package experts keeps the expert map of a group in line with demand.
//
// A process runs beside each rank. The one beside the lowest rank that answers
// leads: it reads all ranks through the processes beside them, decides on the
// control loop, and passes orders on. A process that no lower rank has read
// from for some time leads itself. Decisions are those of decide/mapswitch and
// decide/expertplan.
package experts

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/expertplan"
	"github.com/mulberryfork/mulberryfork/decide/mapswitch"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/wire"
)

const (
	// tickInterval drives repeats of orders and readings.
	tickInterval = 20 * time.Millisecond
	// readInterval is the time between readings while nothing is under way or
	// experts are copied, stepInterval between those on which orders wait.
	readInterval = 40 * time.Millisecond
	stepInterval = 25 * time.Millisecond
	// leaderSilence is the time without a reading by a lower rank after which
	// a process leads itself, and rankSilence what each rank adds to it.
	leaderSilence = 500 * time.Millisecond
	rankSilence   = 200 * time.Millisecond
	// callTimeout bounds a call to another process or rank.
	callTimeout = 150 * time.Millisecond
	// readTimeout bounds a reading of all ranks.
	readTimeout = 200 * time.Millisecond
	// downFor is how long a process beside a rank that did not answer is passed
	// over; its rank is read directly.
	downFor = time.Second

	// countBytes is the size of one count in a message.
	countBytes = 6
	// linkPart is the part of the VM's link that readings may use.
	linkPart = 0.25
	// rankReadTime is added to readTimeout for each rank: a leader decodes its
	// answers on a part of a core.
	rankReadTime = 15 * time.Millisecond
	// rescanAfter is the time of incomplete readings after which the ranks of the
	// group are looked for among all upstreams again.
	rescanAfter = time.Second

	// staleFactor is how much worse than a new plan one must be that ranks are
	// copying, for the new one to replace it.
	staleFactor = 1.3

	readingMailbox = 4
	answerMailbox  = 256
	visitMailbox   = 64
)

type service struct {
	settings  *api.Settings
	discovery api.Discovery
	engine    api.RankEngine
	clock     kernel.Clock
	loop      *kernel.Loop
	log       api.Logger
	counts    counters
	listener  net.Listener
	cancel    context.CancelFunc
	ctx       context.Context

	readings *kernel.Mailbox[reading]
	answers  *kernel.Mailbox[answered]
	visits   *kernel.Mailbox[wire.RankRead]
	tokens   *kernel.Mailbox[uint64]
	peers    peers

	// The control loop owns the fields below.
	rank    int
	group   string
	known   bool
	visited time.Duration
	reading bool
	readAt  time.Duration
	// countedAt is the time of the last reading with counts.
	countedAt time.Duration
	// completeAt is the time of the last complete reading, addresses those of the
	// ranks that it found.
	completeAt time.Duration
	addresses  map[string]bool
	state      *mapswitch.State
	plan       *expertplan.State
	present    [][][]int
	// next is the map that is being copied.
	next    [][][]int
	version uint64
	epoch   uint64
	last    []api.RankReport
	phase   mapswitch.Phase
}

type counters struct{ changes, undone, readings, incomplete api.Counter }

// reading is one look at all ranks of the group.
type reading struct {
	began time.Duration
	ranks []api.RankState
	// complete is false if a rank is missing or they differ in epoch.
	complete bool
	own      *api.RankReport
}

type answered struct {
	send   mapswitch.Send
	answer api.RankAnswer
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.discovery, err = kernel.Lookup[api.Discovery](c, api.ServiceDiscovery); err != nil {
		return err
	}
	if s.engine, err = kernel.Lookup[api.RankEngine](c, api.ServiceRankEngine); err != nil {
		return err
	}
	if s.log, err = kernel.Lookup[api.Logger](c, api.ServiceLog); err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.clock, s.loop = c.Clock(), c.Loop()
	s.counts = counters{
		changes:    metrics.Counter("map_changes", ""),
		undone:     metrics.Counter("map_undone", ""),
		readings:   metrics.Counter("rank_readings", ""),
		incomplete: metrics.Counter("rank_readings_incomplete", ""),
	}
	s.peers.conns = make(map[string]*drpcconn.Conn)
	s.peers.down = make(map[string]time.Duration)
	s.readings = kernel.NewMailbox(s.loop, "experts.reading", readingMailbox, kernel.Wait, s.observe)
	s.answers = kernel.NewMailbox(s.loop, "experts.answer", answerMailbox, kernel.Wait, s.answered)
	s.visits = kernel.NewMailbox(s.loop, "experts.visit", visitMailbox, kernel.Drop, s.visit)
	s.tokens = kernel.NewMailbox(s.loop, "experts.token", visitMailbox, kernel.Drop, func(_ time.Duration, token uint64) {
		if s.state != nil {
			s.state.HearToken(token)
		}
	})
	s.loop.Every(tickInterval, s.tick)
	return nil
}

func (s *service) Start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.settings.Listen.Link)
	if err != nil {
		return &api.ListenError{Address: s.settings.Listen.Link, Err: err}
	}
	s.listener = listener
	s.ctx, s.cancel = context.WithCancel(context.Background())
	server := drpcserver.NewWithOptions(&wire.RankHandler{Server: s}, drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: wire.RankMessageBytes},
	}})
	go func() { _ = server.Serve(s.ctx, listener) }()
	return nil
}

// Address returns the address served.
func (s *service) Address() string { return s.listener.Addr().String() }

func (s *service) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
	}
	return nil
}

// unixMillis is the clock that fencing tokens derive from.
func unixMillis() uint64 { return uint64(time.Now().UnixMilli()) }

// tick starts a reading where one is due, and repeats orders.
func (s *service) tick(now time.Duration) {
	if s.known && !s.leads(now) {
		return
	}
	if s.state != nil {
		s.send(s.state.Tick(now, unixMillis()))
		s.notePhase()
	}
	interval := readInterval
	if s.state != nil && s.state.Phase() > mapswitch.Preparing {
		interval = stepInterval
	}
	if s.reading || now-s.readAt < interval {
		return
	}
	s.reading, s.readAt = true, now
	ask := wire.RankRead{Leader: s.rank, Group: s.group, Counts: now-s.countedAt >= s.countInterval()}
	if ask.Counts {
		s.countedAt = now
	}
	ask.Experts = s.present == nil || len(s.last) > s.rank && s.last[s.rank].Map != s.version
	var only map[string]bool
	if now-s.completeAt < rescanAfter {
		only = s.addresses
	}
	go s.read(ask, s.known, only)
}

// countInterval is the time in which the counts of all ranks fit the part of
// the link that readings may use.
func (s *service) countInterval() time.Duration {
	if s.plan == nil || s.settings.Edge.LinkMbps <= 0 {
		return 0
	}
	shape := s.plan.Shape()
	bits := float64(8 * countBytes * shape.Ranks * shape.Layers * shape.Experts)
	return time.Duration(bits / (linkPart * s.settings.Edge.LinkMbps * 1e6) * float64(time.Second))
}

// leads says whether no lower rank has read from this process lately.
func (s *service) leads(now time.Duration) bool {
	return s.rank == 0 || now-s.visited > leaderSilence+time.Duration(s.rank)*rankSilence
}

// visit notes that a leader reads from this process.
func (s *service) visit(now time.Duration, r wire.RankRead) {
	if s.known && r.Group == s.group && r.Leader < s.rank {
		s.visited = now
		// A former leader that is replaced starts anew when it leads again.
		s.state, s.present = nil, nil
	}
	if s.state != nil {
		s.state.HearToken(r.Token)
	}
}

func (s *service) observe(now time.Duration, r reading) {
	s.reading = false
	s.counts.readings.Add(1)
	if r.own != nil {
		if !s.known || s.group != r.own.Group || s.rank != r.own.Rank {
			s.rank, s.group, s.known = r.own.Rank, r.own.Group, true
			s.visited = now
			s.state, s.plan, s.present = nil, nil, nil
			s.log.Change("rank known", api.Fields{"group": s.group, "rank": s.rank, "epoch": r.own.Epoch})
		}
	}
	if !s.known || !s.leads(now) {
		return
	}
	if r.complete {
		s.noteMembers(now, r.ranks)
	} else {
		s.counts.incomplete.Add(1)
	}
	if len(r.ranks) == 0 {
		return
	}
	s.adopt(now, r)
	s.send(s.state.Observe(now, r.began, unixMillis(), s.last))
	s.notePhase()
	s.propose(now)
}

// noteMembers remembers where the ranks of the group are.
func (s *service) noteMembers(now time.Duration, ranks []api.RankState) {
	s.completeAt = now
	s.addresses = make(map[string]bool, len(ranks))
	for _, r := range ranks {
		s.addresses[r.Report.Address] = true
	}
}

// adopt takes a complete reading as the present state of the group.
func (s *service) adopt(now time.Duration, r reading) {
	if s.state == nil {
		s.state = mapswitch.New(s.rank)
		s.log.Change("leading", api.Fields{"group": s.group, "rank": s.rank, "epoch": r.own.Epoch})
	}
	s.last = make([]api.RankReport, len(r.ranks))
	own := r.ranks[s.rank].Report
	counts := make([][]uint64, len(r.ranks))
	counted := false
	lists := make([][][]int, len(r.ranks))
	for i, rank := range r.ranks {
		s.last[i], counts[i], lists[i] = rank.Report, rank.Counts, rank.Experts
		counted = counted || len(rank.Counts) > 0
		s.state.HearToken(rank.Token)
	}
	epoch := own.Epoch
	if epoch != s.epoch {
		s.epoch, s.present = epoch, nil
	}
	s.learnMap(lists)
	profile := s.profile()
	if profile == nil {
		return
	}
	if s.plan == nil {
		s.plan = expertplan.New(len(s.last), *profile)
	}
	if counted {
		s.plan.Observe(now, epoch, counts)
	}
}

// profile returns that of the engine beside this process.
func (s *service) profile() *api.EngineProfile {
	table := s.discovery.View().Table
	if table == nil {
		return nil
	}
	p := table.Services[s.settings.Edge.Service].Engine
	if p == nil || p.Experts == 0 {
		return nil
	}
	return p
}

// learnMap takes the map in use, by layer and rank, if all ranks told theirs.
func (s *service) learnMap(lists [][][]int) {
	version := s.last[s.rank].Map
	for i, r := range s.last {
		if r.Size == 0 || r.Map != version || len(lists[i]) == 0 || len(lists[i]) != len(lists[0]) {
			return
		}
	}
	s.present = make([][][]int, len(lists[0]))
	for l := range s.present {
		for r := range lists {
			s.present[l] = append(s.present[l], lists[r][l])
		}
	}
	s.version = version
}

// propose begins a change if one is worth it.
func (s *service) propose(now time.Duration) {
	if s.plan == nil || s.present == nil || !s.state.Ready() || s.last[s.rank].Map != s.version {
		return
	}
	p, ok := s.plan.Plan(s.present)
	if !ok {
		return
	}
	if s.state.Phase() == mapswitch.Preparing && s.plan.Imbalance(s.next) < staleFactor*p.After {
		return
	}
	s.next = p.Map
	sends := s.state.Begin(now, unixMillis(), p.Map)
	s.counts.changes.Add(1)
	s.log.Change("map proposed", api.Fields{"group": s.group, "epoch": s.epoch, "version": s.state.Version(),
		"imbalance": p.Before, "imbalance_after": p.After, "copies": p.Copies})
	s.send(sends)
	s.notePhase()
}

// notePhase logs the progress of a change.
func (s *service) notePhase() {
	phase := s.state.Phase()
	if phase == s.phase {
		return
	}
	if phase == mapswitch.Fencing {
		s.counts.undone.Add(1)
	}
	s.log.Change("map phase", api.Fields{
		"group": s.group, "epoch": s.epoch, "version": s.state.Version(),
		"from": s.phase.String(), "to": phase.String(),
	})
	s.phase = phase
}

func (s *service) answered(now time.Duration, a answered) {
	if s.state == nil {
		return
	}
	if a.answer != api.RankDone {
		s.log.Change("order not done", api.Fields{
			"rank": a.send.Rank, "op": a.send.Order.Op, "answer": a.answer, "token": a.send.Order.Token,
			"version": a.send.Order.Version, "step": a.send.Order.Step, "phase": s.state.Phase().String(),
		})
	}
	s.send(s.state.Answered(now, unixMillis(), a.send, a.answer))
	s.notePhase()
}

func (s *service) send(sends []mapswitch.Send) {
	for _, one := range sends {
		address := s.last[one.Rank].Address
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
			defer cancel()
			answer := s.order(ctx, address, one.Order)
			_ = s.answers.Post(s.ctx, answered{send: one, answer: answer})
		}()
	}
}

// ReadRank answers a leader with the state of the rank beside this process.
func (s *service) ReadRank(ctx context.Context, r wire.RankRead) (api.RankState, error) {
	_ = s.visits.Post(ctx, r)
	return s.local(ctx, r)
}

// OrderRank carries out the order of a leader at the rank beside this process.
func (s *service) OrderRank(ctx context.Context, o api.RankOrder) (wire.RankAnswered, error) {
	s.peers.heard(o.Token)
	answer, err := s.engine.OrderRank(ctx, s.settings.Edge.Worker, o)
	return wire.RankAnswered{Answer: answer}, err
}

func (s *service) local(ctx context.Context, r wire.RankRead) (api.RankState, error) {
	report, err := s.engine.ReadRank(ctx, s.settings.Edge.Worker)
	if err != nil {
		return api.RankState{}, err
	}
	out := api.RankState{Report: report, Token: s.peers.token()}
	if r.Counts {
		if out.Counts, err = s.engine.ReadCounts(ctx, s.settings.Edge.Worker); err != nil {
			return out, err
		}
	}
	if r.Experts {
		if out.Experts, err = s.engine.ReadExperts(ctx, s.settings.Edge.Worker); err != nil {
			return out, err
		}
	}
	return out, nil
}

// read looks at the own rank and, where this process leads, at all others.
// Only, if not nil, names the upstreams that are worth a look.
func (s *service) read(ask wire.RankRead, all bool, only map[string]bool) {
	r := reading{began: s.clock.Now()}
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout+time.Duration(len(only))*rankReadTime)
	defer cancel()
	defer func() { _ = s.readings.Post(s.ctx, r) }()
	own, err := s.local(ctx, ask)
	if err != nil {
		return
	}
	r.own = &own.Report
	if !all {
		return
	}
	ask.Token = own.Token
	found := s.readOthers(ctx, ask, only)
	found = append(found, own)
	r.ranks, r.complete = assemble(found, own.Report)
}

// assemble orders the ranks of a group. It is complete if each rank is there
// once, in the epoch of the own one.
func assemble(found []api.RankState, own api.RankReport) ([]api.RankState, bool) {
	ranks := make([]api.RankState, own.Size)
	n := 0
	for _, f := range found {
		r := f.Report
		if r.Group != own.Group || r.Epoch != own.Epoch || r.Rank < 0 || r.Rank >= own.Size || ranks[r.Rank].Report.Size > 0 {
			continue
		}
		ranks[r.Rank] = f
		n++
	}
	return ranks, n == own.Size
}

func (s *service) readOthers(ctx context.Context, ask wire.RankRead, only map[string]bool) []api.RankState {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var found []api.RankState
	for _, in := range s.discovery.View().Instances {
		if in.Service != s.settings.Edge.Service || in.Address == s.settings.Edge.Worker || only != nil && !only[in.Address] {
			continue
		}
		wait.Go(func() {
			state, err := s.remote(ctx, in.Address, ask)
			if err != nil {
				s.log.Decision("rank not read", api.DecisionRoutine, api.Fields{"upstream": in.Address, "error": err.Error()})
				return
			}
			state.Report.Address = in.Address
			mu.Lock()
			defer mu.Unlock()
			found = append(found, state)
		})
	}
	wait.Wait()
	return found
}

// beside returns the address of the process beside an upstream: all listen on
// the same port.
func (s *service) beside(upstream string) string {
	at, err := netip.ParseAddrPort(upstream)
	own, ownErr := netip.ParseAddrPort(s.settings.Listen.Link)
	if err != nil || ownErr != nil {
		return ""
	}
	return net.JoinHostPort(at.Addr().String(), strconv.Itoa(int(own.Port())))
}

// remote reads a rank through the process beside it, or directly, without
// counts, if that does not answer.
func (s *service) remote(ctx context.Context, upstream string, ask wire.RankRead) (api.RankState, error) {
	var state api.RankState
	err := s.peers.call(ctx, s.clock.Now(), s.beside(upstream), func(ctx context.Context, c *drpcconn.Conn) (err error) {
		state, err = wire.ReadRank(ctx, c, ask)
		return err
	})
	if err == nil {
		return state, nil
	}
	if s.peers.isDown(s.clock.Now(), upstream) {
		return api.RankState{}, &DownError{Address: upstream}
	}
	report, err := s.engine.ReadRank(ctx, upstream)
	if err != nil {
		s.peers.fail(s.clock.Now(), upstream)
		return api.RankState{}, err
	}
	return api.RankState{Report: report}, nil
}

// order gives an order. The one to prepare, which is large, goes through the
// process beside the rank. The others go to the rank directly: a process that
// stands still with an order in hand would leave its rank in doubt.
func (s *service) order(ctx context.Context, upstream string, o api.RankOrder) api.RankAnswer {
	s.peers.heard(o.Token)
	if upstream == s.settings.Edge.Worker || o.Op != api.RankPrepare {
		return s.direct(ctx, upstream, o)
	}
	answer := api.RankNoAnswer
	err := s.peers.call(ctx, s.clock.Now(), s.beside(upstream), func(ctx context.Context, c *drpcconn.Conn) (err error) {
		answer, err = wire.OrderRank(ctx, c, o)
		return err
	})
	if err == nil {
		return answer
	}
	return s.direct(ctx, upstream, o)
}

func (s *service) direct(ctx context.Context, upstream string, o api.RankOrder) api.RankAnswer {
	answer, err := s.engine.OrderRank(ctx, upstream, o)
	if err != nil {
		s.log.Change("order without answer", api.Fields{"upstream": upstream, "op": o.Op, "token": o.Token, "error": err.Error()})
	}
	return answer
}

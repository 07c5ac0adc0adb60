// Package experts adapts the expert map of an expert-parallel group to demand.
//
// A process with this service runs on the VM of each rank. The process of the
// lowest reachable rank is the leader: it polls all ranks through their processes,
// plans map changes on the control loop and sends orders to the ranks. A process
// that no lower rank has polled within its leader timeout becomes the leader.
// Packages decide/mapswitch and decide/expertplan make the decisions.
package experts

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/expertplan"
	"github.com/mulberryfork/mulberryfork/decide/mapswitch"
	"github.com/mulberryfork/mulberryfork/decide/rankpacing"
	"github.com/mulberryfork/mulberryfork/decide/rankview"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/wire"
)

const (
	// tickInterval is how often the service checks whether a poll is due or an order
	// must be resent.
	tickInterval = 20 * time.Millisecond
	// leaderTimeoutPerRank is added to the leader timeout for each rank above the first
	// successor, so that lower ranks take over first.
	leaderTimeoutPerRank = 200 * time.Millisecond
	// dialTimeout bounds the dial of another process.
	dialTimeout = 75 * time.Millisecond
	// downRetryDelay is the time for which a process is not read after failed calls.
	// Its rank is read directly instead.
	downRetryDelay = time.Second
	// reportMaxReads is the number of read intervals for which a report of a rank is
	// used, and minReportAge the least such time.
	reportMaxReads = 4
	minReportAge   = 300 * time.Millisecond
	// rescanAfter is the time without a complete snapshot after which the leader polls
	// the upstreams of other groups again, to find missing ranks. New upstreams are
	// always polled.
	rescanAfter = 3 * time.Second
	// failureLogInterval is the time between log lines on orders without confirmation.
	// One line counts all since the last.
	failureLogInterval = time.Second
	// localFailureLogInterval is the time between log lines on failed reads of the local
	// rank. One line counts all since the last.
	localFailureLogInterval = 10 * time.Second

	pollMailboxSize        = 4
	orderResultMailboxSize = 1024
	leaderReadMailboxSize  = 64
)

type service struct {
	// connections is nil in a process that does not bound its connections.
	connections api.Connections
	settings    *api.Settings
	discovery   api.Discovery
	engine      api.RankEngine
	clock       kernel.Clock
	loop        *kernel.Loop
	log         api.Logger
	counters    counters
	listener    net.Listener
	cancel      context.CancelFunc
	ctx         context.Context

	pollResults  *kernel.Mailbox[pollResult]
	orderResults *kernel.Mailbox[orderResult]
	leaderReads  *kernel.Mailbox[wire.RankReadRequest]
	peers        peers
	reader       *reader
	maps         mapCache
	board        loadBoard
	countEncoder countEncoder
	countDecoder countDecoder

	// The control loop owns the fields below.
	rank      int
	group     string
	rankKnown bool
	// leaderReadAt is the time of the last poll by a lower rank.
	leaderReadAt time.Duration
	polling      bool
	lastPollAt   time.Duration
	// lastCountsAt is the time of the last poll that requested counts.
	lastCountsAt time.Duration
	// lastCompleteAt is the time of the last complete snapshot or of the last rescan.
	lastCompleteAt time.Duration
	// otherGroupAddresses holds the addresses of upstreams of other groups.
	otherGroupAddresses map[string]bool
	state               *mapswitch.State
	planner             *expertplan.State
	view                *rankview.State
	passes              rankview.PassMeter
	stalls              rankview.StallMeter
	// stalled is set while the group makes no passes although requests run.
	stalled bool
	// passTime is the time of a forward pass, 0 if it is unknown.
	passTime time.Duration
	// pause is the shortest accepted pause by pauseTable.
	pauseTable *api.RouteTable
	pause      time.Duration
	// pacing holds the timeouts and intervals for the size of the group.
	pacing rankpacing.Group
	// current is the map in use. Its experts are nil if they are not known.
	current knownMap
	// next is the map of the last proposed change, preparing its plan, and delta its
	// difference from the current one.
	next        knownMap
	preparing   expertplan.Change
	delta       mapDelta
	epoch       uint64
	lastReports []api.RankReport
	// lastAsOf is the time from which on lastReports were true.
	lastAsOf    time.Duration
	loggedPhase mapswitch.Phase
	failures    orderFailures
	// localFailures are those of reads of the local rank.
	localFailures localFailures
	// groupLoggedAt is the time of the last log line on the load of the group.
	groupLoggedAt time.Duration
}

type counters struct{ changes, copies, shifts, rolledBack, polls, incompletePolls, stalls api.Counter }

// pollResult is the result of one poll of all ranks of the group.
type pollResult struct {
	startedAt time.Duration
	// local is nil if the local rank did not respond. localErr is the error then.
	local    *api.RankState
	localErr error
	// readings holds the responses that arrived during the poll, also to reads that
	// an earlier poll started.
	readings []reading
	// counts is true if the poll requested counts.
	counts bool
}

// reading is the response of one rank.
type reading struct {
	startedAt time.Duration
	state     api.RankState
}

type orderResult struct {
	outgoing mapswitch.OutgoingOrder
	result   api.RankResult
	// err is the error of the call, if any.
	err error
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
	if s.connections, _, err = kernel.LookupOptional[api.Connections](c, api.ServiceConnections); err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.clock, s.loop = c.Clock(), c.Loop()
	// The loop runs before Start is called, and polls need the context.
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.counters = counters{
		changes:         metrics.Counter("map_changes", ""),
		copies:          metrics.Counter("map_copies", ""),
		shifts:          metrics.Counter("demand_shifts", ""),
		rolledBack:      metrics.Counter("map_undone", ""),
		polls:           metrics.Counter("rank_readings", ""),
		incompletePolls: metrics.Counter("rank_readings_incomplete", ""),
		stalls:          metrics.Counter("group_stalls", ""),
	}
	s.otherGroupAddresses = make(map[string]bool)
	s.peers.conns = make(map[string][]*drpcconn.Conn)
	s.peers.failures = make(map[string]callFailures)
	s.reader = newReader(s.clock, s.log, s.readRemote)
	s.view = rankview.New()
	s.pacing = s.groupPacing(0)
	s.pollResults = kernel.NewMailbox(s.loop, "experts.reading", pollMailboxSize, kernel.Wait, s.handlePoll)
	s.orderResults = kernel.NewMailbox(s.loop, "experts.answer", orderResultMailboxSize, kernel.Wait, s.handleOrderResult)
	s.leaderReads = kernel.NewMailbox(s.loop, "experts.visit", leaderReadMailboxSize, kernel.Drop, s.handleLeaderRead)
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
	if s.connections != nil {
		listener = s.connections.Guard(listener, api.GuardOptions{Name: "link", Main: true})
	}
	go func() {
		_ = wire.ServePlaintext(s.ctx, listener, &wire.RankHandler{Server: s}, wire.MaxRankMessageBytes)
	}()
	return nil
}

// Address returns the listen address.
func (s *service) Address() string { return s.listener.Addr().String() }

func (s *service) Stop(context.Context) error {
	s.cancel()
	if s.listener == nil {
		return nil
	}
	// The server closes its listener only some time after the context is canceled,
	// and the next process listens on the same address.
	_ = s.listener.Close()
	return nil
}

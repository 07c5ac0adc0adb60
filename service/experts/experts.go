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
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/wire"
)

const (
	// tickInterval is how often the service checks whether a poll is due or an order
	// must be resent.
	tickInterval = 20 * time.Millisecond
	// pollInterval is the time between polls while no map change is in progress, or
	// while ranks are still copying experts for one. changePollInterval is the time
	// between polls in the later phases of a change, in which the next orders wait
	// for a poll.
	pollInterval       = 40 * time.Millisecond
	changePollInterval = 25 * time.Millisecond
	// leaderTimeout is the time without a poll by a lower rank after which a
	// process becomes the leader. Each rank adds leaderTimeoutPerRank, so that lower
	// ranks take over first.
	leaderTimeout        = 500 * time.Millisecond
	leaderTimeoutPerRank = 200 * time.Millisecond
	// callTimeout bounds an order sent to another process or rank.
	callTimeout = 150 * time.Millisecond
	// localOrderTimeout bounds the execution of a leader's order at the local rank.
	// It must be below peerTimeFraction*callTimeout, after which the leader no longer
	// waits for this process.
	localOrderTimeout = 60 * time.Millisecond
	// readTimeout bounds the read of a rank.
	readTimeout = 200 * time.Millisecond
	// maxConcurrentReads bounds the ranks read at the same time. It is the size of
	// the largest groups.
	maxConcurrentReads = 24
	// downRetryDelay is the time for which a process is not called after a failed
	// call. Its rank is read directly instead.
	downRetryDelay = time.Second

	// bytesPerCount is the mean encoded size of one count. Most deltas are below 128
	// and take one byte.
	bytesPerCount = 1.1
	// maxLinkFraction is the fraction of the VM's bandwidth that counts may use.
	maxLinkFraction = 0.25
	// readTimeoutPerRank is added to readTimeout for each concurrent read, because
	// the leader decodes all responses on a fraction of a core.
	readTimeoutPerRank = 4 * time.Millisecond
	// rescanAfter is the time without a complete poll after which the leader polls
	// the upstreams of other groups again, to find missing ranks. New upstreams are
	// always polled.
	rescanAfter = 3 * time.Second

	// replacementFactor is the factor by which the imbalance of the map that ranks
	// are copying must exceed that of a new plan for the new plan to replace it.
	replacementFactor = 1.3

	pollMailboxSize        = 4
	orderResultMailboxSize = 256
	leaderReadMailboxSize  = 64
)

type service struct {
	settings  *api.Settings
	discovery api.Discovery
	engine    api.RankEngine
	clock     kernel.Clock
	loop      *kernel.Loop
	log       api.Logger
	counters  counters
	listener  net.Listener
	cancel    context.CancelFunc
	ctx       context.Context

	pollResults  *kernel.Mailbox[pollResult]
	orderResults *kernel.Mailbox[orderResult]
	leaderReads  *kernel.Mailbox[wire.RankReadRequest]
	peers        peers
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
	// lastCompleteAt is the time of the last complete poll or of the last rescan.
	lastCompleteAt time.Duration
	// otherGroupAddresses holds the addresses of upstreams of other groups.
	otherGroupAddresses map[string]bool
	state               *mapswitch.State
	planner             *expertplan.State
	// currentMap holds the experts by layer and rank, nil if they are not known.
	currentMap [][][]int
	// nextMap is the map of the last proposed change.
	nextMap        [][][]int
	currentVersion uint64
	epoch          uint64
	lastReports    []api.RankReport
	loggedPhase    mapswitch.Phase
}

type counters struct{ changes, rolledBack, polls, incompletePolls api.Counter }

// pollResult is the result of one poll of all ranks of the group.
type pollResult struct {
	startedAt time.Duration
	ranks     []api.RankState
	// complete is false if a rank is missing or is in another epoch.
	complete bool
	local    *api.RankReport
	// otherGroupAddresses holds the addresses of ranks of other groups.
	otherGroupAddresses []string
}

type orderResult struct {
	outgoing mapswitch.OutgoingOrder
	result   api.RankResult
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
	s.counters = counters{
		changes:         metrics.Counter("map_changes", ""),
		rolledBack:      metrics.Counter("map_undone", ""),
		polls:           metrics.Counter("rank_readings", ""),
		incompletePolls: metrics.Counter("rank_readings_incomplete", ""),
	}
	s.otherGroupAddresses = make(map[string]bool)
	s.peers.conns = make(map[string]*drpcconn.Conn)
	s.peers.down = make(map[string]time.Duration)
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
	s.ctx, s.cancel = context.WithCancel(context.Background())
	go func() {
		_ = wire.ServePlaintext(s.ctx, listener, &wire.RankHandler{Server: s}, wire.MaxRankMessageBytes)
	}()
	return nil
}

// Address returns the listen address.
func (s *service) Address() string { return s.listener.Addr().String() }

func (s *service) Stop(context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	// The server closes its listener only some time after the context is canceled,
	// and the next process listens on the same address.
	_ = s.listener.Close()
	return nil
}

func (s *service) handleOrderResult(now time.Duration, r orderResult) {
	if s.state == nil {
		return
	}
	if r.result != api.RankDone {
		s.log.Change("order not confirmed", api.Fields{
			"rank": r.outgoing.Rank, "op": r.outgoing.Order.Op, "answer": r.result, "token": r.outgoing.Order.Token,
			"version": r.outgoing.Order.MapVersion, "step": r.outgoing.Order.Step, "phase": s.state.Phase().String(),
		})
	}
	s.sendOrders(s.state.HandleResult(now, unixMillis(), r.outgoing, r.result))
	s.logPhase()
}

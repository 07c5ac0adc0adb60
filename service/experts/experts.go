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
	"time"

	"storj.io/drpc/drpcconn"

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
	// besideTimeout bounds an order to the rank beside this process. It is below
	// the part of callTimeout that the process beside a rank gets.
	besideTimeout = 60 * time.Millisecond
	// readTimeout bounds the reading of a rank.
	readTimeout = 200 * time.Millisecond
	// readAtOnce bounds the ranks that are read at once. It is the size of the
	// largest groups.
	readAtOnce = 24
	// downFor is how long a process beside a rank that did not answer is passed
	// over; its rank is read directly.
	downFor = time.Second

	// countBytes is the size of one count in a message: what was added since the
	// last reading, most of it below 128.
	countBytes = 1.1
	// linkPart is the part of the VM's link that readings may use.
	linkPart = 0.25
	// rankReadTime is added to readTimeout for each rank read at once: a leader
	// decodes its answers on a part of a core.
	rankReadTime = 4 * time.Millisecond
	// rescanAfter is the time of incomplete readings after which the ranks of the
	// group are looked for among all upstreams again. A new upstream is looked at
	// in any case.
	rescanAfter = 3 * time.Second

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
	visits   *kernel.Mailbox[wire.RankReadRequest]
	peers    peers
	told     told
	heard    heard

	// The control loop owns the fields below.
	rank    int
	group   string
	known   bool
	visited time.Duration
	reading bool
	readAt  time.Duration
	// countedAt is the time of the last reading with counts.
	countedAt time.Duration
	// completeAt is the time of the last complete reading, or of the last look at
	// all upstreams since; elsewhere are the addresses of those of other groups.
	completeAt time.Duration
	elsewhere  map[string]bool
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
	// elsewhere are the addresses of ranks of other groups.
	elsewhere []string
}

type answered struct {
	send   mapswitch.OutgoingOrder
	answer api.RankResult
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
	s.elsewhere = make(map[string]bool)
	s.peers.conns = make(map[string]*drpcconn.Conn)
	s.peers.down = make(map[string]time.Duration)
	s.readings = kernel.NewMailbox(s.loop, "experts.reading", readingMailbox, kernel.Wait, s.observe)
	s.answers = kernel.NewMailbox(s.loop, "experts.answer", answerMailbox, kernel.Wait, s.answered)
	s.visits = kernel.NewMailbox(s.loop, "experts.visit", visitMailbox, kernel.Drop, s.visit)
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

// Address returns the address served.
func (s *service) Address() string { return s.listener.Addr().String() }

func (s *service) Stop(context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	// The server closes its listener later than it is told to stop, and the
	// process that follows listens on the same address.
	_ = s.listener.Close()
	return nil
}

func (s *service) answered(now time.Duration, a answered) {
	if s.state == nil {
		return
	}
	if a.answer != api.RankDone {
		s.log.Change("order not done", api.Fields{
			"rank": a.send.Rank, "op": a.send.Order.Op, "answer": a.answer, "token": a.send.Order.Token,
			"version": a.send.Order.MapVersion, "step": a.send.Order.Step, "phase": s.state.Phase().String(),
		})
	}
	s.send(s.state.HandleAnswer(now, unixMillis(), a.send, a.answer))
	s.notePhase()
}

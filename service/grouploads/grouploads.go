// Package grouploads reads the loads of groups for an edge, from the processes beside
// their ranks. Package decide/groupwatch decides which processes it asks.
package grouploads

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"storj.io/drpc/drpcconn"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/groupwatch"
	"github.com/mulberryfork/mulberryfork/kernel"
	"github.com/mulberryfork/mulberryfork/wire"
)

const (
	tickInterval = 20 * time.Millisecond
	// callTimeout bounds a call including the dial.
	callTimeout = 300 * time.Millisecond

	answerMailboxSize = 64
)

type service struct {
	settings  *api.Settings
	discovery api.Discovery
	clock     kernel.Clock
	log       api.Logger
	calls     api.Counter
	failures  api.Counter
	answers   *kernel.Mailbox[answer]
	ctx       context.Context
	cancel    context.CancelFunc

	mu    sync.Mutex
	conns map[string]*drpcconn.Conn

	// The control loop owns the fields below.
	state       *groupwatch.State
	epochs      map[string]uint64
	subscribers []func(time.Duration, api.GroupLoad)
}

// answer is the answer of the process beside an engine, or the error of the call.
type answer struct {
	asked   string
	reply   wire.RankLoadReply
	askedAt time.Duration
	err     error
}

func (s *service) Provision(c *kernel.Context) (err error) {
	if s.settings, err = kernel.Value[*api.Settings](c); err != nil {
		return err
	}
	if s.discovery, err = kernel.Lookup[api.Discovery](c, api.ServiceDiscovery); err != nil {
		return err
	}
	if s.log, err = kernel.Lookup[api.Logger](c, api.ServiceLog); err != nil {
		return err
	}
	metrics, err := kernel.Lookup[api.Metrics](c, api.ServiceMetrics)
	if err != nil {
		return err
	}
	s.clock = c.Clock()
	s.calls = metrics.Counter("group_load_calls", "")
	s.failures = metrics.Counter("group_load_failures", "")
	s.conns = make(map[string]*drpcconn.Conn)
	s.epochs = make(map[string]uint64)
	s.state = groupwatch.New(s.settings.Node, xxhash.Sum64String(s.settings.Node))
	s.answers = kernel.NewMailbox(c.Loop(), "grouploads.answer", answerMailboxSize, kernel.Wait, s.handleAnswer)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if s.settings.Edge.SidePort > 0 {
		s.discovery.Subscribe(s.configure)
		c.Loop().Every(tickInterval, s.tick)
	}
	return nil
}

// Subscribe adds a function that is called on the control loop for each load.
func (s *service) Subscribe(f func(time.Duration, api.GroupLoad)) {
	s.subscribers = append(s.subscribers, f)
}

func (s *service) Stop(context.Context) error {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, conn := range s.conns {
		_ = conn.Close()
		delete(s.conns, address)
	}
	return nil
}

func (s *service) configure(_ time.Duration, v *api.View) {
	var addresses []string
	for _, in := range v.Instances {
		if v.Table == nil {
			break
		}
		if p := v.Table.Services[in.Service].Engine; p != nil && p.Experts > 0 {
			addresses = append(addresses, in.Address)
		}
	}
	s.state.Configure(addresses)
}

func (s *service) tick(now time.Duration) {
	for _, address := range s.state.Due(now) {
		s.calls.Add(1)
		go s.ask(now, address)
	}
}

func (s *service) ask(now time.Duration, engine string) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	reply, err := s.call(ctx, engine)
	_ = s.answers.Post(s.ctx, answer{asked: engine, reply: reply, askedAt: now, err: err})
}

// call asks the process on the VM of an engine.
func (s *service) call(ctx context.Context, engine string) (wire.RankLoadReply, error) {
	remote, err := netip.ParseAddrPort(engine)
	if err != nil {
		return wire.RankLoadReply{}, err
	}
	address := net.JoinHostPort(remote.Addr().String(), strconv.Itoa(s.settings.Edge.SidePort))
	s.mu.Lock()
	conn := s.conns[address]
	delete(s.conns, address)
	s.mu.Unlock()
	if conn == nil {
		if conn, err = wire.DialPlaintext(ctx, address, callTimeout, wire.MaxRankMessageBytes); err != nil {
			return wire.RankLoadReply{}, err
		}
	}
	reply, err := wire.ReadLoad(ctx, conn)
	if err != nil {
		_ = conn.Close()
		return reply, err
	}
	s.keep(address, conn)
	return reply, nil
}

// keep keeps a connection for the next call. An idle connection to a process that is no
// longer asked stays open until that process ends; there are few of them.
func (s *service) keep(address string, conn *drpcconn.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[address] != nil || s.ctx.Err() != nil {
		_ = conn.Close()
		return
	}
	s.conns[address] = conn
}

func (s *service) handleAnswer(now time.Duration, a answer) {
	if a.err != nil {
		s.failures.Add(1)
		s.log.Decision("group load not read", api.DecisionRoutine, api.Fields{"upstream": a.asked, "error": a.err.Error()})
		s.state.Fail(a.asked)
		return
	}
	found := s.state.Handle(now, a.asked, groupwatch.Answer{
		Load: a.reply.Load, Age: time.Duration(a.reply.AgeMs) * time.Millisecond, Referral: a.reply.Referral, Publishers: a.reply.Publishers,
	})
	if !found {
		return
	}
	load := a.reply.Load
	// The request was answered after askedAt, so the load is at most this old.
	load.ReadAt = a.askedAt - time.Duration(a.reply.AgeMs)*time.Millisecond
	if epoch, known := s.epochs[load.Group]; !known || epoch != load.Epoch {
		s.epochs[load.Group] = load.Epoch
		s.log.Change("group found", api.Fields{"group": load.Group, "epoch": load.Epoch, "ranks": len(load.Ranks), "age_ms": a.reply.AgeMs})
	}
	for _, f := range s.subscribers {
		f(now, load)
	}
}

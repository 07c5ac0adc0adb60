package experts

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/wire"
)

// ReadRank answers a leader with the state of the rank beside this process.
func (s *service) ReadRank(ctx context.Context, r wire.RankReadRequest) (wire.RankReadReply, error) {
	_ = s.visits.Post(ctx, r)
	state, err := s.local(ctx, r)
	reply := wire.RankReadReply{State: state}
	if err == nil && r.Counts {
		s.told.fill(&reply, state.Counts, r.Since, uint64(time.Now().UnixMicro()))
	}
	return reply, err
}

// OrderRank carries out the order of a leader at the rank beside this process.
// An order that the rank does not answer is no failure of this process, which
// the leader would pass over then.
func (s *service) OrderRank(ctx context.Context, o api.RankOrder) (wire.RankOrderReply, error) {
	s.peers.heard(o.Token)
	ctx, cancel := context.WithTimeout(ctx, besideTimeout)
	defer cancel()
	return wire.RankOrderReply{Result: s.direct(ctx, s.settings.Edge.LocalUpstream, o)}, nil
}

func (s *service) local(ctx context.Context, r wire.RankReadRequest) (api.RankState, error) {
	report, err := s.engine.ReadRank(ctx, s.settings.Edge.LocalUpstream)
	if err != nil {
		return api.RankState{}, err
	}
	out := api.RankState{Report: report, Token: s.peers.token()}
	if r.Counts {
		if out.Counts, err = s.engine.ReadCounts(ctx, s.settings.Edge.LocalUpstream); err != nil {
			return out, err
		}
	}
	if r.Experts {
		if out.Experts, err = s.engine.ReadExperts(ctx, s.settings.Edge.LocalUpstream); err != nil {
			return out, err
		}
	}
	return out, nil
}

// read looks at the own rank and, where this process leads, at the others.
func (s *service) read(ask wire.RankReadRequest, all bool, others []string) {
	r := reading{began: s.clock.Now()}
	defer func() { _ = s.readings.Post(s.ctx, r) }()
	timeout := readTimeout + time.Duration(min(len(others), readAtOnce))*rankReadTime
	own, err := s.timed(timeout, func(ctx context.Context) (api.RankState, error) { return s.local(ctx, ask) })
	if err != nil {
		return
	}
	r.own = &own.Report
	if !all {
		return
	}
	ask.Token = own.Token
	found := s.readOthers(others, timeout, ask)
	for _, f := range found {
		if f.Report.Group != own.Report.Group {
			r.elsewhere = append(r.elsewhere, f.Report.Address)
		}
	}
	r.ranks, r.complete = assemble(append(found, own), own.Report)
}

func (s *service) timed(timeout time.Duration, f func(context.Context) (api.RankState, error)) (api.RankState, error) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	return f(ctx)
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

// others returns the addresses of the upstreams that may be other ranks.
func (s *service) others() []string {
	var others []string
	for _, in := range s.discovery.View().Instances {
		if in.Service == s.settings.Edge.LocalService && in.Address != s.settings.Edge.LocalUpstream && !s.elsewhere[in.Address] {
			others = append(others, in.Address)
		}
	}
	return others
}

// readOthers reads ranks, each within the timeout from the beginning of its own
// call: a look at all upstreams opens more connections than fit into one.
func (s *service) readOthers(others []string, timeout time.Duration, ask wire.RankReadRequest) []api.RankState {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var found []api.RankState
	places := make(chan struct{}, readAtOnce)
	for _, address := range others {
		places <- struct{}{}
		wait.Go(func() {
			defer func() { <-places }()
			state, err := s.timed(timeout, func(ctx context.Context) (api.RankState, error) { return s.remote(ctx, address, ask) })
			if err != nil {
				s.log.Decision("rank not read", api.DecisionRoutine, api.Fields{"upstream": address, "error": err.Error()})
				return
			}
			state.Report.Address = address
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
func (s *service) remote(ctx context.Context, upstream string, ask wire.RankReadRequest) (api.RankState, error) {
	var reply wire.RankReadReply
	ask.Since = s.heard.since(upstream)
	err := s.peers.call(ctx, s.clock.Now(), s.beside(upstream), func(ctx context.Context, c *drpcconn.Conn) (err error) {
		reply, err = wire.ReadRank(ctx, c, ask)
		return err
	})
	if err == nil {
		s.heard.take(upstream, &reply)
		return reply.State, nil
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
func (s *service) order(ctx context.Context, upstream string, o api.RankOrder) api.RankResult {
	s.peers.heard(o.Token)
	if upstream == s.settings.Edge.LocalUpstream || o.Op != api.RankPrepare {
		return s.direct(ctx, upstream, o)
	}
	answer := api.RankNoResult
	err := s.peers.call(ctx, s.clock.Now(), s.beside(upstream), func(ctx context.Context, c *drpcconn.Conn) (err error) {
		answer, err = wire.OrderRank(ctx, c, o)
		return err
	})
	if err == nil {
		return answer
	}
	return s.direct(ctx, upstream, o)
}

func (s *service) direct(ctx context.Context, upstream string, o api.RankOrder) api.RankResult {
	answer, err := s.engine.OrderRank(ctx, upstream, o)
	if err != nil {
		s.log.Change("order without answer", api.Fields{"upstream": upstream, "op": o.Op, "token": o.Token, "error": err.Error()})
	}
	return answer
}

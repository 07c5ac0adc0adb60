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

// ReadRank returns the state of the local rank to a leader.
func (s *service) ReadRank(ctx context.Context, r wire.RankReadRequest) (wire.RankReadReply, error) {
	_ = s.leaderReads.Post(ctx, r)
	state, err := s.readLocal(ctx, r)
	reply := wire.RankReadReply{State: state}
	if err == nil && r.Counts {
		s.countEncoder.encode(&reply, state.Counts, r.Since, uint64(time.Now().UnixMicro()))
	}
	return reply, err
}

// OrderRank forwards a leader's order to the local rank. It returns no error if the
// rank does not respond, because an error would make the leader treat this process
// as down.
func (s *service) OrderRank(ctx context.Context, o api.RankOrder) (wire.RankOrderReply, error) {
	s.peers.observeToken(o.Token)
	ctx, cancel := context.WithTimeout(ctx, localOrderTimeout)
	defer cancel()
	return wire.RankOrderReply{Result: s.orderDirectly(ctx, s.settings.Edge.LocalUpstream, o)}, nil
}

func (s *service) readLocal(ctx context.Context, r wire.RankReadRequest) (api.RankState, error) {
	report, err := s.engine.ReadRank(ctx, s.settings.Edge.LocalUpstream)
	if err != nil {
		return api.RankState{}, err
	}
	out := api.RankState{Report: report, Token: s.peers.highestToken()}
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

// poll reads the local rank and, if readOthers is set, the ranks at the other
// addresses, and posts the result to the control loop.
func (s *service) poll(request wire.RankReadRequest, readOthers bool, others []string) {
	r := pollResult{startedAt: s.clock.Now()}
	defer func() { _ = s.pollResults.Post(s.ctx, r) }()
	timeout := readTimeout + time.Duration(min(len(others), maxConcurrentReads))*readTimeoutPerRank
	local, err := s.withTimeout(timeout, func(ctx context.Context) (api.RankState, error) { return s.readLocal(ctx, request) })
	if err != nil {
		return
	}
	r.local = &local.Report
	if !readOthers {
		return
	}
	request.Token = local.Token
	found := s.readRanks(others, timeout, request)
	for _, f := range found {
		if f.Report.Group != local.Report.Group {
			r.otherGroupAddresses = append(r.otherGroupAddresses, f.Report.Address)
		}
	}
	r.ranks, r.complete = assembleGroup(append(found, local), local.Report)
}

func (s *service) withTimeout(timeout time.Duration, f func(context.Context) (api.RankState, error)) (api.RankState, error) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	return f(ctx)
}

// assembleGroup returns the states of the ranks in the same group and epoch as the
// local rank, ordered by rank. The second result is true if no rank is missing.
func assembleGroup(found []api.RankState, local api.RankReport) ([]api.RankState, bool) {
	ranks := make([]api.RankState, local.Size)
	n := 0
	for _, f := range found {
		r := f.Report
		if r.Group != local.Group || r.Epoch != local.Epoch || r.Rank < 0 || r.Rank >= local.Size || ranks[r.Rank].Report.Size > 0 {
			continue
		}
		ranks[r.Rank] = f
		n++
	}
	return ranks, n == local.Size
}

// candidateAddresses returns the addresses of upstreams that may be other ranks of
// the group.
func (s *service) candidateAddresses() []string {
	var addresses []string
	for _, in := range s.discovery.View().Instances {
		if in.Service == s.settings.Edge.LocalService && in.Address != s.settings.Edge.LocalUpstream && !s.otherGroupAddresses[in.Address] {
			addresses = append(addresses, in.Address)
		}
	}
	return addresses
}

// readRanks reads ranks concurrently and returns the states of those that responded.
// The timeout applies to each read, because a rescan of all upstreams opens more
// connections than fit into a single timeout.
func (s *service) readRanks(addresses []string, timeout time.Duration, request wire.RankReadRequest) []api.RankState {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var found []api.RankState
	semaphore := make(chan struct{}, maxConcurrentReads)
	for _, address := range addresses {
		semaphore <- struct{}{}
		wait.Go(func() {
			defer func() { <-semaphore }()
			state, err := s.withTimeout(timeout, func(ctx context.Context) (api.RankState, error) { return s.readRemote(ctx, address, request) })
			if err != nil {
				s.log.Decision("reading rank failed", api.DecisionRoutine, api.Fields{"upstream": address, "error": err.Error()})
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

// peerAddress returns the address of the process on the VM of an upstream, empty if
// an address is invalid. All processes listen on the same port.
func (s *service) peerAddress(upstream string) string {
	remote, err := netip.ParseAddrPort(upstream)
	local, localErr := netip.ParseAddrPort(s.settings.Listen.Link)
	if err != nil || localErr != nil {
		return ""
	}
	return net.JoinHostPort(remote.Addr().String(), strconv.Itoa(int(local.Port())))
}

// readRemote reads a rank through its process or, if the process does not respond,
// directly and without counts.
func (s *service) readRemote(ctx context.Context, upstream string, request wire.RankReadRequest) (api.RankState, error) {
	var reply wire.RankReadReply
	request.Since = s.countDecoder.lastSnapshot(upstream)
	err := s.peers.call(ctx, s.clock.Now(), s.peerAddress(upstream), func(ctx context.Context, c *drpcconn.Conn) (err error) {
		reply, err = wire.ReadRank(ctx, c, request)
		return err
	})
	if err == nil {
		s.countDecoder.decode(upstream, &reply)
		return reply.State, nil
	}
	if s.peers.isDown(s.clock.Now(), upstream) {
		return api.RankState{}, &DownError{Address: upstream}
	}
	report, err := s.engine.ReadRank(ctx, upstream)
	if err != nil {
		s.peers.markDown(s.clock.Now(), upstream)
		return api.RankState{}, err
	}
	return api.RankState{Report: report}, nil
}

// sendOrder sends an order to a rank. Prepare orders are large and go through the
// rank's process. All others go directly to the rank: a process that hangs could
// still forward an order later, and the leader would not know whether the rank
// executes it.
func (s *service) sendOrder(ctx context.Context, upstream string, o api.RankOrder) api.RankResult {
	s.peers.observeToken(o.Token)
	if upstream == s.settings.Edge.LocalUpstream || o.Op != api.RankPrepare {
		return s.orderDirectly(ctx, upstream, o)
	}
	result := api.RankNoResult
	err := s.peers.call(ctx, s.clock.Now(), s.peerAddress(upstream), func(ctx context.Context, c *drpcconn.Conn) (err error) {
		result, err = wire.OrderRank(ctx, c, o)
		return err
	})
	if err == nil {
		return result
	}
	return s.orderDirectly(ctx, upstream, o)
}

func (s *service) orderDirectly(ctx context.Context, upstream string, o api.RankOrder) api.RankResult {
	result, err := s.engine.OrderRank(ctx, upstream, o)
	if err != nil {
		s.log.Change("order got no response", api.Fields{"upstream": upstream, "op": o.Op, "token": o.Token, "error": err.Error()})
	}
	return result
}

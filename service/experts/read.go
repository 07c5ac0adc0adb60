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

// ReadRank handles a poll by a leader. It returns the state of the local rank and
// notifies the control loop of the poll.
func (s *service) ReadRank(ctx context.Context, r wire.RankReadRequest) (wire.RankReadReply, error) {
	_ = s.leaderReads.Post(ctx, r)
	state, err := s.readLocal(ctx, r)
	reply := wire.RankReadReply{State: state}
	if err == nil && r.Counts {
		s.countEncoder.encode(&reply, state.Counts, r.LastSnapshot, uint64(time.Now().UnixMicro()))
	}
	return reply, err
}

// OrderRank forwards a leader's order to the local rank. If the rank does not
// respond, the reply has no result, but the error is nil: the leader would treat
// this process as down after an error.
func (s *service) OrderRank(ctx context.Context, o api.RankOrder) (wire.RankOrderReply, error) {
	s.peers.observeToken(o.Token)
	ctx, cancel := context.WithTimeout(ctx, localOrderTimeout)
	defer cancel()
	return wire.RankOrderReply{Result: s.sendOrderDirectly(ctx, s.settings.Edge.LocalUpstreamAddress, o)}, nil
}

func (s *service) readLocal(ctx context.Context, r wire.RankReadRequest) (api.RankState, error) {
	report, err := s.engine.ReadRank(ctx, s.settings.Edge.LocalUpstreamAddress)
	if err != nil {
		return api.RankState{}, err
	}
	out := api.RankState{Report: report, Token: s.peers.highestToken()}
	if r.Counts {
		if out.Counts, err = s.engine.ReadCounts(ctx, s.settings.Edge.LocalUpstreamAddress); err != nil {
			return out, err
		}
	}
	if r.Experts {
		if out.Experts, err = s.engine.ReadExperts(ctx, s.settings.Edge.LocalUpstreamAddress); err != nil {
			return out, err
		}
	}
	return out, nil
}

// poll reads the local rank and, if readCandidates is set, the ranks at the candidate
// addresses. It posts the result to the control loop.
func (s *service) poll(request wire.RankReadRequest, readCandidates bool, candidates []string) {
	r := pollResult{startedAt: s.clock.Now()}
	defer func() { _ = s.pollResults.Post(s.ctx, r) }()
	timeout := readTimeout + time.Duration(min(len(candidates), maxConcurrentReads))*readTimeoutPerRank
	local, err := s.withTimeout(timeout, func(ctx context.Context) (api.RankState, error) { return s.readLocal(ctx, request) })
	if err != nil {
		return
	}
	r.local = &local.Report
	if !readCandidates {
		return
	}
	request.Token = local.Token
	states := s.readRanks(candidates, timeout, request)
	for _, state := range states {
		if state.Report.Group != local.Report.Group {
			r.otherGroupAddresses = append(r.otherGroupAddresses, state.Report.Address)
		}
	}
	r.ranks, r.complete = assembleGroup(append(states, local), local.Report)
}

func (s *service) withTimeout(timeout time.Duration, f func(context.Context) (api.RankState, error)) (api.RankState, error) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	return f(ctx)
}

// assembleGroup returns the states of the ranks in the same group and epoch as the
// local rank, ordered by rank. The second result is true if no rank is missing.
func assembleGroup(states []api.RankState, local api.RankReport) ([]api.RankState, bool) {
	ranks := make([]api.RankState, local.Size)
	n := 0
	for _, state := range states {
		r := state.Report
		if r.Group != local.Group || r.Epoch != local.Epoch || r.Rank < 0 || r.Rank >= local.Size || ranks[r.Rank].Report.Size > 0 {
			continue
		}
		ranks[r.Rank] = state
		n++
	}
	return ranks, n == local.Size
}

// candidateAddresses returns the addresses of other upstreams of the local service
// that are not known to belong to another group.
func (s *service) candidateAddresses() []string {
	var addresses []string
	for _, in := range s.discovery.View().Instances {
		if in.Service == s.settings.Edge.LocalService && in.Address != s.settings.Edge.LocalUpstreamAddress && !s.otherGroupAddresses[in.Address] {
			addresses = append(addresses, in.Address)
		}
	}
	return addresses
}

// readRanks reads ranks concurrently and returns the states of those that responded.
// The timeout applies to each read. A timeout for all reads together would be too
// short for a rescan, which opens a connection to every upstream.
func (s *service) readRanks(addresses []string, timeout time.Duration, request wire.RankReadRequest) []api.RankState {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var states []api.RankState
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
			states = append(states, state)
		})
	}
	wait.Wait()
	return states
}

// peerAddress returns the listen address of the process on an upstream's VM. All
// processes listen on the same port. The result is empty if the upstream's address
// or the local listen address is invalid.
func (s *service) peerAddress(upstream string) string {
	remote, err := netip.ParseAddrPort(upstream)
	local, localErr := netip.ParseAddrPort(s.settings.Listen.Link)
	if err != nil || localErr != nil {
		return ""
	}
	return net.JoinHostPort(remote.Addr().String(), strconv.Itoa(int(local.Port())))
}

// readRemote reads a rank through the process on its VM. If that process does not
// respond, it reads the rank directly and without counts.
func (s *service) readRemote(ctx context.Context, upstream string, request wire.RankReadRequest) (api.RankState, error) {
	var reply wire.RankReadReply
	request.LastSnapshot = s.countDecoder.lastSnapshot(upstream)
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

// sendOrder sends an order to a rank. It sends prepare orders, which are large,
// through the process on the rank's VM, and directly if that fails. It always sends
// other orders directly, because a process that hangs could forward an order after
// the timeout, and the leader would not know whether the rank executes it.
func (s *service) sendOrder(ctx context.Context, upstream string, o api.RankOrder) api.RankResult {
	s.peers.observeToken(o.Token)
	if upstream == s.settings.Edge.LocalUpstreamAddress || o.Op != api.RankPrepare {
		return s.sendOrderDirectly(ctx, upstream, o)
	}
	result := api.RankNoResult
	err := s.peers.call(ctx, s.clock.Now(), s.peerAddress(upstream), func(ctx context.Context, c *drpcconn.Conn) (err error) {
		result, err = wire.OrderRank(ctx, c, o)
		return err
	})
	if err == nil {
		return result
	}
	return s.sendOrderDirectly(ctx, upstream, o)
}

func (s *service) sendOrderDirectly(ctx context.Context, upstream string, o api.RankOrder) api.RankResult {
	result, err := s.engine.OrderRank(ctx, upstream, o)
	if err != nil {
		s.log.Change("order returned an error", api.Fields{"upstream": upstream, "op": o.Op, "token": o.Token, "error": err.Error()})
	}
	return result
}

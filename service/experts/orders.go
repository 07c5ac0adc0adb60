package experts

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/mapswitch"
	"github.com/mulberryfork/mulberryfork/wire"
)

// relayTimeFraction is the fraction of the caller's timeout that a process spends on an
// order. The rest is for its reply.
const relayTimeFraction = 0.8

// maxProcessAttempts is the number of attempts to send a prepare order through the
// process on the VM of a rank before it is sent to the rank itself.
const maxProcessAttempts = 2

// sendOrders sends orders to their ranks and posts one result for each to the control
// loop. Prepare orders, which are large, go through the processes on the VMs of the
// ranks. All others go directly to the rank, because a process that hangs could forward
// an order after the timeout, and the leader would not know whether the rank executes
// it.
func (s *service) sendOrders(orders []mapswitch.OutgoingOrder) {
	var prepares, resent []mapswitch.OutgoingOrder
	direct := 0
	for _, o := range orders {
		switch {
		case o.Order.Op != api.RankPrepare || o.Rank == s.rank:
			direct++
		case o.Attempt > 1:
			resent = append(resent, o)
		default:
			prepares = append(prepares, o)
		}
	}
	timeout := s.pacing.CallTimeout(direct, 0)
	for _, o := range orders {
		if o.Order.Op != api.RankPrepare || o.Rank == s.rank {
			s.sendDirect(o, timeout)
		}
	}
	s.sendPrepares(prepares, s.pacing.Fanout(len(prepares), s.delta.bytes))
	// An order whose relay failed is resent without relays.
	s.sendPrepares(resent, len(resent))
}

func (s *service) sendDirect(o mapswitch.OutgoingOrder, timeout time.Duration) {
	address := s.view.Address(o.Rank)
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		defer cancel()
		s.peers.observeToken(o.Order.Token)
		result, err := s.orderRank(ctx, address, o.Order)
		s.postResult(o, result, err)
	}()
}

// sendPrepares sends prepare orders to fanout processes. Each relays its order to an
// equal part of the other ranks.
func (s *service) sendPrepares(orders []mapswitch.OutgoingOrder, fanout int) {
	if len(orders) == 0 {
		return
	}
	perRelay := (len(orders) + fanout - 1) / fanout
	timeout := s.pacing.CallTimeout(fanout, s.delta.bytes)
	if perRelay > 1 {
		timeout += s.pacing.CallTimeout(perRelay-1, s.delta.bytes)
	}
	for start := 0; start < len(orders); start += perRelay {
		batch := orders[start:min(start+perRelay, len(orders))]
		request := s.delta.request(batch[0].Order)
		request.TimeoutMs = uint64((time.Duration(peerTimeFraction * float64(timeout))).Milliseconds())
		for _, o := range batch[1:] {
			request.Relay = append(request.Relay, s.view.Address(o.Rank))
		}
		address := s.view.Address(batch[0].Rank)
		go s.sendPrepareBatch(address, request, batch, timeout)
	}
}

// sendPrepareBatch sends a prepare order to a process. If that has failed
// maxProcessAttempts times, it sends the order, with the complete map, to the rank
// itself: on a slow link, doing so for many ranks at once delays everything else.
func (s *service) sendPrepareBatch(address string, request wire.RankOrderRequest, batch []mapswitch.OutgoingOrder, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	s.peers.observeToken(request.Order.Token)
	results, err := s.orderPeer(ctx, address, request, batch[0].Order)
	if err == nil {
		for i, o := range batch {
			s.postResult(o, results[i], nil)
		}
		return
	}
	s.logOrderError(address, request.Order, err)
	if batch[0].Attempt > maxProcessAttempts {
		result, err := s.orderRank(ctx, address, batch[0].Order)
		s.postResult(batch[0], result, err)
		return
	}
	for _, o := range batch {
		s.postResult(o, api.RankNoResult, err)
	}
}

// orderPeer sends an order through the process on the VM of a rank. If that process
// does not know the base of the map, it sends the complete map.
func (s *service) orderPeer(ctx context.Context, upstream string, request wire.RankOrderRequest, complete api.RankOrder) (results []api.RankResult, err error) {
	call := func(ctx context.Context, c *drpcconn.Conn) (err error) {
		results, err = wire.OrderRank(ctx, c, request)
		return err
	}
	address := s.peerAddress(upstream)
	if err := s.peers.call(ctx, s.clock.Now(), address, call); err != nil {
		return nil, err
	}
	if results[0] != api.RankBaseUnknown {
		return results, nil
	}
	request.Order, request.IsDelta, request.Cells = complete, false, nil
	if err := s.peers.call(ctx, s.clock.Now(), address, call); err != nil {
		return nil, err
	}
	return results, nil
}

// orderRank sends an order to a rank itself.
func (s *service) orderRank(ctx context.Context, upstream string, o api.RankOrder) (api.RankResult, error) {
	if upstream == "" {
		return api.RankNoResult, &UnknownAddressError{}
	}
	return s.engine.OrderRank(ctx, upstream, o)
}

// UnknownAddressError reports an order to a rank that was never read.
type UnknownAddressError struct{}

func (*UnknownAddressError) Error() string { return "the address of the rank is not known" }

// OrderRank gives a leader's order to the local rank and relays it. If a rank does not
// respond, its result is RankNoResult, but the error is nil: the leader would treat this
// process as down after an error.
func (s *service) OrderRank(ctx context.Context, r wire.RankOrderRequest) (wire.RankOrderReply, error) {
	s.peers.observeToken(r.Order.Token)
	results := make([]api.RankResult, 1+len(r.Relay))
	order, known := s.maps.resolve(r)
	if !known {
		for i := range results {
			results[i] = api.RankBaseUnknown
		}
		return wire.RankOrderReply{Results: results}, nil
	}
	timeout := time.Duration(relayTimeFraction*float64(r.TimeoutMs)) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var wait sync.WaitGroup
	for i, upstream := range r.Relay {
		wait.Go(func() {
			child := r
			child.Relay, child.TimeoutMs = nil, uint64((time.Duration(peerTimeFraction * float64(timeout))).Milliseconds())
			relayed, err := s.orderPeer(ctx, upstream, child, order)
			if err != nil {
				s.logOrderError(upstream, order, err)
				return
			}
			results[i+1] = relayed[0]
		})
	}
	result, err := s.orderRank(ctx, s.settings.Edge.LocalUpstreamAddress, order)
	if err != nil {
		s.logOrderError(s.settings.Edge.LocalUpstreamAddress, order, err)
	}
	results[0] = result
	wait.Wait()
	return wire.RankOrderReply{Results: results}, nil
}

func (s *service) logOrderError(upstream string, o api.RankOrder, err error) {
	s.log.Decision("order returned an error", api.DecisionRoutine, api.Fields{
		"upstream": upstream, "op": o.Op, "token": o.Token, "version": o.MapVersion, "error": err.Error(),
	})
}

func (s *service) postResult(o mapswitch.OutgoingOrder, result api.RankResult, err error) {
	if result == api.RankBaseUnknown {
		result = api.RankNoResult
	}
	_ = s.orderResults.Post(s.ctx, orderResult{outgoing: o, result: result, err: err})
}

func (s *service) handleOrderResult(now time.Duration, r orderResult) {
	if s.state == nil {
		return
	}
	if r.result != api.RankDone {
		s.recordFailure(now, r)
	}
	s.sendOrders(s.state.HandleResult(now, unixMillis(), r.outgoing, r.result))
	s.logPhase()
	s.pollIfDue(now)
}

// orderFailures counts the orders without confirmation since the last log line.
type orderFailures struct {
	noResult, refused, fenced int
	last                      orderResult
	loggedAt                  time.Duration
}

func (s *service) recordFailure(now time.Duration, r orderResult) {
	switch r.result {
	case api.RankRefused:
		s.failures.refused++
	case api.RankFenced:
		s.failures.fenced++
	default:
		s.failures.noResult++
	}
	s.failures.last = r
	s.logFailures(now)
}

// logFailures logs the orders without confirmation, at most once in
// failureLogInterval.
func (s *service) logFailures(now time.Duration) {
	f := &s.failures
	if f.noResult+f.refused+f.fenced == 0 || f.loggedAt > 0 && now-f.loggedAt < failureLogInterval {
		return
	}
	o := f.last.outgoing
	fields := api.Fields{
		"group": s.group, "epoch": s.epoch, "no_result": f.noResult, "refused": f.refused, "fenced": f.fenced,
		"rank": o.Rank, "op": o.Order.Op, "token": o.Order.Token, "version": o.Order.MapVersion, "step": o.Order.Step, "attempt": o.Attempt,
	}
	if f.last.err != nil {
		fields["error"] = f.last.err.Error()
	}
	s.log.Change("orders not confirmed", fields)
	*f = orderFailures{loggedAt: now}
}

package wire

import (
	"context"
	"fmt"

	"storj.io/drpc"

	"github.com/mulberryfork/mulberryfork/api"
)

// MaxRankMessageBytes is the maximum size of one message between the processes that
// control the ranks of a group. The largest messages are a full expert map and the
// counts of one rank.
const MaxRankMessageBytes = 1 << 20

// Names of the calls between the processes that control the ranks of a group.
const (
	rankReadCall  = "/mulberryfork.Rank/Read"
	rankOrderCall = "/mulberryfork.Rank/Order"
	rankLoadCall  = "/mulberryfork.Rank/Load"
)

// RankReadRequest requests the state of the rank on the VM of the called process.
type RankReadRequest struct {
	// Leader is the rank of the leader, which sends the request.
	Leader int
	// Group is the leader's group.
	Group string
	// Token is the highest fencing token known to the leader.
	Token uint64
	// Counts and Experts request these parts of api.RankState.
	Counts  bool
	Experts bool
	// Publisher is the address of an engine whose process publishes the load of the
	// group to edges.
	Publisher string
	// Load is the load of the group, for the processes that publish it.
	Load *RankLoadReply
	// LastSnapshot is the number of the last snapshot of the counts that the leader holds,
	// 0 if it holds none. The reply may be a delta to this snapshot.
	LastSnapshot uint64
}

// RankReadReply is the state of a rank.
type RankReadReply struct {
	State api.RankState
	// BaseSnapshot is the number of the snapshot of the counts to which State.Counts is a
	// delta, 0 if State.Counts holds the totals.
	BaseSnapshot uint64
	// Snapshot is the number of the snapshot that results from this reply. The leader
	// sends it in the next request.
	Snapshot uint64
}

// RankOrderRequest asks a process to give an order to the rank on its VM, and to relay
// it to the processes of other ranks.
type RankOrderRequest struct {
	Order api.RankOrder
	// Cells replaces Order.Map in a prepare order if IsDelta is set: the map results
	// from changing these cells of version BaseVersion in the same epoch, which was
	// ordered with the fencing token BaseToken. Version 0 has the token 0.
	IsDelta     bool
	BaseVersion uint64
	BaseToken   uint64
	Cells       []api.MapCell
	// Layers, Ranks and Experts are the shape of the group, from which a process derives
	// version 0.
	Layers, Ranks, Experts int
	// Relay lists the upstream addresses of the ranks whose processes get the order
	// from this one.
	Relay []string
	// TimeoutMs is how long the caller waits for the reply.
	TimeoutMs uint64
}

// RankOrderReply is the reply to an order.
type RankOrderReply struct {
	// Results holds the result of the local rank, followed by those of the ranks in
	// Relay.
	Results []api.RankResult
}

// RankLoadRequest requests the load of the group from a process beside one of its ranks.
type RankLoadRequest struct{}

// RankLoadReply is the load of a group, or the address at which to ask for it.
type RankLoadReply struct {
	// Referral is the address of an engine whose process publishes the load. A process
	// that does not know the load sends only this, or nothing.
	Referral string
	Load     api.GroupLoad
	// AgeMs is the age of the load in milliseconds. It replaces Load.ReadAt.
	AgeMs uint64
	// Publishers are the addresses of the engines whose processes publish the load. Only
	// the leader sends them.
	Publishers []string
}

// RankServer serves the calls of a leader.
type RankServer interface {
	ReadRank(ctx context.Context, r RankReadRequest) (RankReadReply, error)
	OrderRank(ctx context.Context, r RankOrderRequest) (RankOrderReply, error)
	ReadLoad(ctx context.Context, r RankLoadRequest) (RankLoadReply, error)
}

// UnknownCallError reports a call that the handler does not implement.
type UnknownCallError struct{ Call string }

func (e *UnknownCallError) Error() string { return "unknown call: " + e.Call }

// RankHandler dispatches the calls of a leader to a server.
type RankHandler struct{ Server RankServer }

// HandleRPC serves one call. It implements drpc.Handler.
func (h *RankHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	switch rpc {
	case rankReadCall:
		return serveCall(stream, h.Server.ReadRank)
	case rankOrderCall:
		return serveCall(stream, h.Server.OrderRank)
	case rankLoadCall:
		return serveCall(stream, h.Server.ReadLoad)
	}
	return &UnknownCallError{Call: rpc}
}

func serveCall[Q, R any](stream drpc.Stream, call func(context.Context, Q) (R, error)) error {
	var request Q
	if err := stream.MsgRecv(&request, RankEncoding); err != nil {
		return err
	}
	reply, err := call(stream.Context(), request)
	if err != nil {
		return err
	}
	if err := stream.MsgSend(&reply, RankEncoding); err != nil {
		return err
	}
	return stream.CloseSend()
}

// ReadRank reads the state of a rank through the process at c.
func ReadRank(ctx context.Context, c drpc.Conn, r RankReadRequest) (RankReadReply, error) {
	var out RankReadReply
	err := c.Invoke(ctx, rankReadCall, RankEncoding, &r, &out)
	return out, err
}

// ResultCountError reports a reply without exactly one result for each rank.
type ResultCountError struct{ Got, Want int }

func (e *ResultCountError) Error() string {
	return fmt.Sprintf("the reply holds %d results, want %d", e.Got, e.Want)
}

// OrderRank sends an order to a rank, and to the ranks in r.Relay, through the process
// at c. It returns one result for each of them.
func OrderRank(ctx context.Context, c drpc.Conn, r RankOrderRequest) ([]api.RankResult, error) {
	var out RankOrderReply
	if err := c.Invoke(ctx, rankOrderCall, RankEncoding, &r, &out); err != nil {
		return nil, err
	}
	if want := 1 + len(r.Relay); len(out.Results) != want {
		return nil, &ResultCountError{Got: len(out.Results), Want: want}
	}
	return out.Results, nil
}

// ReadLoad reads the load of a group through the process at c.
func ReadLoad(ctx context.Context, c drpc.Conn) (RankLoadReply, error) {
	var out RankLoadReply
	err := c.Invoke(ctx, rankLoadCall, RankEncoding, &RankLoadRequest{}, &out)
	return out, err
}

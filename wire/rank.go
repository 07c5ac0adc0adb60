package wire

import (
	"context"

	"storj.io/drpc"

	"github.com/mulberryfork/mulberryfork/api"
)

// RankMessageBytes bounds one message between processes beside the ranks of a
// group: a whole expert map or the counts of one rank.
const RankMessageBytes = 1 << 20

// Calls between the processes beside the ranks of a group.
const (
	rankRead  = "/mulberryfork.Rank/Read"
	rankOrder = "/mulberryfork.Rank/Order"
)

// RankRead asks a process for the state of the rank beside it.
type RankRead struct {
	// Leader is the rank of the asking process, Group its group.
	Leader int
	Group  string
	// Token is the highest fencing token that the leader knows.
	Token   uint64
	Counts  bool
	Experts bool
	// Since is the snapshot of the counts that the leader has, 0 if none.
	Since uint64
}

// RankReply is the state of a rank. Its counts are what was added since the
// snapshot Base, or the whole counts if that is 0. The leader has Snapshot then.
type RankReply struct {
	State    api.RankState
	Base     uint64
	Snapshot uint64
}

// RankAnswered is the answer to an order.
type RankAnswered struct {
	Answer api.RankAnswer
}

// RankServer answers the calls of a leader.
type RankServer interface {
	ReadRank(ctx context.Context, r RankRead) (RankReply, error)
	OrderRank(ctx context.Context, o api.RankOrder) (RankAnswered, error)
}

// UnknownCallError reports a call that this process does not answer.
type UnknownCallError struct{ Call string }

func (e *UnknownCallError) Error() string { return "unknown call " + e.Call }

// RankHandler serves the calls of a leader.
type RankHandler struct{ Server RankServer }

// HandleRPC answers one call.
func (h *RankHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	switch rpc {
	case rankRead:
		return answer(stream, h.Server.ReadRank)
	case rankOrder:
		return answer(stream, h.Server.OrderRank)
	}
	return &UnknownCallError{Call: rpc}
}

func answer[Q, R any](stream drpc.Stream, call func(context.Context, Q) (R, error)) error {
	var q Q
	if err := stream.MsgRecv(&q, RankEncoding); err != nil {
		return err
	}
	r, err := call(stream.Context(), q)
	if err != nil {
		return err
	}
	if err := stream.MsgSend(&r, RankEncoding); err != nil {
		return err
	}
	return stream.CloseSend()
}

// ReadRank asks for the state of a rank.
func ReadRank(ctx context.Context, c drpc.Conn, r RankRead) (RankReply, error) {
	var out RankReply
	err := c.Invoke(ctx, rankRead, RankEncoding, &r, &out)
	return out, err
}

// OrderRank passes an order on to a rank.
func OrderRank(ctx context.Context, c drpc.Conn, o api.RankOrder) (api.RankAnswer, error) {
	var out RankAnswered
	err := c.Invoke(ctx, rankOrder, RankEncoding, &o, &out)
	return out.Answer, err
}

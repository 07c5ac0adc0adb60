package wire

import (
	"context"
	"encoding/json"

	"storj.io/drpc"

	"github.com/mulberryfork/mulberryfork/api"
)

// RankMessageBytes bounds one message between processes beside the ranks of a
// group: a whole expert map or the counts of one rank, as JSON.
const RankMessageBytes = 1 << 20

// Calls between the processes beside the ranks of a group.
const (
	rankRead  = "/mulberryfork.Rank/Read"
	rankOrder = "/mulberryfork.Rank/Order"
)

// RankRead asks a process for the state of the rank beside it.
type RankRead struct {
	// Leader is the rank of the asking process, Group its group.
	Leader int    `json:"leader"`
	Group  string `json:"group"`
	// Token is the highest fencing token that the leader knows.
	Token   uint64 `json:"token"`
	Counts  bool   `json:"counts"`
	Experts bool   `json:"experts"`
}

// RankAnswered is the answer to an order.
type RankAnswered struct {
	Answer api.RankAnswer `json:"answer"`
}

// RankServer answers the calls of a leader.
type RankServer interface {
	ReadRank(ctx context.Context, r RankRead) (api.RankState, error)
	OrderRank(ctx context.Context, o api.RankOrder) (RankAnswered, error)
}

// jsonEncoding carries messages whose shape changes with the map as JSON.
type jsonEncoding struct{}

func (jsonEncoding) Marshal(m drpc.Message) ([]byte, error)      { return json.Marshal(m) }
func (jsonEncoding) Unmarshal(data []byte, m drpc.Message) error { return json.Unmarshal(data, m) }

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
	if err := stream.MsgRecv(&q, jsonEncoding{}); err != nil {
		return err
	}
	r, err := call(stream.Context(), q)
	if err != nil {
		return err
	}
	if err := stream.MsgSend(&r, jsonEncoding{}); err != nil {
		return err
	}
	return stream.CloseSend()
}

// ReadRank asks for the state of a rank.
func ReadRank(ctx context.Context, c drpc.Conn, r RankRead) (api.RankState, error) {
	var out api.RankState
	err := c.Invoke(ctx, rankRead, jsonEncoding{}, &r, &out)
	return out, err
}

// OrderRank passes an order on to a rank.
func OrderRank(ctx context.Context, c drpc.Conn, o api.RankOrder) (api.RankAnswer, error) {
	var out RankAnswered
	err := c.Invoke(ctx, rankOrder, jsonEncoding{}, &o, &out)
	return out.Answer, err
}

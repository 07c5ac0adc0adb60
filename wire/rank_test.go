package wire_test

import (
	"context"
	"net"
	"reflect"
	"testing"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/wire"
)

type rankServer struct {
	state wire.RankReadReply
	order wire.RankOrderRequest
	load  wire.RankLoadReply
}

func (s *rankServer) ReadRank(context.Context, wire.RankReadRequest) (wire.RankReadReply, error) {
	return s.state, nil
}

func (s *rankServer) OrderRank(_ context.Context, r wire.RankOrderRequest) (wire.RankOrderReply, error) {
	s.order = r
	return wire.RankOrderReply{Results: []api.RankResult{api.RankFenced, api.RankDone}}, nil
}

func (s *rankServer) ReadLoad(context.Context, wire.RankLoadRequest) (wire.RankLoadReply, error) {
	return s.load, nil
}

// Guards against a state or an order that loses a field between two processes:
// without the hold or the token, ranks could use two expert maps in one pass.
func TestRankCallsKeepEveryField(t *testing.T) {
	held, armed := uint64(7), uint64(9)
	server := &rankServer{state: wire.RankReadReply{State: api.RankState{
		Report:  api.RankReport{Address: "a", Group: "g", Epoch: 2, Rank: 3, Size: 4, Formed: true, Step: 5, MapVersion: 6, Pace: 1.25, HeldStep: &held, ArmedMapVersion: &armed},
		Counts:  []uint64{1, 2, 3},
		Experts: [][]int{{1, 2}, {3}},
		Token:   11,
	}, BaseSnapshot: 12, Snapshot: 13}}
	left, right := net.Pipe()
	go func() { _ = drpcserver.New(&wire.RankHandler{Server: server}).ServeOne(t.Context(), right) }()
	conn := drpcconn.New(left)
	defer conn.Close()
	state, err := wire.ReadRank(t.Context(), conn, wire.RankReadRequest{Leader: 1, Group: "g", Counts: true})
	if err != nil || !reflect.DeepEqual(state, server.state) {
		t.Errorf("got state %+v, error %v", state, err)
	}
	order := wire.RankOrderRequest{
		Order:   api.RankOrder{Op: api.RankArm, Token: 1, Epoch: 2, MapVersion: 3, Step: 4, Map: [][][]int{{{1}, {2}}}},
		IsDelta: true, BaseVersion: 5, BaseToken: 10, Cells: []api.MapCell{{Layer: 1, Rank: 2, Removed: []int{3}, Added: []int{4, 5}}},
		Layers: 6, Ranks: 7, Experts: 8, Relay: []string{"a"}, TimeoutMs: 9,
	}
	results, err := wire.OrderRank(t.Context(), conn, order)
	if err != nil || !reflect.DeepEqual(results, []api.RankResult{api.RankFenced, api.RankDone}) || !reflect.DeepEqual(server.order, order) {
		t.Errorf("got results %v, order %+v, error %v", results, server.order, err)
	}
}

// Guards against a load that loses a rank or its age between two processes: edges would
// send too many requests to a rank that looks idle.
func TestRankLoadKeepsEveryField(t *testing.T) {
	server := &rankServer{load: wire.RankLoadReply{
		Referral: "a", AgeMs: 70, Publishers: []string{"b", "c"},
		Load: api.GroupLoad{Group: "g", Epoch: 2, Formed: true, PassTime: 80, ShiftImbalance: 2.75, Ranks: []api.RankLoad{{AddressHash: 1 << 40, Requests: 3, Pace: 1}, {AddressHash: 5, Pace: 3.5}}},
	}}
	left, right := net.Pipe()
	go func() { _ = drpcserver.New(&wire.RankHandler{Server: server}).ServeOne(t.Context(), right) }()
	conn := drpcconn.New(left)
	defer conn.Close()
	if load, err := wire.ReadLoad(t.Context(), conn); err != nil || !reflect.DeepEqual(load, server.load) {
		t.Errorf("got load %+v, error %v", load, err)
	}
}

// Guards against a malformed message that crashes the process or allocates more
// memory than its own size.
func FuzzRankMessages(f *testing.F) {
	held := uint64(7)
	for _, m := range []any{
		&wire.RankReadRequest{Leader: 1, Group: "g", LastSnapshot: 3, Load: &wire.RankLoadReply{Publishers: []string{"a"}}},
		&wire.RankReadReply{State: api.RankState{Report: api.RankReport{Group: "g", HeldStep: &held}, Counts: []uint64{1}, Experts: [][]int{{1}}}},
		&wire.RankOrderRequest{Order: api.RankOrder{Op: api.RankArm, Map: [][][]int{{{1}, {2}}}}, Cells: []api.MapCell{{Added: []int{1}}}, Relay: []string{"a"}},
	} {
		data, err := wire.RankEncoding.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, m := range []any{&wire.RankReadRequest{}, &wire.RankReadReply{}, &wire.RankOrderRequest{}, &wire.RankOrderReply{}, &wire.RankLoadReply{}} {
			if wire.RankEncoding.Unmarshal(data, m) != nil {
				continue
			}
			encoded, err := wire.RankEncoding.Marshal(m)
			if err != nil || len(encoded) > len(data) {
				t.Errorf("%T: %d bytes were re-encoded as %d, error %v", m, len(data), len(encoded), err)
			}
		}
	})
}

package experts

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rankpacing"
	"github.com/mulberryfork/mulberryfork/decide/rankview"
	"github.com/mulberryfork/mulberryfork/wire"
)

// loadTTL is how long a process repeats the load that it got from the leader.
const loadTTL = 2 * time.Second

// groupLogInterval is the time between log lines of the leader on the load of its group.
const groupLogInterval = time.Second

// loadBoard holds the last load of the group, on the leader and on the processes that
// publish it.
type loadBoard struct {
	mu         sync.Mutex
	reply      wire.RankLoadReply
	receivedAt time.Duration
	// publisher is the address of an engine whose process publishes the load.
	publisher string
}

func (b *loadBoard) set(now time.Duration, reply wire.RankLoadReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reply, b.receivedAt = reply, now
}

func (b *loadBoard) setPublisher(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.publisher = address
}

// get returns the load with its present age, or only the address of a publisher if there
// is no recent load.
func (b *loadBoard) get(now time.Duration) wire.RankLoadReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	age := now - b.receivedAt
	if b.receivedAt == 0 || age > loadTTL {
		return wire.RankLoadReply{Referral: b.publisher}
	}
	reply := b.reply
	reply.AgeMs += uint64(age.Milliseconds())
	return reply
}

// ReadLoad handles the request of an edge for the load of the group.
func (s *service) ReadLoad(context.Context, wire.RankLoadRequest) (wire.RankLoadReply, error) {
	return s.board.get(s.clock.Now()), nil
}

// publishLoad puts the load of the group on the board. The next poll takes it from there
// to the processes that publish it.
func (s *service) publishLoad(now time.Duration, snapshot rankview.Snapshot) {
	s.passTime = s.passes.Observe(now, snapshot)
	formed := snapshot.Reports[s.rank].Formed && !s.observeStall(now, snapshot)
	reply := wire.RankLoadReply{
		Load:  api.GroupLoad{Group: s.group, Epoch: s.epoch, Formed: formed, PassTime: s.passTime},
		AgeMs: uint64(max(now-snapshot.StartedAt, 0).Milliseconds()),
	}
	if s.planner != nil {
		reply.Load.ShiftImbalance = s.planner.ShiftImbalance(now)
	}
	fullest := 0
	for rank, r := range snapshot.Reports {
		fullest = max(fullest, r.Running+r.Waiting)
		if r.Size == 0 {
			continue
		}
		address := s.view.Address(rank)
		reply.Load.Ranks = append(reply.Load.Ranks, api.RankLoad{AddressHash: xxhash.Sum64String(address), Requests: r.Running + r.Waiting, Pace: r.Pace})
		if rankpacing.Publishes(rank) && rank != s.rank {
			reply.Publishers = append(reply.Publishers, address)
		}
	}
	s.board.set(now, reply)
	s.logGroup(now, reply, fullest)
}

// observeStall reports whether the group makes no passes, and logs it when it begins.
func (s *service) observeStall(now time.Duration, snapshot rankview.Snapshot) bool {
	stalled := s.stalls.Observe(now, snapshot, s.passTime)
	if stalled && !s.stalled {
		s.counters.stalls.Add(1)
		s.log.Change("group stalled", api.Fields{"group": s.group, "epoch": s.epoch, "ranks_known": snapshot.Complete})
	}
	s.stalled = stalled
	return stalled
}

// logGroup logs the load of the group, at most once in groupLogInterval.
func (s *service) logGroup(now time.Duration, reply wire.RankLoadReply, fullest int) {
	if now-s.groupLoggedAt < groupLogInterval {
		return
	}
	s.groupLoggedAt = now
	requests, slowest := 0, 1.0
	for _, r := range reply.Load.Ranks {
		requests += r.Requests
		slowest = max(slowest, r.Pace)
	}
	fields := api.Fields{
		"group": s.group, "epoch": s.epoch, "formed": reply.Load.Formed, "ranks": len(reply.Load.Ranks), "requests": requests,
		"fullest": fullest, "pass_ms": reply.Load.PassTime.Milliseconds(), "age_ms": reply.AgeMs, "version": s.current.version, "slowest_pace": slowest,
	}
	if s.planner != nil && s.current.experts != nil {
		fields["imbalance"], fields["shift_imbalance"] = s.planner.Imbalance(s.current.experts), reply.Load.ShiftImbalance
	}
	s.log.Change("group load", fields)
}

package experts

import (
	"context"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/expertplan"
	"github.com/mulberryfork/mulberryfork/decide/mapswitch"
	"github.com/mulberryfork/mulberryfork/wire"
)

// unixMillis returns the Unix time in milliseconds, from which mapswitch derives
// fencing tokens.
func unixMillis() uint64 { return uint64(time.Now().UnixMilli()) }

// tick resends orders and starts a poll if one is due.
func (s *service) tick(now time.Duration) {
	if s.rankKnown && !s.isLeader(now) {
		return
	}
	if s.state != nil {
		s.sendOrders(s.state.Tick(now, unixMillis()))
		s.logPhase()
	}
	interval := pollInterval
	if s.state != nil && s.state.Phase() > mapswitch.Preparing {
		interval = changePollInterval
	}
	if s.polling || now-s.lastPollAt < interval {
		return
	}
	s.polling, s.lastPollAt = true, now
	request := wire.RankReadRequest{Leader: s.rank, Group: s.group, Counts: now-s.lastCountsAt >= s.countInterval()}
	if request.Counts {
		s.lastCountsAt = now
	}
	request.Experts = s.currentMap == nil || len(s.lastReports) > s.rank && s.lastReports[s.rank].MapVersion != s.currentVersion
	go s.poll(request, s.rankKnown, s.candidateAddresses())
}

// countInterval returns the minimum time between polls that request counts. At this
// interval, the counts of all ranks use maxLinkFraction of the VM's bandwidth. It is
// 0 if the bandwidth or the shape of the group is not known.
func (s *service) countInterval() time.Duration {
	if s.planner == nil || s.settings.Edge.LinkMbps <= 0 {
		return 0
	}
	shape := s.planner.Shape()
	bits := 8 * bytesPerCount * float64(shape.Ranks*shape.Layers*shape.Experts)
	return time.Duration(bits / (maxLinkFraction * s.settings.Edge.LinkMbps * 1e6) * float64(time.Second))
}

// isLeader reports whether this process is the leader: no lower rank has polled it
// within the leader timeout.
func (s *service) isLeader(now time.Duration) bool {
	return s.rank == 0 || now-s.leaderReadAt > leaderTimeout+time.Duration(s.rank)*leaderTimeoutPerRank
}

// handleLeaderRead handles a poll by another process.
func (s *service) handleLeaderRead(now time.Duration, r wire.RankReadRequest) {
	if s.rankKnown && r.Group == s.group && r.Leader < s.rank {
		s.leaderReadAt = now
		// A replaced leader discards its state, because it is outdated when this
		// process becomes the leader again.
		s.state, s.currentMap = nil, nil
	}
	if s.state != nil {
		s.state.ObserveToken(r.Token)
	}
}

func (s *service) handlePoll(now time.Duration, r pollResult) {
	s.polling = false
	s.counters.polls.Add(1)
	if r.local != nil {
		if !s.rankKnown || s.group != r.local.Group || s.rank != r.local.Rank {
			s.rank, s.group, s.rankKnown = r.local.Rank, r.local.Group, true
			s.leaderReadAt = now
			s.state, s.planner, s.currentMap = nil, nil, nil
			s.log.Change("rank identified", api.Fields{"group": s.group, "rank": s.rank, "epoch": r.local.Epoch})
		}
	}
	if !s.rankKnown || !s.isLeader(now) {
		return
	}
	s.updateOtherGroupAddresses(now, r)
	if len(r.ranks) == 0 {
		return
	}
	s.updateState(now, r)
	s.sendOrders(s.state.Observe(now, r.startedAt, unixMillis(), s.lastReports))
	s.logPhase()
	s.proposeChange(now)
}

// updateOtherGroupAddresses records the upstreams of other groups, which later polls skip.
// After rescanAfter without a complete poll, it forgets them to find missing ranks.
func (s *service) updateOtherGroupAddresses(now time.Duration, r pollResult) {
	for _, address := range r.otherGroupAddresses {
		s.otherGroupAddresses[address] = true
	}
	if r.complete {
		s.lastCompleteAt = now
		return
	}
	s.counters.incompletePolls.Add(1)
	if now-s.lastCompleteAt > rescanAfter {
		s.lastCompleteAt = now
		clear(s.otherGroupAddresses)
	}
}

// updateState applies a poll to the state of the group. Missing ranks get a zero
// report, whose Size is 0.
func (s *service) updateState(now time.Duration, r pollResult) {
	if s.state == nil {
		s.state = mapswitch.New(s.rank)
		s.log.Change("leading", api.Fields{"group": s.group, "rank": s.rank, "epoch": r.local.Epoch})
	}
	s.lastReports = make([]api.RankReport, len(r.ranks))
	local := r.ranks[s.rank].Report
	counts := make([][]uint64, len(r.ranks))
	counted := false
	lists := make([][][]int, len(r.ranks))
	for i, rank := range r.ranks {
		s.lastReports[i], counts[i], lists[i] = rank.Report, rank.Counts, rank.Experts
		counted = counted || len(rank.Counts) > 0
		s.state.ObserveToken(rank.Token)
	}
	epoch := local.Epoch
	if epoch != s.epoch {
		s.epoch, s.currentMap = epoch, nil
	}
	s.updateMap(lists)
	profile := s.engineProfile()
	if profile == nil {
		return
	}
	if s.planner == nil {
		s.planner = expertplan.New(len(s.lastReports), *profile)
	}
	if counted && s.planner.Observe(now, epoch, counts, s.requestsInFlight()) {
		s.log.Change("demand shifted", api.Fields{"group": s.group, "epoch": epoch, "running": s.requestsInFlight()})
		// Makes the next poll request counts without waiting for countInterval.
		s.lastCountsAt = 0
	}
}

// requestsInFlight returns the number of requests in flight on the ranks of the group.
func (s *service) requestsInFlight() int {
	n := 0
	for _, r := range s.lastReports {
		n += r.Running
	}
	return n
}

// engineProfile returns the engine profile of the local rank, nil if it is unknown or
// has no experts.
func (s *service) engineProfile() *api.EngineProfile {
	table := s.discovery.View().Table
	if table == nil {
		return nil
	}
	p := table.Services[s.settings.Edge.LocalService].Engine
	if p == nil || p.Experts == 0 {
		return nil
	}
	return p
}

// updateMap sets the current map if all ranks reported their experts and have the
// same map version. lists holds the experts by rank and layer.
func (s *service) updateMap(lists [][][]int) {
	version := s.lastReports[s.rank].MapVersion
	for i, r := range s.lastReports {
		if r.Size == 0 || r.MapVersion != version || len(lists[i]) == 0 || len(lists[i]) != len(lists[0]) {
			return
		}
	}
	s.currentMap = make([][][]int, len(lists[0]))
	for l := range s.currentMap {
		for r := range lists {
			s.currentMap[l] = append(s.currentMap[l], lists[r][l])
		}
	}
	s.currentVersion = version
}

// proposeChange begins a map change if the planner finds a better map. A change
// whose experts are still being copied is replaced only by a map that is better by
// replacementFactor.
func (s *service) proposeChange(now time.Duration) {
	if s.planner == nil || s.currentMap == nil || !s.state.Ready() || s.lastReports[s.rank].MapVersion != s.currentVersion {
		return
	}
	p, ok := s.planner.Plan(s.currentMap)
	if !ok {
		return
	}
	if s.state.Phase() == mapswitch.Preparing && s.planner.Imbalance(s.nextMap) < replacementFactor*p.After {
		return
	}
	s.nextMap = p.Map
	orders := s.state.Begin(now, unixMillis(), p.Map)
	s.counters.changes.Add(1)
	s.log.Change("map proposed", api.Fields{"group": s.group, "epoch": s.epoch, "version": s.state.Version(),
		"imbalance": p.Before, "imbalance_after": p.After, "copies": p.Copies, "running": s.requestsInFlight()})
	s.sendOrders(orders)
	s.logPhase()
}

// logPhase logs phase transitions of a map change and counts rollbacks.
func (s *service) logPhase() {
	phase := s.state.Phase()
	if phase == s.loggedPhase {
		return
	}
	if phase == mapswitch.Fencing {
		s.counters.rolledBack.Add(1)
	}
	s.log.Change("map phase", api.Fields{
		"group": s.group, "epoch": s.epoch, "version": s.state.Version(),
		"from": s.loggedPhase.String(), "to": phase.String(),
	})
	s.loggedPhase = phase
}

func (s *service) sendOrders(orders []mapswitch.OutgoingOrder) {
	for _, outgoing := range orders {
		address := s.lastReports[outgoing.Rank].Address
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
			defer cancel()
			result := s.sendOrder(ctx, address, outgoing.Order)
			_ = s.orderResults.Post(s.ctx, orderResult{outgoing: outgoing, result: result})
		}()
	}
}

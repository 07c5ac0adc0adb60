package experts

import (
	"context"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/expertplan"
	"github.com/mulberryfork/mulberryfork/decide/mapswitch"
	"github.com/mulberryfork/mulberryfork/wire"
)

// unixMillis returns the time that fencing tokens are derived from.
func unixMillis() uint64 { return uint64(time.Now().UnixMilli()) }

// tick resends orders and starts a poll if one is due.
func (s *service) tick(now time.Duration) {
	if s.rankKnown && !s.leads(now) {
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

// countInterval returns the minimum time between polls with counts, such that the
// counts of all ranks use at most linkShare of the link bandwidth.
func (s *service) countInterval() time.Duration {
	if s.plan == nil || s.settings.Edge.LinkMbps <= 0 {
		return 0
	}
	shape := s.plan.Shape()
	bits := 8 * bytesPerCount * float64(shape.Ranks*shape.Layers*shape.Experts)
	return time.Duration(bits / (linkShare * s.settings.Edge.LinkMbps * 1e6) * float64(time.Second))
}

// leads reports whether this process is the leader: no lower rank has polled it
// within the leader timeout.
func (s *service) leads(now time.Duration) bool {
	return s.rank == 0 || now-s.leaderReadAt > leaderTimeout+time.Duration(s.rank)*leaderTimeoutPerRank
}

// handleLeaderRead handles a poll by another process.
func (s *service) handleLeaderRead(now time.Duration, r wire.RankReadRequest) {
	if s.rankKnown && r.Group == s.group && r.Leader < s.rank {
		s.leaderReadAt = now
		// A replaced leader discards its state and starts afresh when it leads again.
		s.state, s.currentMap = nil, nil
	}
	if s.state != nil {
		s.state.ObserveToken(r.Token)
	}
}

func (s *service) handlePoll(now time.Duration, r pollResult) {
	s.polling = false
	s.counts.polls.Add(1)
	if r.local != nil {
		if !s.rankKnown || s.group != r.local.Group || s.rank != r.local.Rank {
			s.rank, s.group, s.rankKnown = r.local.Rank, r.local.Group, true
			s.leaderReadAt = now
			s.state, s.plan, s.currentMap = nil, nil, nil
			s.log.Change("rank identified", api.Fields{"group": s.group, "rank": s.rank, "epoch": r.local.Epoch})
		}
	}
	if !s.rankKnown || !s.leads(now) {
		return
	}
	s.updateOtherGroups(now, r)
	if len(r.ranks) == 0 {
		return
	}
	s.updateState(now, r)
	s.sendOrders(s.state.Observe(now, r.startedAt, unixMillis(), s.lastReports))
	s.logPhase()
	s.proposeChange(now)
}

// updateOtherGroups records the upstreams of other groups, which later polls skip.
// After rescanAfter without a complete poll, it forgets them to find missing ranks.
func (s *service) updateOtherGroups(now time.Duration, r pollResult) {
	for _, address := range r.otherGroups {
		s.otherGroups[address] = true
	}
	if r.complete {
		s.lastCompleteAt = now
		return
	}
	s.counts.incompletePolls.Add(1)
	if now-s.lastCompleteAt > rescanAfter {
		s.lastCompleteAt = now
		clear(s.otherGroups)
	}
}

// updateState sets the state of the group from a poll. Reports of missing ranks
// have size 0.
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
	profile := s.profile()
	if profile == nil {
		return
	}
	if s.plan == nil {
		s.plan = expertplan.New(len(s.lastReports), *profile)
	}
	if counted && s.plan.Observe(now, epoch, counts, s.running()) {
		s.log.Change("demand shifted", api.Fields{"group": s.group, "epoch": epoch, "running": s.running()})
		// Makes the next poll read counts again without waiting for countInterval.
		s.lastCountsAt = 0
	}
}

// running returns the number of requests in flight on the ranks of the group.
func (s *service) running() int {
	n := 0
	for _, r := range s.lastReports {
		n += r.Running
	}
	return n
}

// profile returns the engine profile of the local rank, nil if it is unknown or
// has no experts.
func (s *service) profile() *api.EngineProfile {
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

// updateMap sets the current map, by layer and rank, if all ranks reported their
// experts of the same version.
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

// proposeChange begins a map change if the planner proposes one.
func (s *service) proposeChange(now time.Duration) {
	if s.plan == nil || s.currentMap == nil || !s.state.Ready() || s.lastReports[s.rank].MapVersion != s.currentVersion {
		return
	}
	p, ok := s.plan.Plan(s.currentMap)
	if !ok {
		return
	}
	if s.state.Phase() == mapswitch.Preparing && s.plan.Imbalance(s.nextMap) < replacementFactor*p.After {
		return
	}
	s.nextMap = p.Map
	sends := s.state.Begin(now, unixMillis(), p.Map)
	s.counts.changes.Add(1)
	s.log.Change("map proposed", api.Fields{"group": s.group, "epoch": s.epoch, "version": s.state.Version(),
		"imbalance": p.Before, "imbalance_after": p.After, "copies": p.Copies, "running": s.running()})
	s.sendOrders(sends)
	s.logPhase()
}

// logPhase logs phase transitions of a map change and counts rollbacks.
func (s *service) logPhase() {
	phase := s.state.Phase()
	if phase == s.loggedPhase {
		return
	}
	if phase == mapswitch.Fencing {
		s.counts.rolledBack.Add(1)
	}
	s.log.Change("map phase", api.Fields{
		"group": s.group, "epoch": s.epoch, "version": s.state.Version(),
		"from": s.loggedPhase.String(), "to": phase.String(),
	})
	s.loggedPhase = phase
}

func (s *service) sendOrders(sends []mapswitch.OutgoingOrder) {
	for _, send := range sends {
		address := s.lastReports[send.Rank].Address
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
			defer cancel()
			result := s.sendOrder(ctx, address, send.Order)
			_ = s.orderResults.Post(s.ctx, orderResult{send: send, result: result})
		}()
	}
}

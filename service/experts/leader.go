package experts

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/expertplan"
	"github.com/mulberryfork/mulberryfork/decide/mapdelta"
	"github.com/mulberryfork/mulberryfork/decide/mapswitch"
	"github.com/mulberryfork/mulberryfork/decide/rankpacing"
	"github.com/mulberryfork/mulberryfork/decide/rankview"
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
	s.logFailures(now)
	s.pollIfDue(now)
}

// pollIfDue starts a poll if none is in flight and one is due.
func (s *service) pollIfDue(now time.Duration) {
	reads := rankpacing.Reads{LastAt: s.lastPollAt}
	phase := mapswitch.Idle
	if s.state != nil {
		reads.WantedFrom, reads.Wanted = s.state.SnapshotDue(s.copyTime())
		reads.Ordering, phase = s.state.AwaitsResults(), s.state.Phase()
	}
	if s.polling || now < s.pacing.NextRead(reads) {
		return
	}
	s.polling, s.lastPollAt = true, now
	request := wire.RankReadRequest{Leader: s.rank, Group: s.group, Experts: s.mapUnknown()}
	// Counts would delay the read for which a prepared change waits. The ones after the
	// change are for its refinement.
	counts := now-s.lastCountsAt >= s.pacing.CountsInterval() &&
		(phase == mapswitch.Idle || phase == mapswitch.Settling || phase == mapswitch.Preparing && !reads.WantedNext())
	if counts {
		s.lastCountsAt = now
	}
	targets := make([]target, 0, s.pacing.Ranks)
	if s.rankKnown {
		for _, address := range s.candidateAddresses() {
			rank := s.view.Rank(address)
			targets = append(targets, target{
				address: address, counts: counts && (rank < 0 || s.pacing.Counted(rank)), load: rankpacing.Publishes(rank),
				publisher: s.view.Address(rankpacing.PublisherFor(rank, s.pacing.Ranks)),
			})
		}
	}
	go s.poll(request, targets, counts, s.pacing)
}

// groupPacing returns the pacing for a group of a size, 0 if it is unknown.
func (s *service) groupPacing(ranks int) rankpacing.Group {
	g := rankpacing.Group{Ranks: ranks, LinkMbps: s.settings.Edge.LinkMbps, CPUShare: s.settings.Edge.CPUShare}
	if p := s.engineProfile(); p != nil {
		g.Layers, g.Experts = p.Layers, p.Experts
	}
	return g
}

// mapUnknown reports whether the experts of the map in use must be read from the
// ranks.
func (s *service) mapUnknown() bool {
	if s.current.experts == nil || len(s.lastReports) <= s.rank {
		return true
	}
	version := s.lastReports[s.rank].MapVersion
	return version != s.current.version && (s.next.experts == nil || version != s.next.version)
}

// isLeader reports whether this process is the leader: no lower rank has polled it
// within the leader timeout.
func (s *service) isLeader(now time.Duration) bool {
	return s.rank == 0 || now-s.leaderReadAt > s.pacing.LeaderTimeout()+time.Duration(s.rank-1)*leaderTimeoutPerRank
}

// handleLeaderRead handles a poll by another process.
func (s *service) handleLeaderRead(now time.Duration, r wire.RankReadRequest) {
	if s.rankKnown && r.Group == s.group && r.Leader < s.rank {
		s.leaderReadAt = now
		// A replaced leader discards its state, because it is outdated when this
		// process becomes the leader again. A leader that was replaced does not know which
		// shifts of demand it has missed.
		s.state, s.planner = nil, nil
		s.current, s.next = knownMap{}, knownMap{}
	}
	if s.state != nil {
		s.state.ObserveToken(r.Token)
	}
}

func (s *service) handlePoll(now time.Duration, r pollResult) {
	s.polling = false
	s.counters.polls.Add(1)
	if r.local != nil {
		s.recordLocal(now, r)
	} else {
		s.recordLocalFailure(now, r.localErr)
	}
	if !s.rankKnown || !s.isLeader(now) {
		return
	}
	for _, reading := range r.readings {
		if !s.view.Record(reading.startedAt, reading.state) {
			s.otherGroupAddresses[reading.state.Report.Address] = true
		}
		if s.state != nil {
			s.state.ObserveToken(reading.state.Token)
		}
	}
	if r.local == nil {
		return
	}
	snapshot := s.view.Snapshot(now, max(minReportAge, reportMaxReads*s.pacing.ReadInterval()))
	s.lastAsOf = snapshot.AsOf
	s.rescanIfIncomplete(now, snapshot.Complete)
	s.updateState(now, r, snapshot)
	s.sendOrders(s.state.Observe(now, snapshot.AsOf, unixMillis(), s.lastReports))
	s.logPhase()
	s.proposeChange(now)
	s.pollIfDue(now)
}

// recordLocal updates what depends on the local rank: its group, the size of the group
// and its epoch.
func (s *service) recordLocal(now time.Duration, r pollResult) {
	local := r.local.Report
	if !s.rankKnown || s.group != local.Group || s.rank != local.Rank || s.pacing.Ranks != local.Size {
		s.rank, s.group, s.rankKnown = local.Rank, local.Group, true
		s.leaderReadAt = now
		s.state, s.planner = nil, nil
		s.current, s.next = knownMap{}, knownMap{}
		s.log.Change("rank identified", api.Fields{"group": s.group, "rank": s.rank, "ranks": local.Size, "epoch": local.Epoch})
	}
	s.pacing = s.groupPacing(local.Size)
	s.view.RecordLocal(r.startedAt, *r.local)
}

// rescanIfIncomplete forgets the upstreams of other groups after rescanAfter without a
// complete snapshot, to find missing ranks.
func (s *service) rescanIfIncomplete(now time.Duration, complete bool) {
	if complete {
		s.lastCompleteAt = now
		return
	}
	s.counters.incompletePolls.Add(1)
	if now-s.lastCompleteAt > rescanAfter {
		s.lastCompleteAt = now
		clear(s.otherGroupAddresses)
	}
}

// updateState applies a poll and the snapshot after it to the state of the group.
func (s *service) updateState(now time.Duration, r pollResult, snapshot rankview.Snapshot) {
	if s.state == nil {
		s.state = mapswitch.New(s.rank)
		s.log.Change("leading", api.Fields{"group": s.group, "rank": s.rank, "epoch": r.local.Report.Epoch})
	}
	s.state.SetOrderTime(s.pacing.ArmTime())
	s.state.SetAcceptedPause(s.shortestPause())
	s.state.ObserveToken(r.local.Token)
	s.lastReports = snapshot.Reports
	if epoch := r.local.Report.Epoch; epoch != s.epoch {
		s.epoch = epoch
		s.passes, s.stalls = rankview.PassMeter{}, rankview.StallMeter{}
		s.current, s.next = knownMap{}, knownMap{}
	}
	s.publishLoad(now, snapshot)
	s.updateMap(snapshot)
	profile := s.engineProfile()
	if profile == nil {
		return
	}
	if s.planner == nil {
		s.planner = expertplan.New(len(s.lastReports), *profile)
	}
	s.planner.SetTimes(s.pacing.PrepareTime(), s.pacing.SwitchTime(s.passTime))
	s.updatePaces()
	s.planner.SetSpare(s.passTime > 0 && s.passTime < s.planner.ShortPass(now, s.shortestPause()))
	if r.counts {
		s.observeCounts(now, r)
	}
}

// updatePaces passes the paces of the ranks to the planner. A rank without a report
// counts as not slow.
func (s *service) updatePaces() {
	paces := make([]float64, len(s.lastReports))
	for rank, r := range s.lastReports {
		paces[rank] = max(r.Pace, 1)
	}
	if s.planner.SetPaces(paces) {
		s.log.Change("pace of ranks changed", api.Fields{"group": s.group, "epoch": s.epoch, "slowest": slices.Max(paces)})
	}
}

// observeCounts passes the counts of a poll to the planner.
func (s *service) observeCounts(now time.Duration, r pollResult) {
	counts := make([][]uint64, len(s.lastReports))
	counts[s.rank] = r.local.Counts
	running := r.local.Report.Running
	for _, reading := range r.readings {
		report := reading.state.Report
		if reading.startedAt < r.startedAt || report.Group != s.group || report.Epoch != s.epoch || len(reading.state.Counts) == 0 {
			continue
		}
		if report.Rank >= 0 && report.Rank < len(counts) {
			counts[report.Rank] = reading.state.Counts
			running += report.Running
		}
	}
	s.planner.SetMap(s.current.experts)
	switch s.planner.Observe(now, s.epoch, counts, running) {
	case expertplan.ShiftSeen:
		s.counters.shifts.Add(1)
		s.log.Change("demand shifted", api.Fields{"group": s.group, "epoch": s.epoch, "running": s.requestsInFlight()})
		// Makes the next poll request counts without waiting for the interval.
		s.lastCountsAt = 0
	case expertplan.ShiftConfirmed:
		s.log.Change("shift confirmed", api.Fields{"group": s.group, "epoch": s.epoch, "shift_imbalance": s.planner.ShiftImbalance(now)})
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

// shortestPause returns the shortest accepted pause between events of the local service, 0 if
// it is unknown.
func (s *service) shortestPause() time.Duration {
	table := s.discovery.View().Table
	if table != s.pauseTable {
		s.pauseTable, s.pause = table, table.ShortestPauses()[s.settings.Edge.LocalService]
	}
	return s.pause
}

// updateMap sets the current map if all ranks have the same map version. The experts
// of the last proposed change are known; those of any other version are read from the
// ranks.
func (s *service) updateMap(snapshot rankview.Snapshot) {
	version := snapshot.Reports[s.rank].MapVersion
	if !snapshot.Complete || s.current.experts != nil && s.current.version == version {
		return
	}
	for _, r := range snapshot.Reports {
		if r.MapVersion != version {
			return
		}
	}
	if s.next.experts != nil && s.next.version == version {
		s.current, s.next = s.next, knownMap{}
		return
	}
	if experts, ok := s.view.Map(version); ok {
		s.current = knownMap{version: version, experts: mapdelta.Sort(experts)}
	}
}

// proposeChange begins a map change if the planner finds a better map. It replaces a
// change whose experts are still being copied only if that change is not worth waiting for.
func (s *service) proposeChange(now time.Duration) {
	if s.planner == nil || s.current.experts == nil || !s.state.Ready() || s.lastReports[s.rank].MapVersion != s.current.version {
		return
	}
	p, ok := s.plan(now)
	if !ok {
		return
	}
	p.Map = mapdelta.Sort(p.Map)
	orders := s.state.Begin(now, unixMillis(), p.Map)
	s.preparing = expertplan.Change{Plan: p, BegunAt: now}
	s.next = knownMap{version: s.state.Version(), token: s.state.Token(), experts: p.Map, fromLeader: true}
	s.delta = newMapDelta(s.current, s.next, s.planner.Shape())
	s.counters.changes.Add(1)
	s.counters.copies.Add(int64(p.Copies))
	s.log.Change("map proposed", api.Fields{"group": s.group, "epoch": s.epoch, "version": s.state.Version(),
		"imbalance": p.Before, "imbalance_after": p.After, "copies": p.Copies, "copies_per_rank": p.CopiesPerRank,
		"running": s.requestsInFlight(), "order_bytes": s.delta.bytes})
	s.sendOrders(orders)
	s.logPhase()
}

// copyTime returns how long the ranks copy experts for the change in preparation.
func (s *service) copyTime() time.Duration {
	if s.planner == nil {
		return 0
	}
	return s.planner.CopyTime(s.preparing.Plan)
}

// plan returns the change to begin, or the one to begin in place of that in preparation.
func (s *service) plan(now time.Duration) (expertplan.Plan, bool) {
	if s.state.Phase() == mapswitch.Preparing {
		return s.planner.Replacement(now, s.current.experts, s.preparing)
	}
	return s.planner.Plan(s.current.experts)
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
		"from": s.loggedPhase.String(), "to": phase.String(), "view_age_ms": (s.clock.Now() - s.lastAsOf).Milliseconds(),
	})
	s.loggedPhase = phase
}

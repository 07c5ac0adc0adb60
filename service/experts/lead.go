package experts

import (
	"context"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/expertplan"
	"github.com/mulberryfork/mulberryfork/decide/mapswitch"
	"github.com/mulberryfork/mulberryfork/wire"
)

// unixMillis is the clock that fencing tokens derive from.
func unixMillis() uint64 { return uint64(time.Now().UnixMilli()) }

// tick starts a reading where one is due, and repeats orders.
func (s *service) tick(now time.Duration) {
	if s.known && !s.leads(now) {
		return
	}
	if s.state != nil {
		s.send(s.state.Tick(now, unixMillis()))
		s.notePhase()
	}
	interval := readInterval
	if s.state != nil && s.state.Phase() > mapswitch.Preparing {
		interval = stepInterval
	}
	if s.reading || now-s.readAt < interval {
		return
	}
	s.reading, s.readAt = true, now
	ask := wire.RankReadRequest{Leader: s.rank, Group: s.group, Counts: now-s.countedAt >= s.countInterval()}
	if ask.Counts {
		s.countedAt = now
	}
	ask.Experts = s.present == nil || len(s.last) > s.rank && s.last[s.rank].MapVersion != s.version
	go s.read(ask, s.known, s.others())
}

// countInterval is the time in which the counts of all ranks fit the part of
// the link that readings may use.
func (s *service) countInterval() time.Duration {
	if s.plan == nil || s.settings.Edge.LinkMbps <= 0 {
		return 0
	}
	shape := s.plan.Shape()
	bits := 8 * countBytes * float64(shape.Ranks*shape.Layers*shape.Experts)
	return time.Duration(bits / (linkPart * s.settings.Edge.LinkMbps * 1e6) * float64(time.Second))
}

// leads says whether no lower rank has read from this process lately.
func (s *service) leads(now time.Duration) bool {
	return s.rank == 0 || now-s.visited > leaderSilence+time.Duration(s.rank)*rankSilence
}

// visit notes that a leader reads from this process.
func (s *service) visit(now time.Duration, r wire.RankReadRequest) {
	if s.known && r.Group == s.group && r.Leader < s.rank {
		s.visited = now
		// A former leader that is replaced starts anew when it leads again.
		s.state, s.present = nil, nil
	}
	if s.state != nil {
		s.state.ObserveToken(r.Token)
	}
}

func (s *service) observe(now time.Duration, r reading) {
	s.reading = false
	s.counts.readings.Add(1)
	if r.own != nil {
		if !s.known || s.group != r.own.Group || s.rank != r.own.Rank {
			s.rank, s.group, s.known = r.own.Rank, r.own.Group, true
			s.visited = now
			s.state, s.plan, s.present = nil, nil, nil
			s.log.Change("rank known", api.Fields{"group": s.group, "rank": s.rank, "epoch": r.own.Epoch})
		}
	}
	if !s.known || !s.leads(now) {
		return
	}
	s.noteElsewhere(now, r)
	if len(r.ranks) == 0 {
		return
	}
	s.adopt(now, r)
	s.send(s.state.Observe(now, r.began, unixMillis(), s.last))
	s.notePhase()
	s.propose(now)
}

// noteElsewhere remembers which upstreams are not of this group, so that a
// reading that lacks a rank looks for it only where it may be.
func (s *service) noteElsewhere(now time.Duration, r reading) {
	for _, address := range r.elsewhere {
		s.elsewhere[address] = true
	}
	if r.complete {
		s.completeAt = now
		return
	}
	s.counts.incomplete.Add(1)
	if now-s.completeAt > rescanAfter {
		s.completeAt = now
		clear(s.elsewhere)
	}
}

// adopt takes a reading as the present state of the group. Ranks that it lacks
// have no size.
func (s *service) adopt(now time.Duration, r reading) {
	if s.state == nil {
		s.state = mapswitch.New(s.rank)
		s.log.Change("leading", api.Fields{"group": s.group, "rank": s.rank, "epoch": r.own.Epoch})
	}
	s.last = make([]api.RankReport, len(r.ranks))
	own := r.ranks[s.rank].Report
	counts := make([][]uint64, len(r.ranks))
	counted := false
	lists := make([][][]int, len(r.ranks))
	for i, rank := range r.ranks {
		s.last[i], counts[i], lists[i] = rank.Report, rank.Counts, rank.Experts
		counted = counted || len(rank.Counts) > 0
		s.state.ObserveToken(rank.Token)
	}
	epoch := own.Epoch
	if epoch != s.epoch {
		s.epoch, s.present = epoch, nil
	}
	s.learnMap(lists)
	profile := s.profile()
	if profile == nil {
		return
	}
	if s.plan == nil {
		s.plan = expertplan.New(len(s.last), *profile)
	}
	if counted && s.plan.Observe(now, epoch, counts, s.running()) {
		s.log.Change("demand shifted", api.Fields{"group": s.group, "epoch": epoch, "running": s.running()})
		// The next reading counts at once.
		s.countedAt = 0
	}
}

// running returns the number of requests that the ranks of the group work on.
func (s *service) running() int {
	n := 0
	for _, r := range s.last {
		n += r.Running
	}
	return n
}

// profile returns that of the engine beside this process.
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

// learnMap takes the map in use, by layer and rank, if all ranks told theirs.
func (s *service) learnMap(lists [][][]int) {
	version := s.last[s.rank].MapVersion
	for i, r := range s.last {
		if r.Size == 0 || r.MapVersion != version || len(lists[i]) == 0 || len(lists[i]) != len(lists[0]) {
			return
		}
	}
	s.present = make([][][]int, len(lists[0]))
	for l := range s.present {
		for r := range lists {
			s.present[l] = append(s.present[l], lists[r][l])
		}
	}
	s.version = version
}

// propose begins a change if one is worth it.
func (s *service) propose(now time.Duration) {
	if s.plan == nil || s.present == nil || !s.state.Ready() || s.last[s.rank].MapVersion != s.version {
		return
	}
	p, ok := s.plan.Plan(s.present)
	if !ok {
		return
	}
	if s.state.Phase() == mapswitch.Preparing && s.plan.Imbalance(s.next) < staleFactor*p.After {
		return
	}
	s.next = p.Map
	sends := s.state.Begin(now, unixMillis(), p.Map)
	s.counts.changes.Add(1)
	s.log.Change("map proposed", api.Fields{"group": s.group, "epoch": s.epoch, "version": s.state.Version(),
		"imbalance": p.Before, "imbalance_after": p.After, "copies": p.Copies, "running": s.running()})
	s.send(sends)
	s.notePhase()
}

// notePhase logs the progress of a change.
func (s *service) notePhase() {
	phase := s.state.Phase()
	if phase == s.phase {
		return
	}
	if phase == mapswitch.Fencing {
		s.counts.undone.Add(1)
	}
	s.log.Change("map phase", api.Fields{
		"group": s.group, "epoch": s.epoch, "version": s.state.Version(),
		"from": s.phase.String(), "to": phase.String(),
	})
	s.phase = phase
}

func (s *service) send(sends []mapswitch.OutgoingOrder) {
	for _, one := range sends {
		address := s.last[one.Rank].Address
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
			defer cancel()
			answer := s.order(ctx, address, one.Order)
			_ = s.answers.Post(s.ctx, answered{send: one, answer: answer})
		}()
	}
}

// Package mapswitch changes the expert map of a group so that no pass begins
// with two maps, whoever fails on the way.
//
// The leader has all ranks prepare the map, holds a pass that has not begun at
// the rank after its own, arms all ranks for that pass, its own last, and
// releases it once every rank has confirmed. While the pass is held nothing can
// begin with a part of the ranks armed, so orders may be lost, late or repeated:
//
//   - an order that is carried out after its pass has begun is refused;
//   - an order of an earlier leader, or of an earlier try, has a lower fencing
//     token than the rank has seen, and is refused;
//   - a group that was formed anew has another epoch, map 0 and nothing armed.
//
// A hold does not expire. A leader that finds one that is not its own fences
// every rank, so that nobody else can change anything, looks again, and disarms
// every rank before it releases, unless all are armed alike.
//
// A VM that stands still takes its rank out of reach. If that is the leader's,
// the rank that holds is another one, and its own rank is not armed before all
// others are: as long as one of them is not, the change can be undone without it.
// The holder is armed after the others, one order by itself, so that a leader
// that stops right after it asked them leaves one that is not.
package mapswitch

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// resendAfter is the time after which an order without an answer is sent
	// again. Answers of 24 ranks take 10 to 40 ms.
	resendAfter = 60 * time.Millisecond
	// leadPasses is the number of passes from the last known one to the one that
	// is held. If that has begun when the order arrives, the next one is tried.
	leadPasses = 1
	// maxLeadPasses bounds it where orders are lost.
	maxLeadPasses = 6
	// prepareLimit bounds the copying of experts.
	prepareLimit = 8 * time.Second
	// armLimit bounds the time in which the group is held for missing answers.
	armLimit = 1200 * time.Millisecond
	// tokenRanks exceeds the ranks of a group. A token holds the leader's rank
	// beside the clock, so that no two leaders use the same.
	tokenRanks = 1024
	// tokenJump exceeds what clocks of leaders differ by, in milliseconds.
	tokenJump = 60_000
)

// Phase is the progress of a change.
type Phase uint8

// Phases of a change.
const (
	Idle Phase = iota
	Preparing
	Holding
	// Arming asks all ranks but the holder and the leader's own, ArmingHolder and
	// ArmingOwn those.
	Arming
	ArmingHolder
	ArmingOwn
	Releasing
	// Settling waits for the pass from which the map is in use.
	Settling
	// Fencing, Verifying, Disarming and Freeing undo a change that was left.
	Fencing
	Verifying
	Disarming
	Freeing
)

var phaseNames = [...]string{"idle", "preparing", "holding", "arming", "arming holder", "arming own", "releasing", "settling", "fencing", "verifying", "disarming", "freeing"}

func (p Phase) String() string { return phaseNames[p] }

// Send is an order to one rank.
type Send struct {
	Rank  int
	Order api.RankOrder
}

// State is the state of one leader. It belongs to the control loop.
type State struct {
	phase Phase
	// since is when the phase began, for its limit.
	since time.Duration
	// own is the rank of the leader.
	own   int
	epoch uint64
	token uint64
	// top is the highest token heard of.
	top     uint64
	version uint64
	step    uint64
	// stepped is set once the pass to hold had begun and the next one is tried.
	stepped bool
	plan    [][][]int
	ranks   []api.RankReport
	// waiting are the orders of the phase without an answer, by rank.
	waiting map[int]*pending
	// rounds is how often an order of this change had to be sent.
	rounds int
	passes passClock
	// disarmed is set once every rank has answered an order to disarm, and with
	// it knows the token, so that no other leader can arm it.
	disarmed bool
	// deposed is set once a rank has refused a token of this leader.
	deposed bool
}

type pending struct {
	order api.RankOrder
	at    time.Duration
	tries int
}

// passClock measures how long passes take.
type passClock struct {
	step uint64
	at   time.Duration
	// each is the time of one pass, 0 if not known.
	each time.Duration
}

func (c *passClock) observe(now time.Duration, step uint64) {
	if step == c.step {
		return
	}
	if step > c.step && c.step > 0 {
		c.each = (now - c.at) / time.Duration(step-c.step)
	}
	c.step, c.at = step, now
}

// New returns the state of a leader at a rank.
func New(own int) *State { return &State{own: own, waiting: make(map[int]*pending)} }

// Phase returns the progress of the change.
func (s *State) Phase() Phase { return s.phase }

// Version returns the version of the last change begun.
func (s *State) Version() uint64 { return s.version }

// HearToken takes a fencing token that others have used.
func (s *State) HearToken(token uint64) { s.top = max(s.top, token) }

// Ready says whether a change can begin: the last reading shows an open group
// in which nothing is held or armed. It replaces one that is being prepared.
func (s *State) Ready() bool {
	if s.phase != Idle && s.phase != Preparing || len(s.ranks) == 0 {
		return false
	}
	for _, r := range s.ranks {
		if !present(r) || !r.Open || r.Map != s.ranks[0].Map || r.Armed != nil || r.Held != nil {
			return false
		}
	}
	return true
}

// Begin starts a change to a map, given by layer and rank. The clock is the
// Unix time in milliseconds, from which fencing tokens derive.
func (s *State) Begin(now time.Duration, clock uint64, plan [][][]int) []Send {
	s.newToken(clock)
	s.plan = plan
	s.rounds = 0
	s.version = s.nextVersion()
	return s.toAll(now, Preparing, api.RankOrder{Op: api.RankPrepare, Version: s.version, Map: plan})
}

// nextVersion returns a version above all that are known. Leaders use different
// ones, so that two maps never have the same version.
func (s *State) nextVersion() uint64 {
	top := s.version
	for _, r := range s.ranks {
		top = max(top, r.Map)
		if r.Prepared != nil {
			top = max(top, *r.Prepared)
		}
	}
	size := uint64(len(s.ranks))
	return (top/size+1)*size + uint64(s.own)
}

// newToken takes a token above all that are known. Leaders use different ones.
func (s *State) newToken(clock uint64) {
	base := max(clock, s.top/tokenRanks+1)
	if s.deposed {
		base += tokenJump
		s.deposed = false
	}
	s.token = base*tokenRanks + uint64(s.own)
	s.top = s.token
}

func (s *State) enter(now time.Duration, p Phase) {
	s.phase, s.since = p, now
	clear(s.waiting)
}

func (s *State) toAll(now time.Duration, p Phase, o api.RankOrder) []Send {
	s.enter(now, p)
	if p == Arming && len(s.ranks) <= 2 {
		return s.next(now)
	}
	for rank := range s.ranks {
		if p != Arming || rank != s.own && rank != s.holder(s.own) {
			s.expect(rank, o)
		}
	}
	return s.due(now)
}

// holder is the rank at which a leader holds a pass.
func (s *State) holder(leader int) int { return (leader + 1) % len(s.ranks) }

func present(r api.RankReport) bool { return r.Size > 0 }

func (s *State) expect(rank int, o api.RankOrder) {
	if !present(s.ranks[rank]) {
		return
	}
	o.Token, o.Epoch = s.token, s.epoch
	s.waiting[rank] = &pending{order: o}
}

// due returns the orders that have to be sent now.
func (s *State) due(now time.Duration) []Send {
	var sends []Send
	for rank := range s.ranks {
		p := s.waiting[rank]
		if p == nil || p.tries > 0 && now-p.at < resendAfter {
			continue
		}
		p.at = now
		p.tries++
		s.rounds = max(s.rounds, p.tries)
		sends = append(sends, Send{Rank: rank, Order: p.order})
	}
	return sends
}

// Tick sends orders again that have no answer, and gives up what takes too long.
func (s *State) Tick(now time.Duration, clock uint64) []Send {
	switch {
	case s.phase == Preparing && now-s.since > prepareLimit:
		s.enter(now, Idle)
	case s.phase >= Holding && s.phase <= ArmingOwn && now-s.since > armLimit:
		return s.undo(now, clock)
	}
	return s.due(now)
}

// Observe takes a reading of the group, by rank, and when it began. A reading
// that began before the present phase says nothing of its effect. A rank that
// could not be read has no size; the own one must be there.
func (s *State) Observe(now, began time.Duration, clock uint64, ranks []api.RankReport) []Send {
	if len(ranks) == 0 || began < s.since {
		return s.due(now)
	}
	if epoch := ranks[s.own].Epoch; epoch != s.epoch || len(ranks) != len(s.ranks) {
		s.epoch = epoch
		s.enter(now, Idle)
		s.version, s.step = 0, 0
	}
	if missing := missingRanks(ranks); len(missing) > 0 {
		return s.observePart(now, clock, ranks, missing)
	}
	s.ranks = ranks
	s.passes.observe(now, s.lastStep())
	switch s.phase {
	case Idle:
		if s.foreign() {
			return s.undo(now, clock)
		}
	case Preparing:
		if s.foreign() {
			return s.undo(now, clock)
		}
		if s.allPrepared() {
			return s.hold(now)
		}
	case Settling:
		return s.settle(now, clock)
	case Verifying:
		return s.verified(now)
	}
	return s.due(now)
}

func (s *State) allPrepared() bool {
	for _, r := range s.ranks {
		if r.Prepared == nil || *r.Prepared != s.version {
			return false
		}
	}
	return true
}

func (s *State) lastStep() uint64 {
	step := uint64(0)
	for _, r := range s.ranks {
		step = max(step, r.Step)
	}
	return step
}

// lead is the number of passes to the one that is held. Where orders had to be
// repeated to prepare, arming takes as many rounds, and the passes that begin
// meanwhile are left to the old map: the group need not wait.
func (s *State) lead() uint64 {
	if s.passes.each <= 0 {
		return leadPasses
	}
	arming := time.Duration(max(0, s.rounds-1)) * resendAfter
	return min(leadPasses+uint64(arming/s.passes.each), maxLeadPasses)
}

func (s *State) hold(now time.Duration) []Send {
	s.enter(now, Holding)
	s.step, s.stepped = s.lastStep()+s.lead(), false
	return s.holdStep(now)
}

func (s *State) holdStep(now time.Duration) []Send {
	s.expect(s.holder(s.own), api.RankOrder{Op: api.RankHold, Step: s.step})
	return s.due(now)
}

// settle waits until every rank uses the map. Another leader's hold is undone.
func (s *State) settle(now time.Duration, clock uint64) []Send {
	settled := true
	for _, r := range s.ranks {
		if r.Held != nil {
			return s.undo(now, clock)
		}
		settled = settled && r.Map == s.version
	}
	if settled {
		s.enter(now, Idle)
	}
	return nil
}

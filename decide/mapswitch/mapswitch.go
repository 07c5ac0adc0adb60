// Package mapswitch changes the expert map of a group. No forward pass runs
// with two different maps, whichever process fails during the change. Reports and
// orders identify a pass by its step number.
//
// The leader has all ranks prepare the map. It then orders the rank after its own,
// the holder, to hold a pass that has not begun. It arms all ranks for that pass,
// its own last, and releases the pass once every rank has confirmed. An armed rank
// switches to the map when the pass begins. While the pass
// is held, no pass can begin with only some ranks armed, so orders may be lost,
// delayed or duplicated:
//
//   - a rank refuses an order whose pass has already begun;
//   - a rank refuses an order of an earlier leader or an abandoned change, because
//     its fencing token is lower than the highest one that the rank has seen;
//   - a group that formed again has a new epoch, map 0 and no armed rank.
//
// A hold does not expire. A leader that finds another leader's hold ends that
// change: it fences all ranks, which blocks every other leader, reads the reports
// again, disarms all ranks unless all are armed with the same version, and then
// releases the pass.
//
// A rank is unreachable while its VM hangs. The holder is never the leader's own
// rank, which is armed last. So if the leader's VM hangs, the change can be undone
// without that rank as long as at least one other rank is not armed. The holder is
// armed after the other ranks have confirmed, so it is not armed if the leader stops
// right after it has sent the orders to the others.
package mapswitch

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// resendInterval is the minimum time after which an order without a result is
	// resent.
	resendInterval = 60 * time.Millisecond
	// resendOrderTimes is the number of expected durations of orders to all ranks after
	// which an order is resent.
	resendOrderTimes = 2
	// awaitedResendIntervals is the number of resend intervals after which a prepare
	// order is resent although its result is still awaited.
	awaitedResendIntervals = 10
	// minPassesAhead is the distance from the last known pass to the held one if no
	// order was lost. If the pass has begun when the order arrives, the leader
	// tries to hold the next one.
	minPassesAhead = 1
	// switchTimeWeight is the weight of a change that took less time than the ones before.
	switchTimeWeight = 0.3
	// maxPassesAhead limits the distance when orders are lost.
	maxPassesAhead = 6
	// maxHoldAttempts is the number of successive passes that the leader tries to hold
	// before it waits for a newer snapshot. Reports are up to a few passes old, an attempt
	// takes a fraction of a pass, and a snapshot takes longer than a pass.
	maxHoldAttempts = 4
	// prepareTimeout limits how long the ranks may take to copy experts.
	prepareTimeout = 8 * time.Second
	// armTimeout limits how long the group is held while results are missing.
	armTimeout = 1200 * time.Millisecond
	// tokenRankSpan exceeds the number of ranks in a group. A token combines the
	// clock with the leader's rank, so that leaders never use the same token.
	tokenRankSpan = 1024
	// tokenSkewMargin is added to the clock for the next token of a leader whose
	// order was fenced. It exceeds the clock skew between leaders, in milliseconds.
	tokenSkewMargin = 60_000
)

// Phase is the progress of a change.
type Phase uint8

// Phases of a change.
const (
	Idle Phase = iota
	Preparing
	Holding
	// Arming arms all ranks except the holder and the leader's own. ArmingHolder and
	// ArmingLeader then arm these two, one after the other.
	Arming
	ArmingHolder
	ArmingLeader
	Releasing
	// Settling waits until every rank uses the new map.
	Settling
	// The remaining phases undo an abandoned change. Fencing raises the token of all
	// ranks, Verifying waits for a new snapshot, Disarming disarms all ranks, and
	// Freeing releases the holds.
	Fencing
	Verifying
	Disarming
	Freeing
)

var phaseNames = [...]string{"idle", "preparing", "holding", "arming", "arming holder", "arming own", "releasing", "settling", "fencing", "verifying", "disarming", "freeing"}

func (p Phase) String() string { return phaseNames[p] }

// OutgoingOrder is an order to one rank.
type OutgoingOrder struct {
	Rank  int
	Order api.RankOrder
	// Attempt counts how often the order was sent, from 1.
	Attempt int
}

// State is the state of one leader. Only the control loop uses it.
type State struct {
	phase Phase
	// phaseStart is when the phase began. Phase timeouts count from it.
	phaseStart time.Duration
	leaderRank int
	// epoch is the epoch of the group in the last snapshot.
	epoch uint64
	// token is the fencing token of this leader's orders.
	token uint64
	// highestToken is the highest known fencing token of any leader.
	highestToken uint64
	// version is the map version of the last change. It is kept in a new epoch: ranks that
	// did not restart refuse versions that are not above all they have had.
	version uint64
	// heldStep is the number of the pass that this change holds.
	heldStep uint64
	// holdAttempts counts the passes that the leader has tried to hold since the last
	// snapshot. A hold is refused if its pass has begun.
	holdAttempts int
	// preparedAt is when the last rank confirmed its prepare order.
	preparedAt time.Duration
	expertMap  [][][]int
	// ranks is the last recorded snapshot: the reports by rank.
	ranks []api.RankReport
	// pending holds the orders of the phase that have no result yet, by rank.
	pending map[int]*pendingOrder
	// peakAttempts is the highest number of attempts of any order of this change.
	peakAttempts int
	// orderTime is how long orders to all ranks are expected to take.
	orderTime time.Duration
	// switchTime is how long the last changes took from the order to hold to the release. It
	// rises at once and falls slowly: orders are lost for seconds.
	switchTime time.Duration
	// holdAt is when the order to hold of this change was sent.
	holdAt time.Duration
	// acceptedPause is the longest pause between events that callers accept.
	acceptedPause time.Duration
	passes        passClock
	// allDisarmed is set once every rank has executed or refused a disarm order. The
	// token of that order prevents leaders with a lower token from arming the rank
	// again.
	allDisarmed bool
	// deposed is set once a rank has refused an order because it has seen a
	// higher token.
	deposed bool
}

type pendingOrder struct {
	order    api.RankOrder
	sentAt   time.Duration
	attempts int
	// awaited is true from sending the order until its result.
	awaited bool
}

// mayResend reports whether the order may be sent again now. A prepare order is large:
// a second copy while the first is on its way would only delay both.
func (p *pendingOrder) mayResend(now, interval time.Duration) bool {
	if p.awaited && p.order.Op == api.RankPrepare {
		interval *= awaitedResendIntervals
	}
	return now-p.sentAt >= interval
}

// New returns the state of the leader at a rank.
func New(leaderRank int) *State {
	return &State{leaderRank: leaderRank, pending: make(map[int]*pendingOrder)}
}

// Phase returns the progress of the change.
func (s *State) Phase() Phase { return s.phase }

// Token returns the fencing token of this leader's orders.
func (s *State) Token() uint64 { return s.token }

// SetAcceptedPause sets the longest pause between events that callers accept, 0 if it is
// unknown.
func (s *State) SetAcceptedPause(d time.Duration) { s.acceptedPause = d }

// SetOrderTime sets how long orders to all ranks are expected to take.
func (s *State) SetOrderTime(d time.Duration) { s.orderTime = d }

// Version returns the map version of the last change.
func (s *State) Version() uint64 { return s.version }

// ObserveToken records a fencing token that another leader has used.
func (s *State) ObserveToken(token uint64) { s.highestToken = max(s.highestToken, token) }

// Ready reports whether a change can begin: the last snapshot shows a formed group
// whose ranks use the same map, and none is armed or holds a pass. A change that
// is still being prepared can be replaced.
func (s *State) Ready() bool {
	if s.phase != Idle && s.phase != Preparing || len(s.ranks) == 0 {
		return false
	}
	for _, r := range s.ranks {
		if !reported(r) || !r.Formed || r.MapVersion != s.ranks[0].MapVersion || r.ArmedMapVersion != nil || r.HeldStep != nil {
			return false
		}
	}
	return true
}

// Begin starts a change to a map, given by layer and rank, and returns the orders
// to send. unixMillis is the Unix time in milliseconds, from which fencing tokens
// are derived.
func (s *State) Begin(now time.Duration, unixMillis uint64, expertMap [][][]int) []OutgoingOrder {
	s.newToken(unixMillis)
	s.expertMap = expertMap
	s.peakAttempts = 0
	s.version = s.nextVersion()
	return s.sendToAll(now, Preparing, api.RankOrder{Op: api.RankPrepare, MapVersion: s.version, Map: expertMap})
}

// nextVersion returns a version above all known ones. It contains the leader's
// rank, so that two leaders never give two maps the same version.
func (s *State) nextVersion() uint64 {
	highest := s.version
	for _, r := range s.ranks {
		highest = max(highest, r.MapVersion)
		if r.PreparedMapVersion != nil {
			highest = max(highest, *r.PreparedMapVersion)
		}
	}
	size := uint64(len(s.ranks))
	return (highest/size+1)*size + uint64(s.leaderRank)
}

// newToken sets a fencing token above all known ones. It contains the leader's
// rank, so that leaders never use the same token.
func (s *State) newToken(unixMillis uint64) {
	base := max(unixMillis, s.highestToken/tokenRankSpan+1)
	if s.deposed {
		base += tokenSkewMargin
		s.deposed = false
	}
	s.token = base*tokenRankSpan + uint64(s.leaderRank)
	s.highestToken = s.token
}

func (s *State) enterPhase(now time.Duration, p Phase) {
	s.phase, s.phaseStart = p, now
	clear(s.pending)
}

// sendToAll enters a phase and sends an order to every rank. In the phase Arming, it
// leaves out the holder and the leader's own rank.
func (s *State) sendToAll(now time.Duration, p Phase, o api.RankOrder) []OutgoingOrder {
	s.enterPhase(now, p)
	if p == Arming && len(s.ranks) <= 2 {
		return s.advance(now)
	}
	for rank := range s.ranks {
		if p != Arming || rank != s.leaderRank && rank != s.holderRank(s.leaderRank) {
			s.addPending(rank, o)
		}
	}
	return s.dueOrders(now)
}

// holderRank returns the rank at which the leader at the given rank holds a pass.
func (s *State) holderRank(leader int) int { return (leader + 1) % len(s.ranks) }

// reported reports whether a snapshot contains the report of a rank.
func reported(r api.RankReport) bool { return r.Size > 0 }

func (s *State) addPending(rank int, o api.RankOrder) {
	if !reported(s.ranks[rank]) {
		return
	}
	o.Token, o.Epoch = s.token, s.epoch
	s.pending[rank] = &pendingOrder{order: o}
}

// dueOrders returns the orders to send or resend now and records them as sent.
func (s *State) dueOrders(now time.Duration) []OutgoingOrder {
	var due []OutgoingOrder
	for rank := range s.ranks {
		p := s.pending[rank]
		if p == nil || p.attempts > 0 && !p.mayResend(now, s.resendInterval()) {
			continue
		}
		p.sentAt, p.awaited = now, true
		p.attempts++
		s.peakAttempts = max(s.peakAttempts, p.attempts)
		due = append(due, OutgoingOrder{Rank: rank, Order: p.order, Attempt: p.attempts})
	}
	return due
}

// resendInterval returns the time after which an order without a result is resent. It
// follows from the number of orders without a result, which share the leader's link.
func (s *State) resendInterval() time.Duration {
	pendingTime := s.orderTime * time.Duration(len(s.pending)) / time.Duration(max(len(s.ranks), 1))
	return max(resendInterval, resendOrderTimes*pendingTime)
}

// Tick returns the orders to send or resend now. It abandons or undoes a change
// whose phase has timed out. unixMillis is as for Begin.
func (s *State) Tick(now time.Duration, unixMillis uint64) []OutgoingOrder {
	switch {
	case s.phase == Preparing && now-s.phaseStart > prepareTimeout:
		s.enterPhase(now, Idle)
	case s.phase >= Holding && s.phase <= ArmingLeader && now-s.phaseStart > armTimeout:
		return s.beginUndo(now, unixMillis)
	}
	return s.dueOrders(now)
}

// Observe records a snapshot of the group, by rank, and returns the orders to send. Each
// report in it was true at asOf or later. Observe ignores a snapshot that may show the time
// before the current phase, since that cannot show the phase's effect. If the epoch or the number of ranks has
// changed, it abandons the change in progress. A rank that did not respond has a
// report with size 0; the leader's own rank must have responded. unixMillis is as
// for Begin.
func (s *State) Observe(now, asOf time.Duration, unixMillis uint64, ranks []api.RankReport) []OutgoingOrder {
	if len(ranks) == 0 || asOf < s.phaseStart {
		return s.dueOrders(now)
	}
	if epoch := ranks[s.leaderRank].Epoch; epoch != s.epoch || len(ranks) != len(s.ranks) {
		s.epoch = epoch
		s.enterPhase(now, Idle)
		s.heldStep = 0
	}
	if missing := missingRanks(ranks); len(missing) > 0 {
		return s.observePartial(now, unixMillis, ranks, missing)
	}
	s.ranks = ranks
	s.passes.observe(now, s.lastStep())
	switch s.phase {
	case Idle:
		if s.hasAbandonedChange() {
			return s.beginUndo(now, unixMillis)
		}
	case Preparing:
		if s.hasAbandonedChange() {
			return s.beginUndo(now, unixMillis)
		}
		if s.allPrepared() {
			return s.beginHold(now)
		}
	case Settling:
		return s.checkSettled(now, unixMillis)
	case Verifying:
		return s.continueUndo(now)
	}
	return s.dueOrders(now)
}

func (s *State) allPrepared() bool {
	for _, r := range s.ranks {
		if r.PreparedMapVersion == nil || *r.PreparedMapVersion != s.version {
			return false
		}
	}
	return true
}

// checkSettled ends the change once every rank uses the new map. A hold in this
// phase belongs to another leader's change, which is undone.
func (s *State) checkSettled(now time.Duration, unixMillis uint64) []OutgoingOrder {
	settled := true
	for _, r := range s.ranks {
		if r.HeldStep != nil {
			return s.beginUndo(now, unixMillis)
		}
		settled = settled && r.MapVersion == s.version
	}
	if settled {
		s.enterPhase(now, Idle)
	}
	return nil
}

// Package urgency decides which requests get the room of groups that is too small for all,
// in a process that shares the groups with others that it does not talk to.
//
// It answers for more arrivals than places over seconds: a shift of demand or a burst of a
// cheap kind of request. Refusing all alike then loses as many urgent requests as others,
// and callers whose request had only to wait for a moment. Instead a request without room
// waits here, and the free places go to those that can still be in time, by priority and in
// fair turns between members. A reserve keeps places for urgent requests that are about to
// arrive, and floors keep every priority and member from getting nothing.
//
// The processes need no shared state. Each one takes an equal part of the room that a report
// shows, less what it has taken since. What one leaves, the next report offers to all, so
// that processes of unequal size settle within a few reports and never take more than there
// is. All durations that are called now are elapsed times of the process.
package urgency

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Patience is the time without an event after which a caller gives up.
	Patience = 2 * time.Second
	// memory is the half-life of the counts behind rates and floors. It is shorter than a
	// burst or the time between two shifts of demand, which last 3 to 6 s.
	memory = 2 * time.Second
	// maxWaiting bounds the waiting requests of a service. Each holds a connection of about
	// 31 KB, so that they take 16 MB of processes that have 136 MB and more.
	maxWaiting = 512
	// minWaiting is the bound for a process with a small part of a small group.
	minWaiting = 8
	// minFloor and maxFloor bound the admission rate that each priority and member gets, as
	// a part of that of the others. See floorFraction.
	minFloor, maxFloor = 0.25, 0.5
	// onePlace is a place, less the rounding errors of a sum of places.
	onePlace = 1 - 1e-6
	// firstEventWeight is the weight of one request in the mean time to the first event.
	firstEventWeight = 0.1
)

// Room is what all upstreams of a service can take, as one process sees it.
type Room struct {
	// Places is the number of requests that find a place now. Sent is the number of this
	// process's requests since the reading, which Places does not contain.
	Places, Sent float64
	// Processes is the number of processes that share the upstreams.
	Processes int
	// ReadAt is the time of the oldest reading in use.
	ReadAt time.Duration
	// EndRate is the number of requests of all processes that end in a second, 0 if unknown.
	EndRate float64
}

// share returns the part of the room that this process may still take.
func (r Room) share() float64 {
	return min((r.Places+r.Sent)/float64(max(r.Processes, 1))-r.Sent, r.Places)
}

// ownEndRate returns the part of EndRate that this process may expect.
func (r Room) ownEndRate() float64 { return r.EndRate / float64(max(r.Processes, 1)) }

// Request is what the decisions depend on.
type Request struct {
	Member string
	// Priority is higher for more urgent requests.
	Priority int32
	// FirstEventBy is the time until which the first event is in time, 0 if there is none.
	FirstEventBy time.Duration
	// QuietSince is the time of the caller's last event, or of its arrival.
	QuietSince time.Duration
	Deadline   time.Duration
}

// Waiter is a waiting request.
type Waiter struct {
	Request
	// Since is the time at which it began to wait.
	Since time.Duration
	// leaveAt is the time until which waiting can serve the caller.
	leaveAt time.Duration
	turn    *turn
	waiting bool
}

// Waiting reports whether the request still waits.
func (w *Waiter) Waiting() bool { return w.waiting }

// State holds the waiting requests of one service and what is known of its arrivals. The
// control loop owns it.
type State struct {
	random *rand.Rand
	// levels are sorted, the highest priority first.
	levels  []*level
	waiting int
	// firstEvent is the mean time from the sending of a request to its first event.
	firstEvent time.Duration
	// rounding decides the fraction of a place for one reading of the loads, so that many
	// processes that may each take less than one place use them all together.
	rounding   float64
	roundingOf time.Duration
}

// level holds the requests of one priority.
type level struct {
	priority int32
	arrivals decayed
	results  results
	// turns are the members in the order of their first request. virtual is the tag of the
	// last turn that was taken.
	turns   []*turn
	virtual float64
	waiting int
}

// New returns a state without requests.
func New(seed uint64) *State {
	return &State{random: rand.New(rand.NewPCG(seed, 2)), roundingOf: -1}
}

// Len returns the number of waiting requests.
func (s *State) Len() int { return s.waiting }

// ObserveFirstEvent records the time from the sending of a request to its first event.
func (s *State) ObserveFirstEvent(d time.Duration) {
	if s.firstEvent == 0 {
		s.firstEvent = d
	}
	s.firstEvent += time.Duration(firstEventWeight * float64(d-s.firstEvent))
}

func (s *State) levelOf(priority int32) *level {
	i, found := slices.BinarySearchFunc(s.levels, priority, func(l *level, p int32) int { return int(p) - int(l.priority) })
	if !found {
		s.levels = slices.Insert(s.levels, i, &level{priority: priority})
	}
	return s.levels[i]
}

// Arrive records the arrival of a request.
func (s *State) Arrive(now time.Duration, r Request) {
	s.levelOf(r.Priority).arrivals.add(now, 1)
}

// Reserve returns the number of places that this process needs for arrivals of higher
// priority until a report shows what is sent now, which takes as long as the last one took.
func (s *State) Reserve(now time.Duration, priority int32, room Room) float64 {
	rate := 0.0
	for _, l := range s.levels {
		if l.priority <= priority {
			break
		}
		rate += l.arrivals.rate(now)
	}
	return rate * (now - room.ReadAt).Seconds()
}

// Admitted records that a request was sent without waiting.
func (s *State) Admitted(now time.Duration, r Request) {
	l := s.levelOf(r.Priority)
	l.results.admitted.add(now, 1)
	l.turnOf(r.Member).results.admitted.add(now, 1)
}

// Refused records that a request was refused without waiting.
func (s *State) Refused(now time.Duration, r Request) {
	l := s.levelOf(r.Priority)
	l.results.refused.add(now, 1)
	l.turnOf(r.Member).results.refused.add(now, 1)
}

// Next returns the waiting request that gets the next place, nil if none does. Requests that
// can still be in time go first, then by priority. A priority below its floor goes before
// all others and needs no reserve.
func (s *State) Next(now time.Duration, room Room) *Waiter {
	if s.waiting == 0 {
		return nil
	}
	if room.ReadAt != s.roundingOf {
		s.rounding, s.roundingOf = s.random.Float64(), room.ReadAt
	}
	share := room.share() + s.rounding
	if share < onePlace || room.Places < onePlace {
		return nil
	}
	for _, l := range s.levels {
		l.sortOutLate(now, s.firstEvent)
	}
	if l := s.belowFloor(now); l != nil {
		if w := l.next(now, true); w != nil {
			return w
		}
		return l.next(now, false)
	}
	for _, inTime := range []bool{true, false} {
		for _, l := range s.levels {
			if l.waiting == 0 || share < onePlace+s.Reserve(now, l.priority, room) {
				continue
			}
			if w := l.next(now, inTime); w != nil {
				return w
			}
		}
	}
	return nil
}

// Admit removes a request that was sent. The turn of its member is over.
func (s *State) Admit(now time.Duration, w *Waiter) {
	s.remove(w)
	l := s.levelOf(w.Priority)
	l.take(w.turn)
	l.results.admitted.add(now, 1)
	w.turn.results.admitted.add(now, 1)
}

// Refuse removes a request that was refused.
func (s *State) Refuse(now time.Duration, w *Waiter) {
	s.remove(w)
	s.levelOf(w.Priority).results.refused.add(now, 1)
	w.turn.results.refused.add(now, 1)
}

// Cancel removes a request whose caller is gone. It does nothing if it does not wait.
func (s *State) Cancel(w *Waiter) {
	if w.waiting {
		s.remove(w)
	}
}

func (s *State) remove(w *Waiter) {
	w.waiting = false
	s.waiting--
	s.levelOf(w.Priority).waiting--
	w.turn.drop(w)
}

// decayed is a count with a half-life of memory.
type decayed struct {
	value float64
	at    time.Duration
}

func (d *decayed) now(now time.Duration) float64 {
	return d.value * math.Exp2(-(now-d.at).Seconds()/memory.Seconds())
}

func (d *decayed) add(now time.Duration, n float64) {
	d.value, d.at = d.now(now)+n, now
}

// rate returns the events in a second.
func (d *decayed) rate(now time.Duration) float64 {
	return d.now(now) * math.Ln2 / memory.Seconds()
}

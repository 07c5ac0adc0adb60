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
// The processes need no shared state. Requests of a priority go at once where there is room
// for all of that and higher priorities at all processes. Of the rest of the room that a report
// shows, each process takes an equal part, less what it has taken since. What one leaves, the
// next report offers to all, so that processes of unequal size settle within a few reports. All durations that are called now are elapsed times of the process.
package urgency

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Patience is the time without an event after which a caller gives up.
	Patience = 2 * time.Second
	// replyTime is left for a refusal to reach a caller before it gives up: its patience began
	// when it connected.
	replyTime = 100 * time.Millisecond
	// memory is the half-life of the counts behind the rates of arrivals. A burst lasts 3.5 to
	// 6 s.
	memory = 3 * time.Second
	// floorMemory is the half-life of the counts behind floors. A process with few requests
	// gets one of the least urgent kind in some seconds.
	floorMemory = 10 * time.Second
	// maxWaiting bounds the waiting requests of a service. Each holds a connection of about
	// 31 KB, so that they take 16 MB of processes that have 136 MB and more.
	maxWaiting = 512
	// minWaiting is the bound for a process with a small part of a small group.
	minWaiting = 8
	// lowFloor and highFloor are the parts of the admission rate of the others that a priority
	// gets always, and where the room allows it. Members of one priority get highFloor.
	lowFloor, highFloor = 0.25, 0.5
	// minCounted is the shortest time over which a rate is counted: about the age of a load.
	minCounted = 200 * time.Millisecond
	// onePlace is a place, less the rounding errors of a sum of places.
	onePlace = 1 - 1e-6
	// sentWindow is how long the times of sent requests are kept. It exceeds the age of a
	// load that is used.
	sentWindow = 2 * time.Second
	// firstEventWeight is the weight of one request in the mean time to the first event.
	firstEventWeight = 0.1
)

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
	// firstAt is the time of the first arrival.
	firstAt time.Duration
	// endRate is the number of requests whose places this process may take in a second, by
	// the last known room.
	endRate float64
	// firstEvent is the mean time from the sending of a request to its first event.
	firstEvent time.Duration
	// rounding decides the fraction of a place, so that many processes that may each take
	// less than one place use them all together. It changes once the loads contain all that
	// was sent since roundedAt: a second draw before would be a second chance.
	rounding  float64
	roundedAt time.Duration
	// sent holds the requests that were sent since sentWindow.
	sent   []sentRequest
	outage outage
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
	// returnAt is when the last refused caller comes back.
	returnAt time.Duration
}

// New returns a state without requests.
func New(seed uint64) *State {
	return &State{random: rand.New(rand.NewPCG(seed, 2))}
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

// Arrive records the arrival of a request, and the room that there is.
func (s *State) Arrive(now time.Duration, r Request, room Room) {
	if room.EndRate > 0 {
		s.endRate = room.ownEndRate()
	}
	if len(s.levels) == 0 {
		s.firstAt = now
	}
	s.levelOf(r.Priority).arrivals.add(now, 1, memory)
}

// Admitted records that a request was sent without waiting.
func (s *State) Admitted(now time.Duration, r Request) {
	s.recordSent(now, r.Priority)
	l := s.levelOf(r.Priority)
	l.results.admit(now)
	l.turnOf(r.Member).results.admit(now)
}

// Refused records that a request was refused without waiting.
func (s *State) Refused(now time.Duration, r Request) {
	l := s.levelOf(r.Priority)
	l.results.refuse(now)
	l.turnOf(r.Member).results.refuse(now)
}

// Next returns the waiting request that gets the next place, nil if none does. Requests that
// can still be in time go first, then by priority. A priority below its floor goes before
// all others and needs no reserve.
func (s *State) Next(now time.Duration, room Room) *Waiter {
	if s.waiting == 0 {
		return nil
	}
	if room.ReadAt >= s.roundedAt {
		s.rounding, s.roundedAt = s.random.Float64(), now
	}
	if room.Places < onePlace {
		return nil
	}
	for _, l := range s.levels {
		l.sortOutLate(now, s.firstEvent)
	}
	if l := s.onFloor(now, room); l != nil {
		if w := l.next(now, true); w != nil || !room.InTimeOnly {
			return cmp.Or(w, l.next(now, false))
		}
	}
	for _, inTime := range []bool{true, false} {
		if !inTime && room.InTimeOnly {
			return nil
		}
		for _, l := range s.levels {
			if l.waiting == 0 || s.share(now, l.priority, room) < onePlace+s.reserve(now, l.priority, room) && !s.Fits(now, l.priority, room) {
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
	s.recordSent(now, w.Priority)
	l := s.levelOf(w.Priority)
	l.take(w.turn)
	l.results.admit(now)
	w.turn.results.admit(now)
}

// Refuse removes a request that was refused.
func (s *State) Refuse(now time.Duration, w *Waiter) {
	s.remove(w)
	s.levelOf(w.Priority).results.refuse(now)
	w.turn.results.refuse(now)
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

// decayed is a count with a half-life.
type decayed struct {
	value float64
	at    time.Duration
}

func (d *decayed) now(now, halfLife time.Duration) float64 {
	return d.value * math.Exp2(-(now-d.at).Seconds()/halfLife.Seconds())
}

func (d *decayed) add(now time.Duration, n float64, halfLife time.Duration) {
	d.value, d.at = d.now(now, halfLife)+n, now
}

// rate returns the events in a second, counted from the time since.
func (d *decayed) rate(now, since time.Duration) float64 {
	seen := 1 - math.Exp2(-max(now-since, minCounted).Seconds()/memory.Seconds())
	return d.now(now, memory) * math.Ln2 / memory.Seconds() / seen
}

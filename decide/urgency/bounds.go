package urgency

import (
	"iter"
	"math"
	"slices"
	"time"
)

// Add lets a request wait. If there are too many already, it displaces the one that would
// be served last, or is not added itself. displaced must be refused.
func (s *State) Add(now time.Duration, r Request, room Room) (w, displaced *Waiter) {
	leaveAt := s.leaveAt(r)
	if leaveAt <= now {
		return nil, nil
	}
	l := s.levelOf(r.Priority)
	l.forget(now)
	t := l.turnOf(r.Member)
	bound := s.maxWaiting(room)
	memberFull := s.waitingOf(r.Member) >= (bound+1)/2
	if s.waiting >= bound || memberFull {
		if displaced = s.last(r, memberFull); displaced == nil {
			return nil, nil
		}
	}
	w = &Waiter{Request: r, Since: now, leaveAt: leaveAt, turn: t, waiting: true}
	l.add(w, s.firstEvent)
	s.waiting++
	return w, displaced
}

// maxWaiting returns the bound of the waiting requests: as many as can be sent while a caller
// waits, or when the groups are formed.
func (s *State) maxWaiting(room Room) int {
	n := room.ownEndRate() * Patience.Seconds()
	if room.Opening > 0 {
		n = max(n, room.Opening/float64(max(room.Processes, 1)))
	}
	return min(max(int(math.Ceil(n)), minWaiting), maxWaiting)
}

func (s *State) waitingOf(member string) int {
	n := 0
	for _, l := range s.levels {
		for _, t := range l.turns {
			if t.member == member {
				n += t.waiting()
			}
		}
	}
	return n
}

// last returns the waiting request that r may displace: the newest of the member with the
// most requests in the lowest priority, if that is lower than r's or if that member has more
// requests than r's. ofMember restricts it to the member of r.
func (s *State) last(r Request, ofMember bool) *Waiter {
	for _, l := range slices.Backward(s.levels) {
		if l.priority > r.Priority {
			return nil
		}
		var most *turn
		for _, t := range l.turns {
			if t.waiting() > 0 && (!ofMember || t.member == r.Member) && (most == nil || t.waiting() > most.waiting()) {
				most = t
			}
		}
		if most == nil {
			continue
		}
		if l.priority == r.Priority && most.waiting() <= l.turnOf(r.Member).waiting()+1 {
			return nil
		}
		if n := len(most.inTime); n > 0 {
			return most.inTime[n-1]
		}
		return most.late[len(most.late)-1]
	}
	return nil
}

// CanServe reports whether a waiting request is expected to be sent while waiting serves its
// caller. One of a priority below its floor is.
func (s *State) CanServe(now time.Duration, w *Waiter, room Room) bool {
	return room.EndRate == 0 || s.levelOf(w.Priority) == s.belowFloor(now, highFloor) || now+s.expectedWait(now, w.Priority, room) <= w.leaveAt
}

// expectedWait returns the time in which the waiting requests of at least a priority are
// sent, and those of higher priority that arrive meanwhile. The floor of the priority is
// taken into account.
func (s *State) expectedWait(now time.Duration, priority int32, room Room) time.Duration {
	ahead, urgent, own, all := 0, 0.0, 0.0, 0.0
	for _, l := range s.levels {
		rate := l.arrivals.rate(now, s.firstAt)
		all += rate
		if l.priority >= priority {
			ahead += l.waiting
			own = rate
		}
		if l.priority > priority {
			urgent += rate
		}
	}
	if ahead == 0 || room.EndRate == 0 {
		return 0
	}
	rate := room.ownEndRate() - urgent
	if all > 0 {
		rate = max(rate, lowFloor*own/all*room.ownEndRate())
	}
	if rate <= 0 {
		return math.MaxInt32 * time.Millisecond
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// Expired returns the requests that can't be served anymore. They must be refused.
func (s *State) Expired(now time.Duration) []*Waiter {
	var list []*Waiter
	for w := range s.waiters() {
		if w.leaveAt <= now {
			list = append(list, w)
		}
	}
	return list
}

// All returns all waiting requests, the most urgent ones first.
func (s *State) All() []*Waiter { return slices.Collect(s.waiters()) }

// NextExpiry returns the time at which the next waiting request expires. It is only
// meaningful if there is one.
func (s *State) NextExpiry() time.Duration {
	next := time.Duration(math.MaxInt64)
	for w := range s.waiters() {
		next = min(next, w.leaveAt)
	}
	return next
}

// waiters yields all waiting requests, the most urgent ones first. None may be added or removed
// meanwhile.
func (s *State) waiters() iter.Seq[*Waiter] {
	return func(yield func(*Waiter) bool) {
		if s.waiting == 0 {
			return
		}
		for _, l := range s.levels {
			for _, t := range l.turns {
				for _, queue := range [][]*Waiter{t.inTime, t.late} {
					for _, w := range queue {
						if !yield(w) {
							return
						}
					}
				}
			}
		}
	}
}

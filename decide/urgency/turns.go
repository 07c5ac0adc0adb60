package urgency

import (
	"slices"
	"time"
)

// turn holds the requests of one member within one priority.
type turn struct {
	member  string
	results results
	// tag orders the members: the lowest is next. Each request sent adds 1.
	tag float64
	// inTime and late are sorted by the time at which they were or are late. late requests
	// can't get their first event in time anymore.
	inTime, late []*Waiter
}

func (t *turn) waiting() int { return len(t.inTime) + len(t.late) }

func (t *turn) drop(w *Waiter) {
	same := func(o *Waiter) bool { return o == w }
	t.inTime = slices.DeleteFunc(t.inTime, same)
	t.late = slices.DeleteFunc(t.late, same)
}

// turnOf returns the turn of a member. A member that comes back takes no part in the turns
// that it missed.
func (l *level) turnOf(member string) *turn {
	for _, t := range l.turns {
		if t.member == member {
			return t
		}
	}
	t := &turn{member: member, tag: l.virtual}
	l.turns = append(l.turns, t)
	return t
}

// forget drops the members that neither wait nor sent anything lately.
func (l *level) forget(now time.Duration) {
	l.turns = slices.DeleteFunc(l.turns, func(t *turn) bool {
		return t.waiting() == 0 && t.results.at(now).total() < forgottenCount
	})
}

// forgottenCount is the decayed count of requests below which a member is forgotten, one
// request after about seven half-lives.
const forgottenCount = 0.01

// lateAt returns the time from which a request can't be in time anymore if it is sent then.
// One without a target is in time as long as its caller waits.
func (w *Waiter) lateAt(firstEvent time.Duration) time.Duration {
	if w.FirstEventBy == 0 {
		return w.leaveAt
	}
	return w.FirstEventBy - firstEvent
}

// InTime reports whether a request can be in time if it is sent now.
func (s *State) InTime(now time.Duration, r Request) bool {
	return r.FirstEventBy == 0 || r.FirstEventBy-s.firstEvent >= now
}

// sortOutLate moves the requests that can't be in time anymore to the late ones.
func (l *level) sortOutLate(now, firstEvent time.Duration) {
	if l.waiting == 0 {
		return
	}
	for _, t := range l.turns {
		n := 0
		for n < len(t.inTime) && t.inTime[n].lateAt(firstEvent) < now {
			n++
		}
		if n > 0 {
			t.late = append(t.late, t.inTime[:n]...)
			t.inTime = slices.Delete(t.inTime, 0, n)
		}
	}
}

// next returns the first request of the member whose turn it is. Members below their floor
// go first.
func (l *level) next(now time.Duration, inTime bool) *Waiter {
	var best *turn
	bestBelow := false
	all := l.results.at(now)
	for _, t := range l.turns {
		if len(t.queue(inTime)) == 0 {
			continue
		}
		below := t.results.at(now).belowFloor(all, highFloor)
		if best == nil || below && !bestBelow || below == bestBelow && t.tag < best.tag {
			best, bestBelow = t, below
		}
	}
	if best == nil {
		return nil
	}
	return best.queue(inTime)[0]
}

func (t *turn) queue(inTime bool) []*Waiter {
	if inTime {
		return t.inTime
	}
	return t.late
}

// take ends a turn of a member.
func (l *level) take(t *turn) {
	l.virtual = max(l.virtual, t.tag)
	t.tag++
}

// add queues a request behind those of its member that are late sooner.
func (l *level) add(w *Waiter, firstEvent time.Duration) {
	t := w.turn
	if t.waiting() == 0 {
		t.tag = max(t.tag, l.virtual)
	}
	i := len(t.inTime)
	for i > 0 && t.inTime[i-1].lateAt(firstEvent) > w.lateAt(firstEvent) {
		i--
	}
	t.inTime = slices.Insert(t.inTime, i, w)
	l.waiting++
}

// results counts the requests that were sent and refused.
type results struct{ admitted, refused decayed }

func (r *results) admit(now time.Duration)  { r.admitted.add(now, 1, floorMemory) }
func (r *results) refuse(now time.Duration) { r.refused.add(now, 1, floorMemory) }

func (r *results) at(now time.Duration) counts {
	return counts{admitted: r.admitted.now(now, floorMemory), refused: r.refused.now(now, floorMemory)}
}

type counts struct{ admitted, refused float64 }

func (c counts) total() float64 { return c.admitted + c.refused }

func (c counts) minus(o counts) counts {
	return counts{admitted: max(c.admitted-o.admitted, 0), refused: max(c.refused-o.refused, 0)}
}

// rate returns the part that was admitted, 1 if nothing is known.
func (c counts) rate() float64 {
	if c.total() < forgottenCount {
		return 1
	}
	return c.admitted / c.total()
}

// halfRequest is the number of requests, rounded to one, from which a floor is missed. A
// single refusal in a process with few requests gives no precedence.
const halfRequest = 0.5

// belowFloor reports whether c, a part of all, would need one more request admitted to have a
// fraction of the admission rate of the others.
func (c counts) belowFloor(all counts, fraction float64) bool {
	return fraction*all.minus(c).rate()*c.total()-c.admitted >= halfRequest
}

// belowFloor returns the most urgent priority with waiting requests that gets less than its
// floor, nil if there is none. One that would then get more than a more urgent one is left
// out.
func (s *State) belowFloor(now time.Duration, fraction float64) *level {
	var all counts
	for _, l := range s.levels {
		c := l.results.at(now)
		all.admitted += c.admitted
		all.refused += c.refused
	}
	lowest := 1.0
	for _, l := range s.levels {
		c := l.results.at(now)
		if l.waiting > 0 && c.belowFloor(all, fraction) && c.rate() <= lowest {
			return l
		}
		lowest = min(lowest, c.rate())
	}
	return nil
}

// onFloor returns the priority that goes before all others because of its floor, nil if there
// is none. The lower floor always counts. The higher one takes its places only from the
// highest priority that doesn't fit and those below, and not from the highest of all.
func (s *State) onFloor(now time.Duration, room Room) *level {
	if l := s.belowFloor(now, lowFloor); l != nil && s.share(now, s.levels[0].priority, room) >= onePlace {
		return l
	}
	l := s.belowFloor(now, highFloor)
	if l == nil || !s.Fits(now, s.levels[0].priority, room) || s.share(now, s.marginal(now, room), room) < onePlace {
		return nil
	}
	return l
}

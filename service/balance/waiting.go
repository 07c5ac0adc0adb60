package balance

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/balance"
	"github.com/mulberryfork/mulberryfork/decide/urgency"
	"github.com/mulberryfork/mulberryfork/kernel"
)

// pendingQuery is a query with what is known of its reply. The control loop owns all fields but
// the query.
type pendingQuery struct {
	api.RouteQuery
	// chosen is the upstream of the reply, empty if there is none.
	chosen string
	// waiter is set while the request waits.
	waiter *urgency.Waiter
}

type call = kernel.Call[*pendingQuery, routeReply]

// waitQueue holds the calls of one service that wait for room.
type waitQueue struct {
	*urgency.State
	calls map[*urgency.Waiter]call
	// entryAt is the time from which groups that differ take another late request.
	entryAt time.Duration
}

// waitCounters count the requests that wait at this process.
type waitCounters struct {
	waited, sent, canceled, expired, displaced api.Counter
	// refused counts the refusals for want of room, by priority.
	refused map[int32]api.Counter
	metrics api.Metrics
}

// refusedOf returns the counter of refusals of a priority. Its label holds the priorities of
// the member and the route.
func (w *waitCounters) refusedOf(priority int32) api.Counter {
	c := w.refused[priority]
	if c == nil {
		member, route := api.SplitPriority(priority)
		c = w.metrics.Counter("room_refused", strconv.Itoa(int(member))+"/"+strconv.Itoa(int(route)))
		w.refused[priority] = c
	}
	return c
}

func newWaitCounters(metrics api.Metrics) waitCounters {
	count := func(end string) api.Counter { return metrics.Counter("wait_ends", end) }
	return waitCounters{
		waited: metrics.Counter("waited", ""), sent: count("sent"), canceled: count("canceled"),
		expired: count("expired"), displaced: count("displaced"),
		refused: make(map[int32]api.Counter), metrics: metrics,
	}
}

// requestOf describes a call. Where groups differ, a response that was interrupted for longer
// than the accepted pause is late, and goes after those that can still be in time.
func (s *service) requestOf(q *pendingQuery, room balance.Room) urgency.Request {
	r := urgency.Request{
		Member: q.Member, Priority: q.Priority, FirstEventBy: q.FirstEventBy, QuietSince: q.QuietSince, Deadline: q.Deadline,
	}
	if room.Difference != balance.GroupsAlike && r.FirstEventBy == 0 {
		r.FirstEventBy = s.state.PauseTarget(q.Service, q.QuietSince)
	}
	return r
}

func capacityOf(r balance.Room) urgency.Room {
	return urgency.Room{Places: r.Places, Sent: r.Sent, Processes: r.Processes, ReadAt: r.ReadAt, EndRate: r.EndRate, Opening: r.Opening}
}

func (s *service) queueOf(service string) *waitQueue {
	l := s.queues[service]
	if l == nil {
		l = &waitQueue{State: urgency.New(s.seed ^ xxhash.Sum64String(service)), calls: make(map[*urgency.Waiter]call)}
		s.queues[service] = l
	}
	return l
}

// admit replies to a call at once if its service has room for it or it must not wait.
// Otherwise the call waits. One that must not wait here may wait at its upstream.
func (s *service) admit(now time.Duration, c call) {
	q := c.Query
	if !q.MayWait {
		choice, failure := s.state.Choose(now, q.Service, q.Exclude)
		s.answer(now, c, choice, failure)
		return
	}
	s.state.RecordArrival(now, q.Service)
	room := s.state.Survey(now, q.Service, q.Exclude)
	l, request := s.queueOf(q.Service), s.requestOf(q, room)
	l.ObserveForming(now, room.Forming)
	s.uneven.observe(now, q.Service, room.Difference)
	if !room.Known && !room.Unread && !l.MayAwaitForming(now, request) {
		choice, failure := s.chooseWithoutLoads(now, q, l)
		s.answer(now, c, choice, failure)
		return
	}
	l.Arrive(now, request, capacityOf(room))
	if l.Len() == 0 && !room.Unread && (room.EntryAt <= now || l.InTime(now, request)) && l.Fits(now, q.Priority, capacityOf(room)) {
		if choice, placed := s.state.PlaceUrgent(now, &room); placed {
			s.recordPlaced(now, l, request, &room)
			l.Admitted(now, request)
			s.answer(now, c, choice, nil)
			return
		}
	}
	if s.draining {
		s.answer(now, c, balance.Choice{}, stoppingFailure())
		return
	}
	s.enqueue(now, c, l, request, room)
}

// enqueue lets a call wait. It is refused at once if it can't be served while waiting serves
// its caller.
func (s *service) enqueue(now time.Duration, c call, l *waitQueue, request urgency.Request, room balance.Room) {
	w, displaced := l.Add(now, request, capacityOf(room))
	if displaced != nil {
		s.waits.displaced.Add(1)
		s.refuse(now, l, displaced, s.full(now, l, displaced.Priority))
	}
	if w == nil {
		l.Refused(now, request)
		s.answer(now, c, balance.Choice{}, s.full(now, l, c.Query.Priority))
		return
	}
	c.Query.waiter, l.calls[w] = w, c
	s.dispatch(now, c.Query.Service)
	if !w.Waiting() {
		return
	}
	// A late request that waits for the passes of groups with room doesn't wait for a place.
	paced := room.EntryAt > now && room.Places >= float64(l.Len())
	if paced && !l.InTime(now, request) {
		s.uneven.paced.Add(1)
	}
	if !paced && !l.CanServe(now, w, capacityOf(room)) {
		s.refuse(now, l, w, s.full(now, l, w.Priority))
		return
	}
	s.waits.waited.Add(1)
	s.setWake(now)
}

// dispatch sends waiting requests of a service while there is room for them, and refuses
// those that can't be served anymore.
func (s *service) dispatch(now time.Duration, service string) {
	l := s.queues[service]
	if l == nil {
		return
	}
	if l.Len() == 0 {
		if l.Forming() {
			l.ObserveForming(now, s.state.Survey(now, service, nil).Forming)
		}
		return
	}
	for _, w := range l.Expired(now) {
		s.waits.expired.Add(1)
		s.refuse(now, l, w, s.unavailable(now, service, l, w.Priority))
	}
	for l.Len() > 0 {
		room := s.state.Survey(now, service, nil)
		l.ObserveForming(now, room.Forming)
		if room.Forming {
			s.refuseUnserved(now, service, l)
			return
		}
		if room.Unread {
			return
		}
		if !room.Known {
			s.dispatchAll(now, l)
			return
		}
		l.entryAt = room.EntryAt
		capacity := capacityOf(room)
		capacity.InTimeOnly = room.EntryAt > now
		w := l.Next(now, capacity)
		if w == nil {
			return
		}
		s.send(now, l, w, &room)
	}
}

// send places a waiting request. It refuses one that has tried all upstreams with room, and
// one that was found to crash upstreams while it waited.
func (s *service) send(now time.Duration, l *waitQueue, w *urgency.Waiter, room *balance.Room) {
	q := l.calls[w].Query
	if failure := s.suspected(now, q); failure != nil {
		s.refuse(now, l, w, failure)
		return
	}
	if len(q.Exclude) > 0 {
		*room = s.state.Survey(now, q.Service, q.Exclude)
	}
	choice, placed := s.state.PlaceShare(now, room)
	if !placed {
		s.refuse(now, l, w, s.full(now, l, w.Priority))
		return
	}
	s.recordPlaced(now, l, w.Request, room)
	s.sent(now, l, w, choice)
}

// refuseUnserved refuses the waiting requests that can't be served because the groups are not
// formed before their callers give up.
func (s *service) refuseUnserved(now time.Duration, service string, l *waitQueue) {
	for _, w := range l.All() {
		if !l.MayAwaitForming(now, w.Request) {
			s.refuse(now, l, w, s.unavailable(now, service, l, w.Priority))
		}
	}
}

// recordPlaced counts a request that was placed by the loads of groups.
func (s *service) recordPlaced(now time.Duration, l *waitQueue, r urgency.Request, room *balance.Room) {
	s.uneven.recordChoice(room.Difference)
	if !l.InTime(now, r) {
		room.TakeEntry()
	}
}

// chooseWithoutLoads places a request by expected load, or refuses it while the groups are
// being formed.
func (s *service) chooseWithoutLoads(now time.Duration, q *pendingQuery, l *waitQueue) (balance.Choice, *api.Failure) {
	if !l.Forming() {
		return s.state.ChooseByExpectedLoad(now, q.Service, q.Exclude)
	}
	return balance.Choice{}, s.unavailable(now, q.Service, l, q.Priority)
}

// unavailable returns the refusal of a request that finds no room, or no group that is formed.
func (s *service) unavailable(now time.Duration, service string, l *waitQueue, priority int32) *api.Failure {
	if !l.Forming() {
		return s.full(now, l, priority)
	}
	f := s.state.FormingFailure(service)
	f.RetryAfter = l.RetryAfterForming(now, priority, s.state.FormTime(service))
	return f
}

// dispatchAll places all waiting requests as if they arrived now, because the loads of the
// groups are not known anymore.
func (s *service) dispatchAll(now time.Duration, l *waitQueue) {
	for _, w := range l.All() {
		q := l.calls[w].Query
		failure := s.suspected(now, q)
		var choice balance.Choice
		if failure == nil {
			choice, failure = s.chooseWithoutLoads(now, q, l)
		}
		if failure != nil {
			s.refuse(now, l, w, failure)
			continue
		}
		s.sent(now, l, w, choice)
	}
}

// full returns the refusal of a request that finds no room.
func (s *service) full(now time.Duration, l *waitQueue, priority int32) *api.Failure {
	f := s.state.FullFailure()
	f.RetryAfter = l.RetryAfter(now, priority)
	s.waits.refusedOf(priority).Add(1)
	return f
}

func (s *service) refuse(now time.Duration, l *waitQueue, w *urgency.Waiter, f *api.Failure) {
	c := l.calls[w]
	l.Refuse(now, w)
	delete(l.calls, w)
	s.answer(now, c, balance.Choice{}, f)
}

func (s *service) sent(now time.Duration, l *waitQueue, w *urgency.Waiter, choice balance.Choice) {
	c := l.calls[w]
	l.Admit(now, w)
	delete(l.calls, w)
	s.waits.sent.Add(1)
	s.answer(now, c, choice, nil)
}

func (s *service) dispatchEverywhere(now time.Duration) {
	for service := range s.queues {
		s.dispatch(now, service)
	}
	s.setWake(now)
}

// setWake arranges that dispatch runs when the next waiting request expires or the loads of
// its groups get too old.
func (s *service) setWake(now time.Duration) {
	next, waiting := time.Duration(math.MaxInt64), false
	for service, l := range s.queues {
		if l.Len() > 0 {
			next, waiting = min(next, l.NextExpiry(), s.state.LoadsValidUntil(service)+1), true
			if l.entryAt > now {
				next = min(next, l.entryAt)
			}
		}
	}
	if !waiting || s.wakeAt > now && s.wakeAt <= next {
		return
	}
	if s.cancelWake != nil {
		s.cancelWake()
	}
	s.wakeAt = next
	s.cancelWake = s.loop.After(max(next-now, 0), func(now time.Duration) {
		s.wakeAt = 0
		s.dispatchEverywhere(now)
	})
}

// abandon ends a call whose caller doesn't wait for the reply anymore.
func (s *service) abandon(now time.Duration, q *pendingQuery) {
	switch {
	case q.waiter != nil && q.waiter.Waiting():
		s.waits.canceled.Add(1)
		l := s.queueOf(q.Service)
		l.Cancel(q.waiter)
		delete(l.calls, q.waiter)
	case q.chosen != "":
		// The reply crossed the end of the call: nothing is sent.
		s.state.Withdraw(now, q.chosen)
		s.dispatch(now, q.Service)
	default:
		// The call was refused.
	}
}

// Drain refuses the waiting requests, and from then on those that would wait.
func (s *service) Drain() { _ = s.drains.Post(context.Background(), struct{}{}) }

func (s *service) handleDrain(now time.Duration, _ struct{}) {
	s.draining = true
	for _, l := range s.queues {
		for _, w := range l.All() {
			s.refuse(now, l, w, stoppingFailure())
		}
	}
}

// stoppingRetryAfter is the Retry-After of a refusal by a process that is being stopped. Other
// processes can take the request at once.
const stoppingRetryAfter = 50 * time.Millisecond

func stoppingFailure() *api.Failure {
	f := api.NewFailure(api.CodeShuttingDown, api.NotRun, "the process is being stopped and has no room now")
	f.RetryAfter = stoppingRetryAfter
	return f
}

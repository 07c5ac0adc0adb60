package urgency_test

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/decide/urgency"
)

// The model has edges that share a pool of places and see its load late, and callers that
// retry once at another edge.
const (
	modelStep  = 2 * time.Millisecond
	duration   = 1900 * time.Millisecond
	firstEvent = 60 * time.Millisecond
	members    = 24
)

// kind is a kind of request. worth is that of a response in time, late the part of it that a
// late one is worth.
type kind struct {
	priority    int32
	rate        float64
	target      time.Duration
	worth, late float64
}

// kinds are the three kinds of deployment A of the work plan.
func kinds() []kind {
	return []kind{
		{5, 123, 400 * time.Millisecond, 2.9, 0.28},
		{4, 94, 400 * time.Millisecond, 1.5, 0.39},
		{3, 54, 800 * time.Millisecond, 0.76, 0.29},
	}
}

// model describes a run.
type model struct {
	edges, places int
	kinds         []kind
	length        time.Duration
	// factor multiplies the rate of a kind at a time, 1 if nil.
	factor func(now time.Duration, kind int) float64
	// weight is the part of an edge in the traffic at a time, the same for all if nil.
	weight func(now time.Duration, edge int) float64
	// bigMember is the part of the first member in the traffic, an equal one if it is 0.
	bigMember float64
	// reportAge is the age of a reading when it arrives.
	reportAge time.Duration
	// lost is the part of the reports that never arrive.
	lost float64
	// known is the number of edges that an edge knows, all if nil.
	known func(now time.Duration, edge int) int
	// before uses the decision that this package replaces: refuse at once when the expected
	// arrivals have no room.
	before bool
}

type client struct {
	kind, member  int
	arrived, sent time.Duration
	retried, done bool
	home          *modelEdge
	request       urgency.Request
}

type modelEdge struct {
	state    *urgency.State
	waiters  map[*urgency.Waiter]*client
	sentAt   []time.Duration
	rate     float64
	rateAt   time.Duration
	free     float64
	running  float64
	readAt   time.Duration
	nextRead time.Duration
}

type reading struct {
	at   time.Duration
	free int
	run  int
}

// outcome counts responses, by kind and by member.
type outcome struct {
	asked, inTime, late, refused []int
	askedBy, servedBy            []int
	worth, offered               float64
	// queued is the mean number of requests that wait in the pool.
	queued float64
}

func (o outcome) admitted(kind int) float64 {
	return float64(o.inTime[kind]+o.late[kind]) / float64(max(o.asked[kind], 1))
}

type run struct {
	model
	random   *rand.Rand
	now      time.Duration
	list     []*modelEdge
	running  []*client
	queue    []*client
	retries  []*client
	readings []reading
	out      outcome
}

func (m model) run(seed uint64) outcome {
	r := &run{model: m, random: rand.New(rand.NewPCG(seed, 0))}
	r.out = outcome{
		asked: make([]int, len(m.kinds)), inTime: make([]int, len(m.kinds)), late: make([]int, len(m.kinds)), refused: make([]int, len(m.kinds)),
		askedBy: make([]int, members), servedBy: make([]int, members),
	}
	for i := range m.edges {
		s := urgency.New(seed<<8 + uint64(i))
		s.ObserveFirstEvent(firstEvent)
		r.list = append(r.list, &modelEdge{state: s, waiters: map[*urgency.Waiter]*client{}, free: float64(m.places),
			nextRead: time.Duration(r.random.Int64N(int64(120 * time.Millisecond)))})
	}
	for ; r.now < m.length; r.now += modelStep {
		r.step()
	}
	return r.out
}

func (r *run) step() {
	ended := r.running[:0]
	for _, c := range r.running {
		if r.now < c.sent+duration*time.Duration(500+c.member*1000/members)/1000 {
			ended = append(ended, c)
			continue
		}
		c.done = true
		if c.home != nil {
			r.dispatch(c.home)
		}
	}
	r.running = ended
	for len(r.queue) > 0 && len(r.running) < r.places {
		c := r.queue[0]
		r.queue = r.queue[1:]
		r.start(c)
	}
	r.readings = append(r.readings, reading{r.now, r.places - len(r.running) - len(r.queue), len(r.running)})
	for _, e := range r.list {
		if r.now >= e.nextRead {
			e.nextRead += 120 * time.Millisecond
			if r.random.Float64() < r.lost {
				continue
			}
			i := max(len(r.readings)-1-int(r.reportAge/modelStep), 0)
			e.readAt, e.free, e.running = r.readings[i].at, float64(r.readings[i].free), float64(r.readings[i].run)
			r.dispatch(e)
		}
	}
	for i := range r.kinds {
		r.arrivals(i)
	}
	retries := r.retries
	r.retries = nil
	for _, c := range retries {
		if c.arrived > r.now {
			r.retries = append(r.retries, c)
			continue
		}
		r.arrive(c)
	}
	r.out.queued += float64(len(r.queue)) * modelStep.Seconds() / r.length.Seconds()
}

func (r *run) arrivals(i int) {
	rate := r.kinds[i].rate
	if r.factor != nil {
		rate *= r.factor(r.now, i)
	}
	for mean := rate * modelStep.Seconds(); mean > 0; mean-- {
		if r.random.Float64() >= min(mean, 1) {
			continue
		}
		member := r.random.IntN(members)
		if r.bigMember > 0 {
			member = 1 + r.random.IntN(members-1)
			if r.random.Float64() < r.bigMember {
				member = 0
			}
		}
		r.out.asked[i]++
		r.out.askedBy[member]++
		r.out.offered += r.kinds[i].worth
		r.arrive(&client{kind: i, member: member, arrived: r.now})
	}
}

// pick returns the edge of a request.
func (r *run) pick() (int, *modelEdge) {
	if r.weight == nil {
		i := r.random.IntN(r.edges)
		return i, r.list[i]
	}
	for {
		i := r.random.IntN(r.edges)
		if r.random.Float64() < r.weight(r.now, i) {
			return i, r.list[i]
		}
	}
}

func (r *run) room(e *modelEdge) urgency.Room {
	sent := 0.0
	for _, at := range e.sentAt {
		if at >= e.readAt {
			sent++
		}
	}
	processes := r.edges
	if r.known != nil {
		for i := range r.list {
			if r.list[i] == e {
				processes = r.known(r.now, i)
			}
		}
	}
	ends := min(e.running, e.running*float64(r.now-e.readAt)/float64(duration))
	return urgency.Room{Places: max(e.free+ends-sent, 0), Sent: sent, Processes: processes, ReadAt: e.readAt, EndRate: e.running / duration.Seconds()}
}

func (r *run) arrive(c *client) {
	_, e := r.pick()
	k := r.kinds[c.kind]
	c.home = e
	c.request = urgency.Request{
		Member: string(rune('a' + c.member)), Priority: k.priority,
		FirstEventBy: c.arrived + k.target, QuietSince: c.arrived, Deadline: c.arrived + 8*time.Second,
	}
	const halfLife = 2.0
	decay := rateDecay(r.now-e.rateAt, halfLife)
	e.rate, e.rateAt = e.rate*decay+0.6931/halfLife, r.now
	room := r.room(e)
	arrivals := 1 + e.rate*(r.now-e.readAt).Seconds()*float64(room.Processes-1)
	if r.before {
		if room.Places < arrivals {
			r.refuse(c, r.retryAfter(c))
			return
		}
		r.send(e, c)
		return
	}
	e.state.Arrive(r.now, c.request, room)
	if e.state.Len() == 0 && e.state.Fits(r.now, k.priority, room) {
		e.state.Admitted(r.now, c.request)
		r.send(e, c)
		return
	}
	w, displaced := e.state.Add(r.now, c.request, room)
	if displaced != nil {
		r.drop(e, displaced)
	}
	if w == nil {
		e.state.Refused(r.now, c.request)
		r.refuse(c, r.retryAfter(c))
		return
	}
	e.waiters[w] = c
	r.dispatch(e)
	if w.Waiting() && !e.state.CanServe(r.now, w, room) {
		r.drop(e, w)
	}
}

func (r *run) retryAfter(c *client) time.Duration {
	if !r.before {
		return c.home.state.RetryAfter(r.now, r.kinds[c.kind].priority)
	}
	return 300*time.Millisecond + time.Duration(r.random.Int64N(int64(1200*time.Millisecond)))
}

func (r *run) drop(e *modelEdge, w *urgency.Waiter) {
	c := e.waiters[w]
	delete(e.waiters, w)
	e.state.Refuse(r.now, w)
	r.refuse(c, r.retryAfter(c))
}

func (r *run) dispatch(e *modelEdge) {
	if r.before {
		return
	}
	for _, w := range e.state.Expired(r.now) {
		r.drop(e, w)
	}
	for {
		w := e.state.Next(r.now, r.room(e))
		if w == nil {
			return
		}
		c := e.waiters[w]
		delete(e.waiters, w)
		e.state.Admit(r.now, w)
		r.send(e, c)
	}
}

func (r *run) send(e *modelEdge, c *client) {
	e.sentAt = append(e.sentAt, r.now)
	if len(e.sentAt) > 400 {
		e.sentAt = e.sentAt[200:]
	}
	if len(r.running) >= r.places {
		r.queue = append(r.queue, c)
		return
	}
	r.start(c)
}

func (r *run) start(c *client) {
	k := r.kinds[c.kind]
	c.sent = r.now
	r.running = append(r.running, c)
	wait := r.now + firstEvent - c.arrived
	r.out.servedBy[c.member]++
	if wait <= k.target {
		r.out.inTime[c.kind]++
		r.out.worth += k.worth
		return
	}
	r.out.late[c.kind]++
	r.out.worth += k.worth * k.late
}

func (r *run) refuse(c *client, after time.Duration) {
	if c.retried {
		r.out.refused[c.kind]++
		return
	}
	c.retried, c.arrived = true, r.now+after
	r.retries = append(r.retries, c)
}

func rateDecay(d time.Duration, halfLife float64) float64 {
	return math.Exp2(-d.Seconds() / halfLife)
}

// compare runs a model with the decision before this package and with it, with three seeds
// each. It has 22 edges, reports 120 ms old and the kinds of deployment A by default.
func (m model) compare() (before, after outcome) {
	if m.edges == 0 {
		m.edges = 22
	}
	if m.reportAge == 0 {
		m.reportAge = 120 * time.Millisecond
	}
	m.kinds, m.length = kinds(), 20*time.Second
	for seed := range uint64(3) {
		m.before = true
		before.add(m.run(seed))
		m.before = false
		after.add(m.run(seed))
	}
	before.queued /= 3
	after.queued /= 3
	return before, after
}

func (o *outcome) add(p outcome) {
	for _, lists := range [][2]*[]int{{&o.asked, &p.asked}, {&o.inTime, &p.inTime}, {&o.late, &p.late}, {&o.askedBy, &p.askedBy}, {&o.servedBy, &p.servedBy}} {
		if *lists[0] == nil {
			*lists[0] = make([]int, len(*lists[1]))
		}
		for i, n := range *lists[1] {
			(*lists[0])[i] += n
		}
	}
	o.worth, o.offered, o.queued = o.worth+p.worth, o.offered+p.offered, o.queued+p.queued
}

// part returns the part of the offered worth that was served.
func (o outcome) part() float64 { return o.worth / o.offered }

func (o outcome) admittedOfAll() float64 {
	asked, served := 0, 0
	for i := range o.asked {
		asked, served = asked+o.asked[i], served+o.inTime[i]+o.late[i]
	}
	return float64(served) / float64(asked)
}

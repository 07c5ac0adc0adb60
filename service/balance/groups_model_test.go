package balance_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rankview"
)

const (
	groupCount, groupRanks, groupEdges = 3, 24, 6
	groupEvents                        = 23
	groupCustomers                     = 24
	acceptedPause                      = 120 * time.Millisecond
	abandonAfter                       = 2 * time.Second
	// failureDelay is the time in which a rank of a broken group fails a request.
	failureDelay = 100 * time.Millisecond
	// warmup is not counted.
	warmup = 3 * time.Second
	// passGap is the time between two passes of a group, and the unit of their times. The turns
	// of callers, of which there are maxTurns, lie within it.
	passGap, maxTurns = 10 * time.Microsecond, 9999
)

// groupKinds are the kinds of deployment B of the work plan.
var groupKinds = [3]loadKind{
	{5, 107, 400 * time.Millisecond, 2, 0.5},
	{4, 82, 400 * time.Millisecond, 2, 0.5},
	{3, 47, 500 * time.Millisecond, 2, 0.5},
}

var groupProfile = api.EngineProfile{
	Experts: 96, StepTime: 5850 * time.Microsecond, RequestTime: 600 * time.Microsecond, StepsPerPass: 6,
	ExpertShare: 0.85, ReadTime: 10 * time.Millisecond, AnswerTokens: 6 * groupEvents, FormTime: 600 * time.Millisecond,
}

// scenario describes a load of three groups of lockstep ranks.
type scenario struct {
	// load multiplies the rates of deployment B, factor those of one kind at a time.
	load   float64
	factor func(now time.Duration, kind int) float64
	// broken and slow are the state of a group at a time: whether it can't run passes, and
	// the multiple of the usual time of a pass.
	broken func(now time.Duration, group int) bool
	slow   func(now time.Duration, group int) float64
	// leaving reports whether the first rank of a group is about to be lost.
	leaving func(now time.Duration, group int) bool
	// silent reports whether the loads of a group reach no edge.
	silent func(now time.Duration, group int) bool
	// startLate is when every other edge starts.
	startLate time.Duration
	length    time.Duration
	// alike reports all ranks as those of one group, so that they are placed as those of groups
	// that do not differ.
	alike bool
}

// pass is a pass of a group. next is set when it starts.
type pass struct {
	ended  chan struct{}
	next   *pass
	broken bool
}

// passGroup is a group whose ranks advance in lockstep.
type passGroup struct {
	ranks   []*engine
	fresh   []int
	current *pass
	broken  bool
	step    uint64
	meter   rankview.PassMeter
}

// groupOutcome counts what callers got from the end of the warm-up on.
type groupOutcome struct {
	asked, inTime, late, lost [3]int
	askedBy, servedBy         [groupCustomers]float64
	passes, longPasses        int
	// failed counts attempts that a broken group failed, delayed those that waited at a rank.
	failed, delayed int
	// beyond is the largest number of requests at formed groups beyond their slots.
	beyond int
}

func (o groupOutcome) worth() float64 {
	served, asked := 0.0, 0.0
	for kind, k := range groupKinds {
		served += k.worth * (float64(o.inTime[kind]) + k.late*float64(o.late[kind]))
		asked += k.worth * float64(o.asked[kind])
	}
	return served / asked
}

// leastServed returns the smallest part of the requests of a customer that was served.
func (o groupOutcome) leastServed() float64 {
	least := 1.0
	for i, asked := range o.askedBy {
		if asked > 0 {
			least = min(least, o.servedBy[i]/asked)
		}
	}
	return least
}

func (o groupOutcome) String() string {
	return fmt.Sprintf("worth %.3f; of %v in time %v, late %v, lost %v; least served customer %.2f; %d of %d passes too long; %d attempts failed, %d waited at ranks, %d beyond the slots",
		o.worth(), o.asked, o.inTime, o.late, o.lost, o.leastServed(), o.longPasses, o.passes, o.failed, o.delayed, o.beyond)
}

type groupFleet struct {
	scenario
	start   time.Time
	edges   []*edge
	callers sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	// requests counts the requests.
	requests int
	groups   []*passGroup
	out      groupOutcome

	readings   [groupCount]api.GroupLoad
	readAt     [groupCount]time.Duration
	wasLeaving [groupCount]bool
}

func (f *groupFleet) now() time.Duration { return time.Since(f.start) }

// advance runs the passes of a group.
func (f *groupFleet) advance(i int) {
	g := f.groups[i]
	for f.now() < f.length+8*time.Second {
		broken, slow := f.broken != nil && f.broken(f.now(), i), 1.0
		if f.slow != nil {
			slow = f.slow(f.now(), i)
		}
		fullest, reads := 0, 0
		f.mu.Lock()
		for rank, e := range g.ranks {
			fullest, reads = max(fullest, e.running), max(reads, g.fresh[rank])
			g.fresh[rank] = 0
		}
		p := g.current.next
		p.next, p.broken = &pass{ended: make(chan struct{})}, broken
		g.current, g.broken = p, broken
		took := time.Duration(slow * float64(groupProfile.StepsPerPass) * float64(groupProfile.StepTime+time.Duration(fullest)*groupProfile.RequestTime))
		took += time.Duration(reads) * groupProfile.ReadTime
		if g.step++; broken {
			g.meter = rankview.PassMeter{}
		}
		if f.now() > warmup && !broken {
			f.out.passes++
			if took > acceptedPause {
				f.out.longPasses++
			}
		}
		f.mu.Unlock()
		if broken {
			took = failureDelay
		}
		time.Sleep(took.Round(passGap))
		close(p.ended)
		// Streams that ended free their places before the next pass.
		time.Sleep(passGap)
	}
}

// stream is what the caller of a request has got.
type stream struct {
	kind, member int
	// turn is the time after an event at which this caller acts, and no other one. Without it,
	// the callers that an event wakes act in the order of the scheduler, which differs from run
	// to run, and with it the whole play.
	turn          time.Duration
	arrived, last time.Duration
	events        int
	late          bool
}

// awaitTurn waits after an event that may have woken other callers too.
func (s *stream) awaitTurn() { time.Sleep(s.turn) }

// event records an event that the caller received.
func (s *stream) event(now time.Duration) {
	s.late = s.late || s.events == 0 && now-s.arrived > groupKinds[s.kind].target || s.events > 0 && now-s.last > acceptedPause
	s.last = now
	s.events++
}

// run runs an attempt and reports whether its response is complete.
func (f *groupFleet) run(ctx context.Context, e *edge, upstream string, s *stream) bool {
	var rank int
	_, _ = fmt.Sscanf(upstream, "r%d", &rank)
	sent, events := f.now(), s.events
	result := api.RouteResult{Upstream: upstream}
	g, i := f.groups[rank/groupRanks], rank%groupRanks
	f.mu.Lock()
	begun := g.ranks[i].begin(s.kind)
	f.mu.Unlock()
	select {
	case <-begun:
	default:
		f.mu.Lock()
		f.out.delayed++
		f.mu.Unlock()
		<-begun
		s.awaitTurn()
	}
	f.mu.Lock()
	g.fresh[i]++
	p := g.current.next
	f.mu.Unlock()
	for s.events < groupEvents {
		<-p.ended
		s.awaitTurn()
		if p.broken {
			result.Failure = api.NewFailure(api.CodeUpstreamFailed, api.RunUnknown, "the group is broken")
			break
		}
		if ctx.Err() != nil || f.now()-s.last > abandonAfter {
			result.Failure = api.NewFailure(api.CodeCanceled, api.RunUnknown, "the caller is gone")
			break
		}
		if s.event(f.now()); s.events == events+1 {
			result.FirstChunk = f.now() - sent
		}
		f.mu.Lock()
		p = p.next
		f.mu.Unlock()
	}
	f.mu.Lock()
	g.ranks[i].end()
	if result.Failure != nil && p.broken && sent > warmup {
		f.out.failed++
	}
	f.mu.Unlock()
	result.Total = f.now() - sent
	e.Done(result)
	return result.Failure == nil
}

// serve sends a request to an edge, which resumes it elsewhere if an attempt fails. It returns
// the refusal if there is one.
func (f *groupFleet) serve(e *edge, s *stream) *api.Failure {
	var exclude []string
	for {
		ctx, cancel := context.WithTimeout(context.Background(), abandonAfter-(f.now()-s.last))
		offset := e.clock.Now() - f.now()
		q := api.RouteQuery{
			Service: "s", Member: fmt.Sprint(s.member), Priority: groupKinds[s.kind].priority, MayWait: true,
			QuietSince: s.last + offset, Deadline: s.arrived + 8*time.Second + offset, Exclude: exclude,
		}
		if s.events == 0 {
			q.FirstEventBy = s.arrived + groupKinds[s.kind].target + offset
		}
		choice, failure := e.Route(ctx, q)
		cancel()
		s.awaitTurn()
		if failure != nil {
			return failure
		}
		if f.run(context.Background(), e, choice.Upstream, s) {
			return nil
		}
		if exclude = append(exclude, choice.Upstream); len(exclude) == 3 || f.now()-s.last >= abandonAfter {
			return api.NewFailure(api.CodeUpstreamFailed, api.RunUnknown, "no attempt succeeded")
		}
	}
}

// request sends a request, and once more if it was refused, each time to another edge.
func (f *groupFleet) request(s *stream, edges [2]int, counted bool) {
	kind, member := s.kind, s.member
	for _, i := range edges {
		s.awaitTurn()
		s.arrived = f.now()
		s.last = s.arrived
		if f.now() < f.startLate {
			i -= i % 2
		}
		failure := f.serve(f.edges[i], s)
		if failure == nil || s.events > 0 || failure.Run != api.NotRun || failure.Code == api.CodeCanceled {
			break
		}
		time.Sleep(failure.RetryAfter)
	}
	if !counted {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.out.askedBy[member]++
	f.out.asked[kind]++
	switch {
	case s.events < groupEvents:
		f.out.lost[kind]++
		return
	case s.late:
		f.out.late[kind]++
	default:
		f.out.inTime[kind]++
	}
	f.out.servedBy[member]++
}

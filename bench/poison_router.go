package bench

import (
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/bench/timeline"
	"github.com/mulberryfork/mulberryfork/decide/hash"
	"github.com/mulberryfork/mulberryfork/decide/poison"
)

// poisonPool is one trial of the model: one or more copies of a poison request among
// innocent requests, which do not crash the upstreams that run them.
type poisonPool struct {
	poisonCase
	events  timeline.Timeline
	rng     *rand.Rand
	routers []*poisonRouter
	agents  []*poisonAgent
	calls   []*poisonCall
	nextID  uint32

	crashEvents, refusals int
	// delays holds the completion times, in s, of innocent requests that were part
	// of a crash.
	delays []float64
}

// poisonRouter models a router with links to some agents.
type poisonRouter struct {
	pool     *poisonPool
	state    *poison.State
	links    []*poisonAgent
	inFlight map[*poisonAgent]int
}

// poisonCall is a request of one caller, which resends it until it gets a response.
type poisonCall struct {
	fingerprint uint64
	poison      bool
	runTime     time.Duration
	startedAt   time.Duration
	attempts    int
	// placements counts the placements within the current attempt.
	placements int
	// exposed is true once an upstream crashed while it ran the request.
	exposed bool
	done    bool
}

func newPoisonPool(seed uint64, c poisonCase) *poisonPool {
	p := &poisonPool{poisonCase: c, rng: rand.New(rand.NewPCG(seed, 5))}
	for i := range c.agents {
		p.agents = append(p.agents, &poisonAgent{
			pool: p, index: i, name: upstreamName(i), state: poison.New(0),
			isolation: poison.NewIsolation(0), queued: make(map[uint32]*poisonOrder),
		})
	}
	for range c.routers {
		r := &poisonRouter{pool: p, state: poison.New(0), inFlight: make(map[*poisonAgent]int)}
		for _, i := range p.rng.Perm(c.agents)[:c.links] {
			r.links = append(r.links, p.agents[i])
			p.agents[i].links = append(p.agents[i].links, r)
		}
		p.routers = append(p.routers, r)
	}
	p.events.After(0, p.startInnocent)
	p.events.After(poisonStart, func() {
		for range c.copies {
			p.submit(&poisonCall{fingerprint: hash.Mix(seed, 99), poison: true, startedAt: p.events.Now()})
		}
	})
	if !c.baseline {
		p.events.After(poisonDigestInterval, p.exchangeDigests)
	}
	return p
}

// startInnocent sends an innocent request and schedules the next.
func (p *poisonPool) startInnocent() {
	if p.events.Now() > poisonTrafficEnd {
		return
	}
	c := &poisonCall{
		fingerprint: hash.Mix(uint64(len(p.calls)), 7), startedAt: p.events.Now(),
		runTime: poisonMinRunTime + time.Duration(p.rng.Float64()*float64(poisonRunTimeRange)),
	}
	p.calls = append(p.calls, c)
	p.submit(c)
	rate := poisonRatePerAgent * float64(len(p.agents))
	p.events.After(time.Duration(p.rng.ExpFloat64()/rate*float64(time.Second)), p.startInnocent)
}

func (p *poisonPool) randomHopDelay() time.Duration {
	return time.Duration((0.2 + 0.8*p.rng.Float64()) * float64(poisonMaxHopDelay))
}

// exchangeDigests makes each process exchange a sample of its suspicions with a
// random process.
func (p *poisonPool) exchangeDigests() {
	next := poisonDigestInterval
	if p.events.Now() > poisonBusyPeriod {
		next = poisonSlowDigestInterval
	}
	p.events.After(next, p.exchangeDigests)
	receivers := make([]func([]api.Suspicion), 0, len(p.routers)+len(p.agents))
	states := make([]*poison.State, 0, cap(receivers))
	for _, r := range p.routers {
		receivers, states = append(receivers, r.receiveSuspicions), append(states, r.state)
	}
	for _, a := range p.agents {
		receivers, states = append(receivers, a.receiveSuspicions), append(states, a.state)
	}
	for i := range receivers {
		j := p.rng.IntN(len(receivers))
		if digest := states[i].Digest(p.events.Now(), poisonDigestSize); len(digest) > 0 {
			p.events.After(p.randomHopDelay(), func() { receivers[j](digest) })
		}
		if digest := states[j].Digest(p.events.Now(), poisonDigestSize); len(digest) > 0 {
			p.events.After(p.randomHopDelay(), func() { receivers[i](digest) })
		}
	}
}

func (p *poisonPool) submit(c *poisonCall) {
	c.placements = 0
	r := p.routers[p.rng.IntN(len(p.routers))]
	p.events.After(poisonClientDelay, func() { r.place(c) })
}

func (r *poisonRouter) receiveSuspicions(received []api.Suspicion) {
	fresh := r.state.Merge(r.pool.events.Now(), received)
	if len(fresh) == 0 {
		return
	}
	for _, a := range r.links {
		if r.pool.rng.Float64() >= r.pool.pushLossRate {
			r.pool.events.After(r.pool.randomHopDelay(), func() { a.receiveSuspicions(fresh) })
		}
	}
}

// place sends a call to an upstream, in isolation if it is a suspect. It fails if
// the call is blocked or no linked agent accepts work.
func (r *poisonRouter) place(c *poisonCall) {
	c.placements++
	var placement poison.Placement
	if !r.pool.baseline {
		var candidates []poison.Candidate
		for _, a := range r.links {
			candidates = append(candidates, poison.Candidate{Name: a.name, Usable: !a.lost})
		}
		placement = r.state.Place(r.pool.events.Now(), c.fingerprint, candidates)
	}
	if placement.Failure != nil {
		r.sendFailure(c, placement.Failure.RetryAfter)
		return
	}
	a := r.pickAgent(placement.Upstream)
	if a == nil {
		r.sendFailure(c, 0)
		return
	}
	r.pool.nextID++
	o := &poisonOrder{call: c, router: r, id: r.pool.nextID, isolate: placement.Isolate}
	r.inFlight[a]++
	r.pool.events.After(r.pool.randomHopDelay(), func() { a.receive(o) })
}

// pickAgent returns the linked agent with the given name, or else the accepting
// agent with the fewest requests in flight.
func (r *poisonRouter) pickAgent(name string) *poisonAgent {
	var best *poisonAgent
	for _, a := range r.links {
		if name == a.name {
			return a
		}
		if a.lost || a.down || a.isolation.Active() {
			continue
		}
		if best == nil || r.inFlight[a] < r.inFlight[best] {
			best = a
		}
	}
	return best
}

// receiveReply handles the result of an order. The router retries requests that did
// not run or may run again. After a crash it delays the retry.
func (r *poisonRouter) receiveReply(o *poisonOrder, result poisonReply) {
	c := o.call
	r.inFlight[o.agent]--
	switch {
	case result == replyDone:
		r.pool.finish(c)
	case result == replyCrashed && r.pool.immediate && c.poison:
		r.pool.events.After(poisonClientDelay, func() { r.pool.resend(c) })
	case result == replyCrashed && r.pool.baseline:
		c.exposed = true
		r.sendFailure(c, 0)
	case result == replyCrashed:
		c.exposed = true
		r.pool.events.After(poison.CrashFailureDelay, func() { r.retry(c) })
	default:
		r.retry(c)
	}
}

func (r *poisonRouter) retry(c *poisonCall) {
	if c.placements < poisonMaxPlacements {
		r.place(c)
		return
	}
	r.sendFailure(c, 0)
}

// sendFailure sends a failure to the caller, which resends after a delay. Only the
// caller of an innocent request also waits for retryAfter.
func (r *poisonRouter) sendFailure(c *poisonCall, retryAfter time.Duration) {
	if !c.poison {
		r.pool.refusals++
	}
	wait := poisonResendDelay
	if !c.poison {
		wait = max(wait, retryAfter)
	}
	r.pool.events.After(poisonClientDelay+wait, func() { r.pool.resend(c) })
}

func (p *poisonPool) resend(c *poisonCall) {
	c.attempts++
	if c.attempts < poisonMaxAttempts {
		p.submit(c)
	}
}

func (p *poisonPool) finish(c *poisonCall) {
	if c.exposed && !c.done {
		p.delays = append(p.delays, (p.events.Now() - c.startedAt).Seconds())
	}
	c.done = true
}

func (p *poisonPool) crashedUpstreams() int {
	n := 0
	for _, a := range p.agents {
		if a.crashes > 0 {
			n++
		}
	}
	return n
}

// unansweredInnocents returns the number of innocent requests without a response.
func (p *poisonPool) unansweredInnocents() int {
	n := 0
	for _, c := range p.calls {
		if !c.done {
			n++
		}
	}
	return n
}

// blockedInnocents returns the number of innocent requests that a router blocks.
func (p *poisonPool) blockedInnocents() int {
	n := 0
	for _, c := range p.calls {
		for _, r := range p.routers {
			if r.state.Status(p.events.Now(), c.fingerprint) == poison.Blocked {
				n++
				break
			}
		}
	}
	return n
}

package bench

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/hash"
	"github.com/mulberryfork/mulberryfork/decide/poison"
)

// poisonAgent models an agent and its engine.
type poisonAgent struct {
	pool      *poisonPool
	name      string
	index     int
	state     *poison.State
	isolation *poison.Isolation
	// queued holds the orders that wait to run in isolation, by their ids.
	queued  map[uint32]*poisonOrder
	running []*poisonOrder
	links   []*poisonRouter
	down    bool
	lost    bool
	crashes int
}

// poisonOrder is an order to run a call, sent by a router to an agent for one
// placement.
type poisonOrder struct {
	call     *poisonCall
	router   *poisonRouter
	agent    *poisonAgent
	id       uint32
	isolate  bool
	isolated bool
	ended    bool
}

// poisonReply is the result of an order.
type poisonReply uint8

const (
	replyDone poisonReply = iota
	replyCrashed
	replyBusy
	replySuspect
	replyCanceled
)

func (a *poisonAgent) receive(o *poisonOrder) {
	o.agent = a
	if a.lost {
		a.reply(o, replyCrashed)
		return
	}
	isolate := false
	if !a.pool.baseline {
		var failure *api.Failure
		isolate, failure = a.state.Check(a.pool.events.Now(), o.call.fingerprint, a.name, o.isolate)
		if failure != nil {
			a.sendSuspicions(o.router, a.state.Report(a.pool.events.Now(), o.call.fingerprint))
			a.reply(o, replySuspect)
			return
		}
	}
	if isolate {
		if a.isolation.Add(poison.IsolatedRun{Fingerprint: o.call.fingerprint, AttemptID: api.AttemptID{Number: o.id}}) != nil {
			a.reply(o, replySuspect)
			return
		}
		a.queued[o.id] = o
		a.startIsolated()
		return
	}
	if a.down || a.isolation.Active() {
		a.reply(o, replyBusy)
		return
	}
	a.start(o, false)
}

// startIsolated starts the next suspect request if nothing else runs.
func (a *poisonAgent) startIsolated() {
	if a.down || a.lost {
		return
	}
	next, ok := a.isolation.Next(len(a.running))
	if !ok {
		return
	}
	o := a.queued[next.AttemptID.Number]
	delete(a.queued, next.AttemptID.Number)
	isolate, failure := a.state.Check(a.pool.events.Now(), next.Fingerprint, a.name, true)
	if failure != nil || !isolate {
		a.isolation.Finish(next.AttemptID)
		a.reply(o, replySuspect)
		a.startIsolated()
		return
	}
	a.start(o, true)
}

func (a *poisonAgent) start(o *poisonOrder, isolated bool) {
	o.isolated = isolated
	a.running = append(a.running, o)
	if o.call.poison {
		crashDelay := poisonMinCrashTime + time.Duration(a.pool.rng.Float64()*float64(poisonCrashTimeRange))
		a.pool.events.After(crashDelay, func() {
			if !o.ended {
				a.crash()
			}
		})
		return
	}
	runTime := o.call.runTime
	if isolated {
		runTime /= poisonIsolatedSpeedup
	}
	a.pool.events.After(runTime, func() { a.complete(o) })
}

func (a *poisonAgent) complete(o *poisonOrder) {
	if o.ended {
		return
	}
	a.remove(o)
	if o.isolated {
		a.broadcast(a.state.RecordCompletion(a.pool.events.Now(), o.call.fingerprint))
	}
	a.reply(o, replyDone)
	a.startIsolated()
}

func (a *poisonAgent) remove(o *poisonOrder) {
	a.running = slices.DeleteFunc(a.running, func(r *poisonOrder) bool { return r == o })
	if o.isolated {
		a.isolation.Finish(api.AttemptID{Number: o.id})
	}
}

// crash ends all running requests. The engine restarts, or the VM is lost.
func (a *poisonAgent) crash() {
	now := a.pool.events.Now()
	a.crashes++
	a.pool.crashEvents++
	a.down = true
	var batch []uint64
	all := slices.Clone(a.running)
	for _, o := range all {
		batch = append(batch, o.call.fingerprint)
	}
	var suspicions []api.Suspicion
	if !a.pool.baseline {
		suspicions = a.state.RecordCrash(now, a.name, hash.Mix(uint64(a.index), uint64(a.crashes)), batch)
		a.broadcast(suspicions)
	}
	for _, o := range all {
		a.remove(o)
		// A link preserves order, so a router receives the suspicions before the
		// failure of its request.
		a.sendSuspicions(o.router, suspicions)
		a.reply(o, replyCrashed)
	}
	if a.pool.rng.Float64() < a.pool.vmLossRate {
		a.loseVM()
		return
	}
	a.pool.events.After(poisonRestartTime, func() {
		a.down = false
		a.startIsolated()
	})
}

func (a *poisonAgent) loseVM() {
	a.lost = true
	for _, id := range a.sortedQueuedIDs() {
		o := a.queued[id]
		a.isolation.Remove(api.AttemptID{Number: id})
		a.reply(o, replyCanceled)
	}
	clear(a.queued)
}

func (a *poisonAgent) sortedQueuedIDs() []uint32 {
	var ids []uint32
	for id := range a.queued {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// receiveSuspicions merges received suspicions and forwards new ones. It cancels
// running requests that are now suspects, before they crash this upstream too.
func (a *poisonAgent) receiveSuspicions(received []api.Suspicion) {
	if a.lost {
		return
	}
	fresh := a.state.Merge(a.pool.events.Now(), received)
	if len(fresh) == 0 {
		return
	}
	a.broadcast(fresh)
	for _, o := range slices.Clone(a.running) {
		if !o.isolated && len(a.state.FilterSuspects(a.pool.events.Now(), []uint64{o.call.fingerprint})) > 0 {
			a.remove(o)
			a.reply(o, replyCanceled)
		}
	}
	a.startIsolated()
}

// broadcast sends suspicions to every linked router, with random loss.
func (a *poisonAgent) broadcast(suspicions []api.Suspicion) {
	for _, r := range a.links {
		if a.pool.rng.Float64() >= a.pool.pushLossRate {
			a.sendSuspicions(r, suspicions)
		}
	}
}

func (a *poisonAgent) sendSuspicions(r *poisonRouter, suspicions []api.Suspicion) {
	if len(suspicions) > 0 {
		a.pool.events.After(a.pool.randomHopDelay(), func() { r.receiveSuspicions(suspicions) })
	}
}

// reply ends an order and sends its result to the router.
func (a *poisonAgent) reply(o *poisonOrder, result poisonReply) {
	if o.ended {
		return
	}
	o.ended = true
	a.pool.events.After(poisonMaxHopDelay, func() { o.router.receiveReply(o, result) })
}

package bench

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/hash"
	"github.com/mulberryfork/mulberryfork/decide/poison"
)

// poisonAgent is an agent with its engine.
type poisonAgent struct {
	pool      *poisonPool
	name      string
	index     int
	state     *poison.State
	isolation *poison.Isolation
	queued    map[uint32]*poisonOrder
	running   []*poisonOrder
	links     []*poisonRouter
	down      bool
	lost      bool
	crashes   int
}

// poisonOrder is one send of a call.
type poisonOrder struct {
	call     *poisonCall
	router   *poisonRouter
	agent    *poisonAgent
	id       uint32
	isolate  bool
	isolated bool
	ended    bool
}

// poisonReply is how a send ended.
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
	alone := false
	if !a.pool.plain {
		var failure *api.Failure
		alone, failure = a.state.Check(a.pool.events.Now(), o.call.fingerprint, a.name, o.isolate)
		if failure != nil {
			a.sendSuspicions(o.router, a.state.Report(a.pool.events.Now(), o.call.fingerprint))
			a.reply(o, replySuspect)
			return
		}
	}
	if alone {
		if a.isolation.Add(poison.IsolatedRun{Fingerprint: o.call.fingerprint, Send: api.AttemptID{Number: o.id}}) != nil {
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

// startIsolated starts the next suspect once nothing else runs.
func (a *poisonAgent) startIsolated() {
	if a.down || a.lost {
		return
	}
	w, ok := a.isolation.Next(len(a.running))
	if !ok {
		return
	}
	o := a.queued[w.Send.Number]
	delete(a.queued, w.Send.Number)
	alone, failure := a.state.Check(a.pool.events.Now(), w.Fingerprint, a.name, true)
	if failure != nil || !alone {
		a.isolation.Finish(w.Send)
		a.reply(o, replySuspect)
		a.startIsolated()
		return
	}
	a.start(o, true)
}

func (a *poisonAgent) start(o *poisonOrder, alone bool) {
	o.isolated = alone
	a.running = append(a.running, o)
	if o.call.poison {
		after := poisonMinCrashTime + time.Duration(a.pool.rng.Float64()*float64(poisonCrashTimeRange))
		a.pool.events.After(after, func() {
			if !o.ended {
				a.crash()
			}
		})
		return
	}
	length := o.call.length
	if alone {
		length /= poisonIsolatedSpeedup
	}
	a.pool.events.After(length, func() { a.complete(o) })
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

// crash ends everything that runs. The VM may stay away for good.
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
	var news []api.Suspicion
	if !a.pool.plain {
		news = a.state.RecordCrash(now, a.name, hash.Mix(uint64(a.index), uint64(a.crashes)), batch)
		a.broadcast(news)
	}
	for _, o := range all {
		a.remove(o)
		// The link keeps frames in order, so the news reach a router before
		// the failure of its request.
		a.sendSuspicions(o.router, news)
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

// receiveSuspicions takes news. Running copies of requests that became suspects are
// canceled before they crash this upstream as well.
func (a *poisonAgent) receiveSuspicions(heard []api.Suspicion) {
	if a.lost {
		return
	}
	news := a.state.Merge(a.pool.events.Now(), heard)
	if len(news) == 0 {
		return
	}
	a.broadcast(news)
	for _, o := range slices.Clone(a.running) {
		if !o.isolated && len(a.state.FilterSuspects(a.pool.events.Now(), []uint64{o.call.fingerprint})) > 0 {
			a.remove(o)
			a.reply(o, replyCanceled)
		}
	}
	a.startIsolated()
}

// broadcast sends news to every linked router; some of it is lost.
func (a *poisonAgent) broadcast(news []api.Suspicion) {
	for _, r := range a.links {
		if a.pool.rng.Float64() >= a.pool.pushLossRate {
			a.sendSuspicions(r, news)
		}
	}
}

func (a *poisonAgent) sendSuspicions(r *poisonRouter, news []api.Suspicion) {
	if len(news) > 0 {
		a.pool.events.After(a.pool.randomHopDelay(), func() { r.receiveSuspicions(news) })
	}
}

func (a *poisonAgent) reply(o *poisonOrder, with poisonReply) {
	if o.ended {
		return
	}
	o.ended = true
	a.pool.events.After(poisonMaxHopDelay, func() { o.router.receiveReply(o, with) })
}

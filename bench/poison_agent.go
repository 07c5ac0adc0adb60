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
	pool    *poisonPool
	name    string
	index   int
	state   *poison.State
	iso     *poison.Isolation
	queued  map[uint32]*poisonOrder
	running []*poisonOrder
	links   []*poisonRouter
	down    bool
	dead    bool
	crashes int
}

// poisonOrder is one send of a call.
type poisonOrder struct {
	call    *poisonCall
	router  *poisonRouter
	agent   *poisonAgent
	id      uint32
	isolate bool
	alone   bool
	ended   bool
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
	if a.dead {
		a.reply(o, replyCrashed)
		return
	}
	alone := false
	if !a.pool.plain {
		var failure *api.Failure
		alone, failure = a.state.Check(a.pool.events.Now(), o.call.fingerprint, a.name, o.isolate)
		if failure != nil {
			a.tell(o.router, a.state.Report(a.pool.events.Now(), o.call.fingerprint))
			a.reply(o, replySuspect)
			return
		}
	}
	if alone {
		if a.iso.Add(poison.IsolatedRun{Fingerprint: o.call.fingerprint, AttemptID: api.AttemptID{Number: o.id}}) != nil {
			a.reply(o, replySuspect)
			return
		}
		a.queued[o.id] = o
		a.pump()
		return
	}
	if a.down || a.iso.Active() {
		a.reply(o, replyBusy)
		return
	}
	a.start(o, false)
}

// pump starts the next suspect once nothing else runs.
func (a *poisonAgent) pump() {
	if a.down || a.dead {
		return
	}
	w, ok := a.iso.Next(len(a.running))
	if !ok {
		return
	}
	o := a.queued[w.AttemptID.Number]
	delete(a.queued, w.AttemptID.Number)
	alone, failure := a.state.Check(a.pool.events.Now(), w.Fingerprint, a.name, true)
	if failure != nil || !alone {
		a.iso.Finish(w.AttemptID)
		a.reply(o, replySuspect)
		a.pump()
		return
	}
	a.start(o, true)
}

func (a *poisonAgent) start(o *poisonOrder, alone bool) {
	o.alone = alone
	a.running = append(a.running, o)
	if o.call.poison {
		after := poisonLeastCrash + time.Duration(a.pool.rng.Float64()*float64(poisonCrashSpread))
		a.pool.events.After(after, func() {
			if !o.ended {
				a.crash()
			}
		})
		return
	}
	length := o.call.length
	if alone {
		length /= poisonAlone
	}
	a.pool.events.After(length, func() { a.complete(o) })
}

func (a *poisonAgent) complete(o *poisonOrder) {
	if o.ended {
		return
	}
	a.remove(o)
	if o.alone {
		a.push(a.state.RecordCompletion(a.pool.events.Now(), o.call.fingerprint))
	}
	a.reply(o, replyDone)
	a.pump()
}

func (a *poisonAgent) remove(o *poisonOrder) {
	a.running = slices.DeleteFunc(a.running, func(r *poisonOrder) bool { return r == o })
	if o.alone {
		a.iso.Finish(api.AttemptID{Number: o.id})
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
		a.push(news)
	}
	for _, o := range all {
		a.remove(o)
		// The link keeps frames in order, so the news reach a router before
		// the failure of its request.
		a.tell(o.router, news)
		a.reply(o, replyCrashed)
	}
	if a.pool.rng.Float64() < a.pool.deadPart {
		a.die()
		return
	}
	a.pool.events.After(poisonRestart, func() {
		a.down = false
		a.pump()
	})
}

func (a *poisonAgent) die() {
	a.dead = true
	for _, id := range a.sortedQueue() {
		o := a.queued[id]
		a.iso.Remove(api.AttemptID{Number: id})
		a.reply(o, replyCanceled)
	}
	clear(a.queued)
}

func (a *poisonAgent) sortedQueue() []uint32 {
	var ids []uint32
	for id := range a.queued {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// learn takes news. Running copies of requests that became suspects are
// canceled before they crash this upstream as well.
func (a *poisonAgent) learn(heard []api.Suspicion) {
	if a.dead {
		return
	}
	news := a.state.Merge(a.pool.events.Now(), heard)
	if len(news) == 0 {
		return
	}
	a.push(news)
	for _, o := range slices.Clone(a.running) {
		if !o.alone && len(a.state.FilterSuspects(a.pool.events.Now(), []uint64{o.call.fingerprint})) > 0 {
			a.remove(o)
			a.reply(o, replyCanceled)
		}
	}
	a.pump()
}

// push sends news to every linked router; some of it is lost.
func (a *poisonAgent) push(news []api.Suspicion) {
	for _, r := range a.links {
		if a.pool.rng.Float64() >= a.pool.loss {
			a.tell(r, news)
		}
	}
}

func (a *poisonAgent) tell(r *poisonRouter, news []api.Suspicion) {
	if len(news) > 0 {
		a.pool.events.After(a.pool.hop(), func() { r.learn(news) })
	}
}

func (a *poisonAgent) reply(o *poisonOrder, with poisonReply) {
	if o.ended {
		return
	}
	o.ended = true
	a.pool.events.After(poisonHop, func() { o.router.settle(o, with) })
}

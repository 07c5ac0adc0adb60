package work

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// servedInterval is how often the cost served for each member is reported.
	servedInterval = 5 * time.Second
	// servedMembers bounds the members of one report, so that control traffic
	// stays within its budget.
	servedMembers = 16
)

// reportServed reports the members that wait with the most cost, which are
// those whose share may need a correction.
func (c *control) reportServed(time.Duration) {
	var names []string
	waiting := make(map[string]uint64)
	for name := range c.snapMembers() {
		if cost := c.queue.MemberWaitingCost(name); cost > 0 {
			waiting[name] = cost
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(waiting[b], waiting[a]), cmp.Compare(a, b))
	})
	c.reported, c.waitingCost = make(map[string]uint64), make(map[string]uint64)
	for _, name := range names[:min(len(names), servedMembers)] {
		c.reported[name], c.waitingCost[name] = c.served[name], waiting[name]
	}
	c.servedSeq++
	c.publish()
}

func (c *control) snapMembers() map[string]api.Member {
	if c.snap == nil {
		return nil
	}
	return c.snap.Config.Members
}

// keptChanges bounds the changes of the prefix cache that links can still
// report.
const keptChanges = 512

// EngineReport takes the engine's own report. A new incarnation shows a
// restart that no request has noticed yet.
func (c *control) EngineReport(now time.Duration, r api.EngineReport) {
	elapsed := now - c.service.started
	c.engineIncarnation(elapsed, r.Incarnation)
	c.noteFall(func() { c.cold.ObserveStepTime(r.Running, r.StepTime) })
	c.pump(elapsed)
}

// CacheChanges keeps the last changes of the prefix cache for the links.
func (c *control) CacheChanges(_ time.Duration, incarnation uint64, changes []api.CacheChange) {
	var old []api.CacheChange
	if incarnation == c.cacheOf {
		old = c.service.CacheChanges()
	}
	c.cacheOf = incarnation
	kept := append(append(make([]api.CacheChange, 0, len(old)+len(changes)), old...), changes...)
	kept = kept[max(len(kept)-keptChanges, 0):]
	c.service.cache.Store(&kept)
	c.publish()
}

// engineIncarnation takes the incarnation that the engine states, in a report
// or with an answer. What still runs when it changes ran during a crash. A
// report that lags behind an answer is recognised by its old incarnation.
func (c *control) engineIncarnation(now time.Duration, id uint64) {
	if id == 0 || id == c.engineIs || id == c.engineWas {
		return
	}
	restarted := c.engineIs != 0
	c.engineWas, c.engineIs = c.engineIs, id
	if restarted && c.startedBefore(now) {
		c.crash(now)
	}
	c.noteFall(func() { c.cold.ObserveIncarnation(id) })
}

// startedBefore reports whether anything runs that began before the last crash
// was noticed, so that it was part of another one.
func (c *control) startedBefore(now time.Duration) bool {
	for _, a := range c.running {
		if a.started > c.crashedAt && a.started < now {
			return true
		}
	}
	return false
}

// noteFall counts a return to the cold limit, if the observation causes one.
func (c *control) noteFall(observe func()) {
	before := c.cold.Resets()
	observe()
	if c.cold.Resets() != before {
		c.service.metrics.Counter("work_cold_falls", string(c.cold.Reason())).Add(1)
	}
}

// sample takes the progress of streams that ran through the whole interval and
// have their first token.
func (c *control) sample(now time.Duration) {
	for _, a := range c.running {
		total := a.generated.Load()
		if a.sampled > 0 && now-a.started >= progressInterval {
			c.limit.Progress(now, int(total-a.sampled), progressInterval)
		}
		a.sampled = total
	}
}

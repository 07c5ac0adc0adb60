package work

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// servedInterval is how often the served cost per member is reported.
	servedInterval = 5 * time.Second
	// maxServedMembers limits the members in one report, which keeps the control
	// traffic within its budget.
	maxServedMembers = 16
)

// reportServed publishes the served and queued costs of the members with the most
// queued cost, since only their shares may need a correction.
func (c *control) reportServed(time.Duration) {
	var names []string
	waiting := make(map[string]uint64)
	for name := range c.members() {
		if cost := c.queue.MemberWaitingCost(name); cost > 0 {
			waiting[name] = cost
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(waiting[b], waiting[a]), cmp.Compare(a, b))
	})
	c.reportedServed, c.reportedWaiting = make(map[string]uint64), make(map[string]uint64)
	for _, name := range names[:min(len(names), maxServedMembers)] {
		c.reportedServed[name], c.reportedWaiting[name] = c.servedCost[name], waiting[name]
	}
	c.servedSeq++
	c.publish()
}

func (c *control) members() map[string]api.Member {
	if c.snapshot == nil {
		return nil
	}
	return c.snapshot.Config.Members
}

// maxCacheChanges limits the prefix cache changes that are recorded for the load
// reports of the links.
const maxCacheChanges = 512

// EngineReport processes a report from the engine. A new incarnation in it shows a
// restart even if no request failed.
func (c *control) EngineReport(now time.Duration, r api.EngineReport) {
	elapsed := now - c.service.startedAt
	c.observeEngineIncarnation(elapsed, r.Incarnation)
	c.countColdResets(func() { c.coldStart.ObserveStepTime(r.Running, r.StepTime) })
	c.schedule(elapsed)
}

// CacheChanges records prefix cache changes for the links, up to maxCacheChanges. It
// discards the changes of an earlier engine incarnation. The numbers of an engine begin
// again when it restarts, those of the links only when the agent does.
func (c *control) CacheChanges(_ time.Duration, incarnation uint64, changes []api.CacheChange) {
	if len(changes) == 0 {
		return
	}
	var old []api.CacheChange
	switch c.cacheIncarnation {
	case incarnation:
		old = c.service.CacheChanges()
	case 0:
	default:
		// A number that is never given out shows routers that changes were lost.
		c.cacheSeqBase = c.lastCacheSeq + 1
	}
	c.cacheIncarnation = incarnation
	kept := append(make([]api.CacheChange, 0, len(old)+len(changes)), old...)
	for _, change := range changes {
		change.Seq += c.cacheSeqBase
		c.lastCacheSeq = max(c.lastCacheSeq, change.Seq)
		kept = append(kept, change)
	}
	kept = kept[max(len(kept)-maxCacheChanges, 0):]
	c.service.cacheChanges.Store(&kept)
	c.publish()
}

// observeEngineIncarnation processes the engine incarnation from a report or a
// response. A change is recorded as a crash if it interrupted runs in flight. The
// previous incarnation is ignored, since a report may arrive after a response of the
// new one.
func (c *control) observeEngineIncarnation(now time.Duration, id uint64) {
	if id == 0 || id == c.engineIncarnation || id == c.previousEngineIncarnation {
		return
	}
	restarted := c.engineIncarnation != 0
	c.previousEngineIncarnation, c.engineIncarnation = c.engineIncarnation, id
	if restarted && c.runningAtRestart(now) {
		c.recordCrash(now)
	}
	c.countColdResets(func() { c.coldStart.ObserveIncarnation(id) })
}

// runningAtRestart reports whether a run in flight started after the last recorded
// crash, so that the restart is a separate crash.
func (c *control) runningAtRestart(now time.Duration) bool {
	for _, r := range c.running {
		if r.startedAt > c.lastCrashAt && r.startedAt < now {
			return true
		}
	}
	return false
}

// countColdResets calls observe and counts it if it caused a return to the cold limit.
func (c *control) countColdResets(observe func()) {
	before := c.coldStart.Resets()
	observe()
	if c.coldStart.Resets() != before {
		c.service.metrics.Counter("work_cold_falls", string(c.coldStart.Reason())).Add(1)
	}
}

// sampleProgress reports the tokens of the last interval to the concurrency limit. It
// only includes streams that ran for the whole interval and had produced tokens before
// it.
func (c *control) sampleProgress(now time.Duration) {
	for _, r := range c.running {
		total := r.generatedTokens.Load()
		if r.sampledTokens > 0 && now-r.startedAt >= progressInterval {
			c.limit.Progress(now, int(total-r.sampledTokens), progressInterval)
		}
		r.sampledTokens = total
	}
}

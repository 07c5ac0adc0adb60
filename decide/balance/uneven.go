package balance

import (
	"math"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/batchlimit"
	"github.com/mulberryfork/mulberryfork/decide/waterfill"
)

const (
	// missingAfter is the age of a rank's load, relative to that of its group, from which the
	// rank is taken to be lost. A leader reads its ranks ten times a second and may miss a
	// rank once.
	missingAfter = 250 * time.Millisecond
	// unevenSlowdown is the ratio of the mean slowdowns of two groups from which they differ.
	// With equal groups it stays below 1.3 in the model.
	unevenSlowdown = 1.5
	// slowdownWeight is the weight of one load in the mean slowdown. Leaders count the passes
	// of 0.6 s, so that a single load is off by a fifth where passes take 120 ms.
	slowdownWeight = 0.1
	// leaderMemory is how long the passes and shifts that a leader measured count while its
	// successor does not know them. Demand shifts every few seconds.
	leaderMemory = 5 * time.Second
	// fillFactor is the time in which the batches of a group that was formed fill, as a multiple
	// of the duration of a request: requests that start together end together. unknownFill is
	// that time while the duration is not known.
	fillFactor  = 2
	unknownFill = 2 * time.Second
	// roundingError bounds those of a sum of places, and onePlace is a place less these.
	roundingError = 1e-6
	onePlace      = 1 - roundingError
)

// Difference states how the groups of a service differ. A higher one takes precedence.
type Difference uint8

// Differences of groups. Groups are alike if there is only one.
const (
	GroupsAlike Difference = iota
	// GroupSlow has longer passes than another.
	GroupSlow
	// GroupFilling was formed lately.
	GroupFilling
	// GroupForming is being formed.
	GroupForming
	// GroupAtRisk has a rank that is lost, leaving or failed a request since the last load.
	GroupAtRisk
)

// String returns the label of a difference in logs and metrics.
func (d Difference) String() string {
	return [...]string{"alike", "slow", "filling", "forming", "at_risk"}[d]
}

// group is what is known of a group of lockstep ranks.
type group struct {
	formed bool
	// readAt is the time of the last load, formedAt that of the first one after the group was
	// formed again, 0 if it was formed all the time.
	readAt, formedAt time.Duration
	// suspected is set if an attempt failed at suspectedAt, after the last load was read.
	suspected   bool
	suspectedAt time.Duration
	// slowdown is the mean ratio of the time of a pass to that of the engine's profile, 0 if it
	// is unknown.
	slowdown float64
	// passTime is the time of a pass with full batches, 0 if it is unknown.
	passTime time.Duration
	// reads is the number of prompts that a rank should get in a pass from all processes.
	reads float64

	// shiftImbalance is the last known one, at shiftAt, and passAt is when the time of a pass was
	// last known.
	shiftImbalance  float64
	shiftAt, passAt time.Duration

	// survey is the last survey that saw the group, and difference what it found.
	survey     uint64
	difference Difference
}

// current reports whether the load of the group is recent.
func (g *group) current(now time.Duration) bool { return now-g.readAt <= maxGroupLoadAge }

// forming reports whether the group is being formed.
func (g *group) forming(now time.Duration) bool { return g.current(now) && !g.formed }

// atRisk reports whether the group was at risk in the last survey.
func (g *group) atRisk() bool { return g != nil && g.difference == GroupAtRisk }

// observe records a load of the group. slots are those of a rank.
func (g *group) observe(l api.GroupLoad, measured batchlimit.Group, model batchlimit.Model, slots int, maxPause time.Duration) {
	if l.ReadAt < g.readAt {
		return
	}
	if l.Formed && !g.formed && g.readAt > 0 {
		g.formedAt = l.ReadAt
	}
	if l.ReadAt > g.suspectedAt {
		g.suspected = false
	}
	g.formed, g.readAt = l.Formed, l.ReadAt
	if slowdown := model.Slowdown(measured); slowdown > 0 && l.Formed {
		if g.slowdown == 0 {
			g.slowdown = slowdown
		}
		g.slowdown += slowdownWeight * (slowdown - g.slowdown)
	}
	g.passTime = time.Duration(max(g.slowdown, 1) * float64(model.PassTime(slots)))
	g.reads = model.Reads(g.passTime, len(l.Ranks), maxPause)
}

// complete adds what was known of the group lately to a load of a leader that does not know it.
// One that has just taken over measures no pass for 0.6 s and knows of no shift until it has
// seen two; with full batches in that time, the passes of the group are too long for seconds.
func (g *group) complete(readAt time.Duration, measured *batchlimit.Group, model batchlimit.Model) {
	switch {
	case measured.ShiftImbalance > 0:
		g.shiftImbalance, g.shiftAt = measured.ShiftImbalance, readAt
	case g.shiftImbalance > 0 && readAt-g.shiftAt < leaderMemory:
		measured.ShiftImbalance = g.shiftImbalance
	}
	switch {
	case measured.PassTime > 0:
		g.passAt = readAt
	case g.slowdown > 0 && readAt-g.passAt < leaderMemory:
		measured.PassTime = g.meanPassTime(model, measured.Fullest)
	}
}

// meanPassTime returns the time of a pass with a number of requests on the fullest rank, by the
// mean slowdown, 0 if that is unknown.
func (g *group) meanPassTime(model batchlimit.Model, fullest int) time.Duration {
	return time.Duration(g.slowdown * float64(model.PassTime(max(1, fullest))))
}

// suspect records the failure of an attempt at a rank of the group.
func (g *group) suspect(now time.Duration, f *api.Failure) {
	if f.Code == api.CodeUpstreamUnreached || f.Code == api.CodeUpstreamFailed {
		g.suspected, g.suspectedAt = true, now
	}
}

// find returns the difference of the group by its loads. filling is the time for which a
// group that was formed counts as filling.
func (g *group) find(now, filling time.Duration) Difference {
	switch {
	case g.suspected && now-g.suspectedAt <= maxGroupLoadAge:
		return GroupAtRisk
	case g.forming(now):
		return GroupForming
	case g.formedAt > 0 && now-g.formedAt <= filling:
		return GroupFilling
	}
	return GroupsAlike
}

// groupOf returns the group with a name.
func (s *State) groupOf(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{}
		s.groups[name] = g
	}
	return g
}

// retainGroups keeps the groups of the present upstreams only.
func (s *State) retainGroups() {
	used := make(map[*group]bool)
	for _, u := range s.upstreams {
		used[u.group] = true
	}
	for name, g := range s.groups {
		if !used[g] {
			delete(s.groups, name)
		}
	}
}

// fillTime returns the time for which a group of a service that was formed counts as filling.
func (t *traffic) fillTime() time.Duration {
	if t.meanDuration > 0 {
		return fillFactor * t.meanDuration
	}
	return unknownFill
}

// surveyGroups returns how the groups of a service differ, and finds the difference of each.
func (s *State) surveyGroups(now time.Duration, list []*upstream, filling time.Duration) Difference {
	s.surveys++
	groups, low, high := 0, math.Inf(1), 0.0
	for _, u := range list {
		g := u.group
		if g == nil {
			continue
		}
		if g.survey != s.surveys {
			g.survey, g.difference = s.surveys, g.find(now, filling)
			groups++
			if g.slowdown > 0 {
				low, high = min(low, g.slowdown), max(high, g.slowdown)
			}
		}
		if g.difference != GroupForming && s.threatens(u) {
			g.difference = GroupAtRisk
		}
	}
	if groups < 2 {
		return GroupsAlike
	}
	found := GroupsAlike
	if high >= unevenSlowdown*low {
		found = GroupSlow
	}
	for _, u := range list {
		if u.group != nil {
			found = max(found, u.group.difference)
		}
	}
	return found
}

// threatens reports whether an upstream is a rank that its group has lost or is about to lose. A
// group that has run without it for some time does not need it.
func (s *State) threatens(u *upstream) bool {
	if u.groupLoad == nil {
		return false
	}
	missing := u.group.readAt - u.groupLoad.readAt
	return missing <= maxGroupLoadAge && (missing > missingAfter || !s.eligible(u))
}

// readable returns the number of prompts that a rank should get from all processes since its
// load was read, without bound if that is not known.
func (u *upstream) readable(now time.Duration) float64 {
	g := u.group
	if g == nil || g.passTime <= 0 {
		return math.Inf(1)
	}
	return max(1, g.reads*(1+float64(now-g.readAt)/float64(g.passTime)))
}

// placeUneven is like place for groups that differ. Groups at risk get what the others have no
// room for: if the expected arrivals exceed that room, a request goes there with the odds that it
// is among the rest. Low loads rise only as fast as ranks read prompts, as far as there
// is room elsewhere.
func (s *State) placeUneven(now time.Duration, room *Room, arrivals float64) (Choice, bool) {
	if room.Total < max(arrivals, 1)-roundingError {
		return Choice{Candidates: len(room.candidates)}, false
	}
	candidates := slices.Grow(s.reduced[:0], len(room.candidates))[:len(room.candidates)]
	s.reduced = candidates
	atRisk := !s.has(room.fill(now, candidates, false, true), arrivals)
	if atRisk && room.fill(now, candidates, true, true) < onePlace {
		atRisk = false
	}
	total := room.fill(now, candidates, atRisk, false)
	if !s.has(total, arrivals) {
		total = room.fill(now, candidates, atRisk, true)
	}
	s.depths = waterfill.Depths(s.depths, candidates, min(arrivals, total))
	i := s.draw(s.depths)
	s.recordAttempt(now, room.ranks[i])
	return choiceOf(room.ranks[i], room.candidates[i].Load, len(candidates)), true
}

// has reports whether a request is among those of the expected arrivals that have room.
func (s *State) has(room, arrivals float64) bool {
	return room >= onePlace && s.random.Float64()*arrivals < room
}

// fill sets candidates to those of the room and returns how many requests they take. Only groups
// that are or are not at risk take any. Without crowded, ranks take only what they can read.
func (r *Room) fill(now time.Duration, candidates []waterfill.Candidate, atRisk, crowded bool) float64 {
	total := 0.0
	for i, u := range r.ranks {
		c := r.candidates[i]
		if !crowded {
			c.Capacity = min(c.Capacity, c.Load-r.sent[i]+u.readable(now))
		}
		if atRisk != u.group.atRisk() {
			c.Capacity = c.Load
		}
		total += max(c.Capacity-c.Load, 0)
		candidates[i] = c
	}
	return total
}

// TakeEntry counts a late request that was sent.
func (r *Room) TakeEntry() {
	if r.entries != nil {
		r.entries.free--
	}
}

// draw returns an index with the given weights.
func (s *State) draw(weights []float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	at, last := s.random.Float64()*total, 0
	for i, w := range weights {
		if w <= 0 {
			continue
		}
		if last = i; at < w {
			break
		}
		at -= w
	}
	return last
}

// entries bounds the late requests that this process sends to groups that differ. They come
// together if a group breaks, and would delay the passes of the others with their prompts.
type entries struct {
	// free is the number of requests that it may send now, as of at.
	free float64
	at   time.Duration
}

// findEntry sets the time from which the groups that are not at risk take another late request
// of this process. It may send an equal part of the prompts that they can read.
func (r *Room) findEntry(now time.Duration, e *entries) {
	perPass, rate := 0.0, 0.0
	for _, u := range r.ranks {
		if g := u.group; g != nil && !g.atRisk() && g.passTime > 0 && !math.IsInf(g.reads, 1) {
			part := g.reads / float64(r.Processes)
			perPass += part
			rate += part / g.passTime.Seconds()
		}
	}
	e.free = min(e.free+rate*(now-e.at).Seconds(), max(perPass, 1))
	e.at = now
	if r.entries = e; rate > 0 && e.free < onePlace {
		r.EntryAt = now + time.Duration((1-e.free)/rate*float64(time.Second)) + 1
	}
}

// PauseTarget returns the time until which the next event of a response is in time, 0 if that
// is not known. last is the time of its last event.
func (s *State) PauseTarget(service string, last time.Duration) time.Duration {
	if pause := s.maxPauses[service]; pause > 0 {
		return last + pause
	}
	return 0
}

package discovery

import (
	"maps"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/storeera"
)

// removalMemory is the time for which the removal of an upstream is known. The copies
// that a store comes back from are some seconds old.
const removalMemory = time.Minute

// maxExtensions bounds how often an absence of the store extends the time for which earlier
// knowledge wins, so that failures that recur don't keep what the store says out of force.
const maxExtensions = 3

// copies holds the entries of the copy with which an era began that contradict what was
// known. Upstreams and the operator write again what was lost, and the leases of upstreams
// that are gone expire, so the store's state is current again after a time. Until the store
// was read after that, what was known wins:
//   - an upstream that was removed stays removed, and one that was leaving stays so;
//   - a zone that was out of service stays out;
//   - a cold start ends at the later of the two times;
//   - the configuration with the higher version stays active, without a time limit.
type copies struct {
	// until is the end of the time for which the earlier knowledge wins, which has come once a
	// read that was current then is applied. Absences of the store extend it.
	until      time.Duration
	extensions int
	// held maps keys to entries of the copy that have no effect until then. That of a zone that
	// the copy lacks is deleted.
	held map[string]entry
	// removals holds, by key, the upstreams that were removed lately.
	removals map[string]removal
}

// removal is the removal of an upstream, which started at a Unix time in milliseconds. revision
// is the highest one that had been read by then in any era.
type removal struct {
	at          time.Duration
	startedAtMs int64
	revision    uint64
	// leaving is set if the upstream was leaving.
	leaving bool
}

// contradicts reports whether an entry of the copy is older than the removal, or may be. One
// with a higher revision than any that had been read by then was written later.
func (r removal) contradicts(now time.Duration, e entry) bool {
	return now-r.at <= removalMemory && e.Instance.StartedAtMs <= r.startedAtMs && e.Revision <= r.revision
}

func newCopies() copies {
	return copies{held: make(map[string]entry), removals: make(map[string]removal)}
}

// begin starts an era, in which the earlier knowledge wins until a time. Entries held back
// in the era before are dropped: the list with which this one begins replaces them.
func (c *copies) begin(until time.Duration) {
	c.until, c.extensions = until, 0
	clear(c.held)
}

// extend lets the earlier knowledge win until a time after an absence of the store, in which
// nothing was written again and leases may not have expired.
func (c *copies) extend(until time.Duration) {
	if c.extensions < maxExtensions {
		c.until = until
		c.extensions++
	}
}

// holds reports whether an entry is one of the copy that is held back.
func (c *copies) holds(e entry) bool {
	held, ok := c.held[e.Key]
	return ok && !e.Deleted && e.position.Compare(held.position) <= 0
}

// holdEarlier holds back an entry that was written since the era began but states what was
// true before: the writes that the store has lost are repeated in turn. It reports whether it
// did.
func (s *State) holdEarlier(known, e entry) bool {
	if e.Instance == nil || !s.isRepeated(known, e) {
		return false
	}
	s.copies.held[e.Key] = e
	return true
}

func (s *State) isRepeated(known, e entry) bool {
	if known.Instance != nil {
		_, held := s.copies.held[e.Key]
		return held && isEarlier(e.Instance, known.Instance)
	}
	r, removed := s.copies.removals[e.Key]
	return removed && r.leaving && s.asOf < s.copies.until && !e.Instance.Leaving && e.Instance.StartedAtMs <= r.startedAtMs
}

// isEarlier reports whether an entry of an upstream is older than the known one by what it
// states: an upstream that leaves doesn't become available again without a new start.
func isEarlier(in, known *api.Instance) bool {
	return in.StartedAtMs < known.StartedAtMs || in.StartedAtMs == known.StartedAtMs && known.Leaving && !in.Leaving
}

// release forgets what the copy said of a key.
func (c *copies) release(key string) { delete(c.held, key) }

// holdAbsence holds back that the copy, with which an era begins, lacks an entry.
func (c *copies) holdAbsence(key string, era uint64) {
	c.held[key] = entry{api.DiscoveryItem{Key: key, Deleted: true}, storeera.Position{Era: era}}
}

// lacks reports whether it is held back that the copy lacks an entry.
func (c *copies) lacks(key string) bool { return c.held[key].Deleted }

// releaseUnlisted forgets the entries of the copy that a later list lacks.
func (c *copies) releaseUnlisted(listed map[string]bool) {
	maps.DeleteFunc(c.held, func(key string, e entry) bool { return !e.Deleted && !listed[key] })
}

func (c *copies) recordRemoval(key string, latest removal) {
	maps.DeleteFunc(c.removals, func(_ string, r removal) bool { return latest.at-r.at > removalMemory })
	c.removals[key] = latest
}

// recordReplacement records that the entry of an upstream was replaced by one that can't be
// decoded. Its earlier starts are over, and if it was leaving, so is this one.
func (s *State) recordReplacement(now time.Duration, key string, in *api.Instance) {
	over := in.StartedAtMs
	if !in.Leaving {
		over--
	}
	s.copies.recordRemoval(key, removal{now, over, s.revision, in.Leaving})
}

// reconcile compares an entry of the first list of an era with what is known. It returns
// the entry to apply; one that contradicts later knowledge is held back.
func (s *State) reconcile(now time.Duration, e entry, c *Change) entry {
	in := e.Instance
	if in == nil {
		return e
	}
	hold := func() {
		s.copies.held[e.Key] = e
		c.Withheld = append(c.Withheld, e.Key)
	}
	known, ok := s.entries[e.Key]
	if !ok || known.Instance == nil {
		if r, removed := s.copies.removals[e.Key]; removed && r.contradicts(now, e) {
			hold()
		}
		return e
	}
	before := known.Instance
	switch {
	case isEarlier(in, before):
		hold()
		s.reposition(known, e.position)
	case in.StartedAtMs == before.StartedAtMs:
		merged := *in
		merged.ColdUntil = max(in.ColdUntil, before.ColdUntil)
		e.Instance = &merged
		if s.reassigned[in.ID] == known.position {
			s.reassigned[in.ID] = e.position
		}
	}
	return e
}

// reposition states that an entry is known to hold at a position of the new era.
func (s *State) reposition(known entry, p storeera.Position) {
	if s.reassigned[known.Instance.ID] == known.position {
		s.reassigned[known.Instance.ID] = p
	}
	known.position = p
	s.entries[known.Key] = known
	delete(s.missing, known.Key)
}

// settleCopies lets the held entries take effect once the store is known not to have
// contradicted them in time, and reports whether the view changed.
func (s *State) settleCopies(now time.Duration, c *Change) bool {
	if len(s.copies.held) == 0 || s.asOf < s.copies.until {
		return false
	}
	for key, e := range s.copies.held {
		if e.Deleted {
			s.drop(now, key, c)
			continue
		}
		s.entries[key] = e
	}
	clear(s.copies.held)
	return true
}

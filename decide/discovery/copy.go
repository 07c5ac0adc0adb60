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

// copies holds the entries of the copy with which an era began that contradict what was
// known. Upstreams and the operator write again what was lost, and the leases of upstreams
// that are gone expire, so the store's state is current again after a time. Until the store
// was read after that, what was known wins:
//   - an upstream that was removed stays removed, and one that was leaving stays so;
//   - a zone that was out of service stays out;
//   - a cold start ends at the later of the two times;
//   - the configuration with the higher version stays active, without a time limit.
type copies struct {
	// until is the time from which a read tells what the store holds by itself. The earlier
	// knowledge wins until there is one.
	until time.Duration
	// held maps keys to entries of the copy that have no effect until then.
	held map[string]entry
	// missing holds the keys of zones out of service that the copy lacks.
	missing map[string]bool
	// removals holds, by key, the upstreams that were removed lately.
	removals map[string]removal
}

// removal is the removal of an upstream, which started at a Unix time in milliseconds.
type removal struct {
	at          time.Duration
	startedAtMs int64
}

func newCopies() copies {
	return copies{held: make(map[string]entry), missing: make(map[string]bool), removals: make(map[string]removal)}
}

// begin starts an era, in which the earlier knowledge wins until a time. Entries held back
// in the era before are dropped: the list with which this one begins replaces them.
func (c *copies) begin(until time.Duration) {
	c.until = until
	clear(c.held)
	clear(c.missing)
}

// extend lets the earlier knowledge win until a time. While the store is away again, leases
// don't expire and nothing is written.
func (c *copies) extend(until time.Duration) {
	if len(c.held) > 0 || len(c.missing) > 0 {
		c.until = until
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
func (c *copies) holdEarlier(known, e entry) bool {
	if _, held := c.held[e.Key]; !held || known.Instance == nil || e.Instance == nil || !isEarlier(e.Instance, known.Instance) {
		return false
	}
	c.held[e.Key] = e
	return true
}

// isEarlier reports whether an entry of an upstream is older than the known one by what it
// states: an upstream that leaves doesn't become available again without a new start.
func isEarlier(in, known *api.Instance) bool {
	return in.StartedAtMs < known.StartedAtMs || in.StartedAtMs == known.StartedAtMs && known.Leaving && !in.Leaving
}

// release forgets what the copy said of a key.
func (c *copies) release(key string) {
	delete(c.held, key)
	delete(c.missing, key)
}

// releaseUnlisted forgets the entries of the copy that a later list lacks.
func (c *copies) releaseUnlisted(listed map[string]bool) {
	maps.DeleteFunc(c.held, func(key string, _ entry) bool { return !listed[key] })
}

func (c *copies) recordRemoval(now time.Duration, key string, startedAtMs int64) {
	maps.DeleteFunc(c.removals, func(_ string, r removal) bool { return now-r.at > removalMemory })
	c.removals[key] = removal{at: now, startedAtMs: startedAtMs}
}

// reconcile compares an entry of the first list of an era with what is known. It returns
// the entry to apply; one that contradicts later knowledge is held back.
func (s *State) reconcile(e entry, c *Change) entry {
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
		if r, removed := s.copies.removals[e.Key]; removed && in.StartedAtMs <= r.startedAtMs {
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
	delete(s.dropAt, known.Key)
}

// settleCopies lets the held entries take effect once the store was read late enough, and
// reports whether the view changed.
func (s *State) settleCopies(now time.Duration, c *Change) bool {
	held, missing := s.copies.held, s.copies.missing
	if s.asOf < s.copies.until || len(held) == 0 && len(missing) == 0 {
		return false
	}
	maps.Copy(s.entries, held)
	for key := range missing {
		s.drop(now, key, c)
	}
	clear(held)
	clear(missing)
	return true
}

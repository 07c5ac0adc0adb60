package storewatch_test

import (
	"container/heap"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// simClock runs functions in the order of their times.
type simClock struct {
	now    time.Duration
	timers timerHeap
	count  int
}

type simTimer struct {
	at    time.Duration
	order int
	run   func()
}

type timerHeap []simTimer

func (h timerHeap) Len() int      { return len(h) }
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h *timerHeap) Push(x any) { *h = append(*h, x.(simTimer)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (c *simClock) after(d time.Duration, run func()) {
	c.count++
	heap.Push(&c.timers, simTimer{c.now + max(d, 0), c.count, run})
}

func (c *simClock) runUntil(end time.Duration) {
	for len(c.timers) > 0 && c.timers[0].at <= end {
		next := heap.Pop(&c.timers).(simTimer)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// absence is how a store that is away treats calls.
type absence uint8

const (
	present absence = iota
	// refusing ends open connections and refuses new ones.
	refusing
	// unavailable answers with status 503.
	unavailable
	// silent answers nothing. Connections stay open.
	silent
)

// contents are what a store holds, and what its copies do.
type contents struct {
	items    map[string]api.DiscoveryItem
	leases   map[string]time.Duration
	history  []api.DiscoveryItem
	revision uint64
	// compacted is the last revision that is no longer in history.
	compacted uint64
}

func (c contents) clone() contents {
	c.items, c.leases = maps.Clone(c.items), maps.Clone(c.leases)
	c.history = slices.Clip(c.history)
	return c
}

// storeTraits are what the protocol leaves open of a store.
type storeTraits struct {
	// expiresAway is set if leases also expire while the store is away. Otherwise they last
	// longer by the absence, and those of a copy begin anew.
	expiresAway bool
	// keepsWatches is set if watches outlast the return from a copy. They state the era of
	// their arrival if earlyEra is set, else that of their answer.
	keepsWatches, earlyEra bool
	// eraInRefusals is set if the answers with status 503 state the era.
	eraInRefusals bool
	pageItems     int
	latency       time.Duration
	lease         time.Duration
}

// simStore is a model of the platform's store.
type simStore struct {
	*simClock
	storeTraits
	contents
	era uint64
	// highest is the highest revision of the eras before.
	highest uint64
	absence absence
	// delay is added to each answer of a slow store.
	delay   time.Duration
	watches []*simWatch
	// snapshots are the contents after each write, the latest last.
	snapshots []snapshot
	// changedAt are the times of the last change of each key, by a write or a return.
	changedAt map[string]time.Duration
	// leftAt is the begin of the last absence, and disruptedAt the last time at which the store was away or slow.
	leftAt, disruptedAt, compactedAt time.Duration
	onWrite                          func(api.DiscoveryItem)
}

type snapshot struct {
	at time.Duration
	contents
}

// simConn is a connection, on which nothing comes once an answer was lost.
type simConn struct{ dead bool }

type simQuery struct {
	watch  bool
	prefix string
	// key is the one after which a page begins, and after the revision after which a watch
	// does.
	key   string
	after uint64
	wait  time.Duration
}

type simAnswer struct {
	err   error
	era   uint64
	items []api.DiscoveryItem
	at    uint64
	more  bool
}

type simWatch struct {
	simQuery
	era      uint64
	deadline time.Duration
	answer   func(simAnswer)
}

func newSimStore(c *simClock, traits storeTraits) *simStore {
	return &simStore{
		simClock: c, storeTraits: traits, era: 1, changedAt: make(map[string]time.Duration),
		contents: contents{items: make(map[string]api.DiscoveryItem), leases: make(map[string]time.Duration), revision: 1},
	}
}

// write changes an entry. It reports whether the store acknowledged that.
func (s *simStore) write(item api.DiscoveryItem) bool {
	if s.absence != present {
		return false
	}
	s.revision++
	item.Revision = s.revision
	if item.Deleted {
		delete(s.items, item.Key)
		delete(s.leases, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	s.changedAt[item.Key] = s.now
	s.snapshots = append(s.snapshots, snapshot{s.now, s.contents.clone()})
	s.onWrite(item)
	s.answerWatches()
	return true
}

// renew begins a lease anew.
func (s *simStore) renew(key string) {
	s.leases[key] = s.now + s.lease
	s.after(s.lease, func() { s.expire(key) })
	s.snapshots = append(s.snapshots, snapshot{s.now, s.contents.clone()})
}

func (s *simStore) expire(key string) {
	if until, ok := s.leases[key]; ok && until <= s.now && s.absence == present {
		s.write(api.DiscoveryItem{Key: key, Deleted: true})
	}
}

// compact drops the history.
func (s *simStore) compact() {
	s.history, s.compacted, s.compactedAt = nil, s.revision, s.now
}

func (s *simStore) leave(how absence) {
	s.absence, s.leftAt = how, s.now
	if how == silent {
		return
	}
	watches := s.watches
	s.watches = nil
	for _, w := range watches {
		if how == refusing {
			w.answer(simAnswer{err: errRefused})
		} else {
			w.answer(s.refusal())
		}
	}
}

func (s *simStore) refusal() simAnswer {
	a := simAnswer{err: errUnavailable}
	if s.eraInRefusals {
		a.era = s.era
	}
	return a
}

// restore replaces the contents by those of some time ago and begins an era.
func (s *simStore) restore(at time.Duration) {
	i := len(s.snapshots) - 1
	for i > 0 && s.snapshots[i].at > at {
		i--
	}
	s.highest = max(s.highest, s.revision)
	before := s.items
	s.contents = s.snapshots[i].contents.clone()
	s.snapshots = append(s.snapshots[:i+1], snapshot{s.now, s.contents.clone()})
	s.era++
	for key := range before {
		if before[key].Revision != s.items[key].Revision {
			s.changedAt[key] = s.now
		}
	}
	for key := range s.items {
		if _, ok := before[key]; !ok {
			s.changedAt[key] = s.now
		}
	}
	if !s.keepsWatches {
		watches := s.watches
		s.watches = nil
		for _, w := range watches {
			w.answer(simAnswer{err: errRefused})
		}
	}
}

// back ends an absence. fromCopy is set if the store has been restored.
func (s *simStore) back(fromCopy bool) {
	s.absence, s.disruptedAt = present, max(s.disruptedAt, s.now)
	for _, key := range slices.Sorted(maps.Keys(s.leases)) {
		switch {
		case s.expiresAway:
		case fromCopy:
			s.leases[key] = s.now + s.lease
		default:
			s.leases[key] += s.now - s.leftAt
		}
		s.after(s.leases[key]-s.now, func() { s.expire(key) })
	}
	s.answerWatches()
}

// call answers a query that has arrived.
func (s *simStore) call(q simQuery, answer func(simAnswer)) {
	switch {
	case s.absence == silent && s.keepsWatches:
		// The request waits in the connection until the store is back.
		s.after(100*time.Millisecond, func() { s.call(q, answer) })
	case s.absence == silent:
	case s.absence == refusing:
		answer(simAnswer{err: errRefused})
	case s.absence == unavailable:
		answer(s.refusal())
	case q.watch:
		s.watches = append(s.watches, &simWatch{q, s.era, s.now + q.wait, answer})
		s.after(q.wait, s.answerWatches)
		s.answerWatches()
	default:
		answer(s.page(q))
	}
}

func (s *simStore) page(q simQuery) simAnswer {
	a := simAnswer{era: s.era, at: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if key <= q.key || !strings.HasPrefix(key, q.prefix) {
			continue
		}
		if len(a.items) == s.pageItems {
			a.more = true
			break
		}
		a.items = append(a.items, s.items[key])
	}
	return a
}

// answerWatches answers the watches that have changes or have waited long enough.
func (s *simStore) answerWatches() {
	if s.absence != present {
		return
	}
	waiting := s.watches
	s.watches = nil
	for _, w := range waiting {
		a := simAnswer{era: s.era, at: s.revision}
		if s.earlyEra {
			a.era = w.era
		}
		switch {
		case w.after > s.revision || w.after < s.compacted:
			a.err = errGone
		default:
			first, _ := slices.BinarySearchFunc(s.history, w.after, func(e api.DiscoveryItem, after uint64) int {
				if e.Revision <= after {
					return -1
				}
				return 1
			})
			a.items = slices.Clone(s.history[first:])
			if len(a.items) == 0 && s.now < w.deadline {
				s.watches = append(s.watches, w)
				continue
			}
		}
		w.answer(a)
	}
}

// Package poison finds requests that crash the upstreams that run them. A
// request that was running during a crash becomes a suspect and then runs
// only in isolation, at an upstream that it may have crashed already. Two
// crashes in isolation condemn it; a completed run clears it.
package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// DefaultMaxRecords bounds the requests remembered.
	DefaultMaxRecords = 4096
	// maxCrashes bounds the crashes remembered for one request.
	maxCrashes = 8
	// evidenceTTL is how long a crash counts. With 30 minutes, a caller that
	// resent without end crashed a third upstream after the first was forgotten.
	evidenceTTL = 24 * time.Hour
	// shareTTL is how long a crash is reported to others. It is shorter than
	// evidenceTTL, or two processes would renew each other's memory for ever.
	shareTTL = 23 * time.Hour
	// condemnFor is how long a condemned request is refused. After that it is
	// a suspect again and gets one more run in isolation. Each further crash
	// in isolation doubles the time, up to condemnMost.
	condemnFor  = 10 * time.Minute
	condemnMost = 6 * time.Hour
	// condemnCrashes are the crashes in isolation that condemn.
	condemnCrashes = 2
	// expireEvery bounds the work of looking for records that have expired.
	expireEvery = time.Minute
	// maxForeignCrashes bounds what is accepted in one message for a request.
	maxForeignCrashes = 16
)

// Status is the standing of a request.
type Status uint8

// Standings of a request.
const (
	Clean Status = iota
	Suspect
	Condemned
)

// Counters are totals since the state was made.
type Counters struct {
	Crashes   uint64
	Learned   uint64
	Cleared   uint64
	Evicted   uint64
	Condemned uint64
}

// State is what one process, router or agent, knows of suspects. It is soft
// state: losing it costs at most further crashes, never a promise.
type State struct {
	max     int
	records map[uint64]*record
	// keys are those of records, in order.
	keys     []uint64
	cursor   uint64
	expired  time.Duration
	counters Counters
}

type record struct {
	fingerprint uint64
	crashes     []crash
}

type crash struct {
	id       uint64
	upstream string
	at       time.Duration
	alone    bool
	cleared  bool
}

// New returns a state without records.
func New(maxRecords int) *State {
	if maxRecords <= 0 {
		maxRecords = DefaultMaxRecords
	}
	return &State{max: maxRecords, records: make(map[uint64]*record)}
}

// Counters returns the totals.
func (s *State) Counters() Counters { return s.counters }

// Len returns the number of requests remembered.
func (s *State) Len() int { return len(s.records) }

// Crashed records the crash of an upstream and the requests that it ran, and
// returns the reports for other processes. The id must differ between crashes of
// the fleet, such as a hash of upstream, incarnation and a count.
func (s *State) Crashed(now time.Duration, upstream string, id uint64, running []uint64) []api.Suspicion {
	s.counters.Crashes++
	unique := slices.Clone(running)
	slices.Sort(unique)
	unique = slices.Compact(unique)
	var updates []api.Suspicion
	for _, fp := range unique {
		c := crash{id: id, upstream: upstream, at: now, alone: len(running) == 1}
		if s.merge(now, fp, []crash{c}) {
			updates = append(updates, s.share(now, s.records[fp]))
		}
	}
	return updates
}

// Completed records that a request completed in isolation. It clears the
// crashes known here; a crash that is not yet known still counts later.
func (s *State) Completed(now time.Duration, fp uint64) []api.Suspicion {
	r := s.records[fp]
	if r == nil {
		return nil
	}
	s.counters.Cleared++
	for i := range r.crashes {
		r.crashes[i].cleared = true
	}
	return []api.Suspicion{s.share(now, r)}
}

// Merge merges what another process knows and returns what was new here, to
// be passed on. Nothing new means that nothing is passed on, so the exchange ends.
func (s *State) Merge(now time.Duration, received []api.Suspicion) []api.Suspicion {
	var updates []api.Suspicion
	for _, h := range received {
		foreign := make([]crash, 0, len(h.Crashes))
		for _, c := range h.Crashes[:min(len(h.Crashes), maxForeignCrashes)] {
			if c.Age >= 0 && c.Age < shareTTL {
				foreign = append(foreign, crash{c.ID, c.Upstream, now - c.Age, c.Alone, c.Cleared})
			}
		}
		if s.merge(now, h.Fingerprint, foreign) {
			s.counters.Learned++
			updates = append(updates, s.share(now, s.records[h.Fingerprint]))
		}
	}
	return updates
}

// Status returns the standing of a request.
func (s *State) Status(now time.Duration, fp uint64) Status {
	status, _ := s.standing(now, fp)
	return status
}

// standing also returns how long a condemned request is still refused.
func (s *State) standing(now time.Duration, fp uint64) (Status, time.Duration) {
	r := s.records[fp]
	if r == nil {
		return Clean, 0
	}
	open, alone, last := 0, 0, time.Duration(0)
	for _, c := range r.crashes {
		if !c.counts(now) {
			continue
		}
		open++
		if c.alone {
			alone++
			last = max(last, c.at)
		}
	}
	switch {
	case open == 0:
		return Clean, 0
	case alone < condemnCrashes:
		return Suspect, 0
	}
	term := min(condemnFor<<(alone-condemnCrashes), condemnMost)
	if left := last + term - now; left > 0 {
		return Condemned, left
	}
	return Suspect, 0
}

// Known returns what is known of a request, to be sent to a process that does
// not know of it.
func (s *State) Known(now time.Duration, fp uint64) []api.Suspicion {
	r := s.records[fp]
	if r == nil {
		return nil
	}
	return []api.Suspicion{s.share(now, r)}
}

func (c *crash) counts(now time.Duration) bool { return !c.cleared && now-c.at < evidenceTTL }

// Digest returns up to n records for the periodic exchange, a different part
// each time, so that reports lost on the way arrive later.
func (s *State) Digest(now time.Duration, n int) []api.Suspicion {
	if now-s.expired >= expireEvery {
		s.Expire(now)
	}
	keys := s.keys
	start, _ := slices.BinarySearch(keys, s.cursor)
	var out []api.Suspicion
	for i := range min(n, len(keys)) {
		fp := keys[(start+i)%len(keys)]
		s.cursor = fp + 1
		if shared := s.share(now, s.records[fp]); len(shared.Crashes) > 0 {
			out = append(out, shared)
		}
	}
	return out
}

// Expire forgets crashes that no longer count.
func (s *State) Expire(now time.Duration) {
	s.expired = now
	s.keys = slices.DeleteFunc(s.keys, func(fp uint64) bool {
		r := s.records[fp]
		r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return now-c.at >= evidenceTTL })
		if len(r.crashes) == 0 {
			delete(s.records, fp)
		}
		return len(r.crashes) == 0
	})
}

func (s *State) share(now time.Duration, r *record) api.Suspicion {
	shared := api.Suspicion{Fingerprint: r.fingerprint}
	for _, c := range r.crashes {
		if age := now - c.at; age < shareTTL {
			shared.Crashes = append(shared.Crashes, api.Crash{
				ID: c.id, Upstream: c.upstream, Age: age, Alone: c.alone, Cleared: c.cleared,
			})
		}
	}
	return shared
}

// merge adds crashes to a record and says whether anything was new. The
// result does not depend on the order of merges.
func (s *State) merge(now time.Duration, fp uint64, add []crash) bool {
	if len(add) == 0 {
		return false
	}
	before := s.Status(now, fp)
	r := s.records[fp]
	if r == nil {
		s.makeRoom(now)
		r = &record{fingerprint: fp}
		s.records[fp] = r
		i, _ := slices.BinarySearch(s.keys, fp)
		s.keys = slices.Insert(s.keys, i, fp)
	}
	changed := false
	for _, c := range add {
		changed = r.add(c) || changed
	}
	if before != Condemned && s.Status(now, fp) == Condemned {
		s.counters.Condemned++
	}
	return changed
}

// add returns true for a crash, or the clearing of one, that was not known.
// The earliest time wins, because each hop only makes it later.
func (r *record) add(c crash) bool {
	for i := range r.crashes {
		known := &r.crashes[i]
		if known.id != c.id {
			continue
		}
		known.at = min(known.at, c.at)
		changed := c.cleared && !known.cleared
		known.cleared = known.cleared || c.cleared
		return changed
	}
	r.crashes = append(r.crashes, c)
	if len(r.crashes) <= maxCrashes {
		return true
	}
	dropped := r.dropOne()
	return dropped != c.id
}

// dropOne forgets the crash that matters least: a cleared one, then one at an
// upstream that has others, then the oldest. The upstreams are kept because
// they bound where the request may run.
func (r *record) dropOne() uint64 {
	again := make(map[string]int)
	for _, c := range r.crashes {
		if !c.cleared {
			again[c.upstream]++
		}
	}
	weight := func(c *crash) int {
		switch {
		case c.cleared:
			return 0
		case again[c.upstream] > 1:
			return 1
		}
		return 2
	}
	slices.SortFunc(r.crashes, func(a, b crash) int {
		return cmp.Or(cmp.Compare(weight(&a), weight(&b)), cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id))
	})
	dropped := r.crashes[0].id
	r.crashes = slices.Delete(r.crashes, 0, 1)
	return dropped
}

// makeRoom evicts one record if there is no room: a cleared one before a
// suspect, a suspect before a condemned one, and the oldest of its kind.
func (s *State) makeRoom(now time.Duration) {
	if len(s.records) < s.max {
		return
	}
	var victim *record
	var worst Status
	for _, fp := range s.keys {
		r, status := s.records[fp], s.Status(now, fp)
		if victim == nil || status < worst || (status == worst && r.last() < victim.last()) {
			victim, worst = r, status
		}
	}
	delete(s.records, victim.fingerprint)
	i, _ := slices.BinarySearch(s.keys, victim.fingerprint)
	s.keys = slices.Delete(s.keys, i, i+1)
	s.counters.Evicted++
}

func (r *record) last() time.Duration {
	var last time.Duration
	for _, c := range r.crashes {
		last = max(last, c.at)
	}
	return last
}

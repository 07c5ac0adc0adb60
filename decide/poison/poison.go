// Package poison detects requests that crash the upstreams that run them. A
// request that was in flight during a crash becomes a suspect and from then on
// runs only in isolation, preferably at an upstream that it may have crashed
// already. Two crashes in isolation block it; a completed run clears it.
package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

const (
	// DefaultMaxRecords is the default limit on recorded requests.
	DefaultMaxRecords = 4096
	// maxCrashesPerRequest limits the crashes recorded for one request.
	maxCrashesPerRequest = 8
	// crashTTL is how long a crash counts against a request. With 30 minutes,
	// a caller that kept resending crashed a third upstream once the record of
	// the first had expired.
	crashTTL = 24 * time.Hour
	// reportTTL is the age up to which a crash is reported to other processes.
	// It is shorter than crashTTL; otherwise two processes would renew each
	// other's records forever.
	reportTTL = 23 * time.Hour
	// minBlockTime is how long a request is first blocked. After that it is a
	// suspect again and gets one more run in isolation. Each further crash in
	// isolation doubles the time, up to maxBlockTime.
	minBlockTime = 10 * time.Minute
	maxBlockTime = 6 * time.Hour
	// crashesToBlock is the number of crashes in isolation that block a request.
	crashesToBlock = 2
	// expireInterval is the shortest time between two scans for expired records.
	expireInterval = time.Minute
	// maxReceivedCrashes limits the crashes accepted per request in one message.
	maxReceivedCrashes = 16
)

// Status is the suspicion level of a request.
type Status uint8

// Statuses of a request, in order of increasing suspicion.
const (
	Clean Status = iota
	Suspect
	Blocked
)

// Counters holds totals since New.
type Counters struct {
	Crashes uint64
	Merged  uint64
	Cleared uint64
	Evicted uint64
	Blocked uint64
}

// State holds the crash records of one process, a router or an agent. It is
// soft state: losing it can cause further crashes but breaks no guarantee.
type State struct {
	max     int
	records map[uint64]*record
	// keys are the sorted keys of records.
	keys []uint64
	// cursor is the key at or after which the next Digest starts.
	cursor     uint64
	lastExpire time.Duration
	counters   Counters
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

// New returns an empty state for up to maxRecords requests, or DefaultMaxRecords if
// maxRecords is not positive.
func New(maxRecords int) *State {
	if maxRecords <= 0 {
		maxRecords = DefaultMaxRecords
	}
	return &State{max: maxRecords, records: make(map[uint64]*record)}
}

// Counters returns the totals.
func (s *State) Counters() Counters { return s.counters }

// Len returns the number of recorded requests.
func (s *State) Len() int { return len(s.records) }

// RecordCrash records a crash of an upstream and the requests that were in flight
// there, and returns the reports for other processes. The id must be unique
// among all crashes of the fleet, such as a hash of upstream, incarnation and
// a counter.
func (s *State) RecordCrash(now time.Duration, upstream string, id uint64, running []uint64) []api.Suspicion {
	s.counters.Crashes++
	unique := slices.Clone(running)
	slices.Sort(unique)
	unique = slices.Compact(unique)
	var updates []api.Suspicion
	for _, fp := range unique {
		c := crash{id: id, upstream: upstream, at: now, alone: len(running) == 1}
		if s.merge(now, fp, []crash{c}) {
			updates = append(updates, s.suspicion(now, s.records[fp]))
		}
	}
	return updates
}

// RecordCompletion records that a request completed in isolation, and returns the
// report for other processes. It clears the crashes recorded so far; a crash that is
// reported later still counts.
func (s *State) RecordCompletion(now time.Duration, fp uint64) []api.Suspicion {
	r := s.records[fp]
	if r == nil {
		return nil
	}
	s.counters.Cleared++
	for i := range r.crashes {
		r.crashes[i].cleared = true
	}
	return []api.Suspicion{s.suspicion(now, r)}
}

// Merge adds the reports of another process and returns the changed records as
// reports to be forwarded. Reports that change nothing are not forwarded, so that
// forwarding terminates.
func (s *State) Merge(now time.Duration, received []api.Suspicion) []api.Suspicion {
	var updates []api.Suspicion
	for _, report := range received {
		crashes := make([]crash, 0, len(report.Crashes))
		for _, c := range report.Crashes[:min(len(report.Crashes), maxReceivedCrashes)] {
			if c.Age >= 0 && c.Age < reportTTL {
				crashes = append(crashes, crash{c.ID, c.Upstream, now - c.Age, c.Alone, c.Cleared})
			}
		}
		if s.merge(now, report.Fingerprint, crashes) {
			s.counters.Merged++
			updates = append(updates, s.suspicion(now, s.records[report.Fingerprint]))
		}
	}
	return updates
}

// Status returns the status of a request.
func (s *State) Status(now time.Duration, fp uint64) Status {
	status, _ := s.evaluate(now, fp)
	return status
}

// evaluate returns the status of a request and, if it is blocked, the remaining
// block time.
func (s *State) evaluate(now time.Duration, fp uint64) (Status, time.Duration) {
	r := s.records[fp]
	if r == nil {
		return Clean, 0
	}
	active, alone, last := 0, 0, time.Duration(0)
	for _, c := range r.crashes {
		if !c.active(now) {
			continue
		}
		active++
		if c.alone {
			alone++
			last = max(last, c.at)
		}
	}
	switch {
	case active == 0:
		return Clean, 0
	case alone < crashesToBlock:
		return Suspect, 0
	}
	if left := last + blockTime(alone-crashesToBlock) - now; left > 0 {
		return Blocked, left
	}
	return Suspect, 0
}

// blockTime returns how long a request is blocked after a number of crashes beyond those
// that blocked it first.
func blockTime(further int) time.Duration { return min(minBlockTime<<further, maxBlockTime) }

// Report returns the report on a request, to be sent to a process that has no record
// of it. The result is empty if this process has no record either.
func (s *State) Report(now time.Duration, fp uint64) []api.Suspicion {
	r := s.records[fp]
	if r == nil {
		return nil
	}
	return []api.Suspicion{s.suspicion(now, r)}
}

// active reports whether a crash is neither cleared nor expired.
func (c *crash) active(now time.Duration) bool { return !c.cleared && now-c.at < crashTTL }

// Digest returns reports on up to n requests for the periodic exchange. Successive
// calls cycle through all records, so that a process that missed a report receives
// it later.
func (s *State) Digest(now time.Duration, n int) []api.Suspicion {
	if now-s.lastExpire >= expireInterval {
		s.Expire(now)
	}
	keys := s.keys
	start, _ := slices.BinarySearch(keys, s.cursor)
	var out []api.Suspicion
	for i := range min(n, len(keys)) {
		fp := keys[(start+i)%len(keys)]
		s.cursor = fp + 1
		if report := s.suspicion(now, s.records[fp]); len(report.Crashes) > 0 {
			out = append(out, report)
		}
	}
	return out
}

// Expire drops crashes older than crashTTL and records without crashes.
func (s *State) Expire(now time.Duration) {
	s.lastExpire = now
	s.keys = slices.DeleteFunc(s.keys, func(fp uint64) bool {
		r := s.records[fp]
		r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return now-c.at >= crashTTL })
		if len(r.crashes) == 0 {
			delete(s.records, fp)
		}
		return len(r.crashes) == 0
	})
}

// suspicion returns the report on a record, without crashes older than reportTTL.
func (s *State) suspicion(now time.Duration, r *record) api.Suspicion {
	report := api.Suspicion{Fingerprint: r.fingerprint}
	for _, c := range r.crashes {
		if age := now - c.at; age < reportTTL {
			report.Crashes = append(report.Crashes, api.Crash{
				ID: c.id, Upstream: c.upstream, Age: age, Alone: c.alone, Cleared: c.cleared,
			})
		}
	}
	return report
}

// merge adds crashes to the record of a request and reports whether any was new or
// newly cleared. The resulting record does not depend on the order of merges.
func (s *State) merge(now time.Duration, fp uint64, crashes []crash) bool {
	if len(crashes) == 0 {
		return false
	}
	before := s.Status(now, fp)
	r := s.records[fp]
	if r == nil {
		s.evictIfFull(now)
		r = &record{fingerprint: fp}
		s.records[fp] = r
		i, _ := slices.BinarySearch(s.keys, fp)
		s.keys = slices.Insert(s.keys, i, fp)
	}
	changed := false
	for _, c := range crashes {
		changed = r.add(c) || changed
	}
	if before != Blocked && s.Status(now, fp) == Blocked {
		s.counters.Blocked++
	}
	return changed
}

// add adds a crash and reports whether it is new, newly cleared or newly attributed to
// the request alone. The earliest time is kept, because each hop delays the report.
func (r *record) add(c crash) bool {
	for i := range r.crashes {
		known := &r.crashes[i]
		if known.id != c.id {
			continue
		}
		known.at = min(known.at, c.at)
		changed := c.cleared && !known.cleared || c.alone && !known.alone
		known.cleared = known.cleared || c.cleared
		known.alone = known.alone || c.alone
		return changed
	}
	r.crashes = append(r.crashes, c)
	if len(r.crashes) <= maxCrashesPerRequest {
		return true
	}
	dropped := r.dropCrash()
	return dropped != c.id
}

// dropCrash drops one crash and returns its id: a cleared one first, then one at
// an upstream with further crashes, then the oldest. It keeps as many upstreams
// as possible because they limit where the request may run.
func (r *record) dropCrash() uint64 {
	perUpstream := make(map[string]int)
	for _, c := range r.crashes {
		if !c.cleared {
			perUpstream[c.upstream]++
		}
	}
	priority := func(c *crash) int {
		switch {
		case c.cleared:
			return 0
		case perUpstream[c.upstream] > 1:
			return 1
		}
		return 2
	}
	slices.SortFunc(r.crashes, func(a, b crash) int {
		return cmp.Or(cmp.Compare(priority(&a), priority(&b)), cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id))
	})
	dropped := r.crashes[0].id
	r.crashes = slices.Delete(r.crashes, 0, 1)
	return dropped
}

// evictIfFull evicts one record if the state is full. It prefers clean requests,
// then suspects, then blocked requests, and among requests with the same status the
// one whose last crash is the oldest.
func (s *State) evictIfFull(now time.Duration) {
	if len(s.records) < s.max {
		return
	}
	var victim *record
	var victimStatus Status
	for _, fp := range s.keys {
		r, status := s.records[fp], s.Status(now, fp)
		if victim == nil || status < victimStatus || (status == victimStatus && r.lastCrash() < victim.lastCrash()) {
			victim, victimStatus = r, status
		}
	}
	delete(s.records, victim.fingerprint)
	i, _ := slices.BinarySearch(s.keys, victim.fingerprint)
	s.keys = slices.Delete(s.keys, i, i+1)
	s.counters.Evicted++
}

// lastCrash returns the time of the last crash, cleared or not.
func (r *record) lastCrash() time.Duration {
	var last time.Duration
	for _, c := range r.crashes {
		last = max(last, c.at)
	}
	return last
}

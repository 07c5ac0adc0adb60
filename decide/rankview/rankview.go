// Package rankview keeps what the leader of a group knows of its ranks. Knowledge of a
// rank outlives failed reads, with its age: with dozens of ranks, some read fails in
// almost every round, and a leader that needs all ranks in one round never acts.
package rankview

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// State is the knowledge of one group. Only the control loop uses it.
type State struct {
	group   string
	epoch   uint64
	members []member
}

type member struct {
	address string
	// report is the newest report in this epoch. It was true at asOf or later. The last
	// read that gave no newer one started at readAt. All are valid if known is set.
	report api.RankReport
	asOf   time.Duration
	readAt time.Duration
	known  bool
	// experts are the experts by layer of the map version expertsVersion, nil if not
	// known.
	experts        [][]int
	expertsVersion uint64
}

// New returns a state without knowledge.
func New() *State { return &State{} }

// RecordLocal records the state of the local rank, whose read started at readAt. It
// determines the group, its size and its epoch: knowledge of another group or size is
// discarded, and reports of another epoch too.
func (s *State) RecordLocal(readAt time.Duration, local api.RankState) {
	r := local.Report
	if r.Group != s.group || r.Size != len(s.members) {
		*s = State{group: r.Group, members: make([]member, r.Size)}
	}
	if r.Epoch != s.epoch {
		s.epoch = r.Epoch
		for i := range s.members {
			s.members[i] = member{address: s.members[i].address}
		}
	}
	s.Record(readAt, local)
}

// Record records the state of a rank, whose read started at readAt. It returns false if
// the rank belongs to another group. The address of a rank is kept even if its epoch is
// another one; its report is not. A report that may be older than the known one does not
// replace it, but shows that the rank responds.
func (s *State) Record(readAt time.Duration, state api.RankState) bool {
	r := state.Report
	if r.Group != s.group {
		return false
	}
	if r.Rank < 0 || r.Rank >= len(s.members) || r.Size != len(s.members) {
		return true
	}
	m := &s.members[r.Rank]
	if m.known && readAt < m.readAt {
		return true
	}
	m.address = r.Address
	if r.Epoch != s.epoch {
		return true
	}
	m.readAt = readAt
	asOf := readAt - state.MaxAge
	if m.known && asOf < m.asOf {
		return true
	}
	m.report, m.asOf, m.known = r, asOf, true
	if len(state.Experts) > 0 {
		m.experts, m.expertsVersion = state.Experts, r.MapVersion
	}
	return true
}

// Snapshot is the state of a group as known at one time.
type Snapshot struct {
	// Reports holds the reports by rank. A rank without a recent report has a zero
	// report.
	Reports []api.RankReport
	// StartedAt is when the read of the oldest report in the snapshot started.
	StartedAt time.Duration
	// AsOf is the time from which on each report in the snapshot was true: the earliest
	// start of a read, less the age that its report may have had.
	AsOf time.Duration
	// Complete is true if every rank has a report.
	Complete bool
}

// progress returns the last pass that a rank has begun, and the numbers of requests that run
// and wait.
func (s Snapshot) progress() (step uint64, running, waiting int) {
	for _, r := range s.Reports {
		step = max(step, r.Step)
		running += r.Running
		waiting += r.Waiting
	}
	return step, running, waiting
}

// Snapshot returns the reports that are at most maxAge old.
func (s *State) Snapshot(now, maxAge time.Duration) Snapshot {
	snapshot := Snapshot{Reports: make([]api.RankReport, len(s.members)), StartedAt: now, AsOf: now, Complete: true}
	for i, m := range s.members {
		if !m.known || now-m.readAt > maxAge {
			snapshot.Complete = false
			continue
		}
		snapshot.Reports[i] = m.report
		snapshot.StartedAt = min(snapshot.StartedAt, m.readAt)
		snapshot.AsOf = min(snapshot.AsOf, m.asOf)
	}
	return snapshot
}

// Address returns the last known address of a rank, "" if it was never read.
func (s *State) Address(rank int) string {
	if rank < 0 || rank >= len(s.members) {
		return ""
	}
	return s.members[rank].address
}

// Rank returns the rank with an address, -1 if there is none.
func (s *State) Rank(address string) int {
	for rank, m := range s.members {
		if m.address == address {
			return rank
		}
	}
	return -1
}

// Map returns the experts by layer and rank of a map version. It returns false if they
// are not known of every rank.
func (s *State) Map(version uint64) ([][][]int, bool) {
	if len(s.members) == 0 {
		return nil, false
	}
	layers := len(s.members[0].experts)
	for _, m := range s.members {
		if !m.known || m.expertsVersion != version || m.report.MapVersion != version || len(m.experts) != layers || layers == 0 {
			return nil, false
		}
	}
	expertMap := make([][][]int, layers)
	for l := range expertMap {
		for _, m := range s.members {
			expertMap[l] = append(expertMap[l], m.experts[l])
		}
	}
	return expertMap, true
}

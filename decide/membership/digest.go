package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// ApplyDigest applies a digest from another process. A direct digest is the
// response to a call of this process, so it comes from the running incarnation.
func (s *State) ApplyDigest(now time.Duration, d api.PeerDigest, direct bool) api.DigestDecision {
	if d.Node == "" || d.Node == s.self || d.Incarnation == 0 {
		return api.DigestForeign
	}
	if decision := s.checkIncarnation(now, d, direct); decision != api.DigestAccepted {
		return decision
	}
	s.dropReports(d.Node)
	for _, o := range d.Observations {
		at := now - o.Age
		if o.Leaving && o.VM != "" && o.Age < LeavingTTL {
			s.leaving[o.VM] = max(at, s.leaving[o.VM])
		}
		if _, known := s.vms[o.Upstream]; known && o.Age < DownTTL {
			s.recordReport(d.Node, o.Upstream, peerReport{incarnation: o.Incarnation, up: o.Up, at: at})
		}
	}
	return api.DigestAccepted
}

// checkIncarnation rejects a digest of a replaced incarnation and, unless it is
// direct, one whose sequence number is not above the last of its incarnation. It
// records the incarnation and the sequence number of an accepted digest.
func (s *State) checkIncarnation(now time.Duration, d api.PeerDigest, direct bool) api.DigestDecision {
	p, known := s.processes[d.Node]
	if !known && len(s.processes) >= MaxProcesses {
		return api.DigestForeign
	}
	p.retired = slices.DeleteFunc(p.retired, func(e retiredIncarnation) bool {
		return now-e.at >= RetiredTTL || direct && e.incarnation == d.Incarnation
	})
	same := p.incarnation == d.Incarnation
	retired := slices.ContainsFunc(p.retired, func(e retiredIncarnation) bool { return e.incarnation == d.Incarnation })
	switch {
	case retired, same && !direct && d.Seq <= p.seq:
		s.processes[d.Node] = p
		return api.DigestReplayed
	case !same && p.incarnation != 0:
		p.retired = append(p.retired, retiredIncarnation{incarnation: p.incarnation, at: now})
		if len(p.retired) > MaxRetired {
			p.retired = slices.Delete(p.retired, 0, 1)
		}
	}
	if !same {
		p.incarnation, p.seq = d.Incarnation, 0
	}
	p.seq = max(p.seq, d.Seq)
	s.processes[d.Node] = p
	return api.DigestAccepted
}

// isRetired reports whether an incarnation of the process on a VM has been
// replaced.
func (s *State) isRetired(vm string, incarnation api.Incarnation) bool {
	p := s.processes[vm]
	return slices.ContainsFunc(p.retired, func(e retiredIncarnation) bool { return e.incarnation == incarnation })
}

// dropReports drops the earlier reports of a process: each digest is complete.
func (s *State) dropReports(node string) {
	for _, reports := range s.peerReports {
		delete(reports, node)
	}
}

func (s *State) recordReport(node, upstream string, r peerReport) {
	if s.peerReports[upstream] == nil {
		s.peerReports[upstream] = map[string]peerReport{}
	}
	s.peerReports[upstream][node] = r
}

// Observations returns what this process reports in its digests: the VMs that are
// leaving, the upstreams whose link is down, and the upstreams whose link is up
// although others report on them.
func (s *State) Observations(now time.Duration) []api.Observation {
	s.expire(now)
	var out []api.Observation
	for _, vm := range slices.Sorted(maps.Keys(s.leaving)) {
		out = append(out, api.Observation{VM: vm, Leaving: true, Age: s.leavingAge(now, vm)})
	}
	for _, upstream := range slices.Sorted(maps.Keys(s.links)) {
		l := s.links[upstream]
		if l.up && len(s.peerReports[upstream]) == 0 {
			continue
		}
		out = append(out, api.Observation{
			Upstream: upstream, Incarnation: l.incarnation, Up: l.up,
		})
	}
	return out[:min(len(out), MaxObservations)]
}

// leavingAge returns the age of the last observation that a VM is leaving. It
// is 0 if the VM is leaving on the list that this process read less than
// ListFreshness ago.
func (s *State) leavingAge(now time.Duration, vm string) time.Duration {
	if s.list[vm].State == api.VMLeaving && now-s.listAt < ListFreshness {
		return 0
	}
	return now - s.leaving[vm]
}

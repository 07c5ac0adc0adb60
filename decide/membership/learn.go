package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// Learn takes a digest. A direct one answers a call of this process, so it
// comes from the incarnation that runs now.
func (s *State) Learn(now time.Duration, d api.PeerDigest, direct bool) api.DigestVerdict {
	if d.Node == "" || d.Node == s.self || d.Incarnation == 0 {
		return api.DigestForeign
	}
	if v := s.checkIncarnation(now, d, direct); v != api.DigestTaken {
		return v
	}
	s.dropReports(d.Node)
	for _, w := range d.Sightings {
		at := now - w.Age
		if w.Leaving && w.VM != "" && w.Age < LeavingTTL {
			s.leaving[w.VM] = max(at, s.leaving[w.VM])
		}
		if _, known := s.vms[w.Upstream]; known && w.Age < DownTTL {
			s.recordReport(d.Node, w.Upstream, peerReport{incarnation: w.Incarnation, up: w.Up, at: at})
		}
	}
	return api.DigestTaken
}

// checkIncarnation checks the incarnation and the sequence number of a digest.
func (s *State) checkIncarnation(now time.Duration, d api.PeerDigest, direct bool) api.DigestVerdict {
	p, known := s.processes[d.Node]
	if !known && len(s.processes) >= MaxProcesses {
		return api.DigestForeign
	}
	p.retired = slices.DeleteFunc(p.retired, func(e retiredIncarnation) bool {
		return now-e.at >= RetiredTTL || direct && e.incarnation == d.Incarnation
	})
	same := p.incarnation == d.Incarnation
	late := slices.ContainsFunc(p.retired, func(e retiredIncarnation) bool { return e.incarnation == d.Incarnation })
	switch {
	case late, same && !direct && d.Seq <= p.seq:
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
	return api.DigestTaken
}

// isRetired says whether an incarnation of the process on a VM has ended.
func (s *State) isRetired(vm string, incarnation api.Incarnation) bool {
	p := s.processes[vm]
	return slices.ContainsFunc(p.retired, func(e retiredIncarnation) bool { return e.incarnation == incarnation })
}

// dropReports drops what a process said before: each digest says it all.
func (s *State) dropReports(node string) {
	for _, words := range s.peerReports {
		delete(words, node)
	}
}

func (s *State) recordReport(node, upstream string, w peerReport) {
	if s.peerReports[upstream] == nil {
		s.peerReports[upstream] = map[string]peerReport{}
	}
	s.peerReports[upstream][node] = w
}

// Sightings returns what this process tells others: the VMs that are leaving,
// the upstreams that it lost, and those that it reaches though others lost
// them.
func (s *State) Sightings(now time.Duration) []api.Sighting {
	s.expire(now)
	var out []api.Sighting
	for _, vm := range slices.Sorted(maps.Keys(s.leaving)) {
		out = append(out, api.Sighting{VM: vm, Leaving: true, Age: s.leavingAge(now, vm)})
	}
	for _, upstream := range slices.Sorted(maps.Keys(s.links)) {
		l := s.links[upstream]
		if l.up && len(s.peerReports[upstream]) == 0 {
			continue
		}
		out = append(out, api.Sighting{
			Upstream: upstream, Incarnation: l.incarnation, Up: l.up,
		})
	}
	return out[:min(len(out), MaxSightings)]
}

// leavingAge is the age of the knowledge that a VM is leaving. A process that
// has just read the list vouches for it.
func (s *State) leavingAge(now time.Duration, vm string) time.Duration {
	if s.list[vm].State == api.VMLeaving && now-s.listAt < ListFreshness {
		return 0
	}
	return now - s.leaving[vm]
}

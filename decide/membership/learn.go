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
	if v := s.identify(now, d, direct); v != api.DigestTaken {
		return v
	}
	s.forgetWords(d.Node)
	for _, w := range d.Sightings {
		at := now - w.Age
		if w.Leaving && w.VM != "" && w.Age < LeavingHold {
			s.leaving[w.VM] = max(at, s.leaving[w.VM])
		}
		if _, known := s.vms[w.Upstream]; known && w.Age < DownHold {
			s.hear(d.Node, w.Upstream, witness{incarnation: w.Incarnation, up: w.Up, at: at})
		}
	}
	return api.DigestTaken
}

// identify checks the incarnation and the sequence number of a digest.
func (s *State) identify(now time.Duration, d api.PeerDigest, direct bool) api.DigestVerdict {
	p, known := s.processes[d.Node]
	if !known && len(s.processes) >= ProcessesKept {
		return api.DigestForeign
	}
	p.retired = slices.DeleteFunc(p.retired, func(e ended) bool {
		return now-e.at >= RetiredHold || direct && e.incarnation == d.Incarnation
	})
	same := p.incarnation == d.Incarnation
	late := slices.ContainsFunc(p.retired, func(e ended) bool { return e.incarnation == d.Incarnation })
	switch {
	case late, same && !direct && d.Seq <= p.seq:
		s.processes[d.Node] = p
		return api.DigestReplayed
	case !same && p.incarnation != 0:
		p.retired = append(p.retired, ended{incarnation: p.incarnation, at: now})
		if len(p.retired) > RetiredKept {
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

// ended says whether an incarnation of the process on a VM has ended.
func (s *State) ended(vm string, incarnation api.Incarnation) bool {
	p := s.processes[vm]
	return slices.ContainsFunc(p.retired, func(e ended) bool { return e.incarnation == incarnation })
}

// forgetWords drops what a process said before: each digest says it all.
func (s *State) forgetWords(node string) {
	for _, words := range s.witnesses {
		delete(words, node)
	}
}

func (s *State) hear(node, upstream string, w witness) {
	if s.witnesses[upstream] == nil {
		s.witnesses[upstream] = map[string]witness{}
	}
	s.witnesses[upstream][node] = w
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
		if l.up && len(s.witnesses[upstream]) == 0 {
			continue
		}
		out = append(out, api.Sighting{
			Upstream: upstream, Incarnation: l.incarnation, Up: l.up,
		})
	}
	return out[:min(len(out), Told)]
}

// leavingAge is the age of the knowledge that a VM is leaving. A process that
// has just read the list vouches for it.
func (s *State) leavingAge(now time.Duration, vm string) time.Duration {
	if s.list[vm].State == api.VMLeaving && now-s.listAt < ListFresh {
		return 0
	}
	return now - s.leaving[vm]
}

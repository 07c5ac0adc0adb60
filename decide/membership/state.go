package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

const (
	// ListFreshness is how long after a read this process vouches for what the
	// list says.
	ListFreshness = 5 * time.Second
	// LeavingTTL is how long the word of others that a VM is leaving counts
	// without being said again. It exceeds the lag between two readers of the
	// list, and the age travels with the word, so that it dies out everywhere.
	LeavingTTL = 30 * time.Second
	// DownTTL is how long the word of others on an upstream counts.
	DownTTL = 10 * time.Second
	// DownQuorum is the number of other processes that must have lost an
	// upstream before this process, without a link of its own, counts it as
	// down.
	DownQuorum = 2
	// Notifiers is the number of processes that tell a VM at once that it is
	// leaving, in case it is cut off from the list.
	Notifiers = 3
	// MaxSightings bounds the sightings in one digest.
	MaxSightings = 32
	// RetiredTTL is how long messages of an ended incarnation are refused. It
	// exceeds the time that a message can spend in the buffers of a connection.
	RetiredTTL = time.Minute
	// MaxRetired bounds the ended incarnations remembered for each process.
	MaxRetired = 8
	// MaxProcesses bounds the processes remembered while there is no list.
	MaxProcesses = 4096
)

// link is what this process saw of an upstream on its own link.
type link struct {
	up          bool
	incarnation api.Incarnation
}

// process is what is known of the incarnations of the process on a VM.
type process struct {
	incarnation api.Incarnation
	seq         uint64
	retired     []retiredIncarnation
}

// retiredIncarnation is an incarnation that was replaced by another.
type retiredIncarnation struct {
	incarnation api.Incarnation
	at          time.Duration
}

// peerReport is the word of one process on an upstream.
type peerReport struct {
	incarnation api.Incarnation
	up          bool
	at          time.Duration
}

// State is what one process knows of the others.
type State struct {
	self   string
	list   map[string]api.VM
	listAt time.Duration
	// departed holds VMs that were leaving when they went off the list.
	departed map[string]bool
	links    map[string]link
	// leaving is when each VM was last known to be leaving by anyone's list.
	leaving     map[string]time.Duration
	peerReports map[string]map[string]peerReport
	processes   map[string]process
	// vms maps the configured upstreams to their VMs.
	vms map[string]string
}

// New returns the state of the process on a VM.
func New(self string) *State {
	return &State{
		self:        self,
		departed:    map[string]bool{},
		links:       map[string]link{},
		leaving:     map[string]time.Duration{},
		peerReports: map[string]map[string]peerReport{},
		processes:   map[string]process{},
		vms:         map[string]string{},
	}
}

// Configure takes the upstreams of the configuration and the VMs they run on.
func (s *State) Configure(vms map[string]string) {
	s.vms = maps.Clone(vms)
	for upstream := range s.links {
		if _, ok := vms[upstream]; !ok {
			delete(s.links, upstream)
		}
	}
	for upstream := range s.peerReports {
		if _, ok := vms[upstream]; !ok {
			delete(s.peerReports, upstream)
		}
	}
}

// List takes an answer of the platform. An empty one says nothing: it comes
// from a list that does not know any VM yet. It returns whether the list
// changed and which VMs this process must tell that they are leaving.
func (s *State) List(now time.Duration, vms []api.VM) (changed bool, tell []string) {
	if len(vms) == 0 {
		return false, nil
	}
	next := make(map[string]api.VM, len(vms))
	for _, vm := range vms {
		next[vm.Name] = vm
	}
	for name, vm := range s.list {
		if _, stays := next[name]; !stays && vm.State == api.VMLeaving {
			s.departed[name] = true
		}
	}
	maps.DeleteFunc(s.departed, func(name string, _ bool) bool { _, back := next[name]; return back })
	changed = !maps.Equal(s.list, next)
	s.list, s.listAt = next, now
	for name, vm := range next {
		if vm.State == api.VMLeaving {
			s.leaving[name] = now
		}
	}
	maps.DeleteFunc(s.processes, func(name string, _ process) bool { _, ok := next[name]; return !ok })
	s.expire(now)
	return changed, s.notifyTargets()
}

// notifyTargets returns the leaving VMs that this process is to tell. They are told
// after each read: nobody exchanges with a leaving VM regularly.
func (s *State) notifyTargets() []string {
	var stay, out []string
	members := s.Members()
	for _, vm := range members {
		if vm.State == api.VMLive {
			stay = append(stay, vm.Name)
		}
	}
	for _, vm := range members {
		if vm.State == api.VMLeaving && vm.Name != s.self &&
			slices.Contains(rendezvous.KeyOf("leaving", vm.Name).Top(Notifiers, stay), s.self) {
			out = append(out, vm.Name)
		}
	}
	return out
}

// Members returns the list in order of names.
func (s *State) Members() []api.VM {
	out := make([]api.VM, 0, len(s.list))
	for _, name := range slices.Sorted(maps.Keys(s.list)) {
		out = append(out, s.list[name])
	}
	return out
}

// LinkUp takes a link of this process to an upstream that came up, or a
// heartbeat on it.
func (s *State) LinkUp(upstream string, incarnation api.Incarnation) {
	s.links[upstream] = link{up: true, incarnation: incarnation}
}

// LinkDown takes the loss of a link.
func (s *State) LinkDown(upstream string) {
	s.links[upstream] = link{incarnation: s.links[upstream].incarnation}
}

// Leaving returns the VMs known to be leaving, in order.
func (s *State) Leaving(now time.Duration) []string {
	s.expire(now)
	names := maps.Clone(s.departed)
	for name := range s.leaving {
		names[name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// Down returns the upstreams that count as down, in order.
func (s *State) Down(now time.Duration) []string {
	s.expire(now)
	var out []string
	for _, upstream := range slices.Sorted(maps.Keys(s.vms)) {
		if s.down(upstream) {
			out = append(out, upstream)
		}
	}
	return out
}

// down goes by the own link. Without one, several others must have lost the
// upstream, and more than still reach it.
func (s *State) down(upstream string) bool {
	if l, ok := s.links[upstream]; ok {
		return !l.up
	}
	lost, up := 0, 0
	for _, w := range s.peerReports[upstream] {
		switch {
		case w.up:
			up++
		case !s.isRetired(s.vms[upstream], w.incarnation):
			lost++
		}
	}
	return lost >= DownQuorum && lost > up
}

// expire drops what is too old to count. What the own list says does not age:
// a process that is cut off goes on with the last list.
func (s *State) expire(now time.Duration) {
	maps.DeleteFunc(s.leaving, func(name string, at time.Duration) bool {
		return s.list[name].State != api.VMLeaving && now-at >= LeavingTTL
	})
	for upstream, words := range s.peerReports {
		maps.DeleteFunc(words, func(_ string, w peerReport) bool { return now-w.at >= DownTTL })
		if len(words) == 0 {
			delete(s.peerReports, upstream)
		}
	}
}

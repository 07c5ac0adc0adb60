package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/rendezvous"
)

const (
	// ListFreshness is how long after a read of the list this process reports a VM
	// that is leaving on it with age 0.
	ListFreshness = 5 * time.Second
	// LeavingTTL is how long a report that a VM is leaving is valid. It exceeds
	// the lag between two readers of the list. Reports carry their age, so
	// relaying one does not extend it.
	LeavingTTL = 30 * time.Second
	// DownTTL is how long another process's report about an upstream is valid.
	DownTTL = 10 * time.Second
	// DownQuorum is the number of other processes that must report an upstream
	// down before a process without a link to it considers it down.
	DownQuorum = 2
	// Notifiers is the number of processes that notify a leaving VM directly, in
	// case it can't read the list.
	Notifiers = 3
	// MaxObservations limits the observations in one digest.
	MaxObservations = 32
	// RetiredTTL is how long messages of a replaced incarnation are rejected. It
	// exceeds the time that a message can spend in the buffers of a connection.
	RetiredTTL = time.Minute
	// MaxRetired limits the replaced incarnations remembered per process.
	MaxRetired = 8
	// MaxProcesses limits the processes remembered until a list is read.
	MaxProcesses = 4096
)

// link is the state of this process's own link to an upstream.
type link struct {
	up          bool
	incarnation api.Incarnation
}

// process holds the current and the replaced incarnations of the process on a
// VM.
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

// peerReport is another process's report about an upstream.
type peerReport struct {
	incarnation api.Incarnation
	up          bool
	at          time.Duration
}

// State is the membership as seen by one process.
type State struct {
	self   string
	list   map[string]api.VM
	listAt time.Duration
	// departed holds VMs that were leaving when they disappeared from the list.
	departed map[string]bool
	links    map[string]link
	// leaving holds when each VM was last seen as leaving on any process's list.
	leaving     map[string]time.Duration
	peerReports map[string]map[string]peerReport
	processes   map[string]process
	// vms maps the configured upstreams to their VMs.
	vms map[string]string
}

// New returns the state of the process on the VM named self.
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

// Configure sets the configured upstreams and their VMs.
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

// ApplyList applies the VM list read from the platform. An empty list is ignored:
// it comes from a replica that has no data yet. ApplyList reports whether the
// list changed and which leaving VMs this process must notify.
func (s *State) ApplyList(now time.Duration, vms []api.VM) (changed bool, notify []string) {
	if len(vms) == 0 {
		return false, nil
	}
	next := make(map[string]api.VM, len(vms))
	for _, vm := range vms {
		next[vm.Name] = vm
	}
	for name, vm := range s.list {
		if _, listed := next[name]; !listed && vm.State == api.VMLeaving {
			s.departed[name] = true
		}
	}
	maps.DeleteFunc(s.departed, func(name string, _ bool) bool { _, listed := next[name]; return listed })
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

// notifyTargets returns the leaving VMs that this process must notify after a read
// of the list. They are notified after each read, because there are no regular
// exchanges with a leaving VM.
func (s *State) notifyTargets() []string {
	var live, out []string
	members := s.Members()
	for _, vm := range members {
		if vm.State == api.VMLive {
			live = append(live, vm.Name)
		}
	}
	for _, vm := range members {
		if vm.State == api.VMLeaving && vm.Name != s.self &&
			slices.Contains(rendezvous.KeyOf("leaving", vm.Name).Top(Notifiers, live), s.self) {
			out = append(out, vm.Name)
		}
	}
	return out
}

// Members returns the listed VMs in order of name.
func (s *State) Members() []api.VM {
	out := make([]api.VM, 0, len(s.list))
	for _, name := range slices.Sorted(maps.Keys(s.list)) {
		out = append(out, s.list[name])
	}
	return out
}

// LinkUp records that this process's link to an upstream came up or delivered
// a heartbeat.
func (s *State) LinkUp(upstream string, incarnation api.Incarnation) {
	s.links[upstream] = link{up: true, incarnation: incarnation}
}

// LinkDown records the loss of a link.
func (s *State) LinkDown(upstream string) {
	s.links[upstream] = link{incarnation: s.links[upstream].incarnation}
}

// Leaving returns the VMs known to be leaving, in order of name.
func (s *State) Leaving(now time.Duration) []string {
	s.expire(now)
	names := maps.Clone(s.departed)
	for name := range s.leaving {
		names[name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// Down returns the upstreams considered down, in order of name.
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

// down reports whether an upstream is down. If this process knows the state of its
// own link to it, up or down, this alone decides. Otherwise the upstream is down if
// at least DownQuorum other processes report it down, and more than report it up.
func (s *State) down(upstream string) bool {
	if l, ok := s.links[upstream]; ok {
		return !l.up
	}
	downReports, upReports := 0, 0
	for _, r := range s.peerReports[upstream] {
		switch {
		case r.up:
			upReports++
		case !s.isRetired(s.vms[upstream], r.incarnation):
			downReports++
		}
	}
	return downReports >= DownQuorum && downReports > upReports
}

// expire drops expired reports. The VM list and the VMs that are leaving on it do
// not expire: a partitioned process keeps the last list that it read.
func (s *State) expire(now time.Duration) {
	maps.DeleteFunc(s.leaving, func(name string, at time.Duration) bool {
		return s.list[name].State != api.VMLeaving && now-at >= LeavingTTL
	})
	for upstream, reports := range s.peerReports {
		maps.DeleteFunc(reports, func(_ string, r peerReport) bool { return now-r.at >= DownTTL })
		if len(reports) == 0 {
			delete(s.peerReports, upstream)
		}
	}
}

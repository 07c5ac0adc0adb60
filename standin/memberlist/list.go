// Package memberlist is a stand-in for the platform's list of live and leaving
// VMs, which lags behind changes. README.md describes its protocol.
package memberlist

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mulberryfork/mulberryfork/kernel"
)

// VM is one entry of the list.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Role is "router" or "agent".
	Role string `json:"role"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Response is the body of a response, sorted by name.
type Response struct {
	Members []VM `json:"members"`
}

type snapshot struct {
	takenAt time.Duration
	vms     map[string]VM
}

// List is the stand-in, an http.Handler.
type List struct {
	clock kernel.Clock

	mu      sync.Mutex
	lag     time.Duration
	down    bool
	history []snapshot
	reads   int
}

// New returns an empty list. A change appears in its responses after lag.
func New(clock kernel.Clock, lag time.Duration) *List {
	return &List{clock: clock, lag: lag}
}

// Set adds or changes a VM.
func (l *List) Set(vm VM) {
	l.change(func(vms map[string]VM) { vms[vm.Name] = vm })
}

// Remove removes a VM from the list.
func (l *List) Remove(name string) {
	l.change(func(vms map[string]VM) { delete(vms, name) })
}

func (l *List) change(apply func(map[string]VM)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := map[string]VM{}
	if n := len(l.history); n > 0 {
		vms = maps.Clone(l.history[n-1].vms)
	}
	apply(vms)
	l.history = append(l.history, snapshot{takenAt: l.clock.Now(), vms: vms})
}

// SetLag changes the lag of the responses.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown makes the list drop connections.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Reads returns the number of calls so far.
func (l *List) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// ServeHTTP handles GET /v1/members.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/v1/members" {
		http.NotFound(w, r)
		return
	}
	response, down := l.readSnapshot()
	if down {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

func (l *List) readSnapshot() (response Response, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	response.Members = []VM{}
	asOf := l.clock.Now() - l.lag
	for _, s := range slices.Backward(l.history) {
		if s.takenAt > asOf {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(s.vms)) {
			response.Members = append(response.Members, s.vms[name])
		}
		break
	}
	return response, l.down
}

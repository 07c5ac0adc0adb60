package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/daemon"
	"github.com/mulberryfork/mulberryfork/standin/platformstore"
	"github.com/mulberryfork/mulberryfork/standin/platformworker"
)

const (
	drainTimeout = 2 * time.Second
	// lease is the time after which the store drops the entry of a silent upstream.
	lease = 3600 * time.Millisecond
	// drainRequestInterval is the time between the requests to one edge.
	drainRequestInterval = 20 * time.Millisecond
)

// drainFleet is some edges before a store and two upstreams, of which w1 leaves. Requests are
// sent to all edges.
type drainFleet struct {
	t       *testing.T
	store   *platformstore.Store
	address string
	edges   []*daemon.Process
	// leaving is the entry of w1, worker the upstream.
	leaving  platformstore.Upstream
	worker   *platformworker.Worker
	copied   platformstore.Copy
	mu       sync.Mutex
	arrivals []drainArrival
}

// drainArrival is a request that reached w1, by the edge that it was sent to.
type drainArrival struct {
	edge string
	at   time.Time
}

func newDrainFleet(t *testing.T, edges int, startedAtMs int64) *drainFleet {
	t.Helper()
	f := &drainFleet{t: t, store: platformstore.New()}
	f.store.SetEra(1)
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.address = server.Listener.Addr().String()
	f.store.Put("op/config", fmt.Appendf(nil, configFormat, 1, 1))
	for _, id := range []string{"w1", "w2"} {
		w := &platformworker.Worker{InstanceID: id}
		if id == "w1" {
			w.OnArrival = f.recordArrival
		}
		upstreamServer := httptest.NewServer(w)
		t.Cleanup(upstreamServer.Close)
		u := platformstore.Upstream{Service: "svc", Address: upstreamServer.Listener.Addr().String(), Zone: "z", Slots: 4, StartedAtMs: startedAtMs}
		f.store.SetUpstream(id, u)
		if id == "w1" {
			f.leaving, f.worker = u, w
		}
	}
	for i := range edges {
		f.startEdge(fmt.Sprintf("e%d", i))
	}
	return f
}

func (f *drainFleet) recordArrival(id string) {
	edge, _, _ := strings.Cut(id, "-")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, drainArrival{edge, time.Now()})
}

// startEdge starts an edge, waits until it knows the upstreams, and sends requests to it until
// the end of the test.
func (f *drainFleet) startEdge(name string) {
	f.t.Helper()
	process := startEdge(f.t, edgeSettings(name, f.address, "", 1000))
	f.edges = append(f.edges, process)
	f.awaitView(func(v *api.View) bool { return v.Table != nil && len(v.Instances) > 0 })
	address, err := process.Address(api.ServiceFrontendHTTP)
	if err != nil {
		f.t.Fatal(err)
	}
	done, ended := make(chan struct{}), make(chan struct{})
	go f.sendRequests(name, address, done, ended)
	f.t.Cleanup(func() { close(done); <-ended })
}

func (f *drainFleet) sendRequests(edge, address string, done, ended chan struct{}) {
	defer close(ended)
	tick := time.NewTicker(drainRequestInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/i/x", strings.NewReader(""))
		if err != nil {
			return
		}
		r.Host = "h.example"
		r.Header.Set("X-Mulberryfork-Attempt-Id", fmt.Sprintf("%s-%d", edge, n))
		r.Header.Set("X-Mulberryfork-Deadline-Remaining", "3000")
		r.Header.Set("X-Api-Key", "key1")
		if response, err := client.Do(r); err == nil {
			response.Body.Close()
		}
	}
}

// awaitView waits until the views of all edges meet a condition.
func (f *drainFleet) awaitView(condition func(*api.View) bool) {
	f.t.Helper()
	for _, process := range f.edges {
		d := find[api.Discovery](f.t, process, api.ServiceDiscovery)
		if !waitFor(func() bool { return condition(d.View()) }) {
			f.t.Fatalf("timeout; the view is %+v", d.View())
		}
	}
}

// writeLeaving writes the entry of w1 with its state.
func (f *drainFleet) writeLeaving(draining bool) {
	u := f.leaving
	u.Draining = draining
	f.store.SetUpstream("w1", u)
}

// leave lets w1 say that it leaves, or ends its entry, and waits until all edges know.
func (f *drainFleet) leave(says bool) time.Time {
	f.t.Helper()
	f.copied = f.store.Copy()
	if says {
		f.writeLeaving(true)
		f.awaitView(func(v *api.View) bool { return v.Instances["w1"].Leaving })
	} else {
		f.store.DeleteUpstream("w1")
		f.awaitView(func(v *api.View) bool { _, listed := v.Instances["w1"]; return !listed })
	}
	return time.Now()
}

// goAway makes the store refuse calls for a time and then come back from the copy.
func (f *drainFleet) goAway(d time.Duration) {
	f.store.SetFailureStatus(http.StatusServiceUnavailable)
	<-time.After(d)
	f.store.Restore(f.copied)
	f.store.SetFailureStatus(0)
}

// checkArrivals reports the requests that reached w1 later than the drain timeout after it had
// been known to leave.
func (f *drainFleet) checkArrivals(leftAt time.Time) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	late := make(map[string]int)
	var first, last time.Duration
	for _, a := range f.arrivals {
		since := a.at.Sub(leftAt)
		if since <= drainTimeout {
			continue
		}
		if len(late) == 0 {
			first = since
		}
		last = since
		late[a.edge]++
	}
	if len(late) > 0 {
		f.t.Errorf("requests by edge reached the upstream that had left: %v, from %v to %v after it had", late, first, last)
	}
}

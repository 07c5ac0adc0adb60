package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/standin/platformstore"
)

// applyDeadline is the time from the acknowledgement of a configuration in calm within which an
// edge must follow it.
const applyDeadline = 3 * time.Second

// storeFront is a store for one process. Its answers can be replaced while other processes get
// those of the store.
type storeFront struct {
	*platformstore.Store
	mu sync.Mutex
	// answer handles a call instead of the store, unless it returns false.
	answer func(w http.ResponseWriter, r *http.Request) bool
}

func (s *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	answer := s.answer
	s.mu.Unlock()
	if answer == nil || !answer(w, r) {
		s.Store.ServeHTTP(w, r)
	}
}

func (s *storeFront) setAnswer(answer func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

// drill is an edge whose store comes back from a copy.
type drill struct {
	*fixture
	front *storeFront
	// address is that of the front, copied what the store comes back with.
	address string
	copied  platformstore.Copy
	// back is closed when the store has come back, once.
	back chan struct{}
	once sync.Once
}

// newDrill returns a drill in era 1 with configuration 2 in the copy. Configuration 3 and
// other writes are lost with the return.
func newDrill(t *testing.T) *drill {
	t.Helper()
	d := &drill{fixture: newFixture(t), back: make(chan struct{})}
	d.front = &storeFront{Store: d.store}
	server := httptest.NewServer(d.front)
	t.Cleanup(server.Close)
	d.address = server.Listener.Addr().String()
	d.store.SetEra(1)
	d.store.Put("op/config", fmt.Appendf(nil, configFormat, 2, 2))
	d.copied = d.store.Copy()
	for range 20 {
		d.register("w1", d.addresses["w1"], "available")
	}
	d.store.Put("op/config", fmt.Appendf(nil, configFormat, 3, 3))
	return d
}

// start starts the edge that the drill is about.
func (d *drill) start() {
	d.t.Helper()
	d.process = startEdge(d.t, edgeSettings("n2", d.address, "", 200))
	d.useProcess(d.process)
}

func (d *drill) awaitVersion(version uint64) {
	d.t.Helper()
	d.awaitView(func(v *api.View) bool { return v.Table != nil && v.Table.Version >= version && len(v.Instances) == 2 })
}

// comeBack makes the store come back from the copy.
func (d *drill) comeBack() {
	d.once.Do(func() {
		d.store.Restore(d.copied)
		close(d.back)
	})
}

func (d *drill) awaitBack() {
	d.t.Helper()
	select {
	case <-d.back:
	case <-time.After(10 * time.Second):
		d.t.Fatal("the store did not come back")
	}
}

// hold makes calls wait until the returned function is called. They are answered then.
func (d *drill) hold() (release func()) {
	released := make(chan struct{})
	d.front.setAnswer(func(_ http.ResponseWriter, r *http.Request) bool {
		select {
		case <-released:
		case <-r.Context().Done():
		}
		return false
	})
	return func() { close(released) }
}

// requireFollowed writes configuration 3 again and then 4, which no longer has the key of the
// others, and fails the test unless the edge follows it in time and for good. floor is the
// version that the edge knew.
func (d *drill) requireFollowed(floor uint64) {
	d.t.Helper()
	discovery := find[api.Discovery](d.t, d.process, api.ServiceDiscovery)
	d.store.Put("op/config", fmt.Appendf(nil, configFormat, 3, 3))
	d.store.Put("op/config", fmt.Appendf(nil, configFormat, 4, 4))
	acknowledged := time.Now()
	d.awaitView(func(v *api.View) bool {
		if v.Table != nil && v.Table.Version < floor {
			d.t.Fatalf("configuration %d after %d", v.Table.Version, floor)
		}
		return v.Table != nil && v.Table.Version == 4
	})
	if took := time.Since(acknowledged); took > applyDeadline {
		d.t.Errorf("the configuration was in force %v after its acknowledgement", took)
	}
	d.awaitReady()
	d.requireStatus("after the return", "/u/x", "key4", http.StatusOK)
	d.requireStatus("after the return", "/u/x", "key3", http.StatusUnauthorized)
	d.awaitRead("z9")
	if v := discovery.View(); v.Table.Version != 4 || len(v.Instances) != 2 {
		d.t.Errorf("configuration %d and %d upstreams after another read", v.Table.Version, len(v.Instances))
	}
}

// Guards against a process that keeps the configuration of the copy, or the one from before,
// since the return of the store met it at a moment at which it reads nothing, or half of it.
func TestReturnOfStoreMeetsProcess(t *testing.T) {
	t.Parallel()
	for name, play := range map[string]func(d *drill) (floor uint64){
		"which starts from the copy": func(d *drill) uint64 {
			d.comeBack()
			d.start()
			d.awaitVersion(2)
			return 2
		},
		"which starts while the store refuses": func(d *drill) uint64 {
			d.store.SetFailureStatus(http.StatusServiceUnavailable)
			d.start()
			awaitCalls(d.store, 4)
			d.comeBack()
			d.store.SetFailureStatus(0)
			return 0
		},
		"which starts in a list across the return": func(d *drill) uint64 {
			d.comeBackBeforePage(1)
			d.start()
			d.awaitBack()
			return 0
		},
		"which is cut off for an era": func(d *drill) uint64 {
			d.start()
			d.awaitVersion(3)
			release := d.hold()
			awaitCalls(d.store, 2)
			d.comeBack()
			awaitCalls(d.store, 4)
			release()
			return 3
		},
		"which is cut off for two eras": func(d *drill) uint64 {
			d.start()
			d.awaitVersion(3)
			release := d.hold()
			awaitCalls(d.store, 2)
			d.comeBack()
			awaitCalls(d.store, 2)
			d.store.Put("op/config", fmt.Appendf(nil, configFormat, 3, 3))
			d.store.Restore(d.copied)
			release()
			return 3
		},
		"in a back-off": func(d *drill) uint64 {
			d.start()
			d.awaitVersion(3)
			d.refuse(4)
			d.comeBack()
			d.front.setAnswer(nil)
			return 3
		},
		"in a pause between watches": func(d *drill) uint64 {
			d.start()
			d.awaitVersion(3)
			d.awaitRead("z7")
			d.comeBack()
			return 3
		},
		"in a watch": func(d *drill) uint64 {
			d.start()
			d.awaitVersion(3)
			awaitCalls(d.store, 2)
			d.comeBack()
			return 3
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDrill(t)
			d.requireFollowed(play(d))
		})
	}
}

// refuse refuses calls of the process until n have been refused.
func (d *drill) refuse(n int) {
	d.t.Helper()
	refused := make(chan struct{}, 1000)
	d.front.setAnswer(func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusServiceUnavailable)
		refused <- struct{}{}
		return true
	})
	// A watch that waits at the store ends with this change.
	d.store.Put("op/evacuate/z6", []byte("{}"))
	for range n {
		<-refused
	}
}

// comeBackBeforePage makes the store come back before it answers the n-th page, counted from 0,
// that the process reads from now on. Watches get 410 until it lists.
func (d *drill) comeBackBeforePage(n int) {
	pages := 0
	d.front.setAnswer(func(w http.ResponseWriter, r *http.Request) bool {
		d.front.mu.Lock()
		defer d.front.mu.Unlock()
		if r.URL.Path == "/-/kv-watch" && pages == 0 {
			w.WriteHeader(http.StatusGone)
			return true
		}
		if r.URL.Path == "/-/kv-range" {
			if pages == n {
				d.comeBack()
			}
			pages++
		}
		return false
	})
}

// Guards against a list whose pages come from two eras and whose entries count.
func TestReturnOfStoreBetweenPages(t *testing.T) {
	t.Parallel()
	// Three pages hold the operator's entries, one the upstreams.
	for n := range 4 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			d := newDrill(t)
			for zone := range 5 {
				d.store.Put(fmt.Sprint("op/evacuate/y", zone), []byte("{}"))
			}
			d.start()
			d.awaitVersion(3)
			d.comeBackBeforePage(n)
			d.awaitBack()
			d.requireFollowed(3)
		})
	}
}

// storeAnswers are answers to a call whose store has come back meanwhile.
var storeAnswers = map[string]func(w http.ResponseWriter, r *http.Request){
	"410":          func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusGone) },
	"503":          func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	"empty":        func(http.ResponseWriter, *http.Request) {},
	"no fields":    func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) },
	"no events":    func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"events":[],"at":3}`)) },
	"null":         func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"events":null,"at":3}`)) },
	"unread event": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(newEraEvents)) },
	"late event":   func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(lateEvents)) },
	"cut off": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "500")
		_, _ = w.Write([]byte(newEraEvents[:40]))
	},
	"reset": func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	},
	"more without entries": func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"entries":[],"events":[],"hasMore":true,"at":3}`))
	},
}

// newEraEvents are events whose revision is lower, and lateEvents some whose revision is higher
// than those that the process knows.
const (
	newEraEvents = `{"events":[{"key":"op/evacuate/z5","payload":"e30=","revision":6}],"at":6}`
	lateEvents   = `{"events":[{"key":"op/evacuate/z5","payload":"e30=","revision":600},{"key":"servers/w9","revision":601,"deleted":true}],"at":601}`
)

// Guards against a watch that waits while the store comes back from a copy, and whose answer
// hides the new era: its header is of the watch's arrival, of its answer, or missing.
func TestWatchParkedAcrossReturnOfStore(t *testing.T) {
	t.Parallel()
	for name, answer := range storeAnswers {
		for _, era := range []string{"1", "2", ""} {
			t.Run(fmt.Sprintf("%s, era %q", name, era), func(t *testing.T) {
				t.Parallel()
				d := newDrill(t)
				d.start()
				d.awaitVersion(3)
				parked, once := make(chan struct{}), sync.Once{}
				d.front.setAnswer(func(w http.ResponseWriter, r *http.Request) bool {
					first := false
					once.Do(func() { first = true })
					if !first {
						return false
					}
					close(parked)
					select {
					case <-d.back:
					case <-r.Context().Done():
					}
					if era != "" {
						w.Header().Set("Store-Era", era)
					}
					answer(w, r)
					return true
				})
				<-parked
				d.comeBack()
				d.requireFollowed(3)
			})
		}
	}
}
